//! Tests of the supply that is reported to entries.

use sapphire_jobs::{Feed, FeedPoll, Notice, Supply};
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
