//! Figures of the leases that are withheld.

use std::time::Duration;

use crate::lease::Obstacle;

/// Figures of the leases that were withheld in a term from workers with runs whose agents polled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    counts: [u64; Obstacle::ALL.len()],
    /// Longest time for which one was withheld.
    pub longest: Duration,
}

impl Summary {
    /// Returns how often a lease was withheld for a reason.
    pub fn count(&self, obstacle: Obstacle) -> u64 {
        self.counts[obstacle as usize]
    }

    pub(crate) fn add(&mut self, obstacle: Obstacle) {
        self.counts[obstacle as usize] += 1;
    }
}
