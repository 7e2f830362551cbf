//! Decisions about callers' requests as pure functions over plain state.

pub mod budget;
pub mod choose;
