//! Distribution of slowness over all workers, and whether they differ at all.

use super::grid::{self, SIZE, Values};

/// Deviation of the logarithm of slowness that is assumed before anything is known.
const BASE_DEVIATION: f64 = 0.35;
/// Number of workers that the assumed distribution counts for. Keeps each value possible.
const BASE_WEIGHT: f64 = 1.0;
/// Number of centres that are compared for equal workers: two per step of the grid.
const CENTRES: usize = 2 * SIZE - 1;
/// Share of equal workers that may seem faster or slower than the others, because they were slow for
/// some seconds.
const DISTURBED_SHARE: f64 = 0.1;
/// Deviation of the logarithm of their seeming slowness.
const DISTURBED_DEVIATION: f64 = 0.6;
/// Least deviation of equal workers, about half a step of the grid.
const MIN_EQUAL_DEVIATION: f64 = 0.045;

/// Returns the distribution that is assumed before anything is known.
pub(super) fn base() -> Values {
    grid::normal(0.0, BASE_DEVIATION)
}

/// Improves the distribution of slowness over all workers, given the likelihoods of each: a step of
/// the expectation-maximisation algorithm.
pub(super) fn improve(prior: &Values, likelihoods: &[Values]) -> Values {
    let mut sum = base().map(|value| value * BASE_WEIGHT);
    for likelihood in likelihoods {
        let posterior = grid::normalised(grid::product(prior, likelihood));
        (0..SIZE).for_each(|at| sum[at] += posterior[at]);
    }
    grid::normalised(sum)
}

/// Returns the logarithm of the likelihood ratio of workers that are distributed like `prior` and of
/// equal workers, whose logarithms of slowness differ by the given deviation at most.
pub(super) fn log_ratio(prior: &Values, likelihoods: &[Values], deviation: f64) -> f64 {
    let log_likelihood = |prior: &Values| -> f64 {
        let of_worker = |likelihood: &Values| -> f64 {
            grid::product(prior, likelihood).iter().sum::<f64>().max(f64::MIN_POSITIVE).ln()
        };
        likelihoods.iter().map(of_worker).sum()
    };
    let points = grid::points();
    let span = points[SIZE - 1] - points[0];
    let centre = |at: usize| points[0] + span * at as f64 / (CENTRES - 1) as f64;
    let equal = |centre: f64, share: f64| {
        let most = grid::normal(centre, deviation.max(MIN_EQUAL_DEVIATION));
        let disturbed = grid::normal(centre, DISTURBED_DEVIATION);
        std::array::from_fn(|at| most[at] * (1.0 - share) + disturbed[at] * share)
    };
    let equal = (0..CENTRES)
        .flat_map(|at| [0.0, DISTURBED_SHARE].map(|share| equal(centre(at), share)))
        .map(|equal| log_likelihood(&equal))
        .fold(f64::NEG_INFINITY, f64::max);
    log_likelihood(prior) - equal
}
