//! Shares of organisations: their usage of the workers, which of them are above their share, and the
//! record that a planner leaves to its successor.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{Usage, Usages, resources::Resources};
use sapphire_plan::share;
use sapphire_store::call::{Call, Condition, Put, Reply, Revision};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    group::Group,
    keys,
    planner::Planner,
    state::shares::Shares,
    table::Entry,
};

/// Interval at which usage is added up.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two writes of the record. A successor may lack this much usage, which is
/// little in a window of many seconds.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of organisations in the record, so that it stays below 20 KB.
const MAX_RECORDED: usize = 470;

impl Planner {
    /// Adds up the usage of the workers and finds the organisations above their share, at
    /// intervals.
    pub(crate) fn update_shares(&mut self, now: Moment) {
        let Some(options) = self.options.shares else {
            if self.shares.updated_at.is_some() {
                self.shares = Shares { revision: self.shares.revision, ..Shares::default() };
                self.load.above_share = 0;
            }
            return;
        };
        if self.shares.updated_at.is_some_and(|at| now.steady < at + UPDATE_INTERVAL) {
            return;
        }
        let since = self.shares.updated_at.replace(now.steady).unwrap_or(now.steady);
        let elapsed = now.steady.saturating_sub(since);
        let used = std::mem::take(&mut self.shares.current);
        self.shares.usages.advance(elapsed, options, &used);
        self.shares.is_changed |= !used.is_empty();
        self.shares.current = self.used_shares();
        self.shares.demanding = self.demanding_organisations();
        let Shares { usages, demanding, above, .. } = &self.shares;
        let new = usages.above(demanding, above, options);
        let old = std::mem::replace(&mut self.shares.above, new);
        self.load.above_share = self.shares.above.len();
        let changed: Vec<String> = old.symmetric_difference(&self.shares.above).cloned().collect();
        for name in changed {
            let side = if old.contains(&name) { "below" } else { "above" };
            self.log(format!("organisation={name:?} is {side} its share of the workers"));
        }
    }

    /// Returns the share of all workers that each organisation uses now. Runs of unknown jobs count
    /// towards the organisation with the empty name.
    fn used_shares(&self) -> BTreeMap<String, f64> {
        let all = self.workers.values().fold(Resources::default(), |sum, worker| {
            if worker.incarnation.is_some() { sum.plus(worker.capacity()) } else { sum }
        });
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (task, run) in self.workers.values().flat_map(|worker| &worker.runs) {
            let entry = self.table.entries.get(&task.job);
            let name = entry.map_or("", |entry| &entry.job.organisation);
            *used.entry(name).or_default() += share::dominant_share(run.resources, all);
        }
        used.into_iter().map(|(name, share)| (name.to_owned(), share)).collect()
    }

    /// Returns the organisations that have open work which is due.
    fn demanding_organisations(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for entry in self.table.open.iter().filter_map(|id| self.table.entries.get(id)) {
            if !names.contains(&entry.job.organisation)
                && entry.groups.values().any(|group| !group.is_final())
            {
                names.insert(entry.job.organisation.clone());
            }
        }
        names
    }

    /// Returns whether a job goes after those of organisations below their share. A job for which
    /// resources are being released does not.
    ///
    /// Guards against stops in vain: resources that were released for an urgent job would go to
    /// other jobs if its organisation went above its share meanwhile.
    pub(crate) fn is_above_share(&self, entry: &Entry) -> bool {
        let has_claim = |group: &Group| group.claim.is_some();
        self.shares.above.contains(&entry.job.organisation) && !entry.groups.values().any(has_claim)
    }

    /// Writes the record if it is out of date.
    pub(crate) fn write_shares(&mut self, now: Moment) {
        let shares = &mut self.shares;
        let is_due = shares.is_changed && now.steady >= shares.written_at + WRITE_INTERVAL;
        if shares.is_writing || !is_due || !self.startup.is_serving() {
            return;
        }
        shares.is_changed = false;
        shares.is_writing = true;
        shares.written_at = now.steady;
        let usage = |(name, milli_seconds): (&str, u64)| Usage {
            organisation: name.to_owned(),
            milli_seconds,
        };
        let usages = shares.usages.highest(MAX_RECORDED).into_iter().map(usage).collect();
        let unix_ms = u64::try_from(now.unix.as_millis()).unwrap_or(u64::MAX);
        let value = Bytes::from(Usages { usages, unix_ms }.encode_to_vec());
        let conditions = vec![
            Condition { key: keys::LEAD.to_owned(), revision: self.term },
            Condition { key: keys::SHARES.to_owned(), revision: shares.revision },
        ];
        let puts = vec![Put { key: keys::SHARES.to_owned(), value, lease: None }];
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.effects.push(Effect::Store(Operation::Shares, call));
    }

    /// Handles the reply to a write of the record.
    pub(crate) fn shares_written(&mut self, reply: Reply) {
        self.shares.is_writing = false;
        match reply {
            Reply::Committed(revision) => self.shares.revision = revision,
            Reply::Refused(items) => {
                if self.is_deposed_by(&items) {
                    return;
                }
                // An earlier write, whose reply was lost, has been carried out.
                let found = items.iter().find(|item| item.key == keys::SHARES);
                self.shares.revision = found.map_or(0, |item| item.revision);
                self.shares.is_changed = true;
            }
            _ => self.shares.is_changed = true,
        }
    }

    /// Loads the record of an earlier planner, and lets its usage decay since it was written.
    pub(crate) fn load_shares(&mut self, now: Moment, value: &Bytes, revision: Revision) {
        self.shares.revision = revision;
        let Some(options) = self.options.shares else { return };
        match Usages::decode(&value[..]) {
            Ok(record) => {
                let usage = |usage: Usage| (usage.organisation, usage.milli_seconds);
                self.shares.usages = share::Usages::restore(record.usages.into_iter().map(usage));
                let elapsed = now.unix.saturating_sub(Duration::from_millis(record.unix_ms));
                self.shares.usages.advance(elapsed, options, &BTreeMap::new());
            }
            Err(error) => self
                .log(format!("usage of organisations can't be decoded, begins at zero: {error}")),
        }
    }
}
