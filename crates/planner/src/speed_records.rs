//! Records of the workers' speeds in the store, and log lines about them.
//!
//! Workers are divided into shards, so that a change of one worker does not write all of them. The
//! records spare a successor the learning; without them it learns again.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{SpeedShard, WorkerSpeed, task::WorkerName};
use sapphire_plan::speed::{Record, Slowness};
use sapphire_store::call::{Call, Condition, Item, Put, Reply, Revision};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    keys::{self, Key},
    options,
    planner::Planner,
    state::speeds::{Known, Machine, Write},
};

/// Minimum interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of shards that are searched for changes in one interval. Bounds the cost.
const SEARCHED_SHARDS: usize = 4;
/// Change of a logarithm of slowness, in thousandths, that is written and logged: about a tenth.
const CHANGE_MILLI: u32 = 95;
/// Increase of the weight of evidence that is written although the slowness has not changed: a
/// factor and a minimum. Otherwise a successor would not know that workers are equal.
const WEIGHT_FACTOR: u32 = 2;
const MIN_WEIGHT_CHANGE: u32 = 10;
/// Time after which a worker that is gone is forgotten. It covers the replacement of a machine's
/// minion and repairs that take minutes; names of machines that never return must not accumulate.
const ABSENCE_LIMIT: Duration = Duration::from_secs(600);
/// Maximum number of shards that are read: as many as a fleet of 700,000 workers has.
const MAX_SHARDS: usize = 1_024;

impl Planner {
    /// Loads the records of earlier planners.
    pub(crate) fn load_speeds(&mut self, mut found: Vec<(usize, &Bytes, Revision)>) {
        // If the number of shards has grown, a worker may be in two of them; the later one counts.
        found.sort_by_key(|(_, _, revision)| *revision);
        let (mut records, mut was_unequal, mut unreadable) = (Vec::new(), false, Vec::new());
        for (shard, value, revision) in found.into_iter().filter(|(at, ..)| *at < MAX_SHARDS) {
            let count = (shard + 1).next_power_of_two().max(self.speed_state.revisions.len());
            self.speed_state.revisions.resize(count, 0);
            self.speed_state.revisions[shard] = revision;
            match SpeedShard::decode(&value[..]) {
                Ok(record) => {
                    // The first shard is written whenever this changes, the others are not.
                    was_unequal |= shard == 0 && record.is_unequal;
                    records.extend(record.workers);
                }
                Err(error) => unreadable.push((shard, error)),
            }
        }
        if !self.speeds.is_enabled() {
            return;
        }
        for (shard, error) in unreadable {
            self.log(format!("speeds shard={shard} can't be decoded: {error}; learned again"));
        }
        for record in &records {
            let machine = Machine { digest: record.machine, minion: record.minion.clone() };
            let written = Some(stored(record));
            let known = Known { machine, written, logged: 1.0, absent_since: None };
            self.speed_state.known.insert(record.worker.clone(), known);
        }
        let known = records.iter().map(|record| (record.worker.as_str(), stored(record)));
        self.speeds.restore(known, was_unequal);
        self.speed_state.was_unequal_written = was_unequal;
        if !records.is_empty() {
            let workers = self.speed_state.known.len();
            let is_unequal = self.speeds.is_unequal();
            self.log(format!("speeds restored: workers={workers} unequal={is_unequal}"));
        }
    }

    /// Compares the machine of a worker's new minion with the one that its speed was learned on.
    pub(crate) fn identify_machine(&mut self, name: &str) {
        let minion = self.workers.get(name).and_then(|worker| worker.incarnation.as_ref());
        let Some(minion) = minion.filter(|_| self.speeds.is_enabled()) else { return };
        let machine = Machine::of(minion);
        let new = || Known { machine: machine.clone(), logged: 1.0, ..Known::default() };
        let known = self.speed_state.known.entry(name.to_owned()).or_insert_with(new);
        let earlier = std::mem::replace(&mut known.machine, machine.clone());
        if earlier.digest != machine.digest {
            self.speeds.forget(name);
            self.log(format!("worker={name} is another machine now; its speed is learned again"));
        } else if earlier.minion != machine.minion {
            self.speeds.weaken(name);
        }
    }

    /// Logs changes of speeds, forgets workers that are gone, and writes a shard if one is due.
    pub(crate) fn follow_speeds(&mut self, now: Moment) {
        if !self.speeds.is_enabled() || !self.startup.is_serving() {
            return;
        }
        if now.steady >= self.speed_state.next_check {
            self.speed_state.next_check = now.steady + WRITE_INTERVAL;
            self.follow_workers(now);
            self.log_speeds();
        }
        if self.speed_state.in_flight.is_none() && now.steady >= self.speed_state.next_write {
            self.speed_state.next_write = now.steady + WRITE_INTERVAL;
            self.write_speeds();
        }
    }

    /// Adds workers that are new, and forgets those that have been gone for long.
    fn follow_workers(&mut self, now: Moment) {
        let known = &self.speed_state.known;
        let is_new = |name: &&WorkerName| !known.contains_key(name.as_str());
        let new: Vec<WorkerName> = self.workers.keys().filter(is_new).cloned().collect();
        new.iter().for_each(|name| self.identify_machine(name));
        let (workers, speeds) = (&self.workers, &mut self.speeds);
        self.speed_state.known.retain(|name, known| {
            if workers.contains_key(name) {
                known.absent_since = None;
                return true;
            }
            let since = *known.absent_since.get_or_insert(now.steady);
            let is_gone = now.steady >= since + ABSENCE_LIMIT;
            if is_gone {
                speeds.forget(name);
            }
            !is_gone
        });
        self.speed_state.grow();
    }

    /// Logs whether the workers count as unequal, and the slowness of each, if it has changed.
    fn log_speeds(&mut self) {
        let is_unequal = self.speeds.is_unequal();
        let was_unequal = self.speed_state.was_unequal_logged;
        if !is_unequal && !was_unequal {
            return;
        }
        let mut lines = Vec::new();
        if is_unequal != was_unequal {
            let observations = self.speeds.observations();
            let verb = if is_unequal { "unequal" } else { "equal" };
            lines.push(format!("speeds: workers count as {verb} observations={observations}"));
        }
        let mut unequal_workers = 0;
        for (name, known) in &mut self.speed_state.known {
            let slowness = self.speeds.slowness(name);
            unequal_workers += usize::from(slowness != Slowness::REFERENCE);
            if milli(slowness.get().ln()).abs_diff(milli(known.logged.ln())) > CHANGE_MILLI {
                known.logged = slowness.get();
                lines.push(format!("worker={name} slowness={:.2}", slowness.get()));
            }
        }
        self.speed_state.was_unequal_logged = is_unequal;
        self.speed_state.unequal_workers = unequal_workers;
        lines.into_iter().for_each(|line| self.log(line));
    }

    /// Writes the next shard of which a record has changed.
    fn write_speeds(&mut self) {
        let count = self.speed_state.revisions.len();
        for _ in 0..count.min(SEARCHED_SHARDS) {
            let shard = self.speed_state.next_shard % count;
            self.speed_state.next_shard = (shard + 1) % count;
            if let Some(records) = self.changed_records(shard) {
                self.write_shard(shard, records);
                return;
            }
        }
    }

    /// Returns the records of a shard if one of them differs from the stored one.
    fn changed_records(&self, shard: usize) -> Option<Vec<(WorkerName, Record)>> {
        let mut records = Vec::new();
        let mut is_changed =
            shard == 0 && self.speeds.is_unequal() != self.speed_state.was_unequal_written;
        for (name, known) in &self.speed_state.known {
            if self.speed_state.shard(name) != shard {
                continue;
            }
            let record = self.speeds.record(name);
            is_changed |= is_changed_by(known.written, record);
            records.extend(record.map(|record| (name.clone(), record)));
        }
        is_changed.then_some(records)
    }

    /// Writes a shard, on condition that this planner still leads and the shard is the one that it
    /// knows.
    ///
    /// Guards against a planner that has been replaced without knowing it, and against a write that
    /// is carried out late.
    fn write_shard(&mut self, shard: usize, records: Vec<(WorkerName, Record)>) {
        let row = |(name, record): &(WorkerName, Record)| {
            let known = &self.speed_state.known[name];
            WorkerSpeed {
                worker: name.clone(),
                machine: known.machine.digest,
                minion: known.machine.minion.clone(),
                log_milli: record.log_milli,
                weight: record.weight,
            }
        };
        let is_unequal = self.speeds.is_unequal();
        let message = SpeedShard { workers: records.iter().map(row).collect(), is_unequal };
        let value = Bytes::from(message.encode_to_vec());
        let key = keys::speeds(shard);
        let revision = self.speed_state.revisions[shard];
        let lead = Condition { key: keys::LEAD.to_owned(), revision: self.term };
        let conditions = vec![lead, Condition { key: key.clone(), revision }];
        let puts = vec![Put { key, value, lease: None }];
        self.speed_state.in_flight = Some(Write { records, is_unequal });
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.effects.push(Effect::Store(Operation::Speeds(shard), call));
    }

    /// Handles the reply to a write of a shard.
    pub(crate) fn speeds_written(&mut self, now: Moment, shard: usize, reply: Reply) {
        let Some(write) = self.speed_state.in_flight.take() else { return };
        match reply {
            Reply::Committed(revision) => self.adopt_written(shard, revision, write),
            Reply::Refused(items) => {
                if !self.is_deposed_by(&items) {
                    // An earlier write of this term, whose reply was lost, has been carried out.
                    let is_shard = |item: &&Item| keys::parse(&item.key) == Key::Speeds(shard);
                    let found = items.iter().find(is_shard);
                    self.speed_state.revisions[shard] = found.map_or(0, |item| item.revision);
                    self.speed_state.next_shard = shard;
                    self.speed_state.next_write = now.steady + options::RETRY_DELAY;
                }
            }
            reply => {
                self.speed_state.next_shard = shard;
                self.log(format!("speeds shard={shard} not written: {reply:?}"));
            }
        }
    }

    /// Records what a shard contains.
    fn adopt_written(&mut self, shard: usize, revision: Revision, write: Write) {
        let state = &mut self.speed_state;
        state.revisions[shard] = revision;
        state.writes += 1;
        if shard == 0 {
            state.was_unequal_written = write.is_unequal;
        }
        let records: BTreeMap<WorkerName, Record> = write.records.into_iter().collect();
        let names: Vec<WorkerName> =
            state.known.keys().filter(|name| state.shard(name) == shard).cloned().collect();
        for name in names {
            if let Some(known) = state.known.get_mut(&name) {
                known.written = records.get(&name).copied();
            }
        }
    }
}

/// Returns whether a record differs so much from the written one that it is written again.
fn is_changed_by(written: Option<Record>, record: Option<Record>) -> bool {
    let Some(record) = record else { return written.is_some() };
    let written = written.unwrap_or_default();
    let is_heavier =
        record.weight >= written.weight.saturating_mul(WEIGHT_FACTOR) + MIN_WEIGHT_CHANGE;
    let is_moved = record.log_milli.abs_diff(written.log_milli) > CHANGE_MILLI;
    is_heavier || (is_moved && record.weight > 0)
}

fn stored(record: &WorkerSpeed) -> Record {
    Record { log_milli: record.log_milli, weight: record.weight }
}

fn milli(log: f64) -> i32 {
    (log * 1_000.0).round() as i32
}
