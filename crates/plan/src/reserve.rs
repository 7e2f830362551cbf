//! Reservation of resources for the first waiting groups that are not urgent.
//!
//! Guards against the starvation of a gang whose tasks each need a complete worker while smaller
//! tasks keep arriving: without a reservation every released resource goes to one of these at
//! once, and the gang waits until no other task does. Resources are reserved for it where they are
//! released soonest. Work that will have ended by then may still use them (backfilling).

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::resources::Resources;

use crate::{
    assignment::{Demand, Place, Reach},
    evict,
};

/// Longest time that a reservation is expected to wait. Used for running work whose end can't be
/// predicted.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// A running group.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
    /// Expected remaining run time.
    pub remaining: Duration,
    /// Resources that the end of the group releases, each with the index of the place.
    pub released: &'a [(usize, Resources)],
}

/// Resources that are reserved for one waiting group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservation {
    /// Expected time until all reserved resources are free.
    wait: Duration,
    /// Reserved resources that are free already, by index of the place.
    reserved: BTreeMap<usize, Resources>,
}

impl Reservation {
    /// Reserves resources for a group where all that it needs is released soonest. Those that are
    /// free already are subtracted from the free resources of the places. Reserves nothing if the
    /// group would not fit even after all running groups have ended.
    pub fn new<'a>(
        places: &mut [Place],
        running: &[Running<'a>],
        demand: &Demand,
        reach: Reach,
    ) -> Self {
        let release_of = |run: &'_ Running<'a>| {
            let cost = run.remaining.min(LONGEST_WAIT).as_secs_f64();
            evict::Release { cost, released: run.released }
        };
        let releases: Vec<evict::Release<'_>> = running.iter().map(release_of).collect();
        // Pending starts expire while the group waits.
        let without_pending: Vec<Place> = places.iter().map(Place::without_pending).collect();
        let Some(outcome) = evict::choose(&without_pending, &releases, demand, reach) else {
            return Reservation::default();
        };
        let wait = outcome.victims.iter().map(|at| releases[*at].cost).fold(0.0, f64::max);
        let mut reserved = BTreeMap::new();
        for assignment in &outcome.assignments {
            let place = &mut places[assignment.place];
            let needed = demand.resources.times(assignment.tasks.into());
            let remaining_free = place.free.minus(needed);
            reserved.insert(assignment.place, place.free.minus(remaining_free));
            place.promised = place.promised.plus(needed.minus(place.free));
            place.free = remaining_free;
            // Otherwise other starts would take the place of those that expire.
            place.add_pending(needed);
        }
        Reservation { wait: Duration::from_secs_f64(wait), reserved }
    }

    /// Expected time until all reserved resources are free.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Whether work of the given run time may use some of the reserved resources, since it will
    /// have ended before the reservation needs them.
    pub fn is_open(&self, time: Duration) -> bool {
        time <= self.wait && !self.reserved.is_empty()
    }

    /// Adds the reserved resources to the free resources of the places, for work of the given run
    /// time at the reference speed. Those of places where it would take too long are left out.
    pub fn open(&self, places: &mut [Place], time: Duration) {
        for (at, resources) in &self.reserved {
            let place = &mut places[*at];
            if place.slowness.run_time(time) <= self.wait {
                place.free = place.free.plus(*resources);
            }
        }
    }

    /// Adds all reserved resources that are free already to the free resources of the places.
    pub fn release(&self, places: &mut [Place]) {
        for (at, resources) in &self.reserved {
            places[*at].free = places[*at].free.plus(*resources);
        }
    }

    /// Gives reserved resources of a place to other work. Returns the part of the requested
    /// resources that the reservation does not cover.
    ///
    /// Guards against overcommitting a worker: reserved resources that short work uses must not be
    /// given to the next.
    pub fn give(&mut self, at: usize, resources: Resources) -> Resources {
        let Some(reserved) = self.reserved.get_mut(&at) else { return resources };
        let uncovered = resources.minus(*reserved);
        *reserved = reserved.minus(resources);
        uncovered
    }
}
