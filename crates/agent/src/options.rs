//! What an agent is told at its start.

use std::time::Duration;

use sapphire_wire::{Minion, Peer, Worker, id};

/// Settings of one agent, checked by the caller.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process, with the generation of this start.
    pub me: Peer,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Worker it guards, if any.
    pub worker: Option<Worker>,
    /// Minion it guards, if any.
    pub minion: Option<Minion>,
    /// Entries to announce to at the start.
    pub entries: Vec<id::Address>,
    /// Interval of heartbeats, beats and reports.
    pub heartbeat: Duration,
    /// Silence after which a process is suspected.
    pub silence: Duration,
    /// Lease of a running gang.
    pub lease: Duration,
    /// How long ended attempts are remembered, so that late messages can't start them.
    pub memory: Duration,
}

impl Options {
    /// Time for which one renewal counts, and silence after which a member is taken as lost.
    ///
    /// Half the lease: the first half passes until a lost member is noticed, the second until
    /// what remains has stopped, so that a gang runs in part for one lease at most.
    pub fn term(&self) -> Duration {
        self.lease / 2
    }
}
