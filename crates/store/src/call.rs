//! Calls to the key-value service and its replies.

use std::time::Duration;

use bytes::Bytes;

/// Revision of a key; 0 for a key that does not exist.
pub type Revision = u64;
/// Identifier of a lease of the service.
pub type Lease = u64;

/// Call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads a key.
    Get {
        /// Key.
        key: String,
    },
    /// Writes a key if its revision is still the expected one.
    Put {
        /// Key.
        key: String,
        /// Revision that the key must have; 0 if the key must not exist.
        expected: Revision,
        /// New value.
        value: Bytes,
        /// Lease with whose end the store deletes the key.
        lease: Option<Lease>,
    },
    /// Waits until a key has a revision above the given one.
    Watch {
        /// Key.
        key: String,
        /// Revision that the caller already knows.
        above: Revision,
    },
    /// Reads one page of the keys that begin with a prefix.
    Scan {
        /// Prefix.
        prefix: String,
        /// Last key of the previous page; empty for the first page.
        after: String,
        /// Whether the reply may lag behind the store by seconds.
        may_be_stale: bool,
    },
    /// Waits until a key that begins with a prefix is changed after a given revision.
    WatchPrefix {
        /// Prefix.
        prefix: String,
        /// Revision after which all changes are to be returned.
        after: Revision,
        /// Longest time that the store waits for a change.
        wait: Duration,
    },
    /// Writes and removes keys in one transaction.
    Commit {
        /// Revisions that keys must have for the transaction to be applied.
        conditions: Vec<Condition>,
        /// Keys to write.
        puts: Vec<Put>,
        /// Keys to remove.
        removes: Vec<String>,
    },
    /// Requests a lease.
    Grant {
        /// Time after which the lease expires unless it is kept alive.
        ttl: Duration,
    },
    /// Extends a lease by its time to live (keep-alive).
    Keep {
        /// Lease.
        lease: Lease,
    },
    /// Ends a lease; the store deletes its keys.
    Revoke {
        /// Lease.
        lease: Lease,
    },
}

/// Condition of a transaction: the revision that a key must have.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Required revision; 0 if the key must not exist.
    pub revision: Revision,
}

/// A key that a transaction writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Lease with whose end the store deletes the key.
    pub lease: Option<Lease>,
}

/// Current state of a key, or its state after one change.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; none if the key does not exist.
    pub value: Option<Bytes>,
    /// Revision of its last change; 0 if the key does not exist.
    pub revision: Revision,
}

/// Value and revision of one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// Revision; 0 if the key does not exist.
    pub revision: Revision,
    /// Value; empty if the key does not exist.
    pub bytes: Bytes,
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Current state of the key; unchanged if a watch has timed out.
    Value(Value),
    /// The key was written and now has this revision.
    Written(Revision),
    /// The key was not written, since its revision is another; its current state.
    Conflict(Value),
    /// A page of keys.
    Items {
        /// Keys in ascending order.
        items: Vec<Item>,
        /// Whether there are further keys after the last one.
        has_more: bool,
        /// Revision of the store at the time of the reply.
        revision: Revision,
    },
    /// Changes after the requested revision.
    Changes {
        /// Changes in order; empty if none occurred during the wait.
        items: Vec<Item>,
        /// Revision from which the next watch continues.
        revision: Revision,
    },
    /// The store no longer keeps the requested changes: the keys must be read anew.
    HistoryGone,
    /// The transaction was applied, with this revision.
    Committed(Revision),
    /// The transaction was not applied, since a condition failed; current state of the keys named
    /// in the conditions.
    Refused(Vec<Item>),
    /// The lease was granted, kept alive or revoked.
    Leased(Lease),
    /// The lease has expired or does not exist.
    Lapsed,
    /// No valid answer, with the reason: the call may have taken effect, or may still do so later.
    Unavailable(String),
    /// The call has certainly not taken effect; the reason.
    NotDone(String),
}
