//! Limit of the work that is stopped for urgent jobs.

use std::time::Duration;

/// Time constant of the decay of counted runs.
const WINDOW: Duration = Duration::from_secs(30);
/// Completed runs that are assumed in addition to the counted ones, so that the first stops of a
/// term do not count as far above the limit.
const PRIOR_DONE: f64 = 20.0;
/// Price of one stopped run in processor seconds while the measured share equals the limit.
const PRICE_AT_LIMIT: f64 = 40.0;
/// Upper bound of the price, relative to that at the limit, so that urgent jobs are still served.
const MAX_PRICE_FACTOR: f64 = 4.0;

/// Options of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Runs that may be stopped for urgent jobs, as a share of the runs done.
    pub limit: f64,
}

/// Decaying counts of the runs that were stopped for urgent jobs and of those that were completed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    stopped: f64,
    done: f64,
    at: Duration,
}

impl Counts {
    /// Counts runs that are stopped for an urgent job.
    pub fn add_stopped(&mut self, now: Duration, runs: usize) {
        self.decay(now);
        self.stopped += runs as f64;
    }

    /// Counts a completed run.
    pub fn add_done(&mut self, now: Duration) {
        self.decay(now);
        self.done += 1.0;
    }

    /// Stopped runs as a share of the completed ones.
    pub fn share(&self) -> f64 {
        self.stopped / (self.done + PRIOR_DONE)
    }

    /// Price of stopping one more run, in processor seconds in addition to the work that it loses.
    /// It rises with the square of the measured share in relation to the limit.
    pub fn price(&self, options: Options) -> f64 {
        let ratio = self.share() / options.limit.max(f64::MIN_POSITIVE);
        PRICE_AT_LIMIT * (ratio * ratio).min(MAX_PRICE_FACTOR)
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at);
        let factor = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.stopped *= factor;
        self.done *= factor;
        self.at = self.at.max(now);
    }
}
