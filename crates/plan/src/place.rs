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
    let mut rooms: Vec<Room<'_>> = fleet
        .workers
        .iter()
        .map(|(name, worker)| Room { name, worker, tasks: tasks_that_fit(name, worker, options) })
        .filter(|room| room.tasks > 0)
        .collect();
    let adjacency = options.shape.adjacency();
    rooms.sort_by(|left, right| left.group(adjacency).cmp(&right.group(adjacency)));
    let groups = rooms.chunk_by(|left, right| left.group(adjacency) == right.group(adjacency));
    let ranked = groups.filter_map(|rooms| {
        let (score, seats) = fill(rooms, options, blocks.as_ref())?;
        Some((score, rooms[0].group(adjacency), seats))
    });
    let mut best: Option<(Score, Group<'_>, Taken<'_, '_>)> = None;
    let mut second: Option<(Score, Group<'_>)> = None;
    for candidate in ranked {
        let is_best =
            best.as_ref().is_none_or(|best| (&candidate.0, candidate.1) < (&best.0, best.1));
        if is_best {
            second = best.replace(candidate).map(|(score, group, _)| (score, group));
        } else if second.as_ref().is_none_or(|other| candidate.0 < other.0) {
            second = Some((candidate.0, candidate.1));
        }
    }
    let (score, group, taken) = best?;
    let whole = blocks.map_or(0, |blocks| blocks.count().saturating_sub(score.broken));
    Some(Outcome {
        seats: seats(&taken),
        group: group_name(group),
        runner_up: second.map(|(_, group)| group_name(group)).unwrap_or_default(),
        broken: score.broken,
        whole,
    })
}

/// Rooms taken, with how many tasks each.
type Taken<'r, 'a> = Vec<(&'r Room<'a>, u32)>;

/// Zone, rack and worker; the parts that don't count are empty.
type Group<'a> = (&'a str, &'a str, &'a str);

impl<'a> Room<'a> {
    fn group(&self, adjacency: Adjacency) -> Group<'a> {
        let (zone, rack) = (self.worker.zone.as_str(), self.worker.rack.as_str());
        match adjacency {
            Adjacency::Zone => (zone, "", ""),
            Adjacency::Rack => (zone, rack, ""),
            Adjacency::Worker => (zone, rack, self.name),
        }
    }
}

fn group_name((zone, rack, worker): Group<'_>) -> String {
    match (rack, worker) {
        ("", "") => zone.to_owned(),
        (rack, "") => format!("{zone}/{rack}"),
        (_, worker) => worker.to_owned(),
    }
}

fn seats(taken: &[(&Room<'_>, u32)]) -> Vec<Seat> {
    let seat = |(room, tasks): &(&Room<'_>, u32)| Seat { worker: room.name.clone(), tasks: *tasks };
    let mut seats: Vec<Seat> = taken.iter().map(seat).collect();
    seats.sort_by(|left, right| left.worker.cmp(&right.worker));
    seats
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

/// Seats the gang in one group, on few racks and few workers.
fn fill<'r, 'a>(
    rooms: &'r [Room<'a>],
    options: &Options<'_>,
    blocks: Option<&Blocks<'_>>,
) -> Option<(Score, Taken<'r, 'a>)> {
    let total: u64 = rooms.iter().map(|room| u64::from(room.tasks)).sum();
    if options.shape.tasks == 0 || total < u64::from(options.shape.tasks) {
        return None;
    }
    let taken = choose(rooms, options.shape.tasks);
    let mut score = Score { broken: 0, bound: 0, opened: 0, racks: 0, left: 0 };
    let mut used = Vec::with_capacity(taken.len());
    for (room, tasks) in &taken {
        let (worker, accelerators) = (room.worker, options.shape.accelerators * tasks);
        if !options.is_guaranteed {
            score.bound += accelerators.saturating_sub(worker.unbound_free());
        }
        let is_whole = worker.used.accelerators == 0;
        score.opened += u32::from(is_whole && accelerators < worker.capacity.accelerators);
        score.left += worker.free().accelerators.saturating_sub(accelerators);
        used.push((worker, accelerators));
    }
    let racks = taken.chunk_by(|left, right| left.0.worker.rack == right.0.worker.rack);
    score.racks = racks.count();
    score.broken = blocks.map_or(0, |blocks| blocks.broken(&used));
    Some((score, taken))
}

/// Takes whole racks, the largest first, until one more rack or worker holds what is missing;
/// of those that do, the tightest.
fn choose<'r, 'a>(rooms: &'r [Room<'a>], tasks: u32) -> Taken<'r, 'a> {
    let mut by_rack: Vec<&Room<'_>> = rooms.iter().collect();
    by_rack.sort_by(|left, right| left.worker.rack.cmp(&right.worker.rack));
    let racks = by_rack.chunk_by(|left, right| left.worker.rack == right.worker.rack);
    let sum = |rack: &[&Room<'_>]| -> u32 { rack.iter().map(|room| room.tasks).sum() };
    let mut racks: Vec<(u32, &[&'r Room<'a>])> = racks.map(|rack| (sum(rack), rack)).collect();
    racks.sort_by_key(|(sum, _)| *sum);
    let mut missing = tasks;
    let mut taken = Vec::new();
    while missing > 0 {
        let fitting = racks.partition_point(|(sum, _)| *sum < missing);
        let index = if fitting < racks.len() { fitting } else { racks.len() - 1 };
        let (_, rack) = racks.remove(index);
        missing -= choose_in_rack(rack, missing, &mut taken);
    }
    taken
}

fn choose_in_rack<'r, 'a>(rack: &[&'r Room<'a>], most: u32, taken: &mut Taken<'r, 'a>) -> u32 {
    let mut rooms = rack.to_vec();
    rooms.sort_by(|left, right| left.tasks.cmp(&right.tasks).then(left.name.cmp(right.name)));
    let mut missing = most;
    while missing > 0 && !rooms.is_empty() {
        let fitting = rooms.partition_point(|room| room.tasks < missing);
        let index = if fitting < rooms.len() { fitting } else { rooms.len() - 1 };
        let room = rooms.remove(index);
        let tasks = room.tasks.min(missing);
        missing -= tasks;
        taken.push((room, tasks));
    }
    most - missing
}
