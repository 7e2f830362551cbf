//! Quarantine of workers on which every task fails, as opposed to jobs that fail on every worker.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use sapphire_wire::id;

/// Number of different jobs that must fail on a worker, without a success between them, before it
/// is quarantined.
const STREAK: usize = 3;
/// Number of latest outcomes, over all workers, from which the failure rate of the other workers
/// is computed.
const OUTCOME_WINDOW: usize = 50;
/// Failure rate of the other workers, in per cent, above which jobs rather than workers are taken
/// to be the cause of failures.
const FAULTY_JOBS_PERCENT: usize = 50;
/// Duration of a worker's first quarantine. It doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Jobs that failed on this worker since its last success or quarantine.
    failed: BTreeSet<id::Job>,
    /// End of the current quarantine.
    quarantined_until: Option<Duration>,
    /// Number of quarantines since its last success.
    quarantines: u32,
}

/// Outcomes of recent tasks, and the workers that are quarantined because of them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: BTreeMap<id::Worker, Record>,
    latest_outcomes: VecDeque<(id::Worker, bool)>,
}

impl Health {
    /// Records that a job succeeded on the given workers. This ends their probation.
    pub fn succeeded<'a>(&mut self, workers: impl Iterator<Item = &'a id::Worker>) {
        for worker in workers {
            self.workers.remove(worker);
            self.record_outcome(worker, true);
        }
    }

    /// Records that a task of a job failed on a worker. Returns the duration of the quarantine if
    /// this failure starts one.
    ///
    /// A quarantine starts when three different jobs have failed on the worker without a success
    /// between them while at most half of the outcomes on other workers are failures: a wave of
    /// faulty jobs fails everywhere and quarantines no worker. A worker that fails again during
    /// its probation is quarantined at once, for twice as long.
    pub fn failed(&mut self, now: Duration, worker: &str, job: &str) -> Option<Duration> {
        self.record_outcome(worker, false);
        let are_jobs_faulty = self.are_jobs_faulty(worker);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.failed.insert(job.to_owned());
        let is_on_probation = record.quarantines > 0;
        let is_streak = record.failed.len() >= STREAK || is_on_probation;
        if !is_streak || are_jobs_faulty {
            return None;
        }
        let duration = FIRST_QUARANTINE
            .saturating_mul(2_u32.saturating_pow(record.quarantines.min(8)))
            .min(MAX_QUARANTINE);
        record.quarantines += 1;
        record.failed.clear();
        record.quarantined_until = Some(now + duration);
        Some(duration)
    }

    fn record_outcome(&mut self, worker: &str, is_success: bool) {
        self.latest_outcomes.push_back((worker.to_owned(), is_success));
        if self.latest_outcomes.len() > OUTCOME_WINDOW {
            self.latest_outcomes.pop_front();
        }
    }

    /// Whether so much fails on the workers other than `worker` that jobs must be the cause.
    fn are_jobs_faulty(&self, worker: &str) -> bool {
        let others = || self.latest_outcomes.iter().filter(|(other, _)| other != worker);
        let failures = others().filter(|(_, is_success)| !is_success).count();
        failures * 100 > others().count() * FAULTY_JOBS_PERCENT
    }

    /// Workers that are in quarantine at the given time.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = &id::Worker> {
        let is_quarantined =
            move |record: &Record| record.quarantined_until.is_some_and(|until| now < until);
        self.workers.iter().filter(move |(_, record)| is_quarantined(record)).map(|(name, _)| name)
    }

    /// Moves workers whose quarantine has ended to probation. Returns whether there were any.
    pub fn release(&mut self, now: Duration) -> bool {
        let mut is_any = false;
        for record in self.workers.values_mut() {
            is_any |= record.quarantined_until.take_if(|until| now >= *until).is_some();
        }
        is_any
    }
}
