//! Short randomised runs under load and faults, with fixed seeds.

use std::time::Duration;

use sapphire_proofs::chaos;

#[test]
fn fixed_seeds_hold() {
    for seed in 1..=6 {
        chaos::run(seed, Duration::from_secs(40), false);
    }
}
