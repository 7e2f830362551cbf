//! Runs entries and agents as separate processes on loopback against a stand-in of the platform and
//! injects faults: signals, connections to the store and between the processes that are delayed,
//! silenced, reset or cut one way, minions that crash, and orders that are carried out late.
//! Development only.
//!
//! [`soak::run`] runs one seed and returns the promises that were broken.

pub mod conditions;
mod fleet;
mod proxy;
pub mod soak;
pub mod trouble;
