//! What the agent wants done.

use std::time::Duration;

use sapphire_jobs::Poll;

use crate::{event::Ticket, minion::Call};

/// One effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the minion.
    Minion {
        /// Names the call in its answer.
        ticket: Ticket,
        /// Where.
        address: String,
        /// Identifier of the life that is meant.
        life: String,
        /// The call.
        call: Call,
        /// Time for the answer.
        timeout: Duration,
    },
    /// Ask the planner for orders.
    Poll {
        /// Names the poll in its answer.
        ticket: Ticket,
        /// Where.
        address: String,
        /// The poll.
        poll: Box<Poll>,
    },
    /// Ask an entry who plans.
    AskLead {
        /// Where.
        address: String,
    },
    /// Write a log line.
    Log(String),
    /// End the process.
    Exit,
}
