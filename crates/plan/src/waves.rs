//! Waves of a wide step: the number of rounds that it needs when its tasks don't all fit at once,
//! and the number of its tasks that must run at the same time for it to complete in time.
//!
//! Guards against an urgent job stopping more work than helps it. For example, if fourteen tasks
//! that each need a complete worker were considered one by one on eleven busy workers, everything
//! would be stopped for all fourteen, although three of them can't start before others end and the
//! objective allows for that.

use std::time::Duration;

/// Share of the workers that a step is expected to get. A wider step is done in waves.
const EXPECTED_SHARE: f64 = 0.25;

/// Width of a step that is not a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Width {
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Number of tasks of this size that fit on all workers together; 0 if that is not known.
    pub fits: u64,
}

/// Number of waves that the job's objective allows for.
pub fn allowed(width: Width) -> u32 {
    waves(width.tasks, width.fits as f64 * EXPECTED_SHARE)
}

/// Number of waves that the step takes if all workers are free for it.
pub fn at_best(width: Width) -> u32 {
    waves(width.tasks, width.fits as f64)
}

fn waves(tasks: u32, at_once: f64) -> u32 {
    if at_once <= 0.0 || tasks == 0 {
        return 1;
    }
    let waves = (f64::from(tasks) / at_once).ceil();
    (waves as u32).clamp(1, tasks)
}

/// Number of `tasks` that must run at the same time for all to complete within `left` if each takes
/// `each`. None if they would not complete in time even if all ran at once.
pub fn needed(tasks: u32, each: Duration, left: Duration) -> Option<u32> {
    let rounds = left.as_secs_f64() / each.as_secs_f64().max(f64::MIN_POSITIVE);
    let rounds = rounds.floor().min(f64::from(u32::MAX)) as u32;
    (rounds > 0).then(|| tasks.div_ceil(rounds))
}
