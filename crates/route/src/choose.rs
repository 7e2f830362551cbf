//! Chooses a minion for a request.

use rand::{Rng, RngExt as _};
use sapphire_wire::id;

/// A minion that could take the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its agent.
    pub agent: id::Process,
    /// Slots thought to be free.
    pub free_slots: u32,
    /// How far away it is.
    pub distance: Distance,
}

/// Distance from the caller's entry; nearer is less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// The same region.
    Region,
    /// Another region: slow, and paid for by volume.
    Far,
}

/// The choice, and what else was possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Agent chosen.
    pub agent: id::Process,
    /// Its free slots, as thought.
    pub free_slots: u32,
    /// Agent that came second; empty when there was none.
    pub runner_up: id::Process,
}

/// Chooses among minions with free slots: the nearest distance that has any, and of two taken
/// at random there the one with more free slots.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Outcome> {
    let open = || candidates.iter().filter(|candidate| candidate.free_slots > 0);
    let nearest = open().map(|candidate| candidate.distance).min()?;
    let near: Vec<&Candidate> = open().filter(|c| c.distance == nearest).collect();
    let first = rng.random_range(0..near.len());
    let mut second = rng.random_range(0..near.len());
    if second == first {
        second = (first + 1) % near.len();
    }
    let (best, other) = if near[first].free_slots >= near[second].free_slots {
        (near[first], near[second])
    } else {
        (near[second], near[first])
    };
    let has_other = best.agent != other.agent;
    Some(Outcome {
        agent: best.agent.clone(),
        free_slots: best.free_slots,
        runner_up: if has_other { other.agent.clone() } else { String::new() },
    })
}
