//! Kinds of rules.

use std::time::Duration;

use sapphire_wire::{Adjacency, id};

/// Rule of one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// Declares an organisation.
    Organisation(Organisation),
    /// Guarantees resources to an organisation.
    Guarantee(Guarantee),
    /// Limits what an organisation may borrow beyond its guarantees.
    Quota(Quota),
    /// Limits the waiting jobs of an organisation.
    Admission(Admission),
    /// Sets how reclaim stops borrowers.
    Reclaim(Reclaim),
    /// Weighs the goals of placement.
    Balance(Balance),
    /// Drains a part of the fleet.
    Drain(Drain),
    /// Limits the attempts of each job of an organisation.
    Retries(Retries),
}

/// Declaration of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: id::Organisation,
    /// Share of the resources that are not guaranteed, relative to the weights of the others.
    pub weight: u32,
    /// Priority of its waiting jobs; jobs of a higher priority are placed first.
    pub priority: u32,
}

/// Resources that an organisation can have at any time: a number of gangs of a given shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Guarantee {
    /// Organisation that the rule is for.
    pub organisation: id::Organisation,
    /// Accelerators of one task.
    pub accelerators: u32,
    /// Number of tasks of one gang.
    pub tasks: u32,
    /// How close to each other the tasks of one gang are placed.
    pub adjacency: Adjacency,
    /// Number of such gangs.
    pub count: u32,
    /// Region or zone that provides the resources.
    pub place: Place,
}

/// Place of the resources of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    /// In a region.
    Region(String),
    /// In an availability zone.
    Zone(String),
}

/// Limit of what an organisation may borrow beyond its guarantees.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Organisation that the rule is for.
    pub organisation: id::Organisation,
    /// Largest number of accelerators that all borrowing gangs of the organisation have together in
    /// one region.
    pub accelerators: u32,
}

/// Limit of the waiting jobs of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Organisation that the rule is for.
    pub organisation: id::Organisation,
    /// Largest number of jobs waiting in one region.
    pub queue: u32,
}

/// Order in which reclaim stops borrowers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First those that have run for the shortest time.
    Youngest,
    /// First those with the fewest accelerators.
    Smallest,
}

/// How reclaim stops gangs that run on borrowed resources.
#[derive(Clone, Debug, PartialEq)]
pub struct Reclaim {
    /// Time that a borrower has for a checkpoint before it is stopped.
    pub grace: Duration,
    /// Order in which borrowers are stopped.
    pub order: Order,
}

/// Weights of the goals of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    /// Weight of short completion times, in percent.
    pub completion: u32,
    /// Weight of low fragmentation, in percent.
    pub fragmentation: u32,
}

/// Part of the fleet that is drained: it gets no new work.
#[derive(Clone, Debug, PartialEq)]
pub enum Drain {
    /// One worker.
    Worker(id::Worker),
    /// One rack.
    Rack(String),
    /// One availability zone.
    Zone(String),
}

/// Limit of the attempts of each job of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Retries {
    /// Organisation whose jobs are meant.
    pub organisation: id::Organisation,
    /// Largest number of attempts of one job, including the first.
    pub attempts: u32,
}
