//! What an entry is told.

use std::time::Duration;

use sapphire_jobs::{Feed, Lead, task::JobId};
use sapphire_store::call::Reply;

use crate::answer::Request;

/// A caller that waits for an answer; numbers are given by the I/O.
pub type Caller = u64;

/// Which call to the store an answer is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// The configuration, whole.
    Catalog,
    /// Whether the configuration is the newest.
    Proof,
    /// Changes of the configuration.
    CatalogWatch,
    /// The planner's key.
    Lead,
    /// Changes of the planner's key.
    LeadWatch,
    /// A step towards holding the planner's key.
    Hold,
    /// Giving the planner's key back.
    Release,
    /// Writing jobs.
    Submit(Vec<JobId>),
    /// Writing a cancellation.
    Cancel(JobId),
    /// Looking up a job.
    LookUp(JobId),
    /// Looking up a job's progress.
    LookUpProgress(JobId),
    /// Looking up a job's cancellation.
    LookUpCancel(JobId),
    /// Whether the store can be reached.
    Probe,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Request(Caller, Box<Request>),
    /// A caller has left.
    Left(Caller),
    /// The store has answered a call that was sent at the time given.
    Store {
        /// Which call.
        operation: Operation,
        /// When it was sent.
        sent: Duration,
        /// The answer.
        reply: Reply,
    },
    /// The planner has answered a feed poll that was sent at the time given.
    Feed {
        /// When it was sent.
        sent: Duration,
        /// The answer; none when there is none.
        feed: Option<Box<Feed>>,
    },
    /// Somebody says who plans.
    Lead(Lead),
    /// The process is asked to end.
    Terminate,
    /// Time has passed.
    Tick,
}
