//! Simulation of entries and agents in virtual time: their real state machines with a fake network,
//! a fake store and fake workers, and faults drawn from seeds. For development only; never shipped.
//!
//! [`simulation`] runs the state machines, [`check`] asserts the invariants, and [`chaos`] runs
//! randomised load and faults. [`jobs`] simulates the job system in the same way.

pub mod chaos;
pub mod check;
pub mod jobs;
pub mod simulation;
pub mod store;
pub mod worker;
