//! The platform's inventory of the VMs on which minions run.

use std::collections::{BTreeMap, BTreeSet};

/// Name of a VM, which stays with it while minions come and go.
pub type VmName = String;

/// What a VM runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tenant {
    /// No minion at present.
    None,
    /// The minion with this identifier.
    Minion(String),
    /// A minion or none: its row can't be read in full.
    Unknown,
}

/// A page of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Identifiers of the minions that VMs run.
    pub minions: BTreeSet<String>,
    /// The VMs whose names can be read.
    pub vms: BTreeMap<VmName, Tenant>,
    /// Some VM runs no minion at present, or its row can't be read.
    pub has_vacant: bool,
    /// Some row can't be read, so that `vms` may lack a VM.
    pub has_unreadable: bool,
    /// Token of the next page, if there is one.
    pub next: Option<String>,
}

impl Page {
    /// Adds a VM.
    pub fn add(&mut self, vm: VmName, tenant: Tenant) {
        self.add_tenant(&tenant);
        self.insert(vm, tenant);
    }

    /// Adds a VM whose name can't be read.
    pub fn add_unnamed(&mut self, tenant: Tenant) {
        self.add_tenant(&tenant);
        self.has_unreadable = true;
    }

    fn add_tenant(&mut self, tenant: &Tenant) {
        match tenant {
            Tenant::Minion(id) => self.minions.extend([id.clone()]),
            Tenant::None | Tenant::Unknown => self.has_vacant = true,
        }
    }

    /// Adds the VMs of another page.
    pub fn append(&mut self, page: Page) {
        let Page { minions, vms, has_vacant, has_unreadable, next: _ } = page;
        self.minions.extend(minions);
        self.has_vacant |= has_vacant;
        self.has_unreadable |= has_unreadable;
        for (vm, tenant) in vms {
            self.insert(vm, tenant);
        }
    }

    /// Records what a VM runs. What one runs that is listed twice is unknown: the pages may be of
    /// different times.
    fn insert(&mut self, vm: VmName, tenant: Tenant) {
        let known = self.vms.entry(vm).or_insert_with(|| tenant.clone());
        if *known != tenant {
            *known = Tenant::Unknown;
            self.has_vacant = true;
        }
    }
}
