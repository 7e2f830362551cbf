//! What a planner is told.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::{FeedPoll, Job, Notice, Poll, catalog::Catalog, task::JobId};
use sapphire_store::call::Reply;

/// A process that waits for an answer; numbers are given by the I/O.
pub type Asker = u64;

/// The time, on two clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Steady time since the machine's start, suspensions included.
    pub steady: Duration,
    /// Time since the Unix epoch; may differ between machines.
    pub unix: Duration,
}

/// Which call to the store an answer is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Reading everything at the start.
    Scan,
    /// Writing the fleet.
    Fleet,
    /// Writing the starts that may still be carried out.
    Unanswered,
    /// Writing progress: the jobs with the number of the change that is written.
    Progress(Vec<(JobId, u64)>),
    /// Removing what is kept of ended jobs.
    Forget(Vec<JobId>),
    /// Asking for jobs that no entry has told of.
    Intake,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent reports and asks for orders.
    Poll(Asker, Box<Poll>),
    /// An entry asks for news.
    Feed(Asker, FeedPoll),
    /// An entry tells of what it has written.
    Notice(Notice),
    /// An asker has left.
    Left(Asker),
    /// The store has answered.
    Store(Operation, Reply),
    /// The configuration in force.
    Catalog(Arc<Catalog>),
    /// A configuration was the newest at this steady time.
    Fresh {
        /// Its revision.
        revision: u64,
        /// When.
        at: Duration,
    },
    /// Time has passed.
    Tick,
}

/// A job as its record says.
pub type Record = Arc<Job>;
