//! The bound on the time for which a job has nothing running although capacity is spare.
//!
//! A group may wait for one rack, for its data, for workers that are faster, or on which it has not
//! failed, and it leaves resources that are reserved, kept or claimed for other groups. Each of these
//! waits has a reason while capacity is scarce. Together they may leave a job with nothing running
//! although most workers are idle: each closes some of the places, and each new run begins them anew.

use std::time::Duration;

use sapphire_jobs::{resources::Resources, task::GroupKey};
use sapphire_plan::{
    assignment::{self, Assignment, Demand, Place, Reach},
    spare,
    tiers::Need,
};

use crate::{event::Moment, planner::Planner, pool::Pool, table::Entry};

/// Time for which a job with nothing running waits for better places while capacity is spare, over all
/// its runs.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time from which on it also takes resources that are claimed for urgent groups. Such a group rarely
/// waits for longer, but it may claim resources again and again.
const CLAIMS_LIMIT: Duration = Duration::from_millis(2_500);
/// Time in which an ordered run begins. One that doesn't is not at work.
const BEGIN_LIMIT: Duration = Duration::from_millis(1_000);

/// Places for a group that takes any.
pub(crate) struct Found {
    pub(crate) assignments: Vec<Assignment>,
    /// The assignments count the suspect workers of the pool, after its other places.
    pub(crate) has_suspects: bool,
}

impl Entry {
    /// Returns whether a run has begun or was ordered a moment ago.
    fn is_at_work(&self, now: Duration) -> bool {
        let active = self.groups.values().filter_map(|group| group.active());
        active.into_iter().any(|it| it.began.is_some() || now < it.ordered_at + BEGIN_LIMIT)
    }

    /// Returns the time at which it takes any place, if capacity stays spare.
    pub(crate) fn idle_until(&self) -> Option<Duration> {
        Some(self.idle_since? + IDLE_LIMIT.saturating_sub(self.idled))
    }

    /// Ends a time for which it had nothing running.
    pub(crate) fn end_idle(&mut self, now: Duration) {
        let since = self.idle_since.take().unwrap_or(now);
        self.idled += now.saturating_sub(since);
    }
}

impl Planner {
    /// Follows for how long a job has nothing running although capacity is spare for a group of it.
    /// Returns whether it takes any place now, and whether also claimed resources.
    pub(crate) fn follow_idle(
        &mut self,
        now: Moment,
        pool: &Pool,
        id: &str,
        key: &GroupKey,
        demand: &Demand,
    ) -> Option<bool> {
        let entry = self.table.entries.get(id)?;
        let is_long_running = entry.step(key.step).is_some_and(|step| step.is_long_running);
        let is_idle = (is_long_running || !entry.is_at_work(now.steady))
            && self.is_capacity_spare(pool, demand);
        let entry = self.table.entries.get_mut(id)?;
        if !is_idle {
            entry.end_idle(now.steady);
            return None;
        }
        let since = *entry.idle_since.get_or_insert(now.steady);
        let takes_any = entry.idle_until().is_some_and(|until| now.steady >= until);
        takes_any.then_some(now.steady >= since + CLAIMS_LIMIT)
    }

    /// Returns places for a group wherever it fits, on healthy workers if possible.
    pub(crate) fn find_any_place(
        &self,
        pool: &Pool,
        demand: &Demand,
        takes_claimed: bool,
    ) -> Option<Found> {
        let demand = Demand { speed: Need::default(), ..demand.clone() };
        let mut places = self.open_places(pool, takes_claimed);
        let is_healthy = |place: &Place| {
            place.suspicion == 0 && !demand.avoid.iter().any(|name| **name == *place.worker)
        };
        let close_others = |place: &Place| {
            let free = if is_healthy(place) { place.free } else { Resources::default() };
            Place { free, ..place.clone() }
        };
        let healthy: Vec<Place> = places.iter().map(close_others).collect();
        let assign = |places: &[Place]| assignment::assign(places, &demand, Reach::Remote);
        if let Some(assignments) = assign(&healthy).or_else(|| assign(&places)) {
            return Some(Found { assignments, has_suspects: false });
        }
        places.extend_from_slice(&pool.suspect);
        assign(&places).map(|assignments| Found { assignments, has_suspects: true })
    }

    /// Returns whether the capacity of a pool is spare for a group.
    pub(crate) fn is_capacity_spare(&self, pool: &Pool, demand: &Demand) -> bool {
        let all = || -> Vec<Place> {
            let suspect = pool.suspect.iter().cloned();
            self.free_places(pool).into_iter().chain(suspect).collect()
        };
        // Within a pass, only what it places itself changes this.
        let (is_scarce, places) = pool.capacity.get_or_init(|| {
            let places = all();
            (spare::is_scarce(&places), places)
        });
        !is_scarce && spare::holds_twice(places, demand)
    }

    /// Returns the places of a pool with the resources that are reserved for groups that wait for
    /// others to end, and those that are claimed for urgent groups if it `takes_claimed`.
    fn open_places(&self, pool: &Pool, takes_claimed: bool) -> Vec<Place> {
        let mut places = pool.places.clone();
        if takes_claimed {
            let free = self.free_places(pool).into_iter().map(|place| place.free);
            places.iter_mut().zip(free).for_each(|(place, free)| place.free = free);
        } else {
            pool.reservations.iter().for_each(|reservation| reservation.release(&mut places));
        }
        self.with_pending(places)
    }
}
