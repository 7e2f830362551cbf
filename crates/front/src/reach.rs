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

/// Calls in a row without an answer, whichever way, after which the store counts as away.
const AWAY_FAILURES: u32 = 3;
/// Least time without an answer for that: above what a store that is slow takes.
const AWAY: Duration = Duration::from_millis(600);

/// What is known of the ways.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Straight calls in a row without an answer.
    failures: u32,
    /// Calls in a row without an answer, whichever way.
    all_failures: u32,
    /// When a call was last answered, whichever way.
    answered: Option<Duration>,
    /// When the store last answered a straight call.
    reached: Option<Duration>,
    probe_at: Duration,
    next: usize,
    /// The entry through which a call was answered last, and none has failed since.
    proven: Option<String>,
}

impl Reach {
    /// The way for a call: through the entry that answered last, else through the others in turn.
    ///
    /// Guards against calls that wait out their time at an entry that is cut off as well: with
    /// three of eight cut off, an acceptance took 1.1 to 2.4 s.
    pub fn way(&mut self, others: &[String]) -> Way {
        if self.failures < FAILURES || others.is_empty() {
            return Way::Straight;
        }
        if let Some(proven) = self.proven.as_ref().filter(|proven| others.contains(proven)) {
            return Way::Through(proven.clone());
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

    /// Notes how a call through another entry ended.
    pub fn note_through(&mut self, entry: &str, is_answered: bool) {
        if is_answered {
            self.proven = Some(entry.to_owned());
        } else if self.proven.as_deref() == Some(entry) {
            self.proven = None;
        }
    }

    /// Notes how a call ended, whichever way it took.
    pub fn note_any(&mut self, now: Duration, is_answered: bool) {
        if is_answered {
            self.all_failures = 0;
            self.answered = Some(now);
        } else {
            self.all_failures += 1;
        }
    }

    /// Whether the store can't be reached in any way.
    ///
    /// Guards against callers that wait out their time for a write that can't succeed: they are
    /// told at once, and when to come back.
    pub fn is_away(&self, now: Duration) -> bool {
        let is_recent = self.answered.is_some_and(|answered| now < answered + AWAY);
        self.all_failures >= AWAY_FAILURES && !is_recent
    }

    /// Time since a straight call was last answered.
    pub fn age(&self, now: Duration) -> Duration {
        self.reached.map_or(Duration::MAX, |reached| now.saturating_sub(reached))
    }

    /// Whether the straight way is to be tried now.
    pub fn is_probe_due(&mut self, now: Duration) -> bool {
        let is_due = self.failures >= FAILURES && now >= self.probe_at;
        if is_due {
            self.probe_at = now + PROBE;
        }
        is_due
    }
}
