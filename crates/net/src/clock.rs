//! Time that goes on while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine's start, suspensions included.
///
/// Guards against acting on a lease or a belief that ran out while the machine was suspended:
/// the plain steady clock stands still then, and the age would look young.
pub fn now() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("every Linux since 2.6.39 has this clock")
}
