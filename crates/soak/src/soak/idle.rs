//! Measures for how long jobs have nothing running while there is ample capacity for them, and
//! checks that against the promise.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use sapphire_jobs::{resources::Resources, task::Task};
use sapphire_proofs::jobs::minion::{Minion, Truth};
use sapphire_standins::jobs_platform::{CAPACITY, MAX_ATTEMPTS};

use super::{Job, Soak, cancels::CONTACT_TIME};

/// Time after the end of the traffic and of the faults from which on jobs must not be idle.
const FINISH_DELAY: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running although there is capacity for it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A time for which a job had nothing running although there was capacity for it.
#[derive(Clone, Debug, Default)]
pub struct Standstill {
    /// Id of the job.
    pub job: String,
    /// Length.
    pub length: Duration,
    /// What of it is later than four seconds after the last disturbance.
    pub calm: Duration,
    /// Largest number of jobs that stood at the same time.
    pub jobs: usize,
    /// Its end, in Unix time.
    pub end: Duration,
    /// Why the job waited, by the logs of the entries.
    pub reason: String,
}

impl Standstill {
    /// Returns whether it breaks the promise: three seconds, while those and the four seconds before
    /// are without disturbance.
    pub fn is_broken(&self) -> bool {
        self.calm >= IDLE_TIMEOUT
    }
}

impl fmt::Display for Standstill {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Standstill { job, length, calm, jobs, reason, .. } = self;
        let mark = if self.is_broken() { "LOST: " } else { "" };
        write!(
            f,
            "{mark}{job} has nothing running for {} ms, {} ms of them calm; jobs at once: {jobs}; \
             {reason}",
            length.as_millis(),
            calm.as_millis()
        )
    }
}

/// A period in which a job has nothing running although there is capacity for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Idle {
    since: Duration,
    /// Since when the time is calm, and the longest such time.
    calm_since: Option<Duration>,
    calm: Duration,
    is_reported: bool,
    /// Largest number of jobs that had nothing running meanwhile.
    jobs: usize,
}

/// What the minions that are up have running, and what they have free.
struct Usage {
    minions: usize,
    used: Resources,
    free: Vec<Resources>,
}

impl Usage {
    /// Returns whether less than half of the capacity is in use.
    fn is_below_half(&self) -> bool {
        let capacity = CAPACITY.times(self.minions as u64);
        capacity.count_fitting(self.used.times(2)) > 0
            && capacity.minus(self.used.times(2)) != Resources::default()
    }

    /// Returns whether the due group of a job fits twice into what is free.
    fn fits_twice(&self, truth: &Truth) -> bool {
        let fitting = self.free.iter().map(|free| free.count_fitting(truth.resources)).sum::<u32>();
        fitting >= 2 * truth.members
    }
}

impl Soak {
    /// Checks each accepted job that is not done.
    pub(super) fn watch_idle(&mut self, now: Duration) {
        let usage = self.usage(now);
        let judged_from = self.busy_until + FINISH_DELAY;
        let calm_from = self.disturbed_until + CONTACT_TIME;
        let (mut broken, mut ended) = (Vec::new(), Vec::new());
        let is_below_half = usage.is_below_half();
        let mut standing = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_accepted) {
            let is_running = self.minions.iter().any(|minion| is_running(minion, id));
            if !is_running
                && self.is_due(id, job)
                && usage.fits_twice(&self.truth[&(id.clone(), 0)])
            {
                standing.push(id.clone());
            }
        }
        let count = standing.len();
        for (id, job) in &mut self.jobs {
            // What is in use matters only near a disturbance.
            let is_calm = now >= calm_from;
            if standing.binary_search(id).is_err() || !(is_below_half || is_calm) {
                ended.extend(job.idle.take().map(|idle| (id.clone(), idle)));
                continue;
            }
            let idle = job.idle.get_or_insert(Idle { since: now, ..Idle::default() });
            idle.jobs = idle.jobs.max(count);
            idle.calm_since = is_calm.then(|| idle.calm_since.unwrap_or(now));
            idle.calm = idle.calm.max(now - idle.calm_since.unwrap_or(now));
            let is_late = now >= idle.since.max(judged_from) + IDLE_TIMEOUT;
            if is_below_half && is_late && !idle.is_reported {
                idle.is_reported = true;
                broken.push(format!("{id} has had nothing running for {:?}", now - idle.since));
            }
        }
        for (id, idle) in ended {
            self.record_standstill(now, id, idle);
        }
        for text in broken {
            let Usage { minions, used, .. } = usage;
            self.break_promise(format!(
                "{text} with room for it: {} of {} accelerators are in use",
                used.accelerators,
                CAPACITY.accelerators * minions as u64
            ));
        }
    }

    /// Returns whether a task of a job is due: it is neither done nor cancelled, and no task of it
    /// has failed as often as it may.
    fn is_due(&self, id: &str, job: &Job) -> bool {
        let is_done = |index| {
            let task = Task { job: id.to_owned(), occurrence: 0, step: 0, index };
            self.completions.contains_key(&task)
        };
        let has_failed = |(task, count): (&Task, &u32)| task.job == id && *count >= MAX_ATTEMPTS;
        !job.is_complete
            && job.cancel_sent_at.is_none()
            && !(0..job.tasks).all(is_done)
            && !self.failures.iter().any(has_failed)
    }

    /// Ends the periods of all jobs.
    pub(super) fn end_idle(&mut self, now: Duration) {
        let idle = |(id, job): (&String, &mut Job)| Some((id.clone(), job.idle.take()?));
        let ended: Vec<(String, Idle)> = self.jobs.iter_mut().filter_map(idle).collect();
        for (id, idle) in ended {
            self.record_standstill(now, id, idle);
        }
    }

    /// Records a period that has ended.
    fn record_standstill(&mut self, now: Duration, job: String, idle: Idle) {
        let length = now - idle.since;
        self.outcome.longest_standstill = self.outcome.longest_standstill.max(length);
        if length >= IDLE_TIMEOUT {
            let end = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let Idle { calm, jobs, .. } = idle;
            let standstill = Standstill { job, length, calm, jobs, end, reason: String::new() };
            self.write_log(&standstill.to_string());
            self.outcome.standstills.push(standstill);
        }
    }

    /// Returns what the minions have running and free that are up, reached by their agents and not
    /// in a cordoned zone.
    fn usage(&self, now: Duration) -> Usage {
        let used_by = |minion: &Minion| {
            let truths = minion.active.keys().map(|task| &self.truth[&(task.job.clone(), 0)]);
            truths.fold(Resources::default(), |sum, truth| sum.plus(truth.resources))
        };
        let is_open = |(agent, minion): &(u8, &Minion)| {
            minion.is_up
                && !minion.incarnation.is_draining
                && !self.spells.is_away(now, *agent)
                && !self.cordons.contains_key(&minion.incarnation.zone)
        };
        let open = (0..).zip(&self.minions).filter(is_open);
        let used: Vec<Resources> = open.map(|(_, minion)| used_by(minion)).collect();
        Usage {
            minions: used.len(),
            used: used.iter().fold(Resources::default(), |sum, used| sum.plus(*used)),
            free: used.iter().map(|used| CAPACITY.minus(*used)).collect(),
        }
    }
}

/// Returns whether a minion runs a task of a job.
fn is_running(minion: &Minion, id: &str) -> bool {
    minion.active.keys().any(|task| task.job == id)
}
