//! One scheduling pass over the waiting jobs: which of them start now and where, and why the others
//! wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_rules::{file, rule};
use sapphire_wire::{Job, Shape, id};

use crate::{
    bind,
    fleet::Fleet,
    place::{self, Assignment},
    size,
};

/// Waiting time in seconds after which a job's score is a quarter of its initial value.
const AGEING_SECONDS: f64 = 1_800.0;
/// Maximum number of waiting jobs that resources are reserved for.
const MAX_RESERVATIONS: usize = 2;

/// A waiting job.
#[derive(Clone, Debug)]
pub struct Waiting<'a> {
    /// Job that waits.
    pub job: &'a Job,
    /// Time that it has waited.
    pub waited: Duration,
    /// Expected run time.
    pub expected: Duration,
}

/// A gang that is running or about to start.
#[derive(Clone, Debug)]
pub struct Running {
    /// Organisation that the gang belongs to.
    pub organisation: id::Organisation,
    /// Shape of the gang.
    pub shape: Shape,
    /// Workers that it runs on.
    pub assignments: Vec<Assignment>,
    /// Whether it runs on its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Expected remaining run time.
    pub remaining: Duration,
}

/// Mechanisms of a pass. Each can be switched off to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Order by expected run time, size and age; if off, order by arrival.
    pub has_order: bool,
    /// Reservation of resources for large gangs that wait.
    pub has_reservation: bool,
    /// Protection of blocks, which are free resources for the largest guaranteed shape.
    pub has_block_protection: bool,
    /// Guarantees, and the reclaim of what others borrow of them.
    pub has_guarantees: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            has_order: true,
            has_reservation: true,
            has_block_protection: true,
            has_guarantees: true,
        }
    }
}

/// Input of a pass.
pub struct Options<'a> {
    /// Rule file in force.
    pub rules: &'a file::File,
    /// Workers, with their use and bindings.
    pub fleet: Fleet,
    /// Waiting jobs.
    pub waiting: Vec<Waiting<'a>>,
    /// Running gangs.
    pub running: &'a [Running],
    /// Workers that must not be used.
    pub avoid: &'a [id::Worker],
    /// Mechanisms that are in use.
    pub mechanisms: Mechanisms,
}

/// A gang that is to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Identifier of its job.
    pub job: id::Job,
    /// Workers that it starts on.
    pub place: place::Outcome,
    /// Whether it starts on its organisation's guarantee.
    pub is_guaranteed: bool,
}

/// Result of a pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Gangs to start, in order.
    pub starts: Vec<Start>,
    /// Reason for waiting of each other job.
    pub why: BTreeMap<id::Job, String>,
}

/// Parameters that follow from the balance between completion time and fragmentation in the rule
/// file.
///
/// Their slopes lie between the balances of two members; docs/DESIGN.md gives the reasons.
struct Preference {
    /// Exponent of the expected run time in the score; 1 means shortest first.
    time: f64,
    /// Exponent of the size in the score; if it is negative, large gangs go first.
    size: f64,
    /// Number of blocks that smaller jobs must leave intact.
    protected_blocks: u32,
    /// Time that a smaller job waits for other resources rather than break one of these blocks.
    max_wait: Duration,
}

impl Preference {
    fn new(balance: &rule::Balance) -> Self {
        let total = f64::from((balance.completion + balance.fragmentation).max(1));
        let fragmentation = f64::from(balance.fragmentation) / total;
        Preference {
            time: 1.0 - 0.6 * fragmentation,
            size: 1.0 - 4.0 * fragmentation,
            protected_blocks: (3.0 * fragmentation).round() as u32,
            max_wait: Duration::from_secs(5_400).mul_f64(fragmentation),
        }
    }
}

/// Workers that are reserved for a waiting gang.
struct Reservation {
    workers: BTreeSet<id::Worker>,
    /// Expected time until the gang can start.
    within: Duration,
}

/// One pass in progress.
struct Pass<'a> {
    options: Options<'a>,
    preference: Preference,
    /// Largest guaranteed shape, whose blocks are protected.
    block_shape: Option<Shape>,
    /// Number of borrowed accelerators by organisation.
    borrowed: BTreeMap<id::Organisation, u32>,
    reservations: Vec<Reservation>,
    outcome: Outcome,
}

/// Decides which waiting jobs start now.
///
/// In the order of the jobs, each gang starts on its organisation's guarantee, which reclaims what
/// others borrow of it, or on free accelerators. Workers are reserved for the first gangs that don't
/// fit: other jobs may use these workers only if they are expected to have ended in time.
pub fn pass(options: Options<'_>) -> Outcome {
    let mut borrowed = BTreeMap::new();
    for running in options.running.iter().filter(|running| !running.is_guaranteed) {
        let accelerators = running.shape.accelerators * running.shape.tasks;
        *borrowed.entry(running.organisation.clone()).or_default() += accelerators;
    }
    let outcome = Outcome::default();
    let block_shape =
        largest_guaranteed_shape(options.rules).filter(|_| options.mechanisms.has_block_protection);
    let preference = Preference::new(&options.rules.balance());
    let mut pass =
        Pass { options, preference, block_shape, borrowed, reservations: Vec::new(), outcome };
    for waiting in pass.order() {
        let is_small = pass.is_small(waiting.job);
        let is_started = (!is_small && pass.start_guaranteed(&waiting))
            || pass.start_borrower(&waiting, is_small)
            || (is_small && pass.start_guaranteed(&waiting));
        if !is_started {
            pass.wait(&waiting);
        }
    }
    pass.outcome
}

/// The guaranteed shape with the most accelerators.
fn largest_guaranteed_shape(rules: &file::File) -> Option<Shape> {
    let shapes = rules.guarantees().map(|(_, guarantee)| bind::shape(guarantee));
    shapes.max_by_key(|shape| (shape.accelerators * shape.tasks, shape.tasks))
}

impl<'a> Pass<'a> {
    /// Sorts the waiting jobs: urgent ones first, then by score, by arrival and by identifier.
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

    /// Score of a waiting job; lower scores go first. It grows with the expected run time and with
    /// the size, each as far as the balance rule sets, and with what the organisation borrows in
    /// relation to its weight. It falls with the organisation's priority and the waiting time.
    fn score(&self, waiting: &Waiting<'_>) -> f64 {
        if !self.options.mechanisms.has_order {
            return 0.0;
        }
        let job = waiting.job;
        let organisation = self.options.rules.organisation(&job.organisation);
        let weight = organisation.map_or(1, |organisation| organisation.weight);
        let priority = organisation.map_or(0, |organisation| organisation.priority);
        let borrows = self.borrowed.get(&job.organisation).copied().unwrap_or(0);
        let time = waiting.expected.as_secs_f64().powf(self.preference.time);
        let size = f64::from(size::accelerators(job)).powf(self.preference.size);
        let share = (1.0 + f64::from(borrows)) / f64::from(weight);
        let age = 1.0 + waiting.waited.as_secs_f64() / AGEING_SECONDS;
        time * size * share.sqrt() / (age * age * (1.0 + f64::from(priority)))
    }

    /// Starts a gang on its organisation's guarantee, which reclaims what others borrow of it.
    /// Returns whether it fits.
    fn start_guaranteed(&mut self, waiting: &Waiting<'_>) -> bool {
        if !self.options.mechanisms.has_guarantees {
            return false;
        }
        let job = waiting.job;
        let shape = job.shape.unwrap_or_default();
        let avoid = self.options.avoid;
        let block_shape = self.block_shape;
        let guaranteed = place::Options::guaranteed(&job.organisation, &shape);
        let options = place::Options { avoid, block_shape: block_shape.as_ref(), ..guaranteed };
        let Some(place) = place::place(&self.options.fleet, &options) else { return false };
        self.start(job, place, true);
        true
    }

    /// Records the start of a gang and marks its resources as used.
    fn start(&mut self, job: &Job, place: place::Outcome, is_guaranteed: bool) {
        let shape = job.shape.unwrap_or_default();
        for assignment in &place.assignments {
            let fleet = &mut self.options.fleet;
            fleet.allocate(
                &assignment.worker,
                &job.organisation,
                &shape,
                assignment.tasks,
                is_guaranteed,
            );
        }
        if !is_guaranteed {
            let accelerators = size::accelerators(job);
            *self.borrowed.entry(job.organisation.clone()).or_default() += accelerators;
        }
        self.outcome.starts.push(Start { job: job.id.clone(), place, is_guaranteed });
    }

    /// Whether a job is smaller than its organisation's largest guarantee. Such a job borrows if it
    /// can, so that the accelerators of the guarantee stay available for a gang of the full size.
    fn is_small(&self, job: &Job) -> bool {
        let own =
            self.options.rules.guarantees().filter(|(_, g)| g.organisation == job.organisation);
        let largest = own.map(|(_, guarantee)| guarantee.accelerators * guarantee.tasks).max();
        largest.is_some_and(|largest| size::accelerators(job) < largest)
    }

    /// Reason why a job may not borrow, if its organisation would exceed its quota.
    fn borrows_beyond_quota(&self, job: &Job) -> Option<String> {
        let in_use = self.borrowed.get(&job.organisation).copied().unwrap_or(0);
        let quota = self.options.rules.quota(&job.organisation)?;
        let is_beyond = in_use.saturating_add(size::accelerators(job)) > quota;
        is_beyond.then(|| format!("its organisation borrows {in_use} of {quota} accelerators"))
    }

    /// Starts a job on free accelerators, and returns whether it does. A job that can fall back on a
    /// guarantee doesn't use accelerators that are bound to guarantees.
    fn start_borrower(&mut self, waiting: &Waiting<'_>, has_guarantee: bool) -> bool {
        let job = waiting.job;
        if self.borrows_beyond_quota(job).is_some() {
            return false;
        }
        let shape = job.shape.unwrap_or_default();
        let mut avoid = self.options.avoid.to_vec();
        for reservation in &self.reservations {
            if waiting.expected > reservation.within {
                avoid.extend(reservation.workers.iter().cloned());
            }
        }
        let block_shape = self.block_shape;
        let borrowing = place::Options::borrowing(&job.organisation, &shape);
        let options =
            place::Options { avoid: &avoid, block_shape: block_shape.as_ref(), ..borrowing };
        let Some(place) = place::place(&self.options.fleet, &options) else { return false };
        if self.must_protect_block(waiting, &place) {
            return false;
        }
        if has_guarantee && self.uses_bound(&place, &shape) {
            return false;
        }
        self.start(job, place, false);
        true
    }

    /// Whether a smaller job must wait rather than break one of the last blocks. It waits for other
    /// resources for a limited time, so that the next large gang finds an intact block.
    fn must_protect_block(&self, waiting: &Waiting<'_>, place: &place::Outcome) -> bool {
        let Some(block_shape) = self.block_shape else { return false };
        let is_smaller =
            size::accelerators(waiting.job) < block_shape.accelerators * block_shape.tasks;
        let may_wait = waiting.waited < self.preference.max_wait;
        is_smaller
            && may_wait
            && place.broken > 0
            && place.intact < self.preference.protected_blocks
    }

    /// Whether a placement uses accelerators that are bound to guarantees.
    fn uses_bound(&self, place: &place::Outcome, shape: &Shape) -> bool {
        place.assignments.iter().any(|assignment| {
            let worker = self.options.fleet.workers.get(&assignment.worker);
            worker.is_some_and(|w| w.unbound_free() < shape.accelerators * assignment.tasks)
        })
    }

    /// Records why a job waits, and reserves workers for it if it is among the first.
    fn wait(&mut self, waiting: &Waiting<'_>) {
        let job = waiting.job;
        let mut why = self
            .borrows_beyond_quota(job)
            .unwrap_or_else(|| "no group of workers has room for the whole gang".to_owned());
        let may_reserve = self.options.mechanisms.has_reservation
            && size::accelerators(job) > 1
            && self.reservations.len() < MAX_RESERVATIONS
            && self.borrows_beyond_quota(job).is_none();
        let shape = job.shape.unwrap_or_default();
        if may_reserve && let Some(reservation) = self.reserve(job, &shape) {
            why = format!("room is kept for it, expected within {:?}", reservation.within);
            self.reservations.push(reservation);
        }
        self.outcome.why.insert(job.id.clone(), why);
    }

    /// Finds the workers on which a job is expected to fit first, as running gangs end one by one.
    fn reserve(&self, job: &Job, shape: &Shape) -> Option<Reservation> {
        let mut fleet = self.options.fleet.clone();
        let mut ends: Vec<&Running> = self.options.running.iter().collect();
        ends.sort_by_key(|running| running.remaining);
        let avoid: Vec<id::Worker> =
            self.reservations.iter().flat_map(|other| other.workers.iter().cloned()).collect();
        let borrowing = place::Options::borrowing(&job.organisation, shape);
        let options = place::Options { avoid: &avoid, ..borrowing };
        for running in ends {
            for assignment in &running.assignments {
                fleet.release(&assignment.worker, &running.shape, assignment.tasks);
            }
            if let Some(place) = place::place(&fleet, &options) {
                let workers =
                    place.assignments.into_iter().map(|assignment| assignment.worker).collect();
                return Some(Reservation { workers, within: running.remaining });
            }
        }
        None
    }
}
