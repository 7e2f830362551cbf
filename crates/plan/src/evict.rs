//! Chooses which groups to stop so that a more urgent one can start.
//!
//! The load this answers: urgent jobs, due within seconds, that come in a burst while every
//! worker is busy with work that lasts longer. What a stop loses differs by far (a task that
//! saves its progress loses next to nothing), so the cheapest set is sought, not the first.

use std::rc::Rc;

use sapphire_jobs::room::Room;

use crate::seat::{self, Ask, Place, Reach, Seat};

/// A group that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// What its stop loses, in processor seconds.
    pub cost: f64,
    /// What it gives back, by index of the place.
    pub seats: Vec<(usize, Room)>,
}

impl Victim {
    /// The victim as one search sees it, at a cost of its own.
    pub fn at_cost(&self, cost: f64) -> Offer<'_> {
        Offer { cost, seats: &self.seats }
    }
}

/// A group that may be stopped, as one search sees it.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// What its stop loses, in processor seconds.
    pub cost: f64,
    /// What it gives back, by index of the place.
    pub seats: &'a [(usize, Room)],
}

/// What to stop, and where the urgent group goes once that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Indices of the offers.
    pub victims: Vec<usize>,
    /// Seats of the urgent group.
    pub seats: Vec<Seat>,
    /// What the stops lose together, in processor seconds.
    pub cost: f64,
}

/// The cheapest set that was found, with no victim that isn't needed.
pub fn choose(places: &[Place], offers: &[Offer<'_>], ask: &Ask, reach: Reach) -> Option<Outcome> {
    let mut order: Vec<usize> = (0..offers.len()).collect();
    order.sort_by(|left, right| offers[*left].cost.total_cmp(&offers[*right].cost));
    let everywhere = || {
        let all: Vec<usize> = (0..places.len()).collect();
        Search::new(places, &all, offers, order.clone()).run(ask, reach)
    };
    if !ask.wants_one_rack {
        return everywhere();
    }
    let racks = Racks::new(places, offers, &order);
    let in_one = racks.all.into_iter().filter_map(|rack| {
        Search::new(places, &rack.places, offers, rack.order).run(ask, Reach::Near)
    });
    let best = in_one.min_by(|left, right| left.cost.total_cmp(&right.cost));
    best.or_else(|| (reach == Reach::Far).then(everywhere).flatten())
}

/// One rack, with what may be stopped there.
#[derive(Default)]
struct Rack {
    /// Indices of its places.
    places: Vec<usize>,
    /// Indices of the offers that give room there, the cheapest first.
    order: Vec<usize>,
}

struct Racks {
    all: Vec<Rack>,
}

impl Racks {
    fn new(places: &[Place], offers: &[Offer<'_>], order: &[usize]) -> Self {
        let mut names: Vec<&Rc<str>> = places.iter().map(|place| &place.rack).collect();
        names.sort_unstable();
        names.dedup();
        let number = |place: &Place| names.binary_search(&&place.rack).unwrap_or_default();
        let of_place: Vec<usize> = places.iter().map(number).collect();
        let mut all: Vec<Rack> = Vec::new();
        all.resize_with(names.len(), Rack::default);
        for (place, rack) in of_place.iter().enumerate() {
            all[*rack].places.push(place);
        }
        for offer in order {
            for (place, _) in offers[*offer].seats {
                let of_rack = &mut all[of_place[*place]].order;
                if of_rack.last() != Some(offer) {
                    of_rack.push(*offer);
                }
            }
        }
        Racks { all }
    }
}

/// A search among some of the places.
struct Search<'a> {
    /// The places, with what is free there at the moment of the search.
    places: Vec<Place>,
    /// What is free in each as long as nothing is stopped.
    base: Vec<Room>,
    /// Index of each among all places.
    origin: &'a [usize],
    /// Position among `places` by index among all; none for places that are left out.
    position: Vec<Option<u32>>,
    offers: &'a [Offer<'a>],
    /// Indices of the offers, the cheapest first.
    order: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(
        places: &[Place],
        origin: &'a [usize],
        offers: &'a [Offer<'a>],
        order: Vec<usize>,
    ) -> Self {
        let mut position = vec![None; places.len()];
        for (at, index) in (0..).zip(origin) {
            position[*index] = Some(at);
        }
        let places: Vec<Place> = origin.iter().map(|index| places[*index].clone()).collect();
        let base = places.iter().map(|place| place.free).collect();
        Search { places, base, origin, position, offers, order }
    }

    fn run(mut self, ask: &Ask, reach: Reach) -> Option<Outcome> {
        let order = std::mem::take(&mut self.order);
        // More victims never seat less, so the fewest that do are found by halving.
        let mut seats = self.seat_without(&order, ask, reach)?;
        let (mut least, mut enough) = (0, order.len());
        while least < enough {
            let middle = least.midpoint(enough);
            match self.seat_without(&order[..middle], ask, reach) {
                Some(found) => (enough, seats) = (middle, found),
                None => least = middle + 1,
            }
        }
        let mut is_touched = vec![false; self.places.len()];
        for seat in &seats {
            is_touched[seat.place] = true;
        }
        let is_at = |(at, _): &(usize, Room)| {
            self.position[*at].is_some_and(|position| is_touched[position as usize])
        };
        let gives_room = |index: &usize| self.offers[*index].seats.iter().any(is_at);
        let mut chosen: Vec<usize> = order[..enough].iter().copied().filter(gives_room).collect();
        for at in (0..chosen.len()).rev() {
            let spared = chosen.remove(at);
            match self.seat_without(&chosen, ask, reach) {
                Some(found) => seats = found,
                None => chosen.insert(at, spared),
            }
        }
        let cost = chosen.iter().map(|index| self.offers[*index].cost).sum();
        let of_all = |seat: Seat| Seat { place: self.origin[seat.place], ..seat };
        let seats = seats.into_iter().map(of_all).collect();
        Some(Outcome { victims: chosen, seats, cost })
    }

    /// Seats the group once some victims have ended, in what others don't wait for there.
    ///
    /// Guards against room that is promised twice: in a burst, two urgent groups would wait for
    /// the end of the same work, and the second would start its wait anew when the first has got it.
    fn seat_without(&mut self, stopped: &[usize], ask: &Ask, reach: Reach) -> Option<Vec<Seat>> {
        for (place, free) in self.places.iter_mut().zip(&self.base) {
            place.free = *free;
        }
        for index in stopped {
            for (at, room) in self.offers[*index].seats {
                if let Some(position) = self.position[*at] {
                    let place = &mut self.places[position as usize];
                    place.free = place.free.plus(*room);
                }
            }
        }
        for place in &mut self.places {
            place.free = place.free.minus(place.owed);
        }
        seat::seat(&self.places, ask, reach)
    }
}
