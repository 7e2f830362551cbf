//! What an entry wants done.

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
    /// Call the store.
    Store(Operation, Call),
    /// Ask the planner for news.
    Feed {
        /// Where.
        address: String,
        /// The poll.
        poll: FeedPoll,
    },
    /// Tell the planner what has been written.
    Notice {
        /// Where.
        address: String,
        /// What.
        notice: Box<Notice>,
    },
    /// Ask a process who plans.
    AskLead {
        /// Where.
        address: String,
    },
    /// A configuration is in force.
    Catalog(Arc<Catalog>),
    /// The configuration in force was proven the newest.
    Fresh {
        /// Its revision.
        revision: u64,
        /// When.
        at: std::time::Duration,
    },
    /// Begin to plan, with this term.
    Plan(u64),
    /// Plan no more.
    Resign,
    /// Write a log line.
    Log(String),
}
