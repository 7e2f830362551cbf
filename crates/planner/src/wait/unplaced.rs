//! Groups of one step that a pass has left unplaced.

use std::time::Duration;

use sapphire_jobs::task::GroupKey;

use crate::wait::Reason;

/// A group that a pass has left unplaced, with those of its step that were not tried after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unplaced<'a> {
    /// The group's job.
    pub(crate) job: &'a str,
    pub(crate) key: &'a GroupKey,
    pub(crate) reason: Reason,
    /// The job is within its organisation's guarantee.
    pub(crate) is_guaranteed: bool,
    /// Number of groups.
    pub(crate) groups: usize,
    /// Time since which the first of them waits.
    pub(crate) since: Duration,
}
