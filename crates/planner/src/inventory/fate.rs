//! What the inventory shows of a minion that is missed.

/// What the inventory shows of a minion that is missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Its VM is gone, or runs another one: no incarnation of it is there or will be.
    Gone,
    /// Its VM runs no minion: it has ended, and may be started again.
    Vacant,
}
