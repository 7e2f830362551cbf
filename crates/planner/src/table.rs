//! Jobs that have been accepted and are not forgotten yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Progress, State, Step, Tally, length,
    resources::Resources,
    task::{GroupKey, JobId, Task},
};
use sapphire_plan::{
    estimate::Sample,
    waves::{self, Width},
};

use crate::{
    event::{Moment, Record},
    group::{Group, Phase, Shown},
    options,
};

/// How soon a change of progress is to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Haste {
    /// Somebody waits for it.
    Now,
    /// It may wait a little to be written together with more.
    Soon,
    /// A loss of it costs only work that is done again.
    Patient,
}

/// Progress that is not durable yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dirty {
    /// It is to be written by then.
    pub due: Duration,
    /// The most urgent change of it.
    pub haste: Haste,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its record.
    pub job: Record,
    /// Its groups that are due or have been.
    pub groups: BTreeMap<GroupKey, Group>,
    /// Occurrences whose groups are there.
    pub occurrences: u32,
    /// What has become of it, as far as this planner knows.
    pub state: State,
    /// What callers are told; never ahead of what is durable.
    pub shown: State,
    /// A task has started.
    pub has_begun: bool,
    /// Revision of its progress in the store.
    pub revision: u64,
    /// Number of the latest change of its progress.
    pub changes: u64,
    /// Number of the latest change without which a task might run once too often.
    pub vital: u64,
    /// Number of the latest change that is durable.
    pub committed: u64,
    /// There is progress to write.
    pub dirty: Option<Dirty>,
    /// Version of the table at which callers were last told something new.
    pub version: u64,
    /// An earlier planner may have started it.
    pub is_inherited: bool,
    /// When it was handed in, by this planner's steady clock.
    pub handed_in: Duration,
    /// When it came to its end, by this planner's clock.
    pub ended: Option<Duration>,
    /// Tasks of each step that its service's workers hold together; 0 while that isn't known.
    pub fits: Vec<u64>,
    /// How long the tasks of each step take, as those that ran or run have shown.
    pub seen: Vec<Option<Sample>>,
}

impl Entry {
    /// A job of which nothing is known but its record.
    pub fn new(job: Record, is_inherited: bool, handed_in: Duration) -> Self {
        Entry {
            job,
            handed_in,
            groups: BTreeMap::new(),
            occurrences: 0,
            state: State::Queued,
            shown: State::Queued,
            has_begun: false,
            revision: 0,
            changes: 0,
            vital: 0,
            committed: 0,
            dirty: None,
            version: 0,
            is_inherited,
            ended: None,
            fits: Vec::new(),
            seen: Vec::new(),
        }
    }

    /// Whether it has come to its end.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Complete | State::Failed | State::Cancelled)
    }

    /// A step by its number.
    pub fn step(&self, index: u32) -> Option<&Step> {
        self.job.steps.get(index as usize)
    }

    /// Adds the groups of occurrences that have become due; returns whether there were any.
    pub fn materialise(&mut self, now: Moment) -> bool {
        let mut is_any = false;
        while self.occurrences < self.times() && self.due(self.occurrences) <= now.unix {
            let occurrence = self.occurrences;
            for (index, step) in self.job.steps.iter().enumerate() {
                let count = if step.is_gang { 1 } else { step.tasks };
                for task in 0..count {
                    let key = GroupKey { occurrence, step: index as u32, index: task };
                    self.groups.entry(key).or_insert_with(|| Group::new(now.steady));
                }
            }
            self.occurrences += 1;
            is_any = true;
        }
        is_any
    }

    fn times(&self) -> u32 {
        self.job.schedule.as_ref().map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due, in Unix time. A little later than asked, since clocks differ
    /// and a start before its time breaks a promise while a late one costs little.
    fn due(&self, occurrence: u32) -> Duration {
        const CAUTION: Duration = Duration::from_millis(40);
        let Some(schedule) = &self.job.schedule else { return Duration::ZERO };
        let after = schedule.interval_ms.saturating_mul(occurrence.into());
        Duration::from_millis(schedule.first_ms.saturating_add(after)) + CAUTION
    }

    /// Time until the next occurrence, if there is one to come.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.is_over() && self.occurrences < self.times()).then(|| self.due(self.occurrences))
    }

    /// Puts back what the store says of its progress.
    pub fn restore(&mut self, progress: &Progress, revision: u64, now: Moment) {
        self.revision = revision;
        self.materialise(now);
        for tally in &progress.tallies {
            let key =
                GroupKey { occurrence: tally.occurrence, step: tally.step, index: tally.index };
            let Some(group) = self.groups.get_mut(&key) else { continue };
            group.failed_runs = tally.failed_runs.iter().copied().collect();
            group.run = group.failed_runs.last().copied().unwrap_or(0);
            group.checkpoint.clone_from(&tally.checkpoint);
            if tally.is_done {
                group.phase = Phase::Done;
            }
            if tally.took_ms > 0 {
                let whole = Duration::from_millis(tally.took_ms);
                group.shown = Some(Shown::sound(whole, "", 0));
            }
            self.has_begun = true;
        }
        self.state = progress.state();
        self.shown = self.state;
        if self.is_over() {
            self.ended = Some(now.steady);
        } else if self.has_begun {
            self.state = State::Active;
            self.shown = State::Active;
        }
    }

    /// What is to be durable of its progress.
    pub fn progress(&self) -> Progress {
        let is_news = |group: &&Group| {
            group.phase == Phase::Done
                || !group.failed_runs.is_empty()
                || !group.checkpoint.is_empty()
        };
        let tallies =
            self.groups.iter().filter(|(_, group)| is_news(group)).map(|(key, group)| Tally {
                occurrence: key.occurrence,
                step: key.step,
                index: key.index,
                is_done: group.phase == Phase::Done,
                failed_runs: group.failed_runs.iter().copied().collect(),
                checkpoint: if group.is_final() { String::new() } else { group.checkpoint.clone() },
                took_ms: group.took_ms(),
            });
        Progress { tallies: tallies.collect(), state: self.state.into() }
    }

    /// Notes a change that must be durable; returns its number.
    pub fn touch(&mut self, now: Duration, haste: Haste) -> u64 {
        self.changes += 1;
        if haste != Haste::Patient {
            self.vital = self.changes;
        }
        let wait = match haste {
            Haste::Now => Duration::ZERO,
            Haste::Soon => options::GATHER,
            Haste::Patient => options::GATHER_CHECKPOINTS,
        };
        let dirty = self.dirty.get_or_insert(Dirty { due: now + wait, haste });
        dirty.due = dirty.due.min(now + wait);
        dirty.haste = dirty.haste.min(haste);
        self.changes
    }

    /// Whether the steps before one are done.
    pub fn is_unblocked(&self, key: &GroupKey) -> bool {
        let Some(step) = self.step(key.step) else { return false };
        step.after.iter().all(|earlier| self.is_step_done(key.occurrence, *earlier))
    }

    fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let mut groups = self.groups.range(step_groups(occurrence, step)).peekable();
        groups.peek().is_some() && groups.all(|(_, group)| group.phase == Phase::Done)
    }

    /// Whether every task has ended well.
    pub fn is_all_done(&self) -> bool {
        self.occurrences == self.times()
            && self.groups.values().all(|group| group.phase == Phase::Done)
    }

    /// Accelerators that its first steps take at once.
    pub fn accelerators(&self) -> u64 {
        let first = self.job.steps.iter().filter(|step| step.after.is_empty());
        let of =
            |step: &Step| Resources::read(step.room.as_ref()).accelerators * u64::from(step.tasks);
        first.map(of).sum()
    }

    /// The longest chain of steps that are not done, at best.
    pub fn remaining(&self, expect: impl Fn(u32) -> Duration) -> Duration {
        let last = self.occurrences.saturating_sub(1);
        let mut index = 0;
        length::critical_path(&self.job.steps, |_| {
            let width = Width { tasks: self.tasks_left(last, index), ..self.width(index) };
            index += 1;
            if width.tasks == 0 {
                Duration::ZERO
            } else {
                expect(index - 1) * waves::at_best(width)
            }
        })
    }

    /// The longest chain of its steps, with the waves that its caller allows for.
    pub fn chain(&self, expect: impl Fn(u32) -> Duration) -> Duration {
        let mut index = 0;
        length::critical_path(&self.job.steps, |_| {
            let width = self.width(index);
            index += 1;
            expect(index - 1) * waves::allowed(width)
        })
    }

    /// How wide a step is; the members of a gang run at once, so it counts as one task.
    pub fn width(&self, step: u32) -> Width {
        let tasks = self.step(step).map_or(0, |step| if step.is_gang { 1 } else { step.tasks });
        let fits = self.fits.get(step as usize).copied().unwrap_or(0);
        Width { tasks, fits }
    }

    /// Tasks of a step, or gangs, that are not done.
    pub fn tasks_left(&self, occurrence: u32, step: u32) -> u32 {
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

/// All jobs, with what changed when.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Jobs.
    pub entries: BTreeMap<JobId, Entry>,
    /// Jobs that may still have something to run.
    pub open: BTreeSet<JobId>,
    /// Version; grows whenever callers are to be told something new.
    pub version: u64,
    /// Jobs that were forgotten, with the version at which they were.
    pub gone: Vec<(u64, JobId)>,
}

impl Table {
    /// Adds a job unless it is there.
    pub fn insert(&mut self, entry: Entry) -> bool {
        let id = entry.job.id.clone();
        if self.entries.contains_key(&id) {
            return false;
        }
        self.version += 1;
        if !entry.is_over() {
            self.open.insert(id.clone());
        }
        self.entries.insert(id, Entry { version: self.version, ..entry });
        true
    }

    /// Notes what callers are to be told of a job.
    pub fn show(&mut self, id: &str, state: State) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.shown != state {
            entry.shown = state;
            self.version += 1;
            entry.version = self.version;
        }
    }

    /// Removes a job.
    pub fn forget(&mut self, id: &str) {
        self.open.remove(id);
        if self.entries.remove(id).is_some() {
            self.version += 1;
            self.gone.push((self.version, id.to_owned()));
        }
    }
}

/// Keys of the groups of a task's step, in its occurrence.
pub fn step_range(task: &Task) -> std::ops::RangeInclusive<GroupKey> {
    step_groups(task.occurrence, task.step)
}

/// Keys of the groups of a step in one occurrence.
pub fn step_groups(occurrence: u32, step: u32) -> std::ops::RangeInclusive<GroupKey> {
    let key = |index| GroupKey { occurrence, step, index };
    key(0)..=key(u32::MAX)
}
