//! Effects: the actions that an entry's state machine leaves to the program around it.

use std::sync::Arc;

use sapphire_jobs::{FeedPoll, Notice, catalog::Catalog};
use sapphire_store::call::Call;

use crate::{
    answer::Answer,
    event::{Caller, Operation},
};

/// One effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Answer(Caller, Answer),
    /// Send a call to the store.
    Store(Operation, Call),
    /// Poll the leader's feed for changes.
    Feed {
        /// Address of the leader.
        address: String,
        /// Poll to send.
        poll: FeedPoll,
    },
    /// Notify the leader of jobs and cancellations that this entry has written.
    Notice {
        /// Address of the leader.
        address: String,
        /// Notice to send.
        notice: Box<Notice>,
    },
    /// Ask another entry who the leader is.
    QueryLeader {
        /// Address of that entry.
        address: String,
    },
    /// Use this configuration from now on.
    Catalog(Arc<Catalog>),
    /// The active configuration was verified to be the newest.
    CatalogVerified {
        /// Revision of the configuration.
        revision: u64,
        /// Time at which no newer configuration existed.
        at: std::time::Duration,
    },
    /// Start the planner, with this term.
    Plan(u64),
    /// Stop the planner.
    Resign,
    /// Write a log line.
    Log(String),
}
