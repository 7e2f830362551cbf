//! The job table: accepted jobs that have not been removed yet.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use sapphire_jobs::{
    Job, Progress, State, Step, Tally, footprint, length,
    resources::Resources,
    task::{GroupKey, JobId, Task},
};
use sapphire_plan::{
    estimate::Sample,
    waves::{self, Width},
};

use crate::{
    account::{Account, Kept},
    event::{Moment, Record},
    group::{Group, Observation, Phase},
    idle, options,
};

/// How soon a change of progress must be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// At once, since somebody waits for it.
    Immediate,
    /// Soon; it may wait a little to be written together with other changes.
    Soon,
    /// Later; its loss costs only work that is done again.
    Deferred,
}

/// Progress that is not durable yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dirty {
    /// Time by which it must be written.
    pub due: Duration,
    /// Urgency of its most urgent change.
    pub urgency: Urgency,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The job's record.
    pub job: Record,
    /// Groups of the occurrences that have become due.
    pub groups: BTreeMap<GroupKey, Group>,
    /// Number of occurrences, from the first, whose groups have been added. Later ones have been added
    /// only if something is known of their tasks.
    pub occurrences: u32,
    /// Number of occurrences, from the first, all of whose groups are done and are kept no more.
    pub completed: u32,
    /// Bytes that are reckoned for it.
    pub kept: Kept,
    /// Time since which a due occurrence waits for memory.
    pub held_since: Option<Duration>,
    /// State as known to this planner.
    pub state: State,
    /// State that callers are shown; never ahead of what is durable.
    pub reported_state: State,
    /// A task has started.
    pub has_begun: bool,
    /// A group had to wait only because starts of others were pending on the workers.
    pub is_held: bool,
    /// Time since which it has nothing running although capacity is spare.
    pub idle_since: Option<Duration>,
    /// Time for which that was so before. A job of an earlier term has waited for the end of the
    /// take-over, so that its time does not begin anew with each planner.
    pub idled: Duration,
    /// The log says that a group waits because free workers are in cordoned zones.
    pub is_cordon_logged: bool,
    /// Revision of the job's progress in the store.
    pub revision: u64,
    /// Number of the latest change of its progress.
    pub last_change: u64,
    /// Number of the latest change whose loss could make a task run once too often.
    pub last_critical_change: u64,
    /// Number of the latest change that is durable.
    pub committed_change: u64,
    /// Progress that has to be written.
    pub dirty: Option<Dirty>,
    /// Version of the table at which the state that callers are shown last changed.
    pub version: u64,
    /// An earlier planner may have started the job.
    pub is_inherited: bool,
    /// Time of submission, on this planner's steady clock.
    pub submitted: Duration,
    /// Time of the job's end, on this planner's steady clock.
    pub ended: Option<Duration>,
    /// Number of tasks of each step that fit on the workers of its service at the same time; 0
    /// while not known.
    pub step_capacity: Vec<u64>,
    /// Observed run times of the tasks of each step.
    pub step_samples: Vec<Option<Sample>>,
}

impl Entry {
    /// Returns a job of which only the record is known.
    pub fn new(job: Record, is_inherited: bool, submitted: Duration) -> Self {
        Entry {
            job,
            submitted,
            groups: BTreeMap::new(),
            occurrences: 0,
            completed: 0,
            kept: Kept::default(),
            held_since: None,
            state: State::Queued,
            reported_state: State::Queued,
            has_begun: false,
            is_held: false,
            idle_since: None,
            idled: if is_inherited { idle::IDLE_LIMIT } else { Duration::ZERO },
            is_cordon_logged: false,
            revision: 0,
            last_change: 0,
            last_critical_change: 0,
            committed_change: 0,
            dirty: None,
            version: 0,
            is_inherited,
            ended: None,
            step_capacity: Vec::new(),
            step_samples: Vec::new(),
        }
    }

    /// Returns whether the job has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Complete | State::Failed | State::Cancelled)
    }

    /// Returns a step by its number.
    pub fn step(&self, index: u32) -> Option<&Step> {
        self.job.steps.get(index as usize)
    }

    /// Adds the groups of an occurrence.
    fn add_occurrence(&mut self, now: Moment, occurrence: u32) {
        for (index, step) in self.job.steps.iter().enumerate() {
            let count = if step.is_gang { 1 } else { step.tasks };
            for task in 0..count {
                let key = GroupKey { occurrence, step: index as u32, index: task };
                self.groups.entry(key).or_insert_with(|| Group::new(now.steady));
            }
        }
    }

    /// Adds the groups of an occurrence of which something is known, if it is due and they are missing.
    /// Returns whether it did.
    fn add_known(&mut self, now: Moment, occurrence: u32) -> bool {
        let is_due = (self.occurrences..self.repetitions()).contains(&occurrence)
            && self.due(occurrence) <= now.unix;
        let is_missing = is_due && self.groups.range(of_occurrence(occurrence)).next().is_none();
        if is_missing {
            self.add_occurrence(now, occurrence);
        }
        is_missing
    }

    /// Returns whether all tasks of an occurrence are done and are kept no more.
    pub(crate) fn is_completed(&self, occurrence: u32) -> bool {
        occurrence < self.completed
    }

    /// Returns whether the next occurrence is due and its groups have not been added.
    fn is_next_due(&self, now: Moment) -> bool {
        self.next_due().is_some_and(|due| due <= now.unix)
    }

    /// Returns the bytes to reckon for it.
    fn footprint(&self) -> Kept {
        let record = footprint::record(&self.job.spec, &self.job.steps);
        Kept { record, groups: self.groups.len() as u64 * footprint::GROUP }
    }

    /// Drops the groups of occurrences that are done, from the first on. Their number is all that is
    /// recorded of them.
    fn drop_completed(&mut self) {
        while self.completed < self.occurrences {
            let mut groups = self.groups.range(of_occurrence(self.completed));
            if !groups.all(|(_, group)| group.phase == Phase::Done) {
                return;
            }
            let next = GroupKey { occurrence: self.completed + 1, step: 0, index: 0 };
            self.groups = self.groups.split_off(&next);
            self.completed += 1;
        }
    }

    /// Returns how often the job runs.
    fn repetitions(&self) -> u32 {
        self.job.schedule.as_ref().map_or(1, |schedule| schedule.times)
    }

    /// Returns the Unix time at which an occurrence is due. It is slightly later than requested,
    /// since clocks differ and a start before the requested time is an error while a late one costs
    /// little.
    fn due(&self, occurrence: u32) -> Duration {
        const MARGIN: Duration = Duration::from_millis(40);
        let Some(schedule) = &self.job.schedule else { return Duration::ZERO };
        let after = schedule.interval_ms.saturating_mul(occurrence.into());
        Duration::from_millis(schedule.first_ms.saturating_add(after)) + MARGIN
    }

    /// Returns the Unix time at which the next occurrence is due, if there is one.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.is_over() && self.occurrences < self.repetitions())
            .then(|| self.due(self.occurrences))
    }

    /// Restores the progress that is recorded in the store. Nothing is kept of the tasks of a job that is
    /// over.
    pub fn restore(&mut self, progress: &Progress, revision: u64, now: Moment) {
        self.revision = revision;
        self.state = progress.state();
        self.reported_state = self.state;
        self.has_begun |= !progress.tallies.is_empty() || progress.completed > 0;
        if self.is_over() {
            self.ended = Some(now.steady);
            return;
        }
        self.completed = progress.completed.min(self.repetitions());
        self.occurrences = self.completed;
        for tally in &progress.tallies {
            let key =
                GroupKey { occurrence: tally.occurrence, step: tally.step, index: tally.index };
            self.add_known(now, key.occurrence);
            let Some(group) = self.groups.get_mut(&key) else { continue };
            group.failed_runs = tally.failed_runs.iter().copied().collect();
            group.run = group.failed_runs.last().copied().unwrap_or(0);
            group.checkpoint.clone_from(&tally.checkpoint);
            if tally.is_done {
                group.phase = Phase::Done;
            }
            if tally.took_ms > 0 {
                let run_time = Duration::from_millis(tally.took_ms);
                group.observation = Some(Box::new(Observation::healthy(run_time, "", 0)));
            }
        }
        if self.has_begun {
            self.state = State::Active;
            self.reported_state = State::Active;
        }
    }

    /// Returns the progress that has to be durable.
    pub fn progress(&self) -> Progress {
        let has_progress = |group: &&Group| {
            group.phase == Phase::Done
                || !group.failed_runs.is_empty()
                || !group.checkpoint.is_empty()
        };
        let tallies =
            self.groups.iter().filter(|(_, group)| has_progress(group)).map(|(key, group)| Tally {
                occurrence: key.occurrence,
                step: key.step,
                index: key.index,
                is_done: group.phase == Phase::Done,
                failed_runs: group.failed_runs.iter().copied().collect(),
                checkpoint: if group.is_final() { String::new() } else { group.checkpoint.clone() },
                took_ms: group.took_ms(),
            });
        Progress { tallies: tallies.collect(), state: self.state.into(), completed: self.completed }
    }

    /// Records a change of progress that must become durable. Returns its number.
    pub fn record_change(&mut self, now: Duration, urgency: Urgency) -> u64 {
        self.last_change += 1;
        if urgency != Urgency::Deferred {
            self.last_critical_change = self.last_change;
        }
        let wait = match urgency {
            Urgency::Immediate => Duration::ZERO,
            Urgency::Soon => options::WRITE_DELAY,
            Urgency::Deferred => options::CHECKPOINT_WRITE_DELAY,
        };
        let dirty = self.dirty.get_or_insert(Dirty { due: now + wait, urgency });
        dirty.due = dirty.due.min(now + wait);
        dirty.urgency = dirty.urgency.min(urgency);
        self.last_change
    }

    /// Returns whether the steps that a group depends on are done.
    pub fn is_unblocked(&self, key: &GroupKey) -> bool {
        let Some(step) = self.step(key.step) else { return false };
        step.after.iter().all(|earlier| self.is_step_done(key.occurrence, *earlier))
    }

    /// Returns the groups that wait, and whose earlier steps are done.
    pub fn due_groups(&self) -> impl Iterator<Item = (&GroupKey, &Group)> {
        let is_due = |(key, group): &(&GroupKey, &Group)| {
            group.phase == Phase::Waiting && self.is_unblocked(key)
        };
        self.groups.iter().filter(is_due)
    }

    /// Returns whether all tasks of a step are done.
    fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let mut groups = self.groups.range(step_groups(occurrence, step)).peekable();
        groups.peek().is_some() && groups.all(|(_, group)| group.phase == Phase::Done)
    }

    /// Returns whether all tasks have succeeded.
    pub fn is_all_done(&self) -> bool {
        self.occurrences == self.repetitions()
            && self.groups.values().all(|group| group.phase == Phase::Done)
    }

    /// Returns the accelerators that the initial steps take at the same time.
    pub fn accelerators(&self) -> u64 {
        length::initial_accelerators(&self.job.steps)
    }

    /// Returns the run time of the critical path through the unfinished tasks, with as few waves as
    /// possible.
    pub fn remaining_path(&self, run_time: impl Fn(u32) -> Duration) -> Duration {
        let last = self.occurrences.saturating_sub(1);
        let mut index = 0;
        length::critical_path(&self.job.steps, |_| {
            let width = Width { tasks: self.unfinished_tasks(last, index), ..self.width(index) };
            index += 1;
            if width.tasks == 0 {
                Duration::ZERO
            } else {
                run_time(index - 1) * waves::at_best(width)
            }
        })
    }

    /// Returns the run time of the critical path through all steps, with the number of waves that
    /// its caller must allow for.
    pub fn critical_path(&self, run_time: impl Fn(u32) -> Duration) -> Duration {
        let mut index = 0;
        length::critical_path(&self.job.steps, |_| {
            let width = self.width(index);
            index += 1;
            run_time(index - 1) * waves::allowed(width)
        })
    }

    /// Returns the width of a step. The members of a gang run at the same time, so that a gang
    /// counts as one task.
    pub fn width(&self, step: u32) -> Width {
        let tasks = self.step(step).map_or(0, |step| if step.is_gang { 1 } else { step.tasks });
        let fits = self.step_capacity.get(step as usize).copied().unwrap_or(0);
        Width { tasks, fits }
    }

    /// Returns the number of unfinished tasks of a step; a gang counts as one.
    pub fn unfinished_tasks(&self, occurrence: u32, step: u32) -> u32 {
        if self.is_completed(occurrence) {
            return 0;
        }
        let groups = self.groups.range(step_groups(occurrence, step));
        let mut count = 0;
        let mut is_any = false;
        for (_, group) in groups {
            is_any = true;
            count += u32::from(group.phase != Phase::Done);
        }
        if is_any { count } else { self.width(step).tasks }
    }
}

/// All jobs, with the version of each change.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Jobs by identifier.
    pub entries: BTreeMap<JobId, Entry>,
    /// Jobs that may still have tasks to run.
    pub open: BTreeSet<JobId>,
    /// Version of the table, incremented with each change that callers are shown.
    pub version: u64,
    /// Jobs that were removed, with the version of the removal; the latest ones.
    pub removed: VecDeque<(u64, JobId)>,
    /// Version up to which removals are forgotten.
    pub forgotten: u64,
    /// Memory that is reckoned for the jobs.
    pub account: Account,
}

/// Jobs whose occurrences have become due.
#[derive(Clone, Debug, Default)]
pub(crate) struct Due {
    /// Jobs to which groups were added.
    pub(crate) added: Vec<JobId>,
    /// Jobs that begin to wait for memory.
    pub(crate) held: Vec<JobId>,
}

/// Number of removals that are kept for the entries. One that has missed more gets all jobs.
const KEPT_REMOVALS: usize = 4_096;
/// Number of groups from which on those of a repeated job are dropped once their occurrence is done.
const KEPT_GROUPS: usize = 1_024;

impl Table {
    /// Adds a job unless it is known. Returns whether it was added.
    pub fn insert(&mut self, entry: Entry) -> bool {
        let id = entry.job.id.clone();
        if self.entries.contains_key(&id) {
            return false;
        }
        self.version += 1;
        if !entry.is_over() {
            self.open.insert(id.clone());
        }
        self.entries.insert(id.clone(), Entry { version: self.version, ..entry });
        self.reckon(&id);
        true
    }

    /// Returns whether there is room for the record of a job.
    pub fn takes_record(&self, job: &Job) -> bool {
        let bytes = footprint::record(&job.spec, &job.steps);
        self.account.takes_record(job.priority == 0, bytes)
    }

    /// Reckons the memory that is kept for a job anew.
    pub(crate) fn reckon(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let footprint = entry.footprint();
        let before = std::mem::replace(&mut entry.kept, footprint);
        self.account.change(before, entry.kept);
    }

    /// Adds the groups of an occurrence of which something is known, beyond the memory for jobs if need be.
    ///
    /// Guards against a task that runs again although its end was acknowledged: an earlier planner, with
    /// more memory, has started it. Rows of another writer add no more than the runs' memory.
    pub(crate) fn add_known(&mut self, now: Moment, id: &str, occurrence: u32) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_over()) else { return };
        if occurrence >= entry.occurrences
            && self.account.can_exceed(footprint::occurrence(&entry.job.steps))
            && entry.add_known(now, occurrence)
        {
            self.reckon(id);
        }
    }

    /// Adds the groups of occurrences that have become due, as far as there is memory for them: one at a
    /// time to the jobs that take least. Returns the jobs that got some, and those that begin to wait.
    pub(crate) fn add_due_occurrences(&mut self, now: Moment) -> Due {
        let is_due = |id: &&JobId| self.entries.get(*id).is_some_and(|it| it.is_next_due(now));
        let due: Vec<JobId> = self.open.iter().filter(is_due).cloned().collect();
        self.add_occurrences_of(now, due)
    }

    /// The same for these jobs alone.
    pub(crate) fn add_occurrences_of(&mut self, now: Moment, jobs: Vec<JobId>) -> Due {
        let mut waiting: BTreeSet<(u64, JobId)> = (jobs.into_iter())
            .filter_map(|id| Some((self.entries.get(&id)?.kept.all(), id)))
            .collect();
        let mut due = Due::default();
        while let Some((kept, id)) = waiting.pop_first() {
            let Some(entry) = self.entries.get_mut(&id).filter(|it| it.is_next_due(now)) else {
                continue;
            };
            let is_urgent = entry.job.priority == 0;
            let more = footprint::occurrence(&entry.job.steps);
            // Without groups the next occurrence is all that can be at work.
            let is_first = entry.groups.is_empty();
            if !self.account.takes(is_urgent, kept, more, is_first) {
                let before = entry.groups.len();
                entry.drop_completed();
                if entry.groups.len() < before {
                    self.reckon(&id);
                    waiting.extend(self.entries.get(&id).map(|entry| (entry.kept.all(), id)));
                    continue;
                }
                if entry.held_since.is_none() {
                    entry.held_since = Some(now.steady);
                    due.held.push(id);
                }
                continue;
            }
            entry.held_since = None;
            let next = entry.occurrences;
            entry.add_occurrence(now, next);
            entry.occurrences = next + 1;
            self.reckon(&id);
            let kept = self.entries.get(&id).map_or(kept, |entry| entry.kept.all());
            if due.added.last() != Some(&id) {
                due.added.push(id.clone());
            }
            waiting.insert((kept, id));
        }
        due
    }

    /// Drops what is kept of the occurrences of a job that are done, if that is much.
    pub(crate) fn drop_completed(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.repetitions() > 1 && entry.groups.len() > KEPT_GROUPS {
            entry.drop_completed();
            self.reckon(id);
        }
    }

    /// Drops the groups of a job that is over, whose state is all that callers are told. Those that have run
    /// stay while starts of them may still be carried out.
    pub(crate) fn drop_groups(&mut self, now: Duration, id: &str) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.is_over()) else { return };
        let has_expired = entry.ended.is_some_and(|ended| now >= ended + options::START_EXPIRY);
        let may_run = |group: &Group| group.active().is_some() || group.run > 0 && !has_expired;
        entry.groups.retain(|_, group| may_run(group));
        entry.held_since = None;
        self.reckon(id);
    }

    /// Drops the groups of jobs that have been over for long.
    pub(crate) fn drop_ended(&mut self, now: Duration) {
        let is_old = |entry: &Entry| {
            let is_durable = entry.dirty.is_none() && !entry.groups.is_empty();
            is_durable && entry.ended.is_some_and(|ended| now >= ended + options::START_EXPIRY)
        };
        let ended: Vec<JobId> = (self.entries.iter())
            .filter(|(_, entry)| is_old(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.drop_groups(now, &id);
        }
    }

    /// Returns the number of groups of all jobs.
    pub fn groups(&self) -> usize {
        self.entries.values().map(|entry| entry.groups.len()).sum()
    }

    /// Returns the jobs with an occurrence that waits for memory, with the time that it has waited.
    pub(crate) fn held_jobs(&self, now: Moment) -> BTreeMap<JobId, Duration> {
        let held = self.open.iter().filter_map(|id| {
            let since = self.entries.get(id)?.held_since?;
            Some((id.clone(), now.steady.saturating_sub(since)))
        });
        held.collect()
    }

    /// Returns the number of jobs that have an occurrence which waits for memory.
    pub fn held(&self) -> usize {
        self.entries.values().filter(|entry| entry.held_since.is_some()).count()
    }

    /// Returns the resources of a task; nothing if its job is not known.
    pub fn resources(&self, task: &Task) -> Resources {
        let step = self.entries.get(&task.job).and_then(|entry| entry.step(task.step));
        Resources::read(step.and_then(|step| step.room.as_ref()))
    }

    /// Sets the state of a job that callers are shown.
    pub fn report_state(&mut self, id: &str, state: State) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.reported_state != state {
            entry.reported_state = state;
            self.version += 1;
            entry.version = self.version;
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &str) {
        self.open.remove(id);
        if let Some(entry) = self.entries.remove(id) {
            self.account.change(entry.kept, Kept::default());
            self.version += 1;
            self.removed.push_back((self.version, id.to_owned()));
            if self.removed.len() > KEPT_REMOVALS
                && let Some((version, _)) = self.removed.pop_front()
            {
                self.forgotten = version;
            }
        }
    }
}

/// Returns the range of keys of the groups of a task's step, in the task's occurrence.
pub fn step_range(task: &Task) -> std::ops::RangeInclusive<GroupKey> {
    step_groups(task.occurrence, task.step)
}

/// Returns the range of keys of the groups of a step in one occurrence.
pub fn step_groups(occurrence: u32, step: u32) -> std::ops::RangeInclusive<GroupKey> {
    let key = |index| GroupKey { occurrence, step, index };
    key(0)..=key(u32::MAX)
}

/// Returns the range of keys of the groups of an occurrence.
fn of_occurrence(occurrence: u32) -> std::ops::RangeInclusive<GroupKey> {
    let last = GroupKey { occurrence, step: u32::MAX, index: u32::MAX };
    GroupKey { occurrence, step: 0, index: 0 }..=last
}
