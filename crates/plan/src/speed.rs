//! Lasting speed of workers.

use std::{cmp, collections::BTreeMap, time::Duration};

/// Run time of a task on a worker as a multiple of the reference run time: 2 on a worker that takes
/// twice as long as usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness(f64);

impl Slowness {
    /// Slowness of a worker at the reference speed.
    pub const REFERENCE: Slowness = Slowness(1.0);

    /// Returns the slowness of the given ratio, which is greater than 0.
    pub fn new(ratio: f64) -> Self {
        Slowness(ratio)
    }

    /// Returns the ratio of run times.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the run time on a worker of this slowness, given the reference run time.
    pub fn run_time(self, reference: Duration) -> Duration {
        if self == Slowness::REFERENCE { reference } else { reference.mul_f64(self.0) }
    }

    /// Returns the reference run time, given the run time on a worker of this slowness.
    pub fn reference_time(self, run_time: Duration) -> Duration {
        if self == Slowness::REFERENCE { run_time } else { run_time.div_f64(self.0) }
    }
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness::REFERENCE
    }
}

impl Eq for Slowness {}

impl PartialOrd for Slowness {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slowness {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Options of the learning.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Options {
    /// Ratio of run times between slow and fast workers from which on they count as unequal. `None`
    /// if all workers count as equal.
    pub unequal_from: Option<f64>,
}

/// What is known of the speed of each worker.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    /// Slowness of workers that is given rather than learned.
    given: BTreeMap<String, Slowness>,
}

impl Speeds {
    /// Returns the given slowness of workers; others are at the reference speed.
    pub fn given(slowness: impl IntoIterator<Item = (String, Slowness)>) -> Self {
        Speeds { given: slowness.into_iter().collect() }
    }

    /// Returns the slowness of a worker: that of the reference while the workers count as equal.
    pub fn slowness(&self, worker: &str) -> Slowness {
        self.given.get(worker).copied().unwrap_or_default()
    }
}
