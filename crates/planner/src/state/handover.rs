//! State of the handover record: unanswered starts that a planner leaves to its successor.

use std::time::Duration;

use sapphire_store::call::Revision;

/// State of the handover record in the store.
#[derive(Default)]
pub(crate) struct Handover {
    pub(crate) revision: Revision,
    pub(crate) is_writing: bool,
    /// The record lacks starts, or contains some that have been answered since it was written.
    pub(crate) is_outdated: bool,
    /// Time of the latest write.
    pub(crate) last_write: Duration,
    /// Time before which it is not written again.
    pub(crate) next_write: Duration,
}
