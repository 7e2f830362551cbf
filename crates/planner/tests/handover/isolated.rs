//! Tests of the latest time at which an agent may send a start: planners that are cut off, and agents
//! that no planner hears of any more.

use prost::Message as _;
use sapphire_jobs::{Job, Notice, Poll};
use sapphire_planner::{event::Event, keys};
use sapphire_store::call::Reply;

use crate::harness::{self, Fixture, START, TERM, fleet, item, job, ms, run, step};

/// Time for which a planner may go on without a lease.
const MAX_STORE_OUTAGE: u64 = 5_000;
/// Time for which a minion may carry out a start after it was sent.
const MAX_CALL_DELAY: u64 = 12_000;
/// Longest time for which a run that was started late goes on.
const LONGEST_LEASE: u64 = 10_000;
/// Longer than a poll is left without an answer.
const POLL_INTERVAL: u64 = 700;

fn submitted() -> Job {
    job("j", TERM, step(1, false))
}

/// Returns a planner whose order to start a task has been sent to worker `a`.
fn ordered() -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let jobs = vec![submitted()];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), [run("j", 0, 1_001)]);
    fixture
}

/// Polls for worker `a`, on which the start is outstanding. Returns the time until which the agent may
/// send it, or 0 if the answer allows no starts.
fn poll(fixture: &mut Fixture, store_age: impl Fn(u64) -> Option<u64>) -> u64 {
    let sent_at = fixture.now;
    fixture.report("a", Poll { pending: vec![run("j", 0, 1_001)], ..Poll::default() });
    for _ in 0..POLL_INTERVAL / 100 {
        if let Some(age) = store_age(fixture.now) {
            fixture.feed("x", age);
        }
        fixture.advance(100);
    }
    let (_, orders) = fixture.orders.last().expect("the poll was answered");
    if orders.starts_ms > 0 { sent_at + orders.starts_ms } else { 0 }
}

/// Returns the planner of the next term, which takes over at a time with the record of an earlier one.
fn successor(record: Vec<u8>, now: u64) -> Fixture {
    let mut fixture = Fixture::term(TERM + 1, now, 0);
    (fixture.answers_records, fixture.answers_intake) = (true, true);
    let items = vec![
        fleet(2, &["a", "b"]),
        item(keys::UNANSWERED.to_owned(), record),
        item(keys::job("j"), submitted().encode_to_vec()),
    ];
    fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
    fixture.reply(Reply::Committed(60));
    fixture
}

/// Asserts that the task is placed on worker `b` after a late run on `a` has ended.
fn assert_placed_late(fixture: &mut Fixture, allowed_until: u64) {
    let known = fixture.starts().len();
    fixture.join("b", Vec::new(), Vec::new());
    while fixture.starts().len() == known && fixture.now < START + 60_000 {
        fixture.advance(100);
        fixture.poll("b", Vec::new(), Vec::new());
    }
    let placed = fixture.now;
    assert_eq!(fixture.worker_of("j"), "b");
    let least = allowed_until + MAX_CALL_DELAY + LONGEST_LEASE;
    assert!(placed >= least, "placed at {}, not after {}", placed - START, least - START);
}

/// Guards against a task that runs twice: a planner and an entry that agrees with it are cut off from
/// the store and from a third entry, which takes over. An agent that only the first planner reaches
/// goes on sending a start, is lost, and the next incarnation of its minion carries the start out.
#[test]
fn a_start_that_an_isolated_planner_allows_has_expired() {
    let mut first = ordered();
    let record = harness::record_of(first.records.last().expect("it was written"));
    let taken_over_at = first.now;
    first.planner.set_lease_expiry(ms(taken_over_at));
    let mut allowed_until = 0;
    while first.now + POLL_INTERVAL < taken_over_at + MAX_STORE_OUTAGE {
        allowed_until = poll(&mut first, |now| Some(now - START + 1_000)).max(allowed_until);
    }
    assert_placed_late(&mut successor(record, taken_over_at), allowed_until);
}

/// Guards against a task that runs twice: an agent sends a start as late as the last answer of a
/// planner that is lost allows, and is lost as well.
#[test]
fn a_start_that_was_sent_after_the_planner_was_lost_has_expired() {
    let first = ordered();
    let record = harness::record_of(first.records.last().expect("it was written"));
    let (_, orders) = first.orders.last().expect("the start was ordered");
    let allowed_until = first.now + orders.starts_ms;
    assert_placed_late(&mut successor(record, first.now), allowed_until);
}

/// Guards against a task that runs twice: an agent sends a start as late as the last answer allows,
/// and is lost for good while its planner lives.
#[test]
fn a_start_that_was_sent_after_the_last_answer_has_expired() {
    let mut planner = ordered();
    let allowed_until = poll(&mut planner, |_| None);
    assert!(allowed_until > 0, "starts are allowed");
    assert_placed_late(&mut planner, allowed_until);
}
