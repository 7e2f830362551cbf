//! What callers ask, and what they are answered.

use std::time::Duration;

use sapphire_jobs::{Schedule, State, Step};

/// A job as its caller hands it in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Handin {
    /// What its tasks are to do.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When it repeats.
    pub schedule: Option<Schedule>,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Hand in a job; the text says why it can't be read.
    Submit(Result<Handin, String>),
    /// Know a job's state, or how many jobs wait in a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// Something that is not offered.
    Other,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Host that it names.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key of its organisation; empty for none.
    pub key: String,
    /// How long the caller waits; none when it doesn't say.
    pub patience: Option<Duration>,
    /// What it wants.
    pub action: Action,
}

/// The answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is accepted and will run.
    Accepted,
    /// The job's state.
    State(State),
    /// Jobs of the queue of which nothing has started.
    Pending(usize),
    /// The job is cancelled, or was over before.
    Cancelled,
    /// No such job.
    NoJob,
    /// No such queue.
    NoQueue,
    /// The key belongs to no organisation.
    NoKey,
    /// The request can't be read; the text says what is wrong.
    Malformed(String),
    /// Not offered.
    NotOffered,
    /// Nothing was done and nothing will be: the caller may come again after the time given.
    NotDone {
        /// Why.
        reason: &'static str,
        /// When to come again.
        after: Duration,
    },
    /// Whether it was done is not known; the same request may be sent again.
    Unknown {
        /// When to come again.
        after: Duration,
    },
}
