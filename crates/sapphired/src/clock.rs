//! The process's clock and generation, taken once from the system.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphire_wire::id;

/// Monotonic time on the scale of the Unix epoch. A step of the system's clock after the start
/// does not move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    epoch: Duration,
}

impl Clock {
    /// Takes the time once.
    pub fn start() -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), epoch }
    }

    /// Time of an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        self.epoch + instant.saturating_duration_since(self.start)
    }

    /// Generation of this start: grows from start to start.
    pub fn generation(&self) -> id::Generation {
        u64::try_from(self.epoch.as_micros()).unwrap_or(u64::MAX)
    }
}
