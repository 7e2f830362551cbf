//! State of the reads of newly submitted jobs and cancellations.

use std::time::Duration;

use sapphire_store::call::Revision;

use crate::options;

/// A read of all submissions, page by page.
#[derive(Default)]
pub(crate) struct Scan {
    /// Revision of the store at the first page; `None` before that page has arrived.
    pub(crate) first_revision: Option<Revision>,
    /// Last key of the previous page.
    pub(crate) after: String,
    /// When the first page was requested.
    pub(crate) requested_at: Duration,
}

/// State of the reads.
#[derive(Default)]
pub(crate) struct Intake {
    /// Revision of the store up to which all submissions are known.
    pub(crate) revision: Revision,
    pub(crate) next_read: Duration,
    /// The same while jobs are open.
    pub(crate) next_fresh_read: Duration,
    pub(crate) is_reading: bool,
    /// When the read in progress was requested.
    pub(crate) requested_at: Duration,
    /// When the latest complete read was requested: what was cancelled before that time is known.
    pub(crate) verified_at: Duration,
    /// When the jobs that were left out were last read again.
    pub(crate) left_out_read_at: Duration,
    /// The read that is in progress because the store's history after `revision` is gone, or jobs
    /// were left out.
    pub(crate) scan: Option<Scan>,
}

impl Intake {
    /// Begins to watch after the scan at the start of the term, which began at `since` and may have
    /// taken long: the interval counts from then.
    pub(crate) fn start(&mut self, since: Duration, revision: Revision) {
        self.revision = revision;
        self.verified_at = since;
        self.schedule(since);
    }

    /// Sets when to read next after a read that succeeded, or was requested, at a time.
    pub(crate) fn schedule(&mut self, since: Duration) {
        self.next_read = since + options::INTAKE_INTERVAL;
        self.next_fresh_read = since + options::FRESH_INTAKE_INTERVAL;
    }

    /// Sets when to read again.
    pub(crate) fn read_at(&mut self, at: Duration) {
        (self.next_read, self.next_fresh_read) = (at, at);
    }
}
