//! Detection of slow and stalled runs, by comparison with other runs.
//!
//! Declared run times may be off by a factor of ten in either direction, and a worker may become
//! several times slower for some seconds. If runs were compared with declared times, long jobs would
//! look like slow workers: work that runs well would be stopped and lost, and healthy workers would
//! be avoided. A long task takes long on every worker, so a run counts as slow only in comparison
//! with the same task elsewhere, tasks of the same step elsewhere, other jobs of the same kind, or
//! its own earlier pace.

use std::time::Duration;

use crate::estimate::Estimate;

/// Number of standard deviations above the expected run time from which a run is slow.
const SLOW_DEVIATIONS: f64 = 3.0;
/// Number of standard deviations above the expected run time up to which a run is at the expected
/// speed.
const NORMAL_DEVIATIONS: f64 = 1.0;
/// Largest spread of an estimate that can show that a run is at the expected speed, and its worker
/// healthy.
const MAX_DECISIVE_SPREAD: f64 = 0.5;
/// Minimum ratio of the run time to the expected one that counts as slow, however small the spread
/// is.
const MIN_SLOW_RATIO: f64 = 2.0;
/// Spread of the run times of one task on healthy workers, as the standard deviation of logarithms.
pub const SAME_TASK_SPREAD: f64 = 0.2;
/// A slow run is moved if what is left of it takes this many times as long as on another worker.
const MIN_MOVE_RATIO: f64 = 2.0;
/// Time that a move takes in addition to the run: the stop, the new start and their messages.
const MOVE_TIME: Duration = Duration::from_millis(700);

/// Result of comparing a run with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The run is at the expected speed.
    Normal,
    /// The run is slow.
    Slow,
    /// The comparison does not decide.
    Unknown,
}

/// Compares the total time that a run takes at its present pace with estimates from other runs.
///
/// The estimate with the smallest spread decides: the same task elsewhere is a better indication
/// than tasks of the same step, and these are better than other jobs of the same kind.
pub fn compare(total_time: Duration, estimates: &[Estimate]) -> Verdict {
    let Some(estimate) = narrowest(estimates) else { return Verdict::Unknown };
    let ratio = total_time.as_secs_f64() / estimate.centre.as_secs_f64().max(f64::MIN_POSITIVE);
    let deviations = ratio.ln() / estimate.spread.max(SAME_TASK_SPREAD);
    if ratio >= MIN_SLOW_RATIO && deviations >= SLOW_DEVIATIONS {
        Verdict::Slow
    } else if deviations <= NORMAL_DEVIATIONS && estimate.spread <= MAX_DECISIVE_SPREAD {
        Verdict::Normal
    } else {
        Verdict::Unknown
    }
}

/// Compares a run with its own best pace so far and with other runs. Returns the verdict and the
/// estimate that it is based on. A steady pace does not show that a run is at the expected speed,
/// since it may have been slow from its start.
pub fn judge(
    total_time: Duration,
    own: Option<Estimate>,
    estimates: &[Estimate],
) -> (Verdict, Estimate) {
    if let Some(own) = own
        && compare(total_time, &[own]) == Verdict::Slow
    {
        return (Verdict::Slow, own);
    }
    (compare(total_time, estimates), narrowest(estimates).unwrap_or_default())
}

/// The estimate with the smallest spread.
pub fn narrowest(estimates: &[Estimate]) -> Option<Estimate> {
    estimates.iter().copied().min_by(|left, right| left.spread.total_cmp(&right.spread))
}

/// Whether what is left of a slow run takes so much longer than on another worker that the run
/// should be moved there.
pub fn is_worth_moving(remaining_here: Duration, elsewhere: Duration) -> bool {
    remaining_here > (elsewhere + MOVE_TIME).mul_f64(MIN_MOVE_RATIO)
}

/// Minimum time without progress after which a run counts as stalled. It exceeds the interval of
/// progress reports and the start-up time of a task.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time without progress after which a run counts as stalled, as a share of its expected run time.
/// Used until its own pace shows how often it reports progress.
const STALL_SHARE: f64 = 0.25;
/// Time without progress after which a run counts as stalled, as the per cent of progress that it
/// would make in this time at its best pace.
const STALL_PERCENT: f64 = 10.0;

/// Time without progress after which a run counts as stalled, given its total run time at the best
/// pace so far and its expected run time.
pub fn stall_timeout(best: Option<Duration>, expected: Duration) -> Duration {
    let own = best.map(|total_time| total_time.mul_f64(STALL_PERCENT / 100.0));
    MIN_STALL_TIMEOUT.max(own.unwrap_or_else(|| expected.mul_f64(STALL_SHARE)))
}

/// Whether a stalled run should be restarted elsewhere: once it has been stalled for as long as the
/// work takes that would have to be repeated.
///
/// Some tasks stall for an unknown number of seconds and then go on. Stopping at once throws away all
/// that a long run has done, and waiting for ever leaves its caller without a result. Waiting for as
/// long as the restart costs is never worse than twice the better of both.
pub fn is_worth_restarting(stalled_for: Duration, work_to_repeat: Duration) -> bool {
    stalled_for >= work_to_repeat
}

/// Minimum progress, in per cent, of a section of a run from which its pace is computed.
const MIN_SECTION_PERCENT: u32 = 5;
/// Minimum duration of such a section.
const MIN_SECTION_TIME: Duration = Duration::from_millis(800);

/// The pace of one run over time, computed from its progress in per cent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Track {
    /// Start of the current section.
    since: Duration,
    /// Progress at the start of the current section.
    percent: u32,
    /// Total run time at the best pace of any section so far.
    best: Option<Duration>,
}

impl Track {
    /// Starts tracking a run that has made the given progress.
    pub fn new(now: Duration, percent: u32) -> Self {
        Track { since: now, percent, best: None }
    }

    /// Records progress, which came after `gap` without any. A section in which the run was stalled
    /// is discarded, since it says nothing of the pace before or after.
    pub fn record(&mut self, now: Duration, percent: u32, gap: Duration) {
        if self.best.is_some() && gap >= stall_timeout(self.best, Duration::ZERO) {
            self.since = now;
            self.percent = percent;
            return;
        }
        let progress = percent.saturating_sub(self.percent);
        let time = now.saturating_sub(self.since);
        if progress < MIN_SECTION_PERCENT || time < MIN_SECTION_TIME {
            return;
        }
        let total_time = time.mul_f64(100.0 / f64::from(progress));
        self.best = Some(self.best.map_or(total_time, |best| best.min(total_time)));
        self.since = now;
        self.percent = percent;
    }

    /// Total run time at the best pace so far.
    pub fn best(&self) -> Option<Duration> {
        self.best
    }

    /// Shortest possible total run time at the present pace, once the current section is long enough.
    ///
    /// Progress is reported in whole per cent, so up to one more per cent may have been made.
    pub fn present(&self, now: Duration, percent: u32) -> Option<Duration> {
        let time = now.saturating_sub(self.since);
        let progress = percent.saturating_sub(self.percent) + 1;
        (time >= MIN_SECTION_TIME).then(|| time.mul_f64(100.0 / f64::from(progress)))
    }
}
