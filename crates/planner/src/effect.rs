//! What a planner wants done.

use sapphire_jobs::{Feed, Orders};
use sapphire_store::call::Call;

use crate::event::{Asker, Operation};

/// One effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an agent.
    Orders(Asker, Box<Orders>),
    /// Answer an entry.
    Feed(Asker, Box<Feed>),
    /// Answer that the question is out of date.
    Decline(Asker),
    /// Call the store.
    Store(Operation, Call),
    /// Tell these agents who plans.
    Announce(Vec<String>),
    /// Write a log line.
    Log(String),
    /// Another planner has taken over; this one is of no use any more.
    Deposed,
}
