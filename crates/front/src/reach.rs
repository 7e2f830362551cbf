//! Which way calls to the store go: straight, or through another entry.
//!
//! Often only some processes are cut off from the store, or turned away by it. Their callers
//! are served all the same when another entry makes the calls for them.

use std::time::Duration;

/// Failures in a row after which calls go through another entry.
const FAILURES: u32 = 1;
/// How often the straight way is tried while it fails.
const PROBE: Duration = Duration::from_millis(600);

/// A way to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// Straight.
    Straight,
    /// Through the process at this address.
    Through(String),
}

/// What is known of the ways.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    failures: u32,
    /// When the store last answered a straight call.
    reached: Option<Duration>,
    probe_at: Duration,
    next: usize,
}

impl Reach {
    /// The way for a call. Other entries are taken in turn.
    pub fn way(&mut self, others: &[String]) -> Way {
        if self.failures < FAILURES || others.is_empty() {
            return Way::Straight;
        }
        self.next += 1;
        Way::Through(others[self.next % others.len()].clone())
    }

    /// Notes how a straight call ended; returns whether that changed the way.
    pub fn note(&mut self, now: Duration, is_answered: bool) -> bool {
        let was_straight = self.failures < FAILURES;
        if is_answered {
            self.failures = 0;
            self.reached = Some(now);
        } else {
            self.failures += 1;
            self.probe_at = self.probe_at.max(now + PROBE);
        }
        was_straight != (self.failures < FAILURES)
    }

    /// Whether the straight way is to be tried now.
    pub fn is_probe_due(&mut self, now: Duration) -> bool {
        let is_due = self.failures >= FAILURES && now >= self.probe_at;
        if is_due {
            self.probe_at = now + PROBE;
        }
        is_due
    }

    /// Whether straight calls are answered.
    pub fn is_straight(&self) -> bool {
        self.failures < FAILURES && self.reached.is_some()
    }
}
