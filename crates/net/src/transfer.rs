//! Timeout of a message that is being transferred.

use std::time::Duration;

/// Rate in bytes per second below which a transfer times out.
const MIN_RATE: f64 = 16_384.0;
/// Longest time by which progress extends the initial timeout.
const MAX_EXTENSION: Duration = Duration::from_secs(10);

/// Progress of one message.
///
/// Guards against a large message on a slow link that is aborted, discarded and sent again for
/// ever: each transferred byte extends the timeout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    timeout_at: Duration,
    bytes: usize,
}

impl Transfer {
    /// Starts a transfer that times out at `timeout_at` if no byte is transferred.
    pub(crate) fn new(timeout_at: Duration) -> Self {
        Transfer { timeout_at, bytes: 0 }
    }

    /// Records that further bytes have been transferred; returns the time of the extended timeout.
    pub(crate) fn extend(&mut self, bytes: usize) -> Duration {
        self.bytes += bytes;
        let extension = Duration::from_secs_f64(self.bytes as f64 / MIN_RATE);
        self.timeout_at + extension.min(MAX_EXTENSION)
    }
}
