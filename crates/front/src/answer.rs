//! Requests of callers and the answers to them.

use std::time::Duration;

use sapphire_jobs::{Schedule, State, Step};

/// Reason of a rejection by share.
pub const ABOVE_SHARE: &str =
    "its organisation is above its share, and its turn would come too late";

/// Reason of the rejection of a job that the planner has no memory for.
pub const NO_MEMORY: &str = "too many tasks are open";

/// Reason of the rejection of a job whose cancellation was acknowledged before the job was stored.
pub const CANCELLED: &str = "the job was cancelled before it was accepted";

/// Reason of the refusal of a cancellation whose job doesn't exist, after too many others.
pub const TOO_MANY_TOMBSTONES: &str = "too many cancellations of jobs that do not exist";

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submission {
    /// Specification of the work, passed on to the minions unchanged.
    pub spec: String,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Schedule of a job that repeats.
    pub schedule: Option<Schedule>,
}

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submit a job; the error text says why the request could not be decoded.
    Submit(Result<Submission, String>),
    /// Get the state of a job, or the number of pending jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// An operation that is not supported.
    Other,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Host name in the request, which selects the queue.
    pub host: String,
    /// Path of the URL.
    pub path: String,
    /// Key of the caller's organisation; empty when the request has none.
    pub key: String,
    /// How long the caller waits for the answer, if the request states it.
    pub timeout: Option<Duration>,
    /// Requested operation.
    pub action: Action,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is durable and will run.
    Accepted,
    /// State of the job.
    State(State),
    /// Number of jobs of the queue of which no task has started.
    Pending(usize),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The job does not exist.
    NoJob,
    /// No queue has this host and path.
    NoQueue,
    /// The key belongs to no organisation.
    NoKey,
    /// The request is invalid, for the reason given.
    Malformed(String),
    /// The operation is not supported.
    NotOffered,
    /// The request was not carried out and will not be: the caller may retry.
    NotDone {
        /// Reason, as sent to the caller.
        reason: &'static str,
        /// Time after which the caller should retry.
        after: Duration,
    },
    /// Whether the request was or will be carried out is unknown; the caller may retry it.
    Unknown {
        /// Time after which the caller should retry.
        after: Duration,
    },
}
