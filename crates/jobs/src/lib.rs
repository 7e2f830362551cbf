//! Jobs of steps and tasks, what they take, and the configuration of their queues. No I/O.

pub mod catalog;
pub mod length;
pub mod room;
pub mod task;

pub use sapphire_schema::jobs::{
    Backlog, Ended, Ending, Feed, FeedPoll, Fleet, Incarnation, Job, Lead, Member, Notice, Orders,
    Poll, Progress, Rejection, Relay, Relayed, Row, Run, Running, Schedule, Start, State, Step,
    Supply, Tally, Unanswered, UnansweredOn, UnansweredStarts, UnansweredTask, Verdict,
};

/// Ends that a minion lists at a time. Of a run that is missing from a list with as many, the end
/// may be among the others.
pub const LISTED_ENDS: usize = 500;
