//! The reason for which the inventory doesn't show which VMs are gone.

/// The reason for which the inventory doesn't show which VMs are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No inventory is configured.
    Unconfigured,
    /// A read failed, or had no answer in time.
    Unreadable,
    /// It lists none of the workers that are in contact.
    Foreign,
    /// A VM in it has no minion, or a row that can't be read.
    Vacant,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 4] =
        [Fault::Unconfigured, Fault::Unreadable, Fault::Foreign, Fault::Vacant];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Unconfigured => "unconfigured",
            Fault::Unreadable => "unreadable",
            Fault::Foreign => "foreign",
            Fault::Vacant => "vacant",
        }
    }
}
