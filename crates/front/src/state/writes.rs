//! State of the writes of jobs and cancellations to the store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use sapphire_jobs::{Job, task::JobId};

use crate::event::{Caller, Operation};

/// Record to write.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    Job(Box<Job>),
    /// Cancellation of a job that is stored.
    Cancel,
    /// Cancellation of a job that isn't known to be stored. Written only if the job isn't, so that no
    /// entry can store it later.
    Tombstone,
}

/// A write and the callers that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) payload: Payload,
    pub(crate) callers: Vec<Caller>,
    /// When the write is abandoned.
    pub(crate) deadline: Duration,
    /// A call with this write is in flight.
    pub(crate) is_in_flight: bool,
    /// Earliest time of the next attempt.
    pub(crate) retry_at: Duration,
    /// An attempt got no answer: it may have been applied, or may be applied later.
    pub(crate) may_be_applied: bool,
}

/// Record that a write creates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    pub(crate) job: JobId,
    /// The record is the job's cancellation rather than the job itself.
    pub(crate) is_cancel: bool,
}

impl Target {
    pub(crate) fn new(job: &str, is_cancel: bool) -> Self {
        Target { job: job.to_owned(), is_cancel }
    }
}

/// Writes that are pending or in flight, by job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    pub(crate) jobs: BTreeMap<JobId, Write>,
    pub(crate) cancels: BTreeMap<JobId, Write>,
    /// Calls in flight.
    pub(crate) in_flight: usize,
    /// Abandoned writes that may still be applied, each with the time after which it can't be.
    pub(crate) unresolved: BTreeMap<Target, Duration>,
    /// When cancellations of jobs that don't exist were written, or may have been, in ascending order.
    pub(crate) tombstones: VecDeque<Duration>,
}

impl Writes {
    /// Writes of jobs or of cancellations, whichever the operation writes.
    pub(crate) fn by_kind(&mut self, operation: &Operation) -> &mut BTreeMap<JobId, Write> {
        if matches!(operation, Operation::Submit(_)) { &mut self.jobs } else { &mut self.cancels }
    }

    /// Number of jobs and cancellations that are not durable yet.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len() + self.cancels.len()
    }
}
