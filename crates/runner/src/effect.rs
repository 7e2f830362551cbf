//! Effects that the agent asks its process to carry out.

use std::time::Duration;

use sapphire_jobs::Poll;

use crate::{event::Ticket, minion::Call};

/// An effect to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the minion.
    CallMinion {
        /// Identifies the call in the event with its outcome.
        ticket: Ticket,
        /// Address of the minion, ip:port.
        address: String,
        /// Identifier that the minion must have to answer; empty if any minion may.
        minion_id: String,
        /// The call.
        call: Call,
        /// Time after which the call counts as unanswered.
        timeout: Duration,
    },
    /// Poll the planner for orders.
    Poll {
        /// Identifies the poll in the event with its outcome.
        ticket: Ticket,
        /// Address of the leader, ip:port.
        address: String,
        /// The poll.
        poll: Box<Poll>,
    },
    /// Ask an entry which entry is the leader.
    QueryLeader {
        /// Address of the entry to ask, ip:port.
        address: String,
    },
    /// Write a log line.
    Log(String),
    /// End the process.
    Exit,
}
