//! A minion that runs tasks under a lease, with a fencing token, and does not guard its room.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Ended, Ending, Incarnation, Rejection, Running,
    resources::Resources,
    task::{RunNumber, Task},
};
use sapphire_runner::minion::{Call, Reply};

/// What a task really is, whatever its caller has declared.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Run time on a sound minion near its data.
    pub work: Duration,
    /// It fails whenever it is run.
    pub always_fails: bool,
    /// Share of its runs that fail by themselves.
    pub fail_share: f64,
    /// Members of its gang; 1 for a task that is no part of one.
    pub members: u32,
    /// It is slower on more than one rack.
    pub wants_one_rack: bool,
    /// It saves its progress.
    pub checkpoints: bool,
    /// What it takes.
    pub room: Resources,
}

/// One task that runs.
#[derive(Clone, Debug)]
pub struct Active {
    /// Its run.
    pub number: RunNumber,
    /// Work done, on the scale of `Truth::work`.
    pub done: Duration,
    /// Work done at the start, from a checkpoint.
    pub began: Duration,
    /// When it was started.
    pub since: Duration,
    /// To be stopped at this time.
    pub stop_at: Option<Duration>,
}

/// The minion.
#[derive(Clone, Debug)]
pub struct Minion {
    /// What it says of itself.
    pub incarnation: Incarnation,
    /// Its process runs.
    pub is_up: bool,
    /// Tasks that run.
    pub active: BTreeMap<Task, Active>,
    /// Ends that were not noted.
    pub ended: BTreeMap<u64, Ended>,
    /// Ends that were noted, until the world has looked at them.
    pub noted: Vec<Ended>,
    /// Number of the latest end.
    pub last_end: u64,
    /// Highest fencing token seen.
    pub token: u64,
    /// Time of the world at which its clock began.
    pub zero: Duration,
    /// Longest lease; a longer one is shortened.
    pub hold: Duration,
    /// End of the lease, by its clock.
    pub lease: Duration,
    /// When it last held no lease.
    pub lapsed: Option<Duration>,
    /// When its agent first heard that it drains.
    pub told: Option<Duration>,
    /// How many times slower it is.
    pub slow: f64,
    /// Its tasks stand still.
    pub hangs: bool,
    /// Its tasks fail.
    pub fails: bool,
    /// Highest run stopped or ended, by task.
    closed: BTreeMap<Task, RunNumber>,
    /// Work thrown away, in processor seconds.
    pub waste: f64,
    /// Most that was ever taken, beyond what it has.
    pub overfilled: bool,
}

/// Longest time that a stopped task goes on.
pub const STOP: Duration = Duration::from_millis(250);

impl Minion {
    /// One that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Minion {
            incarnation,
            is_up: true,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
            noted: Vec::new(),
            last_end: 0,
            token: 0,
            zero: Duration::ZERO,
            hold: Duration::MAX,
            lease: Duration::ZERO,
            lapsed: None,
            told: None,
            slow: 1.0,
            hangs: false,
            fails: false,
            closed: BTreeMap::new(),
            waste: 0.0,
            overfilled: false,
        }
    }

    /// The same with a clock that begins at a time of the world, and a longest lease.
    pub fn begun(self, zero: Duration, hold: Duration) -> Self {
        Minion { zero, hold, ..self }
    }

    /// Its clock at a time of the world.
    pub fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.zero)
    }

    /// Extends the lease, by its own clock; it is never shortened.
    fn extend(&mut self, now: Duration, deadline: Duration) {
        self.lease = self.lease.max(deadline.min(self.clock(now).saturating_add(self.hold)));
    }

    /// Carries out a call; `truth` says what a task is.
    pub fn call(
        &mut self,
        now: Duration,
        call: &Call,
        truth: &BTreeMap<(String, u32), Truth>,
    ) -> Reply {
        let token = match call {
            Call::LongPoll { token, .. } | Call::Start { token, .. } | Call::Stop { token, .. } => {
                token
            }
        };
        if *token < self.token {
            return Reply::Refused(Rejection::Fenced);
        }
        self.token = *token;
        match call {
            Call::LongPoll { deadline, acknowledged, .. } => {
                let kept = self.ended.split_off(&acknowledged.saturating_add(1));
                self.noted.extend(std::mem::replace(&mut self.ended, kept).into_values());
                self.extend(now, deadline.unwrap_or_default());
                self.lists(now, truth)
            }
            Call::Start { start, deadline, .. } => self.start(now, start, *deadline, truth),
            Call::Stop { task, number, .. } => {
                let closed = self.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*number);
                if let Some(active) = self.active.get_mut(task)
                    && active.number == *number
                {
                    active.stop_at.get_or_insert(now + STOP);
                }
                Reply::Done
            }
        }
    }

    fn start(
        &mut self,
        now: Duration,
        start: &sapphire_jobs::Start,
        deadline: Duration,
        truth: &BTreeMap<(String, u32), Truth>,
    ) -> Reply {
        let run = start.run.clone().unwrap_or_default();
        let task = Task::read(&run);
        if self.active.get(&task).is_some_and(|active| active.number == run.run) {
            return Reply::Done;
        }
        if deadline <= self.clock(now) {
            return Reply::Refused(Rejection::Late);
        }
        // Also from a start that is refused as old.
        self.extend(now, deadline);
        if self.closed.get(&task).is_some_and(|closed| *closed >= run.run) {
            return Reply::Refused(Rejection::Old);
        }
        let done = Duration::from_millis(start.checkpoint.parse().unwrap_or(0));
        let since = now;
        self.active
            .insert(task, Active { number: run.run, done, began: done, since, stop_at: None });
        let rooms = self.active.keys().filter_map(|task| truth.get(&(task.job.clone(), task.step)));
        let used = rooms.fold(Resources::default(), |sum, truth| sum.plus(truth.room));
        let capacity = Resources::read(self.incarnation.capacity.as_ref());
        self.overfilled |= capacity.count_fitting(used) == 0;
        Reply::Done
    }

    fn lists(&self, now: Duration, truth: &BTreeMap<(String, u32), Truth>) -> Reply {
        let running = self.active.iter().map(|(task, active)| {
            let work = truth.get(&(task.job.clone(), task.step)).map(|truth| truth.work);
            let share = active.done.as_secs_f64() / work.unwrap_or(now).as_secs_f64().max(0.001);
            Running {
                run: Some(task.run(active.number)),
                percent: (share * 100.0).min(100.0) as u32,
                ..Running::default()
            }
        });
        Reply::Listed {
            born_ms: self.incarnation.born_ms,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            unreadable: 0,
        }
    }

    /// Ends a task.
    pub fn end(&mut self, task: &Task, ending: Ending, truth: Option<&Truth>) {
        let Some(active) = self.active.remove(task) else { return };
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(active.number);
        let saves = truth.is_some_and(|truth| truth.checkpoints) && ending == Ending::Stopped;
        let checkpoint = if saves { active.done.as_millis().to_string() } else { String::new() };
        // A failure by the task's own fault is not the scheduler's.
        if !matches!(ending, Ending::Done | Ending::Faulty) && !saves {
            let lost = active.done.saturating_sub(active.began).as_secs_f64();
            self.waste += truth.map_or(0.0, |truth| truth.room.weight()) * lost;
        }
        self.last_end += 1;
        let run = Some(task.run(active.number));
        let ended = Ended { number: self.last_end, run, ending: ending.into(), checkpoint };
        self.ended.insert(self.last_end, ended);
    }

    /// Ends everything without a word: the process ends. Its work is thrown away.
    pub fn die(&mut self, truth: &BTreeMap<(String, u32), Truth>) {
        self.lapse(truth);
        self.ended.clear();
        self.is_up = false;
    }

    /// Ends everything: the lease has run out.
    pub fn lapse(&mut self, truth: &BTreeMap<(String, u32), Truth>) {
        let tasks: BTreeSet<Task> = self.active.keys().cloned().collect();
        for task in tasks {
            let truth = truth.get(&(task.job.clone(), task.step));
            self.end(&task, Ending::Lapsed, truth);
        }
    }
}
