//! A group that is placed and has not begun.

use std::time::Duration;

use sapphire_jobs::task::{RunNumber, WorkerName};

use crate::delay::Reason;

/// A group that is placed and has not begun, or that is stopped and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Delayed {
    pub(crate) reason: Reason,
    /// Number of its run.
    pub(crate) run: RunNumber,
    /// Time at which it was placed, or its stop was ordered.
    pub(crate) since: Duration,
    /// Workers of the tasks with this reason.
    pub(crate) workers: Vec<WorkerName>,
}

impl Delayed {
    /// Adds another task of the group.
    pub(crate) fn merge(&mut self, other: Delayed) {
        match other.reason.cmp(&self.reason) {
            std::cmp::Ordering::Less => *self = other,
            std::cmp::Ordering::Equal => {
                self.since = self.since.min(other.since);
                let is_new = |worker: &WorkerName| !self.workers.contains(worker);
                let workers: Vec<WorkerName> = other.workers.into_iter().filter(is_new).collect();
                self.workers.extend(workers);
            }
            std::cmp::Ordering::Greater => {}
        }
    }
}
