//! Two simple schedulers as baselines on the same load. They stop no task and know neither faults
//! nor message delays.

use std::time::Duration;

use sapphire_jobs::{State, length, resources::Resources};

use super::{
    figures::{self, Figures, Outcome},
    load::{Arrival, Site, Worker},
    minion::Runs,
};

/// Order in which a baseline serves waiting groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// In order of arrival; every group that fits starts.
    FirstFit,
    /// In order of arrival; once a group has to wait, a later one starts only if it ends, by its
    /// declared run time, no later than the earliest declared end of a running group.
    Backfill,
}

/// Waiting group: all tasks of a gang, or a single task.
#[derive(Clone, Copy, Debug)]
struct Group {
    arrival: usize,
    /// Index of its first task.
    index: u32,
    tasks: u32,
}

/// Running group.
#[derive(Clone, Debug)]
struct Running {
    arrival: usize,
    end: Duration,
    declared_end: Duration,
    workers: Vec<usize>,
}

struct Fleet<'a> {
    arrivals: &'a [Arrival],
    workers: Vec<Worker>,
    free: Vec<Resources>,
    running: Vec<Running>,
    waiting: Vec<Group>,
    unfinished: Vec<u32>,
    ended: Vec<Option<Duration>>,
}

/// Simulates one run and returns its figures; the slowest workers take part only if `has_slow`.
pub fn simulate(site: &Site, arrivals: &[Arrival], order: Order, has_slow: bool) -> Figures {
    let workers = site.fleet(has_slow);
    let mut fleet = Fleet {
        arrivals,
        free: vec![site.capacity; workers.len()],
        workers,
        running: Vec::new(),
        waiting: Vec::new(),
        unfinished: vec![0; arrivals.len()],
        ended: vec![None; arrivals.len()],
    };
    let mut next = 0;
    loop {
        let end = fleet.running.iter().map(|run| run.end).min();
        let next_arrival = arrivals.get(next).map(|arrival| arrival.at);
        let Some(now) = end.into_iter().chain(next_arrival).min() else { break };
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            fleet.enqueue(next);
            next += 1;
        }
        fleet.end_groups(now);
        fleet.start_groups(now, order);
    }
    let ended = |arrival: &Arrival, _: State| {
        let at = arrivals.iter().position(|other| other.job.id == arrival.job.id)?;
        fleet.ended[at]
    };
    let credits = figures::credits_by(site, arrivals, ended);
    let unfinished = fleet.unfinished.iter().zip(arrivals);
    let completed = unfinished.filter(|(left, _)| **left == 0);
    let done = completed.map(|(_, arrival)| arrival.job.steps[0].tasks).sum();
    Figures {
        runs: Runs { done, ..Runs::default() },
        organisations: figures::services(arrivals, &credits, |_| Outcome::default()),
        ..figures::summarize(site, &credits, 0.0)
    }
}

impl Fleet<'_> {
    fn enqueue(&mut self, arrival: usize) {
        let step = &self.arrivals[arrival].job.steps[0];
        let groups = if step.is_gang { 1 } else { step.tasks };
        let tasks = if step.is_gang { step.tasks } else { 1 };
        self.unfinished[arrival] = groups;
        self.waiting.extend((0..groups).map(|index| Group { arrival, index, tasks }));
    }

    fn end_groups(&mut self, now: Duration) {
        let (finished, running): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.end <= now);
        self.running = running;
        for run in finished {
            let resources = self.arrivals[run.arrival].truth[0].resources;
            for worker in run.workers {
                self.free[worker] = self.free[worker].plus(resources);
            }
            self.unfinished[run.arrival] -= 1;
            if self.unfinished[run.arrival] == 0 {
                self.ended[run.arrival] = Some(run.end);
            }
        }
    }

    fn start_groups(&mut self, now: Duration, order: Order) {
        let mut backfill_deadline: Option<Duration> = None;
        let mut still_waiting = Vec::new();
        for group in std::mem::take(&mut self.waiting) {
            let arrival = &self.arrivals[group.arrival];
            let declared_end = now + length::declared(&arrival.job.steps[0]);
            let may_start =
                backfill_deadline.is_none_or(|backfill_deadline| declared_end <= backfill_deadline);
            let workers = if may_start {
                find_workers(&self.free, arrival.truth[0].resources, group.tasks)
            } else {
                None
            };
            let Some(workers) = workers else {
                if order == Order::Backfill && backfill_deadline.is_none() {
                    backfill_deadline =
                        self.running.iter().map(|run| run.declared_end.max(now)).min();
                }
                still_waiting.push(group);
                continue;
            };
            for worker in &workers {
                self.free[*worker] = self.free[*worker].minus(arrival.truth[0].resources);
            }
            let slowness = workers.iter().map(|worker| self.workers[*worker].slowness);
            let end =
                now + arrival.truth[0].work_of(group.index).mul_f64(slowness.fold(0.0, f64::max));
            self.running.push(Running { arrival: group.arrival, end, declared_end, workers });
        }
        self.waiting = still_waiting;
    }
}

/// First workers on which a group's tasks fit; one index per task, `None` if they don't all fit.
fn find_workers(free: &[Resources], resources: Resources, tasks: u32) -> Option<Vec<usize>> {
    let mut workers = Vec::new();
    for (index, free) in free.iter().enumerate() {
        let count = free.count_fitting(resources).min(tasks - workers.len() as u32);
        workers.extend((0..count).map(|_| index));
        if workers.len() as u32 == tasks {
            return Some(workers);
        }
    }
    None
}
