//! What the key-value service is asked, and what it answers.

use std::time::Duration;

use bytes::Bytes;

/// Revision of a key; 0 for a key that is not there.
pub type Revision = u64;
/// Identifier of a lease of the service.
pub type Lease = u64;

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads a key.
    Get {
        /// Key.
        key: String,
    },
    /// Writes a key if it still has the expected revision.
    Put {
        /// Key.
        key: String,
        /// Revision it must have; 0 when it must not be there.
        expected: Revision,
        /// New value.
        value: Bytes,
        /// Lease with which the key goes away.
        lease: Option<Lease>,
    },
    /// Waits until a key has a revision above the given one.
    Watch {
        /// Key.
        key: String,
        /// Revision known.
        above: Revision,
    },
    /// Asks for a lease.
    Grant {
        /// How long it lasts without being kept alive.
        ttl: Duration,
    },
    /// Keeps a lease alive.
    Keep {
        /// Lease.
        lease: Lease,
    },
    /// Gives a lease back; its keys go away.
    Revoke {
        /// Lease.
        lease: Lease,
    },
}

/// A key's value and revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// Revision; 0 when the key is not there.
    pub revision: Revision,
    /// Value; empty when the key is not there.
    pub bytes: Bytes,
}

/// One answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The key as it stands; for a watch that timed out, unchanged.
    Value(Value),
    /// The key was written and has this revision.
    Written(Revision),
    /// The key was not written; it stands like this.
    Conflict(Value),
    /// The lease was granted, kept or given back.
    Leased(Lease),
    /// There is no such lease any more.
    Lapsed,
    /// No answer: the call may or may not have taken effect.
    Unavailable(String),
}
