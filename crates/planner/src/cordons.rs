//! Follows the cordons of availability zones in the store. Nothing is started in a cordoned zone,
//! and what runs there goes on.
//!
//! A watch brings changes at once, but may miss some while the store drops its history, and a
//! connection may fall silent. So each change only causes the list to be read again, and the list is
//! read at intervals in any case.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::cordon::Zone;
use sapphire_plan::quorum::Standing;
use sapphire_store::call::{Call, Item, Reply, Revision};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    options,
    planner::Planner,
    worker::Worker,
};

/// Interval between two reads of the list while the watch reports no change. Far below the time
/// within which a cordon must be in force, so that reads may fail for a while.
const READ_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest time for which the store is asked to keep a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(12);

/// A read of the list, page by page.
#[derive(Debug, Default)]
struct Read {
    /// When the first page was requested.
    requested_at: Duration,
    /// Revision of the store at the first page.
    revision: Option<Revision>,
    items: Vec<Item>,
}

/// The cordoned zones, and the state of the calls that follow them.
#[derive(Debug, Default)]
pub(crate) struct Cordons {
    zones: BTreeSet<Zone>,
    /// When the latest complete list was requested: a cordon of before that time is in it.
    verified_at: Option<Duration>,
    read: Option<Read>,
    /// The list has changed since the read in progress was requested.
    is_outdated: bool,
    read_at: Duration,
    is_watching: bool,
    watch_at: Duration,
    /// Revision after which the store is watched; 0 before the first read.
    watch_from: Revision,
    /// Faults that have been logged, by key.
    faults: BTreeSet<(String, String)>,
}

impl Cordons {
    /// Returns whether nothing may be started on a worker because of its zone.
    pub(crate) fn contains(&self, worker: &Worker) -> bool {
        worker.incarnation.as_ref().is_some_and(|minion| self.zones.contains(&minion.zone))
    }

    /// Returns the number of cordoned zones.
    pub(crate) fn count(&self) -> usize {
        self.zones.len()
    }
}

impl Planner {
    /// Returns the time for which an agent may send starts, counted from its poll; zero if nothing
    /// may be started now.
    ///
    /// Guards against a start in a zone that was cordoned long ago: neither the planner's list of
    /// cordons nor an agent's latest answer may be too old. In an outage the operators can't reach
    /// the store either, so the latest list remains valid. What is known of cancellations may not be too
    /// old in an outage either: an entry may have written one.
    pub(crate) fn start_window(&self, now: Moment) -> Duration {
        self.cordon_window(now).min(self.cancellation_window(now))
    }

    /// Returns the time for which starts may be sent that rely on the list of cordons.
    fn cordon_window(&self, now: Moment) -> Duration {
        let Some(verified_at) = self.cordons.verified_at else { return Duration::ZERO };
        match self.standing {
            Standing::Isolated => Duration::ZERO,
            Standing::Outage => {
                let until = self.lease_expires_at + options::OUTAGE_STARTS;
                let left = until.saturating_sub(now.steady);
                left.min(options::START_WINDOW).min(self.options.lease)
            }
            Standing::Leader => {
                let age = now.steady.saturating_sub(verified_at);
                let left = self.options.cordon_deadline.saturating_sub(age + options::START_MARGIN);
                left.min(options::START_WINDOW).min(self.options.lease)
            }
        }
    }

    /// Returns whether tasks may be started now.
    pub(crate) fn may_start(&self, now: Moment) -> bool {
        self.startup.is_serving() && !self.start_window(now).is_zero()
    }

    /// Reads the list of cordons, or watches it, if that is due.
    pub(crate) fn follow_cordons(&mut self, now: Moment) {
        let cordons = &mut self.cordons;
        let prefix = || self.options.cordon_prefix.clone();
        if cordons.read.is_none() && now.steady >= cordons.read_at {
            cordons.read = Some(Read { requested_at: now.steady, ..Read::default() });
            cordons.is_outdated = false;
            let call = Call::Scan { prefix: prefix(), after: String::new(), may_be_stale: false };
            self.effects.push(Effect::Store(Operation::Cordons, call));
        }
        if !cordons.is_watching && cordons.watch_from > 0 && now.steady >= cordons.watch_at {
            cordons.is_watching = true;
            let after = cordons.watch_from;
            let call = Call::WatchPrefix { prefix: prefix(), after, wait: WATCH_WAIT };
            self.effects.push(Effect::Store(Operation::CordonWatch, call));
        }
    }

    /// Handles a page of the list. The pages are not a snapshot, but contain every cordon that
    /// existed when the first one was requested and exists still.
    pub(crate) fn handle_cordons(&mut self, now: Moment, reply: Reply) {
        let Some(mut read) = self.cordons.read.take() else { return };
        let Reply::Items { items, has_more, revision } = reply else {
            self.cordons.read_at = now.steady + options::RETRY_DELAY;
            return;
        };
        read.revision.get_or_insert(revision);
        let last = items.last().map(|item| item.key.clone());
        read.items.extend(items);
        if let Some(after) = last.filter(|_| has_more) {
            self.cordons.read = Some(read);
            let prefix = self.options.cordon_prefix.clone();
            let call = Call::Scan { prefix, after, may_be_stale: false };
            self.effects.push(Effect::Store(Operation::Cordons, call));
            return;
        }
        let interval = if self.cordons.is_outdated { Duration::ZERO } else { READ_INTERVAL };
        self.cordons.read_at = now.steady + interval;
        self.cordons.verified_at = Some(read.requested_at);
        self.cordons.watch_from = self.cordons.watch_from.max(read.revision.unwrap_or_default());
        self.apply_cordons(&read.items);
    }

    /// Handles the reply to the watch: a change causes the list to be read again.
    pub(crate) fn handle_cordon_watch(&mut self, now: Moment, reply: Reply) {
        let cordons = &mut self.cordons;
        cordons.is_watching = false;
        let is_changed = match reply {
            Reply::Changes { items, revision } => {
                cordons.watch_from = cordons.watch_from.max(revision);
                !items.is_empty()
            }
            Reply::HistoryGone => {
                cordons.watch_from = 0;
                true
            }
            _ => {
                cordons.watch_at = now.steady + options::WATCH_RETRY;
                false
            }
        };
        if is_changed {
            cordons.is_outdated = true;
            cordons.read_at = now.steady;
        }
        self.follow_cordons(now);
    }

    /// Replaces the cordoned zones by those of a complete list.
    fn apply_cordons(&mut self, items: &[Item]) {
        let mut zones = BTreeSet::new();
        for item in items {
            let Some(value) = &item.value else { continue };
            let record = (self.options.read_cordon)(&item.key, value);
            if let Some(fault) = record.fault
                && self.cordons.faults.insert((item.key.clone(), fault.clone()))
            {
                let effect = if record.zone.is_some() { "in force" } else { "ignored" };
                self.log(format!("cordon key={} {effect}, but invalid: {fault}", item.key));
            }
            zones.extend(record.zone);
        }
        let earlier = std::mem::replace(&mut self.cordons.zones, zones);
        let current = &self.cordons.zones;
        let began: Vec<Zone> = current.difference(&earlier).cloned().collect();
        let ended: Vec<Zone> = earlier.difference(current).cloned().collect();
        for zone in &began {
            self.begin_cordon(zone);
        }
        for zone in &ended {
            self.log(format!("zone={zone} is no longer cordoned"));
        }
        self.needs_pass |= !began.is_empty() || !ended.is_empty();
    }

    /// Logs the beginning of a cordon, and releases the resources that groups have claimed in the
    /// zone while they wait, so that they look for others at once.
    fn begin_cordon(&mut self, zone: &str) {
        let is_inside =
            |worker: &Worker| worker.incarnation.as_ref().is_some_and(|minion| minion.zone == zone);
        let workers = self.workers.values().filter(|worker| is_inside(worker));
        let (mut count, mut runs) = (0, 0);
        for worker in workers {
            count += 1;
            runs += worker.runs.len();
        }
        let mut released = 0;
        for entry in self.table.entries.values_mut() {
            for group in entry.groups.values_mut() {
                let claim = group.claim.take_if(|claim| {
                    claim
                        .assignments
                        .iter()
                        .any(|(name, _)| self.workers.get(name).is_some_and(is_inside))
                });
                released += usize::from(claim.is_some());
            }
        }
        self.log(format!(
            "zone={zone} is cordoned: workers={count} runs={runs} released_claims={released}"
        ));
    }
}
