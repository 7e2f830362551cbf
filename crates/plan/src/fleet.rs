//! The planner's view of the workers of one cell: their capacity, use and bound guarantees.

use std::collections::BTreeMap;

use sapphire_wire::{Shape, id, resource};

/// A worker and how its accelerators are used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Worker {
    /// Region that the worker is in.
    pub region: String,
    /// Availability zone that the worker is in.
    pub zone: String,
    /// Rack that the worker is in.
    pub rack: String,
    /// Total resources.
    pub capacity: resource::Amount,
    /// Whether it may be given work: it has been in contact recently and is not draining.
    pub is_open: bool,
    /// Number of accelerators bound to each organisation's guarantee.
    pub bound: BTreeMap<id::Organisation, u32>,
    /// Number of accelerators used by gangs that run on their organisation's guarantee.
    pub guaranteed: BTreeMap<id::Organisation, u32>,
    /// Resources used by all gangs.
    pub used: resource::Amount,
}

impl Worker {
    /// Resources that no gang uses.
    pub fn free(&self) -> resource::Amount {
        self.capacity.minus(&self.used)
    }

    /// Number of accelerators bound to an organisation's guarantee that its gangs don't use. Other
    /// organisations may be borrowing them.
    pub fn unused_guarantee(&self, organisation: &str) -> u32 {
        let bound = self.bound.get(organisation).copied().unwrap_or(0);
        bound.saturating_sub(self.guaranteed.get(organisation).copied().unwrap_or(0))
    }

    /// Number of free accelerators that no guarantee may reclaim.
    pub fn unbound_free(&self) -> u32 {
        let reclaimable = self.bound.keys().map(|organisation| self.unused_guarantee(organisation));
        self.free().accelerators.saturating_sub(reclaimable.sum())
    }
}

/// All workers of one cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Workers by name, including those that may not be given work.
    pub workers: BTreeMap<id::Worker, Worker>,
}

impl Fleet {
    /// Marks the resources of some tasks of a gang as used. `own` is set for a gang that runs on its
    /// organisation's guarantee.
    pub fn allocate(
        &mut self,
        worker: &str,
        organisation: &str,
        shape: &Shape,
        tasks: u32,
        is_guaranteed: bool,
    ) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        let amount = resource::Amount::of_tasks(shape, tasks);
        worker.used = worker.used.plus(&amount);
        if is_guaranteed {
            *worker.guaranteed.entry(organisation.to_owned()).or_default() += amount.accelerators;
        }
    }

    /// Marks the resources of some tasks of a gang as free, as if they had ended.
    pub fn release(&mut self, worker: &str, shape: &Shape, tasks: u32) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        worker.used = worker.used.minus(&resource::Amount::of_tasks(shape, tasks));
    }

    /// Whether a gang would fit if all workers were empty, not draining and free of guarantees.
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
