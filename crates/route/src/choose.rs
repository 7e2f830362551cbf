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
    /// Slots and places to wait for one that are thought to be free.
    pub free_places: u32,
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

/// Chooses among minions with free places, and of two taken at random among the best the one
/// with more free places. Best is: a free slot in the region, near first; then a place to wait
/// in the region, near first; then another region.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Outcome> {
    let rank = |candidate: &Candidate| {
        let is_far = candidate.distance == Distance::Far;
        (is_far, candidate.free_slots == 0, candidate.distance)
    };
    let open = || candidates.iter().filter(|candidate| candidate.free_places > 0);
    let best = open().map(rank).min()?;
    let best: Vec<&Candidate> = open().filter(|candidate| rank(candidate) == best).collect();
    let first = rng.random_range(0..best.len());
    let mut second = rng.random_range(0..best.len());
    if second == first {
        second = (first + 1) % best.len();
    }
    let (chosen, other) = if best[first].free_places >= best[second].free_places {
        (best[first], best[second])
    } else {
        (best[second], best[first])
    };
    let has_other = chosen.agent != other.agent;
    Some(Outcome {
        agent: chosen.agent.clone(),
        free_slots: chosen.free_slots,
        runner_up: if has_other { other.agent.clone() } else { String::new() },
    })
}
