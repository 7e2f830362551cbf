//! A gang's tasks on this worker.

use std::{collections::VecDeque, time::Duration};

use sapphire_wire::{Peer, TaskState, id, resource};

/// Number of recent member heartbeats whose send times are kept, to compute the end of a lease from
/// the heartbeat that it answers.
const HEARTBEATS_KEPT: usize = 8;

/// How a member ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was not started and can't be started any more.
    NeverStarted,
    /// Its program exited with this code.
    Exited(i32),
    /// It was stopped.
    Stopped,
}

/// State of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits until borrowers have been evicted to free its resources.
    Waiting {
        /// When its hold is refused if the resources have not been freed.
        until: Duration,
    },
    /// Its resources are reserved.
    Held {
        /// When the reservation expires.
        until: Duration,
    },
    /// Its tasks run.
    Running {
        /// When the lease expires.
        until: Duration,
    },
    /// Its tasks run, but its resources have been reclaimed.
    Evicting {
        /// When the grace period ends and the tasks are stopped.
        stop_at: Duration,
        /// When the lease expires; never later than `stop_at`.
        until: Duration,
    },
    /// The worker was asked to stop its tasks.
    Stopping,
    /// Nothing runs. Kept for a while so that delayed messages can't start it.
    Ended {
        /// How it ended.
        end: End,
        /// When it may be removed.
        forget_at: Duration,
    },
}

/// A gang's tasks on this worker, which are reserved, started and stopped together.
#[derive(Clone, Debug)]
pub struct Member {
    /// Organisation that the gang runs for.
    pub organisation: id::Organisation,
    /// Whether it uses accelerators bound to its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Resources that its tasks use on this worker.
    pub need: resource::Amount,
    /// Accelerators of the entire gang, on all its workers.
    pub gang_accelerators: u32,
    /// Number of tasks on this worker.
    pub tasks: u32,
    /// Agent that coordinates the gang.
    pub coordinator: Peer,
    /// Planner that sent the hold.
    pub planner: Peer,
    /// Command that each task runs.
    pub command: String,
    /// Current state.
    pub phase: Phase,
    /// When its tasks started.
    pub started: Duration,
    /// Why it ended, as text.
    pub reason: String,
    /// Whether the coordinator has acknowledged the end.
    pub is_acknowledged: bool,
    /// Sequence number of the last member heartbeat.
    pub sequence: u64,
    recent_heartbeats: VecDeque<(u64, Duration)>,
}

impl Member {
    /// Creates a member in the given state.
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
            gang_accelerators: hold
                .shape
                .map_or(0, |shape| shape.accelerators.saturating_mul(shape.tasks)),
            tasks: hold.tasks,
            coordinator: hold.lead.clone().unwrap_or_default(),
            planner: planner.clone(),
            command: hold.command.clone(),
            phase,
            started: Duration::ZERO,
            reason: String::new(),
            is_acknowledged: false,
            sequence: 0,
            recent_heartbeats: VecDeque::new(),
        }
    }

    /// Creates the record of an attempt that was invalidated before its hold arrived.
    pub fn tombstone(forget_at: Duration) -> Self {
        let hold = sapphire_wire::Hold::default();
        let phase = Phase::Ended { end: End::NeverStarted, forget_at };
        let need = resource::Amount::default();
        let mut member = Member::new(&hold, &Peer::default(), need, phase);
        member.is_acknowledged = true;
        member
    }

    /// Whether it uses or reserves resources of the worker.
    pub fn uses_resources(&self) -> bool {
        !matches!(self.phase, Phase::Waiting { .. } | Phase::Ended { .. })
    }

    /// Whether it has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// State as reported to the coordinator and the planner.
    pub fn state(&self) -> TaskState {
        match &self.phase {
            Phase::Waiting { .. } | Phase::Held { .. } => TaskState::TaskHeld,
            Phase::Running { .. } | Phase::Evicting { .. } | Phase::Stopping => {
                TaskState::TaskRunning
            }
            Phase::Ended { end: End::NeverStarted, .. } => TaskState::TaskBarred,
            Phase::Ended { end: End::Exited(_), .. } => TaskState::TaskExited,
            Phase::Ended { end: End::Stopped, .. } => TaskState::TaskStopped,
        }
    }

    /// Exit code of the program; 0 if it has none.
    pub fn exit_code(&self) -> i32 {
        match &self.phase {
            Phase::Ended { end: End::Exited(code), .. } => *code,
            _ => 0,
        }
    }

    /// Assigns the next heartbeat's sequence number and records its send time.
    pub fn next_heartbeat(&mut self, now: Duration) -> u64 {
        self.sequence += 1;
        self.recent_heartbeats.push_back((self.sequence, now));
        if self.recent_heartbeats.len() > HEARTBEATS_KEPT {
            self.recent_heartbeats.pop_front();
        }
        self.sequence
    }

    /// Send time of a heartbeat; `None` if it is too old or was never sent.
    pub fn heartbeat_time(&self, sequence: u64) -> Option<Duration> {
        self.recent_heartbeats.iter().find(|(number, _)| *number == sequence).map(|(_, at)| *at)
    }
}
