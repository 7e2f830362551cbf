//! Whether a planner may start tasks although its lease on the leader key may have expired.
//!
//! Load pattern: the planner's calls to the store fail. If the store is down for everybody, no other
//! entry can take over, and tasks that wait are best started. If the planner is cut off, with its
//! zone, its region or alone, another entry takes over: it learns of tasks that are done, and the
//! planner that has been cut off would start them again.
//!
//! The two look the same from the planner's calls. They differ in the other entries: in an outage
//! they go on polling the planner, and report that the store does not answer them either.

use std::time::Duration;

/// Age up to which the poll of an entry shows what that entry knows now.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(500);

/// The latest poll of another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// When it arrived.
    pub received_at: Duration,
    /// When the store last answered that entry, as far as the poll tells.
    pub store_answered_at: Option<Duration>,
}

/// What allows a planner to start tasks, or forbids it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its lease on the leader key is valid.
    Leader,
    /// Its lease may have expired, but a majority of the entries, itself included, can't reach the
    /// store and so can't have replaced it.
    Outage,
    /// Its lease may have expired, and another entry may have replaced it.
    Isolated,
}

/// Decides on the standing of a planner whose lease ends at `lease_expires_at`. `entries` is the
/// number of entries besides its own, `reports` contains the latest poll of those that have polled.
///
/// A majority is required rather than all of the others, so that one that has failed does not end
/// planning in every outage.
pub fn standing(
    now: Duration,
    lease_expires_at: Duration,
    entries: usize,
    reports: impl IntoIterator<Item = Report>,
) -> Standing {
    if now < lease_expires_at {
        return Standing::Leader;
    }
    let is_without_store = |report: &Report| {
        now < report.received_at + REPORT_MAX_AGE
            && report.store_answered_at.is_none_or(|answered_at| answered_at < lease_expires_at)
    };
    let agreeing = reports.into_iter().filter(is_without_store).count() + 1;
    if agreeing * 2 > entries + 1 { Standing::Outage } else { Standing::Isolated }
}
