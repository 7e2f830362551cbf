//! Assignment of the tasks of one group, which is a gang or a single task, to workers.
//!
//! Small tasks that were spread over all workers would leave no idle worker and no idle rack for a
//! gang of tasks with eight accelerators each. So a group is assigned where it leaves the least
//! free, and to an idle worker only if no partly used worker can hold it (best fit).

use std::{cmp::Reverse, collections::BTreeMap, rc::Rc};

use sapphire_jobs::resources::Resources;

use crate::{
    speed::Slowness,
    tiers::{self, Need},
};

/// A worker that tasks may be assigned to. It is cheap to clone, since a search for groups to stop
/// works on many copies of all places.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Name of the worker.
    pub worker: Rc<str>,
    /// Rack that the worker is in.
    pub rack: Rc<str>,
    /// Labels that steps may require of a worker.
    pub labels: Rc<[String]>,
    /// Free resources.
    pub free: Resources,
    /// Resources that are not free yet, but are promised to groups that wait for their release.
    pub promised: Resources,
    /// Total resources.
    pub capacity: Resources,
    /// Resources of the starts that the worker's minion may still carry out. Together with those of
    /// new starts they must not exceed the capacity.
    ///
    /// Guards against overloading the next incarnation of the minion: everything that runs ends
    /// with the present one, but the next one may carry out any of these starts.
    pub pending: Resources,
    /// How far the worker is to be avoided; 0 for a healthy worker.
    pub suspicion: u32,
    /// Lasting speed of the worker.
    pub slowness: Slowness,
}

impl Place {
    /// Returns the place as if nothing ran there and no start were pending.
    pub fn emptied(&self) -> Self {
        Place { free: self.capacity, ..self.without_pending() }
    }

    /// Returns the place as if no start were pending.
    pub fn without_pending(&self) -> Self {
        Place { pending: Resources::default(), ..self.clone() }
    }

    /// Adds the resources of tasks that will be started there to the pending ones. Without pending
    /// ones, the free resources are limit enough: all starts are of what runs there.
    pub fn add_pending(&mut self, resources: Resources) {
        if self.pending != Resources::default() {
            self.pending = self.pending.plus(resources);
        }
    }

    /// Returns how many tasks with the given resources may be started there.
    fn count_fitting(&self, resources: Resources) -> u32 {
        let startable = self.capacity.minus(self.pending);
        self.free.count_fitting(resources).min(startable.count_fitting(resources))
    }
}

/// Requirements of a group.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Number of tasks, all of which must be assigned.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Label that a worker must have; empty if any worker will do.
    pub label: String,
    /// Rack that is near the group's data; empty if any rack will do.
    pub near_rack: String,
    /// Whether the group is slower if it runs on more than one rack.
    pub wants_one_rack: bool,
    /// Maximum number of tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Number of tasks on each worker that count towards `per_worker` already.
    pub present: BTreeMap<String, u32>,
    /// Workers on which the group failed before. They are used only if there is no other.
    pub avoid: Vec<String>,
    /// What the speed of its workers means for the group.
    pub speed: Need,
}

/// Which workers a group may be assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Only workers on which it runs at full speed.
    Near,
    /// All workers, including those on which it is slower.
    Remote,
}

/// Tasks of a group that are assigned to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the place.
    pub place: usize,
    /// Number of tasks.
    pub tasks: u32,
}

/// A place with the number of tasks that it can hold.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: usize,
    place: &'a Place,
    tasks: u32,
    suspicion: u32,
}

/// Assigns all tasks of a group, or none.
pub fn assign(places: &[Place], demand: &Demand, reach: Reach) -> Option<Vec<Assignment>> {
    let candidates: Vec<Candidate<'_>> = (places.iter().enumerate())
        .filter_map(|(index, place)| candidate(index, place, demand))
        .filter(|candidate| reach == Reach::Remote || is_near(candidate.place, demand))
        .collect();
    let first = candidates.first().map(|candidate| candidate.place.slowness);
    let is_equal = candidates.iter().all(|candidate| Some(candidate.place.slowness) == first);
    if is_equal && demand.speed.limit.is_none() {
        assign_among(&candidates, demand, reach)
    } else {
        assign_by_speed(&candidates, demand, reach)
    }
}

/// Assigns a group to candidates of unequal speed. Workers that are to be avoided are the last
/// choice whatever their speed.
fn assign_by_speed(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    reach: Reach,
) -> Option<Vec<Assignment>> {
    let pace = |candidate: &Candidate<'_>| {
        demand.speed.pace(candidate.place.slowness, !is_near(candidate.place, demand))
    };
    let allowed: Vec<Candidate<'_>> = candidates
        .iter()
        .copied()
        .filter(|candidate| demand.speed.allows(pace(candidate)))
        .collect();
    let healthy: Vec<Candidate<'_>> =
        allowed.iter().copied().filter(|candidate| candidate.suspicion == 0).collect();
    let has_suspects = healthy.len() < allowed.len();
    let may_scatter = demand.wants_one_rack && reach == Reach::Remote;
    // A group prefers one rack with such a worker to several racks without.
    let sets = [
        Some((healthy, may_scatter && !has_suspects)),
        has_suspects.then_some((allowed, may_scatter)),
    ];
    sets.into_iter().flatten().find_map(|(set, may_scatter)| {
        let near = set.iter().map(pace).collect();
        let scattered = if may_scatter { set.as_slice() } else { &[] };
        let scattered = scattered.iter().map(|candidate| candidate.place.slowness).collect();
        tiers::windows(near, scattered, demand).into_iter().find_map(|window| {
            let slowness = |candidate: &Candidate<'_>| {
                if window.is_scattered { candidate.place.slowness } else { pace(candidate) }
            };
            let inside: Vec<Candidate<'_>> =
                set.iter().copied().filter(|it| window.contains(slowness(it))).collect();
            if window.is_scattered {
                fill(&inside, demand).map(|(_, assignments)| assignments)
            } else {
                let reach = if demand.wants_one_rack { Reach::Near } else { reach };
                assign_among(&inside, demand, reach)
            }
        })
    })
}

/// Assigns a group to any of the candidates, whatever their speed.
fn assign_among(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    reach: Reach,
) -> Option<Vec<Assignment>> {
    if demand.wants_one_rack {
        let in_one_rack = by_rack(candidates).into_values().filter_map(|rack| fill(&rack, demand));
        let best = in_one_rack.min_by_key(|(cost, _)| *cost).map(|(_, assignments)| assignments);
        if best.is_some() || reach == Reach::Near {
            return best;
        }
    }
    fill(candidates, demand).map(|(_, assignments)| assignments)
}

/// A place as a candidate for a group; none if it can't hold any of its tasks.
fn candidate<'a>(index: usize, place: &'a Place, demand: &Demand) -> Option<Candidate<'a>> {
    let has_label = demand.label.is_empty() || place.labels.contains(&demand.label);
    let mut tasks = place.count_fitting(demand.resources);
    if demand.per_worker > 0 {
        let present = demand.present.get(&*place.worker).copied().unwrap_or(0);
        tasks = tasks.min(demand.per_worker.saturating_sub(present));
    }
    let is_avoided = demand.avoid.iter().any(|name| **name == *place.worker);
    let suspicion = place.suspicion + u32::from(is_avoided) * AVOIDED_SUSPICION;
    (has_label && tasks > 0).then_some(Candidate { index, place, tasks, suspicion })
}

/// Suspicion that is added for a worker on which the group failed before. It exceeds that of any
/// other worker.
const AVOIDED_SUSPICION: u32 = 100;

fn is_near(place: &Place, demand: &Demand) -> bool {
    demand.near_rack.is_empty() || *place.rack == *demand.near_rack
}

fn by_rack<'a>(candidates: &[Candidate<'a>]) -> BTreeMap<&'a str, Vec<Candidate<'a>>> {
    let mut racks: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(&candidate.place.rack).or_default().push(*candidate);
    }
    racks
}

/// Cost of an assignment, compared in this order: suspicion, number of workers away from the data,
/// number of idle workers used in part, and accelerators left free.
type Cost = (u32, u32, u32, u64);

/// Assigns the group to as few workers as possible, those with the least left free first.
fn fill(candidates: &[Candidate<'_>], demand: &Demand) -> Option<(Cost, Vec<Assignment>)> {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.tasks)).sum();
    if total < u64::from(demand.tasks) {
        return None;
    }
    let mut unused: Vec<Candidate<'_>> = candidates.to_vec();
    let mut missing = demand.tasks;
    let mut cost: Cost = (0, 0, 0, 0);
    let mut assignments = Vec::new();
    while missing > 0 {
        let best = (0..unused.len()).min_by_key(|at| preference(&unused[*at], demand, missing))?;
        let candidate = unused.swap_remove(best);
        let tasks = candidate.tasks.min(missing);
        missing -= tasks;
        let (suspicion, remote, broken, free) = candidate_cost(&candidate, demand, tasks);
        cost = (cost.0 + suspicion, cost.1 + remote, cost.2 + broken, cost.3 + free);
        assignments.push(Assignment { place: candidate.index, tasks });
    }
    Some((cost, assignments))
}

/// Cost of assigning some tasks to one candidate.
fn candidate_cost(candidate: &Candidate<'_>, demand: &Demand, tasks: u32) -> Cost {
    let is_idle = candidate.place.free == candidate.place.capacity;
    let left = candidate.place.free.minus(demand.resources.times(tasks.into())).accelerators;
    let broken = u32::from(is_idle && left > 0);
    (candidate.suspicion, u32::from(!is_near(candidate.place, demand)), broken, left)
}

/// Sort key of the order in which workers are used: healthy ones first, then those near the data,
/// then those that hold all tasks that are left and leave the least free, then those that hold the
/// most tasks.
fn preference(
    candidate: &Candidate<'_>,
    demand: &Demand,
    missing: u32,
) -> (u32, u32, u32, u32, u64, u64) {
    let (suspicion, remote, broken, left) =
        candidate_cost(candidate, demand, candidate.tasks.min(missing));
    let shortfall = missing.saturating_sub(candidate.tasks);
    let cores = candidate.place.free.millicores;
    (suspicion, remote, shortfall, broken, left, cores)
}

/// Places for work that can wait and that a stop would lose: the last `keep` healthy workers on which
/// nothing runs are reserved, that is, shown without free resources.
///
/// Guards against urgent tasks, each of which needs a complete worker, having to stop work that has
/// run for seconds because long tasks have spread over all workers. The reserved workers stay
/// available to work that loses nothing when it is stopped. The fastest ones are reserved, since
/// urgent work may be late on the others.
///
/// Idle workers with pending starts are reserved first, since they take little other work: while
/// many starts are unanswered, most workers are idle, and the others have to do all the work.
pub fn without_reserved(places: &[Place], keep: usize) -> Vec<Place> {
    let is_healthy = |place: &Place| place.free == place.capacity && place.suspicion == 0;
    let has_pending = |place: &Place| place.pending != Resources::default();
    let pending = places.iter().filter(|place| is_healthy(place) && has_pending(place)).count();
    let keep = keep.saturating_sub(pending);
    let is_idle = |place: &Place| is_healthy(place) && !has_pending(place);
    let mut idle = places.iter().filter(|place| is_idle(place)).count();
    let mut unreserved = places.to_vec();
    let mut slowest_first: Vec<usize> =
        (0..places.len()).filter(|at| is_idle(&places[*at])).collect();
    slowest_first.sort_by_key(|at| Reverse(places[*at].slowness));
    for at in slowest_first {
        if idle <= keep {
            unreserved[at].free = Resources::default();
        } else {
            idle -= 1;
        }
    }
    unreserved
}
