//! Chooses workers for the tasks of one group: a gang, or a single task.
//!
//! The load this answers: small tasks that scatter over all workers until no whole worker, and
//! no whole rack, is left for a gang of eight-accelerator tasks. So a group goes where it leaves
//! the least free, and breaks a whole worker only when nothing smaller holds it.

use std::{collections::BTreeMap, rc::Rc};

use sapphire_jobs::room::Room;

/// A worker that may take tasks. Cheap to copy, since a search for what to stop tries many
/// copies of all places.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Its name.
    pub worker: Rc<str>,
    /// Its rack.
    pub rack: Rc<str>,
    /// What steps may require of it.
    pub labels: Rc<[String]>,
    /// What is free.
    pub free: Room,
    /// What is to become free here and is promised to groups that wait for it.
    pub owed: Room,
    /// What it has in all.
    pub capacity: Room,
    /// How far it is to be avoided; 0 for a sound worker.
    pub doubt: u32,
}

/// What a group needs.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Tasks, all of which must be seated.
    pub tasks: u32,
    /// What each takes.
    pub room: Room,
    /// Label that the worker must have; empty for any.
    pub label: String,
    /// Rack next to the data; empty for any.
    pub near_rack: String,
    /// The group is slower on more than one rack.
    pub wants_one_rack: bool,
    /// Most tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Tasks that count towards `per_worker` already, by worker.
    pub present: BTreeMap<String, u32>,
    /// Workers on which it failed before; taken only when there is no other.
    pub avoid: Vec<String>,
    /// Tasks, by their number in the group, that may go to one worker only.
    pub bound: BTreeMap<u32, String>,
}

/// Where the group may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Only where it runs at full speed.
    Near,
    /// Anywhere, also where it is slower.
    Far,
}

/// Tasks on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Index of the place.
    pub place: usize,
    /// Tasks.
    pub tasks: u32,
}

/// A place with the number of tasks that it can take.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: usize,
    place: &'a Place,
    tasks: u32,
    doubt: u32,
}

/// Seats a whole group, or nothing.
pub fn seat(places: &[Place], ask: &Ask, reach: Reach) -> Option<Vec<Seat>> {
    let options: Vec<Candidate<'_>> = (places.iter().enumerate())
        .filter_map(|(index, place)| option(index, place, ask))
        .filter(|option| reach == Reach::Far || is_near(option.place, ask))
        .collect();
    if ask.wants_one_rack {
        let in_one = by_rack(&options).into_values().filter_map(|rack| fill(&rack, ask));
        let best = in_one.min_by_key(|(cost, _)| *cost).map(|(_, seats)| seats);
        if best.is_some() || reach == Reach::Near {
            return best;
        }
    }
    fill(&options, ask).map(|(_, seats)| seats)
}

fn option<'a>(index: usize, place: &'a Place, ask: &Ask) -> Option<Candidate<'a>> {
    let has_label = ask.label.is_empty() || place.labels.contains(&ask.label);
    let mut tasks = place.free.holds(ask.room);
    if ask.per_worker > 0 {
        let present = ask.present.get(&*place.worker).copied().unwrap_or(0);
        tasks = tasks.min(ask.per_worker.saturating_sub(present));
    }
    let is_avoided = ask.avoid.iter().any(|name| **name == *place.worker);
    let doubt = place.doubt + u32::from(is_avoided) * AVOIDED;
    (has_label && tasks > 0).then_some(Candidate { index, place, tasks, doubt })
}

/// Doubt about a worker on which the group has failed before: above that of any other worker.
const AVOIDED: u32 = 100;

fn is_near(place: &Place, ask: &Ask) -> bool {
    ask.near_rack.is_empty() || *place.rack == *ask.near_rack
}

fn by_rack<'a>(options: &[Candidate<'a>]) -> BTreeMap<&'a str, Vec<Candidate<'a>>> {
    let mut racks: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
    for option in options {
        racks.entry(&option.place.rack).or_default().push(*option);
    }
    racks
}

/// Lower is better: doubt, distance from the data, whole workers broken, what is left free.
type Cost = (u32, u32, u32, u64);

/// Seats the group on as few workers as can be, the tightest first.
fn fill(options: &[Candidate<'_>], ask: &Ask) -> Option<(Cost, Vec<Seat>)> {
    let total: u64 = options.iter().map(|option| u64::from(option.tasks)).sum();
    if total < u64::from(ask.tasks) {
        return None;
    }
    let mut left: Vec<Candidate<'_>> = options.to_vec();
    let mut missing = ask.tasks;
    let mut cost: Cost = (0, 0, 0, 0);
    let mut seats = Vec::new();
    let mut bound = bound(ask);
    while missing > 0 {
        let best = match bound.pop_first() {
            Some((worker, tasks)) => {
                let at = left.iter().position(|option| *option.place.worker == *worker)?;
                (left[at].tasks >= tasks).then_some(at)?
            }
            None => (0..left.len()).min_by_key(|at| preference(&left[*at], ask, missing))?,
        };
        let option = left.swap_remove(best);
        let own = bound.values().sum::<u32>();
        let tasks = option.tasks.min(missing - own.min(missing));
        missing -= tasks;
        let (doubt, far, broken, free) = step_cost(&option, ask, tasks);
        cost = (cost.0 + doubt, cost.1 + far, cost.2 + broken, cost.3 + free);
        seats.push(Seat { place: option.index, tasks });
    }
    Some((cost, seats))
}

/// Tasks that may go to one worker only, by worker.
fn bound(ask: &Ask) -> BTreeMap<&str, u32> {
    let mut bound: BTreeMap<&str, u32> = BTreeMap::new();
    for worker in ask.bound.values() {
        *bound.entry(worker).or_default() += 1;
    }
    bound
}

fn step_cost(option: &Candidate<'_>, ask: &Ask, tasks: u32) -> Cost {
    let is_whole = option.place.free == option.place.capacity;
    let left = option.place.free.minus(ask.room.times(tasks.into())).accelerators;
    let broken = u32::from(is_whole && left > 0);
    (option.doubt, u32::from(!is_near(option.place, ask)), broken, left)
}

/// Order in which workers are taken: sound ones, near ones, those that hold all that is missing
/// and leave the least; otherwise those that hold the most.
fn preference(option: &Candidate<'_>, ask: &Ask, missing: u32) -> (u32, u32, u32, u32, u64, u64) {
    let (doubt, far, broken, left) = step_cost(option, ask, option.tasks.min(missing));
    let shortfall = missing.saturating_sub(option.tasks);
    let cores = option.place.free.millicores;
    (doubt, far, shortfall, broken, left, cores)
}

/// Places for work that can wait and would be lost if it were stopped: without the last `keep`
/// workers on which nothing runs.
///
/// The load this answers: urgent tasks that need a whole worker while long ones have spread over
/// all of them. Each then stops work that has run for seconds; a worker or two that only work
/// with nothing to lose may take spares that.
pub fn spare(places: &[Place], keep: usize) -> Vec<Place> {
    let is_whole = |place: &Place| place.free == place.capacity && place.doubt == 0;
    let mut whole = places.iter().filter(|place| is_whole(place)).count();
    let mut spared = places.to_vec();
    for place in spared.iter_mut().filter(|place| is_whole(place)) {
        if whole <= keep {
            place.free = Room::default();
        } else {
            whole -= 1;
        }
    }
    spared
}
