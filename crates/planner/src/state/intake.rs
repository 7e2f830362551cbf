//! State of the reads of newly submitted jobs and cancellations.

use std::time::Duration;

use sapphire_store::call::Revision;

/// A read of all submissions, page by page.
#[derive(Default)]
pub(crate) struct Scan {
    /// Revision of the store at the first page; `None` before that page has arrived.
    pub(crate) first_revision: Option<Revision>,
    /// Last key of the previous page.
    pub(crate) after: String,
}

/// State of the reads.
#[derive(Default)]
pub(crate) struct Intake {
    /// Revision of the store up to which all submissions are known.
    pub(crate) revision: Revision,
    pub(crate) next_read: Duration,
    pub(crate) is_reading: bool,
    /// The read that is in progress because the store's history after `revision` is gone.
    pub(crate) scan: Option<Scan>,
}

impl Intake {
    /// Begins to watch after the scan at the start of the term. That scan may have taken long, so the
    /// first read is due at once.
    pub(crate) fn start(&mut self, now: Duration, revision: Revision) {
        self.revision = revision;
        self.next_read = now;
    }
}
