//! Events that an entry handles.

use std::time::Duration;

use sapphire_jobs::{Feed, Lead, task::JobId};
use sapphire_store::call::Reply;

use crate::answer::Request;

/// Identifies a caller that waits for an answer; the I/O layer assigns the numbers.
pub type Caller = u64;

/// Purpose of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Reading the configuration.
    Catalog,
    /// Checking that the active configuration is the newest.
    Freshness,
    /// Watching the configuration for changes.
    CatalogWatch,
    /// Reading the leader key.
    Leader,
    /// Watching the leader key for changes.
    LeaderWatch,
    /// Acquiring the leader key or renewing its lease.
    LeaderLease,
    /// Releasing the leader key.
    LeaderRelease,
    /// Writing jobs.
    Submit(Vec<JobId>),
    /// Writing a cancellation.
    Cancel(JobId),
    /// Writing a cancellation on condition that the job isn't stored.
    Tombstone(JobId),
    /// Looking up a job.
    LookUp(JobId),
    /// Looking up a job's progress.
    LookUpProgress(JobId),
    /// Looking up a job's cancellation.
    LookUpCancel(JobId),
    /// Testing whether the store can be reached directly.
    Probe,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller has sent a request.
    Request(Caller, Box<Request>),
    /// A caller has disconnected.
    Disconnected(Caller),
    /// The store has replied to a call, or the call has failed.
    Store {
        /// Purpose of the call.
        operation: Operation,
        /// When the call was sent.
        sent: Duration,
        /// Reply of the store.
        reply: Reply,
    },
    /// The leader has answered a feed poll, or the poll has failed.
    Feed {
        /// When the poll was sent.
        sent: Duration,
        /// The feed; none when the poll has failed.
        feed: Option<Box<Feed>>,
    },
    /// The leader's machine has refused a connection to this address.
    LeaderRefused(String),
    /// Another process has reported who the leader is.
    Leader(Lead),
    /// The process is asked to terminate.
    Terminate,
    /// Periodic call, so that time-outs and retries are handled.
    Tick,
}
