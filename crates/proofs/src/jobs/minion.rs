//! Simulated minion: runs tasks under a lease and checks fencing tokens. It does not enforce its
//! capacity, so that tests can detect when the planner overcommits it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Ended, Ending, Incarnation, Rejection, Running,
    resources::Resources,
    task::{JobId, RunNumber, Task},
};
use sapphire_runner::minion::{Call, Reply};

/// Actual behaviour of the tasks of a step, whatever the job declares.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Run time on a healthy minion of the reference speed, when the members of its gang are placed
    /// as it needs; for most tasks of the step.
    pub work: Duration,
    /// Indices of the tasks that take longer.
    pub long_tasks: BTreeSet<u32>,
    /// Factor by which they take longer.
    pub long_factor: f64,
    /// Whether every run fails.
    pub always_fails: bool,
    /// Share of its runs that fail through their own fault.
    pub fail_share: f64,
    /// Number of members of its gang; 1 for a task outside a gang.
    pub members: u32,
    /// Whether it is slower when its gang spans several racks.
    pub wants_one_rack: bool,
    /// Whether it writes a checkpoint when it is stopped.
    pub checkpoints: bool,
    /// Resources that it occupies.
    pub resources: Resources,
}

impl Truth {
    /// Run time of one of the step's tasks.
    pub fn work_of(&self, index: u32) -> Duration {
        if self.long_tasks.contains(&index) { self.longest() } else { self.work }
    }

    /// Run time of the step's longest task.
    pub fn longest(&self) -> Duration {
        if self.long_tasks.is_empty() { self.work } else { self.work.mul_f64(self.long_factor) }
    }
}

/// Run of a task in progress.
#[derive(Clone, Debug)]
pub struct Active {
    /// Number of the run.
    pub number: RunNumber,
    /// Work done so far; the task is done when it reaches [`Truth::work_of`].
    pub progress: Duration,
    /// Work that the checkpoint it started from already contained.
    pub initial_progress: Duration,
    /// Time of the start.
    pub started_at: Duration,
    /// Time at which the checkpoint that it started from is restored.
    pub restored_at: Duration,
    /// When it stops, once a stop has been ordered.
    pub stop_at: Option<Duration>,
}

/// Ended runs of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Runs {
    /// Runs that ended as done.
    pub done: u32,
    /// Runs that were stopped.
    pub stopped: u32,
    /// Work that was lost, in processor seconds.
    pub lost_work: f64,
}

impl Runs {
    /// Adds the runs of `other`.
    pub fn add(&mut self, other: Runs) {
        self.done += other.done;
        self.stopped += other.stopped;
        self.lost_work += other.lost_work;
    }
}

/// Minion.
#[derive(Clone, Debug)]
pub struct Minion {
    /// Incarnation that it reports in its heartbeats.
    pub incarnation: Incarnation,
    /// Whether its process is running.
    pub is_up: bool,
    /// Tasks in progress.
    pub active: BTreeMap<Task, Active>,
    /// Ends of runs that are not acknowledged yet, by number.
    pub ended: BTreeMap<u64, Ended>,
    /// Acknowledged ends, until the simulation has checked them.
    pub acknowledged: Vec<Ended>,
    /// Number of the latest end of a run.
    pub last_end: u64,
    /// Highest fencing token received.
    pub token: u64,
    /// Simulation time at which its clock started.
    pub clock_origin: Duration,
    /// Speed of its clock; 1 if it is exact.
    pub clock_rate: f64,
    /// Maximum lease; a longer one is shortened.
    pub max_lease: Duration,
    /// End of the lease by the minion's clock.
    pub lease_expires_at: Duration,
    /// Latest simulation time at which it held no lease.
    pub last_expired_at: Option<Duration>,
    /// When its agent first received the report that it is draining.
    pub drain_reported_at: Option<Duration>,
    /// Run time of a task on this worker, as a multiple of the reference run time.
    pub slowness: f64,
    /// Time that a run which continues from a checkpoint takes to restore it.
    pub restoration: Duration,
    /// Time for which a task goes on after it was ordered to stop.
    stop_delay: Duration,
    /// Factor by which its tasks are slower than on a healthy minion.
    pub slowdown: f64,
    /// Whether its tasks make no progress.
    pub stalls: bool,
    /// Whether all its tasks fail.
    pub fails: bool,
    /// Highest run of each task that was ordered to stop or has ended; no run up to it may start.
    closed: BTreeMap<Task, RunNumber>,
    /// Work that was lost, in processor seconds.
    pub waste: f64,
    /// What became of the runs that ended here, by job.
    pub runs: BTreeMap<JobId, Runs>,
    /// Whether its tasks together have exceeded its capacity.
    pub is_overcommitted: bool,
}

/// Time for which a task goes on after it was ordered to stop.
pub const STOP_DELAY: Duration = Duration::from_millis(250);

impl Minion {
    /// Minion that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Minion {
            incarnation,
            is_up: true,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
            acknowledged: Vec::new(),
            last_end: 0,
            token: 0,
            clock_origin: Duration::ZERO,
            clock_rate: 1.0,
            max_lease: Duration::MAX,
            lease_expires_at: Duration::ZERO,
            last_expired_at: None,
            drain_reported_at: None,
            slowness: 1.0,
            restoration: Duration::ZERO,
            stop_delay: STOP_DELAY,
            slowdown: 1.0,
            stalls: false,
            fails: false,
            closed: BTreeMap::new(),
            waste: 0.0,
            runs: BTreeMap::new(),
            is_overcommitted: false,
        }
    }

    /// The same minion with a clock that started at `clock_origin`, and with a maximum lease.
    pub fn with_clock(self, clock_origin: Duration, max_lease: Duration) -> Self {
        Minion { clock_origin, max_lease, ..self }
    }

    /// The same minion with a lasting slowness, and the time that it takes to restore a checkpoint.
    pub fn with_pace(self, slowness: f64, restoration: Duration) -> Self {
        Minion { slowness, restoration, ..self }
    }

    /// The same minion with another time for which tasks go on after they were ordered to stop.
    pub fn with_stop_delay(self, stop_delay: Duration) -> Self {
        Minion { stop_delay, ..self }
    }

    /// Reading of its clock at a simulation time.
    pub fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.clock_origin).mul_f64(self.clock_rate)
    }

    /// Extends the lease to `deadline` by the minion's clock; never shortens it.
    fn extend(&mut self, now: Duration, deadline: Duration) {
        self.lease_expires_at =
            self.lease_expires_at.max(deadline.min(self.clock(now).saturating_add(self.max_lease)));
    }

    /// Carries out a call; `truth` holds the behaviour of each job's steps.
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
                self.acknowledged.extend(std::mem::replace(&mut self.ended, kept).into_values());
                self.extend(now, deadline.unwrap_or_default());
                self.list(now, truth)
            }
            Call::Start { start, deadline, .. } => self.start(now, start, *deadline, truth),
            Call::Stop { task, number, .. } => {
                let closed = self.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*number);
                if let Some(active) = self.active.get_mut(task)
                    && active.number == *number
                {
                    active.stop_at.get_or_insert(now + self.stop_delay);
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
        // A start that is then refused as old extends the lease as well.
        self.extend(now, deadline);
        if self.closed.get(&task).is_some_and(|closed| *closed >= run.run) {
            return Reply::Refused(Rejection::Old);
        }
        let progress = Duration::from_millis(start.checkpoint.parse().unwrap_or(0));
        let started_at = now;
        let restoration = if progress.is_zero() { Duration::ZERO } else { self.restoration };
        self.active.insert(
            task,
            Active {
                number: run.run,
                progress,
                initial_progress: progress,
                started_at,
                restored_at: now + restoration,
                stop_at: None,
            },
        );
        let used_by_tasks =
            self.active.keys().filter_map(|task| truth.get(&(task.job.clone(), task.step)));
        let used = used_by_tasks.fold(Resources::default(), |sum, truth| sum.plus(truth.resources));
        let capacity = Resources::read(self.incarnation.capacity.as_ref());
        self.is_overcommitted |= capacity.count_fitting(used) == 0;
        Reply::Done
    }

    fn list(&self, now: Duration, truth: &BTreeMap<(String, u32), Truth>) -> Reply {
        let running = self.active.iter().map(|(task, active)| {
            let work =
                truth.get(&(task.job.clone(), task.step)).map(|truth| truth.work_of(task.index));
            let progress = if now < active.restored_at { Duration::ZERO } else { active.progress };
            let share = progress.as_secs_f64() / work.unwrap_or(now).as_secs_f64().max(0.001);
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

    /// Ends a task and keeps the end until it is acknowledged.
    pub fn end_task(&mut self, task: &Task, ending: Ending, truth: Option<&Truth>) {
        let Some(active) = self.active.remove(task) else { return };
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(active.number);
        let is_checkpointed =
            truth.is_some_and(|truth| truth.checkpoints) && ending == Ending::Stopped;
        let checkpoint =
            if is_checkpointed { active.progress.as_millis().to_string() } else { String::new() };
        let runs = self.runs.entry(task.job.clone()).or_default();
        runs.done += u32::from(ending == Ending::Done);
        runs.stopped += u32::from(ending == Ending::Stopped);
        // A failure through the task's own fault is no waste of the scheduler's.
        if !matches!(ending, Ending::Done | Ending::Faulty) && !is_checkpointed {
            let lost = active.progress.saturating_sub(active.initial_progress).as_secs_f64();
            let lost = truth.map_or(0.0, |truth| truth.resources.weight()) * lost;
            self.waste += lost;
            runs.lost_work += lost;
        }
        self.last_end += 1;
        let run = Some(task.run(active.number));
        let ended = Ended { number: self.last_end, run, ending: ending.into(), checkpoint };
        self.ended.insert(self.last_end, ended);
    }

    /// Ends the process and all its tasks without reporting their ends; their work is lost.
    pub fn terminate(&mut self, truth: &BTreeMap<(String, u32), Truth>) {
        self.expire_lease(truth);
        self.ended.clear();
        self.is_up = false;
    }

    /// Ends all tasks because the lease has expired.
    pub fn expire_lease(&mut self, truth: &BTreeMap<(String, u32), Truth>) {
        let tasks: BTreeSet<Task> = self.active.keys().cloned().collect();
        for task in tasks {
            let truth = truth.get(&(task.job.clone(), task.step));
            self.end_task(&task, Ending::Lapsed, truth);
        }
    }
}
