//! Tests of the limit of stops and of the capacity that is kept for urgent work.

use std::time::Duration;

use sapphire_jobs::resources::Resources;
use sapphire_plan::{
    assignment::Place,
    headroom::{self, Arrivals, Usage},
    stops::{Counts, Options},
};

const NOW: Duration = Duration::from_secs(100);

fn place(at: usize, accelerators: u64) -> Place {
    let capacity = Resources { accelerators: 8, millicores: 64_000, memory_mib: 1 };
    let free = Resources { accelerators, ..capacity };
    Place { rack: format!("r{}", at / 4).into(), free, capacity, ..Place::default() }
}

/// Guards against a limit without effect: each stop costs more while many runs have been stopped,
/// and the price falls again as runs complete.
#[test]
fn the_price_of_a_stop_rises_with_the_share_of_stopped_runs() {
    let options = Options { limit: 0.1 };
    let mut counts = Counts::default();
    assert_eq!(counts.price(options), 0.0);
    counts.add_stopped(NOW, 4);
    let high = counts.price(options);
    (0..100).for_each(|_| counts.add_done(NOW));
    assert!(high > counts.price(options) && counts.price(options) > 0.0);
}

/// Guards against capacity that is kept after a burst, or that leaves other work hardly any worker.
#[test]
fn kept_capacity_follows_arrivals_and_is_limited() {
    let places: Vec<Place> = (0..16).map(|at| place(at, if at < 12 { 1 } else { 8 })).collect();
    let mut arrivals = Arrivals::default();
    let gang = Resources { accelerators: 16, millicores: 1_000, memory_mib: 1 };
    arrivals.observe(NOW, gang, Duration::from_secs(4));
    let kept = |after, used| headroom::choose(&places, arrivals.expected(NOW + after), used);
    let none = Usage::default();
    let chosen = kept(Duration::ZERO, none);
    assert!(!chosen.is_empty() && chosen.iter().all(|at| *at >= 12), "{chosen:?}");
    assert!(kept(Duration::from_secs(60), none).is_empty());
    let in_use = Usage { accelerators: 128.0, millicores: 64_000.0 };
    assert!(kept(Duration::ZERO, in_use).is_empty(), "urgent work has its resources already");
    arrivals.observe(NOW, gang.times(100), Duration::from_secs(4));
    assert_eq!(headroom::choose(&places, arrivals.expected(NOW), none).len(), 4);
}
