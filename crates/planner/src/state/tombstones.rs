//! State of the cancellations of jobs that don't exist.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::JobId;
use sapphire_store::call::Revision;

/// Cancellation of a job that doesn't exist.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// Revision of its record; 0 while no read of the store has shown it.
    pub(crate) revision: Revision,
    /// Since when it is known.
    pub(crate) since: Duration,
}

/// Cancellations of jobs that don't exist. Such a job is cancelled as soon as its record is found.
#[derive(Default)]
pub(crate) struct Tombstones {
    pub(crate) by_job: BTreeMap<JobId, Tombstone>,
    /// A removal is in flight.
    pub(crate) is_removing: bool,
    /// Earliest time of the next removal.
    pub(crate) remove_at: Duration,
}

impl Tombstones {
    /// Adds a cancellation, or the revision of its record.
    pub(crate) fn add(&mut self, now: Duration, id: &str, revision: Revision) {
        let new = Tombstone { revision, since: now };
        let tombstone = self.by_job.entry(id.to_owned()).or_insert(new);
        if revision > tombstone.revision {
            *tombstone = new;
        }
    }
}
