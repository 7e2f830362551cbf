//! Decision for an urgent group on workers of unequal speed: start at once on slow ones, wait for
//! fast ones, or stop work on these.

use std::time::Duration;

use crate::{
    assignment::{Assignment, Demand, Place},
    preempt::{self, Candidate, Choice, Urgent},
    speed::Slowness,
    tiers::{self, Need},
    wait,
};

/// Probability of lateness on the fastest workers from which on a job counts as late whatever is
/// decided.
const CERTAINLY_LATE: f64 = 0.9;

/// Limits of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest wait for work to end by itself.
    pub wait: Duration,
    /// Maximum duration of a stop.
    pub stop: Duration,
}

/// Returns whether a job is almost certainly late even if it starts now on the fastest workers.
pub fn is_late_anyway(places: &[Place], job: &wait::Job) -> bool {
    let fastest = places.iter().map(|place| place.slowness).min().unwrap_or_default();
    wait::chance_late_at(job, Duration::ZERO, fastest) >= CERTAINLY_LATE
}

/// Returns whether an urgent group is to start at once on places that are slower than it needs,
/// instead of waiting for faster ones or having work stopped there.
pub fn starts_at_once(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    job: &wait::Job,
    limits: Limits,
    at_once: &[Assignment],
) -> bool {
    let slowness = tiers::slowest(places, at_once);
    if is_late_anyway(places, job) {
        let end = end(job, Duration::ZERO, slowness);
        let wait = without_stops(places, candidates, urgent, limits);
        return wait.is_none_or(|choice| end <= end_of(places, job, &choice));
    }
    let cost = wait::cost_at(job, Duration::ZERO, 0.0, slowness);
    let other = weigh(places, candidates, urgent, job, limits);
    other.is_none_or(|choice| cost <= cost_of(places, job, &choice))
}

/// Chooses the wait and the stops as [`preempt::weigh`] does, on workers on which the group is
/// in time if it can be, and on the fastest only if that costs less. For a job that is late whatever
/// is decided, nothing is stopped if there are workers to wait for.
pub fn weigh(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    job: &wait::Job,
    limits: Limits,
) -> Option<Choice> {
    let weigh_within = |limit: Option<Slowness>| {
        let demand = with_limit(urgent.demand, limit);
        let urgent = Urgent { demand: &demand, ..urgent };
        preempt::weigh(places, candidates, urgent, job, limits.wait, limits.stop)
    };
    let Some(limit) = urgent.demand.speed.limit else { return weigh_within(None) };
    if is_late_anyway(places, job) {
        let wait = without_stops(places, candidates, urgent, limits);
        return wait.or_else(|| weigh_within(None));
    }
    let in_time = weigh_within(Some(limit));
    let fastest = places.iter().map(|place| place.slowness).min().unwrap_or_default();
    let is_split = places.iter().any(|place| fastest < place.slowness && place.slowness <= limit);
    let on_fastest = if is_split { weigh_within(Some(fastest)) } else { None };
    let cheapest = in_time
        .into_iter()
        .chain(on_fastest)
        .min_by(|left, right| cost_of(places, job, left).total_cmp(&cost_of(places, job, right)));
    cheapest.or_else(|| weigh_within(None))
}

/// Chooses as [`preempt::choose`] does, on workers on which the group is in time if there are any.
pub fn choose(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    wait: Option<Duration>,
    stop: Duration,
) -> Option<Choice> {
    let choose_within = |limit: Option<Slowness>| {
        let demand = with_limit(urgent.demand, limit);
        let urgent = Urgent { demand: &demand, ..urgent };
        preempt::choose(places, candidates, urgent, wait, stop)
    };
    let limit = urgent.demand.speed.limit;
    choose_within(limit).or_else(|| limit.and_then(|_| choose_within(None)))
}

/// Returns the choice that waits for work to end by itself and stops nothing, if there is one.
fn without_stops(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    limits: Limits,
) -> Option<Choice> {
    let choose_within = |limit: Option<Slowness>| {
        let demand = with_limit(urgent.demand, limit);
        let urgent = Urgent { demand: &demand, ..urgent };
        preempt::choose(places, candidates, urgent, Some(limits.wait), limits.stop)
            .filter(|choice| choice.stops.is_empty())
    };
    choose_within(urgent.demand.speed.limit).or_else(|| choose_within(None))
}

fn with_limit(demand: &Demand, limit: Option<Slowness>) -> Demand {
    Demand { speed: Need { limit, ..demand.speed }, ..demand.clone() }
}

/// Expected time until a job ends that starts after `delay`.
fn end(job: &wait::Job, delay: Duration, slowness: Slowness) -> Duration {
    delay + slowness.run_time(job.expected.centre)
}

fn end_of(places: &[Place], job: &wait::Job, choice: &Choice) -> Duration {
    end(job, choice.delay, tiers::slowest(places, &choice.assignments))
}

fn cost_of(places: &[Place], job: &wait::Job, choice: &Choice) -> f64 {
    let slowness = tiers::slowest(places, &choice.assignments);
    wait::cost_at(job, choice.delay, choice.cost, slowness)
}
