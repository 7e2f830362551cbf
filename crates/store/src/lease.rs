//! A key that one process at a time holds under a lease.
//!
//! The revision with which the key was created is the holder's term: it grows with each holder.

use std::time::Duration;

use bytes::Bytes;

use crate::call::{self, Call, Reply, Revision};

/// Keep-alives within one lease.
const KEEPS_PER_LEASE: u32 = 3;

/// Where the holder-to-be stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not held; may ask for a lease at `at`.
    Idle { at: Duration },
    /// Waiting for a lease, asked for at `since`.
    Granting { since: Duration },
    /// Waiting for the key to be written.
    Writing { lease: call::Lease, since: Duration },
    /// Reading the key back after a write without an answer.
    Reading { lease: call::Lease, since: Duration },
    /// Held.
    Held { lease: call::Lease, term: Revision, until: Duration, keep_at: Duration },
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing to act on.
    Same,
    /// The key is held from now on, with this term.
    Taken(Revision),
    /// The lease has lapsed at the store; another process may hold the key.
    Lapsed,
}

/// One process's side of the lease.
#[derive(Clone, Debug)]
pub struct Holder {
    key: String,
    value: Bytes,
    ttl: Duration,
    phase: Phase,
    is_waiting: bool,
}

impl Holder {
    /// Not held; `value` must be unique to this process's life.
    pub fn new(key: &str, value: Bytes, ttl: Duration) -> Self {
        let phase = Phase::Idle { at: Duration::ZERO };
        Holder { key: key.to_owned(), value, ttl, phase, is_waiting: false }
    }

    /// Term while the lease is held by this process's own clock.
    ///
    /// Guards against a holder that was paused past its lease: the lease counts from when the
    /// keep-alive was sent, so it has lapsed here no later than at the store.
    pub fn term(&self, now: Duration) -> Option<Revision> {
        match self.phase {
            Phase::Held { term, until, .. } if now < until => Some(term),
            _ => None,
        }
    }

    /// Term last held, whether or not the lease is known to stand.
    pub fn last_term(&self) -> Option<Revision> {
        match self.phase {
            Phase::Held { term, .. } => Some(term),
            _ => None,
        }
    }

    /// Next call, if one is due. `may_take` is false while another process is known to hold
    /// the key, so that few processes ask for it in vain.
    pub fn poll(&mut self, now: Duration, may_take: bool) -> Option<Call> {
        if self.is_waiting {
            return None;
        }
        let call = match self.phase {
            Phase::Idle { at } if may_take && now >= at => {
                self.phase = Phase::Granting { since: now };
                Call::Grant { ttl: self.ttl }
            }
            Phase::Writing { lease, .. } => Call::Put {
                key: self.key.clone(),
                expected: 0,
                value: self.value.clone(),
                lease: Some(lease),
            },
            Phase::Reading { .. } => Call::Get { key: self.key.clone() },
            Phase::Held { lease, term, until, keep_at } if now >= keep_at => {
                let keep_at = now + self.ttl / KEEPS_PER_LEASE;
                self.phase = Phase::Held { lease, term, until, keep_at };
                Call::Keep { lease }
            }
            _ => return None,
        };
        self.is_waiting = true;
        Some(call)
    }

    /// Takes the reply to the call under way, which was sent at `sent`.
    pub fn reply(&mut self, now: Duration, sent: Duration, reply: Reply) -> Outcome {
        self.is_waiting = false;
        let idle = Phase::Idle { at: now + self.ttl / KEEPS_PER_LEASE };
        match (self.phase, reply) {
            (Phase::Granting { since }, Reply::Leased(lease)) => {
                self.phase = Phase::Writing { lease, since };
                Outcome::Same
            }
            (Phase::Writing { lease, since }, Reply::Written(term)) => {
                self.take(lease, since, term)
            }
            (Phase::Writing { lease, since }, Reply::Unavailable(_)) => {
                self.phase = Phase::Reading { lease, since };
                Outcome::Same
            }
            (
                Phase::Writing { lease, since } | Phase::Reading { lease, since },
                Reply::Conflict(value) | Reply::Value(value),
            ) if value.bytes == self.value => self.take(lease, since, value.revision),
            (Phase::Held { lease, term, keep_at, .. }, Reply::Leased(_)) => {
                self.phase = Phase::Held { lease, term, until: sent + self.ttl, keep_at };
                Outcome::Same
            }
            (Phase::Held { .. }, Reply::Lapsed) => {
                self.phase = idle;
                Outcome::Lapsed
            }
            (Phase::Held { .. }, _) => Outcome::Same,
            _ => {
                self.phase = idle;
                Outcome::Same
            }
        }
    }

    fn take(&mut self, lease: call::Lease, since: Duration, term: Revision) -> Outcome {
        let until = since + self.ttl;
        self.phase =
            Phase::Held { lease, term, until, keep_at: since + self.ttl / KEEPS_PER_LEASE };
        Outcome::Taken(term)
    }

    /// Whether the key is held as far as is known, but its lease has run out by this process's
    /// own clock.
    pub fn is_stale(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Held { until, .. } if now >= until)
    }

    /// Gives the lease up, for a graceful shutdown; returns the call that frees the key.
    pub fn release(&mut self) -> Option<Call> {
        let Phase::Held { lease, .. } = self.phase else { return None };
        self.phase = Phase::Idle { at: Duration::MAX };
        self.is_waiting = false;
        Some(Call::Revoke { lease })
    }
}
