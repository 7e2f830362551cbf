//! Workers whose VMs are gone for good or run no minion, as the platform's inventory shows.
//!
//! A worker that is silent may run tasks until their leases have expired, and a next incarnation of
//! its minion may carry out late starts. Neither can happen once its VM is gone. While its VM runs no
//! minion, nothing of it is running, but a late start may still be carried out.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    GoneMinion,
    inventory::{Page, Tenant, VmName},
    task::WorkerName,
};

use crate::{
    effect::Effect, event::Moment, lines, loss::Evidence, options, planner::Planner, worker::Worker,
};

mod fate;
mod fault;

pub(crate) use fate::Fate;
pub use fault::Fault;

/// Interval between reads of the inventory while minions are missed.
pub(crate) const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a read without an answer is repeated.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between reads that learn on which VMs minions are, and the longest one, after reads that
/// have shown none of them.
pub(crate) const LEARNING_INTERVAL: Duration = READ_INTERVAL;
const MAX_LEARNING_INTERVAL: Duration = Duration::from_secs(64);
/// Least interval between such reads, in multiples of their duration, so that a fleet of many pages is
/// read for a share of the time only.
const LEARNING_FACTOR: u32 = 10;
/// Longest time for which a worker gets no tasks because it isn't known on which VM its minion is.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum interval between two lines on the use of the inventory.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Reads the inventory while minions are missed, and to learn on which VMs the others are.
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
            self.inventory.fates.clear();
            self.inventory.fault = None;
            if !self.is_learning_due(now) {
                return;
            }
        } else if !self.options.has_inventory {
            self.record_fault(now, Some(Fault::Unconfigured));
            return;
        } else if requested_at.is_some() {
            self.record_fault(now, Some(Fault::Unreadable));
        }
        self.inventory.pages = Page::default();
        self.inventory.began = now.steady;
        self.read_inventory(now, String::new());
    }

    /// Returns whether the inventory is to be read although no minion is missed.
    fn is_learning_due(&mut self, now: Moment) -> bool {
        if !self.options.has_inventory || now.steady < self.inventory.next_learning {
            return false;
        }
        if self.inventory.requested_at.take().is_some() {
            self.delay_learning(now, false);
            return false;
        }
        let is_due = !self.with_unknown_vms().is_empty();
        if !is_due {
            self.inventory.next_learning = now.steady + LEARNING_INTERVAL;
        }
        is_due
    }

    /// Has the inventory read soon after a minion has joined on a VM that isn't known.
    pub(crate) fn learn_joined(&mut self, now: Moment, worker: &str, minion: &str) {
        let inventory = &mut self.inventory;
        inventory.joined.retain(|_, until| now.steady < *until);
        if !self.options.has_inventory || inventory.vms.contains_key(minion) {
            return;
        }
        inventory.joined.insert(worker.to_owned(), now.steady + JOIN_TIMEOUT);
        inventory.learning_interval = LEARNING_INTERVAL;
        let earliest = now.steady.max(inventory.began + LEARNING_INTERVAL);
        inventory.next_learning = inventory.next_learning.min(earliest);
    }

    /// Returns whether a worker gets no tasks yet, since it isn't known on which VM its minion is.
    ///
    /// Guards against a start that counts for its lease on a VM that is gone soon after its minion has joined:
    /// nothing would tell that VM from others without a minion.
    pub(crate) fn awaits_vm(&self, now: Moment, worker: &str, minion: &str) -> bool {
        let until = self.inventory.joined.get(worker);
        until.is_some_and(|until| now.steady < *until) && !self.inventory.vms.contains_key(minion)
    }

    fn read_inventory(&mut self, now: Moment, token: String) {
        self.inventory.requested_at = Some(now.steady);
        self.effects.push(Effect::Inventory(token));
    }

    /// Handles a page of the inventory; `None` if there was no answer.
    ///
    /// Guards against a task that runs twice: the pages of a read may be of different times. So only
    /// what two complete reads in a row show of a minion counts.
    pub(crate) fn handle_inventory(&mut self, now: Moment, page: Option<Page>) {
        if self.inventory.requested_at.take().is_none() {
            return;
        }
        self.inventory.next_read = now.steady + READ_INTERVAL;
        let Some(page) = page else {
            self.delay_learning(now, false);
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
        let has_learnt = self.learn_vms(&listed);
        if has_learnt {
            let unknown = lines::describe(&self.with_unknown_vms());
            let known = self.inventory.vms.len();
            self.log(format!(
                "inventory shows on which VMs minions are: known={known} unknown={unknown}"
            ));
        }
        self.delay_learning(now, has_learnt);
        self.judge_missed(now, &listed);
    }

    /// Ends what can't be running or be carried out on the workers that are missed, by a complete
    /// inventory and the one before.
    fn judge_missed(&mut self, now: Moment, listed: &Page) {
        let is_vacant = |(_, tenant): &(&VmName, &Tenant)| !matches!(tenant, Tenant::Minion(_));
        let vms = listed.vms.iter().filter(is_vacant);
        self.inventory.vacant = vms.map(|(vm, _)| vm.clone()).collect();
        let missed = self.missed(now);
        let is_usable = self.lists_workers(now, listed);
        let unknown = |minion: &String| {
            !listed.minions.contains(minion) && self.fate(listed, minion).is_none()
        };
        let hidden = missed.values().any(unknown).then_some(Fault::Vacant);
        let fault = if is_usable { hidden } else { Some(Fault::Foreign) };
        if !missed.is_empty() {
            self.record_fault(now, fault);
        }
        let before = std::mem::take(&mut self.inventory.fates);
        for (worker, minion) in missed.into_iter().filter(|_| is_usable) {
            let Some(fate) = self.fate(listed, &minion) else { continue };
            self.inventory.fates.insert(minion.clone(), (fate, self.inventory.began));
            let known = before.get(&minion).filter(|(earlier, _)| *earlier == fate);
            let Some((_, read_at)) = known else { continue };
            if !self.is_over(now, &worker) {
                continue;
            }
            match fate {
                Fate::Gone => self.lose_vm(now, &worker, &minion),
                Fate::Vacant => self.vacate(now, &worker, &minion, *read_at),
            }
        }
    }

    /// Returns whether the leases of a worker are over, so that what the inventory shows of it counts.
    ///
    /// Guards against a task that runs twice: nothing bounds the age of an inventory, and it may lack a
    /// minion that runs tasks, or show an earlier one in its place, while its agent is out of contact.
    fn is_over(&self, now: Moment, worker: &str) -> bool {
        match self.workers.get(worker) {
            Some(worker) => {
                let lost_at = worker.lost_at(now.steady, self.options.lease_expiry());
                now.steady >= lost_at && !worker.is_just_back(now.steady)
            }
            None => !self.startup.unaccounted.contains_key(worker),
        }
    }

    /// Returns what an inventory shows of a minion; `None` if it runs, or if that isn't known.
    ///
    /// Guards against a task that runs twice: a VM without a minion may be that of a minion that is
    /// being started again, which only a VM can be where it was seen before.
    fn fate(&self, listed: &Page, minion: &str) -> Option<Fate> {
        if listed.minions.contains(minion) {
            return None;
        }
        let Some(vm) = self.inventory.vms.get(minion) else {
            return (!listed.has_vacant).then_some(Fate::Gone);
        };
        match listed.vms.get(vm) {
            Some(Tenant::Minion(_)) => Some(Fate::Gone),
            Some(Tenant::None) => Some(Fate::Vacant),
            Some(Tenant::Unknown) => None,
            None => (!listed.has_unreadable).then_some(Fate::Gone),
        }
    }

    /// Records on which VMs the minions of workers are, also in the stored list of workers for a
    /// successor. Returns whether there are new ones.
    fn learn_vms(&mut self, listed: &Page) -> bool {
        let present = self.workers.values().filter_map(|worker| worker.incarnation.as_ref());
        let mut minions: BTreeSet<&str> = present.map(|minion| minion.id.as_str()).collect();
        let members = &mut self.startup.members;
        minions.extend(members.values().map(|member| member.minion.as_str()));
        let sent_to: Vec<(WorkerName, String)> = self.unanswered.minions().collect();
        minions.extend(sent_to.iter().map(|(_, minion)| minion.as_str()));
        // Late polls may report starts on them again.
        minions.extend(self.inventory.gone.keys().map(String::as_str));
        let mut vms = std::mem::take(&mut self.inventory.vms);
        vms.retain(|minion, _| minions.contains(minion.as_str()));
        let mut has_learnt = false;
        for (vm, tenant) in &listed.vms {
            if let Tenant::Minion(id) = tenant
                && minions.contains(id.as_str())
            {
                has_learnt |= vms.insert(id.clone(), vm.clone()).is_none();
            }
        }
        for member in members.values_mut() {
            if let Some(vm) = vms.get(&member.minion).filter(|vm| **vm != member.vm) {
                member.vm.clone_from(vm);
                self.startup.is_fleet_dirty = true;
            }
        }
        self.inventory.vms = vms;
        self.needs_pass |= has_learnt;
        has_learnt
    }

    /// Delays the next read while no minion is missed, for longer if this one has shown none of those
    /// that are looked for.
    fn delay_learning(&mut self, now: Moment, has_learnt: bool) {
        let is_futile = !has_learnt && !self.with_unknown_vms().is_empty();
        let inventory = &mut self.inventory;
        let longer = (inventory.learning_interval * 2).min(MAX_LEARNING_INTERVAL);
        inventory.learning_interval = if is_futile { longer } else { LEARNING_INTERVAL };
        let took = now.steady.saturating_sub(inventory.began);
        let delay = inventory.learning_interval.max(took * LEARNING_FACTOR);
        inventory.next_learning = now.steady + delay;
    }

    /// Returns the workers of whose minions it isn't known on which VMs they are.
    fn with_unknown_vms(&self) -> Vec<WorkerName> {
        let is_unknown = |worker: &Worker| {
            let minion = worker.incarnation.as_ref();
            minion.is_some_and(|minion| !self.inventory.vms.contains_key(&minion.id))
        };
        let workers = self.workers.iter().filter(|(_, worker)| is_unknown(worker));
        workers.map(|(name, _)| name.clone()).collect()
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

    /// Returns the workers of which something may still be running or be carried out, but which don't
    /// show it, with the identifiers of their minions.
    fn missed(&self, now: Moment) -> BTreeMap<WorkerName, String> {
        let mut missed: BTreeMap<WorkerName, String> = BTreeMap::new();
        let present = self.workers.iter().filter(|(name, _)| self.is_missed(now, name));
        let present = present.filter_map(|(name, worker)| {
            Some((name.clone(), worker.incarnation.as_ref()?.id.clone()))
        });
        missed.extend(self.unanswered.minions());
        let unaccounted = self.startup.unaccounted.keys();
        let unaccounted = unaccounted.filter_map(|name| {
            Some((name.clone(), self.startup.members.get(name)?.minion.clone()))
        });
        missed.extend(unaccounted);
        missed.extend(present);
        missed.retain(|name, minion| !minion.is_empty() && self.is_missed(now, name));
        missed
    }

    /// Returns whether a worker is out of contact, or its minion is and something holds up others there.
    fn is_missed(&self, now: Moment, name: &str) -> bool {
        let Some(worker) = self.workers.get(name) else { return true };
        if now.steady >= worker.last_contact + options::SILENCE_TIMEOUT {
            return true;
        }
        let is_expired = self.unanswered.is_expired(name, now.steady);
        let hangs = worker.start_window(now.steady).is_zero() && worker.incarnation.is_some();
        is_expired && worker.is_vacant || hangs && (is_expired || !worker.runs.is_empty())
    }

    /// Returns whether the VM is gone that unanswered starts of a worker were sent to.
    ///
    /// Guards against starts that count again because an agent outlives its minion's VM in the inventory.
    pub(crate) fn is_known_gone(&self, worker: &str) -> bool {
        let minion = self.unanswered.minion(worker);
        minion.is_some_and(|minion| self.inventory.gone.contains_key(minion))
    }

    /// Returns whether the latest inventory shows that the VM of a worker with unanswered starts runs no
    /// minion.
    pub(crate) fn is_known_vacant(&self, worker: &str) -> bool {
        let minion = self.unanswered.minion(worker);
        let fate = minion.and_then(|minion| self.inventory.fates.get(minion));
        fate.is_some_and(|(fate, _)| *fate == Fate::Vacant)
    }

    /// Returns for a successor the minions whose VMs are gone.
    pub(crate) fn gone_minions(&self, now: Moment) -> Vec<GoneMinion> {
        let gone = self.inventory.gone.iter().map(|(minion, (worker, at))| {
            let age = now.steady.saturating_sub(*at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            GoneMinion { worker: worker.clone(), minion: minion.clone(), age_ms }
        });
        let expiry = u64::try_from(options::START_EXPIRY.as_millis()).unwrap_or(u64::MAX);
        gone.filter(|gone| gone.age_ms < expiry).collect()
    }

    /// Takes back what the inventory has shown of a minion, which has sent a list at a time in the present
    /// session. Its token is later than the loss of the worker, so that the minion has outlived that.
    ///
    /// Guards against a task that runs twice: a successor acts on what the record says is gone.
    pub(crate) fn retract_fate(&mut self, worker: &str, minion: &str, listed_at: Duration) {
        let inventory = &mut self.inventory;
        inventory.fates.retain(|missed, (_, read_at)| missed != minion || listed_at < *read_at);
        if inventory.gone.remove(minion).is_some() {
            self.handover.is_settling = true;
            self.log(format!("worker={worker} minion={minion} reports; its VM is not gone"));
        }
    }

    /// Ends all that may have been running on a worker whose VM is gone.
    fn lose_vm(&mut self, now: Moment, name: &str, minion: &str) {
        self.log(format!("worker={name} minion={minion} its VM is gone; declared lost"));
        self.unanswered.forget(name, minion);
        self.inventory.gone.retain(|_, (_, at)| now.steady < *at + options::START_EXPIRY);
        self.inventory.gone.insert(minion.to_owned(), (name.to_owned(), now.steady));
        self.handover.is_settling = true;
        if self.workers.contains_key(name) {
            let text = format!("its VM is gone{}", self.inventory_ages(now, name));
            self.lose_runs(now, name, Evidence::Gone, &text);
            self.workers.remove(name);
        }
        self.release_member(now, name);
    }

    /// Ends what was running on a worker whose VM had no minion at a time. Late starts may still be
    /// carried out by a next one.
    fn vacate(&mut self, now: Moment, name: &str, minion: &str, at: Duration) {
        self.unanswered.set_absent(name, minion, at);
        let is_its_minion =
            |worker: &&Worker| worker.incarnation.as_ref().is_some_and(|known| known.id == minion);
        let worker = self.workers.get(name);
        if let Some(worker) = worker.filter(is_its_minion) {
            // Its agent may still send starts.
            if now.steady < worker.starts_until {
                return;
            }
            if self.unanswered.calls_outlive_incarnations {
                self.unanswered.retain_silent(now.steady, name, worker);
            }
            let text = format!("its VM runs no minion{}", self.inventory_ages(now, name));
            self.lose_runs(now, name, Evidence::Vacant, &text);
            self.workers.remove(name);
        } else if !self.startup.unaccounted.contains_key(name) {
            return;
        }
        self.log(format!("worker={name} minion={minion} its VM runs no minion; declared lost"));
        self.lose_for_missing_starts();
        self.release_member(now, name);
    }

    /// Describes how old the latest read is, and how long ago a worker was last heard of, for a log line.
    fn inventory_ages(&self, now: Moment, worker: &str) -> String {
        let read = now.steady.saturating_sub(self.inventory.began).as_millis();
        let ages = self.workers.get(worker).map(|worker| worker.ages(now.steady));
        format!(" read_age_ms={read}{}", ages.unwrap_or_default())
    }

    /// Records that nothing is running on a worker any more.
    fn release_member(&mut self, now: Moment, name: &str) {
        self.startup.unaccounted.remove(name);
        self.startup.leases.remove(name);
        self.unanswered.lapse(now.steady, name);
        self.retain_logged(name);
        self.remove_member(name);
        self.handover.is_outdated = true;
        self.needs_pass = true;
        self.check_recovered(now);
    }
}
