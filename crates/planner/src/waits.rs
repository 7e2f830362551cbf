//! Finds and logs why groups that are due wait.
//!
//! An attempt to place a group tells its reason where that costs nothing. Which of several limits
//! leaves too few resources takes further searches over all workers. These examinations are made for
//! groups that have waited for a while, and at a bounded rate.

use std::time::Duration;

use sapphire_jobs::{
    resources::Resources,
    task::{GroupKey, WorkerName},
};
use sapphire_plan::{
    assignment::{self, Demand, Place, Reach},
    tiers::{self, Need},
};

use crate::{
    event::Moment,
    group::Group,
    inventory::READ_INTERVAL,
    lines,
    pass::{self, SPEED_WAIT},
    planner::Planner,
    pool::Pool,
    table::Entry,
    wait::{Finding, Reason, Record, Summary, Unplaced, Untried},
    worker::Worker,
};

/// Time after which a wait is examined and logged.
const EXAMINED_WAIT: Duration = Duration::from_secs(1);
/// Interval between two counts of the groups while none may be placed.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Begins to follow the waits of a pass.
    pub(crate) fn begin_waits(&mut self, now: Moment) {
        let left_out = self.waits.begin_pass(now.steady);
        if left_out > 0 {
            self.log(format!("waits left_out={left_out}"));
        }
    }

    /// Ends what [`Self::begin_waits`] began. `inherited` are the groups that wait for the end of
    /// the take-over.
    pub(crate) fn end_waits(&mut self, now: Moment, mut summary: Summary, inherited: &Untried) {
        if inherited.groups == 0 {
            self.waits.untried_logged = None;
        }
        self.follow_untried(now, Reason::Takeover, inherited, &mut summary);
        self.waits.summary = summary;
    }

    /// Follows the waits of all groups that are due while none may be placed.
    pub(crate) fn follow_obstacle(&mut self, now: Moment) {
        if now.steady < self.waits.counted_at + COUNT_INTERVAL {
            return;
        }
        let Some(reason) = self.obstacle(now) else { return };
        self.waits.counted_at = now.steady;
        self.begin_waits(now);
        let mut untried = Untried::default();
        let open = self.table.open.iter().filter_map(|id| self.table.entries.get(id));
        open.for_each(|entry| untried.add_due(entry));
        let mut summary = Summary::default();
        self.follow_untried(now, reason, &untried, &mut summary);
        self.waits.summary = summary;
    }

    /// Follows the waits of groups that may not be tried: one line names the oldest of them.
    fn follow_untried(
        &mut self,
        now: Moment,
        reason: Reason,
        untried: &Untried,
        summary: &mut Summary,
    ) {
        let Some((job, key, since)) = &untried.oldest else { return };
        let waited = now.steady.saturating_sub(*since);
        summary.add(reason, untried.groups, waited);
        if waited <= EXAMINED_WAIT || !lines::is_due(now.steady, self.waits.untried_logged, reason)
        {
            return;
        }
        let groups = untried.groups;
        let unplaced = Unplaced { job, key, reason, is_guaranteed: false, groups, since: *since };
        let is_repeat = lines::is_repeat(self.waits.untried_logged, reason);
        if self.waits.lines.take(is_repeat) {
            self.waits.untried_logged = Some((reason, now.steady));
            let workers = self.workers_of_obstacle(now, reason);
            self.log_wait(now, &unplaced, None, &workers);
        }
    }

    /// Follows the wait of a group that a pass has tried in vain.
    pub(crate) fn follow_wait(
        &mut self,
        now: Moment,
        pool: &Pool,
        unplaced: &Unplaced<'_>,
        summary: &mut Summary,
    ) {
        let waited = now.steady.saturating_sub(unplaced.since);
        if waited <= EXAMINED_WAIT {
            summary.add(unplaced.reason, unplaced.groups, waited);
            return;
        }
        summary.examinable += 1;
        let known = self.wait_record(unplaced).filter(|it| it.attempt == unplaced.reason);
        let interval = self.waits.examination_interval(pool.places.len());
        let is_due = known.is_none_or(|known| now.steady >= known.examined_at + interval);
        if is_due && self.waits.take_examination(pool.places.len()) {
            self.examine_and_log(now, pool, unplaced);
        }
        let known = self.wait_record(unplaced).filter(|it| it.attempt == unplaced.reason);
        let (reason, fits) = known.map_or((unplaced.reason, false), |it| (it.reason, it.fits));
        summary.add(reason, unplaced.groups, waited);
        summary.fitting += if fits { unplaced.groups } else { 0 };
    }

    /// Examines a group that waits, and logs the reason if it is new or has lasted.
    fn examine_and_log(&mut self, now: Moment, pool: &Pool, unplaced: &Unplaced<'_>) {
        let Some(finding) = self.examine(now, pool, unplaced) else { return };
        let mut logged = self.wait_record(unplaced).and_then(|record| record.logged);
        if lines::is_due(now.steady, logged, finding.reason)
            && self.waits.lines.take(lines::is_repeat(logged, finding.reason))
        {
            logged = Some((finding.reason, now.steady));
            let workers = self.workers_of_wait(pool, unplaced, finding.reason);
            let is_spare = finding.fits && self.is_spare_for(now, pool, unplaced);
            self.log_wait(now, unplaced, Some((finding, is_spare)), &workers);
        }
        let Finding { reason, fits, .. } = finding;
        let record =
            Record { attempt: unplaced.reason, reason, fits, examined_at: now.steady, logged };
        let entry = self.table.entries.get_mut(unplaced.job);
        if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(unplaced.key)) {
            group.wait = Some(Box::new(record));
        }
    }

    /// Returns what is known of the wait of a group.
    fn wait_record(&self, unplaced: &Unplaced<'_>) -> Option<&Record> {
        self.table.entries.get(unplaced.job)?.groups.get(unplaced.key)?.wait.as_deref()
    }

    /// Finds out why a group is not placed: the first of the limits on its place, applied one after
    /// another to what is free, with which it no longer finds one.
    fn examine(&self, now: Moment, pool: &Pool, unplaced: &Unplaced<'_>) -> Option<Finding> {
        let Unplaced { job, key, reason: attempt, is_guaranteed, .. } = *unplaced;
        let entry = self.table.entries.get(job)?;
        let group = entry.groups.get(key)?;
        let limited = self.demand(now, entry, key, None)?;
        let demand = Demand { speed: Need::default(), ..limited.clone() };
        let holds = |places: &[Place], demand: &Demand, reach: Reach| {
            assignment::assign(places, demand, reach).is_some()
        };
        let fits = |places: &[Place]| holds(places, &demand, Reach::Remote);
        let mut all = self.free_places(pool);
        all.extend(pool.suspect.iter().map(Place::without_pending));
        if !fits(&all) {
            let free = free_share(&all);
            let is_cordoned = attempt.is_coarse() && !pool.cordoned.is_empty() && {
                all.extend(pool.cordoned.iter().map(Place::without_pending));
                fits(&all)
            };
            let reason = if is_cordoned { Reason::Cordoned } else { attempt };
            return Some(Finding { reason, fits: false, free });
        }
        let free = free_share(&all);
        if !attempt.is_coarse() {
            return Some(Finding { reason: attempt, fits: true, free });
        }
        all.truncate(pool.places.len());
        let reason = if !pool.suspect.is_empty() && !fits(&all) {
            Reason::Suspect
        } else {
            let places = self.with_pending(all);
            if !fits(&places) {
                return Some(Finding { reason: Reason::Pending, fits: true, free });
            }
            let reach = self.reach(now, pool, entry, key, &limited, is_guaranteed);
            let demand = self.speed_limited(now, pool, entry, group, limited, reach);
            let fits = |places: &[Place], reach| holds(places, &demand, reach);
            if !fits(&places, Reach::Remote) {
                Reason::Slow
            } else if !fits(&places, reach) {
                Reason::Rack
            } else if self.without_avoided(now, pool, entry, key, &demand).is_some()
                && !fits(&pass::close_avoided(group, &places), reach)
            {
                Reason::Avoided
            } else if !fits(&self.without_spared(now, pool, entry, key, &places), reach) {
                Reason::Headroom
            } else {
                Reason::Reserved
            }
        };
        Some(Finding { reason, fits: true, free })
    }

    /// Returns the places of a pool with what is free on their workers, without regard to what is
    /// claimed, reserved, kept or pending.
    pub(crate) fn free_places(&self, pool: &Pool) -> Vec<Place> {
        // Both are in the order of the names.
        let mut places = pool.places.iter().peekable();
        let mut free_places = Vec::with_capacity(places.len());
        for (name, worker) in &self.workers {
            if let Some(place) = places.next_if(|place| *place.worker == **name) {
                let free = worker.capacity().minus(worker.used());
                let promised = Resources::default();
                free_places.push(Place { free, promised, ..place.without_pending() });
            }
        }
        free_places
    }

    /// Returns the places with the starts that are pending on their workers.
    pub(crate) fn with_pending(&self, mut places: Vec<Place>) -> Vec<Place> {
        for place in &mut places {
            if let Some(worker) = self.workers.get(&*place.worker) {
                place.pending = self.pending_resources(&place.worker, worker);
            }
        }
        places
    }

    /// Returns a demand with the limit of slowness that applies to the group now.
    fn speed_limited(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        group: &Group,
        mut demand: Demand,
        reach: Reach,
    ) -> Demand {
        let has_waited = self.queue_settings(entry).priority > 0
            && now.steady >= group.waiting_since + SPEED_WAIT;
        if has_waited || !tiers::can_fit(&pool.places, &demand, reach) {
            demand.speed.limit = None;
        }
        demand
    }

    /// Returns the places without those that the group leaves to urgent work.
    fn without_spared(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        key: &GroupKey,
        places: &[Place],
    ) -> Vec<Place> {
        if let Some(others) = self.without_headroom(now, pool, entry, places) {
            return others;
        }
        let keep = pass::reserved_workers(places.len());
        let keep = if self.spares_workers(now, entry, key) { keep } else { 0 };
        assignment::without_reserved(places, keep)
    }

    /// Returns the workers that a group waits for or avoids.
    fn workers_of_wait(
        &self,
        pool: &Pool,
        unplaced: &Unplaced<'_>,
        reason: Reason,
    ) -> Vec<WorkerName> {
        let Some(entry) = self.table.entries.get(unplaced.job) else { return Vec::new() };
        let Some(group) = entry.groups.get(unplaced.key) else { return Vec::new() };
        let names = |places: &[Place]| places.iter().map(|it| it.worker.to_string()).collect();
        let step = entry.step(unplaced.key.step);
        let tasks = step.map_or(1, |step| if step.is_gang { step.tasks } else { 1 });
        let tasks = pass::group_tasks(unplaced.job, unplaced.key, tasks);
        match reason {
            Reason::Unanswered => {
                let workers = self.unanswered.workers(&tasks.start..&tasks.end);
                workers.into_iter().cloned().collect()
            }
            Reason::Running => {
                let runs_there =
                    |worker: &Worker| worker.runs.range(&tasks.start..&tasks.end).next().is_some();
                let workers = self.workers.iter().filter(|(_, worker)| runs_there(worker));
                workers.map(|(name, _)| name.clone()).collect()
            }
            Reason::Claim => {
                let claim = group.claim.iter().flat_map(|claim| &claim.assignments);
                claim.map(|(name, _)| name.clone()).collect()
            }
            Reason::Cordoned => names(&pool.cordoned),
            Reason::Suspect => names(&pool.suspect),
            _ => group.avoid.clone(),
        }
    }

    /// Returns whether capacity is spare for a group.
    fn is_spare_for(&self, now: Moment, pool: &Pool, unplaced: &Unplaced<'_>) -> bool {
        let entry = self.table.entries.get(unplaced.job);
        let demand = entry.and_then(|entry| self.demand(now, entry, unplaced.key, None));
        demand.is_some_and(|demand| self.is_capacity_spare(pool, &demand))
    }

    /// Returns the longest time for which a group may wait for a reason; `None` without a limit.
    /// `is_spare` says that capacity is spare for the group.
    fn wait_limit(
        &self,
        unplaced: &Unplaced<'_>,
        reason: Reason,
        is_spare: bool,
    ) -> Option<Duration> {
        let entry = self.table.entries.get(unplaced.job)?;
        let end = self.wait_end(entry, unplaced, reason);
        let idle_until = entry.idle_until().filter(|_| is_spare && reason.is_preference());
        let end = end.into_iter().chain(idle_until).min()?;
        Some(end.saturating_sub(unplaced.since))
    }

    /// Returns the end of the wait for a reason by itself; `None` without a limit.
    fn wait_end(&self, entry: &Entry, unplaced: &Unplaced<'_>, reason: Reason) -> Option<Duration> {
        let group = entry.groups.get(unplaced.key)?;
        let until = match reason {
            Reason::Avoided => {
                group.waiting_since + self.expected_run_time(entry, unplaced.key.step)
            }
            Reason::Rack => group.waiting_since + self.near_wait(entry, unplaced.key),
            Reason::Slow if self.queue_settings(entry).priority > 0 => {
                group.waiting_since + SPEED_WAIT
            }
            Reason::Claim => group.claim.as_ref()?.until,
            Reason::Unanswered => {
                let step = entry.step(unplaced.key.step)?;
                let tasks = if step.is_gang { step.tasks } else { 1 };
                let tasks = pass::group_tasks(unplaced.job, unplaced.key, tasks);
                let expires_at = self.unanswered.expires_at(&tasks.start..&tasks.end)?;
                let workers = self.unanswered.workers(&tasks.start..&tasks.end);
                let is_shown = workers.into_iter().all(|worker| self.is_known_vacant(worker));
                let grace = self.options.longest_lease_expiry();
                expires_at + if is_shown { READ_INTERVAL * 2 } else { grace }
            }
            _ => return self.obstacle_end(reason),
        };
        Some(until)
    }

    /// Logs why a group waits. `found` is the result of its examination, and whether capacity is
    /// spare for it.
    fn log_wait(
        &mut self,
        now: Moment,
        unplaced: &Unplaced<'_>,
        found: Option<(Finding, bool)>,
        workers: &[WorkerName],
    ) {
        let Unplaced { job, key, groups, since, .. } = *unplaced;
        let finding = found.map(|(finding, _)| finding);
        let reason = finding.map_or(unplaced.reason, |finding| finding.reason);
        let is_spare = found.is_some_and(|(_, is_spare)| is_spare);
        let limit = self.wait_limit(unplaced, reason, is_spare);
        let limit = limit.map_or("none".to_owned(), |limit| limit.as_millis().to_string());
        let free = finding.map_or("unknown".to_owned(), |it| format!("{:.2}", it.free));
        let fits = finding.map_or("unknown".to_owned(), |it| it.fits.to_string());
        self.log(format!(
            "job={job} step={} index={} waits reason={} waited_ms={} limit_ms={limit} \
             groups={groups} workers={} free={free} fits={fits}",
            key.step,
            key.index,
            reason.name(),
            now.steady.saturating_sub(since).as_millis(),
            lines::describe(workers)
        ));
    }
}

/// Returns the free share of the capacity of some places.
fn free_share(places: &[Place]) -> f64 {
    let sum = |part: fn(&Place) -> Resources| places.iter().map(|it| part(it).weight()).sum();
    let (free, capacity): (f64, f64) = (sum(|place| place.free), sum(|place| place.capacity));
    if capacity > 0.0 { free / capacity } else { 0.0 }
}
