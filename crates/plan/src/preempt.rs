//! Preemption: which work is stopped for an urgent group, and how long the group waits for other
//! work to end by itself instead.
//!
//! In a burst of urgent jobs all workers are busy. The waits within the group's limit are compared,
//! each with the stops that it leaves necessary: work that ends within the wait costs nothing.

use std::time::Duration;

use crate::{
    assignment::{Assignment, Demand, Place, Reach},
    evict, tiers, wait,
};

/// A run that is expected to end within this time is not worth stopping.
const NEARLY_DONE: Duration = Duration::from_millis(500);
/// Longest wait of an urgent group for work to end by itself.
pub const LONGEST_WAIT: Duration = Duration::from_millis(2_500);
/// Waits that are compared. A finer graduation seldom changes the choice.
const WAITS: [Duration; 6] = [
    NEARLY_DONE,
    Duration::from_millis(800),
    Duration::from_millis(1_100),
    Duration::from_millis(1_500),
    Duration::from_millis(2_000),
    LONGEST_WAIT,
];
/// Run time that a stop costs in addition to the work that it loses: the restart, and the wait for
/// it.
const RESTART: Duration = Duration::from_millis(400);

/// A running group that may be stopped.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Priority. Work of priority 0 is stopped only for work within a guarantee.
    pub priority: u32,
    /// Whether it is within its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Whether it is being stopped already.
    pub is_stopping: bool,
    /// Expected remaining run time if it is not stopped.
    pub remaining: Duration,
    /// Cost of a stop, and the resources that it releases.
    pub victim: evict::Victim,
}

/// An urgent group that waits for resources.
#[derive(Clone, Copy, Debug)]
pub struct Urgent<'a> {
    /// Requirements of the group.
    pub demand: &'a Demand,
    /// Which workers it may be assigned to.
    pub reach: Reach,
    /// Whether it is within its organisation's guarantee.
    pub is_guaranteed: bool,
}

/// Decision for an urgent group.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Work that is expected to end by itself within this time is waited for.
    pub wait: Duration,
    /// Indices of the candidates that are stopped.
    pub stops: Vec<usize>,
    /// Places that the group is assigned to.
    pub assignments: Vec<Assignment>,
    /// Cost of the stops in processor seconds.
    pub cost: f64,
    /// Expected time until the group can start.
    pub delay: Duration,
}

/// Cost of stopping a group in processor seconds: the work that it has done, unless it saves
/// checkpoints, and its restart. `cores` is the weighted number of processors that the group uses.
pub fn loss(cores: f64, ran: Duration, has_checkpoints: bool) -> f64 {
    let lost_time = if has_checkpoints { RESTART } else { ran + RESTART };
    cores * lost_time.as_secs_f64()
}

/// Chooses the wait, of at most `limit`, that costs the least together with its stops. A wait for
/// nearly completed work is always considered. `stop` is the maximum duration of a stop. Returns none
/// if the group would not fit even after all stops.
pub fn weigh(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    job: &wait::Job,
    limit: Duration,
    stop: Duration,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for wait in WAITS.into_iter().filter(|wait| *wait <= limit || *wait == NEARLY_DONE) {
        // Whether the group can fit at all does not depend on the wait.
        let choice = choose(places, candidates, urgent, Some(wait), stop)?;
        let slowness = tiers::slowest(places, &choice.assignments);
        let cost = wait::cost_at(job, choice.delay, choice.cost, slowness);
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Chooses the cheapest work to stop for an urgent group, if work that is expected to end within
/// `wait` costs nothing. Without a wait, work that should have ended by now is stopped as well.
pub fn choose(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    wait: Option<Duration>,
    stop: Duration,
) -> Option<Choice> {
    let ends_by_itself =
        |candidate: &Candidate| wait.is_some_and(|wait| candidate.remaining <= wait);
    let may_stop = |candidate: &Candidate| {
        candidate.is_stopping
            || candidate.priority > 0
            || (urgent.is_guaranteed && !candidate.is_guaranteed)
    };
    let allowed: Vec<usize> =
        (0..candidates.len()).filter(|at| may_stop(&candidates[*at])).collect();
    let release = |at: &usize| {
        let candidate = &candidates[*at];
        let cost = if ends_by_itself(candidate) { 0.0 } else { candidate.victim.cost };
        candidate.victim.at_cost(cost)
    };
    let releases: Vec<evict::Release<'_>> = allowed.iter().map(release).collect();
    let outcome = evict::choose(places, &releases, urgent.demand, urgent.reach)?;
    let chosen: Vec<usize> = outcome.victims.iter().map(|at| allowed[*at]).collect();
    let time_until_end = |at: &usize| {
        let candidate = &candidates[*at];
        let is_waited_for = ends_by_itself(candidate) && !candidate.is_stopping;
        if is_waited_for { candidate.remaining } else { stop }
    };
    let delay = chosen.iter().map(time_until_end).max().unwrap_or_default();
    let is_stopped = |at: &usize| {
        let candidate = &candidates[*at];
        !candidate.is_stopping && !ends_by_itself(candidate)
    };
    let stops = chosen.into_iter().filter(is_stopped).collect();
    let wait = wait.unwrap_or_default();
    Some(Choice { wait, stops, assignments: outcome.assignments, cost: outcome.cost, delay })
}
