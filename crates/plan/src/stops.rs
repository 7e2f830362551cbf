//! Limit of the work that is stopped for urgent jobs.

/// Options of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Runs that may be stopped for urgent jobs, as a share of the runs done.
    pub limit: f64,
}
