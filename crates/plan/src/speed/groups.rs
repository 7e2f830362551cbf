//! Groups of workers of about the same speed.

use super::grid::{self, SIZE, Values};

/// Two peaks belong to one group if the distribution between them does not fall below this share of
/// the lower peak.
const MIN_VALLEY: f64 = 0.5;
/// Probability from which on a worker has exactly the speed of a group.
const CERTAIN: f64 = 0.8;

/// Groups, as the group of each value on the grid and the mean logarithm of slowness of each group.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Groups {
    of_value: [u8; SIZE],
    means: Vec<f64>,
}

impl Groups {
    /// Divides the values on the grid into groups, given the distribution of all workers: one for
    /// each peak that is clearly separated from the others.
    pub(super) fn new(prior: &Values) -> Self {
        let mut starts = vec![0];
        let (mut peak, mut valley, mut valley_at) = (prior[0], f64::INFINITY, 0);
        for (at, value) in prior.iter().copied().enumerate().skip(1) {
            if value < valley {
                (valley, valley_at) = (value, at);
            }
            if valley < MIN_VALLEY * peak && valley < MIN_VALLEY * value {
                starts.push(valley_at);
                (peak, valley) = (value, f64::INFINITY);
            } else if value > peak {
                (peak, valley) = (value, f64::INFINITY);
            }
        }
        let mut groups = Groups::default();
        for (group, start) in starts.iter().enumerate() {
            let end = starts.get(group + 1).copied().unwrap_or(SIZE);
            let part =
                std::array::from_fn(|at| if (*start..end).contains(&at) { prior[at] } else { 0.0 });
            groups.means.push(grid::moments(&grid::normalised(part)).0);
            groups.of_value[*start..end].fill(group as u8);
        }
        groups
    }

    /// Returns the logarithm of slowness of a worker with the given distribution: that of its group,
    /// or a mean while its group is uncertain.
    pub(super) fn log(&self, posterior: &Values) -> f64 {
        let mut weights = vec![0.0; self.means.len()];
        for (at, group) in self.of_value.iter().enumerate() {
            weights[usize::from(*group)] += posterior[at];
        }
        let certain = weights.iter().position(|weight| *weight >= CERTAIN);
        let mean = || weights.iter().zip(&self.means).map(|(weight, mean)| weight * mean).sum();
        certain.map_or_else(mean, |group| self.means[group])
    }
}
