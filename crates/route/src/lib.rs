//! Routing of callers' requests to minions, and the retry budget. This crate does no I/O: all
//! decisions are pure functions over plain state.

pub mod budget;
pub mod choose;
