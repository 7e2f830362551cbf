//! What the agent is told.

use sapphire_jobs::{Lead, Orders};

use crate::minion::{Beat, Reply};

/// Number of a call under way, given by the agent.
pub type Ticket = u64;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The minion speaks of itself.
    Beat(Box<Beat>),
    /// The minion with this identifier says that it ends.
    Leaves(String),
    /// The minion has answered.
    Minion(Ticket, Reply),
    /// The planner has answered a poll.
    Orders(Ticket, Box<Orders>),
    /// A poll has no answer, or one that says that nobody plans there.
    NoOrders {
        /// Which poll.
        ticket: Ticket,
        /// It was answered: the process there does not plan.
        is_declined: bool,
    },
    /// Somebody says who plans.
    Lead(Lead),
    /// The process is asked to end.
    Terminate,
    /// Time has passed.
    Tick,
}
