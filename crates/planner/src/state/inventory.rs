//! State of the reads of the platform's inventory of VMs.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    inventory::{Page, VmName},
    task::WorkerName,
};

use crate::inventory::{Fate, Fault, LEARNING_INTERVAL};

/// State of the reads of the inventory.
#[derive(Debug)]
pub(crate) struct Inventory {
    /// Time of the latest request whose answer is still to come.
    pub(crate) requested_at: Option<Duration>,
    /// Time of the request for the first page of the present read.
    pub(crate) began: Duration,
    /// Time before which the inventory isn't read again.
    pub(crate) next_read: Duration,
    /// The same while no minion is missed, and the interval between such reads.
    pub(crate) next_learning: Duration,
    pub(crate) learning_interval: Duration,
    /// Pages of the present read, taken together.
    pub(crate) pages: Page,
    /// The VMs on which minions were seen, by the identifiers of the minions. Contains those of workers,
    /// and those that unanswered starts were sent to.
    pub(crate) vms: BTreeMap<String, VmName>,
    /// Workers whose minions have joined on VMs that aren't known yet, with the time until which they get no
    /// tasks for that reason.
    pub(crate) joined: BTreeMap<WorkerName, Duration>,
    /// What the latest complete inventory shows of the minions that are missed, with the beginning of
    /// that read.
    pub(crate) fates: BTreeMap<String, (Fate, Duration)>,
    /// Minions whose VMs are gone, with their workers and the time at which that was shown. Contains those
    /// that agents may still report starts on.
    pub(crate) gone: BTreeMap<String, (WorkerName, Duration)>,
    /// VMs without a minion in the latest complete inventory.
    pub(crate) vacant: Vec<VmName>,
    /// Reason for which the latest read doesn't show which VMs are gone; `None` while no minion is
    /// missed.
    pub(crate) fault: Option<Fault>,
    /// The same in the latest log line, with the time of that line.
    pub(crate) logged: (Option<Fault>, Duration),
}

impl Default for Inventory {
    fn default() -> Self {
        Inventory {
            requested_at: None,
            began: Duration::ZERO,
            next_read: Duration::ZERO,
            next_learning: Duration::ZERO,
            learning_interval: LEARNING_INTERVAL,
            pages: Page::default(),
            vms: BTreeMap::new(),
            joined: BTreeMap::new(),
            fates: BTreeMap::new(),
            gone: BTreeMap::new(),
            vacant: Vec::new(),
            fault: None,
            logged: (None, Duration::ZERO),
        }
    }
}
