//! State of the reads of the platform's inventory of VMs.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::inventory::{Page, VmName};

use crate::inventory::Fault;

/// State of the reads of the inventory.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    /// Time of the latest request whose answer is still to come.
    pub(crate) requested_at: Option<Duration>,
    /// Time before which the inventory isn't read again.
    pub(crate) next_read: Duration,
    /// Pages of the present read, taken together.
    pub(crate) pages: Page,
    /// Minions that are missed and were not in the latest complete inventory.
    pub(crate) absent: BTreeSet<String>,
    /// VMs without a minion in the latest complete inventory.
    pub(crate) vacant: Vec<VmName>,
    /// Reason for which the latest read doesn't show which VMs are gone; `None` while no minion is
    /// missed.
    pub(crate) fault: Option<Fault>,
    /// The same in the latest log line, with the time of that line.
    pub(crate) logged: (Option<Fault>, Duration),
}
