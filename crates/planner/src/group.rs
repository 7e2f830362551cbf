//! A gang, or a task that is no part of one, on its way through its runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::task::{RunNumber, WorkerName};

/// Tasks of the group that have not ended in this run, by index, with their workers.
pub type Seats = BTreeMap<u32, WorkerName>;

/// Where a group stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Not running.
    Waiting,
    /// Ordered or running.
    Active(Active),
    /// Ended well; final.
    Done,
    /// Failed too often; final.
    Failed,
}

/// A run of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// When it was ordered.
    pub since: Duration,
    /// When its minions have all started it.
    pub began: Option<Duration>,
    /// Tasks that have not ended.
    pub left: Seats,
    /// Its tasks have been told to stop, or will be by themselves.
    pub is_stopping: bool,
    /// It runs away from its data or on several racks.
    pub is_far: bool,
    /// Progress that it started from; empty for none. All members of a gang start from the same.
    pub checkpoint: String,
}

/// Room that is being freed for the group.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// When it should be free.
    pub until: Duration,
    /// Tasks by worker.
    pub seats: Vec<(WorkerName, u32)>,
}

/// The shortest time that a whole run has taken, or would have taken at the pace at which it ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// The time.
    pub whole: Duration,
    /// Where it ran.
    pub worker: WorkerName,
    /// Number of the run.
    pub run: RunNumber,
    /// It was stopped there as too slow, and only there, so that the worker may be to blame.
    pub is_doubted: bool,
}

impl Shown {
    /// What a run has shown on a worker that is not in doubt.
    pub fn sound(whole: Duration, worker: &str, run: RunNumber) -> Self {
        Shown { whole, worker: worker.to_owned(), run, is_doubted: false }
    }
}

/// The group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Where it stands.
    pub phase: Phase,
    /// Number of its latest run.
    pub run: RunNumber,
    /// Runs that failed.
    pub failed_runs: BTreeSet<RunNumber>,
    /// Highest run that has come to its end.
    pub ended_run: RunNumber,
    /// Progress saved; empty for none.
    pub checkpoint: String,
    /// Workers on which it failed.
    pub avoid: Vec<WorkerName>,
    /// Room that is being freed for it.
    pub claim: Option<Claim>,
    /// It waits from then on.
    pub since: Duration,
    /// It waits from then on until earlier starts of it are void.
    pub held: Option<Duration>,
    /// How long it takes, as its earlier runs have shown.
    pub shown: Option<Shown>,
}

impl Group {
    /// A group that has not run.
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

    /// Notes how long a whole run takes, as far as one has shown.
    pub fn note_shown(&mut self, shown: Shown) {
        let Some(known) = &mut self.shown else {
            self.shown = Some(shown);
            return;
        };
        // Two workers that are slow one after the other are not met: the task is long.
        let is_same = known.run == shown.run || known.worker == shown.worker;
        let is_doubted = known.is_doubted && shown.is_doubted && is_same;
        if shown.whole < known.whole {
            *known = shown;
        }
        known.is_doubted = is_doubted;
    }

    /// How long it takes, where that is not in doubt.
    pub fn known(&self) -> Option<&Shown> {
        self.shown.as_ref().filter(|shown| !shown.is_doubted)
    }

    /// How long it took, in milliseconds, once it is done.
    pub fn took_ms(&self) -> u64 {
        let shown = self.shown.as_ref().filter(|_| self.phase == Phase::Done);
        shown.map_or(0, |shown| u64::try_from(shown.whole.as_millis()).unwrap_or(u64::MAX))
    }

    /// Whether nothing will happen to it any more.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }

    /// Whether it has failed so often that it is not to run again.
    pub fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed_runs.len() >= max_attempts.max(1) as usize
    }

    /// Its run, while it is ordered or running.
    pub fn active(&self) -> Option<&Active> {
        match &self.phase {
            Phase::Active(active) => Some(active),
            _ => None,
        }
    }

    /// Its run, while it is ordered or running.
    pub fn active_mut(&mut self) -> Option<&mut Active> {
        match &mut self.phase {
            Phase::Active(active) => Some(active),
            _ => None,
        }
    }
}
