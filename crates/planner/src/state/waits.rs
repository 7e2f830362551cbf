//! State of the search for the reasons for which groups wait.

use std::time::Duration;

use crate::{
    lines::Lines,
    wait::{Reason, Summary},
};

/// Period that the limit of examinations applies to.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of examinations in a period.
const MAX_EXAMINATIONS: usize = 8;
/// Number of workers over which all examinations of a period may search, unless a single one does.
/// Each searches them several times, which must stay a small part of the planner's work.
const MAX_EXAMINED_WORKERS: usize = 8_000;

/// State of the search for the reasons for which groups wait.
#[derive(Default)]
pub(crate) struct Waits {
    /// Figures of the latest pass.
    pub(crate) summary: Summary,
    /// Reason in the latest line on groups that are not tried at all, with the time of that line.
    pub(crate) untried_logged: Option<(Reason, Duration)>,
    /// Time of the latest count of the groups while none may be placed.
    pub(crate) counted_at: Duration,
    pub(crate) lines: Lines,
    examinations: usize,
    /// The present pass has made an examination.
    has_examined: bool,
}

impl Waits {
    /// Begins a pass, and a new period if the present one is over. Returns the number of lines that
    /// were left out in the latter.
    pub(crate) fn begin_pass(&mut self, now: Duration) -> usize {
        self.has_examined = false;
        let Some(left_out) = self.lines.begin_period(now) else { return 0 };
        self.examinations = 0;
        left_out
    }

    /// Returns the time after which a group is examined again, such that all groups get their turn.
    /// The service of the group has the given number of workers.
    pub(crate) fn examination_interval(&self, workers: usize) -> Duration {
        let periods = self.summary.examinable.div_ceil(max_examinations(workers)).max(1);
        PERIOD * u32::try_from(periods).unwrap_or(u32::MAX)
    }

    /// Returns whether one more group, whose service has the given number of workers, may be
    /// examined now, and counts it.
    pub(crate) fn take_examination(&mut self, workers: usize) -> bool {
        let is_free = !self.has_examined && self.examinations < max_examinations(workers);
        self.has_examined |= is_free;
        self.examinations += usize::from(is_free);
        is_free
    }
}

/// Returns the number of examinations that a period allows.
fn max_examinations(workers: usize) -> usize {
    (MAX_EXAMINED_WORKERS / workers.max(1)).clamp(1, MAX_EXAMINATIONS)
}
