//! Jobs and workers that are excluded from placement for a while.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::health;
use sapphire_wire::id;

/// Delay before a job is placed again after an attempt that did not complete it, and before a
/// worker whose agent refused a hold is used again.
const REFUSED_DELAY: Duration = Duration::from_millis(300);
/// Time for which a worker whose task failed or was lost is excluded from placement.
const FAILED_DELAY: Duration = Duration::from_secs(5);

/// Jobs and workers with the time until which they are excluded, and the health of workers.
#[derive(Debug, Default)]
pub struct Backoff {
    jobs: BTreeMap<id::Job, Duration>,
    workers: BTreeMap<id::Worker, Duration>,
    health: health::Health,
}

impl Backoff {
    /// Delays a job whose attempt did not complete it, for example because a hold was refused.
    pub fn delay_job(&mut self, now: Duration, job: &str) {
        self.jobs.insert(job.to_owned(), now + REFUSED_DELAY);
    }

    /// Ends the delay of a job.
    pub fn end_delay(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether a job is delayed now.
    pub fn is_delayed(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Excludes a worker that refused a hold.
    pub fn hold_refused(&mut self, now: Duration, worker: &str) {
        self.workers.insert(worker.to_owned(), now + REFUSED_DELAY);
    }

    /// Excludes a worker that lost a task.
    pub fn task_lost(&mut self, now: Duration, worker: &str) {
        self.workers.insert(worker.to_owned(), now + FAILED_DELAY);
    }

    /// Records that a job's task failed on a worker. Returns for how long the worker is
    /// quarantined, if it is.
    pub fn task_failed(&mut self, now: Duration, worker: &str, job: &str) -> Option<Duration> {
        self.task_lost(now, worker);
        self.health.failed(now, worker, job)
    }

    /// Records that a job completed on these workers.
    pub fn job_succeeded<'a>(&mut self, workers: impl Iterator<Item = &'a id::Worker>) {
        self.health.succeeded(workers);
    }

    /// Workers that are excluded from placement now.
    pub fn excluded_workers(&self, now: Duration) -> Vec<id::Worker> {
        self.workers.keys().chain(self.health.quarantined(now)).cloned().collect()
    }

    /// Workers that are quarantined now because tasks of several jobs failed on them.
    pub fn quarantined(&self, now: Duration) -> Vec<&id::Worker> {
        self.health.quarantined(now).collect()
    }

    /// Ends exclusions whose time is over. Returns whether any ended, so that placement may succeed
    /// now.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.jobs.len() + self.workers.len();
        self.jobs.retain(|_, until| *until > now);
        self.workers.retain(|_, until| *until > now);
        let has_expired = self.jobs.len() + self.workers.len() < before;
        self.health.release(now) || has_expired
    }
}
