//! Search for the cheapest set of groups to stop so that a more urgent group can start.
//!
//! A burst of urgent jobs that are due within seconds may arrive while all workers are busy with
//! longer work. The cost of a stop differs widely (a task that saves checkpoints loses next to
//! nothing), so the cheapest set is searched for rather than the first one that is sufficient.

use std::rc::Rc;

use sapphire_jobs::resources::Resources;

use crate::assignment::{self, Assignment, Demand, Place, Reach};

/// A running group that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Cost of the stop in processor seconds.
    pub cost: f64,
    /// Resources that its end releases, each with the index of the place.
    pub released: Vec<(usize, Resources)>,
}

impl Victim {
    /// The release of this group's resources in one search, at the given cost.
    pub fn at_cost(&self, cost: f64) -> Release<'_> {
        Release { cost, released: &self.released }
    }
}

/// The resources that the end of one group would release, at a cost that depends on the search.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// Cost of the release, such as processor seconds that a stop loses.
    pub cost: f64,
    /// Released resources, each with the index of the place.
    pub released: &'a [(usize, Resources)],
}

/// Result of a search: what to stop, and where the urgent group goes once that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Indices of the releases that are needed.
    pub victims: Vec<usize>,
    /// Places that the urgent group is assigned to.
    pub assignments: Vec<Assignment>,
    /// Total cost of the releases.
    pub cost: f64,
}

/// Searches for the cheapest set of releases with which a group fits. The set contains none that is
/// not needed, but a cheaper one may exist. Returns none if the group would not fit with all of them.
pub fn choose(
    places: &[Place],
    releases: &[Release<'_>],
    demand: &Demand,
    reach: Reach,
) -> Option<Outcome> {
    let mut order: Vec<usize> = (0..releases.len()).collect();
    order.sort_by(|left, right| releases[*left].cost.total_cmp(&releases[*right].cost));
    let everywhere = || {
        let all: Vec<usize> = (0..places.len()).collect();
        Search::new(places, &all, releases, order.clone()).run(demand, reach)
    };
    if !demand.wants_one_rack {
        return everywhere();
    }
    let racks = Racks::new(places, releases, &order);
    let in_one_rack = racks.all.into_iter().filter_map(|rack| {
        Search::new(places, &rack.places, releases, rack.order).run(demand, Reach::Near)
    });
    let best = in_one_rack.min_by(|left, right| left.cost.total_cmp(&right.cost));
    best.or_else(|| (reach == Reach::Remote).then(everywhere).flatten())
}

/// One rack, with the releases that affect it.
#[derive(Default)]
struct Rack {
    /// Indices of the places in the rack.
    places: Vec<usize>,
    /// Indices of the releases that free resources there, the cheapest first.
    order: Vec<usize>,
}

/// All racks.
struct Racks {
    all: Vec<Rack>,
}

impl Racks {
    fn new(places: &[Place], releases: &[Release<'_>], order: &[usize]) -> Self {
        let mut names: Vec<&Rc<str>> = places.iter().map(|place| &place.rack).collect();
        names.sort_unstable();
        names.dedup();
        let number = |place: &Place| names.binary_search(&&place.rack).unwrap_or_default();
        let rack_of_place: Vec<usize> = places.iter().map(number).collect();
        let mut all: Vec<Rack> = Vec::new();
        all.resize_with(names.len(), Rack::default);
        for (place, rack) in rack_of_place.iter().enumerate() {
            all[*rack].places.push(place);
        }
        for release in order {
            for (place, _) in releases[*release].released {
                let rack_order = &mut all[rack_of_place[*place]].order;
                if rack_order.last() != Some(release) {
                    rack_order.push(*release);
                }
            }
        }
        Racks { all }
    }
}

/// A search among some of the places.
struct Search<'a> {
    /// The places, with the resources that are free in the current step of the search.
    places: Vec<Place>,
    /// Free resources of each place before any release.
    base: Vec<Resources>,
    /// Index of each place among all places.
    origin: &'a [usize],
    /// Position in `places` by index among all places; none for places that are left out.
    position: Vec<Option<u32>>,
    releases: &'a [Release<'a>],
    /// Indices of the releases, the cheapest first.
    order: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(
        places: &[Place],
        origin: &'a [usize],
        releases: &'a [Release<'a>],
        order: Vec<usize>,
    ) -> Self {
        let mut position = vec![None; places.len()];
        for (at, index) in (0..).zip(origin) {
            position[*index] = Some(at);
        }
        let places: Vec<Place> = origin.iter().map(|index| places[*index].clone()).collect();
        let base = places.iter().map(|place| place.free).collect();
        Search { places, base, origin, position, releases, order }
    }

    /// Finds the shortest sufficient prefix of the releases in the order of their cost, then drops
    /// those that are not needed, the most expensive first.
    fn run(mut self, demand: &Demand, reach: Reach) -> Option<Outcome> {
        let order = std::mem::take(&mut self.order);
        // More releases never make fewer tasks fit, so the smallest sufficient prefix is found by
        // bisection.
        let mut assignments = self.assign_after(&order, demand, reach)?;
        let (mut lower, mut upper) = (0, order.len());
        while lower < upper {
            let middle = lower.midpoint(upper);
            match self.assign_after(&order[..middle], demand, reach) {
                Some(found) => (upper, assignments) = (middle, found),
                None => lower = middle + 1,
            }
        }
        let mut is_assigned = vec![false; self.places.len()];
        for assignment in &assignments {
            is_assigned[assignment.place] = true;
        }
        let is_used = |(at, _): &(usize, Resources)| {
            self.position[*at].is_some_and(|position| is_assigned[position as usize])
        };
        let is_useful = |index: &usize| self.releases[*index].released.iter().any(is_used);
        let mut chosen: Vec<usize> = order[..upper].iter().copied().filter(is_useful).collect();
        for at in (0..chosen.len()).rev() {
            let candidate = chosen.remove(at);
            match self.assign_after(&chosen, demand, reach) {
                Some(found) => assignments = found,
                None => chosen.insert(at, candidate),
            }
        }
        let cost = chosen.iter().map(|index| self.releases[*index].cost).sum();
        let to_origin = |assignment: Assignment| Assignment {
            place: self.origin[assignment.place],
            ..assignment
        };
        let assignments = assignments.into_iter().map(to_origin).collect();
        Some(Outcome { victims: chosen, assignments, cost })
    }

    /// Assigns the group to places after some releases. Resources that are promised to other groups
    /// are left out.
    ///
    /// Guards against promising resources twice: in a burst, two urgent groups would wait for the
    /// end of the same work, and the second would have to wait again after the first has started.
    fn assign_after(
        &mut self,
        included: &[usize],
        demand: &Demand,
        reach: Reach,
    ) -> Option<Vec<Assignment>> {
        for (place, free) in self.places.iter_mut().zip(&self.base) {
            place.free = *free;
        }
        for index in included {
            for (at, resources) in self.releases[*index].released {
                if let Some(position) = self.position[*at] {
                    let place = &mut self.places[position as usize];
                    place.free = place.free.plus(*resources);
                }
            }
        }
        for place in &mut self.places {
            place.free = place.free.minus(place.promised);
        }
        assignment::assign(&self.places, demand, reach)
    }
}
