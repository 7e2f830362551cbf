//! Which work is stopped for an urgent group, and how long the group waits for other work to end
//! by itself instead.
//!
//! The load this answers: a burst of urgent jobs while every worker is busy. Each wait within the
//! group's limit is weighed with the stops that it leaves: work that ends within it costs nothing.

use std::time::Duration;

use crate::{
    evict,
    seat::{Ask, Place, Reach, Seat},
    wait,
};

/// A run expected to end within this is not worth stopping.
const NEARLY_DONE: Duration = Duration::from_millis(500);
/// Longest wait of an urgent group for work to end by itself.
pub const LONGEST_WAIT: Duration = Duration::from_millis(2_500);
/// Waits that are weighed against one another. Closer ones change the choice seldom.
const WAITS: [Duration; 6] = [
    NEARLY_DONE,
    Duration::from_millis(800),
    Duration::from_millis(1_100),
    Duration::from_millis(1_500),
    Duration::from_millis(2_000),
    LONGEST_WAIT,
];
/// Time of work that a stop costs beside what it loses: the restart, and what it waits for that.
const RESTART: Duration = Duration::from_millis(400);

/// A running group that may be stopped.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// 0 is stopped only for work within a guarantee.
    pub priority: u32,
    /// It is within its organisation's guarantee.
    pub is_guaranteed: bool,
    /// It is being stopped already.
    pub is_stopping: bool,
    /// How much longer it will run by itself.
    pub remaining: Duration,
    /// What a stop costs and gives.
    pub victim: evict::Victim,
}

/// An urgent group.
#[derive(Clone, Copy, Debug)]
pub struct Urgent<'a> {
    /// What it needs.
    pub ask: &'a Ask,
    /// Where it may go.
    pub reach: Reach,
    /// It is within its organisation's guarantee.
    pub is_guaranteed: bool,
}

/// What is given up for an urgent group.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Work that ends by itself within this is waited for.
    pub wait: Duration,
    /// Candidates that are stopped, by index.
    pub stops: Vec<usize>,
    /// Where the group goes.
    pub seats: Vec<Seat>,
    /// What the stops cost, in processor seconds.
    pub cost: f64,
    /// Time until the room is free.
    pub delay: Duration,
}

/// What a stop loses of a group's work, in processor seconds: all that it has done unless it saves
/// its progress, and its restart. `cores` is what the group takes.
pub fn loss(cores: f64, ran: Duration, saves: bool) -> f64 {
    let lost = if saves { RESTART } else { ran + RESTART };
    cores * lost.as_secs_f64()
}

/// The wait, no longer than `limit`, that with its stops costs the least. `stop` is the longest
/// time that a stop takes.
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
        // Whether there is room to be had at all does not depend on the wait.
        let choice = choose(places, candidates, urgent, wait, stop)?;
        let cost = wait::cost(job, choice.delay, choice.cost);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// The cheapest work that gives room to an urgent group, with what ends within the wait for
/// nothing.
pub fn choose(
    places: &[Place],
    candidates: &[Candidate],
    urgent: Urgent<'_>,
    wait: Duration,
    stop: Duration,
) -> Option<Choice> {
    let may_stop = |candidate: &Candidate| {
        candidate.is_stopping
            || candidate.priority > 0
            || (urgent.is_guaranteed && !candidate.is_guaranteed)
    };
    let allowed: Vec<usize> =
        (0..candidates.len()).filter(|at| may_stop(&candidates[*at])).collect();
    let offer = |at: &usize| {
        let candidate = &candidates[*at];
        let is_free = candidate.remaining <= wait;
        candidate.victim.at_cost(if is_free { 0.0 } else { candidate.victim.cost })
    };
    let offers: Vec<evict::Offer<'_>> = allowed.iter().map(offer).collect();
    let outcome = evict::choose(places, &offers, urgent.ask, urgent.reach)?;
    let chosen: Vec<usize> = outcome.victims.iter().map(|at| allowed[*at]).collect();
    let ends_by_itself = |candidate: &Candidate| candidate.remaining <= wait;
    let end = |at: &usize| {
        let candidate = &candidates[*at];
        let is_waited_for = ends_by_itself(candidate) && !candidate.is_stopping;
        if is_waited_for { candidate.remaining } else { stop }
    };
    let delay = chosen.iter().map(end).max().unwrap_or_default();
    let is_stopped = |at: &usize| {
        let candidate = &candidates[*at];
        !candidate.is_stopping && !ends_by_itself(candidate)
    };
    let stops = chosen.into_iter().filter(is_stopped).collect();
    Some(Choice { wait, stops, seats: outcome.seats, cost: outcome.cost, delay })
}
