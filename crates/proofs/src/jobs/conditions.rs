//! Conditions of a deployment that don't depend on the kinds of its jobs.

use std::time::Duration;

/// Speeds of the workers, distribution of the jobs over the organisations, and behaviour of tasks
/// whatever their kind.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Run times on the workers as multiples of the reference run time; given to the workers by
    /// turns.
    pub slowness: &'static [f64],
    /// Share of the tasks that take much longer than the others of their step, and the factor by
    /// which they take longer.
    pub long_tasks: (f64, f64),
    /// Time that a run which continues from a checkpoint takes to restore it.
    pub restoration: Duration,
    /// Number of organisations.
    pub organisations: u32,
    /// Exponent of the organisations' numbers of jobs: that of rank `n`, from 1, submits in
    /// proportion to `n` to the power of `-exponent`. `None` if they submit by turns.
    pub demand_exponent: Option<f64>,
}

impl Conditions {
    /// Workers of equal speed, four organisations with equal demand, no long tasks, and checkpoints
    /// that are restored at once.
    pub const EQUAL: Conditions = Conditions {
        slowness: &[1.0],
        long_tasks: (0.0, 1.0),
        restoration: Duration::ZERO,
        organisations: 4,
        demand_exponent: None,
    };

    /// Slowness of a worker, numbered over all regions.
    pub fn slowness_of(&self, worker: usize) -> f64 {
        self.slowness[worker % self.slowness.len()]
    }

    /// Whether a worker is one of the slowest; never if all are equal.
    pub fn is_slow(&self, worker: usize) -> bool {
        let least = self.slowness.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = self.slowness.iter().copied().fold(0.0, f64::max);
        greatest > least && self.slowness_of(worker) == greatest
    }

    /// Weights of the organisations' numbers of jobs, by rank.
    pub fn weights(&self) -> Vec<f64> {
        let exponent = self.demand_exponent.unwrap_or_default();
        (1..=self.organisations).map(|rank| f64::from(rank).powf(-exponent)).collect()
    }
}
