//! Tests of the choice of a minion and of the retry budget.

use rand::SeedableRng as _;
use sapphire_route::{
    budget,
    choose::{self, Candidate, Distance},
};

fn candidate(agent: &str, free_slots: u32, distance: Distance) -> Candidate {
    Candidate { agent: agent.into(), free_slots, free_places: free_slots, distance }
}

#[test]
fn the_nearest_minion_with_a_free_slot_is_chosen() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let remote = candidate("remote", 8, Distance::Remote);
    let full = candidate("full", 0, Distance::Zone);
    let near = candidate("near", 1, Distance::Region);
    for _ in 0..20 {
        let outcome = choose::choose(&[remote.clone(), full.clone(), near.clone()], &mut rng);
        assert_eq!(outcome.expect("two have free places").agent, "near");
    }
    assert_eq!(choose::choose(&[full], &mut rng), None);
}

#[test]
fn a_free_slot_in_another_zone_is_preferred_to_queueing_in_the_same_zone() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let busy = Candidate { free_places: 8, ..candidate("busy", 0, Distance::Zone) };
    let free = candidate("free", 1, Distance::Region);
    let remote = candidate("remote", 8, Distance::Remote);
    let outcome = choose::choose(&[busy.clone(), free, remote.clone()], &mut rng);
    assert_eq!(outcome.expect("three have free places").agent, "free");
    let outcome = choose::choose(&[busy, remote], &mut rng);
    assert_eq!(outcome.expect("two have free places").agent, "busy");
}

#[test]
fn of_two_minions_the_one_with_more_free_places_is_chosen() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let both = [candidate("a", 2, Distance::Zone), candidate("b", 7, Distance::Zone)];
    for _ in 0..20 {
        let outcome = choose::choose(&both, &mut rng).expect("both have free places");
        assert_eq!((outcome.agent.as_str(), outcome.runner_up.as_str()), ("b", "a"));
    }
}

/// Guards against retries that multiply the load when every minion refuses. Without a budget each
/// request would be tried at each of ten minions, so that ten callers would cause a hundred
/// requests. With it, retries stay near a tenth of first attempts.
#[test]
fn retries_stay_within_a_share_of_first_attempts() {
    let mut budget = budget::Budget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}
