//! Decides where and when tasks run. Keeps the job table and the state of the workers as their
//! agents report it, takes over from an earlier planner, and makes progress durable. Does no I/O
//! and reads no clocks.
//!
//! [`planner::Planner`] takes events and returns effects. One entry at a time runs a planner, for
//! the term in which it holds the leader key in the store.

mod accept;
pub mod account;
mod commit;
mod cordons;
pub mod delay;
mod delays;
pub mod effect;
mod ends;
pub mod event;
mod feed;
pub mod group;
mod handover;
mod idle;
mod inquiry;
mod intake;
pub mod inventory;
pub mod keys;
pub mod lease;
mod leases;
mod lines;
pub mod load;
pub mod loss;
pub mod options;
mod pass;
mod placement;
pub mod planner;
mod polls;
mod pool;
mod queue;
mod reconcile;
mod reserve;
mod restart;
mod run_log;
mod shares;
mod speed_records;
mod speed_use;
pub mod speeds;
mod standstills;
mod startup;
mod state;
mod stops;
mod supply;
pub mod table;
mod takeover;
mod tombstones;
mod unanswered;
mod urgent;
pub mod wait;
mod waits;
mod watchdog;
pub mod worker;
