//! What the runs on one worker say of its slowness.

use super::grid::{self, SIZE, Values};

/// Evidence, in natural logarithms, that can accumulate against a value. Bounds the number of
/// observations that are needed to learn a permanent change of speed.
const MAX_LOG: f32 = 15.0;
/// Share of earlier evidence that a decisive observation replaces.
const REPLACED_SHARE: f64 = 0.04;
/// Range of the log-likelihood of a decisive observation. Others replace less: a gang of many
/// members says little of each.
const DECISIVE_RANGE: f64 = 2.0;
/// Maximum precision of a record; that of a worker's evidence in the steady state is lower.
const MAX_WEIGHT: f64 = 1_000.0;

/// Evidence in the form in which it is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Natural logarithm of the slowness, in thousandths.
    pub log_milli: i32,
    /// Precision of the logarithm of the slowness, which is the inverse of its variance.
    pub weight: u32,
}

/// Log-likelihood of each value, up to a constant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Evidence([f32; SIZE]);

impl Evidence {
    /// Returns normal evidence around a stored value.
    pub(super) fn restored(record: Record) -> Self {
        let mean = f64::from(record.log_milli) / 1_000.0;
        let weight = f64::from(record.weight).min(MAX_WEIGHT);
        let mut evidence = Evidence::default();
        evidence.set(grid::points().map(|point| -weight * (point - mean).powi(2) / 2.0));
        evidence
    }

    /// Returns the evidence as it is stored, relative to the mean `offset` of all workers.
    pub(super) fn record(&self, offset: f64) -> Record {
        let (_, flat_variance) = grid::moments(&[1.0 / SIZE as f64; SIZE]);
        let (mean, variance) = grid::moments(&grid::normalised(self.likelihood()));
        // Evidence that is narrower than a step of the grid is as precise as the step.
        let weight = 1.0 / variance.max(1.0 / MAX_WEIGHT) - 1.0 / flat_variance;
        Record {
            log_milli: ((mean - offset) * 1_000.0).round() as i32,
            weight: weight.round().max(0.0) as u32,
        }
    }

    /// Returns the likelihood of each value, at most 1.
    pub(super) fn likelihood(&self) -> Values {
        self.0.map(|log| f64::from(log).exp())
    }

    /// Adds the log-likelihood of an observation.
    pub(super) fn add(&mut self, log: &Values) {
        let least = log.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = log.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let decisiveness = ((greatest - least) / DECISIVE_RANGE).min(1.0);
        let kept = 1.0 - REPLACED_SHARE * decisiveness;
        self.set(std::array::from_fn(|at| f64::from(self.0[at]) * kept + log[at]));
    }

    /// Reduces the weight of all evidence so far.
    pub(super) fn weaken(&mut self, share: f32) {
        self.0 = self.0.map(|log| log * share);
    }

    /// Sets the log-likelihood; that of the most likely value becomes 0.
    fn set(&mut self, log: Values) {
        let greatest = log.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        self.0 = log.map(|log| ((log - greatest) as f32).max(-MAX_LOG));
    }
}
