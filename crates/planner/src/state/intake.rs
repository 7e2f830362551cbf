//! What has been looked up of jobs and cancellations that no entry told of.

use std::time::Duration;

use sapphire_store::call::Revision;

use crate::options;

/// A read of all that was handed in, a page at a time.
#[derive(Default)]
pub(crate) struct Scan {
    /// Revision of the store at the first page; none before it has come.
    pub(crate) first: Option<Revision>,
    /// Last key of the page before.
    pub(crate) after: String,
}

/// What has been looked up.
#[derive(Default)]
pub(crate) struct Intake {
    /// Revision of the store up to which everything handed in is known.
    pub(crate) revision: Revision,
    pub(crate) next: Duration,
    pub(crate) is_asking: bool,
    /// Under way because the history after `revision` is gone.
    pub(crate) scan: Option<Scan>,
}

impl Intake {
    pub(crate) fn start(&mut self, now: Duration, revision: Revision) {
        self.revision = revision;
        self.next = now + options::INTAKE_INTERVAL;
    }
}
