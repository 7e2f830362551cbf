//! Tests of a planner that cannot keep up with its events one by one.

use std::time::Duration;

use sapphire_jobs::{FeedPoll, Notice, Poll};
use sapphire_planner::event::{Event, Moment};

use crate::harness::{Bench, TERM, job, minion, ms, step};

fn moment(bench: &Bench) -> Moment {
    Moment { steady: ms(bench.now), unix: ms(bench.now) }
}

fn notice(bench: &Bench, number: usize) -> Event {
    let mut job = job(&format!("j{number:02}"), TERM, step(3, false));
    job.accepted_ms = bench.now;
    Event::Notice(Notice { jobs: vec![job], cancelled: Vec::new() })
}

/// Guards against a pass per message: each of many messages that arrive together would pay for the
/// work of all.
#[test]
fn events_that_come_together_cost_one_pass() {
    let mut bench = Bench::new(vec![]);
    bench.join("a1", vec![], vec![]);
    let (now, before) = (moment(&bench), bench.planner.load());
    for number in 0..40 {
        let event = notice(&bench, number);
        bench.planner.take(now, event);
    }
    let effects = bench.planner.settle(now);
    let after = bench.planner.load();
    assert_eq!(after.events - before.events, 40);
    assert_eq!(after.passes - before.passes, 1);
    assert!(!effects.is_empty());
    let worker = &bench.planner.workers()["a1"];
    assert_eq!(worker.runs.len(), 8, "the one pass has filled the worker");
}

/// Guards against a planner on a slow processor that is busy with passes only, while agents wait
/// for its answers until their leases expire.
#[test]
fn passes_that_take_long_leave_time_for_polls() {
    let mut bench = Bench::new(vec![]);
    bench.join("a1", vec![], vec![]);
    let before = bench.planner.load().passes;
    let mut passes = before;
    for number in 0..100 {
        bench.now += 10;
        let event = notice(&bench, number);
        bench.tell(event);
        let earlier = std::mem::replace(&mut passes, bench.planner.load().passes);
        if passes > earlier {
            // Each pass takes as long as the interval between two events.
            let took = Duration::from_millis(10);
            bench.planner.pass_took(ms(bench.now) + took, took);
            bench.now += 10;
        }
    }
    let passes = passes - before;
    assert!((20..=67).contains(&passes), "{passes} passes for 100 events");
    let poll = Poll { incarnation: Some(minion("a1")), ..Poll::default() };
    let answers = bench.orders.len();
    bench.report("a1", poll);
    assert!(bench.orders.len() > answers, "a poll is answered although no pass is due");
}

fn hear(bench: &mut Bench, entry: &str) -> Vec<String> {
    let poll =
        FeedPoll { entry: entry.to_owned(), address: entry.to_owned(), ..FeedPoll::default() };
    let poll = FeedPoll { term: TERM, version: 1, ..poll };
    bench.tell(Event::Feed(900, poll));
    bench.pass(1_000);
    bench.feeds.pop().map_or(Vec::new(), |feed| feed.entries)
}

/// Guards against messages that each carry a list of all entries: their total size would grow with
/// the square of the number of machines.
#[test]
fn agents_and_entries_are_told_of_others_when_there_is_news() {
    let mut bench = Bench::new(vec![]);
    bench.join("a1", vec![], vec![]);
    let listed = |bench: &mut Bench| {
        let before = bench.orders.len();
        bench.poll("a1", vec![], vec![]);
        bench.pass(700);
        let lists = bench.orders[before..].iter().map(|(_, orders)| orders.entries.clone());
        lists.filter(|list| !list.is_empty()).collect::<Vec<_>>()
    };
    assert_eq!(hear(&mut bench, "e1"), ["e1"]);
    let told: Vec<&Vec<String>> = bench.orders.iter().map(|(_, orders)| &orders.entries).collect();
    assert_eq!(told.last(), Some(&&vec!["e1".to_owned()]));
    assert!(listed(&mut bench).is_empty(), "it has been told");
    assert!(hear(&mut bench, "e1").is_empty(), "it has been told");
    assert_eq!(hear(&mut bench, "e2"), ["e1", "e2"]);
    assert_eq!(listed(&mut bench), [["e1", "e2"]]);
    assert!(listed(&mut bench).is_empty());
    bench.pass(5_000);
    assert!(!listed(&mut bench).is_empty(), "an answer may have been lost");
}
