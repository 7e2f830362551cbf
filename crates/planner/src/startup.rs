//! The start of a term: reads the store, records the term, and waits until the results of earlier
//! planners' orders are known.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    Expiry, Fleet, Job, Member, Progress, RunSegment, UnansweredStarts, length,
    task::{Task, WorkerName},
};
use sapphire_plan::speed::Belief;
use sapphire_store::call::{Call, Condition, Item, Put, Reply, Revision};

use crate::{
    accept,
    effect::Effect,
    event::{Moment, Operation},
    keys::{self, Key},
    options,
    planner::{Planner, estimate_kind},
    state::startup::{Phase, Sample},
    table::Entry,
    unanswered,
    worker::{Cause, Worker},
};

/// Time without a list of a worker after which the stored list calls it silent. Most report sooner, and
/// need no further write before they are granted a lease.
const SILENCE: Duration = Duration::from_millis(500);
/// Interval between searches for inherited groups that can't go on, while workers report. A pass follows
/// after the same time at the latest.
const GROUP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most run times that a planner learns from what earlier ones have recorded.
const MAX_SAMPLES: usize = 10_000;

/// Returns the run times that a record of progress has.
fn samples<'a>(job: &'a Job, progress: &'a Progress) -> impl Iterator<Item = Sample> + 'a {
    let known = progress.tallies.iter().filter(|tally| tally.is_done && tally.took_ms > 0);
    known.map(|tally| Sample {
        accepted_ms: job.accepted_ms,
        job: job.id.clone(),
        step: tally.step,
        took: Duration::from_millis(tally.took_ms),
    })
}

impl Planner {
    /// Begins to read the records of the store.
    pub(crate) fn begin(&mut self) {
        self.scan(String::new());
    }

    /// Requests the page of records after a key.
    fn scan(&mut self, after: String) {
        let prefix = keys::ALL.to_owned();
        let call = Call::Scan { prefix, after, may_be_stale: false };
        self.effects.push(Effect::Store(Operation::Scan, call));
    }

    /// Makes the read again that got no reply.
    pub(crate) fn retry_scan(&mut self, now: Moment) {
        if self.startup.retry_at.take_if(|at| now.steady >= *at).is_none() {
            return;
        }
        if self.startup.begun.is_empty() {
            self.scan(self.startup.after.clone());
        } else {
            self.read_begun(now);
        }
    }

    /// Handles a page of the store's records.
    pub(crate) fn handle_scan(&mut self, now: Moment, reply: Reply) {
        if self.startup.phase != Phase::Reading {
            return;
        }
        let Reply::Items { items, has_more, revision } = reply else {
            // The planner can do nothing else until the store replies, but a store that rejects
            // calls at once must not be called again at once.
            self.startup.retry_at = Some(now.steady + options::RETRY_DELAY);
            return;
        };
        // The pages are not a snapshot: later submissions are read from this revision on.
        let first = *self.startup.first_revision.get_or_insert(revision);
        let after = items.last().map(|item| item.key.clone());
        for item in items {
            self.load_item(now, item);
        }
        if has_more && let Some(after) = after {
            self.startup.after.clone_from(&after);
            self.scan(after);
            return;
        }
        self.intake.start(self.startup.began, first);
        self.find_begun();
        self.read_begun(now);
    }

    /// Loads a record. Those of jobs and of their progress are decoded at once, so that no more of them is
    /// kept than there is memory for; the others are few.
    fn load_item(&mut self, now: Moment, item: Item) {
        let Some(value) = &item.value else { return };
        match keys::parse(&item.key) {
            Key::Job(id) => self.load_job(now, id, value),
            Key::Progress(id) => self.load_progress(now, id, value, item.revision),
            Key::Cancel(id) => {
                self.startup.cancelled.insert(id.to_owned(), item.revision);
            }
            Key::Other => {}
            _ => self.startup.items.push(item),
        }
    }

    /// Loads the progress of a job. That of a job which was left out is read again with its record.
    fn load_progress(&mut self, now: Moment, id: &str, value: &Bytes, revision: Revision) {
        let Some(entry) = self.table.entries.get_mut(id) else {
            if self.load.left_out > 0 {
                self.startup.begun.insert(id.to_owned());
            }
            return;
        };
        match Progress::decode(&value[..]) {
            Ok(progress) => {
                entry.restore(&progress, revision, now);
                let done = &mut self.startup.done;
                let free = MAX_SAMPLES.saturating_sub(done.len());
                done.extend(samples(&entry.job, &progress).take(free));
                self.table.reckon(id);
            }
            Err(error) => self.log(format!("job={id} progress can't be decoded: {error}")),
        }
    }

    /// Finds the jobs that were left out although earlier planners may have started them.
    ///
    /// Guards against a task that runs again although it is done: its end would be acknowledged, and its
    /// job found later as one that has not begun.
    fn find_begun(&mut self) {
        if self.load.left_out == 0 {
            return;
        }
        let mut jobs = std::mem::take(&mut self.startup.begun);
        for item in &self.startup.items {
            let Some(value) = &item.value else { continue };
            match keys::parse(&item.key) {
                Key::Runs => {
                    let segment = RunSegment::decode(&value[..]).unwrap_or_default();
                    let runs = segment.workers.into_iter().flat_map(|on| on.runs);
                    jobs.extend(runs.map(|run| run.job));
                }
                Key::Unanswered(_) => {
                    let record = UnansweredStarts::decode(&value[..]).unwrap_or_default();
                    let tasks = record.workers.into_iter().flat_map(|on| on.tasks);
                    jobs.extend(tasks.map(|task| task.job));
                }
                _ => {}
            }
        }
        jobs.retain(|id| !self.table.entries.contains_key(id));
        self.startup.begun = jobs;
    }

    /// Reads the next record of a job that has to be loaded whatever memory there is; loads the others once
    /// there is none left.
    fn read_begun(&mut self, now: Moment) {
        let Some(id) = self.startup.begun.first().cloned() else {
            self.load_records(now);
            return;
        };
        let is_known = self.table.entries.contains_key(&id);
        let key = if is_known { keys::progress(&id) } else { keys::job(&id) };
        self.effects.push(Effect::Store(Operation::Begun, Call::Get { key }));
    }

    /// Handles the record of a job that has to be loaded, or that of its progress.
    pub(crate) fn handle_begun(&mut self, now: Moment, reply: Reply) {
        let Some(id) = self.startup.begun.first().cloned() else { return };
        let Reply::Value(value) = reply else {
            self.startup.retry_at = Some(now.steady + options::RETRY_DELAY);
            return;
        };
        let exists = value.revision > 0;
        if self.table.entries.contains_key(&id) {
            if exists {
                self.load_progress(now, &id, &value.bytes, value.revision);
            }
            self.startup.begun.remove(&id);
        } else {
            if exists {
                self.load.left_out = self.load.left_out.saturating_sub(1);
                self.insert_job(now, &id, &value.bytes, true);
            }
            if !self.table.entries.contains_key(&id) {
                self.startup.begun.remove(&id);
            }
        }
        self.read_begun(now);
    }

    /// Loads the records that were read, and begins to record the term in the store.
    fn load_records(&mut self, now: Moment) {
        let items = std::mem::take(&mut self.startup.items);
        let mut handover = Vec::new();
        let mut speeds = Vec::new();
        let mut runs = Vec::new();
        for item in &items {
            let Some(value) = &item.value else { continue };
            match keys::parse(&item.key) {
                Key::Fleet => self.load_fleet(now, value, item.revision),
                Key::Shares => self.load_shares(now, value, item.revision),
                Key::Unanswered(slot) => handover.push((slot, value, item.revision)),
                Key::Runs => runs.push((item.key.as_str(), value)),
                Key::Speeds(shard) => speeds.push((shard, value, item.revision)),
                _ => {}
            }
        }
        self.load_unanswered(now, &handover);
        self.load_speeds(speeds);
        self.load_runs(&runs);
        self.learn_restored();
        for (id, revision) in std::mem::take(&mut self.startup.cancelled) {
            self.cancel(now, &id, revision);
        }
        self.prepare_loaded_jobs(now);
        self.startup.term_number += 1;
        self.startup.phase = Phase::Recording;
        let (jobs, members) = (self.table.entries.len(), self.startup.members.len());
        let (term, left_out) = (self.term, self.load.left_out);
        let left_out = if left_out > 0 { format!(" left_out={left_out}") } else { String::new() };
        self.log(format!("term={term} read the store: jobs={jobs} workers={members}{left_out}"));
        let members = self.startup.members.values();
        let addresses = members.map(|member| member.address.clone()).collect();
        self.effects.push(Effect::Announce(addresses));
        self.write_fleet(now);
    }

    /// Learns run times from the tasks that were completed under earlier planners, the earliest
    /// jobs first. Otherwise each new planner would rely on declared times again.
    fn learn_restored(&mut self) {
        let mut done = std::mem::take(&mut self.startup.done);
        if !self.options.policy.keep_times {
            return;
        }
        done.sort_by_key(|sample| sample.accepted_ms);
        for Sample { job, step, took, .. } in done {
            let Some(entry) = self.table.entries.get(&job) else { continue };
            let Some(step) = entry.step(step) else { continue };
            let kind = estimate_kind(entry, step);
            let declared = length::declared(step);
            self.estimates.observe_kind(kind, declared, took);
            if self.speeds.is_enabled() {
                let history = &mut self.speed_state.history;
                history.record(kind, declared, took, Belief::REFERENCE);
            }
        }
    }

    /// Adds a job from its record, if there is memory for it.
    fn load_job(&mut self, now: Moment, id: &str, value: &Bytes) {
        self.insert_job(now, id, value, false);
    }

    fn insert_job(&mut self, now: Moment, id: &str, value: &Bytes, is_forced: bool) {
        match accept::read_record(id, value) {
            Ok(job) if is_forced || self.table.takes_record(&job) => {
                let submitted = accept::submission_time(now, &job);
                self.table.insert(Entry::new(Arc::new(job), true, submitted));
            }
            Ok(_) => self.load.left_out += 1,
            Err(error) => self.log(format!("job={id} record can't be decoded: {error}")),
        }
    }

    /// Loads the list of workers of earlier planners.
    fn load_fleet(&mut self, now: Moment, value: &Bytes, revision: Revision) {
        self.startup.fleet_revision = revision;
        let decoded = Fleet::decode(&value[..]).map_err(|error| error.to_string());
        let is_possible = |fleet: &Fleet| fleet.terms <= options::MAX_TERMS;
        let decoded = decoded.and_then(|fleet| {
            is_possible(&fleet).then_some(fleet).ok_or("invalid number of terms".to_owned())
        });
        match decoded {
            Ok(fleet) => {
                self.startup.term_number = fleet.terms;
                self.startup.recorded = minions(&fleet.members);
                self.startup.recorded_silent = self.silent(&fleet.members);
                self.startup.calls_outlive_incarnations = fleet.calls_outlive_incarnations;
                self.unanswered.calls_outlive_incarnations |= fleet.calls_outlive_incarnations;
                for member in fleet.members {
                    self.load_member(now, member);
                }
            }
            Err(error) => {
                // The number of the previous term is unknown, and with it whether the handover
                // record is that term's.
                self.handover.is_incomplete = true;
                self.log(format!("list of workers can't be decoded: {error}"));
            }
        }
    }

    /// Loads a worker of earlier planners. The lease that it may have ends some time after the beginning
    /// of the first term in which it was granted none, and after the longest outage in which a planner
    /// of the term before may have gone on.
    /// The record may also have the end of all its leases.
    fn load_member(&mut self, now: Moment, member: Member) {
        let name = member.name.clone();
        let began = self.startup.seen_terms.get(&member.silent_since);
        let silent_since = began.map_or(self.startup.began, |began| *began);
        let until = silent_since + self.options.lease_expiry() + options::MAX_STORE_OUTAGE;
        let lease_end = self.lease_end(now, member.lease.as_ref());
        let until = lease_end.map_or(until, |end| end.min(until));
        if lease_end.is_some() {
            self.startup.leases.insert(name.clone(), until);
        }
        self.startup.unaccounted.insert(name.clone(), until);
        if member.silent_since > 0 {
            self.startup.silent.insert(name.clone(), member.silent_since);
        }
        if !member.vm.is_empty() {
            self.inventory.vms.insert(member.minion.clone(), member.vm.clone());
        }
        self.startup.members.insert(name, Member { silent_since: 0, lease: None, ..member });
    }

    /// Returns the end of a worker's leases that an earlier planner has recorded, by the clock of that
    /// planner if it is known. Where calls outlive incarnations, a next incarnation may have got another
    /// lease by a late call.
    fn lease_end(&self, now: Moment, lease: Option<&Expiry>) -> Option<Duration> {
        let lease = lease.filter(|_| !self.unanswered.calls_outlive_incarnations)?;
        let by_left = unanswered::shifted(now.steady, lease.left_ms);
        let clock = self.startup.clocks.get(&lease.term);
        let by_clock = clock.map(|clock| clock.local(Duration::from_millis(lease.clock_ms)));
        Some(by_clock.map_or(by_left, |end| end.min(by_left)))
    }

    /// Returns the workers that a stored list calls silent, with the time at which all their leases are over
    /// as a successor would reckon at the earliest. It is known only of ends that this term has recorded: a
    /// successor may know more of the clocks of earlier terms, and an earlier time for the beginning of this
    /// one.
    fn silent(&self, members: &[Member]) -> BTreeMap<WorkerName, Duration> {
        let silent = members.iter();
        let silent = silent.filter(|member| member.silent_since > 0 || member.lease.is_some());
        let end = |member: &Member| {
            let own = member.lease.as_ref().filter(|lease| lease.term == self.term);
            let own = own.filter(|_| member.silent_since == 0);
            own.map_or(Duration::ZERO, |lease| Duration::from_millis(lease.clock_ms))
        };
        silent.map(|member| (member.name.clone(), end(member))).collect()
    }

    /// Returns whether workers of the earlier term are still about to report.
    ///
    /// Guards against work that is stopped, or placed where it is slower, although idle workers report
    /// a moment later.
    pub(crate) fn awaits_workers(&self, now: Moment) -> bool {
        let startup = &self.startup;
        !startup.unaccounted.is_empty()
            && startup.served_at.is_none_or(|at| now.steady < at + SILENCE)
    }

    /// Has the stored list say which workers are silent, so that a successor goes on counting.
    fn record_silent(&mut self, now: Moment) {
        let startup = &mut self.startup;
        if startup.served_at.is_none_or(|at| now.steady < at + SILENCE) {
            return;
        }
        for name in startup.unaccounted.keys() {
            startup.is_fleet_dirty |= startup.silent.insert(name.clone(), self.term).is_none();
        }
    }

    /// Has the stored list say when the leases of the workers are over that are out of contact, so that a
    /// successor knows the time. While it says so, they are granted none that ends later.
    ///
    /// Guards against work that stands for the longest lease after each change of planners, although
    /// the worker that it waits for was silent before.
    pub(crate) fn record_leases(&mut self, now: Moment) {
        if !self.startup.is_serving() {
            return;
        }
        let mut leases = BTreeMap::new();
        if !self.unanswered.calls_outlive_incarnations {
            let startup = &self.startup;
            let has_waited = startup.served_at.is_some_and(|at| now.steady >= at + SILENCE);
            let unaccounted = startup.unaccounted.iter();
            leases.extend(
                unaccounted
                    .filter(|(name, _)| has_waited || startup.leases.contains_key(*name))
                    .map(|(name, until)| (name.clone(), *until)),
            );
            let silent = self.workers.iter().filter(|(name, worker)| {
                now.steady >= worker.last_contact + options::SILENCE_TIMEOUT
                    && !startup.unaccounted.contains_key(*name)
                    && (!worker.runs.is_empty() || self.unanswered.is_any_on(name))
            });
            let lease_expiry = self.options.lease_expiry();
            leases
                .extend(silent.map(|(name, worker)| {
                    (name.clone(), worker.lost_at(now.steady, lease_expiry))
                }));
        }
        if leases != self.startup.leases {
            self.startup.leases = leases;
            self.startup.is_fleet_dirty = true;
        }
    }

    /// Has the stored list no longer call a worker silent that has polled, so that it is granted leases.
    /// A worker of earlier planners has to be accounted for first.
    pub(crate) fn end_silence(&mut self, now: Moment, name: &str) {
        let is_silent = !self.startup.unaccounted.contains_key(name)
            && self.startup.leases.remove(name).is_some();
        if is_silent {
            self.startup.is_fleet_dirty = true;
            self.write_fleet(now);
        }
    }

    /// Closes loaded jobs that have ended, and adds the due occurrences of the others.
    fn prepare_loaded_jobs(&mut self, now: Moment) {
        let is_over = |entry: &Entry| entry.is_over();
        let ended: Vec<String> = (self.table.entries.iter())
            .filter(|(_, entry)| is_over(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.table.open.remove(&id);
        }
        let runs: Vec<Task> = self.run_log.tasks().cloned().collect();
        for task in runs {
            self.table.add_known(now, &task.job, task.occurrence);
        }
        let due = self.table.add_due_occurrences(now);
        self.log_held(&due);
    }

    /// Writes the list of workers if the stored one is out of date. The first write of a term also
    /// contains the handover record, so that it is always known whether the latest term has one.
    pub(crate) fn write_fleet(&mut self, now: Moment) {
        let startup = &mut self.startup;
        if !startup.is_fleet_dirty || startup.is_writing_fleet || startup.phase == Phase::Reading {
            return;
        }
        startup.is_fleet_dirty = false;
        startup.is_writing_fleet = true;
        let fleet = startup.fleet(now.steady, self.term);
        startup.recording = minions(&fleet.members);
        self.startup.recording_silent = self.silent(&fleet.members);
        let startup = &mut self.startup;
        let value = Bytes::from(fleet.encode_to_vec());
        let mut conditions = vec![
            Condition { key: keys::LEAD.to_owned(), revision: self.term },
            Condition { key: keys::FLEET.to_owned(), revision: startup.fleet_revision },
        ];
        let mut puts = vec![Put { key: keys::FLEET.to_owned(), value, lease: None }];
        let mut removes = Vec::new();
        if startup.phase == Phase::Recording {
            // No other write of the record is on its way.
            if let Some(record) = self.begin_record(now) {
                conditions.extend(record.conditions);
                puts.extend(record.puts);
                removes = record.removes;
            }
        }
        let call = Call::Commit { conditions, puts, removes };
        self.effects.push(Effect::Store(Operation::Fleet, call));
    }

    /// Handles the reply to a write of the list of workers.
    pub(crate) fn fleet_written(&mut self, now: Moment, reply: Reply) {
        self.startup.is_writing_fleet = false;
        match reply {
            Reply::Committed(revision) => {
                self.startup.fleet_revision = revision;
                self.startup.recorded = std::mem::take(&mut self.startup.recording);
                let startup = &mut self.startup;
                startup.recorded_silent = std::mem::take(&mut startup.recording_silent);
                let has_reported = |name| {
                    !startup.unaccounted.contains_key(name) && !startup.leases.contains_key(name)
                };
                startup.is_fleet_dirty |= startup.recorded_silent.keys().any(has_reported);
                if self.startup.phase == Phase::Recording {
                    self.handover.written(self.handover.latest, revision);
                    self.run_log.written(self.handover.latest);
                    self.serve(now);
                }
                self.write_fleet(now);
                self.needs_pass = true;
            }
            Reply::Refused(items) => {
                if self.is_deposed_by(&items) {
                    return;
                }
                // An earlier write of this term, whose reply was lost, has been carried out.
                let found = items.iter().find(|item| item.key == keys::FLEET);
                self.startup.fleet_revision = found.map_or(0, |item| item.revision);
                let members = found.map_or_else(Vec::new, members);
                self.startup.recorded = minions(&members);
                self.startup.recorded_silent = self.silent(&members);
                self.startup.is_fleet_dirty = true;
                if self.startup.phase == Phase::Recording {
                    self.run_log.lost(self.handover.latest);
                }
                if self.startup.phase == Phase::Recording
                    && let Some(slot) = self.handover.in_flight.remove(&self.handover.latest)
                {
                    self.adopt_record(slot, &items);
                }
                self.write_fleet(now);
            }
            _ => {
                self.startup.is_fleet_dirty = true;
                // The write may still be carried out.
                let startup = &mut self.startup;
                for (name, end) in std::mem::take(&mut startup.recording_silent) {
                    let known = startup.recorded_silent.entry(name).or_insert(end);
                    *known = end.min(*known);
                }
                let recording = std::mem::take(&mut startup.recording);
                startup.recorded.retain(|name, minion| recording.get(name) == Some(minion));
                if self.startup.phase == Phase::Recording {
                    self.run_log.lost(self.handover.latest);
                    self.handover.in_flight.clear();
                }
            }
        }
    }

    /// Returns whether the items of a refused write show that another planner has taken over. If
    /// so, logs the end of the term and emits [`Effect::Deposed`].
    pub(crate) fn is_deposed_by(&mut self, items: &[Item]) -> bool {
        let lead = items.iter().find(|item| item.key == keys::LEAD);
        let is_deposed = lead.is_none_or(|item| item.revision != self.term);
        if is_deposed {
            let term = self.term;
            let newer = lead.map_or(0, |item| item.revision);
            self.log(format!("term={term} is over: the leader key has revision {newer}"));
            self.effects.push(Effect::Deposed);
        }
        is_deposed
    }

    /// Begins to serve agents and entries, once the term is recorded in the store.
    fn serve(&mut self, now: Moment) {
        self.startup.phase = Phase::Serving;
        self.startup.served_at = Some(now.steady);
        let (term, took) = (self.term, now.steady.saturating_sub(self.startup.began));
        self.log(format!("term={term} serves after {} ms", took.as_millis()));
        self.answer_early_polls();
        self.check_recovered(now);
    }

    /// Adds a worker to the stored list, which must contain it before it gets any task.
    ///
    /// Guards against a task that runs twice: a successor must know every minion that may be
    /// running tasks, including those that it cannot reach.
    /// The list names its minion, so that the successor also knows what is over once the platform's
    /// inventory lacks that minion.
    pub(crate) fn add_member(&mut self, now: Moment, worker: &str, address: &str, minion: &str) {
        let (name, address) = (worker.to_owned(), address.to_owned());
        let vm = self.inventory.vms.get(minion).cloned().unwrap_or_default();
        let minion = minion.to_owned();
        let member = Member { name, address, minion, silent_since: 0, vm, lease: None };
        if self.startup.members.get(worker) != Some(&member) {
            self.startup.members.insert(worker.to_owned(), member);
            self.startup.is_fleet_dirty = true;
            self.write_fleet(now);
        }
    }

    /// Removes a worker from the stored list once nothing can be running there.
    pub(crate) fn remove_member(&mut self, worker: &str) {
        if self.startup.members.remove(worker).is_some() {
            self.startup.is_fleet_dirty = true;
        }
    }

    /// Checks whether all orders of earlier planners are accounted for: each worker has
    /// acknowledged this term's token, has no minion, or its lease has certainly expired. None is granted
    /// while its minion seems to be absent.
    pub(crate) fn check_recovered(&mut self, now: Moment) {
        if self.startup.is_recovered() || !self.startup.is_serving() {
            return;
        }
        let workers = &self.workers;
        let is_over =
            |worker: &Worker| worker.absence.is_some() && now.steady >= worker.lease_expires_at;
        let is_known = |worker: &Worker| worker.is_fenced || worker.is_vacant || is_over(worker);
        let is_accounted_for =
            |name: &WorkerName, _: &mut Duration| workers.get(name).is_some_and(is_known);
        let accounted = self.startup.unaccounted.extract_if(.., is_accounted_for);
        let accounted: Vec<WorkerName> = accounted.map(|(name, _)| name).collect();
        let is_lost = |name: &WorkerName, until: &mut Duration| {
            let is_just_back = workers.get(name).is_some_and(|it| it.is_just_back(now.steady));
            let inquiry = if is_just_back { options::INQUIRY_TIMEOUT } else { Duration::ZERO };
            now.steady >= *until + inquiry
        };
        let lost = self.startup.unaccounted.extract_if(.., is_lost);
        let lost: Vec<WorkerName> = lost.map(|(name, _)| name).collect();
        self.startup.has_lost_workers |= !lost.is_empty();
        for worker in &lost {
            self.remove_member(worker);
            self.unanswered.lapse(now.steady, worker);
            self.log(format!("worker={worker} no contact since the term began; declared lost"));
        }
        self.account_for(now, accounted);
        self.account_for(now, lost);
        if !self.startup.unaccounted.is_empty() {
            self.record_silent(now);
            if now.steady >= self.startup.groups_checked_at + GROUP_CHECK_INTERVAL {
                self.startup.groups_checked_at = now.steady;
                self.stop_partial_gangs(now);
                self.fail_exhausted(now);
            }
            return;
        }
        self.startup.recovered_at = Some(now.steady);
        self.remove_lost_members();
        self.handover.is_outdated |= !self.startup.are_runs_logged;
        self.needs_pass = true;
        let term = self.term;
        self.log(format!("term={term} knows what earlier orders have come to"));
        self.stop_partial_gangs(now);
        self.fail_exhausted(now);
    }

    /// Removes the workers from the stored list that were lost while others weren't accounted for yet.
    ///
    /// Guards against a successor that waits for the leases of workers which are over.
    fn remove_lost_members(&mut self) {
        let (startup, workers) = (&mut self.startup, &self.workers);
        let count = startup.members.len();
        startup.members.retain(|name, _| workers.contains_key(name));
        startup.is_fleet_dirty |= startup.members.len() < count;
    }

    /// Records that nothing else runs on some workers than what is known.
    fn account_for(&mut self, now: Moment, workers: Vec<WorkerName>) {
        self.needs_pass |= !workers.is_empty();
        for worker in workers {
            self.retain_logged(&worker);
            self.startup.silent.remove(&worker);
            self.startup.leases.remove(&worker);
            self.startup.is_fleet_dirty |= self.startup.recorded_silent.contains_key(&worker);
        }
        self.write_fleet(now);
    }

    /// Stops gangs of an earlier term that lack members, since they cannot continue.
    fn stop_partial_gangs(&mut self, now: Moment) {
        let mut partial = Vec::new();
        for (id, entry) in self.table.entries.iter().filter(|(_, entry)| entry.is_inherited) {
            for (key, group) in &entry.groups {
                let Some(active) = group.active() else { continue };
                let Some(step) = entry.step(key.step).filter(|step| step.is_gang) else { continue };
                let is_partial = active.unfinished.len() < step.tasks as usize;
                if is_partial && !active.is_stopping && !self.is_held(entry, key) {
                    partial.push((id.clone(), *key));
                }
            }
        }
        for (id, key) in partial {
            self.log(format!("job={id} step={} gang is incomplete; stopped", key.step));
            self.stop_group(now.steady, &id, &key, &Cause::Gang);
        }
    }
}

/// Returns the workers in a record; none if the record cannot be read.
fn members(item: &Item) -> Vec<Member> {
    let fleet = item.value.as_ref().and_then(|value| Fleet::decode(&value[..]).ok());
    fleet.unwrap_or_default().members
}

/// Returns the minions of workers.
fn minions(members: &[Member]) -> BTreeMap<WorkerName, String> {
    members.iter().map(|member| (member.name.clone(), member.minion.clone())).collect()
}
