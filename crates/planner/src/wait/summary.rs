//! Figures of the groups that are due and wait.

use std::time::Duration;

use crate::wait::Reason;

/// Figures of the groups that were due and not placed at the latest pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    counts: [usize; Reason::ALL.len()],
    /// Longest time for which one of them has waited.
    pub oldest: Duration,
    /// Those that have waited for over a second although free resources hold them, each by itself.
    pub fitting: usize,
    /// Those that were tried and have waited for over a second.
    pub(crate) examinable: usize,
}

impl Summary {
    /// Returns the number of groups that wait for a reason.
    pub fn count(&self, reason: Reason) -> usize {
        self.counts[reason as usize]
    }

    /// Adds groups that wait for a reason, the oldest of them for the given time.
    pub(crate) fn add(&mut self, reason: Reason, groups: usize, waited: Duration) {
        self.counts[reason as usize] += groups;
        self.oldest = self.oldest.max(waited);
    }
}
