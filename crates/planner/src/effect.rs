//! Effects that a planner asks its host process to carry out.

use sapphire_jobs::{Feed, Orders};
use sapphire_store::call::Call;

use crate::event::{Operation, Requester};

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an agent's poll with orders.
    Orders(Requester, Box<Orders>),
    /// Answer an entry's poll with a feed.
    Feed(Requester, Box<Feed>),
    /// Decline a poll that a later one of the same process has replaced.
    Decline(Requester),
    /// Call the store.
    Store(Operation, Call),
    /// Read the page of the platform's inventory of VMs that has this token, or the first one if it is
    /// empty.
    Inventory(String),
    /// Announce to the agents at these addresses that this entry plans. Those that follow it
    /// already poll again if their latest poll must have got lost.
    Announce(Vec<String>),
    /// Write a log line.
    Log(String),
    /// Drop this planner: another one has taken over.
    Deposed,
}
