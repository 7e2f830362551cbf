//! Binding of guarantees to workers, ahead of the jobs that use them.

use std::collections::BTreeMap;

use sapphire_rules::rule;
use sapphire_wire::{Adjacency, Binding, Shape, id};

use crate::{
    fleet::{Fleet, Worker},
    place,
};

/// Input of [`bind`].
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Guarantees, each with its line number in the rule file.
    pub guarantees: Vec<(usize, &'a rule::Guarantee)>,
    /// Workers. Guarantees are not bound to those that may not be given work.
    pub fleet: &'a Fleet,
    /// Bindings in force, which are kept where possible.
    pub previous: &'a [Binding],
}

/// A guarantee for which there are not enough workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Line number of the guarantee in the rule file.
    pub line: usize,
    /// Organisation that the guarantee belongs to.
    pub organisation: id::Organisation,
    /// Description of its shape, for operators.
    pub shape: String,
    /// Number of gangs that could not be bound.
    pub missing: u32,
}

/// Result of [`bind`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Bindings, one for each pair of worker and organisation.
    pub bindings: Vec<Binding>,
    /// Guarantees that could not be bound completely.
    pub shortfalls: Vec<Shortfall>,
}

/// Binds the gangs of all guarantees to workers, the most demanding guarantees first. A gang keeps
/// the workers of its previous binding where these still fit.
pub fn bind(options: &Options<'_>) -> Outcome {
    let mut unbound = empty_fleet(options.fleet);
    let mut bound: BTreeMap<(id::Worker, id::Organisation), u32> = BTreeMap::new();
    let mut shortfalls = Vec::new();
    let mut guarantees = options.guarantees.clone();
    guarantees.sort_by_key(|(line, guarantee)| (demand_order(guarantee), *line));
    for (line, guarantee) in guarantees {
        let mut missing = 0;
        for _ in 0..guarantee.count {
            match bind_one(&unbound, guarantee, options.previous, &bound) {
                Some(assignments) => record(&mut unbound, &mut bound, guarantee, &assignments),
                None => missing += 1,
            }
        }
        if missing > 0 {
            let organisation = guarantee.organisation.clone();
            shortfalls.push(Shortfall { line, organisation, shape: describe(guarantee), missing });
        }
    }
    let bindings = bound.into_iter().map(|((worker, organisation), accelerators)| Binding {
        organisation,
        worker,
        accelerators,
    });
    shortfalls.sort_by_key(|shortfall| shortfall.line);
    Outcome { bindings: bindings.collect(), shortfalls }
}

/// Sort key by which the most demanding guarantees come first: those with the closest adjacency,
/// then those with the largest gang.
fn demand_order(guarantee: &rule::Guarantee) -> (std::cmp::Reverse<i32>, std::cmp::Reverse<u32>) {
    let adjacency = guarantee.adjacency as i32;
    (std::cmp::Reverse(adjacency), std::cmp::Reverse(guarantee.accelerators * guarantee.tasks))
}

/// The workers that may be given work, as if no gang and no guarantee used them.
fn empty_fleet(fleet: &Fleet) -> Fleet {
    let open = fleet.workers.iter().filter(|(_, worker)| worker.is_open);
    let workers = open.map(|(name, worker)| {
        let worker = Worker { used: Default::default(), ..worker.clone() };
        (name.clone(), Worker { bound: BTreeMap::new(), guaranteed: BTreeMap::new(), ..worker })
    });
    Fleet { workers: workers.collect() }
}

/// The shape of one gang of a guarantee.
pub fn shape(guarantee: &rule::Guarantee) -> Shape {
    Shape {
        accelerators: guarantee.accelerators,
        tasks: guarantee.tasks,
        adjacency: guarantee.adjacency as i32,
        ..Shape::default()
    }
}

/// Describes the shape of a guarantee for operators.
pub fn describe(guarantee: &rule::Guarantee) -> String {
    let adjacency = match guarantee.adjacency {
        Adjacency::Worker => "one worker",
        Adjacency::Rack => "one rack",
        Adjacency::Zone => "one zone",
    };
    let place = match &guarantee.place {
        rule::Place::Region(region) => format!("region {region}"),
        rule::Place::Zone(zone) => format!("zone {zone}"),
    };
    let (tasks, accelerators) = (guarantee.tasks, guarantee.accelerators);
    format!("{tasks} x {accelerators} accelerators in {adjacency} of {place}")
}

/// Finds workers for one gang of a guarantee, first among those of its previous binding.
fn bind_one(
    unbound: &Fleet,
    guarantee: &rule::Guarantee,
    previous: &[Binding],
    bound: &BTreeMap<(id::Worker, id::Organisation), u32>,
) -> Option<Vec<place::Assignment>> {
    let shape = shape(guarantee);
    let options = place::Options::borrowing(&guarantee.organisation, &shape);
    let here = within(unbound, &guarantee.place, |_, _| true);
    // Accelerators of the previous binding on a worker that are not bound again yet.
    let reusable = |name: &id::Worker| -> u32 {
        let own = previous.iter().filter(|binding| {
            binding.worker == *name && binding.organisation == guarantee.organisation
        });
        let before: u32 = own.map(|binding| binding.accelerators).sum();
        let key = (name.clone(), guarantee.organisation.clone());
        before.saturating_sub(bound.get(&key).copied().unwrap_or(0))
    };
    let previous_workers =
        within(unbound, &guarantee.place, |name, _| reusable(name) >= shape.accelerators);
    let outcome =
        place::place(&previous_workers, &options).or_else(|| place::place(&here, &options))?;
    Some(outcome.assignments)
}

/// The workers at a place of the rule file that meet a condition.
fn within(
    fleet: &Fleet,
    place: &rule::Place,
    is_wanted: impl Fn(&id::Worker, &Worker) -> bool,
) -> Fleet {
    let is_here = |worker: &Worker| match place {
        rule::Place::Region(region) => worker.region == *region,
        rule::Place::Zone(zone) => worker.zone == *zone,
    };
    let workers = fleet.workers.iter();
    let wanted = workers.filter(|(name, worker)| is_here(worker) && is_wanted(name, worker));
    Fleet { workers: wanted.map(|(name, worker)| (name.clone(), worker.clone())).collect() }
}

/// Records the binding of one gang, so that the next gang does not get the same resources.
fn record(
    unbound: &mut Fleet,
    bound: &mut BTreeMap<(id::Worker, id::Organisation), u32>,
    guarantee: &rule::Guarantee,
    assignments: &[place::Assignment],
) {
    let shape = shape(guarantee);
    for assignment in assignments {
        unbound.allocate(
            &assignment.worker,
            &guarantee.organisation,
            &shape,
            assignment.tasks,
            false,
        );
        let key = (assignment.worker.clone(), guarantee.organisation.clone());
        *bound.entry(key).or_default() += guarantee.accelerators * assignment.tasks;
    }
}
