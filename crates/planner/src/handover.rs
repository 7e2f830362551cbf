//! Handover record: starts that a planner leaves to its successor.
//!
//! Only an agent and the planner know of a start, and the processes of both may be lost before it
//! expires. So the record in the store contains each start before its order is sent. A successor
//! that finds a record which may lack starts waits until all of them have expired.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    GoneMinion, MissingStarts, UnansweredStarts, UnansweredTask,
    remote_clock::RemoteClock,
    task::{GroupKey, Task},
};
use sapphire_plan::quorum::Standing;
use sapphire_store::call::{Call, Condition, Item, Put, Reply, Revision};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    keys, options,
    planner::Planner,
    state::handover::{Slot, Write},
    unanswered, wait,
    worker::{Run, Worker},
};

/// A write of the handover record, together with that of the log of runs.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) puts: Vec<Put>,
    pub(crate) removes: Vec<String>,
}

impl Planner {
    /// Writes the handover record if orders wait for it, or if it is out of date.
    pub(crate) fn write_unanswered(&mut self, now: Moment) {
        let (has_additions, has_removals) = self.unanswered.changes();
        let has_additions = has_additions || self.run_log.has_missing();
        // A successor goes on counting the time that the record says is left of each start.
        let is_old = now.steady >= self.handover.written_at + options::RECORD_REFRESH_INTERVAL;
        self.handover.is_outdated |= is_old && self.unanswered.is_any();
        let is_due = self.handover.is_due(now.steady, has_additions, has_removals);
        if !self.startup.is_serving() || !is_due {
            return;
        }
        let Some(Record { mut conditions, puts, removes }) = self.begin_record(now) else { return };
        conditions.insert(0, Condition { key: keys::LEAD.to_owned(), revision: self.term });
        let call = Call::Commit { conditions, puts, removes };
        let operation = Operation::Unanswered(self.handover.latest);
        self.effects.push(Effect::Store(operation, call));
    }

    /// Begins a write of the record. Returns its conditions and what it writes.
    pub(crate) fn begin_record(&mut self, now: Moment) -> Option<Record> {
        let slot = self.handover.begin_write(now.steady)?;
        let mut segment = Record::default();
        let are_runs_logged = self.log_runs(self.handover.latest, &mut segment);
        let table = &self.table;
        let is_closed = |task: &Task, number| {
            let Some(entry) = table.entries.get(&task.job) else { return false };
            let is_gang = entry.step(task.step).is_some_and(|step| step.is_gang);
            let group = entry.groups.get(&GroupKey::of(task, is_gang));
            group.is_some_and(|group| !group.may_repeat(number))
        };
        let record = UnansweredStarts {
            term: self.startup.term_number,
            lead_term: self.term,
            write: self.handover.latest,
            is_incomplete: self.handover.is_incomplete,
            are_runs_logged,
            gone: self.gone_minions(now),
            missing: self.missing_starts(now),
            ..self.unanswered.record(
                now,
                self.handover.latest,
                is_closed,
                &self.workers,
                &self.inventory.vms,
            )
        };
        let (key, value) = (keys::unanswered(slot), Bytes::from(record.encode_to_vec()));
        let revision = self.handover.revisions[slot];
        let conditions = vec![Condition { key: key.clone(), revision }];
        let mut puts = vec![Put { key, value, lease: None }];
        puts.extend(segment.puts);
        Some(Record { conditions, puts, removes: segment.removes })
    }

    /// Returns whether groups may be placed now.
    pub(crate) fn may_place(&self, now: Moment) -> bool {
        self.obstacle(now).is_none()
    }

    /// Returns the reason for which no group may be placed now, if there is one.
    ///
    /// Guards against a task that runs twice: starts of earlier terms that this planner does not
    /// know of may still be carried out, and while the store is unreachable no start can be
    /// recorded.
    pub(crate) fn obstacle(&self, now: Moment) -> Option<wait::Reason> {
        if !self.startup.is_serving() {
            return Some(wait::Reason::Startup);
        }
        match self.standing {
            Standing::Isolated => Some(wait::Reason::Lease),
            Standing::Outage => Some(wait::Reason::Store),
            Standing::Leader if self.cancellation_window(now).is_zero() => {
                Some(wait::Reason::Intake)
            }
            Standing::Leader if !self.may_start(now) => Some(wait::Reason::Cordons),
            Standing::Leader => self.handover.is_incomplete.then_some(wait::Reason::Handover),
        }
    }

    /// Returns whether the record contains a start that was not known to be answered.
    pub(crate) fn is_recorded(&self, run: &Run) -> bool {
        !run.is_started && self.handover.latest >= run.recorded_in
    }

    /// Handles the reply to a write of the handover record.
    pub(crate) fn unanswered_written(&mut self, now: Moment, write: Write, reply: Reply) {
        match reply {
            Reply::Committed(revision) => {
                self.handover.written(write, revision);
                self.run_log.written(write);
            }
            Reply::Refused(items) => {
                self.run_log.lost(write);
                let slot = self.handover.failed(write);
                self.unanswered.invalidate_record();
                if let Some(slot) = slot.filter(|_| !self.is_deposed_by(&items)) {
                    self.adopt_record(slot, &items);
                }
            }
            reply => {
                self.run_log.lost(write);
                self.handover.failed(write);
                self.unanswered.invalidate_record();
                self.handover.retry_at = now.steady + options::RETRY_DELAY;
                let waiting = self.unrecorded_starts();
                self.log(format!(
                    "handover record not written: {reply:?}; starts that wait for it: {waiting}"
                ));
            }
        }
    }

    /// Adopts what a slot contains after a refused write: an earlier write of this term, whose reply
    /// was lost, has been carried out.
    pub(crate) fn adopt_record(&mut self, slot: Slot, items: &[Item]) {
        let key = keys::unanswered(slot);
        let found = items.iter().find(|item| item.key == key);
        self.handover.revisions[slot] = found.map_or(0, |item| item.revision);
        let value = found.and_then(|item| item.value.as_ref());
        let record = value.and_then(|value| UnansweredStarts::decode(&value[..]).ok());
        let own = record.filter(|record| record.term == self.startup.term_number);
        let write = own.map_or(0, |record| record.write);
        self.handover.durable = self.handover.durable.max(write);
        self.handover.is_outdated = true;
    }

    /// Returns the number of ordered starts that the record does not contain yet.
    fn unrecorded_starts(&self) -> usize {
        let runs = self.workers.values().flat_map(|worker| worker.runs.values());
        runs.filter(|run| run.recorded_in > self.handover.durable).count()
    }

    /// Loads the handover record of the previous planner from the slots that were found. The term
    /// number is still that of the previous planner.
    pub(crate) fn load_unanswered(&mut self, now: Moment, found: &[(Slot, &Bytes, Revision)]) {
        let previous = self.startup.term_number;
        let mut latest: Option<UnansweredStarts> = None;
        let mut fault = None;
        // Terms are counted anew if the list of workers was lost, so that a higher number than that
        // of the previous term may be older.
        let order =
            |record: &UnansweredStarts| (record.term == previous, record.term, record.write);
        for (slot, value, revision) in found {
            self.handover.revisions[*slot] = *revision;
            match UnansweredStarts::decode(&value[..]) {
                Err(error) => fault = Some(format!("can't be decoded: {error}")),
                Ok(record) => {
                    if latest.as_ref().is_none_or(|latest| order(latest) < order(&record)) {
                        latest = Some(record);
                    }
                }
            }
        }
        let fault = fault.or_else(|| match &latest {
            None => Some("is missing".to_owned()),
            Some(record) if record.term != previous => {
                Some(format!("is of term number {}, not of {previous}", record.term))
            }
            Some(record) if record.is_incomplete => Some("is incomplete".to_owned()),
            Some(_) => None,
        });
        if let Some(fault) = fault.filter(|_| self.startup.fleet_revision > 0) {
            self.handover.is_incomplete = true;
            self.log(format!(
                "handover record {fault}: nothing is started until all starts of earlier terms have \
                 expired"
            ));
        }
        let is_usable = !self.handover.is_incomplete;
        self.startup.are_runs_logged =
            is_usable && latest.as_ref().is_some_and(|record| record.are_runs_logged);
        if let Some(record) = latest {
            self.log_recorded(&record);
            let known = record.workers.iter().filter(|on| !on.vm.is_empty());
            self.inventory.vms.extend(known.map(|on| (on.minion.clone(), on.vm.clone())));
            let clock = self.startup.clocks.get(&record.lead_term).copied();
            if record.term == previous {
                self.load_missing(now, clock, &record);
            }
            let (gone, mut record) = self.load_gone(now, record);
            self.drop_lapsed(&mut record);
            self.unanswered.restore(now, self.start_grace(), clock, record, &self.workers);
            for GoneMinion { worker, minion, .. } in gone {
                if self.unanswered.minion(&worker).is_none() {
                    self.unanswered.set_minion(&worker, &minion);
                }
            }
        }
    }

    /// Loads which minions' VMs an earlier planner has found gone. Returns them and the record without
    /// what they had.
    fn load_gone(
        &mut self,
        now: Moment,
        mut record: UnansweredStarts,
    ) -> (Vec<GoneMinion>, UnansweredStarts) {
        let gone = std::mem::take(&mut record.gone);
        for GoneMinion { worker, minion, age_ms } in &gone {
            let shown_at = now.steady.saturating_sub(Duration::from_millis(*age_ms));
            self.inventory.gone.insert(minion.clone(), (worker.clone(), shown_at));
        }
        let known = &self.inventory.gone;
        record.workers.retain(|on| !known.contains_key(&on.minion));
        let members = self.startup.members.extract_if(.., |_, it| known.contains_key(&it.minion));
        for (worker, _) in members {
            self.startup.unaccounted.remove(&worker);
            self.startup.silent.remove(&worker);
        }
        (gone, record)
    }

    /// Leaves out the starts on workers that the stored list lacks: all leases there are over.
    fn drop_lapsed(&self, record: &mut UnansweredStarts) {
        if !self.unanswered.calls_outlive_incarnations && !self.handover.is_incomplete {
            record.workers.retain(|on| self.startup.members.contains_key(&on.worker));
        }
    }

    /// Loads when the starts can't be carried out any more that the record lacks, by the clock of the
    /// planner that wrote it if that is known.
    fn load_missing(&mut self, now: Moment, clock: Option<RemoteClock>, record: &UnansweredStarts) {
        let Some(missing) = &record.missing else { return };
        let until = Duration::from_millis(missing.until_clock_ms);
        let by_clock = clock.map(|clock| clock.local(until));
        let by_age = unanswered::shifted(now.steady, missing.left_ms);
        self.handover.missing_until = Some(by_clock.map_or(by_age, |until| until.min(by_age)));
        self.startup.has_lost_workers |= missing.has_lost_workers;
    }

    /// Returns for a successor when the starts can't be carried out any more that the record lacks.
    fn missing_starts(&self, now: Moment) -> Option<MissingStarts> {
        let until = self.handover.missing_until.filter(|_| self.handover.is_incomplete)?;
        Some(MissingStarts {
            left_ms: unanswered::in_ms(until) - unanswered::in_ms(now.steady),
            until_clock_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
            has_lost_workers: self.startup.has_lost_workers,
        })
    }

    /// Logs the starts of a loaded record, each with the generation of its agent's process.
    fn log_recorded(&mut self, record: &UnansweredStarts) {
        for on in &record.workers {
            let runs = on.tasks.iter().map(|task| {
                let UnansweredTask { job, occurrence, step, index, run, generation, .. } = task;
                format!("{job}/{occurrence}/{step}/{index}#{run}@{generation}")
            });
            let runs: Vec<String> = runs.collect();
            self.log(format!("worker={} recorded starts={}", on.worker, runs.join(",")));
        }
    }

    /// Records that a worker is lost, so that no list of it shows what starts have come to that the record
    /// may lack.
    pub(crate) fn lose_for_missing_starts(&mut self) {
        self.startup.has_lost_workers |= self.handover.is_incomplete;
        self.handover.is_settling |= self.handover.is_incomplete;
    }

    /// Ends the wait for starts that the record of the previous planner may lack, once all of them
    /// have expired and lists have shown what they have come to.
    pub(crate) fn check_expired(&mut self, now: Moment) {
        let Some(recovered_at) = self.startup.recovered_at else { return };
        if !self.handover.is_incomplete {
            return;
        }
        let until = self.handover.missing_until.unwrap_or_else(|| {
            self.handover.is_settling = true;
            recovered_at + options::START_EXPIRY
        });
        self.handover.missing_until = Some(until);
        let is_shown = |worker: &Worker| Self::is_shown(worker, until);
        // The leases of a worker that is lost are over.
        let may_go_on = self.startup.has_lost_workers && self.unanswered.calls_outlive_incarnations;
        let are_shown = !may_go_on && self.workers.values().all(is_shown);
        let grace = self.options.longest_lease_expiry();
        if now.steady >= until && (are_shown || now.steady >= until + grace) {
            self.handover.is_incomplete = false;
            self.handover.is_settling = true;
            self.needs_pass = true;
            self.log("all starts of earlier terms have expired".to_owned());
        }
    }
}
