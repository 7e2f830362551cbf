//! State of the start of a term.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{Fleet, Member, task::WorkerName};
use sapphire_store::call::{Item, Revision};

/// Phase of the start of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Reading,
    Recording,
    Serving,
}

/// State of the start of a term.
pub(crate) struct Startup {
    pub(crate) phase: Phase,
    pub(crate) began: Duration,
    pub(crate) items: Vec<Item>,
    /// Revision of the store at the first page; `None` before that page has arrived.
    pub(crate) first_revision: Option<Revision>,
    /// Time at which a page that got no reply is read again.
    pub(crate) retry_at: Option<Duration>,
    /// Ordinal number of this term, counted over all planners.
    pub(crate) term_number: u32,
    pub(crate) fleet_revision: Revision,
    /// Workers that the stored list should contain.
    pub(crate) members: BTreeMap<WorkerName, Member>,
    /// Workers that the stored list is known to contain, with the identifiers of their minions.
    pub(crate) recorded: BTreeMap<WorkerName, String>,
    /// The same of the list that is being written.
    pub(crate) recording: BTreeMap<WorkerName, String>,
    /// Workers that earlier planners gave tasks to and that have not been accounted for yet.
    pub(crate) unaccounted: Vec<WorkerName>,
    /// Their number in the latest log line, with the time of that line.
    pub(crate) unaccounted_logged: Option<(usize, Duration)>,
    /// The stored list of workers is out of date.
    pub(crate) is_fleet_dirty: bool,
    pub(crate) is_writing_fleet: bool,
    /// Time since which all orders of earlier planners are accounted for.
    pub(crate) recovered_at: Option<Duration>,
    /// The log of runs has all runs that earlier planners have ordered.
    pub(crate) are_runs_logged: bool,
    /// Workers were declared lost while starts of earlier terms may still have been carried out there
    /// without being known.
    pub(crate) has_lost_workers: bool,
}

impl Startup {
    pub(crate) fn new(now: Duration) -> Self {
        Startup {
            phase: Phase::Reading,
            began: now,
            items: Vec::new(),
            first_revision: None,
            retry_at: None,
            term_number: 0,
            fleet_revision: 0,
            members: BTreeMap::new(),
            recorded: BTreeMap::new(),
            recording: BTreeMap::new(),
            unaccounted: Vec::new(),
            unaccounted_logged: None,
            is_fleet_dirty: true,
            is_writing_fleet: false,
            recovered_at: None,
            are_runs_logged: false,
            has_lost_workers: false,
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns the time at which the term began.
    pub(crate) fn began(&self) -> Duration {
        self.began
    }

    pub(crate) fn is_recovered(&self) -> bool {
        self.recovered_at.is_some()
    }

    /// Returns whether a successor would know that it has to account for a worker with this minion.
    pub(crate) fn is_recorded(&self, worker: &str, minion: &str) -> bool {
        self.recorded.get(worker).is_some_and(|recorded| recorded == minion)
    }

    /// Returns the list of workers in the form in which it is stored.
    pub(crate) fn fleet(&self) -> Fleet {
        Fleet { terms: self.term_number, members: self.members.values().cloned().collect() }
    }
}
