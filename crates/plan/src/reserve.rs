//! Room that is kept for the first groups that wait without being urgent.
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
            let kept = ask.room.times(seat.tasks.into());
            let left = place.free.minus(kept);
            held.insert(seat.place, place.free.minus(left));
            place.owed = place.owed.plus(kept.minus(place.free));
            place.free = left;
        }
        Reservation { wait: Duration::from_secs_f64(wait), held }
    }

    /// Time until all of it is expected to be free.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Whether anything that is free is kept from work that takes so long.
    pub fn is_open(&self, time: Duration) -> bool {
        time <= self.wait && !self.held.is_empty()
    }

    /// Puts back what is kept, for work that will have ended in time.
    pub fn open(&self, places: &mut [Place]) {
        for (at, room) in &self.held {
            places[*at].free = places[*at].free.plus(*room);
        }
    }

    /// Gives some of the room that is kept to other work.
    ///
    /// Guards against overfilling a worker: what short work takes of the room that is kept must
    /// not be given to the next.
    ///
    /// Returns what it can't give.
    pub fn give(&mut self, at: usize, room: Room) -> Room {
        let Some(held) = self.held.get_mut(&at) else { return room };
        let left = room.minus(*held);
        *held = held.minus(room);
        left
    }
}
