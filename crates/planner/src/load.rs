//! What a planner has had to do, for its log and its metrics.

/// Counts since the beginning of a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Events taken.
    pub events: u64,
    /// Passes over what waits.
    pub passes: u64,
    /// Groups that waited at the latest pass.
    pub waiting: usize,
    /// Groups that were tried in all passes.
    pub tried: u64,
    /// Searches for work to stop in all passes.
    pub searches: u64,
}
