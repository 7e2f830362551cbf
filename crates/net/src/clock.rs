//! Clock that keeps running while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine was booted, including the time that it was suspended.
///
/// Guards against acting on a lease or other information that expired while the machine was
/// suspended: `CLOCK_MONOTONIC` stops during a suspension, so that ages would come out too small.
pub fn now() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("every Linux since 2.6.39 has this clock")
}
