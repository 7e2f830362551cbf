//! Capacity that is kept free of work that can wait, for urgent work that is about to arrive.
//!
//! Work that starts where the next urgent group needs the resources is stopped a moment later. The
//! resources that urgent work will use at one time follow from its arrivals in the last seconds and
//! their run times (Little's law: mean number in service = arrival rate x run time).

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use sapphire_jobs::resources::Resources;

use crate::assignment::Place;

/// Time constant of the decay of arrivals. Urgent demand changes by half within 17 s.
const WINDOW: Duration = Duration::from_secs(8);
/// Capacity kept for each unit of expected use. Urgent work arrives in gangs that want whole workers
/// or one rack, so that the mean use is exceeded most of the time that matters. In simulated days,
/// 1, 2 and 3 gave 0.28, 0.21 and 0.14 stopped runs for each completed one.
const MARGIN: f64 = 3.0;
/// The kept capacity is at most one in this many workers.
const MAX_SHARE_DIVISOR: usize = 4;

/// Resources, as real numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processors in thousandths.
    pub millicores: f64,
    /// Accelerators.
    pub accelerators: f64,
}

impl Usage {
    /// Adds resources, multiplied by a factor.
    pub fn add(&mut self, resources: Resources, factor: f64) {
        self.millicores += resources.millicores as f64 * factor;
        self.accelerators += resources.accelerators as f64 * factor;
    }

    fn times(self, factor: f64) -> Usage {
        Usage { millicores: self.millicores * factor, accelerators: self.accelerators * factor }
    }

    /// The part that exceeds another usage.
    fn beyond(self, other: Usage) -> Usage {
        Usage {
            millicores: (self.millicores - other.millicores).max(0.0),
            accelerators: (self.accelerators - other.accelerators).max(0.0),
        }
    }
}

/// Measured arrivals of urgent work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    /// Decaying sum of resources times run time in seconds.
    work: Usage,
    at: Duration,
}

impl Arrivals {
    /// Records an urgent step that has arrived: the resources of all its tasks, and the run time of
    /// each.
    pub fn observe(&mut self, now: Duration, resources: Resources, run_time: Duration) {
        self.work = self.decayed(now);
        self.at = self.at.max(now);
        self.work.add(resources, run_time.as_secs_f64());
    }

    /// Resources that urgent work is expected to use at one time.
    pub fn expected(&self, now: Duration) -> Usage {
        let work = self.decayed(now);
        let window = WINDOW.as_secs_f64();
        Usage { millicores: work.millicores / window, accelerators: work.accelerators / window }
    }

    fn decayed(&self, now: Duration) -> Usage {
        let elapsed = now.saturating_sub(self.at);
        let factor = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        Usage {
            millicores: self.work.millicores * factor,
            accelerators: self.work.accelerators * factor,
        }
    }
}

/// Chooses the workers that are kept free: as many as `MARGIN` times the expected urgent work needs
/// beyond those that urgent work has already, and at most a quarter of all. Those with the most free
/// resources are chosen, in racks with the most free resources, so that a gang that wants whole
/// workers or one rack finds them. Returns indices of places.
pub fn choose(places: &[Place], expected: Usage, used: Usage) -> Vec<usize> {
    let missing = expected.times(MARGIN).beyond(used);
    let limit = places.len() / MAX_SHARE_DIVISOR;
    let mut total = Usage::default();
    places.iter().for_each(|place| total.add(place.capacity, 1.0));
    let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    let share = share(missing.accelerators, total.accelerators)
        .max(share(missing.millicores, total.millicores));
    let count = ((share * places.len() as f64).round() as usize).min(limit);
    let mut free_in_rack: BTreeMap<&Rc<str>, u64> = BTreeMap::new();
    for place in places {
        *free_in_rack.entry(&place.rack).or_default() += place.free.accelerators;
    }
    let mut order: Vec<usize> = (0..places.len()).filter(|at| places[*at].suspicion == 0).collect();
    order.sort_by_key(|at| {
        let place = &places[*at];
        let key = (place.free.accelerators, free_in_rack[&place.rack], place.free.millicores);
        (std::cmp::Reverse(key), *at)
    });
    order.truncate(count);
    order
}

/// The places without the resources that are kept free.
pub fn without(places: &[Place], kept: &[usize]) -> Vec<Place> {
    let mut others = places.to_vec();
    for at in kept {
        others[*at].free = Resources::default();
    }
    others
}
