//! Binds guaranteed shapes to workers, in advance.

use std::collections::BTreeMap;

use sapphire_rules::rule;
use sapphire_wire::{Adjacency, Binding, Shape, id};

use crate::{
    fleet::{Fleet, Worker},
    place,
};

/// What is to be bound.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    /// Guarantees with their lines in the rule file.
    pub guarantees: Vec<(usize, &'a rule::Guarantee)>,
    /// Workers; those not open are not bound to.
    pub fleet: &'a Fleet,
    /// Bindings in force, kept where possible.
    pub previous: &'a [Binding],
}

/// A guarantee that the workers at hand can't hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Short {
    /// Line in the rule file.
    pub line: usize,
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Its shape, in words.
    pub shape: String,
    /// Gangs that could not be bound.
    pub missing: u32,
}

/// Bindings, and what could not be bound.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// One a worker and organisation.
    pub bindings: Vec<Binding>,
    /// Guarantees that are not whole.
    pub short: Vec<Short>,
}

/// Binds each guarantee's gangs, the most demanding first, to the workers they had before where
/// those still fit.
pub fn bind(options: &Options<'_>) -> Outcome {
    let mut room = empty(options.fleet);
    let mut bound: BTreeMap<(id::Worker, id::Organisation), u32> = BTreeMap::new();
    let mut short = Vec::new();
    let mut guarantees = options.guarantees.clone();
    guarantees.sort_by_key(|(line, guarantee)| (demand(guarantee), *line));
    for (line, guarantee) in guarantees {
        let mut missing = 0;
        for _ in 0..guarantee.count {
            match bind_one(&room, guarantee, options.previous, &bound) {
                Some(seats) => take(&mut room, &mut bound, guarantee, &seats),
                None => missing += 1,
            }
        }
        if missing > 0 {
            let organisation = guarantee.organisation.clone();
            short.push(Short { line, organisation, shape: describe(guarantee), missing });
        }
    }
    let bindings = bound.into_iter().map(|((worker, organisation), accelerators)| Binding {
        organisation,
        worker,
        accelerators,
    });
    short.sort_by_key(|short| short.line);
    Outcome { bindings: bindings.collect(), short }
}

/// Sorts the most demanding first: closest adjacency, then largest gang.
fn demand(guarantee: &rule::Guarantee) -> (std::cmp::Reverse<i32>, std::cmp::Reverse<u32>) {
    let adjacency = guarantee.adjacency as i32;
    (std::cmp::Reverse(adjacency), std::cmp::Reverse(guarantee.accelerators * guarantee.tasks))
}

fn empty(fleet: &Fleet) -> Fleet {
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

/// A guarantee's shape in words.
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

fn bind_one(
    room: &Fleet,
    guarantee: &rule::Guarantee,
    previous: &[Binding],
    bound: &BTreeMap<(id::Worker, id::Organisation), u32>,
) -> Option<Vec<place::Seat>> {
    let shape = shape(guarantee);
    let options = place::Options::borrowing(&guarantee.organisation, &shape);
    let here = within(room, &guarantee.place, |_, _| true);
    let had = |name: &id::Worker| -> u32 {
        let own = previous.iter().filter(|binding| {
            binding.worker == *name && binding.organisation == guarantee.organisation
        });
        let before: u32 = own.map(|binding| binding.accelerators).sum();
        let key = (name.clone(), guarantee.organisation.clone());
        before.saturating_sub(bound.get(&key).copied().unwrap_or(0))
    };
    let kept = within(room, &guarantee.place, |name, _| had(name) >= shape.accelerators);
    let outcome = place::place(&kept, &options).or_else(|| place::place(&here, &options))?;
    Some(outcome.seats)
}

fn within(
    room: &Fleet,
    place: &rule::Place,
    is_wanted: impl Fn(&id::Worker, &Worker) -> bool,
) -> Fleet {
    let is_here = |worker: &Worker| match place {
        rule::Place::Region(region) => worker.region == *region,
        rule::Place::Zone(zone) => worker.zone == *zone,
    };
    let workers = room.workers.iter();
    let wanted = workers.filter(|(name, worker)| is_here(worker) && is_wanted(name, worker));
    Fleet { workers: wanted.map(|(name, worker)| (name.clone(), worker.clone())).collect() }
}

fn take(
    room: &mut Fleet,
    bound: &mut BTreeMap<(id::Worker, id::Organisation), u32>,
    guarantee: &rule::Guarantee,
    seats: &[place::Seat],
) {
    let shape = shape(guarantee);
    for seat in seats {
        room.take(&seat.worker, &guarantee.organisation, &shape, seat.tasks, false);
        let key = (seat.worker.clone(), guarantee.organisation.clone());
        *bound.entry(key).or_default() += guarantee.accelerators * seat.tasks;
    }
}
