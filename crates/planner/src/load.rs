//! Counters of a planner's work, for the log and the metrics.

/// Counters since the beginning of a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Events handled.
    pub events: u64,
    /// Passes over the waiting groups.
    pub passes: u64,
    /// Runs that may be on workers.
    pub runs: usize,
    /// Times that a due occurrence began to wait for memory.
    pub held_occurrences: u64,
    /// Jobs in the store that are not in the table, for want of memory, as far as the latest read shows.
    pub left_out: usize,
    /// Groups that waited at the latest pass.
    pub waiting: usize,
    /// Attempts to place a group, in all passes.
    pub tried: u64,
    /// Searches for work to stop, in all passes.
    pub searches: u64,
    /// Runs that were stopped for urgent jobs.
    pub stopped_for_urgent: u64,
    /// Claims that were renewed for the same places.
    pub claims_kept: u64,
    /// Claims that were dropped because a worker was lost.
    pub claims_lost: u64,
    /// Organisations above their share of the workers.
    pub above_share: usize,
}
