//! Troubles in which a minion that lives on resembles one that has ended: a listener that refuses connections,
//! minions that go on after their deregistration, and an inventory that is old or lacks a minion. Measures as well
//! how long the tasks of a minion that has crashed take until they run elsewhere.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{inventory, task::Task};

use super::{Action, Request, Simulation};

/// Interval in which the inventory is recorded for reads of an old one.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
/// Age beyond which a recorded inventory is dropped.
const SNAPSHOT_RETENTION: Duration = Duration::from_secs(10);

/// What a minion does between its deregistration and its end.
#[derive(Clone, Copy, Debug)]
pub struct Linger {
    /// Time from the deregistration to the end.
    pub time: Duration,
    /// Whether its listener refuses connections.
    pub refuses: bool,
    /// Whether it goes on sending heartbeats.
    pub has_heartbeats: bool,
    /// Whether the inventory shows no minion on its VM meanwhile.
    pub is_unlisted: bool,
}

/// What the inventory shows of a VM with a live minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misread {
    /// No row.
    Row,
    /// A row without a minion.
    Minion,
    /// The minion that the VM ran before; no minion if there was none.
    Earlier,
}

/// How a minion crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Crash {
    /// Its VM and its agent live on.
    Minion,
    /// Its VM and its agent are gone as well.
    Worker,
}

/// State of these troubles.
#[derive(Clone, Debug, Default)]
pub(super) struct Troubles {
    /// When the listeners that refuse connections accept them again.
    refusing_until: BTreeMap<usize, Duration>,
    /// Minions that go on after their deregistration, and those that have been deregistered.
    lingers: BTreeMap<usize, Linger>,
    deregistered: BTreeMap<usize, Linger>,
    misreads: BTreeMap<usize, Misread>,
    /// Identifier of the minion that each VM ran before.
    earlier: BTreeMap<usize, String>,
    /// Age of the inventory that reads return.
    lag: Duration,
    snapshots: BTreeMap<Duration, inventory::Page>,
    /// Tasks that were running on minions that crashed, with the time of the crash.
    crashed: BTreeMap<Task, (Crash, Duration)>,
}

impl Simulation {
    /// Makes the listener of a minion refuse connections for a time, while its tasks run on.
    pub fn refuse_connections(&mut self, agent: usize, time: Duration) {
        let until = self.troubles.refusing_until.entry(agent).or_default();
        *until = (*until).max(self.now + time);
        self.log_line(&format!("m{agent} refuses connections for {} ms", time.as_millis()));
    }

    /// Whether the listener of a minion refuses the connection of a call. A long poll that waits has its connection
    /// already, and an order that is late as well.
    pub(super) fn is_refusing(&self, request: &Request) -> bool {
        let is_new =
            self.now <= request.sent + super::LOCAL_LATENCY && request.generation.is_some();
        is_new && self.refuses(request.agent)
    }

    /// Whether the listener of a minion refuses connections.
    pub(super) fn refuses(&self, agent: usize) -> bool {
        self.troubles.refusing_until.get(&agent).is_some_and(|until| self.now < *until)
    }

    /// Makes a minion drain like [`Simulation::drain_minion`], and go on after its deregistration.
    pub fn drain_lingering(&mut self, agent: usize, leaves_after: Duration, linger: Linger) {
        if self.is_worker_up(agent) && !self.minions[agent].incarnation.is_draining {
            self.troubles.lingers.insert(agent, linger);
            self.drain_minion(agent, leaves_after);
        }
    }

    /// Begins the time between a minion's deregistration and its end. Returns whether there is one.
    pub(super) fn linger(&mut self, agent: usize, id: &str) -> bool {
        let Some(linger) = self.troubles.lingers.remove(&agent) else { return false };
        let Linger { time, refuses, has_heartbeats, is_unlisted } = linger;
        self.troubles.deregistered.insert(agent, linger);
        self.log_line(&format!(
            "m{agent} deregisters id={id} and goes on for {} ms refuses={refuses} \
             heartbeats={has_heartbeats} unlisted={is_unlisted}",
            time.as_millis()
        ));
        if refuses {
            self.refuse_connections(agent, time);
        }
        self.after(time, Action::Deregister(agent, id.to_owned()));
        true
    }

    /// Takes whether a minion has been deregistered already, now that it ends.
    pub(super) fn take_deregistered(&mut self, agent: usize) -> bool {
        self.troubles.deregistered.remove(&agent).is_some()
    }

    /// Whether a minion that has been deregistered sends no more heartbeats.
    pub(super) fn is_without_heartbeats(&self, agent: usize) -> bool {
        self.troubles.deregistered.get(&agent).is_some_and(|linger| !linger.has_heartbeats)
    }

    /// Notes that the minion of a VM is replaced by another one.
    pub(super) fn note_earlier(&mut self, agent: usize) {
        let troubles = &mut self.troubles;
        let id = self.minions[agent].incarnation.id.clone();
        troubles.earlier.insert(agent, id);
        troubles.lingers.remove(&agent);
        troubles.deregistered.remove(&agent);
        troubles.refusing_until.remove(&agent);
    }

    /// Makes reads of the inventory show something else of a VM, or what is so.
    pub fn misread_inventory(&mut self, agent: usize, misread: Option<Misread>) {
        match misread {
            Some(misread) => self.troubles.misreads.insert(agent, misread),
            None => self.troubles.misreads.remove(&agent),
        };
        self.log_line(&format!("vm{agent} misread={misread:?}"));
    }

    /// Makes reads of the inventory return one of this age.
    pub fn set_inventory_lag(&mut self, lag: Duration) {
        if self.troubles.snapshots.is_empty() {
            self.record_inventory();
        }
        self.troubles.lag = lag;
        self.log_line(&format!("inventory lag={} ms", lag.as_millis()));
    }

    pub(super) fn record_inventory(&mut self) {
        let page = self.inventory();
        let oldest = self.now.saturating_sub(SNAPSHOT_RETENTION);
        self.troubles.snapshots = self.troubles.snapshots.split_off(&oldest);
        self.troubles.snapshots.insert(self.now, page);
        self.after(SNAPSHOT_INTERVAL, Action::RecordInventory);
    }

    /// The inventory that a read returns.
    pub(super) fn read_inventory(&self) -> inventory::Page {
        let at = self.now.saturating_sub(self.troubles.lag);
        let old = self.troubles.snapshots.range(..=at).next_back();
        let old = old.or(self.troubles.snapshots.first_key_value());
        match old {
            Some((_, page)) if !self.troubles.lag.is_zero() => page.clone(),
            _ => self.inventory(),
        }
    }

    /// What the inventory shows of a VM; `None` if it has no row.
    pub(super) fn tenant(&self, agent: usize) -> Option<inventory::Tenant> {
        let minion = &self.minions[agent];
        let earlier = self.troubles.earlier.get(&agent);
        if self.troubles.deregistered.get(&agent).is_some_and(|linger| linger.is_unlisted) {
            return Some(inventory::Tenant::None);
        }
        match self.troubles.misreads.get(&agent) {
            Some(Misread::Row) => None,
            Some(Misread::Minion) => Some(inventory::Tenant::None),
            Some(Misread::Earlier) => Some(match earlier {
                Some(id) => inventory::Tenant::Minion(id.clone()),
                None => inventory::Tenant::None,
            }),
            None if minion.is_up => Some(inventory::Tenant::Minion(minion.incarnation.id.clone())),
            None => Some(inventory::Tenant::None),
        }
    }

    /// Notes the tasks of a minion that is about to crash.
    pub(super) fn note_crash(&mut self, agent: usize, crash: Crash) {
        for task in self.minions[agent].active.keys() {
            self.troubles.crashed.insert(task.clone(), (crash, self.now));
        }
    }

    /// Records how long a task that now starts has taken since its minion crashed.
    pub(super) fn note_recovery(&mut self, task: &Task) {
        if let Some((crash, at)) = self.troubles.crashed.remove(task) {
            self.recoveries.push((crash, self.now - at));
        }
    }
}
