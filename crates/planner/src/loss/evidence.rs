//! What shows that a run has ended whose end its minion has not listed.

/// What shows that a run has ended whose end its minion has not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its agent reports that there is no minion.
    NoMinion,
    /// Lists of its minion lack it.
    Missing,
    /// The first list of a session lacks it.
    Unlisted,
    /// Its minion lists a later run of the task.
    Later,
    /// Its start was refused.
    Refused,
    /// The order to start it was not sent.
    Unsent,
    /// Its lease has expired.
    Expired,
    /// The inventory shows that the VM of its minion is gone.
    Gone,
    /// The inventory shows no minion on the VM of its minion.
    Vacant,
}

impl Evidence {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Evidence; 9] = [
        Evidence::NoMinion,
        Evidence::Missing,
        Evidence::Unlisted,
        Evidence::Later,
        Evidence::Refused,
        Evidence::Unsent,
        Evidence::Expired,
        Evidence::Gone,
        Evidence::Vacant,
    ];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::NoMinion => "no_minion",
            Evidence::Missing => "missing",
            Evidence::Unlisted => "unlisted",
            Evidence::Later => "later",
            Evidence::Refused => "refused",
            Evidence::Unsent => "unsent",
            Evidence::Expired => "expired",
            Evidence::Gone => "gone",
            Evidence::Vacant => "vacant",
        }
    }
}
