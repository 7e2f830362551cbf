//! How long a message may take while it is being carried.

use std::time::Duration;

/// Rate below which a message is given up, in bytes a second.
const LEAST_RATE: f64 = 16_384.0;
/// Longest time that a message may take beyond the one that it is given at first.
const LONGEST: Duration = Duration::from_secs(10);

/// A message under way.
///
/// Guards against a large message on a slow link that is given up, thrown away and sent again for
/// ever: what has passed buys time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    due: Duration,
    bytes: usize,
}

impl Transfer {
    /// One that is given up at a time if nothing of it passes.
    pub(crate) fn new(due: Duration) -> Self {
        Transfer { due, bytes: 0 }
    }

    /// Notes that so many bytes more have passed; returns when it is given up now.
    pub(crate) fn pass(&mut self, bytes: usize) -> Duration {
        self.bytes += bytes;
        let bought = Duration::from_secs_f64(self.bytes as f64 / LEAST_RATE);
        self.due + bought.min(LONGEST)
    }
}
