//! The minion's slots, the short queue before them, and which request attempts took one.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use sapphire_wire::{Peer, Request, TaskState, id};

/// Whether a request may go to the minion.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot is taken for it.
    Taken(Request),
    /// It waits for a slot, or was seen before: nothing is to be said now.
    Nothing,
    /// It never ran and never will.
    Refused(String),
}

/// Ended attempts remembered, at most; about 2 MB.
///
/// They guard against a request that arrives after its bar, or twice. Messages of one entry
/// come in order over one connection, so only the most recent can matter.
const MAX_ENDED: usize = 16_384;

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting { caller: Peer, until: Duration },
    Running { caller: Peer },
}

/// An attempt that runs no more.
#[derive(Clone, Debug, PartialEq)]
struct Ended {
    attempt: id::Attempt,
    forget_at: Duration,
}

/// Slots of one minion, with as many places to wait: a slot that comes free is taken again
/// without a message to an entry and back.
#[derive(Debug)]
pub struct Slots {
    total: u32,
    memory: Duration,
    is_draining: bool,
    live: BTreeMap<id::Attempt, State>,
    /// Whether each ended attempt was barred, rather than run.
    ended: BTreeMap<id::Attempt, bool>,
    forgetting: VecDeque<Ended>,
    queue: VecDeque<Request>,
    running: u32,
}

impl Slots {
    /// All slots free.
    pub fn new(total: u32, memory: Duration) -> Self {
        Slots {
            total,
            memory,
            is_draining: false,
            live: BTreeMap::new(),
            ended: BTreeMap::new(),
            forgetting: VecDeque::new(),
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// Decides on a request. A refusal bars the attempt, so that "not run" stays true even if
    /// the same message arrives once more.
    pub fn take(&mut self, now: Duration, request: Request, caller: &Peer) -> Decision {
        match self.ended.get(&request.attempt) {
            Some(true) => return Decision::Refused("the attempt was barred".to_owned()),
            Some(false) => return Decision::Nothing,
            None if self.live.contains_key(&request.attempt) => return Decision::Nothing,
            None => {}
        }
        let refusal = if self.is_draining {
            Some("the minion is draining")
        } else if self.free() == 0 {
            Some("all slots are taken")
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.bar(now, &request.attempt);
            return Decision::Refused(reason.to_owned());
        }
        let caller = caller.clone();
        let attempt = request.attempt.clone();
        if self.running < self.total {
            self.running += 1;
            self.live.insert(attempt, State::Running { caller });
            return Decision::Taken(request);
        }
        let until = now + Duration::from_millis(request.left_ms);
        self.live.insert(attempt, State::Waiting { caller, until });
        self.queue.push_back(request);
        Decision::Nothing
    }

    /// Frees the slot of an attempt and returns the entry that waits for its answer.
    pub fn release(&mut self, now: Duration, attempt: &str) -> Option<Peer> {
        let State::Running { caller } = self.live.get(attempt)? else { return None };
        let caller = caller.clone();
        self.running -= 1;
        self.end(now, attempt, false);
        Some(caller)
    }

    fn end(&mut self, now: Duration, attempt: &str, is_barred: bool) {
        self.live.remove(attempt);
        if self.ended.insert(attempt.to_owned(), is_barred).is_none() {
            let forget_at = now + self.memory;
            self.forgetting.push_back(Ended { attempt: attempt.to_owned(), forget_at });
        }
    }

    /// The next waiting request, when a slot is free; it takes the slot. One whose deadline has
    /// passed is barred instead.
    pub fn next(&mut self, now: Duration) -> Option<Request> {
        while self.running < self.total {
            let mut request = self.queue.pop_front()?;
            let state = self.live.get(&request.attempt).cloned();
            let Some(State::Waiting { caller, until }) = state else { continue };
            if now >= until {
                self.end(now, &request.attempt, true);
                continue;
            }
            self.live.insert(request.attempt.clone(), State::Running { caller });
            self.running += 1;
            request.left_ms = u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX);
            return Some(request);
        }
        None
    }

    /// Refuses an attempt for good, unless it runs or ran.
    pub fn bar(&mut self, now: Duration, attempt: &str) -> TaskState {
        if matches!(self.live.get(attempt), Some(State::Running { .. })) {
            return TaskState::TaskRunning;
        }
        if self.ended.get(attempt) == Some(&false) {
            return TaskState::TaskExited;
        }
        self.queue.retain(|request| request.attempt != attempt);
        self.end(now, attempt, true);
        TaskState::TaskBarred
    }

    /// Refuses everything from now on; what waits is still served.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Slots and places to wait that are free.
    pub fn free(&self) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (self.total * 2).saturating_sub(self.running).saturating_sub(waiting)
    }

    /// Requests that the minion is answering, or that wait for it.
    pub fn busy(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Forgets attempts that ended long ago, or too many.
    pub fn tick(&mut self, now: Duration) {
        while self.forgetting.len() > MAX_ENDED
            || self.forgetting.front().is_some_and(|ended| now >= ended.forget_at)
        {
            let Some(oldest) = self.forgetting.pop_front() else { break };
            self.ended.remove(&oldest.attempt);
        }
        let is_running = |state: &&State| matches!(state, State::Running { .. });
        let running = self.live.values().filter(is_running).count();
        assert_eq!(running, self.running as usize, "slots are counted wrongly");
        assert!(self.running <= self.total, "a slot is taken twice");
    }
}
