//! State of the callers that wait for the end of a running job.

use std::time::Duration;

use sapphire_jobs::task::JobId;

use crate::event::Caller;

/// A caller that is answered when the job ends or the deadline has passed.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRead {
    pub(crate) caller: Caller,
    pub(crate) id: JobId,
    pub(crate) deadline: Duration,
}

/// Callers that wait for the end of a running job.
///
/// Callers request the state at about the time at which their job's last task ends, and again a
/// quarter of a second later. The end takes about 120 ms from the minion's list through the store
/// to all entries. Without the wait, callers saw nearly every job as complete one request too late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reads {
    pub(crate) waiting: Vec<WaitingRead>,
}

impl Reads {
    /// Whether no caller waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes a caller that has disconnected.
    pub(crate) fn remove_caller(&mut self, caller: Caller) {
        self.waiting.retain(|read| read.caller != caller);
    }
}
