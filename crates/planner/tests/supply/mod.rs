//! Tests of the supply that is reported to entries.

use sapphire_jobs::{Feed, FeedPoll, Notice, Supply};
use sapphire_planner::event::Event;

use crate::harness::{Bench, TERM, job, step};

fn supplies(bench: &mut Bench) -> Vec<Supply> {
    let poll =
        FeedPoll { entry: "e2".to_owned(), address: "e2:1".to_owned(), ..FeedPoll::default() };
    bench.tell(Event::Feed(900, poll));
    bench.feeds.pop().map_or(Vec::new(), |feed: Feed| feed.supplies)
}

/// Guards against jobs that are rejected as too large although a worker can hold them: after a
/// restart of the whole system, the planner knew only the smaller workers. It reports no supply
/// until all workers have had time to join.
#[test]
fn workers_are_told_of_only_when_they_have_had_time_to_join() {
    let mut bench = Bench::new(Vec::new());
    bench.join("w1", Vec::new(), Vec::new());
    bench.join("w2", Vec::new(), Vec::new());
    bench.tell(Event::Notice(Notice {
        jobs: vec![job("a", TERM, step(32, false))],
        ..Notice::default()
    }));
    bench.pass(3_000);
    assert!(supplies(&mut bench).is_empty());
    for _ in 0..8 {
        bench.poll("w1", Vec::new(), Vec::new());
        bench.poll("w2", Vec::new(), Vec::new());
        bench.pass(500);
    }
    let told = supplies(&mut bench);
    insta::assert_debug_snapshot!(told);
}
