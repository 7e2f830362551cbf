//! The data model of jobs, steps and tasks: their identifiers, the resources that they need, and
//! the configuration of queues, services and organisations. This crate does no I/O.

pub mod catalog;
pub mod cordon;
pub mod footprint;
pub mod inventory;
pub mod length;
pub mod limits;
pub mod remote_clock;
pub mod resources;
pub mod task;

pub use sapphire_schema::jobs::{
    Absence, AbsenceCause, Backlog, Ended, Ending, Expiry, Feed, FeedPoll, Fleet, GoneMinion,
    Incarnation, Job, JobMemory, LateCall, Lead, Member, MissingStarts, Notice, Orders,
    OrganisationBacklog, Poll, Progress, RejectedMinion, Rejection, Relay, Relayed, Row, Run,
    RunSegment, Running, RunsOn, Schedule, SpeedShard, Start, State, Step, Supply, Tally,
    Unanswered, UnansweredOn, UnansweredStarts, UnansweredTask, Usage, Usages, Verdict,
    WorkerSpeed,
};

/// Maximum number of ended runs that a minion lists at a time. When a list contains this many, a
/// run that is missing from it may still be among the ended runs that were left out.
pub const LISTED_ENDS: usize = 500;
