//! What a queue grants its jobs.

use std::time::Duration;

use sapphire_jobs::{Job, catalog::Queue};

/// Terms of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Terms {
    /// 0 goes first.
    pub(crate) priority: u32,
    /// Runs of a task that may fail before its job does.
    pub(crate) max_attempts: u32,
    /// Objective in multiples of the longest chain of work.
    pub(crate) slack: f64,
    /// What the objective has beside that.
    pub(crate) target_latency: Duration,
}

impl Terms {
    /// As configured.
    pub(crate) fn of(queue: &Queue) -> Self {
        Terms {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            slack: queue.slack,
            target_latency: queue.target_latency,
        }
    }

    /// As they were when a job was accepted, for a queue that is configured no more.
    pub(crate) fn accepted(job: &Job) -> Self {
        Terms {
            priority: job.priority,
            max_attempts: job.max_attempts,
            slack: f64::from(job.slack_milli) / 1_000.0,
            target_latency: Duration::from_millis(job.target_latency_ms),
        }
    }
}
