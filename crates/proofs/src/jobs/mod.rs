//! Simulation of the job system in virtual time: the real state machines of entries, planners and
//! agents with a fake store, fake minions, network latency and injected faults.
//!
//! [`simulation`] runs the state machines and checks the invariants, [`minion`] simulates the
//! platform's side of running tasks, [`conditions`] describes the workers' speeds and the
//! organisations, [`load`] draws jobs like those of the users' sites,
//! [`days`] draws days of faults whose load falls to little at the end,
//! [`figures`] computes how well callers were served, and [`baseline`] simulates two simple
//! schedulers for comparison.

pub mod baseline;
pub mod conditions;
pub mod days;
pub mod figures;
pub mod load;
pub mod minion;
pub mod simulation;
pub mod sites;
mod suspicions;
