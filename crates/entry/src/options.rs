//! Configuration of an entry.

use std::time::Duration;

use sapphire_wire::{Peer, id};

/// Settings of one entry; the caller has validated them.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, address and generation of this process.
    pub identity: Peer,
    /// Region in which it runs, and whose cell it may plan.
    pub region: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Other entries to contact at the start.
    pub peers: Vec<id::Address>,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Time without a message after which a process is suspected of having failed.
    pub silence_timeout: Duration,
    /// Duration of the lease of a running gang, and of the lease on the planner key in the store.
    pub lease: Duration,
    /// How long a reservation waits for the decision to start.
    pub hold_timeout: Duration,
    /// Deadline of a request for which the caller set none.
    pub request_timeout: Duration,
    /// Longest time that a graceful shutdown should take.
    pub shutdown_timeout: Duration,
    /// Maximum number of callers' requests in flight.
    pub max_requests: usize,
    /// Maximum number of jobs in the cell that have not ended.
    pub max_jobs: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}
