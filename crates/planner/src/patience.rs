//! The bound on all waits of a job for a better place.
//!
//! A group may wait for one rack, for its data, for workers that are faster, or on which it has not
//! failed, and it leaves resources that are reserved or kept for other groups. Each of these waits has
//! a reason while capacity is scarce. Together they may leave a job with nothing running although
//! most workers are idle: each closes some of the places, and each new run begins them anew.

use std::time::Duration;

use sapphire_jobs::{resources::Resources, task::GroupKey};
use sapphire_plan::{
    assignment::{self, Assignment, Demand, Place, Reach},
    spare,
    tiers::Need,
};

use crate::{event::Moment, group::Group, planner::Planner, pool::Pool, table::Entry};

/// Time for which the groups of a job wait for better places while it has nothing running and
/// capacity is spare, over all their runs.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_500);

/// Returns the time from which on a job that has nothing running takes any place.
///
/// A job of an earlier term has waited before: its time must not begin anew with each planner.
pub(crate) fn ends_at(entry: &Entry) -> Duration {
    if entry.is_inherited {
        return Duration::ZERO;
    }
    entry.due_groups().map(|(_, group)| group_ends_at(group)).min().unwrap_or(Duration::MAX)
}

/// Returns the time from which on a group takes any place.
fn group_ends_at(group: &Group) -> Duration {
    group.waiting_since + PATIENCE.saturating_sub(group.waited)
}

/// Places for a group that takes any.
pub(crate) struct Found {
    pub(crate) assignments: Vec<Assignment>,
    /// The assignments count the suspect workers of the pool, after its other places.
    pub(crate) has_suspects: bool,
}

impl Planner {
    /// Returns the places for a group whose job has waited for better ones long enough, while
    /// capacity is spare. `ends_at` is the end of the time for which it waits.
    pub(crate) fn find_anywhere(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        key: &GroupKey,
        demand: &Demand,
        ends_at: Duration,
    ) -> Option<Found> {
        let is_long_running = entry.step(key.step).is_some_and(|step| step.is_long_running);
        if now.steady < ends_at || (entry.is_running() && !is_long_running) {
            return None;
        }
        let demand = Demand { speed: Need::default(), ..demand.clone() };
        if !self.is_capacity_spare(pool, &demand) {
            return None;
        }
        let mut places = self.unreserved_places(pool);
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
        !*pool.is_scarce.get_or_init(|| spare::is_scarce(&all()))
            && spare::holds_twice(&all(), demand)
    }

    /// Returns the places of a pool with the resources that are reserved for groups that wait for
    /// others to end, but without those that are claimed for urgent groups.
    fn unreserved_places(&self, pool: &Pool) -> Vec<Place> {
        let mut places = pool.places.clone();
        pool.reservations.iter().for_each(|reservation| reservation.release(&mut places));
        self.with_pending(places)
    }
}
