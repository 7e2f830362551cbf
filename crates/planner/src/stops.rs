//! Limits the runs that are stopped for urgent jobs: claims are held until their group starts,
//! capacity is kept for urgent work that is about to arrive, and each stop has a price. Takes effect
//! only with [`crate::options::Options::stops`].

use std::collections::BTreeMap;

use sapphire_jobs::{
    resources::Resources,
    task::{GroupKey, JobId},
};
use sapphire_plan::{
    assignment::{Demand, Place},
    headroom::{self, Arrivals, Usage},
    stops::Counts,
};

use crate::{
    event::Moment,
    group::{Claim, Group},
    planner::{PASS_INTERVAL, Planner},
    pool::Pool,
    table::Entry,
    urgent::{END_REPORT_DELAY, Urgent},
    worker::{Cause, Phase},
};

/// How often a claim may be renewed for the same places.
///
/// Guards against an urgent group that waits for a worker whose stops are never carried out.
const MAX_RENEWALS: u32 = 2;

/// Measurements on which the limit of stops is based.
#[derive(Debug, Default)]
pub(crate) struct State {
    arrivals: Arrivals,
    counts: Counts,
}

/// Resources that a claim takes from one place.
#[derive(Clone, Copy, Debug)]
struct Part {
    place: usize,
    free: Resources,
    promised: Resources,
    pending: Resources,
}

/// Resources that are withheld in one pass.
#[derive(Debug, Default)]
pub(crate) struct Held {
    claims: BTreeMap<(JobId, GroupKey), Vec<Part>>,
    /// Places that are kept free for urgent work; `None` before they are chosen.
    kept: Option<Vec<usize>>,
}

impl Pool {
    /// Returns the resources of a group's own claim to the places, for its turn.
    pub(crate) fn release_claim(&mut self, id: &str, key: &GroupKey) {
        let Some(parts) = self.held.claims.remove(&(id.to_owned(), *key)) else { return };
        for part in parts {
            let place = &mut self.places[part.place];
            place.free = place.free.plus(part.free);
            place.promised = place.promised.minus(part.promised);
            place.pending = place.pending.minus(part.pending);
        }
    }
}

impl Planner {
    /// Records the demand of an urgent job that has arrived.
    pub(crate) fn observe_arrival(&mut self, now: Moment, id: &str) {
        let Some(entry) = self.table.entries.get(id) else { return };
        if self.options.stops.is_none() || self.queue_settings(entry).priority > 0 {
            return;
        }
        let mut demands = Vec::new();
        for (index, step) in (0..).zip(&entry.job.steps) {
            if !step.is_long_running {
                let all = Resources::read(step.room.as_ref()).times(step.tasks.into());
                demands.push((all, self.expected_run_time(entry, index)));
            }
        }
        for (resources, run_time) in demands {
            self.stops.arrivals.observe(now.steady, resources, run_time);
        }
    }

    /// Counts a completed run.
    pub(crate) fn count_done(&mut self, now: Moment) {
        self.stops.counts.add_done(now.steady);
    }

    /// Counts runs that are stopped for an urgent job.
    pub(crate) fn count_stopped(&mut self, now: Moment, stopped: &[(JobId, GroupKey)]) {
        let runs = |(id, key): &(JobId, GroupKey)| {
            let group = self.table.entries.get(id)?.groups.get(key)?;
            Some(group.active()?.unfinished.len())
        };
        let runs = stopped.iter().filter_map(runs).sum();
        self.stops.counts.add_stopped(now.steady, runs);
        self.load.stopped_for_urgent += runs as u64;
    }

    /// Returns the price of stopping some runs for an urgent job, in processor seconds in addition
    /// to the lost work.
    pub(crate) fn stop_price(&self, runs: usize) -> f64 {
        self.options.stops.map_or(0.0, |options| self.stops.counts.price(options) * runs as f64)
    }

    /// Withholds the resources of all claims from the groups that do not hold them, and drops the
    /// claims that contain a worker that is lost.
    ///
    /// Guards against resources that were released for one urgent group and taken by another that
    /// is tried before it, so that as much work is stopped again.
    pub(crate) fn hold_claims(&mut self, now: Moment, pool: &mut Pool) {
        if self.options.stops.is_none() {
            return;
        }
        let mut lost = Vec::new();
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            if self.service(entry) != pool.service {
                continue;
            }
            for (key, group) in &entry.groups {
                // An expired claim is renewed or made anew in its group's turn; until then its
                // resources serve others.
                let is_held = |claim: &&Claim| now.steady < claim.until + END_REPORT_DELAY;
                let Some(claim) = group.claim.as_deref().filter(is_held) else { continue };
                if claim.assignments.iter().any(|(worker, _)| !pool.index.contains_key(worker)) {
                    lost.push((id.clone(), *key));
                    continue;
                }
                let resources = entry.step(key.step).map(|step| step.room.as_ref());
                let each = Resources::read(resources.flatten());
                let parts = claim.assignments.iter().map(|(worker, tasks)| {
                    let place = pool.index[worker];
                    hold(&mut pool.places[place], place, each.times((*tasks).into()))
                });
                let parts = parts.collect();
                pool.held.claims.insert((id.clone(), *key), parts);
            }
        }
        for (id, key) in lost {
            let entry = self.table.entries.get_mut(&id);
            if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(&key)) {
                group.claim = None;
                self.load.claims_lost += 1;
                self.log(format!(
                    "job={id} step={} index={} drops its claim: a worker is lost",
                    key.step, key.index
                ));
            }
        }
    }

    /// Withholds a group's claimed resources again after its turn, in which they were released for
    /// it.
    pub(crate) fn hold_claim_again(
        &self,
        pool: &mut Pool,
        id: &str,
        key: &GroupKey,
        demand: &Demand,
    ) {
        let group = self.table.entries.get(id).and_then(|entry| entry.groups.get(key));
        let claim = group.and_then(|group| group.claim.as_ref());
        if let Some(claim) = claim.filter(|_| self.options.stops.is_some()) {
            pool.apply_claim(claim, demand);
        }
    }

    /// Chooses the places that are kept free for urgent work, once per pass. Called for the first
    /// group that is not urgent.
    pub(crate) fn keep_headroom(&self, now: Moment, pool: &mut Pool) {
        if self.options.stops.is_none() || pool.held.kept.is_some() {
            return;
        }
        let mut used = Usage::default();
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            if self.queue_settings(entry).priority > 0 {
                continue;
            }
            for (key, group) in &entry.groups {
                let Some(step) = entry.step(key.step) else { continue };
                let tasks = tasks_served(group);
                used.add(Resources::read(step.room.as_ref()), tasks as f64);
            }
        }
        let expected = self.stops.arrivals.expected(now.steady);
        pool.held.kept = Some(headroom::choose(&pool.places, expected, used));
    }

    /// Returns the places without those that are kept free for urgent work, if the group can wait
    /// for others.
    pub(crate) fn without_headroom(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        places: &[Place],
    ) -> Option<Vec<Place>> {
        let kept = pool.held.kept.as_ref().filter(|kept| !kept.is_empty())?;
        let is_lasting = entry.job.steps.iter().any(|step| step.is_long_running);
        (!is_lasting && self.has_slack(now, entry)).then(|| headroom::without(places, kept))
    }

    /// Renews a claim that has expired for the same places, if the work there is still being
    /// stopped. Returns whether it was renewed.
    pub(crate) fn renew_claim(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        urgent: &Urgent<'_>,
        claim: &Claim,
    ) -> bool {
        if self.options.stops.is_none() || claim.renewals >= MAX_RENEWALS {
            return false;
        }
        let is_stopping = |(name, _): &(String, u32)| {
            let worker = self.workers.get(name);
            worker.is_some_and(|worker| {
                worker.runs.values().any(|run| {
                    let cause = run.stop.as_ref().map(|stop| &stop.cause);
                    let is_own = matches!(cause, Some(Cause::Urgent(job)) if job == urgent.id);
                    run.phase == Phase::Stopping && is_own
                })
            })
        };
        if !claim.assignments.iter().any(is_stopping) {
            return false;
        }
        let until = now.steady + END_REPORT_DELAY + PASS_INTERVAL;
        let claim = Claim { until, renewals: claim.renewals + 1, ..claim.clone() };
        pool.apply_claim(&claim, urgent.demand);
        let entry = self.table.entries.get_mut(urgent.id);
        if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(urgent.key)) {
            group.claim = Some(Box::new(claim));
        }
        self.load.claims_kept += 1;
        self.log(format!(
            "job={} step={} index={} renews its claim: stops are late",
            urgent.id, urgent.key.step, urgent.key.index
        ));
        true
    }
}

/// Tasks of a group that run, or for which resources are claimed.
fn tasks_served(group: &Group) -> usize {
    let running = group.active().map_or(0, |active| active.unfinished.len());
    let claimed = group.claim.iter().flat_map(|claim| &claim.assignments);
    running + claimed.map(|(_, tasks)| *tasks as usize).sum::<usize>()
}

/// Withholds resources of a place. Returns what was taken.
fn hold(place: &mut Place, at: usize, claimed: Resources) -> Part {
    let remaining = place.free.minus(claimed);
    let free = place.free.minus(remaining);
    let promised = claimed.minus(place.free);
    let before = place.pending;
    place.promised = place.promised.plus(promised);
    place.free = remaining;
    place.add_pending(claimed);
    Part { place: at, free, promised, pending: place.pending.minus(before) }
}
