//! The real programs as separate processes on loopback, against a stand-in of the platform, with
//! faults from outside: signals, and a store whose connections are delayed, silenced or reset.
//! Development only.
//!
//! [`soak::run`] plays one seed and returns the promises that were broken.

pub mod conditions;
mod fleet;
mod proxy;
pub mod soak;
pub mod trouble;
