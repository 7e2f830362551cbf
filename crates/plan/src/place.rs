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
    /// Shape whose room is to be spared: the largest that is guaranteed.
    pub spare: Option<&'a Shape>,
}

impl<'a> Options<'a> {
    /// A gang that takes only what is free.
    pub fn borrowing(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: false, avoid: &[], spare: None }
    }

    /// A gang that runs on its organisation's guarantee.
    pub fn guaranteed(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: true, avoid: &[], spare: None }
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
    /// Large blocks that it breaks.
    pub broken: u32,
    /// Large blocks that are left whole.
    pub whole: u32,
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
/// bound to others, then fewest large blocks broken, then least room left over.
pub fn place(fleet: &Fleet, options: &Options<'_>) -> Option<Outcome> {
    let blocks = options.spare.map(|spare| Blocks::new(fleet, spare));
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
            let (score, seats) = fill(rooms, options, blocks.as_ref())?;
            Some((score, group, seats))
        })
        .collect();
    ranked.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
    let mut ranked = ranked.into_iter();
    let (score, group, seats) = ranked.next()?;
    let broken = score.broken;
    let whole = blocks.map_or(0, |blocks| blocks.count().saturating_sub(broken));
    let runner_up = ranked.next().map(|(_, group, _)| group).unwrap_or_default();
    Some(Outcome { seats, group, runner_up, broken, whole })
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

/// How many gangs of a shape each rack could hold.
struct Blocks<'a> {
    spare: &'a Shape,
    /// Tasks of the shape that fit into each rack, by zone and rack.
    tasks: BTreeMap<(&'a str, &'a str), u32>,
}

impl<'a> Blocks<'a> {
    fn new(fleet: &'a Fleet, spare: &'a Shape) -> Self {
        let mut tasks = BTreeMap::new();
        for worker in fleet.workers.values().filter(|worker| worker.is_open) {
            let rack = (worker.zone.as_str(), worker.rack.as_str());
            *tasks.entry(rack).or_default() += tasks_free(worker, 0, spare);
        }
        Blocks { spare, tasks }
    }

    /// Gangs of the shape for which there is room.
    fn count(&self) -> u32 {
        self.tasks.values().map(|tasks| tasks / self.spare.tasks.max(1)).sum()
    }

    /// Gangs of the shape for which there would be no room any more, racks by racks.
    fn broken(&self, seats: &[(&Worker, u32)]) -> u32 {
        let mut lost: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for (worker, accelerators) in seats {
            let before = tasks_free(worker, 0, self.spare);
            let after = tasks_free(worker, *accelerators, self.spare);
            let rack = (worker.zone.as_str(), worker.rack.as_str());
            *lost.entry(rack).or_default() += before - after;
        }
        let gangs = |tasks: u32| tasks / self.spare.tasks.max(1);
        lost.iter()
            .map(|(rack, lost)| {
                let before = self.tasks.get(rack).copied().unwrap_or(0);
                gangs(before) - gangs(before.saturating_sub(*lost))
            })
            .sum()
    }
}

/// Tasks of a shape that fit into what is free, once some accelerators are taken.
fn tasks_free(worker: &Worker, taken: u32, shape: &Shape) -> u32 {
    worker.free().accelerators.saturating_sub(taken) / shape.accelerators.max(1)
}

/// Lower is better.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Large blocks broken.
    broken: u32,
    /// Accelerators used that are bound to a guarantee.
    bound: u32,
    /// Whole free workers broken.
    opened: u32,
    /// Racks touched.
    racks: usize,
    /// Accelerators left free on the workers touched.
    left: u32,
}

/// Seats the gang in one group, on as few workers as possible.
fn fill(
    mut rooms: Vec<Room<'_>>,
    options: &Options<'_>,
    blocks: Option<&Blocks<'_>>,
) -> Option<(Score, Vec<Seat>)> {
    let mut missing = options.shape.tasks;
    let total: u64 = rooms.iter().map(|room| u64::from(room.tasks)).sum();
    if missing == 0 || total < u64::from(missing) {
        return None;
    }
    let mut seats = Vec::new();
    let mut score = Score { bound: 0, broken: 0, opened: 0, racks: 0, left: 0 };
    let mut taken = Vec::new();
    let mut racks: Vec<&str> = Vec::new();
    while missing > 0 {
        let room = rooms.swap_remove(next_room(&rooms, missing, &racks));
        let tasks = room.tasks.min(missing);
        missing -= tasks;
        let accelerators = options.shape.accelerators * tasks;
        if !options.is_guaranteed {
            score.bound += accelerators.saturating_sub(room.worker.unbound_free());
        }
        let is_whole = room.worker.used.accelerators == 0;
        score.opened += u32::from(is_whole && accelerators < room.worker.capacity.accelerators);
        taken.push((room.worker, accelerators));
        score.left += room.worker.free().accelerators.saturating_sub(accelerators);
        if !racks.contains(&room.worker.rack.as_str()) {
            racks.push(&room.worker.rack);
        }
        seats.push(Seat { worker: room.name.clone(), tasks });
    }
    score.racks = racks.len();
    score.broken = blocks.map_or(0, |blocks| blocks.broken(&taken));
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
