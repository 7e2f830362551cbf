//! Tells workers that fail every task from jobs that fail everywhere.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use sapphire_wire::id;

/// Different jobs that must fail in a row on a worker.
const STREAK: usize = 3;
/// Latest outcomes of other workers that are looked at.
const WINDOW: usize = 50;
/// Share of failures among those, in per cent, above which jobs are to blame.
const BAD_JOBS: usize = 50;
/// First time for which a worker is set aside; doubles each time.
const ASIDE: Duration = Duration::from_secs(60);
/// Longest time for which a worker is set aside.
const MAX_ASIDE: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Jobs that failed here since the last success.
    failed: BTreeSet<id::Job>,
    aside_until: Option<Duration>,
    /// Times it was set aside since its last success.
    times: u32,
}

/// Outcomes by worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: BTreeMap<id::Worker, Record>,
    latest: VecDeque<(id::Worker, bool)>,
}

impl Health {
    /// Notes a job that was done on these workers. A worker on probation is well again.
    pub fn succeeded<'a>(&mut self, workers: impl Iterator<Item = &'a id::Worker>) {
        for worker in workers {
            self.workers.remove(worker);
            self.note(worker, true);
        }
    }

    /// Notes a job whose task failed on a worker. Returns for how long the worker is set aside,
    /// if it is from now.
    ///
    /// Three different jobs in a row must fail there while fewer than half do elsewhere: a wave
    /// of bad jobs fails everywhere and sets no worker aside. A worker on probation that fails
    /// again is set aside at once, for twice as long.
    pub fn failed(&mut self, now: Duration, worker: &str, job: &str) -> Option<Duration> {
        self.note(worker, false);
        let are_jobs_bad = self.are_jobs_bad(worker);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.failed.insert(job.to_owned());
        let is_on_probation = record.times > 0;
        let is_streak = record.failed.len() >= STREAK || is_on_probation;
        if !is_streak || are_jobs_bad {
            return None;
        }
        let time = ASIDE.saturating_mul(2_u32.saturating_pow(record.times.min(8))).min(MAX_ASIDE);
        record.times += 1;
        record.failed.clear();
        record.aside_until = Some(now + time);
        Some(time)
    }

    fn note(&mut self, worker: &str, is_success: bool) {
        self.latest.push_back((worker.to_owned(), is_success));
        if self.latest.len() > WINDOW {
            self.latest.pop_front();
        }
    }

    fn are_jobs_bad(&self, worker: &str) -> bool {
        let others = || self.latest.iter().filter(|(other, _)| other != worker);
        let failures = others().filter(|(_, is_success)| !is_success).count();
        failures * 100 > others().count() * BAD_JOBS
    }

    /// Workers that are set aside now.
    pub fn aside(&self, now: Duration) -> impl Iterator<Item = &id::Worker> {
        let is_aside = move |record: &Record| record.aside_until.is_some_and(|until| now < until);
        self.workers.iter().filter(move |(_, record)| is_aside(record)).map(|(name, _)| name)
    }

    /// Puts workers whose time aside has passed on probation; returns whether there were any.
    pub fn release(&mut self, now: Duration) -> bool {
        let mut is_any = false;
        for record in self.workers.values_mut() {
            is_any |= record.aside_until.take_if(|until| now >= *until).is_some();
        }
        is_any
    }
}
