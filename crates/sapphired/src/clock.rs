//! Clock and generation of the process. The system's wall clock is read once, at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphire_wire::id;

/// Monotonic clock whose times count from the Unix epoch. Adjustments of the system's wall clock
/// after the start do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`.
    unix_start: Duration,
}

impl Clock {
    /// Reads the system's clocks.
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start }
    }

    /// Time since the Unix epoch at an instant; the start time for instants before the start.
    pub fn at(&self, instant: Instant) -> Duration {
        self.unix_start + instant.saturating_duration_since(self.start)
    }

    /// Generation of this process: its start time in microseconds since the Unix epoch. It grows
    /// from one start of the process to the next.
    pub fn generation(&self) -> id::Generation {
        u64::try_from(self.unix_start.as_micros()).unwrap_or(u64::MAX)
    }
}
