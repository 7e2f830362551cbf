//! Events that the agent handles.

use sapphire_jobs::{Lead, Orders};

use crate::minion::{Heartbeat, Reply};

/// Number that the agent gives to a call, which the event with its outcome repeats.
pub type Ticket = u64;

/// An event for the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A heartbeat of the minion has arrived.
    Heartbeat(Box<Heartbeat>),
    /// The minion with this identifier has deregistered, since it is shutting down.
    Deregistered(String),
    /// A call to the minion has been answered or has failed.
    MinionReply(Ticket, Reply),
    /// The planner has answered a poll.
    Orders(Ticket, Box<Orders>),
    /// A poll got no answer, or was declined.
    PollFailed {
        /// Ticket of the poll.
        ticket: Ticket,
        /// Whether an answer came that says that the process there is not the planner.
        is_declined: bool,
    },
    /// An entry has said which entry is the leader.
    Leader(Lead),
    /// The planner has announced itself: it is new, or has heard nothing for a while.
    Announced(Lead),
    /// The process was asked to terminate.
    Terminate,
    /// Time has passed.
    Tick,
}
