//! Tests of tasks that have failed under an earlier planner.

use prost::Message as _;
use sapphire_jobs::{Job, Progress, Running, State, Step, Tally, UnansweredStarts};
use sapphire_planner::keys;

use crate::harness::{Fixture, fleet, item, job, resources, run, step};

/// Guards against a task that starts more often than its queue allows: the last failure was stored, the
/// planner was lost before it stored that the job had failed, and its successor waits for a worker that
/// runs nothing of the job.
#[test]
fn a_task_that_has_failed_as_often_as_it_may_is_not_started_beside_a_silent_worker() {
    let tally = Tally { failed_runs: vec![1, 2], ..Tally::default() };
    let progress =
        Progress { tallies: vec![tally], state: State::Active.into(), ..Progress::default() };
    let starts = UnansweredStarts { term: 1, are_runs_logged: true, ..Default::default() };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "silent"]),
        item(keys::UNANSWERED.to_owned(), starts.encode_to_vec()),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    for _ in 0..40 {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(500);
    }
    assert!(fixture.starts().is_empty(), "{:?}", fixture.starts());
    assert_eq!(fixture.planner.table().entries["j"].state, State::Failed);
}

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
