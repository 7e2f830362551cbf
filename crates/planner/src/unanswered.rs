//! Starts without an answer, which a worker's minion, or its next life, may still carry out.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use sapphire_jobs::{
    Unanswered, UnansweredOn, UnansweredStarts, UnansweredTask,
    task::{Task, WorkerName},
};

use crate::{event::Moment, options, worker::Worker};

/// A task's start on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Start {
    /// It is void from then on, as its agent tells.
    reported: Option<Duration>,
    /// The same as an earlier process of the agent told, or may have known.
    kept: Option<Duration>,
    /// The same as the record for a successor has it.
    recorded: Option<Duration>,
}

impl Start {
    /// It is void from then on; none when it is void now.
    fn until(&self) -> Option<Duration> {
        self.reported.max(self.kept)
    }

    /// A successor would not wait for as long.
    fn is_news(&self) -> bool {
        self.until() > self.recorded.map(|until| until + options::MARGIN)
    }
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Name of the minion that the starts were meant for, once it is known.
    minion: Option<String>,
    tasks: BTreeSet<Task>,
}

/// Starts on all workers.
///
/// Guards against a task that runs twice: a stop that was answered, a later run or a token bars
/// an earlier start in one life of a minion. When that life ends, the next one carries the start
/// out unless it has seen a token by then. So a task with such a start goes nowhere else until the
/// start is void: where its worker's minion ends, what it ran there ends as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    by_task: BTreeMap<Task, BTreeMap<WorkerName, Start>>,
    by_worker: BTreeMap<WorkerName, Record>,
}

impl Starts {
    /// Takes what an agent tells of the starts that it sent to minions of one name.
    pub(crate) fn report(&mut self, now: Duration, worker: &str, rows: &[Unanswered]) {
        self.each(worker, |start| start.reported = None);
        for row in rows {
            let Some(run) = &row.run else { continue };
            let left = options::LATEST_START.saturating_sub(Duration::from_millis(row.age_ms));
            let start = self.start(worker, Task::read(run));
            start.reported = start.reported.max(Some(now + left));
        }
        self.prune(worker);
    }

    /// The process of an agent is gone, with what it knew of the starts on its worker.
    pub(crate) fn keep(&mut self, now: Duration, name: &str, worker: &Worker) {
        self.each(name, |start| start.kept = start.until());
        for (task, _) in worker.runs.iter().filter(|(_, run)| !run.is_started) {
            self.start(name, task.clone()).kept = Some(now + options::LATEST_START);
        }
    }

    /// A worker has a minion of this name: it turns away what names another.
    pub(crate) fn meet(&mut self, worker: &str, minion: &str) {
        if self.minion(worker) == Some(minion) {
            return;
        }
        let record = self.by_worker.entry(worker.to_owned()).or_default();
        if record.minion.replace(minion.to_owned()).is_some() {
            self.each(worker, |start| *start = Start::default());
            self.prune(worker);
        }
    }

    /// Forgets starts that are void.
    pub(crate) fn expire(&mut self, now: Duration) {
        if self.by_task.is_empty() {
            return;
        }
        let workers: Vec<WorkerName> = self.by_worker.keys().cloned().collect();
        for worker in workers {
            self.each(&worker, |start| {
                start.reported = start.reported.filter(|until| now < *until);
                start.kept = start.kept.filter(|until| now < *until);
            });
            self.prune(&worker);
        }
    }

    /// Whether the record for a successor lacks something.
    pub(crate) fn is_dirty(&self) -> bool {
        self.by_task.values().flat_map(BTreeMap::values).any(Start::is_news)
    }

    /// What a successor is to know.
    pub(crate) fn record(&mut self, now: Moment) -> UnansweredStarts {
        let mut workers = Vec::new();
        for (worker, record) in &self.by_worker {
            let mut tasks = Vec::new();
            for task in &record.tasks {
                let starts = self.by_task.get_mut(task);
                let Some(start) = starts.and_then(|starts| starts.get_mut(worker)) else {
                    continue;
                };
                let Some(until) = start.until() else { continue };
                start.recorded = Some(until);
                let until = now.unix + until.saturating_sub(now.steady);
                tasks.push(UnansweredTask {
                    job: task.job.clone(),
                    occurrence: task.occurrence,
                    step: task.step,
                    index: task.index,
                    until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
                });
            }
            if !tasks.is_empty() {
                let minion = record.minion.clone().unwrap_or_default();
                workers.push(UnansweredOn { worker: worker.clone(), minion, tasks });
            }
        }
        UnansweredStarts { workers }
    }

    /// The record is not as it was written, for all that is known.
    pub(crate) fn forget_record(&mut self) {
        let starts = self.by_task.values_mut().flat_map(BTreeMap::values_mut);
        starts.for_each(|start| start.recorded = None);
    }

    /// Takes over the record of an earlier planner, whose clock may differ.
    pub(crate) fn restore(&mut self, now: Moment, starts: UnansweredStarts) {
        for UnansweredOn { worker, minion, tasks } in starts.workers {
            let is_other = self.minion(&worker).is_some_and(|known| known != minion);
            if is_other && !minion.is_empty() {
                continue;
            }
            for task in tasks {
                let until = Duration::from_millis(task.until_ms) + options::CLOCK_SKEW;
                let left = until.saturating_sub(now.unix).min(options::LATEST_START);
                let UnansweredTask { job, occurrence, step, index, .. } = task;
                let task = Task { job, occurrence, step, index };
                let start = self.start(&worker, task);
                start.kept = (!left.is_zero()).then_some(now.steady + left);
                start.recorded = start.kept;
            }
            self.prune(&worker);
            if let Some(record) = self.by_worker.get_mut(&worker)
                && !minion.is_empty()
            {
                record.minion = Some(minion);
            }
        }
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Workers that may still carry out a start, for each task in a range that has one.
    pub(crate) fn range(
        &self,
        tasks: Range<&Task>,
    ) -> impl Iterator<Item = (&Task, impl Iterator<Item = &WorkerName>)> {
        self.by_task.range::<Task, _>(tasks).map(|(task, starts)| (task, starts.keys()))
    }

    fn minion(&self, worker: &str) -> Option<&str> {
        self.by_worker.get(worker)?.minion.as_deref()
    }

    fn start(&mut self, worker: &str, task: Task) -> &mut Start {
        let record = self.by_worker.entry(worker.to_owned()).or_default();
        record.tasks.insert(task.clone());
        self.by_task.entry(task).or_default().entry(worker.to_owned()).or_default()
    }

    fn each(&mut self, worker: &str, change: impl Fn(&mut Start)) {
        let Some(record) = self.by_worker.get(worker) else { return };
        for task in &record.tasks {
            let start = self.by_task.get_mut(task).and_then(|starts| starts.get_mut(worker));
            start.map(&change);
        }
    }

    /// Removes what is void on a worker.
    fn prune(&mut self, worker: &str) {
        let Some(record) = self.by_worker.get_mut(worker) else { return };
        let by_task = &mut self.by_task;
        record.tasks.retain(|task| {
            let Some(starts) = by_task.get_mut(task) else { return false };
            if starts.get(worker).is_some_and(|start| start.until().is_some()) {
                return true;
            }
            starts.remove(worker);
            if starts.is_empty() {
                by_task.remove(task);
            }
            false
        });
    }
}
