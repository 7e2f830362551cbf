//! Result of the examination of a group that waits.

use crate::wait::Reason;

/// Result of the examination of a group that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Finding {
    pub(crate) reason: Reason,
    /// The free resources of the workers would hold the group.
    pub(crate) fits: bool,
    /// Free share of the capacity of the service.
    pub(crate) free: f64,
}
