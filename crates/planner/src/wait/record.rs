//! What is known of the wait of one group.

use std::time::Duration;

use crate::wait::Reason;

/// What is known of the wait of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Reason that the latest attempt to place the group gave.
    pub attempt: Reason,
    /// Reason as found by the latest examination.
    pub reason: Reason,
    /// The free resources of the workers would hold the group, by the latest examination.
    pub fits: bool,
    /// Time of the latest examination.
    pub examined_at: Duration,
    /// Reason in the latest log line, with the time of that line.
    pub logged: Option<(Reason, Duration)>,
}
