//! Costs of waiting and of stopping, by which an urgent group either waits for running work to end
//! by itself or has it stopped.
//!
//! In a burst of urgent jobs all workers are busy. Stopping work throws away what it has done, and
//! waiting may make the urgent job late. Neither can be predicted exactly, since run times are
//! known only as a median and a spread, so expected costs are compared.

use std::time::Duration;

use crate::{estimate::Estimate, speed::Slowness};

/// Minimum spread of a run time, as the standard deviation of its logarithm: the speed of any run
/// varies a little.
const MIN_SPREAD: f64 = 0.1;
/// Cost of a late urgent job, in processor seconds of lost work that are as bad. This is below what
/// the lateness alone costs the caller, since a stop also makes other jobs late.
pub const LATE_COST: f64 = 400.0;
/// Factor at which the logistic function approximates the cumulative normal distribution to within
/// 0.01.
const LOGISTIC_SCALE: f64 = 1.702;

/// An urgent job that waits for resources.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Time since its acceptance.
    pub age: Duration,
    /// Expected run time.
    pub expected: Estimate,
    /// Time that it takes in addition to its wait and its run, such as for messages.
    pub overhead: Duration,
    /// Completion objective as a multiple of its run time.
    pub slack: f64,
    /// Fixed time that the objective adds to that multiple.
    pub latency: Duration,
}

/// Probability that a job misses its objective if it waits for `wait` from now.
///
/// The objective grows with the run time, so the job is late if its run time turns out to be
/// short: if the slack, which is the objective less the run time, does not cover the time waited.
pub fn chance_late(job: &Job, wait: Duration) -> f64 {
    chance_late_at(job, wait, Slowness::REFERENCE)
}

/// The same for a run on workers of the given slowness, which leaves less slack. The objective is
/// that of the reference speed.
pub fn chance_late_at(job: &Job, wait: Duration, slowness: Slowness) -> f64 {
    let waited = (job.age + wait + job.overhead).as_secs_f64() - job.latency.as_secs_f64();
    let slack_ratio = job.slack.max(1.0) - slowness.get();
    if slack_ratio >= 0.0 && waited <= 0.0 {
        return 0.0;
    }
    if slack_ratio <= 0.0 && waited >= 0.0 {
        return 1.0;
    }
    // With slack the job is late if its run is shorter than this; on workers that are slower than
    // the objective allows, if it is longer than the time left of the latency makes up for.
    let limit = waited / slack_ratio;
    let expected = job.expected.centre.as_secs_f64().max(f64::MIN_POSITIVE);
    let spread = job.expected.spread.max(MIN_SPREAD);
    let deviations = (limit / expected).ln() / spread * slack_ratio.signum();
    1.0 / (1.0 + (-LOGISTIC_SCALE * deviations).exp())
}

/// Expected cost of a wait in processor seconds: `stopped`, which is lost by the stops that are
/// needed after it, and the expected lateness of the job.
pub fn cost(job: &Job, wait: Duration, stopped: f64) -> f64 {
    cost_at(job, wait, stopped, Slowness::REFERENCE)
}

/// The same for a run on workers of the given slowness.
pub fn cost_at(job: &Job, wait: Duration, stopped: f64, slowness: Slowness) -> f64 {
    stopped + LATE_COST * chance_late_at(job, wait, slowness)
}

/// Mean time in seconds that stopped work waits for resources again at peak load.
const MEAN_REQUEUE_SECONDS: f64 = 4.0;

/// Expected cost of the lateness that a stop causes the stopped job, in processor seconds, in
/// addition to the work that is lost. `slack` is the time by which the job would be early if it were
/// not stopped.
///
/// Guards against work that saves checkpoints being stopped again and again by a burst of urgent
/// jobs, because the stop itself costs next to nothing: little of it is lost, but it ends late.
pub fn stop_lateness(priority: u32, slack: Duration) -> f64 {
    let probability =
        if slack.is_zero() { 0.0 } else { (-slack.as_secs_f64() / MEAN_REQUEUE_SECONDS).exp() };
    LATE_COST * probability / (f64::from(priority) + 1.0)
}
