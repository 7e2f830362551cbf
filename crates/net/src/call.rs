//! Calls to other processes, and why they have no answer.

use std::io;

/// A call under way. Not used again after its outcome.
pub type CallId = u64;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens there: the call was not made.
    Refused,
    /// No answer in time, or no more of one that has begun: the call may have been carried out,
    /// or may be later.
    Timeout,
    /// The connection ended first: the call may have been carried out.
    Closed,
    /// The answer is no HTTP.
    Malformed,
}

impl Failure {
    pub(crate) fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Failure::Refused,
            _ => Failure::Closed,
        }
    }
}
