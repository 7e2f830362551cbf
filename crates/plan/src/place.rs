//! Chooses workers for a whole gang.

use std::collections::BTreeMap;

use sapphire_wire::{Adjacency, Shape, id, resource};

use crate::fleet::{Fleet, Worker};

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Whose gang it is.
    pub organisation: &'a str,
    /// The gang.
    pub shape: &'a Shape,
    /// Use the organisation's guarantee, reclaiming what others borrow of it.
    pub is_guaranteed: bool,
    /// Workers to leave out.
    pub avoid: &'a [id::Worker],
}

impl<'a> Options<'a> {
    /// A gang that takes only what is free.
    pub fn borrowing(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: false, avoid: &[] }
    }

    /// A gang that runs on its organisation's guarantee.
    pub fn guaranteed(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: true, avoid: &[] }
    }
}

/// Tasks of the gang on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The worker.
    pub worker: id::Worker,
    /// How many tasks.
    pub tasks: u32,
}

/// Where a gang goes, and what else was possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// One seat a worker; together the whole gang.
    pub seats: Vec<Seat>,
    /// Group chosen: worker, rack or zone.
    pub group: String,
    /// Second-best group, for the log; empty when there was none.
    pub runner_up: String,
}

/// A worker that can take some of the gang.
struct Room<'a> {
    name: &'a id::Worker,
    worker: &'a Worker,
    tasks: u32,
}

/// Places the whole gang, or nothing.
///
/// The group (worker, rack or zone, by adjacency) with the best fit wins: least use of what is
/// bound to others, then least room left over, so that large free blocks stay whole.
pub fn place(fleet: &Fleet, options: &Options<'_>) -> Option<Outcome> {
    let mut groups: BTreeMap<String, Vec<Room<'_>>> = BTreeMap::new();
    for (name, worker) in &fleet.workers {
        let tasks = tasks_that_fit(name, worker, options);
        if tasks > 0 {
            let group = group_of(name, worker, options.shape.adjacency());
            groups.entry(group).or_default().push(Room { name, worker, tasks });
        }
    }
    let mut ranked: Vec<(Score, String, Vec<Seat>)> = groups
        .into_iter()
        .filter_map(|(group, rooms)| {
            let (score, seats) = fill(rooms, options)?;
            Some((score, group, seats))
        })
        .collect();
    ranked.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
    let mut ranked = ranked.into_iter();
    let (_, group, seats) = ranked.next()?;
    let runner_up = ranked.next().map(|(_, group, _)| group).unwrap_or_default();
    Some(Outcome { seats, group, runner_up })
}

fn group_of(name: &str, worker: &Worker, adjacency: Adjacency) -> String {
    match adjacency {
        Adjacency::Worker => name.to_owned(),
        Adjacency::Rack => format!("{}/{}", worker.zone, worker.rack),
        Adjacency::Zone => worker.zone.clone(),
    }
}

fn tasks_that_fit(name: &id::Worker, worker: &Worker, options: &Options<'_>) -> u32 {
    let shape = options.shape;
    if !worker.is_open || shape.accelerators == 0 || options.avoid.contains(name) {
        return 0;
    }
    if options.is_guaranteed {
        let share = share_of_tasks(worker, shape);
        return (worker.unused_guarantee(options.organisation) / shape.accelerators).min(share);
    }
    let free = worker.free();
    let mut tasks = free.accelerators / shape.accelerators;
    if let Some(by_processors) = free.processors.checked_div(shape.processors) {
        tasks = tasks.min(by_processors);
    }
    if let Some(by_memory) = free.memory_bytes.checked_div(shape.memory_bytes) {
        tasks = tasks.min(u32::try_from(by_memory).unwrap_or(u32::MAX));
    }
    tasks
}

/// No limit when one task needs no more processors and memory than its accelerators' share of
/// the worker; otherwise none, since the agent would refuse it.
fn share_of_tasks(worker: &Worker, shape: &Shape) -> u32 {
    let task = resource::Amount::of_tasks(shape, 1);
    let all = u64::from(worker.capacity.accelerators);
    let own = u64::from(task.accelerators);
    let processors =
        u64::from(task.processors) * all <= u64::from(worker.capacity.processors) * own;
    let memory = u128::from(task.memory_bytes) * u128::from(all)
        <= u128::from(worker.capacity.memory_bytes) * u128::from(own);
    if processors && memory { u32::MAX } else { 0 }
}

/// Lower is better.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Accelerators used that are bound to a guarantee.
    bound: u32,
    /// Racks touched.
    racks: usize,
    /// Accelerators left free on the workers touched.
    left: u32,
}

/// Seats the gang in one group, on as few workers as possible.
fn fill(mut rooms: Vec<Room<'_>>, options: &Options<'_>) -> Option<(Score, Vec<Seat>)> {
    let mut missing = options.shape.tasks;
    let total: u64 = rooms.iter().map(|room| u64::from(room.tasks)).sum();
    if missing == 0 || total < u64::from(missing) {
        return None;
    }
    let mut seats = Vec::new();
    let mut score = Score { bound: 0, racks: 0, left: 0 };
    let mut racks: Vec<&str> = Vec::new();
    while missing > 0 {
        let room = rooms.swap_remove(next_room(&rooms, missing, &racks));
        let tasks = room.tasks.min(missing);
        missing -= tasks;
        let accelerators = options.shape.accelerators * tasks;
        if !options.is_guaranteed {
            score.bound += accelerators.saturating_sub(room.worker.unbound_free());
        }
        score.left += room.worker.free().accelerators.saturating_sub(accelerators);
        if !racks.contains(&room.worker.rack.as_str()) {
            racks.push(&room.worker.rack);
        }
        seats.push(Seat { worker: room.name.clone(), tasks });
    }
    score.racks = racks.len();
    seats.sort_by(|left, right| left.worker.cmp(&right.worker));
    Some((score, seats))
}

/// The tightest room that takes all that is missing, else the largest; a rack already used
/// goes first.
fn next_room(rooms: &[Room<'_>], missing: u32, racks: &[&str]) -> usize {
    let key = |room: &Room<'_>| {
        let is_new_rack = !racks.contains(&room.worker.rack.as_str());
        let takes_all = room.tasks >= missing;
        let fit = if takes_all { room.tasks } else { u32::MAX - room.tasks };
        (!takes_all, is_new_rack, fit, room.name.clone())
    };
    let indexes = 0..rooms.len();
    indexes.min_by_key(|index| key(&rooms[*index])).expect("the caller checked the total")
}
