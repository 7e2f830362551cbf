//! Events that a planner handles.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::{FeedPoll, Job, Notice, Poll, catalog::Catalog, inventory::Page, task::JobId};
use sapphire_store::call::Reply;

/// Number of a request that waits for an answer; assigned by the I/O layer.
pub type Requester = u64;

/// The current time on two clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time since the machine's start, including time in suspension.
    pub steady: Duration,
    /// Time since the Unix epoch; differs between machines.
    pub unix: Duration,
}

/// The call to the store that a reply belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read of all records at the start of a term.
    Scan,
    /// Read of a job that has to be loaded at the start of a term, or of its progress.
    Begun,
    /// Write of the list of workers.
    Fleet,
    /// Write of the starts that may still be carried out, with its number in this term.
    Unanswered(u64),
    /// Write of a shard of the workers' speeds.
    Speeds(usize),
    /// Write of progress: the jobs, with the number of the latest change that the write contains.
    Progress(Vec<(JobId, u64)>),
    /// Write of the usage of the workers by organisation.
    Shares,
    /// Removal of the records of ended jobs.
    Forget(Vec<JobId>),
    /// Removal of the cancellations of jobs that don't exist.
    Tombstones(Vec<JobId>),
    /// Read of jobs that no entry has notified the planner of.
    Intake,
    /// Read of the list of cordons.
    Cordons,
    /// Watch of the list of cordons.
    CordonWatch,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent reports and asks for orders.
    Poll(Requester, Box<Poll>),
    /// An entry asks for changes.
    Feed(Requester, FeedPoll),
    /// An entry reports what it has written to the store.
    Notice(Notice),
    /// A requester has closed its connection.
    Disconnected(Requester),
    /// The store has replied.
    Store(Operation, Reply),
    /// A page of the inventory of VMs has arrived; `None` if there was no answer.
    Inventory(Option<Page>),
    /// The configuration has changed to this one.
    Catalog(Arc<Catalog>),
    /// A configuration was verified to be the newest.
    CatalogVerified {
        /// Revision of the configuration.
        revision: u64,
        /// Steady time of the verification.
        at: Duration,
    },
    /// Time has passed.
    Tick,
}

/// The record of a job as it was accepted.
pub type Record = Arc<Job>;
