//! What entries are told of the workers' room and of the work that waits for it.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{Backlog, Step, Supply, resources::Resources};

use crate::{event::Moment, group::Phase, planner::Planner, table::Entry, worker::Worker};

/// Time between two sums over all open jobs.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for which workers are waited for before their room is told. Until then the largest may
/// be missing, and jobs that it can hold would be turned away.
const GATHERING: Duration = Duration::from_secs(5);
/// Share of a run's expected time that is left of it, on the average.
const LEFT: f64 = 0.5;

/// A sum of rooms, or of rooms times seconds, by resource.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Amount {
    millicores: f64,
    memory_mib: f64,
    accelerators: f64,
}

impl Amount {
    fn of(room: Resources, times: f64) -> Self {
        Amount {
            millicores: room.millicores as f64 * times,
            memory_mib: room.memory_mib as f64 * times,
            accelerators: room.accelerators as f64 * times,
        }
    }

    fn add(&mut self, other: Amount) {
        self.millicores += other.millicores;
        self.memory_mib += other.memory_mib;
        self.accelerators += other.accelerators;
    }

    /// How many times as much as another amount it is, of the scarcest resource.
    fn share(&self, of: &Amount) -> f64 {
        let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let cores = ratio(self.millicores, of.millicores);
        let memory = ratio(self.memory_mib, of.memory_mib);
        cores.max(memory).max(ratio(self.accelerators, of.accelerators))
    }
}

/// Sums for one service.
#[derive(Default)]
struct Sums {
    largest: Resources,
    /// Room of all workers.
    capacity: Amount,
    /// Room of tasks that last.
    lasting: Amount,
    /// Open work by priority: room times seconds.
    work: BTreeMap<u32, Amount>,
}

impl Planner {
    /// Sums up workers and open work from time to time.
    pub(crate) fn sum_supplies(&mut self, now: Moment) {
        let is_early = !self.startup.is_settled() || now.steady < self.startup.began() + GATHERING;
        if is_early || now.steady < self.last_supplies + INTERVAL {
            return;
        }
        self.last_supplies = now.steady;
        self.fit_open_jobs();
        let mut sums: BTreeMap<&str, Sums> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(minion) = &worker.incarnation else { continue };
            let sum = sums.entry(&minion.service).or_default();
            let room = worker.capacity();
            sum.largest = sum.largest.component_max(room);
            if !minion.is_draining {
                sum.capacity.add(Amount::of(room, 1.0));
            }
        }
        for entry in self.table.open.iter().filter_map(|id| self.table.entries.get(id)) {
            if let Some(sum) = sums.get_mut(self.service(entry)) {
                let (lasting, work) = self.open_work(entry);
                sum.lasting.add(lasting);
                sum.work.entry(self.terms(entry).priority).or_default().add(work);
            }
        }
        self.supplies = sums.into_iter().filter_map(|(name, sum)| sum.supply(name)).collect();
    }

    /// Notes for each open job how many tasks of its steps the workers hold together.
    fn fit_open_jobs(&mut self) {
        for id in self.table.open.clone() {
            self.fit_job(&id);
        }
    }

    /// Notes how many tasks of each of a job's steps the workers hold together.
    pub(crate) fn fit_job(&mut self, id: &str) {
        if !self.options.policy.count_waves {
            return;
        }
        let Some(entry) = self.table.entries.get(id) else { return };
        let service = self.service(entry);
        let workers = self.workers.values().filter(|worker| {
            worker.incarnation.as_ref().is_some_and(|minion| minion.service == service)
        });
        let rooms: Vec<Resources> = workers.map(Worker::capacity).collect();
        let fits = |step: &Step| {
            let room = Resources::read(step.room.as_ref());
            rooms.iter().map(|worker| u64::from(worker.count_fitting(room))).sum()
        };
        let fits = entry.job.steps.iter().map(fits).collect();
        if let Some(entry) = self.table.entries.get_mut(id) {
            entry.fits = fits;
        }
    }

    /// Room of a job's tasks that last, and its other work that is not done.
    fn open_work(&self, entry: &Entry) -> (Amount, Amount) {
        let (mut lasting, mut work) = (Amount::default(), Amount::default());
        for (key, group) in &entry.groups {
            let Some(step) = entry.step(key.step) else { continue };
            let tasks = f64::from(if step.is_gang { step.tasks } else { 1 });
            let room = Resources::read(step.room.as_ref());
            let time = self.expect(entry, key.step).as_secs_f64();
            match group.phase {
                Phase::Done | Phase::Failed => {}
                _ if step.is_long_running => lasting.add(Amount::of(room, tasks)),
                Phase::Waiting => work.add(Amount::of(room, tasks * time)),
                Phase::Active(_) => work.add(Amount::of(room, tasks * time * LEFT)),
            }
        }
        (lasting, work)
    }
}

impl Sums {
    fn supply(self, service: &str) -> Option<Supply> {
        let left = 1.0 - self.lasting.share(&self.capacity);
        if self.largest == Resources::default() || left <= 0.0 {
            return None;
        }
        let mut sum = Amount::default();
        let backlogs = self.work.iter().map(|(priority, work)| {
            sum.add(*work);
            let drain = Duration::from_secs_f64(sum.share(&self.capacity) / left);
            let drain_ms = u64::try_from(drain.as_millis()).unwrap_or(u64::MAX);
            Backlog { priority: *priority, drain_ms }
        });
        let backlogs = backlogs.collect();
        let largest = Some(self.largest.message());
        Some(Supply { service: service.to_owned(), largest, backlogs })
    }
}
