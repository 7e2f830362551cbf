//! Tests of the size of answers to agents.

use prost::Message as _;
use sapphire_jobs::{Job, resources::Resources};

use super::{Minion, planner, submit};
use crate::harness::{TERM, job, step};

/// Guards against starts that never reach their agent, which refuses an answer that is too large and asks
/// again.
#[test]
fn answers_with_many_starts_are_split() {
    let mut fixture = planner(64 << 20, Vec::new());
    let tiny = Resources { millicores: 1, memory_mib: 0, accelerators: 0 };
    let mut steps = step(600, false);
    steps.room = Some(tiny.message());
    steps.estimate_ms = 600_000;
    let spec = "x".repeat(4_000);
    submit(&mut fixture, Job { spec, steps: vec![steps], ..job("j", TERM, step(1, false)) });
    let mut minion = Minion::new(600_000);
    let mut largest = 0;
    for _ in 0..40 {
        minion.run(&mut fixture, "a", 50);
        let sizes = fixture.orders.iter().map(|(_, orders)| orders.encoded_len());
        largest = sizes.max().unwrap_or(0).max(largest);
    }
    assert_eq!(minion.starts.len(), 600);
    assert!(largest < 300_000, "{largest} bytes");
}
