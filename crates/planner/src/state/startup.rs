//! How far the beginning of a term has come.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{Fleet, Member, task::WorkerName};
use sapphire_store::call::{Item, Revision};

/// How far a term has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Reading,
    Recording,
    Serving,
}

/// How far the beginning has come.
pub(crate) struct Startup {
    pub(crate) phase: Phase,
    pub(crate) began: Duration,
    pub(crate) items: Vec<Item>,
    /// Revision of the store at the first page; none before it has come.
    pub(crate) first: Option<Revision>,
    /// When the page that had no answer is asked for again.
    pub(crate) again_at: Option<Duration>,
    /// Number of this term among all terms.
    pub(crate) terms: u32,
    pub(crate) fleet_revision: Revision,
    /// Workers that the store is to name.
    pub(crate) members: BTreeMap<WorkerName, String>,
    /// Workers that the store names for certain.
    pub(crate) recorded: BTreeSet<WorkerName>,
    /// Workers that the write under way names.
    pub(crate) recording: BTreeSet<WorkerName>,
    /// Workers that earlier planners gave work to and that have not been heard of since.
    pub(crate) unheard: Vec<WorkerName>,
    /// The store's list of workers is out of date.
    pub(crate) is_fleet_dirty: bool,
    pub(crate) is_writing_fleet: bool,
    /// All that earlier planners ordered is accounted for.
    pub(crate) is_settled: bool,
}

impl Startup {
    pub(crate) fn new(now: Duration) -> Self {
        Startup {
            phase: Phase::Reading,
            began: now,
            items: Vec::new(),
            first: None,
            again_at: None,
            terms: 0,
            fleet_revision: 0,
            members: BTreeMap::new(),
            recorded: BTreeSet::new(),
            recording: BTreeSet::new(),
            unheard: Vec::new(),
            is_fleet_dirty: true,
            is_writing_fleet: false,
            is_settled: false,
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// When the term began.
    pub(crate) fn began(&self) -> Duration {
        self.began
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether a successor will know that it has to hear of a worker.
    pub(crate) fn is_recorded(&self, worker: &str) -> bool {
        self.recorded.contains(worker)
    }

    /// The list of workers as it is stored.
    pub(crate) fn fleet(&self) -> Fleet {
        let member = |(name, address): (&String, &String)| Member {
            name: name.clone(),
            address: address.clone(),
        };
        Fleet { terms: self.terms, members: self.members.iter().map(member).collect() }
    }
}
