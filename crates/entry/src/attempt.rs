//! An attempt at running a job's gang, as seen by the planner.

use std::{collections::BTreeMap, time::Duration};

use sapphire_store::writer;
use sapphire_wire::{Placement, TaskState, id};

/// State of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Agents were asked to reserve resources.
    Holding {
        /// When the attempt is abandoned if not all agents have granted their hold.
        until: Duration,
    },
    /// The coordinator was sent the decision to start the gang.
    Decided {
        /// When the decision was sent.
        since: Duration,
    },
    /// The coordinator reports that the gang runs.
    Running {
        /// Time of the coordinator's last report.
        last_report: Duration,
    },
    /// Found in the store by a new planner; its coordinator may still report.
    Adopted {
        /// When the planner took over.
        since: Duration,
    },
    /// Its outcome is being resolved: it is invalidated at every agent that may know of it, and
    /// each replies with its state.
    Resolving,
}

/// The tasks of an attempt that one agent is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Agent, worker and number of tasks, as recorded in the store.
    pub placement: Placement,
    /// Worker of the agent.
    pub worker: id::Worker,
    /// Whether the agent has granted the hold.
    pub is_granted: bool,
    /// Final state, once the agent has reported it or has been declared lost.
    pub final_state: Option<TaskState>,
}

/// Outcome of an attempt that has been resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No task of it ever started.
    NotRun,
    /// At least one task of it started.
    Ran,
    /// It can't be determined whether a task started.
    Unknown,
}

/// An attempt, from the first request for resources until its outcome is resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Job that it runs.
    pub job: id::Job,
    /// Whether it runs on its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Current state.
    pub phase: Phase,
    /// Assignments by agent.
    pub assignments: BTreeMap<id::Process, Assignment>,
    /// Change of the job table that must be stored before the gang may start.
    pub change: writer::Change,
    /// Whether the coordinator may have received the decision to start the gang.
    pub may_have_started: bool,
    /// Why its outcome is being resolved.
    pub reason: String,
    /// Whether it ended because its resources were reclaimed.
    pub is_evicted: bool,
    /// Workers whose agents refused the hold.
    pub refused_by: Vec<id::Worker>,
}

impl Attempt {
    /// Assignment of the agent that coordinates the gang: the first by name.
    pub fn coordinator(&self) -> Option<&Assignment> {
        self.assignments.values().next()
    }

    /// Whether the next message is expected from the coordinator.
    pub fn awaits_coordinator(&self) -> bool {
        matches!(self.phase, Phase::Decided { .. } | Phase::Running { .. } | Phase::Adopted { .. })
    }

    /// Whether every agent has granted its hold.
    pub fn is_held(&self) -> bool {
        self.assignments.values().all(|assignment| assignment.is_granted)
    }

    /// Outcome of the attempt, once every agent has reported its final state or has been declared
    /// lost.
    ///
    /// "Not run" requires that every agent reports that it never started its part, or that the
    /// planner never sent the decision to start.
    pub fn outcome(&self) -> Option<Outcome> {
        let states: Option<Vec<TaskState>> =
            self.assignments.values().map(|assignment| assignment.final_state).collect();
        let states = states?;
        let ran =
            |state: &TaskState| matches!(state, TaskState::TaskExited | TaskState::TaskStopped);
        if states.iter().any(ran) {
            return Some(Outcome::Ran);
        }
        let is_never_started = states.iter().all(|state| *state == TaskState::TaskBarred);
        if is_never_started || !self.may_have_started {
            return Some(Outcome::NotRun);
        }
        Some(Outcome::Unknown)
    }
}
