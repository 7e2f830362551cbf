//! Why a worker whose agent polls is granted no lease.

/// Why a worker whose agent polls is granted no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Its minion has not acknowledged the session's token.
    Unfenced,
    /// Its minion has sent no list for a while.
    Unlisted,
    /// Its minion seems to be absent.
    Absent,
    /// The stored list of workers calls it silent, and says no later end of its leases than it has.
    Silent,
    /// The stored list of workers doesn't name its minion.
    Unrecorded,
}

impl Obstacle {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Obstacle; 5] = [
        Obstacle::Unfenced,
        Obstacle::Unlisted,
        Obstacle::Absent,
        Obstacle::Silent,
        Obstacle::Unrecorded,
    ];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Obstacle::Unfenced => "unfenced",
            Obstacle::Unlisted => "unlisted",
            Obstacle::Absent => "absent",
            Obstacle::Silent => "silent",
            Obstacle::Unrecorded => "unrecorded",
        }
    }
}
