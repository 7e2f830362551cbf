//! Run times of earlier work at the reference speed, which new run times are compared with.

use std::time::Duration;

use super::Belief;
use crate::estimate::{Estimate, Estimates, Kind};

/// Deviations from the expected run time up to which a run time is learned in full. A task that
/// takes several times as long as expected would otherwise dominate the moving averages.
const MAX_DEVIATIONS: f64 = 2.0;

/// Spread of the run times of tasks of the same step at the reference speed.
const SAME_STEP_SPREAD: f64 = 0.3;
/// Variance of the median in relation to that of the mean. Twice that of a normal distribution, since
/// two tasks that are compared with each other are the same evidence twice.
const MEDIAN_VARIANCE: f64 = 3.0;

/// Run times at the reference speed by kind of work. Unlike [`Estimates`] that serve decisions, it is
/// normalised by what is believed of the workers while they still count as equal.
#[derive(Clone, Debug, Default)]
pub struct History {
    estimates: Estimates,
}

impl History {
    /// Returns the run time to expect at the reference speed. Returns `None` if no work of the kind
    /// has been observed: declared times of one kind may all be off by the same factor.
    pub fn expected(&self, kind: Kind<'_>, declared: Duration) -> Option<Estimate> {
        self.estimates.knows_kind(kind).then(|| self.estimates.estimate_kind(kind, declared))
    }

    /// Records the run time of work on workers of which `belief` is known.
    pub fn record(
        &mut self,
        kind: Kind<'_>,
        declared: Duration,
        run_time: Duration,
        belief: Belief,
    ) {
        let mut reference = belief.reference_time(run_time);
        if let Some(expected) = self.expected(kind, declared) {
            let range = (expected.spread * MAX_DEVIATIONS).exp();
            reference =
                reference.clamp(expected.centre.div_f64(range), expected.centre.mul_f64(range));
        }
        self.estimates.observe_kind(kind, declared, reference);
    }
}

/// Returns the median of the logarithms of run times of other tasks of a step, each normalised to
/// the reference speed and with the spread of what is known of its worker; and the spread with which
/// it predicts the run time of a further task.
pub fn median(mut others: Vec<(f64, f64)>) -> (f64, f64) {
    others.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
    let count = others.len().max(1) as f64;
    let variance = others.iter().map(|(_, spread)| spread.powi(2)).sum::<f64>() / count;
    let middle = others.len() / 2;
    let median = match others.len() {
        0 => 0.0,
        len if len % 2 == 1 => others[middle].0,
        _ => f64::midpoint(others[middle - 1].0, others[middle].0),
    };
    let own = SAME_STEP_SPREAD.powi(2);
    (median, (own + (own + variance) * MEDIAN_VARIANCE / count).sqrt())
}
