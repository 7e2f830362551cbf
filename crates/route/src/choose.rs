//! Chooses the minion that a request is sent to.

use rand::{Rng, RngExt as _};
use sapphire_wire::id;

/// A minion that may serve the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Agent that runs the minion.
    pub agent: id::Process,
    /// Number of slots that are free as far as the entry knows.
    pub free_slots: u32,
    /// Number of slots and queue positions that are free as far as the entry knows.
    pub free_places: u32,
    /// Distance from the entry that received the request.
    pub distance: Distance,
}

/// Distance of a minion from the entry that received the request, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region, but another availability zone.
    Region,
    /// Another region: slower, and traffic is charged by volume.
    Remote,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Agent of the chosen minion.
    pub agent: id::Process,
    /// Number of its free slots as far as the entry knows.
    pub free_slots: u32,
    /// Agent of the second choice; empty if there was no other candidate of the same rank.
    pub runner_up: id::Process,
}

/// Chooses a minion for a request; none if no candidate has a free slot or queue position.
///
/// Candidates are ranked: first those in the region with a free slot, then those in the region
/// with a free queue position, each with the same zone before other zones, and last those in other
/// regions, again with free slots first. Of two candidates taken at random from the best rank, the
/// one with more free places is chosen (the power of two choices).
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Outcome> {
    let rank = |candidate: &Candidate| {
        let is_remote = candidate.distance == Distance::Remote;
        (is_remote, candidate.free_slots == 0, candidate.distance)
    };
    let available = || candidates.iter().filter(|candidate| candidate.free_places > 0);
    let best = available().map(rank).min()?;
    let best: Vec<&Candidate> = available().filter(|candidate| rank(candidate) == best).collect();
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
    let has_runner_up = chosen.agent != other.agent;
    Some(Outcome {
        agent: chosen.agent.clone(),
        free_slots: chosen.free_slots,
        runner_up: if has_runner_up { other.agent.clone() } else { String::new() },
    })
}
