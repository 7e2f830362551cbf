//! The agent beside a minion that runs tasks: keeps its lease, carries out the planner's
//! orders, and reports what runs and what has ended. No I/O and no clocks.

pub mod effect;
pub mod event;
mod holds;
mod lead;
pub mod machine;
pub mod minion;
pub mod options;
mod order;
mod orders;
mod polls;
mod refusals;
mod unanswered;
