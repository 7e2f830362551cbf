//! One run of one policy over one load.

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

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// First-fit in arrival order.
    FirstFit,
    /// The same with backfill.
    Backfill,
    /// Static partitions by organisation.
    Partitions,
    /// The product's pass.
    Pass(Mechanisms),
}

/// Time that a checkpoint takes, within the grace period.
const CHECKPOINT: Duration = Duration::from_secs(5);
/// Checkpoints that succeed, in a hundred; after another all since the start is lost.
const CHECKPOINTS_WELL: u32 = 95;
/// Time from a decision to the start of an idle worker's task.
const START: Duration = Duration::from_millis(50);
/// Longest start of a guaranteed gang beyond the grace period.
const PROMPT: Duration = Duration::from_millis(2_700);
/// How often the fleet is sampled.
const SAMPLE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Live {
    seats: Vec<Assignment>,
    is_guaranteed: bool,
    started: Duration,
    ends: Duration,
    /// It is being evicted and its room is free from then.
    evicted_at: Option<Duration>,
}

struct Run<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    arrivals: BTreeMap<id::Job, &'a Arrival>,
    fleet: Fleet,
    estimates: Estimates,
    waiting: Vec<id::Job>,
    live: BTreeMap<id::Job, Live>,
    left: BTreeMap<id::Job, Duration>,
    first_start: BTreeMap<id::Job, Duration>,
    /// When a job's organisation's guarantee could first hold it.
    holdable: BTreeMap<id::Job, Duration>,
    ended: BTreeMap<id::Job, Duration>,
    rng: Pcg64,
    lost: f64,
    used: f64,
    figures: Figures,
    samples: Vec<(f64, f64)>,
    passes: Vec<f64>,
}

/// Runs a policy over a load to the end of its last job.
pub fn run(deployment: &Deployment, policy: Policy, load: &[Arrival], seed: u64) -> Figures {
    let mut fleet = deployment.fleet.clone();
    let guarantees = deployment.rules.guarantees().collect();
    let bound = bind::bind(&bind::Options { guarantees, fleet: &fleet, previous: &[] });
    let has_guarantees = matches!(policy, Policy::Pass(mechanisms) if mechanisms.has_guarantees);
    for binding in bound.bindings.iter().filter(|_| has_guarantees) {
        let worker = fleet.workers.get_mut(&binding.worker).expect("bound to a worker there is");
        worker.bound.insert(binding.organisation.clone(), binding.accelerators);
    }
    let mut run = Run {
        deployment,
        policy,
        arrivals: load.iter().map(|arrival| (arrival.job.id.clone(), arrival)).collect(),
        fleet,
        estimates: Estimates::default(),
        waiting: Vec::new(),
        live: BTreeMap::new(),
        left: load.iter().map(|arrival| (arrival.job.id.clone(), arrival.run)).collect(),
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
    run.go(load);
    run.finish(load)
}

impl<'a> Run<'a> {
    fn go(&mut self, load: &'a [Arrival]) {
        let mut next = 0;
        let mut sample = Duration::ZERO;
        let last = load.last().map_or(Duration::ZERO, |arrival| arrival.at);
        loop {
            let arrival = load.get(next).map(|arrival| arrival.at);
            let end = self.live.values().map(|live| live.evicted_at.unwrap_or(live.ends)).min();
            let Some(now) = [arrival, end].into_iter().flatten().min() else { break };
            while sample < now.min(last) {
                self.sample();
                sample += SAMPLE;
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

    fn end_due(&mut self, now: Duration) {
        let due = self.live.iter().filter(|(_, live)| live.evicted_at.unwrap_or(live.ends) <= now);
        let due: Vec<id::Job> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let live = self.live.remove(&id).expect("just found");
            self.release(&id, &live);
            let accelerators = f64::from(size::accelerators(self.job(&id)));
            let ran = now.saturating_sub(live.started);
            self.used += accelerators * seconds(ran);
            match live.evicted_at {
                None => {
                    self.estimates.observe(self.job(&id), self.arrivals[&id].run);
                    self.ended.insert(id, now);
                }
                Some(_) => self.requeue(id, ran, accelerators),
            }
        }
    }

    fn requeue(&mut self, id: id::Job, ran: Duration, accelerators: f64) {
        let kept = if self.rng.random_range(0..100) < CHECKPOINTS_WELL {
            ran.saturating_sub(CHECKPOINT)
        } else {
            Duration::ZERO
        };
        self.lost += accelerators * seconds(ran - kept);
        let left = self.left.get_mut(&id).expect("each job has one");
        *left = left.saturating_sub(kept).max(Duration::from_secs(1));
        self.waiting.push(id);
    }

    fn release(&mut self, id: &str, live: &Live) {
        let job = self.arrivals[id].job.clone();
        let shape = job.shape.unwrap_or_default();
        for seat in &live.seats {
            self.fleet.release(&seat.worker, &shape, seat.tasks);
            if live.is_guaranteed {
                let worker = self.fleet.workers.get_mut(&seat.worker).expect("it ran there");
                let own = worker.guaranteed.entry(job.organisation.clone()).or_default();
                *own -= shape.accelerators * seat.tasks;
            }
        }
    }

    fn decide(&mut self, now: Duration) {
        let begin = Instant::now();
        let starts: Vec<(id::Job, place::Outcome, bool)> = match self.policy {
            Policy::Pass(mechanisms) => self.by_pass(now, mechanisms),
            _ => self.by_baseline(now).into_iter().map(|(id, place)| (id, place, false)).collect(),
        };
        self.passes.push(begin.elapsed().as_secs_f64() * 1e6);
        for (id, place, is_guaranteed) in starts {
            self.start(now, &id, place, is_guaranteed);
        }
        self.note_holdable(now);
    }

    fn by_baseline(&self, now: Duration) -> Vec<(id::Job, place::Outcome)> {
        let mut waiting: Vec<&Job> = self.waiting.iter().map(|id| self.job(id)).collect();
        waiting.sort_by_key(|job| (job.submitted_unix_ms, job.id.clone()));
        let fleet = self.fleet.clone();
        match self.policy {
            Policy::FirstFit => baseline::in_order(fleet, &waiting),
            Policy::Backfill => {
                let running = self.live.iter().map(|(id, live)| baseline::Running {
                    shape: self.job(id).shape.as_ref().expect("each job has one"),
                    seats: &live.seats,
                    ends: live.started + Duration::from_millis(self.job(id).declared_ms),
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
        self.note_holdable(now);
        let waiting = self.waiting.iter().map(|id| pass::Waiting {
            job: self.job(id),
            waited: now.saturating_sub(self.arrivals[id].at),
            expected: self.estimates.expect(self.job(id)),
        });
        let running: Vec<pass::Running> = self
            .live
            .iter()
            .map(|(id, live)| {
                let expected = self.estimates.expect(self.job(id));
                pass::Running {
                    organisation: self.job(id).organisation.clone(),
                    shape: self.job(id).shape.unwrap_or_default(),
                    assignments: live.seats.clone(),
                    is_guaranteed: live.is_guaranteed,
                    remaining: Estimates::remaining(expected, now.saturating_sub(live.started)),
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

    /// Notes which waiting jobs their organisation's guarantee could hold now.
    fn note_holdable(&mut self, now: Duration) {
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

    /// Starts a gang. What borrowers hold of its guarantee is reclaimed first, as the agents
    /// do it: the cheapest on each worker, whole gangs, within the grace period.
    fn start(&mut self, now: Duration, id: &id::Job, place: place::Outcome, is_guaranteed: bool) {
        let job = self.job(id);
        let shape = job.shape.unwrap_or_default();
        let mut begins = now + START;
        if is_guaranteed {
            begins = begins.max(self.reclaim(now, &shape, &place.assignments));
        }
        for seat in &place.assignments {
            self.fleet.allocate(&seat.worker, &job.organisation, &shape, seat.tasks, is_guaranteed);
        }
        self.waiting.retain(|waiting| waiting != id);
        self.first_start.entry(id.clone()).or_insert(begins);
        if is_guaranteed {
            self.note_guaranteed(id, begins);
        }
        let ends = begins + self.left[id];
        let seats = place.assignments;
        let live = Live { seats, is_guaranteed, started: begins, ends, evicted_at: None };
        self.live.insert(id.clone(), live);
    }

    fn note_guaranteed(&mut self, id: &id::Job, begins: Duration) {
        let since = self.holdable.get(id).copied().unwrap_or(begins);
        let wait = begins.saturating_sub(since);
        let grace = self.deployment.rules.reclaim().grace;
        self.figures.guaranteed += 1.0;
        self.figures.late += f64::from(u8::from(wait > grace + PROMPT));
        self.figures.worst_start = self.figures.worst_start.max(seconds(wait));
    }

    fn reclaim(
        &mut self,
        now: Duration,
        shape: &sapphire_wire::Shape,
        seats: &[Assignment],
    ) -> Duration {
        let mut free_at = now;
        for seat in seats {
            // Gangs that wait here for an eviction under way have been given room already.
            let worker = &self.fleet.workers[&seat.worker];
            let claimed = worker.used.minus(&worker.capacity);
            let need = resource::Amount::of_tasks(shape, seat.tasks).plus(&claimed);
            let borrowers = self.borrowers(now, &seat.worker);
            let ending: Vec<&Live> =
                self.live.values().filter(|live| live.evicted_at.is_some()).collect();
            let mut room = self.fleet.workers[&seat.worker].free();
            for live in ending {
                if live.seats.iter().any(|own| own.worker == seat.worker) {
                    free_at = free_at.max(live.evicted_at.unwrap_or(now));
                    let id = self.live.iter().find(|(_, other)| std::ptr::eq(*other, live));
                    let shape = id.and_then(|(id, _)| self.job(id).shape).unwrap_or_default();
                    let own = live.seats.iter().filter(|own| own.worker == seat.worker);
                    let tasks = own.map(|own| own.tasks).sum();
                    room = room.plus(&resource::Amount::of_tasks(&shape, tasks));
                }
            }
            for id in reclaim::choose(borrowers, reclaim::Order::Youngest, &room, &need) {
                let live = self.live.get_mut(&id).expect("it runs");
                live.evicted_at = Some(now + CHECKPOINT);
                self.figures.evictions += 1.0;
                free_at = free_at.max(now + CHECKPOINT);
            }
        }
        free_at
    }

    fn borrowers(&self, now: Duration, worker: &str) -> Vec<reclaim::Borrower> {
        let here = self.live.iter().filter(|(_, live)| {
            !live.is_guaranteed
                && live.evicted_at.is_none()
                && live.seats.iter().any(|seat| seat.worker == worker)
        });
        here.map(|(id, live)| {
            let shape = self.job(id).shape.unwrap_or_default();
            let own = live.seats.iter().filter(|seat| seat.worker == worker);
            let tasks = own.map(|seat| seat.tasks).sum();
            reclaim::Borrower {
                attempt: id.clone(),
                need: resource::Amount::of_tasks(&shape, tasks),
                ran: now.saturating_sub(live.started),
                gang: size::accelerators(self.job(id)),
            }
        })
        .collect()
    }

    /// Share of free accelerators that can't serve the largest guaranteed shape, and of those
    /// in use.
    fn sample(&mut self) {
        let capacity: u32 = self.fleet.workers.values().map(|w| w.capacity.accelerators).sum();
        let free: u32 = self.fleet.workers.values().map(|w| w.free().accelerators).sum();
        let shape = self.deployment.largest;
        let mut fleet = self.fleet.clone();
        fleet.workers.values_mut().for_each(|worker| worker.bound.clear());
        let mut served = 0;
        while let Some(place) = place::place(&fleet, &place::Options::borrowing("", &shape)) {
            for seat in &place.assignments {
                fleet.allocate(&seat.worker, "", &shape, seat.tasks, false);
            }
            served += shape.accelerators * shape.tasks;
        }
        let scattered = f64::from(free - served) / f64::from(free.max(1));
        let in_use = f64::from(capacity - free.min(capacity)) / f64::from(capacity);
        self.samples.push((if free == 0 { 0.0 } else { scattered }, in_use));
    }

    /// No accelerator is taken twice, save by a gang that waits for an eviction under way.
    fn assert_invariants(&self) {
        for (name, worker) in &self.fleet.workers {
            let leaving: u32 = self
                .live
                .iter()
                .filter(|(_, live)| live.evicted_at.is_some())
                .flat_map(|(id, live)| live.seats.iter().map(move |seat| (id, seat)))
                .filter(|(_, seat)| seat.worker == *name)
                .map(|(id, seat)| self.job(id).shape.unwrap_or_default().accelerators * seat.tasks)
                .sum();
            let taken = worker.used.accelerators;
            assert!(taken <= worker.capacity.accelerators + leaving, "{name} is taken twice");
        }
    }

    fn finish(mut self, load: &[Arrival]) -> Figures {
        assert_eq!(self.ended.len(), load.len(), "jobs were lost");
        let completion = |arrival: &Arrival| seconds(self.ended[&arrival.job.id] - arrival.at);
        let mut times: Vec<f64> = load.iter().map(completion).collect();
        let slowdowns: Vec<f64> =
            load.iter().map(|arrival| completion(arrival) / seconds(arrival.run)).collect();
        let least = self.deployment.largest.tasks * self.deployment.largest.accelerators;
        let large = load.iter().filter(|arrival| size::accelerators(&arrival.job) >= least);
        let waits: Vec<f64> =
            large.map(|a| seconds(self.first_start[&a.job.id].saturating_sub(a.at))).collect();
        let mean = |numbers: &[f64]| figures::spread(numbers).0;
        let (scattered, in_use): (Vec<f64>, Vec<f64>) = self.samples.iter().copied().unzip();
        Figures {
            completion_mean: mean(&times),
            completion_p99: figures::quantile(&mut times, 0.99),
            slowdown: mean(&slowdowns),
            fragmentation: mean(&scattered),
            large_wait: mean(&waits),
            utilisation: mean(&in_use),
            lost: self.lost / self.used.max(1.0),
            pass_p50: figures::quantile(&mut self.passes, 0.5),
            pass_p99: figures::quantile(&mut self.passes, 0.99),
            ..self.figures
        }
    }
}
