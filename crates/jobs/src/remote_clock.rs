//! Steady clocks of other processes.

use std::time::Duration;

/// What is known of another process's steady clock: it showed `remote` at the local time `local` or
/// before.
///
/// Steady clocks begin anywhere, but pass at the same pace, so that a time of the other clock can be
/// told by the local one. A message that takes long makes it too late, never too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteClock {
    remote: Duration,
    local: Duration,
}

impl RemoteClock {
    /// Returns what a message tells that was sent at the time `remote` and received at `local`.
    pub fn new(remote: Duration, local: Duration) -> Self {
        RemoteClock { remote, local }
    }

    /// Returns the local time at which the other clock has certainly shown a time.
    pub fn local(self, time: Duration) -> Duration {
        (self.local + time).saturating_sub(self.remote)
    }
}
