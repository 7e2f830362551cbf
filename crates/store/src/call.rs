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
    /// Reads the keys that begin with a prefix, a page at a time.
    Scan {
        /// Prefix.
        prefix: String,
        /// Last key of the page before; empty for the first page.
        after: String,
        /// The answer may be seconds old.
        may_be_stale: bool,
    },
    /// Waits until a key that begins with a prefix changes after a revision.
    WatchPrefix {
        /// Prefix.
        prefix: String,
        /// Revision from which all changes are wanted.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Writes and removes keys all together, or nothing.
    Commit {
        /// Revisions that keys must have.
        conditions: Vec<Condition>,
        /// Keys to write.
        puts: Vec<Put>,
        /// Keys to remove.
        removes: Vec<String>,
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

/// Revision that a key must have.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Revision; 0 when the key must not be there.
    pub revision: Revision,
}

/// A key to write.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Lease with which the key goes away.
    pub lease: Option<Lease>,
}

/// A key as it stands, or as a change left it.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; none when the key is not there.
    pub value: Option<Bytes>,
    /// Revision of its last change; 0 when it is not there.
    pub revision: Revision,
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
    /// A page of keys.
    Items {
        /// Keys in order.
        items: Vec<Item>,
        /// There are more after the last one.
        has_more: bool,
        /// Revision of the store.
        revision: Revision,
    },
    /// Changes in order; none when the wait was over first.
    Changes {
        /// The changes.
        items: Vec<Item>,
        /// Revision from which to go on.
        revision: Revision,
    },
    /// The changes asked for are not kept any more.
    HistoryGone,
    /// Everything was written, with this revision.
    Committed(Revision),
    /// Nothing was written; the keys of the conditions stand like this.
    Refused(Vec<Item>),
    /// The lease was granted, kept or given back.
    Leased(Lease),
    /// There is no such lease any more.
    Lapsed,
    /// No answer: the call may or may not have taken effect, or may do so later.
    Unavailable(String),
    /// The call has certainly not taken effect.
    NotDone(String),
}
