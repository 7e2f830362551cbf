//! Figures that a run measures, and statistics over them.

use std::time::Duration;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Mean time from arrival to end, in seconds.
    pub completion_mean: f64,
    /// 99th percentile of the time from arrival to end, in seconds.
    pub completion_p99: f64,
    /// Mean over the jobs of the time from arrival to end, divided by the run time.
    pub slowdown: f64,
    /// Share of the free accelerators that can't serve the largest guaranteed shape; mean over
    /// time.
    pub fragmentation: f64,
    /// Mean wait of gangs at least as large as the largest guaranteed shape, in seconds.
    pub large_wait: f64,
    /// Share of all accelerators that are in use while jobs arrive; mean over time.
    pub utilisation: f64,
    /// Accelerator time lost when guarantees are reclaimed, as a share of all accelerator time
    /// used.
    pub lost: f64,
    /// Number of evictions.
    pub evictions: f64,
    /// Number of starts of gangs on a guarantee.
    pub guaranteed: f64,
    /// Number of starts of gangs on a guarantee that came more than the grace period and 2.7 s
    /// after the guarantee had resources for the gang.
    pub late: f64,
    /// Longest time from when a guarantee had resources for a gang to the gang's start, in seconds.
    pub worst_start: f64,
    /// Median duration of a scheduling decision, in microseconds.
    pub pass_p50: f64,
    /// 99th percentile of the duration of a scheduling decision, in microseconds.
    pub pass_p99: f64,
}

impl Figures {
    /// All figures with the names that are printed.
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

/// Value at the quantile `at` (0 to 1); sorts the numbers. Zero if there are none.
pub fn quantile(numbers: &mut [f64], at: f64) -> f64 {
    numbers.sort_by(f64::total_cmp);
    let index = ((numbers.len() as f64 - 1.0) * at).round() as usize;
    numbers.get(index).copied().unwrap_or(0.0)
}

/// Mean and standard deviation of the numbers.
pub fn mean_and_deviation(numbers: &[f64]) -> (f64, f64) {
    let count = numbers.len().max(1) as f64;
    let mean = numbers.iter().sum::<f64>() / count;
    let variance = numbers.iter().map(|number| (number - mean).powi(2)).sum::<f64>() / count;
    (mean, variance.sqrt())
}

/// The duration in seconds.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
