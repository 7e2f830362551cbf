//! One attempt at running a gang, as its planner sees it.

use std::{collections::BTreeMap, time::Duration};

use sapphire_store::writer;
use sapphire_wire::{Placement, TaskState, id};

/// Where an attempt stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Agents were asked to hold room.
    Holding {
        /// When the attempt is given up.
        until: Duration,
    },
    /// The lead was told to start the gang.
    Decided {
        /// When.
        since: Duration,
    },
    /// The lead says that it runs.
    Running {
        /// When the lead was last heard.
        heard: Duration,
    },
    /// Found in the store by a new planner; its lead may still report.
    Adopted {
        /// When.
        since: Duration,
    },
    /// Being barred at every agent that may have seen it.
    Settling,
}

/// One agent's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// Agent and tasks.
    pub placement: Placement,
    /// Agent's worker.
    pub worker: id::Worker,
    /// The hold was granted.
    pub is_granted: bool,
    /// Final state, once the agent has told it or is surely gone.
    pub settled: Option<TaskState>,
}

/// What became of an attempt that was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// No task of it ever started.
    NotRun,
    /// Some task of it started.
    Ran,
    /// Nobody can tell.
    Unknown,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Job it tries to run.
    pub job: id::Job,
    /// It runs on its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Where it stands.
    pub phase: Phase,
    /// Parts by agent.
    pub seats: BTreeMap<id::Process, Seat>,
    /// Change that must be kept before the gang may start.
    pub change: writer::Change,
    /// The lead may have been told to start it.
    pub may_have_started: bool,
    /// Why it is being settled.
    pub reason: String,
    /// It ended because its room was reclaimed.
    pub is_evicted: bool,
    /// Agents that refused it.
    pub refused_by: Vec<id::Process>,
}

impl Attempt {
    /// Agent that coordinates the gang: the first by name.
    pub fn lead(&self) -> Option<&Seat> {
        self.seats.values().next()
    }

    /// Whether the lead is to speak next.
    pub fn waits_for_lead(&self) -> bool {
        matches!(self.phase, Phase::Decided { .. } | Phase::Running { .. } | Phase::Adopted { .. })
    }

    /// Whether every agent holds its part.
    pub fn is_held(&self) -> bool {
        self.seats.values().all(|seat| seat.is_granted)
    }

    /// What became of it, once every agent has told or is gone.
    ///
    /// "Not run" needs every agent's word that it never started its part, or the planner's own
    /// knowledge that the lead was never told to start.
    pub fn fate(&self) -> Option<Fate> {
        let states: Option<Vec<TaskState>> = self.seats.values().map(|seat| seat.settled).collect();
        let states = states?;
        let ran =
            |state: &TaskState| matches!(state, TaskState::TaskExited | TaskState::TaskStopped);
        if states.iter().any(ran) {
            return Some(Fate::Ran);
        }
        let is_barred = states.iter().all(|state| *state == TaskState::TaskBarred);
        if is_barred || !self.may_have_started {
            return Some(Fate::NotRun);
        }
        Some(Fate::Unknown)
    }
}
