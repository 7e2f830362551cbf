//! Mutual exclusion by a key that one process at a time holds under a lease.
//!
//! The revision at which the key was created is the holder's term, which is higher for each new
//! holder.

use std::time::Duration;

use bytes::Bytes;

use crate::call::{self, Call, Reply, Revision};

/// Keep-alives sent within the time to live of a lease.
const KEEP_ALIVES_PER_LEASE: u32 = 3;

/// Progress of a process towards holding the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not held; a lease may be requested from `retry_at` on.
    Idle { retry_at: Duration },
    /// Waiting for the lease requested at `requested_at`.
    Granting { requested_at: Duration },
    /// Waiting for the key to be written under the lease.
    Writing { lease: call::Lease, requested_at: Duration },
    /// Reading the key back, since the write got no answer.
    Reading { lease: call::Lease, requested_at: Duration },
    /// Held under the lease until `expires_at` by this process's clock.
    Held { lease: call::Lease, term: Revision, expires_at: Duration, keep_alive_at: Duration },
}

/// Effect of a reply on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing that the caller must act on.
    Unchanged,
    /// This process now holds the key, with this term.
    Acquired(Revision),
    /// The lease has expired at the store; another process may hold the key.
    Lapsed,
}

/// State machine by which one process acquires and keeps the key.
#[derive(Clone, Debug)]
pub struct Holder {
    key: String,
    value: Bytes,
    ttl: Duration,
    phase: Phase,
    has_outstanding_call: bool,
}

impl Holder {
    /// Creates the state machine of a process that does not hold the key. `value` must be unique to
    /// this process and differ after a restart: it identifies the process's own writes.
    pub fn new(key: &str, value: Bytes, ttl: Duration) -> Self {
        let phase = Phase::Idle { retry_at: Duration::ZERO };
        Holder { key: key.to_owned(), value, ttl, phase, has_outstanding_call: false }
    }

    /// Term, as long as the lease has not expired by this process's own clock.
    ///
    /// Guards against a holder that was paused for longer than its lease: the lease is counted from
    /// the time at which the keep-alive was sent, so it expires here no later than at the store.
    pub fn term(&self, now: Duration) -> Option<Revision> {
        match self.phase {
            Phase::Held { term, expires_at, .. } if now < expires_at => Some(term),
            _ => None,
        }
    }

    /// Term of the key held, also if the lease may have expired.
    pub fn last_term(&self) -> Option<Revision> {
        match self.phase {
            Phase::Held { term, .. } => Some(term),
            _ => None,
        }
    }

    /// Returns the next call, if one is due. `may_acquire` is false while another process is known
    /// to hold the key, so that few processes request leases in vain.
    pub fn poll(&mut self, now: Duration, may_acquire: bool) -> Option<Call> {
        if self.has_outstanding_call {
            return None;
        }
        let call = match self.phase {
            Phase::Idle { retry_at } if may_acquire && now >= retry_at => {
                self.phase = Phase::Granting { requested_at: now };
                Call::Grant { ttl: self.ttl }
            }
            Phase::Writing { lease, .. } => Call::Put {
                key: self.key.clone(),
                expected: 0,
                value: self.value.clone(),
                lease: Some(lease),
            },
            Phase::Reading { .. } => Call::Get { key: self.key.clone() },
            Phase::Held { lease, term, expires_at, keep_alive_at } if now >= keep_alive_at => {
                let keep_alive_at = now + self.ttl / KEEP_ALIVES_PER_LEASE;
                self.phase = Phase::Held { lease, term, expires_at, keep_alive_at };
                Call::Keep { lease }
            }
            _ => return None,
        };
        self.has_outstanding_call = true;
        Some(call)
    }

    /// Handles the reply to the outstanding call, which was sent at `sent`.
    pub fn reply(&mut self, now: Duration, sent: Duration, reply: Reply) -> Outcome {
        self.has_outstanding_call = false;
        let idle = Phase::Idle { retry_at: now + self.ttl / KEEP_ALIVES_PER_LEASE };
        match (self.phase, reply) {
            (Phase::Granting { requested_at }, Reply::Leased(lease)) => {
                self.phase = Phase::Writing { lease, requested_at };
                Outcome::Unchanged
            }
            (Phase::Writing { lease, requested_at }, Reply::Written(term)) => {
                self.acquire(lease, requested_at, term)
            }
            (Phase::Writing { lease, requested_at }, Reply::Unavailable(_)) => {
                self.phase = Phase::Reading { lease, requested_at };
                Outcome::Unchanged
            }
            (
                Phase::Writing { lease, requested_at } | Phase::Reading { lease, requested_at },
                Reply::Conflict(value) | Reply::Value(value),
            ) if value.bytes == self.value => self.acquire(lease, requested_at, value.revision),
            (Phase::Held { lease, term, keep_alive_at, .. }, Reply::Leased(_)) => {
                self.phase =
                    Phase::Held { lease, term, expires_at: sent + self.ttl, keep_alive_at };
                Outcome::Unchanged
            }
            (Phase::Held { .. }, Reply::Lapsed) => {
                self.phase = idle;
                Outcome::Lapsed
            }
            (Phase::Held { .. }, _) => Outcome::Unchanged,
            _ => {
                self.phase = idle;
                Outcome::Unchanged
            }
        }
    }

    fn acquire(&mut self, lease: call::Lease, requested_at: Duration, term: Revision) -> Outcome {
        let expires_at = requested_at + self.ttl;
        self.phase = Phase::Held {
            lease,
            term,
            expires_at,
            keep_alive_at: requested_at + self.ttl / KEEP_ALIVES_PER_LEASE,
        };
        Outcome::Acquired(term)
    }

    /// End of the lease by this process's own clock; zero if the key is not held.
    pub fn expires_at(&self) -> Duration {
        match self.phase {
            Phase::Held { expires_at, .. } => expires_at,
            _ => Duration::ZERO,
        }
    }

    /// Whether the lease has expired by this process's own clock, while the store has not reported
    /// that it has expired.
    pub fn is_stale(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Held { expires_at, .. } if now >= expires_at)
    }

    /// Gives up the key, for a graceful shutdown; returns the call that revokes its lease.
    pub fn release(&mut self) -> Option<Call> {
        let Phase::Held { lease, .. } = self.phase else { return None };
        self.phase = Phase::Idle { retry_at: Duration::MAX };
        self.has_outstanding_call = false;
        Some(Call::Revoke { lease })
    }
}
