//! A group: a gang, or a task that belongs to none; and the state of its runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::task::{RunNumber, WorkerName};

use crate::wait;

/// Unfinished tasks of a group's run, by index, with their workers.
pub type Assignments = BTreeMap<u32, WorkerName>;

/// State of a group.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Not running.
    Waiting,
    /// Ordered or running.
    Active(Box<Active>),
    /// Succeeded; final.
    Done,
    /// Failed too often; final.
    Failed,
}

/// A run of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// Time at which the run was ordered.
    pub ordered_at: Duration,
    /// Time at which a minion was first known to run one of its tasks.
    pub began: Option<Duration>,
    /// Tasks that have not ended.
    pub unfinished: Assignments,
    /// The planner is stopping the tasks.
    pub is_stopping: bool,
    /// The run is to be moved to other workers once its earlier starts have expired.
    pub is_move_deferred: bool,
    /// The run is away from its data, or on several racks although it prefers one.
    pub is_remote: bool,
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
    pub assignments: Vec<(WorkerName, u32)>,
    /// How often it was renewed.
    pub renewals: u32,
}

/// The shortest run time observed for a group: of a complete run, or extrapolated from the pace of
/// a run that ended early.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Total run time.
    pub run_time: Duration,
    /// Worker of the run.
    pub worker: WorkerName,
    /// Number of the run.
    pub run: RunNumber,
    /// The run was stopped as too slow, and the group was slow on this worker only, so that the
    /// worker may be the cause.
    pub is_suspect: bool,
}

impl Observation {
    /// Returns an observation on a worker that is not suspected to be slow.
    pub fn healthy(run_time: Duration, worker: &str, run: RunNumber) -> Self {
        Observation { run_time, worker: worker.to_owned(), run, is_suspect: false }
    }
}

/// Run time of a run from which the speed of its workers was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Number of the run.
    pub run: RunNumber,
    /// Natural logarithm of the run time in seconds, normalised to the reference speed by what was
    /// known of the workers.
    pub log: f64,
    /// Standard deviation of the slowness of the workers, as a logarithm.
    pub spread: f64,
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
    /// Highest number of a run that was stopped or refused or has ended, and that its minion will
    /// therefore not start again.
    pub closed_run: RunNumber,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Workers on which the group failed or was too slow.
    pub avoid: Vec<WorkerName>,
    /// Resources that are being released for the group.
    pub claim: Option<Box<Claim>>,
    /// Time since which the group waits.
    pub waiting_since: Duration,
    /// Time since which the group waits because of earlier starts that may still be carried out.
    pub blocked_since: Option<Duration>,
    /// What is known of the present wait, once the group has been examined.
    pub wait: Option<Box<wait::Record>>,
    /// Run time as observed in earlier runs.
    pub observation: Option<Box<Observation>>,
    /// What the speed of workers was last learned from.
    pub pace: Option<Pace>,
    /// A run was stopped so that the group continues on a faster worker.
    pub restarts_faster: bool,
}

impl Group {
    /// Returns a group that has not run.
    pub fn new(now: Duration) -> Self {
        Group {
            phase: Phase::Waiting,
            run: 0,
            failed_runs: BTreeSet::new(),
            ended_run: 0,
            closed_run: 0,
            checkpoint: String::new(),
            avoid: Vec::new(),
            claim: None,
            waiting_since: now,
            blocked_since: None,
            wait: None,
            observation: None,
            pace: None,
            restarts_faster: false,
        }
    }

    /// Records the run time that was observed in a run.
    pub fn record_observation(&mut self, observation: Observation) {
        let Some(known) = &mut self.observation else {
            self.observation = Some(Box::new(observation));
            return;
        };
        // Two slow workers in succession are unlikely: the task itself is long.
        let is_same = known.run == observation.run || known.worker == observation.worker;
        let is_suspect = known.is_suspect && observation.is_suspect && is_same;
        if observation.run_time < known.run_time {
            **known = observation;
        }
        known.is_suspect = is_suspect;
    }

    /// Returns the observed run time, unless it may be due to a slow worker.
    pub fn reliable_observation(&self) -> Option<&Observation> {
        self.observation.as_deref().filter(|observation| !observation.is_suspect)
    }

    /// Returns the run time in milliseconds once the group is done, else 0.
    pub fn took_ms(&self) -> u64 {
        let known = self.observation.as_ref().filter(|_| self.phase == Phase::Done);
        known.map_or(0, |known| u64::try_from(known.run_time.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns whether the group has reached a final state.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }

    /// Returns whether the group has failed so often that it must not run again.
    pub fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed_runs.len() >= max_attempts.max(1) as usize
    }

    /// Returns whether a run may be ordered again: it is the latest one, and nothing is known to
    /// have stopped, refused or ended it.
    pub fn may_repeat(&self, number: RunNumber) -> bool {
        number >= self.run && number > self.closed_run && !self.failed_runs.contains(&number)
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
