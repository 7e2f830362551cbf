//! Use of the lasting speed of workers: the speed that waiting work can expect, and what a group
//! needs of the speed of its workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    assignment::{self, Assignment, Demand},
    rank,
    speed::{Slowness, Speeds},
    tiers::Need,
    tradeoff::{self, Limits},
    waves::{self, Width},
};

use crate::{
    event::Moment,
    group::{Active, Group},
    planner::Planner,
    pool::Pool,
    table::Entry,
    urgent::{OVERHEAD, Urgent},
};

/// Share of a service's workers that are at least as fast as waiting work expects its own to be.
const EXPECTED_SHARE: f64 = 0.25;
/// Share of the greatest slowness at which a job is just in time that its workers may have. The rest
/// is for run times that turn out longer than expected.
const SAFE_SHARE: f64 = 0.9;
/// Time for which a group that was stopped to be restarted on a faster worker waits for such a
/// worker.
const FASTER_WAIT: Duration = Duration::from_secs(1);

impl Planner {
    /// Replaces what is known of the speed of workers.
    pub fn set_speeds(&mut self, speeds: Speeds) {
        self.speeds = speeds;
        self.needs_pass = true;
    }

    /// Updates the slowness that waiting work can expect, by service. There is none for services
    /// whose workers are all at the reference speed.
    pub(crate) fn update_awaited_slowness(&mut self) {
        self.awaited_slowness.clear();
        if self.workers.keys().all(|name| self.slowness(name) == Slowness::REFERENCE) {
            return;
        }
        let mut by_service: BTreeMap<&str, Vec<Slowness>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(minion) = &worker.incarnation else { continue };
            by_service.entry(&minion.service).or_default().push(self.slowness(name));
        }
        let awaited = by_service.into_iter().filter_map(|(service, mut all)| {
            all.sort_unstable();
            let (first, last) = (all.first()?, all.last()?);
            let at = (all.len() as f64 * EXPECTED_SHARE).ceil() as usize;
            let is_unequal = *first < *last || *first != Slowness::REFERENCE;
            is_unequal.then(|| (service.to_owned(), all[at.max(1) - 1]))
        });
        self.awaited_slowness = awaited.collect();
    }

    /// Returns the slowness that the waiting work of a job can expect.
    pub(crate) fn awaited_slowness(&self, entry: &Entry) -> Slowness {
        if self.awaited_slowness.is_empty() {
            return Slowness::REFERENCE;
        }
        self.awaited_slowness.get(self.service(entry)).copied().unwrap_or_default()
    }

    /// Returns the run time that a step's waiting tasks can expect.
    pub(crate) fn awaited_run_time(&self, entry: &Entry, step: u32) -> Duration {
        self.awaited_slowness(entry).run_time(self.expected_run_time(entry, step))
    }

    /// Returns the slowness of a group's run where it is.
    pub(crate) fn active_slowness(&self, active: &Active) -> Slowness {
        self.group_slowness(active.unfinished.values().map(String::as_str))
    }

    /// Returns what the speed of its workers means for a group.
    pub(crate) fn speed_need(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        group: &Group,
    ) -> Need {
        if !self.awaited_slowness.contains_key(self.service(entry)) {
            return Need::default();
        }
        let need = Need { remote_factor: self.options.remote_factor, ..Need::default() };
        let fastest = self.awaited_slowness(entry);
        let waits_for_faster =
            group.restarts_faster && now.steady < group.waiting_since + FASTER_WAIT;
        let is_long = entry.step(key.step).is_some_and(|step| step.is_long_running);
        if waits_for_faster {
            return Need { limit: Some(fastest), ..need };
        }
        if is_long {
            return Need { prefers_slow: true, ..need };
        }
        let objective = self.objective(entry);
        let limit = |objective| self.greatest_slowness(now, entry, key, objective);
        let in_time = limit(objective);
        if self.queue_settings(entry).priority == 0 {
            return Need { limit: Some(in_time.max(fastest)), ..need };
        }
        let useful = || limit(objective * rank::USEFUL_OBJECTIVES);
        let limit = if in_time >= fastest { in_time } else { useful() };
        Need { limit: (limit >= fastest).then_some(limit), prefers_slow: true, ..need }
    }

    /// Returns the greatest slowness of a group's workers at which its job ends within `objective`
    /// if the group starts now.
    fn greatest_slowness(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        objective: Duration,
    ) -> Slowness {
        let tasks = entry.unfinished_tasks(key.occurrence, key.step);
        let waves = waves::at_best(Width { tasks, ..entry.width(key.step) });
        let own = self.expected_run_time(entry, key.step) * waves;
        let path = entry.remaining_path(|step| self.awaited_run_time(entry, step));
        let later = path.saturating_sub(self.awaited_slowness(entry).run_time(own));
        let left = objective.saturating_sub(Self::age(entry, now) + OVERHEAD + later);
        let ratio = left.as_secs_f64() / own.as_secs_f64().max(f64::MIN_POSITIVE);
        Slowness::new(ratio * SAFE_SHARE)
    }

    /// Returns the places of an urgent group that is to start at once where it is slower than its
    /// objective allows, since this costs less than to wait for faster workers or to stop work on
    /// them. Returns `None` if it waits.
    pub(crate) fn start_on_slower(
        &self,
        now: Moment,
        pool: &mut Pool,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) -> Option<Vec<Assignment>> {
        let demand = urgent.demand;
        demand.speed.limit?;
        let any = Demand { speed: Need { limit: None, ..demand.speed }, ..demand.clone() };
        let at_once = assignment::assign(&pool.places, &any, urgent.reach)?;
        let (job, limit) = self.wait_parameters(now, urgent)?;
        if !urgent.is_guaranteed && !self.needs_more_tasks(now, urgent.id, urgent.key) {
            return tradeoff::is_late_anyway(&pool.places, &job).then_some(at_once);
        }
        self.look_up_candidates(now, pool, guaranteed);
        let limits = Limits { wait: limit, stop: self.options.stop_timeout };
        let Pool { places, candidates, .. } = &*pool;
        let plan = urgent.to_plan();
        tradeoff::starts_at_once(places, candidates, plan, &job, limits, &at_once)
            .then_some(at_once)
    }
}
