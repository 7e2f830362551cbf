//! The minion's slots, and which request attempts took one.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{Peer, TaskState, id};

/// Whether a request may go to the minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A slot is taken for it.
    Taken,
    /// It was seen before: no second start, and no second answer from here.
    Repeated,
    /// It never ran and never will.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Running { caller: Peer },
    Ended { is_barred: bool, forget_at: Duration },
}

/// Slots of one minion.
#[derive(Debug)]
pub struct Slots {
    total: u32,
    memory: Duration,
    is_draining: bool,
    attempts: BTreeMap<id::Attempt, State>,
    running: u32,
}

impl Slots {
    /// All slots free.
    pub fn new(total: u32, memory: Duration) -> Self {
        Slots { total, memory, is_draining: false, attempts: BTreeMap::new(), running: 0 }
    }

    /// Decides on a request. A refusal bars the attempt, so that "not run" stays true even if
    /// the same message arrives once more.
    pub fn take(&mut self, now: Duration, attempt: &str, caller: &Peer) -> Decision {
        match self.attempts.get(attempt) {
            Some(State::Ended { is_barred: true, .. }) => {
                return Decision::Refused("the attempt was barred".to_owned());
            }
            Some(_) => return Decision::Repeated,
            None => {}
        }
        let refusal = if self.is_draining {
            Some("the minion is draining")
        } else if self.running >= self.total {
            Some("all slots are taken")
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.bar(now, attempt);
            return Decision::Refused(reason.to_owned());
        }
        self.running += 1;
        self.attempts.insert(attempt.to_owned(), State::Running { caller: caller.clone() });
        Decision::Taken
    }

    /// Frees the slot of an attempt and returns the entry that waits for its answer.
    pub fn release(&mut self, now: Duration, attempt: &str) -> Option<Peer> {
        let ended = State::Ended { is_barred: false, forget_at: now + self.memory };
        let state = self.attempts.get_mut(attempt)?;
        let State::Running { caller } = std::mem::replace(state, ended) else { return None };
        self.running -= 1;
        Some(caller)
    }

    /// Refuses an attempt for good, unless it runs or ran.
    pub fn bar(&mut self, now: Duration, attempt: &str) -> TaskState {
        let barred = State::Ended { is_barred: true, forget_at: now + self.memory };
        match self.attempts.entry(attempt.to_owned()).or_insert(barred) {
            State::Running { .. } => TaskState::TaskRunning,
            State::Ended { is_barred: true, .. } => TaskState::TaskBarred,
            State::Ended { is_barred: false, .. } => TaskState::TaskExited,
        }
    }

    /// Refuses everything from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Slots that are free.
    pub fn free(&self) -> u32 {
        self.total - self.running
    }

    /// Requests that the minion is answering.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Forgets attempts that ended long ago.
    pub fn tick(&mut self, now: Duration) {
        self.attempts.retain(|_, state| match state {
            State::Running { .. } => true,
            State::Ended { forget_at, .. } => now < *forget_at,
        });
        let is_running = |state: &&State| matches!(state, State::Running { .. });
        let running = self.attempts.values().filter(is_running).count();
        assert_eq!(running, self.running as usize, "slots are counted wrongly");
        assert!(self.running <= self.total, "a slot is taken twice");
    }
}
