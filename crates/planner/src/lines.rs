//! Bounded rate of the log lines that repeat while a state lasts.

use std::time::Duration;

use sapphire_jobs::task::WorkerName;

/// Period that the limits apply to.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of lines in a period.
const MAX_LINES: usize = 4;
/// Maximum number of lines in a period that repeat a reason, so that new reasons are always logged.
const MAX_REPEATS: usize = 2;
/// Interval between two lines of the same reason.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of workers that a line names.
const MAX_WORKERS: usize = 8;

/// The lines of the present period.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    period_start: Duration,
    written: usize,
    repeats: usize,
    left_out: usize,
}

impl Lines {
    /// Begins a new period if the present one is over. Returns the number of lines that were left out
    /// in the latter; `None` if it is not over.
    pub(crate) fn begin_period(&mut self, now: Duration) -> Option<usize> {
        if now < self.period_start + PERIOD {
            return None;
        }
        let left_out = self.left_out;
        *self = Lines { period_start: now, ..Lines::default() };
        Some(left_out)
    }

    /// Returns whether one more line may be written in this period, and counts it.
    pub(crate) fn take(&mut self, is_repeat: bool) -> bool {
        let is_free = self.written < MAX_LINES && !(is_repeat && self.repeats >= MAX_REPEATS);
        self.written += usize::from(is_free);
        self.repeats += usize::from(is_free && is_repeat);
        self.left_out += usize::from(!is_free);
        is_free
    }
}

/// Returns whether a line is due that gives a reason. `logged` is the latest one with its reason.
pub(crate) fn is_due<R: Copy + PartialEq>(
    now: Duration,
    logged: Option<(R, Duration)>,
    reason: R,
) -> bool {
    !is_repeat(logged, reason) || logged.is_some_and(|(_, at)| now >= at + REPEAT_INTERVAL)
}

/// Returns whether a line that gives a reason repeats the latest one.
pub(crate) fn is_repeat<R: Copy + PartialEq>(logged: Option<(R, Duration)>, reason: R) -> bool {
    logged.is_some_and(|(latest, _)| latest == reason)
}

/// Formats a list of workers, of which the first are named.
pub(crate) fn describe(workers: &[WorkerName]) -> String {
    let mut names: Vec<&str> = workers.iter().take(MAX_WORKERS).map(String::as_str).collect();
    let others = workers.len().saturating_sub(MAX_WORKERS);
    let others = (others > 0).then(|| format!("+{others}"));
    names.extend(others.as_deref());
    if names.is_empty() { "none".to_owned() } else { names.join(",") }
}
