//! What a planner leaves to its successor about unanswered starts.

use std::time::Duration;

use sapphire_store::call::Revision;

/// The record in the store.
#[derive(Default)]
pub(crate) struct Handover {
    pub(crate) revision: Revision,
    pub(crate) is_writing: bool,
    /// Not written again before.
    pub(crate) next: Duration,
}
