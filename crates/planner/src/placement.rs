//! Starts a group on the workers that were chosen for it.

use std::collections::{BTreeMap, BTreeSet};

use sapphire_jobs::{
    resources::Resources,
    task::{GroupKey, RunNumber, Task},
};
use sapphire_plan::assignment::{self, Assignment, Demand, Place, Reach};

use crate::{
    event::Moment,
    group::{Active, Assignments, Phase},
    options,
    planner::Planner,
    pool::Pool,
    state::run_log::Row,
    worker::{self, Run},
};

/// The workers chosen for a group.
pub(crate) struct Placement<'a> {
    pub(crate) demand: &'a Demand,
    pub(crate) assignments: &'a [Assignment],
    /// The earlier run that is ordered again; `None` for a new run.
    pub(crate) repeated: Option<Repeated<'a>>,
}

/// An earlier run that is ordered again.
#[derive(Clone, Copy)]
pub(crate) struct Repeated<'a> {
    pub(crate) number: RunNumber,
    /// The tasks that return to their workers, beside those that are assigned.
    pub(crate) workers: &'a Assignments,
}

impl<'a> Placement<'a> {
    /// Returns the placement of a new run.
    pub(crate) fn new(demand: &'a Demand, assignments: &'a [Assignment]) -> Self {
        Placement { demand, assignments, repeated: None }
    }
}

/// What the runs of a group's tasks have in common.
#[derive(Clone, Copy)]
struct Order {
    number: RunNumber,
    /// The runs continue from a checkpoint.
    is_resumed: bool,
}

impl Planner {
    /// Orders the tasks of a group on their assigned workers.
    pub(crate) fn place(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        id: &str,
        key: &GroupKey,
        placement: &Placement<'_>,
    ) {
        let Placement { demand, repeated, .. } = *placement;
        let first = (self.startup.term_number - 1) * options::RUNS_PER_TERM + 1;
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        let unfinished = allocate(pool, key.index, placement);
        let is_remote = is_remote(pool, demand, &unfinished);
        let number = repeated.map(|it| it.number);
        let number = number.unwrap_or_else(|| first.max(group.run.saturating_add(1)));
        // A run that is ordered again is taken up when a list shows it.
        group.ended_run = group.ended_run.min(number - 1);
        let waited = now.steady.saturating_sub(group.waiting_since);
        let waited = waited.as_millis();
        group.run = number;
        group.claim = None;
        group.wait = None;
        let blocked_since = group.blocked_since.take();
        group.phase = Phase::Active(Box::new(Active {
            ordered_at: now.steady,
            began: None,
            unfinished: unfinished.clone(),
            is_stopping: false,
            is_move_deferred: false,
            is_remote,
            checkpoint: group.checkpoint.clone(),
        }));
        let is_resumed = !group.checkpoint.is_empty();
        entry.end_idle(now.steady);
        self.order(now, id, key, demand, Order { number, is_resumed }, &unfinished);
        let expected = self.table.entries.get(id).map(|entry| self.estimate(entry, key.step));
        let expected = expected.unwrap_or_default();
        let names: Vec<&str> = unfinished.values().map(String::as_str).collect();
        let slowness = self.group_slowness(names.iter().copied());
        self.log(format!(
            "job={id} step={} index={} run={number} placed on={} waited_ms={waited} far={is_remote} \
             expected_ms={} spread={:.2} slowness={:.2}",
            key.step,
            key.index,
            names.join(","),
            expected.centre.as_millis(),
            expected.spread,
            slowness.get()
        ));
        if let Some(since) = blocked_since {
            let blocked_ms = now.steady.saturating_sub(since).as_millis();
            self.log(format!(
                "job={id} step={} index={} run={number} waited {blocked_ms} ms for unanswered starts",
                key.step, key.index
            ));
        }
    }

    /// Adds a run's tasks to the runs of their workers. Their agents get the orders with the
    /// answers to their polls, once the handover record contains the starts.
    fn order(
        &mut self,
        now: Moment,
        id: &str,
        key: &GroupKey,
        demand: &Demand,
        order: Order,
        unfinished: &Assignments,
    ) {
        let Order { number, is_resumed } = order;
        let recorded_in = self.handover.require();
        self.load.runs += unfinished.len();
        for (index, name) in unfinished {
            let (occurrence, step) = (key.occurrence, key.step);
            let task = Task { job: id.to_owned(), occurrence, step, index: *index };
            let Some(worker) = self.workers.get_mut(name) else { continue };
            self.run_log.add(Row { task: task.clone(), number, worker: name.clone() });
            let run = Run::new(number, demand.resources, worker::Phase::Ordered, 0, now.steady);
            worker.runs.insert(task, Run { recorded_in, is_resumed, ..run });
        }
    }
}

/// Allocates the resources of a group's tasks, which are numbered from `first`, and returns the
/// worker of each.
fn allocate(pool: &mut Pool, first: u32, placement: &Placement<'_>) -> Assignments {
    let Placement { demand, assignments, repeated } = placement;
    let mut unfinished = repeated.map_or_else(BTreeMap::new, |it| it.workers.clone());
    for worker in unfinished.values() {
        if let Some(at) = pool.index.get(worker) {
            pool.allocate(*at, demand.resources);
        }
    }
    let mut next = first;
    for assignment in *assignments {
        pool.allocate(assignment.place, demand.resources.times(assignment.tasks.into()));
        let place = &pool.places[assignment.place];
        for _ in 0..assignment.tasks {
            while unfinished.contains_key(&next) {
                next += 1;
            }
            unfinished.insert(next, place.worker.to_string());
        }
    }
    unfinished
}

/// Returns where the other tasks of a group start if some return to their workers; `None` if there are
/// no resources for all of them, or if a worker is to be avoided.
pub(crate) fn others_of_repeated(
    pool: &Pool,
    demand: &Demand,
    workers: &Assignments,
) -> Option<Vec<Assignment>> {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    workers.values().for_each(|worker| *counts.entry(worker).or_default() += 1);
    if counts.keys().any(|worker| demand.avoid.iter().any(|name| name == worker)) {
        return None;
    }
    let mut others = Demand { tasks: demand.tasks - workers.len() as u32, ..demand.clone() };
    let mut places = pool.places.clone();
    for (worker, count) in &counts {
        let place = &mut places[*pool.index.get(*worker)?];
        let resources = demand.resources.times(u64::from(*count));
        // The pending starts of a place contain those of this run.
        let here = Place { pending: place.pending.minus(resources), ..place.clone() };
        let returning = Demand { tasks: *count, ..demand.clone() };
        assignment::assign(&[here], &returning, Reach::Remote)?;
        place.free = place.free.minus(resources);
        *others.present.entry((*worker).to_owned()).or_default() += count;
    }
    if others.tasks == 0 {
        return Some(Vec::new());
    }
    if demand.wants_one_rack {
        let is_of_run = |place: &&Place| counts.contains_key(&*place.worker);
        let racks: BTreeSet<_> =
            places.iter().filter(is_of_run).map(|it| it.rack.clone()).collect();
        let elsewhere = places.iter_mut().filter(|place| !racks.contains(&place.rack));
        elsewhere.for_each(|place| place.free = Resources::default());
    }
    assignment::assign(&places, &others, Reach::Remote)
}

/// Returns whether a group would run away from its data, or on several racks although it prefers
/// one.
fn is_remote(pool: &Pool, demand: &Demand, workers: &Assignments) -> bool {
    let places = workers.values().filter_map(|worker| pool.index.get(worker));
    let mut racks = places.map(|at| &*pool.places[*at].rack);
    let first = racks.clone().next();
    let is_scattered = demand.wants_one_rack && racks.clone().any(|rack| Some(rack) != first);
    let is_away = !demand.near_rack.is_empty() && racks.any(|rack| *rack != *demand.near_rack);
    is_scattered || is_away
}
