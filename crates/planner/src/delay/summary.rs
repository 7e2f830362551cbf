//! Figures of the groups that are placed and have not begun.

use std::time::Duration;

use crate::delay::Reason;

/// Figures of the groups that were placed over a second ago and have not begun.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    counts: [usize; Reason::ALL.len()],
    /// Longest time since one of them was placed, or its stop ordered.
    pub oldest: Duration,
}

impl Summary {
    /// Returns the number of groups that are delayed for a reason.
    pub fn count(&self, reason: Reason) -> usize {
        self.counts[reason as usize]
    }

    /// Adds a group that has been delayed for the given time.
    pub(crate) fn add(&mut self, reason: Reason, waited: Duration) {
        self.counts[reason as usize] += 1;
        self.oldest = self.oldest.max(waited);
    }
}
