//! Room that is kept for the first group that waits without being urgent.
//!
//! The load this answers: a gang that takes a whole worker for each of its tasks, while smaller
//! tasks keep coming. Whatever comes free goes to one of these at once, so that the gang waits
//! until nothing else does. Room is kept for it where it comes free soonest; work that will have
//! ended by then may still use it.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::room::Room;

use crate::{
    evict,
    seat::{Ask, Place, Reach},
};

/// Longest wait that is reckoned with: that of work whose end can't be told.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// A group that runs.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
    /// How much longer it will run.
    pub remaining: Duration,
    /// What it gives back, by index of the place.
    pub seats: &'a [(usize, Room)],
}

/// Room that is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservation {
    /// Time until all of it is expected to be free.
    wait: Duration,
    /// What is free of it already, by index of the place.
    held: BTreeMap<usize, Room>,
}

impl Reservation {
    /// Keeps room for a group where all that it needs comes free soonest, and takes what is free
    /// of it already from the places. Keeps nothing when the group would not fit even then.
    pub fn new<'a>(places: &mut [Place], running: &[Running<'a>], ask: &Ask, reach: Reach) -> Self {
        let until_free = |run: &'_ Running<'a>| {
            let cost = run.remaining.min(LONGEST_WAIT).as_secs_f64();
            evict::Offer { cost, seats: run.seats }
        };
        let ends: Vec<evict::Offer<'_>> = running.iter().map(until_free).collect();
        let Some(outcome) = evict::choose(places, &ends, ask, reach) else {
            return Reservation::default();
        };
        let wait = outcome.victims.iter().map(|at| ends[*at].cost).fold(0.0, f64::max);
        let mut held = BTreeMap::new();
        for seat in &outcome.seats {
            let place = &mut places[seat.place];
            let left = place.free.minus(ask.room.times(seat.tasks.into()));
            held.insert(seat.place, place.free.minus(left));
            place.free = left;
        }
        Reservation { wait: Duration::from_secs_f64(wait), held }
    }

    /// Places as they are for work that takes so long, given those without the room that is kept;
    /// nothing when they are the same.
    pub fn open(&self, places: &[Place], time: Duration) -> Option<Vec<Place>> {
        if self.held.is_empty() || time > self.wait {
            return None;
        }
        let mut places = places.to_vec();
        for (at, room) in &self.held {
            places[*at].free = places[*at].free.plus(*room);
        }
        Some(places)
    }

    /// Gives some of the room that is kept to other work.
    ///
    /// Guards against overfilling a worker: what short work takes of the room that is kept must
    /// not be given to the next.
    pub fn give(&mut self, at: usize, room: Room) {
        if let Some(held) = self.held.get_mut(&at) {
            *held = held.minus(room);
        }
    }
}
