//! A group: a gang, or a task that belongs to none; and the state of its runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::task::{RunNumber, WorkerName};

/// Unfinished tasks of a group's run, by index, with their workers.
pub type Seats = BTreeMap<u32, WorkerName>;

/// State of a group.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Not running.
    Waiting,
    /// Ordered or running.
    Active(Active),
    /// Succeeded; final.
    Done,
    /// Failed too often; final.
    Failed,
}

/// A run of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// Time at which the run was ordered.
    pub since: Duration,
    /// Time at which a minion was first known to run one of its tasks.
    pub began: Option<Duration>,
    /// Tasks that have not ended.
    pub left: Seats,
    /// The planner is stopping the tasks.
    pub is_stopping: bool,
    /// The run is away from its data, or on several racks although it wants one.
    pub is_far: bool,
    /// Checkpoint that the run started from; empty for none. All members of a gang start from the
    /// same.
    pub checkpoint: String,
}

/// Resources that are being released for a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Time at which they should be free.
    pub until: Duration,
    /// Number of tasks by worker.
    pub seats: Vec<(WorkerName, u32)>,
}

/// The shortest run time observed for a group: of a complete run, or extrapolated from the pace of
/// a run that ended early.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Total run time.
    pub whole: Duration,
    /// Worker of the run.
    pub worker: WorkerName,
    /// Number of the run.
    pub run: RunNumber,
    /// The run was stopped as too slow, and the group was slow on this worker only, so that the
    /// worker may be the cause.
    pub is_doubted: bool,
}

impl Shown {
    /// Returns an observation on a worker that is not suspected to be slow.
    pub fn sound(whole: Duration, worker: &str, run: RunNumber) -> Self {
        Shown { whole, worker: worker.to_owned(), run, is_doubted: false }
    }
}

/// A group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// State of the group.
    pub phase: Phase,
    /// Number of the latest run.
    pub run: RunNumber,
    /// Runs that failed.
    pub failed_runs: BTreeSet<RunNumber>,
    /// Highest number of a run that has ended.
    pub ended_run: RunNumber,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Workers on which the group failed or was too slow.
    pub avoid: Vec<WorkerName>,
    /// Resources that are being released for the group.
    pub claim: Option<Claim>,
    /// Time since which the group waits.
    pub since: Duration,
    /// Time since which the group waits because of earlier starts that may still be carried out.
    pub held: Option<Duration>,
    /// Run time as observed in earlier runs.
    pub shown: Option<Shown>,
}

impl Group {
    /// Returns a group that has not run.
    pub fn new(now: Duration) -> Self {
        Group {
            phase: Phase::Waiting,
            run: 0,
            failed_runs: BTreeSet::new(),
            ended_run: 0,
            checkpoint: String::new(),
            avoid: Vec::new(),
            claim: None,
            since: now,
            held: None,
            shown: None,
        }
    }

    /// Records the run time that was observed in a run.
    pub fn note_shown(&mut self, shown: Shown) {
        let Some(known) = &mut self.shown else {
            self.shown = Some(shown);
            return;
        };
        // Two slow workers in succession are unlikely: the task itself is long.
        let is_same = known.run == shown.run || known.worker == shown.worker;
        let is_doubted = known.is_doubted && shown.is_doubted && is_same;
        if shown.whole < known.whole {
            *known = shown;
        }
        known.is_doubted = is_doubted;
    }

    /// Returns the observed run time, unless it may be due to a slow worker.
    pub fn known(&self) -> Option<&Shown> {
        self.shown.as_ref().filter(|shown| !shown.is_doubted)
    }

    /// Returns the run time in milliseconds once the group is done, else 0.
    pub fn took_ms(&self) -> u64 {
        let shown = self.shown.as_ref().filter(|_| self.phase == Phase::Done);
        shown.map_or(0, |shown| u64::try_from(shown.whole.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns whether the group has reached a final state.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }

    /// Returns whether the group has failed so often that it must not run again.
    pub fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed_runs.len() >= max_attempts.max(1) as usize
    }

    /// Returns the current run while it is ordered or running.
    pub fn active(&self) -> Option<&Active> {
        match &self.phase {
            Phase::Active(active) => Some(active),
            _ => None,
        }
    }

    /// Returns the current run while it is ordered or running.
    pub fn active_mut(&mut self) -> Option<&mut Active> {
        match &mut self.phase {
            Phase::Active(active) => Some(active),
            _ => None,
        }
    }
}
