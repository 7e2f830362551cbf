//! Groups that are due and may not be tried.

use std::time::Duration;

use sapphire_jobs::task::{GroupKey, JobId};

use crate::table::Entry;

/// Groups that are due and may not be tried.
#[derive(Clone, Debug, Default)]
pub(crate) struct Untried {
    /// Number of groups.
    pub(crate) groups: usize,
    /// The group that has waited longest, with the time since which it waits.
    pub(crate) oldest: Option<(JobId, GroupKey, Duration)>,
}

impl Untried {
    /// Adds the groups of a job that are due.
    pub(crate) fn add_due(&mut self, entry: &Entry) {
        let due = entry.due_groups().map(|(key, group)| (*key, group.waiting_since));
        self.add(entry, &due.collect::<Vec<_>>());
    }

    /// Adds groups of a job, each with the time since which it waits.
    pub(crate) fn add(&mut self, entry: &Entry, groups: &[(GroupKey, Duration)]) {
        self.groups += groups.len();
        for (key, since) in groups {
            if self.oldest.as_ref().is_none_or(|(_, _, oldest)| since < oldest) {
                self.oldest = Some((entry.job.id.clone(), *key, *since));
            }
        }
    }
}
