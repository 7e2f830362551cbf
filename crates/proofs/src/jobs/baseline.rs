//! Two plain schedulers on the same load, as baselines: no stops, no faults, no messages.

use std::time::Duration;

use sapphire_jobs::{State, length, resources::Resources};

use super::{
    figures::{self, Figures},
    load::{Arrival, Site},
};

/// How the queue is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By arrival; whatever fits starts.
    FirstFit,
    /// By arrival; what comes later starts only if it ends, as declared, before the first that
    /// waits could start.
    Backfill,
}

/// A group that waits.
#[derive(Clone, Copy, Debug)]
struct Group {
    arrival: usize,
    tasks: u32,
}

/// A group that runs.
#[derive(Clone, Debug)]
struct Running {
    arrival: usize,
    end: Duration,
    declared_end: Duration,
    seats: Vec<usize>,
}

struct Fleet<'a> {
    arrivals: &'a [Arrival],
    free: Vec<Resources>,
    running: Vec<Running>,
    waiting: Vec<Group>,
    left: Vec<u32>,
    ended: Vec<Option<Duration>>,
}

/// Plays a day.
pub fn play(site: &Site, arrivals: &[Arrival], order: Order) -> Figures {
    let workers: usize = site.workers.iter().sum();
    let mut fleet = Fleet {
        arrivals,
        free: vec![site.capacity; workers],
        running: Vec::new(),
        waiting: Vec::new(),
        left: vec![0; arrivals.len()],
        ended: vec![None; arrivals.len()],
    };
    let mut next = 0;
    loop {
        let end = fleet.running.iter().map(|run| run.end).min();
        let arrives = arrivals.get(next).map(|arrival| arrival.at);
        let Some(now) = end.into_iter().chain(arrives).min() else { break };
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            fleet.arrive(next);
            next += 1;
        }
        fleet.end_until(now);
        fleet.start(now, order);
    }
    let ended = |arrival: &Arrival, _: State| {
        let at = arrivals.iter().position(|other| other.job.id == arrival.job.id)?;
        fleet.ended[at]
    };
    figures::sum(site, &figures::credits_by(site, arrivals, ended), 0.0)
}

impl Fleet<'_> {
    fn arrive(&mut self, arrival: usize) {
        let step = &self.arrivals[arrival].job.steps[0];
        let groups = if step.is_gang { 1 } else { step.tasks };
        let tasks = if step.is_gang { step.tasks } else { 1 };
        self.left[arrival] = groups;
        self.waiting.extend((0..groups).map(|_| Group { arrival, tasks }));
    }

    fn end_until(&mut self, now: Duration) {
        let (over, running): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.end <= now);
        self.running = running;
        for run in over {
            let room = self.arrivals[run.arrival].truth[0].room;
            for seat in run.seats {
                self.free[seat] = self.free[seat].plus(room);
            }
            self.left[run.arrival] -= 1;
            if self.left[run.arrival] == 0 {
                self.ended[run.arrival] = Some(run.end);
            }
        }
    }

    fn start(&mut self, now: Duration, order: Order) {
        let mut limit: Option<Duration> = None;
        let mut kept = Vec::new();
        for group in std::mem::take(&mut self.waiting) {
            let arrival = &self.arrivals[group.arrival];
            let declared_end = now + length::declared(&arrival.job.steps[0]);
            let may_start = limit.is_none_or(|limit| declared_end <= limit);
            let seats = if may_start {
                seats(&self.free, arrival.truth[0].room, group.tasks)
            } else {
                None
            };
            let Some(seats) = seats else {
                if order == Order::Backfill && limit.is_none() {
                    limit = self.running.iter().map(|run| run.declared_end.max(now)).min();
                }
                kept.push(group);
                continue;
            };
            for seat in &seats {
                self.free[*seat] = self.free[*seat].minus(arrival.truth[0].room);
            }
            let end = now + arrival.truth[0].work;
            self.running.push(Running { arrival: group.arrival, end, declared_end, seats });
        }
        self.waiting = kept;
    }
}

/// The first workers that hold a group's tasks.
fn seats(free: &[Resources], room: Resources, tasks: u32) -> Option<Vec<usize>> {
    let mut seats = Vec::new();
    for (index, free) in free.iter().enumerate() {
        let most = free.count_fitting(room).min(tasks - seats.len() as u32);
        seats.extend((0..most).map(|_| index));
        if seats.len() as u32 == tasks {
            return Some(seats);
        }
    }
    None
}
