//! Figures of the runs that count as ended although their minions have not listed their ends.

use crate::loss::Evidence;

/// Figures of the runs of a term that count as ended although their minions have not listed their ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    counts: [u64; Evidence::ALL.len()],
    /// Runs that a minion has listed as running after they counted as ended.
    pub found_running: u64,
    /// Runs that a minion has listed as done after they counted as ended.
    pub found_done: u64,
}

impl Summary {
    /// Returns the number of runs that count as ended by some evidence.
    pub fn count(&self, evidence: Evidence) -> u64 {
        self.counts[evidence as usize]
    }

    pub(crate) fn add(&mut self, evidence: Evidence) {
        self.counts[evidence as usize] += 1;
    }
}
