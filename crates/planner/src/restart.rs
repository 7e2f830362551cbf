//! Restarts single tasks at the end of a step on faster workers.
//!
//! Guards against a step that waits for its last tasks, which run on slow workers, while fast ones
//! are free.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::{
    resources::Resources,
    task::{GroupKey, JobId, Task, WorkerName},
};
use sapphire_plan::{
    assignment::{self, Demand, Reach},
    speed::Slowness,
    tiers::Need,
};

use crate::{
    event::Moment,
    group::{Active, Group, Phase},
    pass,
    planner::Planner,
    pool::Pool,
    table::{Entry, step_groups},
    worker::{Cause, Phase as RunPhase, Run},
};

/// Interval between two checks of all runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a restart costs in addition to the run: the stop, the new start, the restoration of a
/// checkpoint, and their messages.
const RESTART: Duration = Duration::from_millis(1_300);
/// Ratio of the time left here to that after a restart from which on a restart is worth it. Run
/// times are known only approximately.
const MIN_GAIN: f64 = 1.2;

/// A task that ends sooner on a faster worker.
struct Restart {
    job: JobId,
    key: GroupKey,
    log: String,
}

impl Planner {
    /// Restarts single tasks on faster workers, at intervals and where no other group waits for
    /// workers. `waits` has the services for which groups wait.
    pub(crate) fn restart_on_faster(&mut self, now: Moment, waits: &BTreeSet<String>) {
        if self.awaited_slowness.is_empty() || now.steady < self.last_restarts + CHECK_INTERVAL {
            return;
        }
        self.last_restarts = now.steady;
        let has_claim = |entry: &&Entry| entry.groups.values().any(|group| group.claim.is_some());
        let open = self.table.open.iter().filter_map(|id| self.table.entries.get(id));
        // The resources of a claim look free, but are not.
        let claimed: BTreeSet<&str> =
            open.filter(has_claim).map(|entry| self.service(entry)).collect();
        let is_idle = |name: &&String| !waits.contains(*name) && !claimed.contains(name.as_str());
        let services: Vec<String> = self.awaited_slowness.keys().filter(is_idle).cloned().collect();
        for service in services {
            let mut pool = self.pool(now, &service);
            let keep = pass::reserved_workers(pool.places.len());
            pool.places = assignment::without_reserved(&pool.places, keep);
            self.restart_in(now, &service, &mut pool);
        }
    }

    /// Restarts tasks of one service that would otherwise make their jobs late, each on free
    /// resources of its own.
    fn restart_in(&mut self, now: Moment, service: &str, pool: &mut Pool) {
        let mut restarts = Vec::new();
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            if self.service(entry) != service {
                continue;
            }
            for (key, group) in &entry.groups {
                restarts.extend(self.faster_restart(now, pool, entry, key, group));
            }
        }
        for Restart { job, key, log } in restarts {
            let entry = self.table.entries.get_mut(&job);
            if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(&key)) {
                group.restarts_faster = true;
            }
            self.log(log);
            self.stop_group(now.steady, &job, &key, &Cause::Faster);
        }
    }

    /// Returns the restart of a group that is worth its cost, and allocates its new place.
    fn faster_restart(
        &self,
        now: Moment,
        pool: &mut Pool,
        entry: &Entry,
        key: &GroupKey,
        group: &Group,
    ) -> Option<Restart> {
        let active = group.active().filter(|active| !active.is_stopping && !active.is_remote)?;
        let step = entry.step(key.step)?;
        // A second restart would lose more than it gains.
        if step.is_gang || step.is_long_running || group.restarts_faster {
            return None;
        }
        let here = self.active_slowness(active);
        if here <= self.awaited_slowness(entry) || !is_at_end(entry, key) {
            return None;
        }
        let (run, left) = self.time_left(now, entry, key, active)?;
        if Self::age(entry, now) + left <= self.objective(entry) {
            return None;
        }
        let demand = self.demand(now, entry, key, None)?;
        let limit = Some(self.awaited_slowness(entry));
        let speed = Need { limit, prefers_slow: false, ..demand.speed };
        let demand = Demand { speed, ..demand };
        let assignments = assignment::assign(&pool.places, &demand, Reach::Near)?;
        let at = assignments.first()?.place;
        if pool.places[at].suspicion > 0 {
            return None;
        }
        let again = repeated_time(run, left, here, now.steady, step.checkpoints);
        let there = pool.places[at].slowness.run_time(again) + RESTART;
        // The work done here is lost for nothing if the job is late all the same.
        let is_late = Self::age(entry, now) + there > self.objective(entry);
        if is_late || there.mul_f64(MIN_GAIN) >= left {
            return None;
        }
        pool.allocate(at, Resources::read(step.room.as_ref()));
        let log = format!(
            "job={} step={} index={} is restarted on a faster worker: left_ms={} there_ms={}",
            entry.job.id,
            key.step,
            key.index,
            left.as_millis(),
            there.as_millis()
        );
        Some(Restart { job: entry.job.id.clone(), key: *key, log })
    }

    /// Returns the run of a group that is a single task, and how much longer it takes.
    fn time_left(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        active: &Active,
    ) -> Option<(&Run, Duration)> {
        let (index, name): (&u32, &WorkerName) = active.unfinished.first_key_value()?;
        let GroupKey { occurrence, step, .. } = *key;
        let task = Task { job: entry.job.id.clone(), occurrence, step, index: *index };
        let run = self.workers.get(name)?.runs.get(&task)?;
        let left = self.remaining_run(now, entry, key, active);
        (run.phase == RunPhase::Running).then_some((run, left))
    }
}

/// Returns whether no task of a group's step waits.
fn is_at_end(entry: &Entry, key: &GroupKey) -> bool {
    let mut groups = entry.groups.range(step_groups(key.occurrence, key.step));
    groups.all(|(_, group)| group.phase != Phase::Waiting)
}

/// Returns the reference run time of a run that continues from the checkpoint of this one, or starts
/// from the beginning if it saves none. `left` is the time left here, at the slowness `here`.
fn repeated_time(
    run: &Run,
    left: Duration,
    here: Slowness,
    now: Duration,
    saves: bool,
) -> Duration {
    let since = if saves { run.checkpointed_at.max(run.began) } else { run.began };
    // A run of which no checkpoint is known may have continued from an earlier one.
    here.reference_time(left + now.saturating_sub(since))
}
