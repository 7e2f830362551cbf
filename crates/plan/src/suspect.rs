//! Suspicion of workers on which tasks fail, stall or are slow.
//!
//! A worker that fails whatever it starts is always free, so that every waiting task would go there
//! next and use up its attempts. One failure makes a worker the last choice for a short time, each
//! further consecutive failure for longer; a success clears it.

use std::{collections::BTreeMap, time::Duration};

/// Time for which one failure makes a worker the last choice. This is about the run time of one
/// urgent task, so that a failure that the task itself caused costs little capacity.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(3);
/// Maximum time for which a worker is the last choice or excluded, after which it is tried again.
const MAX_AVOIDANCE: Duration = Duration::from_secs(24);
/// Time for which a worker counts as running at the expected speed after a task there did. Covers
/// two checks of all runs and the longest interval between a minion's lists; not longer, since a
/// worker may become slow at any moment.
const SPEED_VALIDITY: Duration = Duration::from_millis(1_200);
/// Time for which a worker is the last choice after a task there was found to be stalled.
const STALL_AVOIDANCE: Duration = Duration::from_secs(1);
/// Number of consecutive failures from which a worker is excluded, rather than the last choice.
const EXCLUDE_AT: u32 = 2;

/// How far a worker is to be avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// The worker is not suspect.
    None,
    /// The worker is used only if there is no other.
    LastChoice,
    /// The worker is given no tasks.
    Excluded,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Number of consecutive failures.
    failures: u32,
    /// Time until which it is avoided because of failures.
    failed_until: Duration,
    /// Number of times that it was found to be slow since it last ran at the expected speed.
    slow_count: u32,
    /// Time until which it is avoided because it is slow.
    slow_until: Duration,
    /// Time until which it is avoided because a task there is stalled.
    stalled_until: Duration,
    /// Time at which a task there was last found to run at the expected speed.
    last_at_speed: Option<Duration>,
}

impl Record {
    /// Time until which it is the last choice, for whichever reason.
    fn avoided_until(&self) -> Duration {
        self.failed_until.max(self.slow_until).max(self.stalled_until)
    }
}

/// Observations of each worker that decide whether it is suspect.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    workers: BTreeMap<String, Record>,
}

impl Suspects {
    /// Records that a task succeeded on a worker. This clears failures, but not slowness.
    pub fn succeeded(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.failures = 0;
            record.failed_until = Duration::ZERO;
        }
    }

    /// Records that a task on a worker runs at the expected speed.
    pub fn at_speed(&mut self, worker: &str, now: Duration) {
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.slow_count = 0;
        record.last_at_speed = Some(now);
    }

    /// Whether a task on a worker ran at the expected speed a short time ago.
    pub fn is_at_speed(&self, worker: &str, now: Duration) -> bool {
        let seen = self.workers.get(worker).and_then(|record| record.last_at_speed);
        seen.is_some_and(|seen| now < seen + SPEED_VALIDITY)
    }

    /// Records that a task failed on a worker, or that its minion refused one because it is unhealthy
    /// or has too few free resources.
    pub fn failed(&mut self, worker: &str, now: Duration) {
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.failures += 1;
        let time = FIRST_AVOIDANCE * 2_u32.pow((record.failures - 1).min(8));
        record.failed_until = now + time.min(MAX_AVOIDANCE);
    }

    /// Records that a task on a worker was found to be stalled, as several checks in a row may do.
    /// The worker is the last choice for a short time after the last of them.
    pub fn stalled(&mut self, worker: &str, now: Duration) {
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.stalled_until = now + STALL_AVOIDANCE;
    }

    /// Records that a task on a worker runs far slower than expected. The worker is the last choice
    /// for a short time, which grows each time that it is found to be slow again.
    pub fn slowed(&mut self, worker: &str, now: Duration) {
        let record = self.workers.entry(worker.to_owned()).or_default();
        if now >= record.slow_until {
            record.slow_count += 1;
        }
        let time = FIRST_AVOIDANCE * 2_u32.pow(record.slow_count.saturating_sub(1).min(8));
        record.slow_until = record.slow_until.max(now + time.min(MAX_AVOIDANCE));
    }

    /// Drops what is known of a worker, since its minion has been replaced by another.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// How far a worker is to be avoided at the given time.
    pub fn suspicion(&self, worker: &str, now: Duration) -> Suspicion {
        match self.workers.get(worker) {
            Some(it) if now < it.failed_until && it.failures >= EXCLUDE_AT => Suspicion::Excluded,
            Some(it) if now < it.avoided_until() => Suspicion::LastChoice,
            _ => Suspicion::None,
        }
    }
}
