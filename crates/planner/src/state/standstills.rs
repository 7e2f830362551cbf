//! State of the search for open jobs that have nothing at work.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::JobId;

/// State of the search for open jobs that have nothing at work.
#[derive(Default)]
pub(crate) struct Standstills {
    /// Time of the latest search; `None` before the first one.
    pub(crate) searched_at: Option<Duration>,
    /// Jobs that have nothing at work, with the time since which this is so.
    pub(crate) since: BTreeMap<JobId, Duration>,
    /// Time of the latest log line.
    pub(crate) logged_at: Option<Duration>,
}

impl Standstills {
    /// Returns the longest time for which a job has had nothing at work, at the latest search.
    pub(crate) fn longest(&self) -> Duration {
        let since = self.since.values().min().copied();
        since
            .map_or(Duration::ZERO, |since| self.searched_at.unwrap_or(since).saturating_sub(since))
    }
}
