//! Jobs and workers that are left alone for a while.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::health;
use sapphire_wire::id;

/// Wait before a job whose holds were refused is placed again, and before the worker that
/// refused is used again.
const REFUSED: Duration = Duration::from_millis(300);
/// Time for which a worker whose task failed or was lost is left out of placement.
const CULPRIT: Duration = Duration::from_secs(5);

/// Until when each is left alone.
#[derive(Debug, Default)]
pub struct Backoff {
    jobs: BTreeMap<id::Job, Duration>,
    workers: BTreeMap<id::Worker, Duration>,
    health: health::Health,
}

impl Backoff {
    /// A job's holds were refused, or its attempt was lost.
    pub fn delay_job(&mut self, now: Duration, job: &str) {
        self.jobs.insert(job.to_owned(), now + REFUSED);
    }

    /// A job needs no more waiting.
    pub fn forget_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether a job is left alone now.
    pub fn is_delayed(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// A worker refused a hold.
    pub fn refused(&mut self, now: Duration, worker: &str) {
        self.workers.insert(worker.to_owned(), now + REFUSED);
    }

    /// A worker lost a task.
    pub fn lost(&mut self, now: Duration, worker: &str) {
        self.workers.insert(worker.to_owned(), now + CULPRIT);
    }

    /// A job's task failed on a worker. Returns for how long the worker is set aside, if it is.
    pub fn failed(&mut self, now: Duration, worker: &str, job: &str) -> Option<Duration> {
        self.lost(now, worker);
        self.health.failed(now, worker, job)
    }

    /// A job was done on these workers.
    pub fn succeeded<'a>(&mut self, workers: impl Iterator<Item = &'a id::Worker>) {
        self.health.succeeded(workers);
    }

    /// Workers that get nothing now.
    pub fn left_out(&self, now: Duration) -> Vec<id::Worker> {
        self.workers.keys().chain(self.health.quarantined(now)).cloned().collect()
    }

    /// Workers that fail every task they start.
    pub fn aside(&self, now: Duration) -> Vec<&id::Worker> {
        self.health.quarantined(now).collect()
    }

    /// Lets times pass; returns whether something may be tried again.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.jobs.len() + self.workers.len();
        self.jobs.retain(|_, until| *until > now);
        self.workers.retain(|_, until| *until > now);
        let is_any = self.jobs.len() + self.workers.len() < before;
        self.health.release(now) || is_any
    }
}
