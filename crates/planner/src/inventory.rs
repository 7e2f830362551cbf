//! Workers whose VMs are gone for good, as the platform's inventory shows.
//!
//! A worker that is silent may run tasks until their leases have expired, and a next incarnation of
//! its minion may carry out late starts. Neither can happen once its VM is gone.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    inventory::{Page, Tenant, VmName},
    task::WorkerName,
};

use crate::{effect::Effect, event::Moment, lines, options, planner::Planner};

mod fault;

pub use fault::Fault;

/// Interval between reads of the inventory while minions are missed.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a read without an answer is repeated.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum interval between two lines on the use of the inventory.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Reads the inventory while minions are missed.
    pub(crate) fn follow_inventory(&mut self, now: Moment) {
        let requested_at = self.inventory.requested_at;
        let is_waiting = requested_at.is_some_and(|at| now.steady < at + READ_TIMEOUT);
        if !self.startup.is_serving() || is_waiting || now.steady < self.inventory.next_read {
            return;
        }
        if !self.options.has_inventory {
            self.inventory.next_read = now.steady + READ_INTERVAL;
        }
        if self.missed(now).is_empty() {
            self.inventory.absent.clear();
            self.inventory.fault = None;
            return;
        }
        if !self.options.has_inventory {
            self.record_fault(now, Some(Fault::Unconfigured));
            return;
        }
        if requested_at.is_some() {
            self.record_fault(now, Some(Fault::Unreadable));
        }
        self.inventory.pages = Page::default();
        self.read_inventory(now, String::new());
    }

    fn read_inventory(&mut self, now: Moment, token: String) {
        self.inventory.requested_at = Some(now.steady);
        self.effects.push(Effect::Inventory(token));
    }

    /// Handles a page of the inventory; `None` if there was no answer.
    ///
    /// Guards against a task that runs twice: a VM without a minion may be that of a minion that is
    /// being started again, and the pages of a read may be of different times. So a minion is gone
    /// only once two complete reads in a row show another minion on each VM.
    pub(crate) fn handle_inventory(&mut self, now: Moment, page: Option<Page>) {
        if self.inventory.requested_at.take().is_none() {
            return;
        }
        self.inventory.next_read = now.steady + READ_INTERVAL;
        let Some(page) = page else {
            self.record_fault(now, Some(Fault::Unreadable));
            return;
        };
        let next = page.next.clone();
        self.inventory.pages.append(page);
        if let Some(token) = next {
            self.read_inventory(now, token);
            return;
        }
        let listed = std::mem::take(&mut self.inventory.pages);
        let is_foreign = !self.lists_workers(now, &listed);
        let vacant = listed.has_vacant.then_some(Fault::Vacant);
        let fault = if is_foreign { Some(Fault::Foreign) } else { vacant };
        let is_vacant = |(_, tenant): &(&VmName, &Tenant)| !matches!(tenant, Tenant::Minion(_));
        let vms = listed.vms.iter().filter(is_vacant);
        self.inventory.vacant = vms.map(|(vm, _)| vm.clone()).collect();
        self.record_fault(now, fault);
        let is_usable = fault.is_none();
        let mut absent = self.missed(now);
        absent.retain(|_, minion| is_usable && !listed.minions.contains(minion));
        let minions = absent.values().cloned().collect();
        let before = std::mem::replace(&mut self.inventory.absent, minions);
        for (worker, minion) in absent.into_iter().filter(|(_, minion)| before.contains(minion)) {
            self.lose_vm(now, &worker, &minion);
        }
    }

    /// Records why the inventory doesn't show which VMs are gone, and logs a change.
    fn record_fault(&mut self, now: Moment, fault: Option<Fault>) {
        let inventory = &mut self.inventory;
        inventory.fault = fault;
        let (logged, logged_at) = inventory.logged;
        if fault == logged || now.steady < logged_at + LINE_INTERVAL {
            return;
        }
        inventory.logged = (fault, now.steady);
        let missed: Vec<WorkerName> = self.missed(now).into_keys().collect();
        let missed = lines::describe(&missed);
        self.log(match fault {
            Some(fault) => {
                let reason = fault.name();
                let vms = lines::describe(&self.inventory.vacant);
                let vacant = if vms == "none" { String::new() } else { format!(" vacant={vms}") };
                format!(
                    "inventory doesn't show which VMs are gone: reason={reason} missed={missed}\
                     {vacant}"
                )
            }
            None => format!("inventory shows which VMs are gone: missed={missed}"),
        });
    }

    /// Returns whether an inventory lists a worker that is in contact, so that it is that of the VMs on
    /// which the workers are.
    fn lists_workers(&self, now: Moment, listed: &Page) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let minion = worker.incarnation.as_ref();
            now.steady < worker.last_contact + options::SILENCE_TIMEOUT
                && minion.is_some_and(|minion| listed.minions.contains(&minion.id))
        })
    }

    /// Returns the workers without contact of which something may still be running or be carried out,
    /// with the identifiers of their minions.
    fn missed(&self, now: Moment) -> BTreeMap<WorkerName, String> {
        let is_silent = |name: &str| {
            let worker = self.workers.get(name);
            worker.is_none_or(|it| now.steady >= it.last_contact + options::SILENCE_TIMEOUT)
        };
        let mut missed: BTreeMap<WorkerName, String> = BTreeMap::new();
        let present = self.workers.iter().filter_map(|(name, worker)| {
            Some((name.clone(), worker.incarnation.as_ref()?.id.clone()))
        });
        missed.extend(self.unanswered.minions());
        let unaccounted = self.startup.unaccounted.keys();
        let unaccounted = unaccounted.filter_map(|name| {
            Some((name.clone(), self.startup.members.get(name)?.minion.clone()))
        });
        missed.extend(unaccounted);
        missed.extend(present);
        missed.retain(|name, minion| is_silent(name) && !minion.is_empty());
        missed
    }

    /// Ends all that may have been running on a worker whose VM is gone.
    fn lose_vm(&mut self, now: Moment, name: &str, minion: &str) {
        self.log(format!("worker={name} minion={minion} its VM is gone; declared lost"));
        self.unanswered.forget(name, minion);
        if self.workers.contains_key(name) {
            self.lose_runs(now, name, "its VM is gone");
            self.workers.remove(name);
        }
        self.startup.unaccounted.remove(name);
        self.retain_logged(name);
        self.remove_member(name);
        self.handover.is_outdated = true;
        self.needs_pass = true;
        self.check_recovered(now);
    }
}
