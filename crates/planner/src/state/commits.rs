//! State of the writes of progress.

use std::time::Duration;

/// State of the writes of progress.
#[derive(Default)]
pub(crate) struct Commits {
    pub(crate) is_writing: bool,
    pub(crate) retry_at: Duration,
}
