//! Simulates one policy over one load in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_plan::{
    bind,
    estimate::Estimates,
    fleet::Fleet,
    pass::{self, Mechanisms},
    place::{self, Assignment},
    reclaim, size,
};
use sapphire_wire::{Job, id, resource};

use crate::{
    baseline,
    deployment::Deployment,
    figures::{self, Figures, seconds},
    load::Arrival,
};

/// Policy that decides which waiting jobs start, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// First-fit in the order of arrival.
    FirstFit,
    /// First-fit in the order of arrival, with backfill.
    Backfill,
    /// Static partitions by organisation.
    Partitions,
    /// The planner's scheduling pass.
    Pass(Mechanisms),
}

/// Time that a checkpoint takes, within the grace period.
const CHECKPOINT_TIME: Duration = Duration::from_secs(5);
/// Percentage of checkpoints that succeed; if one fails, all work since the start is lost.
const CHECKPOINT_SUCCESS_PERCENT: u32 = 95;
/// Time from a decision to the start of a task on an idle worker.
const START_DELAY: Duration = Duration::from_millis(50);
/// Time beyond the grace period after which the start of a guaranteed gang counts as late.
const MAX_START_DELAY: Duration = Duration::from_millis(2_700);
/// Interval of virtual time between samples of the fleet.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(60);

/// A gang that runs.
#[derive(Clone, Debug)]
struct Active {
    assignments: Vec<Assignment>,
    is_guaranteed: bool,
    started: Duration,
    ends_at: Duration,
    /// It is being evicted, and its resources are free from this time on.
    evicted_at: Option<Duration>,
}

/// State of a simulation.
struct Run<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    arrivals: BTreeMap<id::Job, &'a Arrival>,
    fleet: Fleet,
    estimates: Estimates,
    waiting: Vec<id::Job>,
    active: BTreeMap<id::Job, Active>,
    /// Run time that each job still needs.
    remaining_time: BTreeMap<id::Job, Duration>,
    first_start: BTreeMap<id::Job, Duration>,
    /// Time since which the guarantee of a waiting job's organisation has resources for it.
    holdable: BTreeMap<id::Job, Duration>,
    ended: BTreeMap<id::Job, Duration>,
    rng: Pcg64,
    /// Accelerator time lost to evictions, in seconds.
    lost: f64,
    /// Accelerator time used, in seconds.
    used: f64,
    figures: Figures,
    /// Fragmentation and utilisation, by sample.
    samples: Vec<(f64, f64)>,
    /// Durations of the decisions, in microseconds.
    passes: Vec<f64>,
}

/// Simulates a policy over a load until all jobs have ended.
pub fn run(deployment: &Deployment, policy: Policy, load: &[Arrival], seed: u64) -> Figures {
    let mut fleet = deployment.fleet.clone();
    let guarantees = deployment.rules.guarantees().collect();
    let bound = bind::bind(&bind::Options { guarantees, fleet: &fleet, previous: &[] });
    let has_guarantees = matches!(policy, Policy::Pass(mechanisms) if mechanisms.has_guarantees);
    for binding in bound.bindings.iter().filter(|_| has_guarantees) {
        let worker = fleet
            .workers
            .get_mut(&binding.worker)
            .expect("guarantees are bound to existing workers");
        worker.bound.insert(binding.organisation.clone(), binding.accelerators);
    }
    let mut run = Run {
        deployment,
        policy,
        arrivals: load.iter().map(|arrival| (arrival.job.id.clone(), arrival)).collect(),
        fleet,
        estimates: Estimates::default(),
        waiting: Vec::new(),
        active: BTreeMap::new(),
        remaining_time: load.iter().map(|arrival| (arrival.job.id.clone(), arrival.run)).collect(),
        first_start: BTreeMap::new(),
        holdable: BTreeMap::new(),
        ended: BTreeMap::new(),
        rng: Pcg64::seed_from_u64(seed),
        lost: 0.0,
        used: 0.0,
        figures: Figures::default(),
        samples: Vec::new(),
        passes: Vec::new(),
    };
    run.simulate(load);
    run.finish(load)
}

impl<'a> Run<'a> {
    /// Advances virtual time from one arrival or end to the next, and decides at each.
    fn simulate(&mut self, load: &'a [Arrival]) {
        let mut next = 0;
        let mut sample = Duration::ZERO;
        let last = load.last().map_or(Duration::ZERO, |arrival| arrival.at);
        loop {
            let arrival = load.get(next).map(|arrival| arrival.at);
            let end = self
                .active
                .values()
                .map(|active| active.evicted_at.unwrap_or(active.ends_at))
                .min();
            let Some(now) = [arrival, end].into_iter().flatten().min() else { break };
            while sample < now.min(last) {
                self.sample();
                sample += SAMPLE_INTERVAL;
            }
            while load.get(next).is_some_and(|arrival| arrival.at <= now) {
                self.waiting.push(load[next].job.id.clone());
                next += 1;
            }
            self.end_due(now);
            self.decide(now);
            self.assert_invariants();
        }
    }

    fn job(&self, id: &str) -> &'a Job {
        &self.arrivals[id].job
    }

    /// Ends the gangs that are done or whose eviction is complete.
    fn end_due(&mut self, now: Duration) {
        let due = self
            .active
            .iter()
            .filter(|(_, active)| active.evicted_at.unwrap_or(active.ends_at) <= now);
        let due: Vec<id::Job> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let active = self.active.remove(&id).expect("the job is active");
            self.release(&id, &active);
            let accelerators = f64::from(size::accelerators(self.job(&id)));
            let ran = now.saturating_sub(active.started);
            self.used += accelerators * seconds(ran);
            match active.evicted_at {
                None => {
                    self.estimates.observe(self.job(&id), self.arrivals[&id].run);
                    self.ended.insert(id, now);
                }
                Some(_) => self.requeue(id, ran, accelerators),
            }
        }
    }

    /// Queues an evicted job again, less the work that its checkpoint has kept.
    fn requeue(&mut self, id: id::Job, ran: Duration, accelerators: f64) {
        let saved = if self.rng.random_range(0..100) < CHECKPOINT_SUCCESS_PERCENT {
            ran.saturating_sub(CHECKPOINT_TIME)
        } else {
            Duration::ZERO
        };
        self.lost += accelerators * seconds(ran - saved);
        let remaining_time =
            self.remaining_time.get_mut(&id).expect("every job has a remaining run time");
        *remaining_time = remaining_time.saturating_sub(saved).max(Duration::from_secs(1));
        self.waiting.push(id);
    }

    /// Releases the resources of a gang.
    fn release(&mut self, id: &str, active: &Active) {
        let job = self.arrivals[id].job.clone();
        let shape = job.shape.unwrap_or_default();
        for assignment in &active.assignments {
            self.fleet.release(&assignment.worker, &shape, assignment.tasks);
            if active.is_guaranteed {
                let worker = self
                    .fleet
                    .workers
                    .get_mut(&assignment.worker)
                    .expect("the gang ran on this worker");
                let own = worker.guaranteed.entry(job.organisation.clone()).or_default();
                *own -= shape.accelerators * assignment.tasks;
            }
        }
    }

    /// Decides which waiting jobs start now, measures the decision's duration, and starts them.
    fn decide(&mut self, now: Duration) {
        let begin = Instant::now();
        let starts: Vec<(id::Job, place::Outcome, bool)> = match self.policy {
            Policy::Pass(mechanisms) => self.by_pass(now, mechanisms),
            _ => self
                .by_baseline(now)
                .into_iter()
                .map(|(id, outcome)| (id, outcome, false))
                .collect(),
        };
        self.passes.push(begin.elapsed().as_secs_f64() * 1e6);
        for (id, outcome, is_guaranteed) in starts {
            self.start(now, &id, outcome, is_guaranteed);
        }
        self.record_holdable(now);
    }

    fn by_baseline(&self, now: Duration) -> Vec<(id::Job, place::Outcome)> {
        let mut waiting: Vec<&Job> = self.waiting.iter().map(|id| self.job(id)).collect();
        waiting.sort_by_key(|job| (job.submitted_unix_ms, job.id.clone()));
        let fleet = self.fleet.clone();
        match self.policy {
            Policy::FirstFit => baseline::in_order(fleet, &waiting),
            Policy::Backfill => {
                let running = self.active.iter().map(|(id, active)| baseline::Running {
                    shape: self.job(id).shape.as_ref().expect("every job has a shape"),
                    assignments: &active.assignments,
                    expected_end: active.started + Duration::from_millis(self.job(id).declared_ms),
                });
                baseline::backfill(now, fleet, &waiting, &running.collect::<Vec<_>>())
            }
            _ => baseline::partitions(fleet, &waiting, &self.deployment.organisations),
        }
    }

    fn by_pass(
        &mut self,
        now: Duration,
        mechanisms: Mechanisms,
    ) -> Vec<(id::Job, place::Outcome, bool)> {
        self.record_holdable(now);
        let waiting = self.waiting.iter().map(|id| pass::Waiting {
            job: self.job(id),
            waited: now.saturating_sub(self.arrivals[id].at),
            expected: self.estimates.expect(self.job(id)),
        });
        let running: Vec<pass::Running> = self
            .active
            .iter()
            .map(|(id, active)| {
                let expected = self.estimates.expect(self.job(id));
                pass::Running {
                    organisation: self.job(id).organisation.clone(),
                    shape: self.job(id).shape.unwrap_or_default(),
                    assignments: active.assignments.clone(),
                    is_guaranteed: active.is_guaranteed,
                    remaining: Estimates::remaining(expected, now.saturating_sub(active.started)),
                }
            })
            .collect();
        let outcome = pass::pass(pass::Options {
            rules: &self.deployment.rules,
            fleet: self.fleet.clone(),
            waiting: waiting.collect(),
            running: &running,
            avoid: &[],
            mechanisms,
        });
        let starts = outcome.starts.into_iter();
        starts.map(|start| (start.job, start.place, start.is_guaranteed)).collect()
    }

    /// Records for which waiting jobs their organisation's guarantee has resources now.
    fn record_holdable(&mut self, now: Duration) {
        for id in self.waiting.clone() {
            let job = self.job(&id);
            let shape = job.shape.unwrap_or_default();
            let options = place::Options::guaranteed(&job.organisation, &shape);
            if place::place(&self.fleet, &options).is_some() {
                self.holdable.entry(id).or_insert(now);
            } else {
                self.holdable.remove(&id);
            }
        }
    }

    /// Starts a gang. If it runs on a guarantee, what borrowers hold of that is reclaimed first, as
    /// the agents do it: on each worker the borrowers whose eviction costs least, complete gangs,
    /// within the grace period.
    fn start(&mut self, now: Duration, id: &id::Job, outcome: place::Outcome, is_guaranteed: bool) {
        let job = self.job(id);
        let shape = job.shape.unwrap_or_default();
        let mut starts_at = now + START_DELAY;
        if is_guaranteed {
            starts_at = starts_at.max(self.reclaim(now, &shape, &outcome.assignments));
        }
        for assignment in &outcome.assignments {
            self.fleet.allocate(
                &assignment.worker,
                &job.organisation,
                &shape,
                assignment.tasks,
                is_guaranteed,
            );
        }
        self.waiting.retain(|waiting| waiting != id);
        self.first_start.entry(id.clone()).or_insert(starts_at);
        if is_guaranteed {
            self.record_guaranteed_start(id, starts_at);
        }
        let ends_at = starts_at + self.remaining_time[id];
        let assignments = outcome.assignments;
        let active =
            Active { assignments, is_guaranteed, started: starts_at, ends_at, evicted_at: None };
        self.active.insert(id.clone(), active);
    }

    /// Records how long the start of a guaranteed gang took.
    fn record_guaranteed_start(&mut self, id: &id::Job, starts_at: Duration) {
        let since = self.holdable.get(id).copied().unwrap_or(starts_at);
        let wait = starts_at.saturating_sub(since);
        let grace = self.deployment.rules.reclaim().grace;
        self.figures.guaranteed += 1.0;
        self.figures.late += f64::from(u8::from(wait > grace + MAX_START_DELAY));
        self.figures.worst_start = self.figures.worst_start.max(seconds(wait));
    }

    /// Evicts borrowers where a guaranteed gang needs their resources; returns when the last are
    /// free.
    fn reclaim(
        &mut self,
        now: Duration,
        shape: &sapphire_wire::Shape,
        assignments: &[Assignment],
    ) -> Duration {
        let mut free_at = now;
        for assignment in assignments {
            // Resources are allocated already to gangs that wait here for an eviction in progress.
            let worker = &self.fleet.workers[&assignment.worker];
            let claimed = worker.used.minus(&worker.capacity);
            let need = resource::Amount::of_tasks(shape, assignment.tasks).plus(&claimed);
            let borrowers = self.borrowers(now, &assignment.worker);
            let ending: Vec<&Active> =
                self.active.values().filter(|active| active.evicted_at.is_some()).collect();
            let mut available = self.fleet.workers[&assignment.worker].free();
            for active in ending {
                if active.assignments.iter().any(|own| own.worker == assignment.worker) {
                    free_at = free_at.max(active.evicted_at.unwrap_or(now));
                    let id = self.active.iter().find(|(_, other)| std::ptr::eq(*other, active));
                    let shape = id.and_then(|(id, _)| self.job(id).shape).unwrap_or_default();
                    let own =
                        active.assignments.iter().filter(|own| own.worker == assignment.worker);
                    let tasks = own.map(|own| own.tasks).sum();
                    available = available.plus(&resource::Amount::of_tasks(&shape, tasks));
                }
            }
            for id in reclaim::choose(borrowers, reclaim::Order::Youngest, &available, &need) {
                let active = self.active.get_mut(&id).expect("borrowers are active");
                active.evicted_at = Some(now + CHECKPOINT_TIME);
                self.figures.evictions += 1.0;
                free_at = free_at.max(now + CHECKPOINT_TIME);
            }
        }
        free_at
    }

    /// Gangs that run on a worker with borrowed resources and are not being evicted.
    fn borrowers(&self, now: Duration, worker: &str) -> Vec<reclaim::Borrower> {
        let here = self.active.iter().filter(|(_, active)| {
            !active.is_guaranteed
                && active.evicted_at.is_none()
                && active.assignments.iter().any(|assignment| assignment.worker == worker)
        });
        here.map(|(id, active)| {
            let shape = self.job(id).shape.unwrap_or_default();
            let own = active.assignments.iter().filter(|assignment| assignment.worker == worker);
            let tasks = own.map(|assignment| assignment.tasks).sum();
            reclaim::Borrower {
                attempt: id.clone(),
                need: resource::Amount::of_tasks(&shape, tasks),
                ran: now.saturating_sub(active.started),
                gang: size::accelerators(self.job(id)),
            }
        })
        .collect()
    }

    /// Samples the share of the free accelerators that can't serve the largest guaranteed shape,
    /// and the share of all accelerators that are in use.
    fn sample(&mut self) {
        let capacity: u32 = self.fleet.workers.values().map(|w| w.capacity.accelerators).sum();
        let free: u32 = self.fleet.workers.values().map(|w| w.free().accelerators).sum();
        let shape = self.deployment.largest;
        let mut fleet = self.fleet.clone();
        fleet.workers.values_mut().for_each(|worker| worker.bound.clear());
        let mut served = 0;
        while let Some(outcome) = place::place(&fleet, &place::Options::borrowing("", &shape)) {
            for assignment in &outcome.assignments {
                fleet.allocate(&assignment.worker, "", &shape, assignment.tasks, false);
            }
            served += shape.accelerators * shape.tasks;
        }
        let fragmented = f64::from(free - served) / f64::from(free.max(1));
        let in_use = f64::from(capacity - free.min(capacity)) / f64::from(capacity);
        self.samples.push((if free == 0 { 0.0 } else { fragmented }, in_use));
    }

    /// No accelerator is allocated twice, except to a gang that waits for an eviction in progress.
    fn assert_invariants(&self) {
        for (name, worker) in &self.fleet.workers {
            let evicting: u32 = self
                .active
                .iter()
                .filter(|(_, active)| active.evicted_at.is_some())
                .flat_map(|(id, active)| active.assignments.iter().map(move |part| (id, part)))
                .filter(|(_, part)| part.worker == *name)
                .map(|(id, part)| self.job(id).shape.unwrap_or_default().accelerators * part.tasks)
                .sum();
            let allocated = worker.used.accelerators;
            assert!(
                allocated <= worker.capacity.accelerators + evicting,
                "accelerators of {name} are allocated twice"
            );
        }
    }

    /// Checks that all jobs have ended and computes the figures.
    fn finish(mut self, load: &[Arrival]) -> Figures {
        assert_eq!(self.ended.len(), load.len(), "jobs were lost");
        let completion = |arrival: &Arrival| seconds(self.ended[&arrival.job.id] - arrival.at);
        let mut times: Vec<f64> = load.iter().map(completion).collect();
        let slowdowns: Vec<f64> =
            load.iter().map(|arrival| completion(arrival) / seconds(arrival.run)).collect();
        let min_large = self.deployment.largest.tasks * self.deployment.largest.accelerators;
        let large = load.iter().filter(|arrival| size::accelerators(&arrival.job) >= min_large);
        let waits: Vec<f64> =
            large.map(|a| seconds(self.first_start[&a.job.id].saturating_sub(a.at))).collect();
        let mean = |numbers: &[f64]| figures::mean_and_deviation(numbers).0;
        let (fragmented, in_use): (Vec<f64>, Vec<f64>) = self.samples.iter().copied().unzip();
        Figures {
            completion_mean: mean(&times),
            completion_p99: figures::quantile(&mut times, 0.99),
            slowdown: mean(&slowdowns),
            fragmentation: mean(&fragmented),
            large_wait: mean(&waits),
            utilisation: mean(&in_use),
            lost: self.lost / self.used.max(1.0),
            pass_p50: figures::quantile(&mut self.passes, 0.5),
            pass_p99: figures::quantile(&mut self.passes, 0.99),
            ..self.figures
        }
    }
}
