//! Tests of a planner that cannot keep up with its events one by one.

use std::time::Duration;

use sapphire_jobs::{FeedPoll, Notice, Poll};
use sapphire_planner::event::{Event, Moment};

use crate::harness::{Fixture, TERM, job, minion, ms, step};

fn moment(fixture: &Fixture) -> Moment {
    Moment { steady: ms(fixture.now), unix: ms(fixture.now) }
}

fn notice(fixture: &Fixture, number: usize) -> Event {
    let mut job = job(&format!("j{number:02}"), TERM, step(3, false));
    job.accepted_ms = fixture.now;
    Event::Notice(Notice { jobs: vec![job], cancelled: Vec::new() })
}

/// Guards against a pass per message: each of many messages that arrive together would pay for the
/// work of all.
#[test]
fn events_that_come_together_cost_one_pass() {
    let mut fixture = Fixture::new(vec![]);
    fixture.join("a1", vec![], vec![]);
    let (now, before) = (moment(&fixture), fixture.planner.load());
    for number in 0..40 {
        let event = notice(&fixture, number);
        fixture.planner.apply(now, event);
    }
    let effects = fixture.planner.advance(now);
    let after = fixture.planner.load();
    assert_eq!(after.events - before.events, 40);
    assert_eq!(after.passes - before.passes, 1);
    assert!(!effects.is_empty());
    let worker = &fixture.planner.workers()["a1"];
    assert_eq!(worker.runs.len(), 8, "the one pass has filled the worker");
}

/// Guards against a planner on a slow processor that is busy with passes only, while agents wait
/// for its answers until their leases expire.
#[test]
fn passes_that_take_long_leave_time_for_polls() {
    let mut fixture = Fixture::new(vec![]);
    fixture.join("a1", vec![], vec![]);
    let before = fixture.planner.load().passes;
    let mut passes = before;
    for number in 0..100 {
        fixture.now += 10;
        let event = notice(&fixture, number);
        fixture.handle(event);
        let earlier = std::mem::replace(&mut passes, fixture.planner.load().passes);
        if passes > earlier {
            // Each pass takes as long as the interval between two events.
            let took = Duration::from_millis(10);
            fixture.planner.record_pass_duration(ms(fixture.now) + took, took);
            fixture.now += 10;
        }
    }
    let passes = passes - before;
    assert!((20..=67).contains(&passes), "{passes} passes for 100 events");
    let poll = Poll { incarnation: Some(minion("a1")), ..Poll::default() };
    let answers = fixture.orders.len();
    fixture.report("a1", poll);
    assert!(fixture.orders.len() > answers, "a poll is answered although no pass is due");
}

fn poll_feed(fixture: &mut Fixture, entry: &str) -> Vec<String> {
    let poll =
        FeedPoll { entry: entry.to_owned(), address: entry.to_owned(), ..FeedPoll::default() };
    let poll = FeedPoll { term: TERM, version: 1, ..poll };
    fixture.handle(Event::Feed(900, poll));
    fixture.advance(1_000);
    fixture.feeds.pop().map_or(Vec::new(), |feed| feed.entries)
}

/// Guards against messages that each carry a list of all entries: their total size would grow with
/// the square of the number of machines.
#[test]
fn lists_of_entries_are_not_sent_with_every_message() {
    let mut fixture = Fixture::new(vec![]);
    fixture.join("a1", vec![], vec![]);
    let lists_sent = |fixture: &mut Fixture| {
        let before = fixture.orders.len();
        fixture.poll("a1", vec![], vec![]);
        fixture.advance(700);
        let lists = fixture.orders[before..].iter().map(|(_, orders)| orders.entries.clone());
        lists.filter(|list| !list.is_empty()).collect::<Vec<_>>()
    };
    assert_eq!(poll_feed(&mut fixture, "e1"), ["e1"]);
    let sent: Vec<&Vec<String>> =
        fixture.orders.iter().map(|(_, orders)| &orders.entries).collect();
    assert_eq!(sent.last(), Some(&&vec!["e1".to_owned()]));
    assert!(lists_sent(&mut fixture).is_empty(), "the list has been sent already");
    assert!(poll_feed(&mut fixture, "e1").is_empty(), "the list has been sent already");
    assert_eq!(poll_feed(&mut fixture, "e2"), ["e1", "e2"]);
    assert_eq!(lists_sent(&mut fixture), [["e1", "e2"]]);
    assert!(lists_sent(&mut fixture).is_empty());
    fixture.advance(5_000);
    assert!(!lists_sent(&mut fixture).is_empty(), "an answer may have been lost");
}
