//! Distributions over the logarithm of slowness, on a grid.

/// Number of values on the grid.
pub(super) const SIZE: usize = 21;
/// Natural logarithm of the least slowness on the grid, 0.4.
const LEAST: f64 = -0.916;
/// Distance of two values: the greatest is the logarithm of 3.
const STEP: f64 = 0.100_7;

/// A number for each value on the grid.
pub(super) type Values = [f64; SIZE];

/// Returns the logarithm of slowness of each point.
pub(super) fn points() -> Values {
    std::array::from_fn(|at| LEAST + STEP * at as f64)
}

/// Returns the normal distribution of the given mean and deviation.
pub(super) fn normal(mean: f64, deviation: f64) -> Values {
    normalised(points().map(|point| (-((point - mean) / deviation).powi(2) / 2.0).exp()))
}

/// Scales values so that their sum is 1.
pub(super) fn normalised(values: Values) -> Values {
    let sum: f64 = values.iter().sum();
    values.map(|value| value / sum.max(f64::MIN_POSITIVE))
}

/// Returns the point-wise product of two functions.
pub(super) fn product(left: &Values, right: &Values) -> Values {
    std::array::from_fn(|at| left[at] * right[at])
}

/// Returns the probability of each point and those below.
pub(super) fn cumulative(distribution: &Values) -> Values {
    let mut sum = 0.0;
    distribution.map(|probability| {
        sum += probability;
        sum.min(1.0)
    })
}

/// Returns the distribution with the given cumulative probabilities.
pub(super) fn differences(cumulative: &Values) -> Values {
    std::array::from_fn(|at| cumulative[at] - if at == 0 { 0.0 } else { cumulative[at - 1] })
}

/// Returns the mean and the variance of a distribution.
pub(super) fn moments(distribution: &Values) -> (f64, f64) {
    let weighted = |of: &dyn Fn(f64) -> f64| -> f64 {
        points().iter().zip(distribution).map(|(point, weight)| of(*point) * weight).sum()
    };
    let mean = weighted(&|point| point);
    (mean, weighted(&|point| (point - mean).powi(2)))
}
