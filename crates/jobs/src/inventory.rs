//! The platform's inventory of the VMs on which minions run.

use std::collections::BTreeSet;

/// A page of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Identifiers of the minions that VMs run.
    pub minions: BTreeSet<String>,
    /// Some VM runs no minion at present, or its row can't be read.
    pub has_vacant: bool,
    /// Token of the next page, if there is one.
    pub next: Option<String>,
}
