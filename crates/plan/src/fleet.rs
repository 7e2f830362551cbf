//! Workers of one cell as its planner sees them.

use std::collections::BTreeMap;

use sapphire_wire::{Shape, id, resource};

/// One worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Worker {
    /// Region it stands in.
    pub region: String,
    /// Availability zone it stands in.
    pub zone: String,
    /// Rack it stands in.
    pub rack: String,
    /// All it has.
    pub capacity: resource::Amount,
    /// It may be given work: heard of lately, and not draining.
    pub is_open: bool,
    /// Accelerators bound to organisations' guarantees.
    pub bound: BTreeMap<id::Organisation, u32>,
    /// What gangs take, by organisation, that run on their guarantee.
    pub guaranteed: BTreeMap<id::Organisation, u32>,
    /// What all gangs take.
    pub used: resource::Amount,
}

impl Worker {
    /// What no gang takes.
    pub fn free(&self) -> resource::Amount {
        self.capacity.minus(&self.used)
    }

    /// Accelerators of an organisation's guarantee that its own gangs don't use.
    pub fn unused_guarantee(&self, organisation: &str) -> u32 {
        let bound = self.bound.get(organisation).copied().unwrap_or(0);
        bound.saturating_sub(self.guaranteed.get(organisation).copied().unwrap_or(0))
    }

    /// Free accelerators that no guarantee may claim back.
    pub fn unbound_free(&self) -> u32 {
        let claims = self.bound.keys().map(|organisation| self.unused_guarantee(organisation));
        self.free().accelerators.saturating_sub(claims.sum())
    }
}

/// Workers of one cell, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// All workers, open or not.
    pub workers: BTreeMap<id::Worker, Worker>,
}

impl Fleet {
    /// Takes room for some tasks of a gang.
    pub fn take(&mut self, worker: &str, organisation: &str, shape: &Shape, tasks: u32, own: bool) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        let amount = resource::Amount::of_tasks(shape, tasks);
        worker.used = worker.used.plus(&amount);
        if own {
            *worker.guaranteed.entry(organisation.to_owned()).or_default() += amount.accelerators;
        }
    }

    /// Gives back room of some tasks of a gang, as if it had ended.
    pub fn give(&mut self, worker: &str, shape: &Shape, tasks: u32) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        worker.used = worker.used.minus(&resource::Amount::of_tasks(shape, tasks));
    }

    /// Whether a gang could run if nothing else did.
    pub fn could_hold(&self, shape: &Shape) -> bool {
        let mut empty = self.clone();
        for worker in empty.workers.values_mut() {
            worker.used = resource::Amount::default();
            worker.guaranteed.clear();
            worker.bound.clear();
            worker.is_open = true;
        }
        crate::place::place(&empty, &crate::place::Options::borrowing("", shape)).is_some()
    }
}
