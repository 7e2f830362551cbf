//! Placement of a complete gang on workers, within the adjacency that its shape asks for.
//!
//! A block is the free accelerators of one rack that could hold one gang of a given large shape.
//! Placement avoids breaking blocks, so that the next large gang finds one.

use std::collections::BTreeMap;

use sapphire_wire::{Adjacency, Shape, id, resource};

use crate::fleet::{Fleet, Worker};

/// Input of [`place`].
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Organisation that the gang belongs to.
    pub organisation: &'a str,
    /// Shape of the gang.
    pub shape: &'a Shape,
    /// Whether the gang uses its organisation's guarantee, which reclaims what others borrow of it.
    pub is_guaranteed: bool,
    /// Workers that must not be used.
    pub avoid: &'a [id::Worker],
    /// Shape of the blocks to protect: the largest guaranteed shape.
    pub block_shape: Option<&'a Shape>,
}

impl<'a> Options<'a> {
    /// Options for a gang that uses only free accelerators.
    pub fn borrowing(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: false, avoid: &[], block_shape: None }
    }

    /// Options for a gang that runs on its organisation's guarantee.
    pub fn guaranteed(organisation: &'a str, shape: &'a Shape) -> Self {
        Options { organisation, shape, is_guaranteed: true, avoid: &[], block_shape: None }
    }
}

/// Tasks of the gang on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the worker.
    pub worker: id::Worker,
    /// Number of tasks.
    pub tasks: u32,
}

/// Result of a placement, with figures for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// One entry for each worker; together they hold the complete gang.
    pub assignments: Vec<Assignment>,
    /// Name of the chosen group of workers: a worker, rack or zone.
    pub group: String,
    /// Name of the second-best group; empty if there was none.
    pub runner_up: String,
    /// Number of blocks that the placement breaks.
    pub broken: u32,
    /// Number of blocks that stay intact.
    pub intact: u32,
}

/// A worker that can hold some tasks of the gang.
struct Candidate<'a> {
    name: &'a id::Worker,
    worker: &'a Worker,
    tasks: u32,
}

/// Places the complete gang, or nothing.
///
/// The adjacency decides which workers form a group: a worker, rack or zone. The group with the best
/// fit is chosen: fewest blocks broken, then least use of accelerators that are bound to guarantees,
/// then fewest idle workers used in part, fewest racks, and fewest accelerators left free.
pub fn place(fleet: &Fleet, options: &Options<'_>) -> Option<Outcome> {
    let blocks = options.block_shape.map(|shape| Blocks::new(fleet, shape));
    let mut candidates: Vec<Candidate<'_>> = fleet
        .workers
        .iter()
        .map(|(name, worker)| Candidate {
            name,
            worker,
            tasks: tasks_that_fit(name, worker, options),
        })
        .filter(|candidate| candidate.tasks > 0)
        .collect();
    let adjacency = options.shape.adjacency();
    candidates.sort_by(|left, right| left.group(adjacency).cmp(&right.group(adjacency)));
    let groups = candidates.chunk_by(|left, right| left.group(adjacency) == right.group(adjacency));
    let ranked = groups.filter_map(|candidates| {
        let (score, assignments) = fill_group(candidates, options, blocks.as_ref())?;
        Some((score, candidates[0].group(adjacency), assignments))
    });
    let mut best: Option<(Score, Group<'_>, Selection<'_, '_>)> = None;
    let mut second: Option<(Score, Group<'_>)> = None;
    for scored in ranked {
        let is_better = best.as_ref().is_none_or(|best| (&scored.0, scored.1) < (&best.0, best.1));
        if is_better {
            second = best.replace(scored).map(|(score, group, _)| (score, group));
        } else if second.as_ref().is_none_or(|other| scored.0 < other.0) {
            second = Some((scored.0, scored.1));
        }
    }
    let (score, group, selected) = best?;
    let intact = blocks.map_or(0, |blocks| blocks.count().saturating_sub(score.broken));
    Some(Outcome {
        assignments: assignments(&selected),
        group: group_name(group),
        runner_up: second.map(|(_, group)| group_name(group)).unwrap_or_default(),
        broken: score.broken,
        intact,
    })
}

/// Workers selected, each with the number of tasks.
type Selection<'r, 'a> = Vec<(&'r Candidate<'a>, u32)>;

/// Zone, rack and worker that identify a group. The parts that the adjacency ignores are empty.
type Group<'a> = (&'a str, &'a str, &'a str);

impl<'a> Candidate<'a> {
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

fn assignments(selected: &[(&Candidate<'_>, u32)]) -> Vec<Assignment> {
    let assignment = |(candidate, tasks): &(&Candidate<'_>, u32)| Assignment {
        worker: candidate.name.clone(),
        tasks: *tasks,
    };
    let mut assignments: Vec<Assignment> = selected.iter().map(assignment).collect();
    assignments.sort_by(|left, right| left.worker.cmp(&right.worker));
    assignments
}

/// Number of tasks of the gang that a worker can hold.
fn tasks_that_fit(name: &id::Worker, worker: &Worker, options: &Options<'_>) -> u32 {
    let shape = options.shape;
    if !worker.is_open || shape.accelerators == 0 || options.avoid.contains(name) {
        return 0;
    }
    if options.is_guaranteed {
        let share = limit_by_share(worker, shape);
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

/// Number of guaranteed tasks that a worker may hold by processors and memory: unlimited if one task
/// needs no more of them than the share of its accelerators in the worker, and otherwise zero, since
/// the agent would refuse the task.
fn limit_by_share(worker: &Worker, shape: &Shape) -> u32 {
    let task = resource::Amount::of_tasks(shape, 1);
    let all = u64::from(worker.capacity.accelerators);
    let own = u64::from(task.accelerators);
    let processors =
        u64::from(task.processors) * all <= u64::from(worker.capacity.processors) * own;
    let memory = u128::from(task.memory_bytes) * u128::from(all)
        <= u128::from(worker.capacity.memory_bytes) * u128::from(own);
    if processors && memory { u32::MAX } else { 0 }
}

/// The free blocks of each rack.
struct Blocks<'a> {
    shape: &'a Shape,
    /// Number of tasks of the shape that fit into each rack, by zone and rack.
    tasks: BTreeMap<(&'a str, &'a str), u32>,
}

impl<'a> Blocks<'a> {
    fn new(fleet: &'a Fleet, shape: &'a Shape) -> Self {
        let mut tasks = BTreeMap::new();
        for worker in fleet.workers.values().filter(|worker| worker.is_open) {
            let rack = (worker.zone.as_str(), worker.rack.as_str());
            *tasks.entry(rack).or_default() += tasks_free(worker, 0, shape);
        }
        Blocks { shape, tasks }
    }

    /// Number of free blocks in all racks.
    fn count(&self) -> u32 {
        self.tasks.values().map(|tasks| tasks / self.shape.tasks.max(1)).sum()
    }

    /// Number of blocks that are broken if the given numbers of accelerators are taken on workers.
    fn broken(&self, assignments: &[(&Worker, u32)]) -> u32 {
        let mut lost: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for (worker, accelerators) in assignments {
            let before = tasks_free(worker, 0, self.shape);
            let after = tasks_free(worker, *accelerators, self.shape);
            let rack = (worker.zone.as_str(), worker.rack.as_str());
            *lost.entry(rack).or_default() += before - after;
        }
        let gangs = |tasks: u32| tasks / self.shape.tasks.max(1);
        lost.iter()
            .map(|(rack, lost)| {
                let before = self.tasks.get(rack).copied().unwrap_or(0);
                gangs(before) - gangs(before.saturating_sub(*lost))
            })
            .sum()
    }
}

/// Number of tasks of a shape that fit into a worker's free accelerators once some more are taken.
fn tasks_free(worker: &Worker, taken: u32, shape: &Shape) -> u32 {
    worker.free().accelerators.saturating_sub(taken) / shape.accelerators.max(1)
}

/// Quality of a placement; lower is better. The fields are compared in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Number of blocks broken.
    broken: u32,
    /// Number of accelerators used that are bound to a guarantee.
    bound: u32,
    /// Number of idle workers that are used only in part.
    opened: u32,
    /// Number of racks used.
    racks: usize,
    /// Number of accelerators that stay free on the workers used.
    left_free: u32,
}

/// Places the gang in one group of workers, on few racks and few workers.
fn fill_group<'r, 'a>(
    candidates: &'r [Candidate<'a>],
    options: &Options<'_>,
    blocks: Option<&Blocks<'_>>,
) -> Option<(Score, Selection<'r, 'a>)> {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.tasks)).sum();
    if options.shape.tasks == 0 || total < u64::from(options.shape.tasks) {
        return None;
    }
    let selected = select_workers(candidates, options.shape.tasks);
    let mut score = Score { broken: 0, bound: 0, opened: 0, racks: 0, left_free: 0 };
    let mut used = Vec::with_capacity(selected.len());
    for (candidate, tasks) in &selected {
        let (worker, accelerators) = (candidate.worker, options.shape.accelerators * tasks);
        if !options.is_guaranteed {
            score.bound += accelerators.saturating_sub(worker.unbound_free());
        }
        let is_idle = worker.used.accelerators == 0;
        score.opened += u32::from(is_idle && accelerators < worker.capacity.accelerators);
        score.left_free += worker.free().accelerators.saturating_sub(accelerators);
        used.push((worker, accelerators));
    }
    let racks = selected.chunk_by(|left, right| left.0.worker.rack == right.0.worker.rack);
    score.racks = racks.count();
    score.broken = blocks.map_or(0, |blocks| blocks.broken(&used));
    Some((score, selected))
}

/// Selects workers for a number of tasks, rack by rack. Of the racks that can hold all tasks that are
/// left, the smallest is used; if there is none, the rack that can hold the most tasks.
fn select_workers<'r, 'a>(candidates: &'r [Candidate<'a>], tasks: u32) -> Selection<'r, 'a> {
    let mut by_rack: Vec<&Candidate<'_>> = candidates.iter().collect();
    by_rack.sort_by(|left, right| left.worker.rack.cmp(&right.worker.rack));
    let racks = by_rack.chunk_by(|left, right| left.worker.rack == right.worker.rack);
    let sum =
        |rack: &[&Candidate<'_>]| -> u32 { rack.iter().map(|candidate| candidate.tasks).sum() };
    let mut racks: Vec<(u32, &[&'r Candidate<'a>])> = racks.map(|rack| (sum(rack), rack)).collect();
    racks.sort_by_key(|(sum, _)| *sum);
    let mut missing = tasks;
    let mut selected = Vec::new();
    while missing > 0 {
        let fitting = racks.partition_point(|(sum, _)| *sum < missing);
        let index = if fitting < racks.len() { fitting } else { racks.len() - 1 };
        let (_, rack) = racks.remove(index);
        missing -= select_in_rack(rack, missing, &mut selected);
    }
    selected
}

/// Selects workers of one rack for at most `most` tasks, by the same rule as for racks. Returns the
/// number of tasks placed.
fn select_in_rack<'r, 'a>(
    rack: &[&'r Candidate<'a>],
    most: u32,
    selected: &mut Selection<'r, 'a>,
) -> u32 {
    let mut candidates = rack.to_vec();
    candidates.sort_by(|left, right| left.tasks.cmp(&right.tasks).then(left.name.cmp(right.name)));
    let mut missing = most;
    while missing > 0 && !candidates.is_empty() {
        let fitting = candidates.partition_point(|candidate| candidate.tasks < missing);
        let index = if fitting < candidates.len() { fitting } else { candidates.len() - 1 };
        let candidate = candidates.remove(index);
        let tasks = candidate.tasks.min(missing);
        missing -= tasks;
        selected.push((candidate, tasks));
    }
    most - missing
}
