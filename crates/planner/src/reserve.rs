//! Reserves resources for groups that wait.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    assignment::{Demand, Reach},
    preempt,
    reserve::{Reservation, Running},
};

use crate::{event::Moment, group::Group, planner::Planner, pool::Pool, table::Entry};

/// Number of workers for each group that may hold a reservation; one group may hold one in any
/// case.
const WORKERS_PER_RESERVATION: usize = 10;

impl Planner {
    /// Reserves resources for a group that cannot start, unless there are enough reservations
    /// already.
    pub(crate) fn reserve(
        &self,
        now: Moment,
        pool: &mut Pool,
        demand: &Demand,
        reach: Reach,
        guaranteed: &BTreeSet<JobId>,
    ) {
        // A group that avoids workers waits for the others; meanwhile other groups may use those
        // that it avoids.
        let is_off = !self.options.policy.reserve_room || !demand.avoid.is_empty();
        let limit = (pool.places.len() / WORKERS_PER_RESERVATION).max(1);
        if is_off || pool.reservations.len() >= limit {
            return;
        }
        self.look_up_candidates(now, pool, guaranteed);
        let remaining = |candidate: &preempt::Candidate| {
            if candidate.is_stopping { self.options.stop_timeout } else { candidate.remaining }
        };
        let running: Vec<Running<'_>> = (pool.candidates.iter())
            .map(|it| Running { remaining: remaining(it), released: &it.victim.released })
            .collect();
        let reservation = Reservation::new(&mut pool.places, &running, demand, reach);
        pool.reservations.push(reservation);
    }

    /// Returns an upper estimate of a group's run time at the reference speed.
    pub(crate) fn upper_run_time(&self, entry: &Entry, key: &GroupKey) -> Duration {
        let observed = entry.groups.get(key).and_then(Group::reliable_observation);
        observed
            .map_or_else(|| self.estimate(entry, key.step).upper(), |observed| observed.run_time)
    }
}
