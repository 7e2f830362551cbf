//! Identifiers of calls to other processes, and reasons why a call failed.

use std::io;

/// Identifier of a call; never reused.
pub type CallId = u64;

/// Reason why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target refused the connection: the call was not carried out.
    Refused,
    /// The response did not arrive in time, or stopped arriving: the call may have been carried
    /// out, or may still be.
    Timeout,
    /// The connection was closed before the response was complete: the call may have been carried
    /// out.
    Closed,
    /// The response is not valid HTTP or exceeds the size limits.
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
