//! State machine of the agent that runs beside a minion: renews the minion's lease, passes the
//! planner's orders on to it, and reports to the planner what runs and what has ended. It does no
//! I/O and reads no clock.

mod absence;
mod candidates;
pub mod effect;
pub mod event;
mod leader;
mod lease;
mod long_polls;
pub mod machine;
pub mod minion;
pub mod options;
mod order;
mod orders;
mod polls;
mod refusals;
mod unanswered;
