//! State of the start of a term.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

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
    /// Workers that the stored list should contain, with the addresses of their agents.
    pub(crate) members: BTreeMap<WorkerName, String>,
    /// Workers that the stored list is known to contain.
    pub(crate) recorded: BTreeSet<WorkerName>,
    /// Workers in the list that is being written.
    pub(crate) recording: BTreeSet<WorkerName>,
    /// Workers that earlier planners gave tasks to and that have not been accounted for yet.
    pub(crate) unaccounted: Vec<WorkerName>,
    /// The stored list of workers is out of date.
    pub(crate) is_fleet_dirty: bool,
    pub(crate) is_writing_fleet: bool,
    /// Time since which all orders of earlier planners are accounted for.
    pub(crate) recovered_at: Option<Duration>,
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
            recorded: BTreeSet::new(),
            recording: BTreeSet::new(),
            unaccounted: Vec::new(),
            is_fleet_dirty: true,
            is_writing_fleet: false,
            recovered_at: None,
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

    /// Returns whether a successor would know that it has to account for a worker.
    pub(crate) fn is_recorded(&self, worker: &str) -> bool {
        self.recorded.contains(worker)
    }

    /// Returns the list of workers in the form in which it is stored.
    pub(crate) fn fleet(&self) -> Fleet {
        let member = |(name, address): (&String, &String)| Member {
            name: name.clone(),
            address: address.clone(),
        };
        Fleet { terms: self.term_number, members: self.members.iter().map(member).collect() }
    }
}
