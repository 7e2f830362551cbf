//! What a run measured.

use std::time::Duration;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Mean time from arrival to end, in seconds.
    pub completion_mean: f64,
    /// 99th percentile of the same.
    pub completion_p99: f64,
    /// Mean of completion time over run time.
    pub slowdown: f64,
    /// Share of free accelerators that can't serve the largest guaranteed shape, over time.
    pub fragmentation: f64,
    /// Mean wait of gangs at least as large as the largest guaranteed shape, in seconds.
    pub large_wait: f64,
    /// Share of accelerators in use while jobs arrive.
    pub utilisation: f64,
    /// Accelerator time lost to reclaim, as a share of all used.
    pub lost: f64,
    /// Evictions.
    pub evictions: f64,
    /// Guaranteed gangs that started.
    pub guaranteed: f64,
    /// Guaranteed gangs that started later than the grace period and 2.7 s after they could be
    /// held.
    pub late: f64,
    /// Longest start of a guaranteed gang, in seconds.
    pub worst_start: f64,
    /// Time per pass, 50th and 99th percentile, in microseconds.
    pub pass_p50: f64,
    /// 99th percentile of the same.
    pub pass_p99: f64,
}

impl Figures {
    /// All figures with their names.
    pub fn rows(&self) -> [(&'static str, f64); 13] {
        [
            ("completion mean, s", self.completion_mean),
            ("completion p99, s", self.completion_p99),
            ("slowdown mean", self.slowdown),
            ("fragmentation", self.fragmentation),
            ("wait of large gangs, s", self.large_wait),
            ("utilisation", self.utilisation),
            ("lost to reclaim", self.lost),
            ("evictions", self.evictions),
            ("guaranteed gangs", self.guaranteed),
            ("guaranteed gangs late", self.late),
            ("worst guaranteed start, s", self.worst_start),
            ("pass p50, us", self.pass_p50),
            ("pass p99, us", self.pass_p99),
        ]
    }
}

/// Value at a quantile of unsorted numbers.
pub fn quantile(numbers: &mut [f64], at: f64) -> f64 {
    numbers.sort_by(f64::total_cmp);
    let index = ((numbers.len() as f64 - 1.0) * at).round() as usize;
    numbers.get(index).copied().unwrap_or(0.0)
}

/// Mean and standard deviation.
pub fn spread(numbers: &[f64]) -> (f64, f64) {
    let count = numbers.len().max(1) as f64;
    let mean = numbers.iter().sum::<f64>() / count;
    let variance = numbers.iter().map(|number| (number - mean).powi(2)).sum::<f64>() / count;
    (mean, variance.sqrt())
}

/// Seconds of a duration.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
