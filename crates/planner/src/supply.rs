//! Supply reported to entries: resources of the workers, and the backlog of work for them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{Backlog, OrganisationBacklog, Step, Supply, resources::Resources};
use sapphire_plan::rank::{self, Feasibility};

use crate::{event::Moment, group::Phase, planner::Planner, table::Entry, worker::Worker};

/// Interval between two computations over all open jobs.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which workers may join before their resources are reported. Until then the largest
/// worker may be missing, and jobs that fit on it would be rejected.
const JOIN_PERIOD: Duration = Duration::from_secs(5);
/// Assumed remaining fraction of the expected run time of a running task: half of it, on average.
const REMAINING_SHARE: f64 = 0.5;

/// Longest time that is reported for open work. Further ones can't be told apart by any caller, and sums
/// of it don't overflow.
const MAX_DRAIN: Duration = Duration::from_secs(10 * 365 * 86_400);

/// Maximum number of organisations whose backlog is reported for each service.
const MAX_ORGANISATIONS: usize = 16;

/// A sum of resources, or of resources times seconds, by kind of resource.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Amount {
    millicores: f64,
    memory_mib: f64,
    accelerators: f64,
}

impl Amount {
    fn of(resources: Resources, times: f64) -> Self {
        Amount {
            millicores: resources.millicores as f64 * times,
            memory_mib: resources.memory_mib as f64 * times,
            accelerators: resources.accelerators as f64 * times,
        }
    }

    fn add(&mut self, other: Amount) {
        self.millicores += other.millicores;
        self.memory_mib += other.memory_mib;
        self.accelerators += other.accelerators;
    }

    /// Returns the ratio to another amount, for the scarcest resource.
    fn share(&self, of: &Amount) -> f64 {
        let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let cores = ratio(self.millicores, of.millicores);
        let memory = ratio(self.memory_mib, of.memory_mib);
        cores.max(memory).max(ratio(self.accelerators, of.accelerators))
    }
}

/// Open work of an organisation that is above its share.
#[derive(Default)]
struct OpenWork {
    jobs: u32,
    /// By priority: all work, and that whose result is still of use.
    work: BTreeMap<u32, (Amount, Amount)>,
}

/// Sums for one service.
#[derive(Default)]
struct Totals<'a> {
    largest: Resources,
    /// Resources of all workers that are not draining.
    capacity: Amount,
    /// The same divided by their slowness: the work that they do in a second, in resources times
    /// seconds at the reference speed.
    throughput: Amount,
    /// Resources of long-running tasks.
    long_running: Amount,
    /// Open work by priority, in resources times seconds.
    work: BTreeMap<u32, Amount>,
    /// Organisations that have open work.
    organisations: BTreeSet<&'a str>,
    /// Open work of those above their share.
    above_share: BTreeMap<&'a str, OpenWork>,
}

impl Planner {
    /// Sums up the workers and the open work at intervals.
    pub(crate) fn update_supplies(&mut self, now: Moment) {
        let is_early =
            !self.startup.is_recovered() || now.steady < self.startup.began() + JOIN_PERIOD;
        if is_early || now.steady < self.last_supplies + UPDATE_INTERVAL {
            return;
        }
        self.last_supplies = now.steady;
        self.update_all_step_capacities();
        let mut totals: BTreeMap<&str, Totals> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(minion) = &worker.incarnation else { continue };
            let sum = totals.entry(&minion.service).or_default();
            let resources = worker.capacity();
            sum.largest = sum.largest.component_max(resources);
            if !minion.is_draining && !self.cordons.contains(worker) {
                sum.capacity.add(Amount::of(resources, 1.0));
                sum.throughput.add(Amount::of(resources, 1.0 / self.slowness(name).get()));
            }
        }
        for entry in self.table.open.iter().filter_map(|id| self.table.entries.get(id)) {
            if let Some(sum) = totals.get_mut(self.service(entry)) {
                let (long_running, work) = self.open_work(entry, sum.largest);
                sum.long_running.add(long_running);
                let priority = self.queue_settings(entry).priority;
                sum.work.entry(priority).or_default().add(work);
                sum.organisations.insert(&entry.job.organisation);
                if self.shares.above.contains(&entry.job.organisation) {
                    let open = sum.above_share.entry(&entry.job.organisation).or_default();
                    open.jobs += 1;
                    let (all, useful) = open.work.entry(priority).or_default();
                    all.add(work);
                    if rank::feasibility(&self.job_rank(now, entry, false)) != Feasibility::Lost {
                        useful.add(work);
                    }
                }
            }
        }
        let supply = |(name, sum): (&&str, &Totals<'_>)| {
            let supply = sum.supply(name)?;
            Some(Supply { above_share: self.above_share(sum), ..supply })
        };
        self.supplies = totals.iter().filter_map(supply).collect();
    }

    /// Returns the backlogs of the organisations above their share, while others have open work.
    fn above_share(&self, sum: &Totals<'_>) -> Vec<OrganisationBacklog> {
        if sum.organisations.len() < 2 || sum.above_share.is_empty() {
            return Vec::new();
        }
        let guaranteed = self.guaranteed_jobs();
        let in_use = |name: &str| {
            let entries = guaranteed.iter().filter_map(|id| self.table.entries.get(id));
            let own = entries.filter(|entry| entry.job.organisation == name);
            own.map(Entry::accelerators).sum()
        };
        let highest = self.shares.usages.highest(usize::MAX).into_iter();
        let known = highest.filter_map(|(name, _)| sum.above_share.get_key_value(name));
        let row = |(name, open): (&&str, &OpenWork)| {
            let share = self.shares.usages.served_share(name, &self.shares.demanding);
            let mut row = OrganisationBacklog {
                organisation: (*name).to_owned(),
                share_milli: (share * 1_000.0) as u32,
                guaranteed_in_use: in_use(name),
                ..OrganisationBacklog::default()
            };
            let mut before = Amount::default();
            for (priority, (all, useful)) in &open.work {
                let mut ahead = before;
                ahead.add(*useful);
                let backlog = |work| Backlog { priority: *priority, drain_ms: sum.drain_ms(work) };
                row.backlogs.push(backlog(&ahead));
                row.own_priority.push(backlog(all));
                before.add(*all);
            }
            row.job_ms = sum.drain_ms(&before) / u64::from(open.jobs.max(1));
            row
        };
        known.take(MAX_ORGANISATIONS).map(row).collect()
    }

    /// Counts for each open job how many tasks of its steps fit on the workers at the same time.
    fn update_all_step_capacities(&mut self) {
        for id in self.table.open.clone() {
            self.update_step_capacity(&id);
        }
    }

    /// Counts how many tasks of each of a job's steps fit on the workers at the same time, whatever
    /// their speed: run times take the speed into account.
    pub(crate) fn update_step_capacity(&mut self, id: &str) {
        if !self.options.policy.count_waves {
            return;
        }
        let Some(entry) = self.table.entries.get(id) else { return };
        let service = self.service(entry);
        let workers = self.workers.values().filter(|worker| {
            worker.incarnation.as_ref().is_some_and(|minion| minion.service == service)
        });
        let capacities: Vec<Resources> = workers.map(Worker::capacity).collect();
        let fits = |step: &Step| {
            let resources = Resources::read(step.room.as_ref());
            capacities.iter().map(|worker| u64::from(worker.count_fitting(resources))).sum()
        };
        let step_capacity = entry.job.steps.iter().map(fits).collect();
        if let Some(entry) = self.table.entries.get_mut(id) {
            entry.step_capacity = step_capacity;
        }
    }

    /// Returns the resources of a job's long-running tasks, and its other unfinished work. Tasks that no
    /// worker can hold, given the most of each resource that one has, occupy none: nobody waits for them.
    fn open_work(&self, entry: &Entry, largest: Resources) -> (Amount, Amount) {
        let (mut long_running, mut work) = (Amount::default(), Amount::default());
        for (key, group) in &entry.groups {
            let Some(step) = entry.step(key.step) else { continue };
            let tasks = f64::from(if step.is_gang { step.tasks } else { 1 });
            let resources = Resources::read(step.room.as_ref());
            let time = self.expected_run_time(entry, key.step).as_secs_f64();
            match group.phase {
                Phase::Done | Phase::Failed => {}
                Phase::Waiting if largest.count_fitting(resources) == 0 => {}
                _ if step.is_long_running => long_running.add(Amount::of(resources, tasks)),
                Phase::Waiting => work.add(Amount::of(resources, tasks * time)),
                Phase::Active(_) => work.add(Amount::of(resources, tasks * time * REMAINING_SHARE)),
            }
        }
        (long_running, work)
    }
}

impl Totals<'_> {
    /// Returns the part of the workers that long-running tasks leave.
    fn available(&self) -> f64 {
        1.0 - self.long_running.share(&self.capacity)
    }

    /// Returns the time in milliseconds that all workers need for some work.
    fn drain_ms(&self, work: &Amount) -> u64 {
        let seconds = work.share(&self.throughput) / self.available();
        let drain = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DRAIN).min(MAX_DRAIN);
        u64::try_from(drain.as_millis()).unwrap_or(u64::MAX)
    }

    fn supply(&self, service: &str) -> Option<Supply> {
        if self.largest == Resources::default() || self.available() <= 0.0 {
            return None;
        }
        let mut sum = Amount::default();
        let backlogs = self.work.iter().map(|(priority, work)| {
            sum.add(*work);
            Backlog { priority: *priority, drain_ms: self.drain_ms(&sum) }
        });
        let backlogs = backlogs.collect();
        let largest = Some(self.largest.message());
        Some(Supply { service: service.to_owned(), largest, backlogs, above_share: Vec::new() })
    }
}
