//! The kinds of rule.

use std::time::Duration;

use sapphire_wire::{Adjacency, id};

/// One rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// An organisation exists.
    Organisation(Organisation),
    /// A shape that an organisation can always have.
    Guarantee(Guarantee),
    /// How much an organisation may borrow beyond its guarantees.
    Quota(Quota),
    /// How much an organisation may have waiting.
    Admission(Admission),
    /// How reclaim treats borrowers.
    Reclaim(Reclaim),
    /// What placement prefers.
    Balance(Balance),
    /// Part of the fleet that gets no new work.
    Drain(Drain),
    /// How often a job is tried.
    Retries(Retries),
}

/// An organisation exists.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: id::Organisation,
    /// Its share of what is not guaranteed, relative to the others' weights.
    pub weight: u32,
    /// Higher goes first among waiting jobs.
    pub priority: u32,
}

/// A shape that an organisation can always have.
#[derive(Clone, Debug, PartialEq)]
pub struct Guarantee {
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Accelerators of one task.
    pub accelerators: u32,
    /// Tasks of the gang.
    pub tasks: u32,
    /// How close the tasks are.
    pub adjacency: Adjacency,
    /// How many such gangs.
    pub count: u32,
    /// Where.
    pub place: Place,
}

/// Where a guarantee is held.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    /// In a region.
    Region(String),
    /// In an availability zone.
    Zone(String),
}

/// How much an organisation may borrow beyond its guarantees.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Accelerators of all its borrowing gangs together, in one region.
    pub accelerators: u32,
}

/// How much an organisation may have waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Jobs waiting in one region.
    pub queue: u32,
}

/// Which borrowers reclaim stops first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Those that ran for the shortest time.
    Youngest,
    /// Those with the fewest accelerators.
    Smallest,
}

/// How reclaim treats borrowers.
#[derive(Clone, Debug, PartialEq)]
pub struct Reclaim {
    /// Time for a checkpoint before a borrower is stopped.
    pub grace: Duration,
    /// Which borrowers go first.
    pub order: Order,
}

/// What placement prefers.
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    /// Weight of short completion times, in per cent.
    pub completion: u32,
    /// Weight of low fragmentation, in per cent.
    pub fragmentation: u32,
}

/// Part of the fleet that gets no new work.
#[derive(Clone, Debug, PartialEq)]
pub enum Drain {
    /// One worker.
    Worker(id::Worker),
    /// One rack.
    Rack(String),
    /// One availability zone.
    Zone(String),
}

/// How often a job is tried.
#[derive(Clone, Debug, PartialEq)]
pub struct Retries {
    /// Whose jobs.
    pub organisation: id::Organisation,
    /// Attempts of one job, the first included.
    pub attempts: u32,
}
