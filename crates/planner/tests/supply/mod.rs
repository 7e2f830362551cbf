//! Tests of the supply that is reported to entries.

use sapphire_jobs::{Feed, FeedPoll, Notice, Step, Supply, resources::Resources};
use sapphire_planner::event::Event;

use crate::harness::{Fixture, TERM, job, step};

fn supplies(fixture: &mut Fixture) -> Vec<Supply> {
    let poll =
        FeedPoll { entry: "e2".to_owned(), address: "e2:1".to_owned(), ..FeedPoll::default() };
    fixture.handle(Event::Feed(900, poll));
    fixture.feeds.pop().map_or(Vec::new(), |feed: Feed| feed.supplies)
}

/// Guards against jobs that are rejected as too large although a worker can hold them: after a
/// restart of the whole system, the planner knew only the smaller workers. It reports no supply
/// until all workers have had time to join.
#[test]
fn supply_is_reported_only_after_workers_had_time_to_join() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("w1", Vec::new(), Vec::new());
    fixture.join("w2", Vec::new(), Vec::new());
    fixture.handle(Event::Notice(Notice {
        jobs: vec![job("a", TERM, step(32, false))],
        ..Notice::default()
    }));
    fixture.advance(3_000);
    assert!(supplies(&mut fixture).is_empty());
    for _ in 0..8 {
        fixture.poll("w1", Vec::new(), Vec::new());
        fixture.poll("w2", Vec::new(), Vec::new());
        fixture.advance(500);
    }
    let reported = supplies(&mut fixture);
    insta::assert_debug_snapshot!(reported);
}

/// Supplies that a planner reports with these steps in open jobs, once all workers have joined.
fn supplies_with(steps: &[Step]) -> Vec<Supply> {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("w1", Vec::new(), Vec::new());
    let jobs = steps.iter().zip('a'..).map(|(step, id)| job(&id.to_string(), TERM, step.clone()));
    fixture.handle(Event::Notice(Notice { jobs: jobs.collect(), ..Notice::default() }));
    for _ in 0..14 {
        fixture.poll("w1", Vec::new(), Vec::new());
        fixture.advance(500);
    }
    supplies(&mut fixture)
}

/// Guards against planners that end, one after the other, because of the work of an accepted job, and
/// against jobs that are rejected because of work that no worker can ever do.
#[test]
fn tasks_that_no_worker_can_hold_are_no_work() {
    let ordinary = step(32, false);
    let expected = supplies_with(std::slice::from_ref(&ordinary));
    assert!(!expected.is_empty());
    let largest = Resources { memory_mib: u64::MAX, ..Resources::default() };
    for (estimate_ms, is_long_running) in [(7 * 86_400_000, false), (0, false), (0, true)] {
        let room = Some(largest.message());
        let hopeless = Step { room, estimate_ms, is_long_running, ..step(55, false) };
        assert_eq!(supplies_with(&[ordinary.clone(), hopeless]), expected);
    }
}

/// Guards against a planner that ends because work that fits takes longer than any time can say.
#[test]
fn the_time_for_open_work_is_bounded() {
    let longest = Step { estimate_ms: 10 * 365 * 86_400_000, ..step(1_000, false) };
    let supplies = supplies_with(&[longest]);
    let backlog = supplies[0].backlogs[0].drain_ms;
    assert_eq!(backlog, 10 * 365 * 86_400_000);
}
