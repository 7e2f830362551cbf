//! Chooses whether calls to the store are made directly or relayed by another entry.
//!
//! Often only some of the processes are partitioned from the store or rejected by it. Such an entry
//! can still serve its callers when another entry makes the calls on its behalf.

use std::time::Duration;

/// Consecutive failures of direct calls after which calls are relayed by another entry.
const DIRECT_FAILURES: u32 = 1;
/// How often direct calls are tried while they fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// Way of a call to the store. Log lines contain the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// Directly to the store.
    Straight,
    /// Relayed by the entry at this address.
    Through(String),
}

/// Consecutive calls without an answer, direct or relayed, after which the store may count as
/// unreachable.
const UNREACHABLE_FAILURES: u32 = 3;
/// Shortest time without any answer after which the store counts as unreachable: longer than a slow
/// store takes to answer.
const UNREACHABLE_TIME: Duration = Duration::from_millis(600);

/// Outcomes of the recent calls to the store.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Consecutive direct calls without an answer.
    direct_failures: u32,
    /// Consecutive calls without an answer, direct or relayed.
    failures: u32,
    /// When a call was last answered, direct or relayed.
    answered: Option<Duration>,
    /// When a direct call was last answered.
    direct_answered: Option<Duration>,
    /// Earliest time of the next probe.
    probe_at: Duration,
    /// Counter that selects the relaying entries in turn.
    next_relay: usize,
    /// Entry whose last relayed call was answered.
    last_relay: Option<String>,
}

impl Reachability {
    /// Way of the next call: direct, else relayed by the entry that last relayed successfully, else
    /// by the other entries in turn.
    ///
    /// Without this preference, calls repeatedly timed out at entries that are partitioned too:
    /// with three of eight entries partitioned, an acceptance took 1.1 to 2.4 s.
    pub fn way(&mut self, others: &[String]) -> Way {
        if self.direct_failures < DIRECT_FAILURES || others.is_empty() {
            return Way::Straight;
        }
        if let Some(relay) = self.last_relay.as_ref().filter(|relay| others.contains(relay)) {
            return Way::Through(relay.clone());
        }
        self.next_relay += 1;
        Way::Through(others[self.next_relay % others.len()].clone())
    }

    /// Records whether a direct call was answered; returns whether this switches between direct and
    /// relayed calls.
    pub fn record_direct(&mut self, now: Duration, is_answered: bool) -> bool {
        let was_direct = self.direct_failures < DIRECT_FAILURES;
        if is_answered {
            self.direct_failures = 0;
            self.direct_answered = Some(now);
        } else {
            self.direct_failures += 1;
            self.probe_at = self.probe_at.max(now + PROBE_INTERVAL);
        }
        was_direct != (self.direct_failures < DIRECT_FAILURES)
    }

    /// Records whether a call that this entry relayed was answered.
    pub fn record_relayed(&mut self, entry: &str, is_answered: bool) {
        if is_answered {
            self.last_relay = Some(entry.to_owned());
        } else if self.last_relay.as_deref() == Some(entry) {
            self.last_relay = None;
        }
    }

    /// Records whether a call was answered, direct or relayed.
    pub fn record_any(&mut self, now: Duration, is_answered: bool) {
        if is_answered {
            self.failures = 0;
            self.answered = Some(now);
        } else {
            self.failures += 1;
        }
    }

    /// Whether the store can be reached neither directly nor through other entries.
    ///
    /// Callers then get an answer at once, with the time after which to retry, instead of waiting
    /// for a write that can't succeed.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        let is_recent = self.answered.is_some_and(|answered| now < answered + UNREACHABLE_TIME);
        self.failures >= UNREACHABLE_FAILURES && !is_recent
    }

    /// Time since a direct call was last answered; [`Duration::MAX`] if none was.
    pub fn time_since_direct_answer(&self, now: Duration) -> Duration {
        self.direct_answered
            .map_or(Duration::MAX, |direct_answered| now.saturating_sub(direct_answered))
    }

    /// Whether a direct call should be tried now as a probe.
    pub fn is_probe_due(&mut self, now: Duration) -> bool {
        let is_due = self.direct_failures >= DIRECT_FAILURES && now >= self.probe_at;
        if is_due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }
}
