//! One pass over the waiting jobs: which start now, where, and why the others wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_rules::file;
use sapphire_wire::{Job, Shape, id};

use crate::{
    fleet::Fleet,
    place::{self, Seat},
    queue,
};

/// Waiting time after which a job's area counts half.
const AGEING: f64 = 1_800.0;
/// Jobs for which room is kept, at most.
const RESERVATIONS: usize = 2;

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiting<'a> {
    /// The job.
    pub job: &'a Job,
    /// How long it has waited.
    pub waited: Duration,
    /// How long it is expected to run.
    pub expected: Duration,
}

/// A gang that runs or is about to.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its organisation.
    pub organisation: id::Organisation,
    /// Its shape.
    pub shape: Shape,
    /// Where it is.
    pub seats: Vec<Seat>,
    /// It runs on its organisation's guarantee.
    pub is_guaranteed: bool,
    /// How much longer it is expected to run.
    pub remaining: Duration,
}

/// Mechanisms that can be switched off, to measure what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Order by expected area and age; without it, by arrival.
    pub has_order: bool,
    /// Room kept for large gangs that wait.
    pub has_reservation: bool,
    /// Guarantees, with reclaim.
    pub has_guarantees: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms { has_order: true, has_reservation: true, has_guarantees: true }
    }
}

/// What a pass looks at.
pub struct Options<'a> {
    /// Rules in force.
    pub rules: &'a file::File,
    /// Workers, with what is bound and taken.
    pub fleet: Fleet,
    /// Jobs that may start.
    pub waiting: Vec<Waiting<'a>>,
    /// Gangs that run.
    pub running: &'a [Running],
    /// Workers to leave out.
    pub avoid: &'a [id::Worker],
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
}

/// A gang that is to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Its job.
    pub job: id::Job,
    /// Where.
    pub place: place::Outcome,
    /// On its organisation's guarantee.
    pub is_guaranteed: bool,
}

/// What a pass decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Gangs to start, in order.
    pub starts: Vec<Start>,
    /// Why the others wait.
    pub why: BTreeMap<id::Job, String>,
}

/// Room kept for a gang that waits.
struct Reservation {
    workers: BTreeSet<id::Worker>,
    within: Duration,
}

/// One pass in progress.
struct Pass<'a> {
    options: Options<'a>,
    borrowed: BTreeMap<id::Organisation, u32>,
    reservations: Vec<Reservation>,
    outcome: Outcome,
}

/// Decides which waiting jobs start now.
///
/// First every gang that its organisation's guarantee can hold, reclaiming what others borrow;
/// then borrowers, in order, that fit into what is free. For the first of those that don't fit
/// room is kept: others may use it only when they are expected to be gone in time.
pub fn pass(options: Options<'_>) -> Outcome {
    let mut borrowed = BTreeMap::new();
    for running in options.running.iter().filter(|running| !running.is_guaranteed) {
        let accelerators = running.shape.accelerators * running.shape.tasks;
        *borrowed.entry(running.organisation.clone()).or_default() += accelerators;
    }
    let outcome = Outcome::default();
    let mut pass = Pass { options, borrowed, reservations: Vec::new(), outcome };
    let waiting = pass.order();
    let left: Vec<Waiting<'_>> =
        waiting.into_iter().filter(|waiting| !pass.start_guaranteed(waiting)).collect();
    for waiting in &left {
        pass.start_borrower(waiting);
    }
    pass.outcome
}

impl<'a> Pass<'a> {
    /// Urgent jobs first, then by score.
    fn order(&mut self) -> Vec<Waiting<'a>> {
        let mut waiting = std::mem::take(&mut self.options.waiting);
        let mut keyed: Vec<(f64, Waiting<'a>)> =
            waiting.drain(..).map(|waiting| (self.score(&waiting), waiting)).collect();
        keyed.sort_by(|(left_score, left), (right_score, right)| {
            let by_urgency = right.job.urgent.cmp(&left.job.urgent);
            let by_arrival = left.job.submitted_unix_ms.cmp(&right.job.submitted_unix_ms);
            let by_score = left_score.total_cmp(right_score);
            by_urgency.then(by_score).then(by_arrival).then(left.job.id.cmp(&right.job.id))
        });
        keyed.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Lower goes first: the expected area (accelerators times run time), more for an
    /// organisation that borrows much for its weight, less with priority and with age.
    fn score(&self, waiting: &Waiting<'_>) -> f64 {
        if !self.options.mechanisms.has_order {
            return 0.0;
        }
        let job = waiting.job;
        let organisation = self.options.rules.organisation(&job.organisation);
        let weight = organisation.map_or(1, |organisation| organisation.weight);
        let priority = organisation.map_or(0, |organisation| organisation.priority);
        let borrows = self.borrowed.get(&job.organisation).copied().unwrap_or(0);
        let area = waiting.expected.as_secs_f64() * f64::from(queue::accelerators(job));
        let share = (1.0 + f64::from(borrows)) / f64::from(weight);
        let age = 1.0 + waiting.waited.as_secs_f64() / AGEING;
        area * share.sqrt() / (age * age * (1.0 + f64::from(priority)))
    }

    fn start_guaranteed(&mut self, waiting: &Waiting<'_>) -> bool {
        if !self.options.mechanisms.has_guarantees {
            return false;
        }
        let job = waiting.job;
        let shape = job.shape.unwrap_or_default();
        let avoid = self.options.avoid;
        let options =
            place::Options { avoid, ..place::Options::guaranteed(&job.organisation, &shape) };
        let Some(place) = place::place(&self.options.fleet, &options) else { return false };
        self.start(job, place, true);
        true
    }

    fn start(&mut self, job: &Job, place: place::Outcome, is_guaranteed: bool) {
        let shape = job.shape.unwrap_or_default();
        for seat in &place.seats {
            let fleet = &mut self.options.fleet;
            fleet.take(&seat.worker, &job.organisation, &shape, seat.tasks, is_guaranteed);
        }
        if !is_guaranteed {
            let accelerators = queue::accelerators(job);
            *self.borrowed.entry(job.organisation.clone()).or_default() += accelerators;
        }
        self.outcome.starts.push(Start { job: job.id.clone(), place, is_guaranteed });
    }

    fn start_borrower(&mut self, waiting: &Waiting<'_>) {
        let job = waiting.job;
        let in_use = self.borrowed.get(&job.organisation).copied().unwrap_or(0);
        let quota = self.options.rules.quota(&job.organisation).unwrap_or(u32::MAX);
        if in_use.saturating_add(queue::accelerators(job)) > quota {
            let why = format!("its organisation borrows {in_use} of {quota} accelerators");
            self.outcome.why.insert(job.id.clone(), why);
            return;
        }
        let shape = job.shape.unwrap_or_default();
        let mut avoid = self.options.avoid.to_vec();
        for reservation in &self.reservations {
            if waiting.expected > reservation.within {
                avoid.extend(reservation.workers.iter().cloned());
            }
        }
        let borrowing = place::Options::borrowing(&job.organisation, &shape);
        let options = place::Options { avoid: &avoid, ..borrowing };
        if let Some(place) = place::place(&self.options.fleet, &options) {
            self.start(job, place, false);
            return;
        }
        let is_large = queue::accelerators(job) > 1;
        let may_reserve = self.options.mechanisms.has_reservation && is_large;
        let mut why = "no group of workers has room for the whole gang".to_owned();
        if may_reserve
            && self.reservations.len() < RESERVATIONS
            && let Some(reservation) = self.reserve(job, &shape)
        {
            why = format!("room is kept for it, expected within {:?}", reservation.within);
            self.reservations.push(reservation);
        }
        self.outcome.why.insert(job.id.clone(), why);
    }

    /// Finds the room that is expected to be free first, as running gangs end one by one.
    fn reserve(&self, job: &Job, shape: &Shape) -> Option<Reservation> {
        let mut fleet = self.options.fleet.clone();
        let mut ends: Vec<&Running> = self.options.running.iter().collect();
        ends.sort_by_key(|running| running.remaining);
        let avoid: Vec<id::Worker> =
            self.reservations.iter().flat_map(|other| other.workers.iter().cloned()).collect();
        let borrowing = place::Options::borrowing(&job.organisation, shape);
        let options = place::Options { avoid: &avoid, ..borrowing };
        for running in ends {
            for seat in &running.seats {
                fleet.give(&seat.worker, &running.shape, seat.tasks);
            }
            if let Some(place) = place::place(&fleet, &options) {
                let workers = place.seats.into_iter().map(|seat| seat.worker).collect();
                return Some(Reservation { workers, within: running.remaining });
            }
        }
        None
    }
}
