//! What an entry is told at its start.

use std::time::Duration;

use sapphire_wire::{Peer, id};

/// Settings of one entry, checked by the caller.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process, with the generation of this start.
    pub me: Peer,
    /// Region it runs in; the cell it may plan.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Other entries to speak to at the start.
    pub peers: Vec<id::Address>,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a process is suspected.
    pub silence: Duration,
    /// Lease of a running gang, and of the planner at the store.
    pub lease: Duration,
    /// How long a hold waits for the decision.
    pub hold: Duration,
    /// Deadline of a request whose caller set none.
    pub request: Duration,
    /// Longest graceful shutdown.
    pub shutdown: Duration,
    /// Callers' requests in flight.
    pub max_requests: usize,
    /// Jobs kept in the cell, ended ones included.
    pub max_jobs: usize,
    /// Seed of the random generator.
    pub seed: u64,
}
