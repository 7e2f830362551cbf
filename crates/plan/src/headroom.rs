//! How much room is left to urgent work that is likely to come, by what has come lately.
//!
//! The load this answers: urgent jobs that come all the time, while more other work waits than
//! there is room for. Whatever urgent work leaves free for a moment was given to other work, which
//! the next urgent job stopped, and so on: most runs were stopped, and little of what waited was
//! ever done. Work that would be lost starts only where urgent work is not expected.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use sapphire_jobs::room::Room;

use crate::seat::{Ask, Place};

/// Time constant with which earlier arrivals count less.
const MEMORY: Duration = Duration::from_secs(8);

/// Most of the room that is left to urgent work. What else waits is to go on, however much of
/// that comes.
const MOST: f64 = 0.5;

/// Work that has come lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Processor seconds.
    sum: f64,
    /// Processor seconds, times the processors that each takes at once.
    square: f64,
    since: Option<Duration>,
    at: Duration,
}

impl Arrivals {
    /// Notes work that has come: what it takes at once, in processors, and for how long.
    pub fn note(&mut self, now: Duration, processors: f64, time: Duration) {
        let fade = self.fade(now);
        let work = processors * time.as_secs_f64();
        self.sum = self.sum * fade + work;
        self.square = self.square * fade + work * processors;
        self.since.get_or_insert(now);
        self.at = self.at.max(now);
    }

    /// Processors that such work seldom exceeds at one time, as long as it comes at the same rate:
    /// the mean and one standard deviation.
    pub fn demand(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        // What has been seen of a short time says little of the rate.
        let seen = now.saturating_sub(since).max(MEMORY / 4).as_secs_f64() / MEMORY.as_secs_f64();
        let span = MEMORY.as_secs_f64() * (1.0 - (-seen).exp());
        let per_second = self.fade(now) / span;
        self.sum * per_second + (self.square * per_second).sqrt()
    }

    fn fade(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// Marks the racks that are left to urgent work: as many as its demand fills, whole ones only,
/// always the same ones first.
pub fn mark(places: &mut [Place], demand: f64) {
    let mut racks: BTreeMap<Rc<str>, f64> = BTreeMap::new();
    for place in places.iter() {
        *racks.entry(place.rack.clone()).or_default() += place.capacity.weight();
    }
    let all: f64 = racks.values().sum();
    let mut left = demand.min(all * MOST);
    racks.retain(|_, capacity| {
        left -= *capacity;
        left >= 0.0
    });
    for place in places {
        place.is_for_urgent = racks.contains_key(&place.rack);
    }
}

/// Places for a group, some of which are closed to work that would be lost if it were stopped;
/// nothing when none are.
pub fn open(places: &[Place], ask: &Ask) -> Option<Vec<Place>> {
    if ask.may_use_urgent || !places.iter().any(|place| place.is_for_urgent) {
        return None;
    }
    let close = |place: &Place| {
        let (free, owed) = match place.is_for_urgent {
            true => (Room::default(), place.capacity),
            false => (place.free, place.owed),
        };
        Place { free, owed, ..place.clone() }
    };
    Some(places.iter().map(close).collect())
}
