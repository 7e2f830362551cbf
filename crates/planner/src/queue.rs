//! Settings of a queue that apply to its jobs.

use std::time::Duration;

use sapphire_jobs::{Job, catalog::Queue};

/// Settings of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Settings {
    /// Priority; jobs of priority 0 go first.
    pub(crate) priority: u32,
    /// Maximum number of failed runs of a task before its job fails.
    pub(crate) max_attempts: u32,
    /// Objective in multiples of the run time of the critical path.
    pub(crate) slack: f64,
    /// Time that is added to the objective.
    pub(crate) target_latency: Duration,
}

impl Settings {
    /// Returns the settings as configured.
    pub(crate) fn of(queue: &Queue) -> Self {
        Settings {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            slack: queue.slack,
            target_latency: queue.target_latency,
        }
    }

    /// Returns the settings at the acceptance of a job, for a queue that is no longer configured.
    pub(crate) fn accepted(job: &Job) -> Self {
        Settings {
            priority: job.priority,
            max_attempts: job.max_attempts,
            slack: f64::from(job.slack_milli) / 1_000.0,
            target_latency: Duration::from_millis(job.target_latency_ms),
        }
    }
}
