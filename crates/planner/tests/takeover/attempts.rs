//! Tests of tasks that have failed under an earlier planner.

use prost::Message as _;
use sapphire_jobs::{Job, Progress, Running, State, Step, Tally, UnansweredStarts};
use sapphire_planner::keys;

use crate::harness::{Fixture, fleet, item, job, resources, run, step};

/// Returns whether a successor stops a run for an inherited urgent job while an idle worker has not
/// reported, which does so `late` ms after the other one.
fn stops_for_urgent(are_runs_logged: bool, late: u64) -> bool {
    let room = Some(resources(64).message());
    let low = Step { room, estimate_ms: 20_000, ..step(1, false) };
    let high = Step { estimate_ms: 3_000, ..low.clone() };
    let urgent = Job { queue: "urgent".to_owned(), priority: 0, ..job("high", 10, high) };
    let starts = UnansweredStarts { term: 1, are_runs_logged, ..Default::default() };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b"]),
        item(keys::UNANSWERED.to_owned(), starts.encode_to_vec()),
        item(keys::job("low"), job("low", 10, low).encode_to_vec()),
        item(keys::job("high"), urgent.encode_to_vec()),
    ]);
    let running = Running { run: Some(run("low", 0, 1)), percent: 10, ..Running::default() };
    fixture.join("a", vec![running.clone()], Vec::new());
    for _ in 0..late / 100 {
        fixture.advance(100);
    }
    fixture.join("b", Vec::new(), Vec::new());
    for _ in 0..10 {
        fixture.poll("a", vec![running.clone()], Vec::new());
        fixture.poll("b", Vec::new(), Vec::new());
        fixture.advance(100);
    }
    fixture.log.iter().any(|line| line.contains("job=high") && line.contains("stops=1"))
}

/// Guards against work that is stopped for an urgent job although a worker is idle, which has not
/// reported to the new planner yet.
#[test]
fn nothing_is_stopped_before_the_idle_workers_have_reported() {
    assert!(!stops_for_urgent(false, 300), "without a log of runs");
    for late in [100, 200, 300] {
        assert!(!stops_for_urgent(true, late), "an idle worker reports {late} ms later");
    }
}
