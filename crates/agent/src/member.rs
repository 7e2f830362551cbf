//! One gang's share of this worker.

use std::{collections::VecDeque, time::Duration};

use sapphire_wire::{Peer, TaskState, id, resource};

/// Beats kept to match a lease to the time its beat was sent.
const BEATS_KEPT: usize = 8;

/// How a member ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It never started and never will.
    Barred,
    /// Its program ended.
    Exited(i32),
    /// It was stopped.
    Stopped,
}

/// Where a member stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Borrowers are being evicted for it.
    Waiting {
        /// When it is refused after all.
        until: Duration,
    },
    /// Room is kept for it.
    Held {
        /// When the hold lapses.
        until: Duration,
    },
    /// Its tasks run.
    Running {
        /// When the lease lapses.
        until: Duration,
    },
    /// Its tasks run, but the room has been reclaimed.
    Evicting {
        /// When the tasks are stopped at the latest.
        stop_at: Duration,
        /// When the lease lapses; never later than that.
        until: Duration,
    },
    /// The worker was asked to stop its tasks.
    Stopping,
    /// Nothing runs; kept so that late messages can't start it.
    Ended {
        /// How it ended.
        end: End,
        /// When it may be forgotten.
        forget_at: Duration,
    },
}

/// One gang's share of this worker.
#[derive(Clone, Debug)]
pub struct Member {
    /// Organisation it runs for.
    pub organisation: id::Organisation,
    /// It uses accelerators bound to its organisation.
    pub is_guaranteed: bool,
    /// What it takes.
    pub need: resource::Amount,
    /// Accelerators of the whole gang.
    pub gang: u32,
    /// Tasks on this worker.
    pub tasks: u32,
    /// Agent that coordinates the gang.
    pub lead: Peer,
    /// Planner that asked for the hold.
    pub planner: Peer,
    /// Program.
    pub command: String,
    /// Where it stands.
    pub phase: Phase,
    /// When its tasks started.
    pub started: Duration,
    /// Reason of the end, in words.
    pub reason: String,
    /// The lead knows of the end.
    pub is_acknowledged: bool,
    /// Number of the last beat.
    pub sequence: u64,
    beats: VecDeque<(u64, Duration)>,
}

impl Member {
    /// Starts a member in the given phase.
    pub fn new(
        hold: &sapphire_wire::Hold,
        planner: &Peer,
        need: resource::Amount,
        phase: Phase,
    ) -> Self {
        Member {
            organisation: hold.organisation.clone(),
            is_guaranteed: hold.guaranteed,
            need,
            gang: hold.shape.map_or(0, |shape| shape.accelerators.saturating_mul(shape.tasks)),
            tasks: hold.tasks,
            lead: hold.lead.clone().unwrap_or_default(),
            planner: planner.clone(),
            command: hold.command.clone(),
            phase,
            started: Duration::ZERO,
            reason: String::new(),
            is_acknowledged: false,
            sequence: 0,
            beats: VecDeque::new(),
        }
    }

    /// A member that was barred before its hold arrived.
    pub fn barred(forget_at: Duration) -> Self {
        let hold = sapphire_wire::Hold::default();
        let phase = Phase::Ended { end: End::Barred, forget_at };
        let need = resource::Amount::default();
        let mut member = Member::new(&hold, &Peer::default(), need, phase);
        member.is_acknowledged = true;
        member
    }

    /// Whether it takes room on the worker.
    pub fn takes_room(&self) -> bool {
        !matches!(self.phase, Phase::Waiting { .. } | Phase::Ended { .. })
    }

    /// Whether it has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// State as told to others.
    pub fn state(&self) -> TaskState {
        match &self.phase {
            Phase::Waiting { .. } | Phase::Held { .. } => TaskState::TaskHeld,
            Phase::Running { .. } | Phase::Evicting { .. } | Phase::Stopping => {
                TaskState::TaskRunning
            }
            Phase::Ended { end: End::Barred, .. } => TaskState::TaskBarred,
            Phase::Ended { end: End::Exited(_), .. } => TaskState::TaskExited,
            Phase::Ended { end: End::Stopped, .. } => TaskState::TaskStopped,
        }
    }

    /// Exit code, 0 unless the program ended with another.
    pub fn exit_code(&self) -> i32 {
        match &self.phase {
            Phase::Ended { end: End::Exited(code), .. } => *code,
            _ => 0,
        }
    }

    /// Numbers a new beat and remembers when it was sent.
    pub fn beat(&mut self, now: Duration) -> u64 {
        self.sequence += 1;
        self.beats.push_back((self.sequence, now));
        if self.beats.len() > BEATS_KEPT {
            self.beats.pop_front();
        }
        self.sequence
    }

    /// When a beat was sent; none for one that is too old or was never sent.
    pub fn beat_time(&self, sequence: u64) -> Option<Duration> {
        self.beats.iter().find(|(number, _)| *number == sequence).map(|(_, at)| *at)
    }
}
