//! Parts of a planner's state, without the logic that uses them.

pub(crate) mod commits;
pub(crate) mod delays;
pub(crate) mod feeds;
pub(crate) mod handover;
pub(crate) mod intake;
pub(crate) mod inventory;
pub(crate) mod losses;
pub(crate) mod run_log;
pub(crate) mod shares;
pub(crate) mod speeds;
pub(crate) mod standstills;
pub(crate) mod startup;
pub(crate) mod tombstones;
pub(crate) mod waits;
