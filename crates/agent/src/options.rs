//! Configuration of an agent.

use std::time::Duration;

use sapphire_wire::{Minion, Peer, Worker, id};

/// Settings of one agent; the caller has validated them.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, address and generation of this process.
    pub identity: Peer,
    /// Region in which it runs.
    pub region: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Worker that it manages, if any.
    pub worker: Option<Worker>,
    /// Minion that it manages, if any.
    pub minion: Option<Minion>,
    /// Entries to announce to at the start.
    pub entries: Vec<id::Address>,
    /// Interval of heartbeats to entries, of member heartbeats within gangs, and of reports to the
    /// planner.
    pub heartbeat: Duration,
    /// Time without a message after which a process is suspected of having failed.
    pub silence_timeout: Duration,
    /// Lease of a running gang: longest time for which it may run with some of its tasks lost.
    pub lease: Duration,
    /// How long ended attempts are remembered, so that delayed messages can't start them again.
    pub ended_retention: Duration,
}

impl Options {
    /// Lease that one renewal grants to a member, and silence after which its coordinator declares
    /// it lost.
    ///
    /// This is half of the gang's lease: the first half passes until a lost member is noticed, the
    /// second until the remaining tasks have stopped. A gang thus runs incomplete for at most one
    /// lease.
    pub fn member_lease(&self) -> Duration {
        self.lease / 2
    }
}
