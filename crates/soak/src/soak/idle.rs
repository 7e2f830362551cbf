//! Checks that no job has nothing running while there is ample capacity for it.

use std::time::Duration;

use sapphire_jobs::{resources::Resources, task::Task};
use sapphire_proofs::jobs::minion::{Minion, Truth};
use sapphire_standins::jobs_platform::CAPACITY;

use super::{Job, Soak};

/// Time after the end of the traffic and of the faults from which on jobs must not be idle.
const FINISH_DELAY: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running although there is capacity for it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A period in which a job has nothing running although there is capacity for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Idle {
    since: Duration,
    is_reported: bool,
}

/// What the minions that are up have running, and what they have free.
struct Usage {
    minions: usize,
    used: Resources,
    free: Vec<Resources>,
}

impl Usage {
    /// Returns whether less than half of the capacity is in use, and the due group of a job fits
    /// twice into what is free.
    fn has_room(&self, truth: &Truth) -> bool {
        let capacity = CAPACITY.times(self.minions as u64);
        let fitting = self.free.iter().map(|free| free.count_fitting(truth.resources)).sum::<u32>();
        let is_below_half = capacity.count_fitting(self.used.times(2)) > 0
            && capacity.minus(self.used.times(2)) != Resources::default();
        is_below_half && fitting >= 2 * truth.members
    }
}

impl Soak {
    /// Checks each accepted job that is not done.
    pub(super) fn watch_idle(&mut self, now: Duration) {
        let usage = self.usage();
        let judged_from = self.busy_until + FINISH_DELAY;
        let mut broken = Vec::new();
        let mut ended = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.is_accepted) {
            let truth = &self.truth[&(id.clone(), 0)];
            let is_running = self.minions.iter().any(|minion| is_running(minion, id));
            let is_done = |index| {
                let task = Task { job: id.clone(), occurrence: 0, step: 0, index };
                self.completions.contains_key(&task)
            };
            let is_due = !job.is_complete && !(0..job.tasks).all(is_done);
            if !is_due || is_running || !usage.has_room(truth) {
                ended.extend(job.idle.take().map(|idle| (id.clone(), idle)));
                continue;
            }
            let idle = job.idle.get_or_insert(Idle { since: now, is_reported: false });
            if now >= idle.since.max(judged_from) + IDLE_TIMEOUT && !idle.is_reported {
                idle.is_reported = true;
                broken.push(format!("{id} has had nothing running for {:?}", now - idle.since));
            }
        }
        for (id, idle) in ended {
            self.record_wait(now, &id, idle);
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

    /// Ends the periods of all jobs.
    pub(super) fn end_idle(&mut self, now: Duration) {
        let idle = |(id, job): (&String, &mut Job)| Some((id.clone(), job.idle.take()?));
        let ended: Vec<(String, Idle)> = self.jobs.iter_mut().filter_map(idle).collect();
        for (id, idle) in ended {
            self.record_wait(now, &id, idle);
        }
    }

    /// Records a period that has ended, if it was long.
    fn record_wait(&mut self, now: Duration, id: &str, idle: Idle) {
        let length = now - idle.since;
        if length >= IDLE_TIMEOUT {
            let calm = now.saturating_sub(self.busy_until.max(idle.since)).as_millis();
            let text = format!(
                "{id} had nothing running for {} ms, {calm} ms of them after traffic and faults",
                length.as_millis()
            );
            self.write_log(&text);
            self.outcome.waits.push(text);
        }
    }

    /// Returns what the minions that are up have running and free.
    fn usage(&self) -> Usage {
        let used_by = |minion: &Minion| {
            let truths = minion.active.keys().map(|task| &self.truth[&(task.job.clone(), 0)]);
            truths.fold(Resources::default(), |sum, truth| sum.plus(truth.resources))
        };
        let up = self.minions.iter().filter(|minion| minion.is_up);
        let used: Vec<Resources> = up.map(used_by).collect();
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
