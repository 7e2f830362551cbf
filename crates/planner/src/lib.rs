//! Decides where and when tasks run: the job table, the workers as their agents report them,
//! take-over from an earlier planner, and what is made durable. No I/O and no clocks.
//!
//! [`planner::Planner`] takes events and returns effects. One entry at a time has one, for the
//! term for which it holds the planner's key in the store.

mod accept;
mod board;
mod commit;
pub mod effect;
mod ends;
pub mod event;
mod feed;
pub mod group;
mod handover;
mod intake;
pub mod keys;
mod ledger;
pub mod load;
pub mod options;
mod pass;
mod placing;
pub mod planner;
mod polls;
mod reserve;
mod startup;
mod state;
mod supply;
pub mod table;
mod terms;
mod unanswered;
mod urgent;
mod watchdog;
pub mod worker;
