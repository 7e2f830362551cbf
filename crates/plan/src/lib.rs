//! Decisions about jobs as pure functions over plain state.

pub mod bind;
pub mod fleet;
pub mod place;
pub mod queue;
