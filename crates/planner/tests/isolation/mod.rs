//! Tests of a planner whose lease on the leader key may have expired. It has seven other entries,
//! `e1` to `e7`.

use sapphire_jobs::Notice;
use sapphire_planner::event::Event;

use crate::harness::{Fixture, TERM, fleet, job, ms, step};

const ENTRIES: [&str; 7] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];
/// Remaining time of the lease, in ms.
const LEASE: u64 = 1_000;

/// Returns a planner with an idle worker and polls of all entries, whose lease ends in [`LEASE`].
fn planning() -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    for entry in ENTRIES {
        fixture.feed(entry, 0);
    }
    let expiry = ms(fixture.now + LEASE);
    fixture.planner.set_lease_expiry(expiry);
    fixture
}

/// Goes on past the end of the lease. These entries poll every 250 ms, without an answer of the
/// store since the lease was last renewed.
fn pass_lease(fixture: &mut Fixture, polling: &[&str]) {
    for round in 0..8 {
        for entry in polling {
            fixture.feed(entry, 500 + round * 250);
        }
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(250);
    }
    assert!(fixture.planner.workers().contains_key("a"));
}

fn submit(fixture: &mut Fixture) -> usize {
    let jobs = vec![job("j", TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(50);
    fixture.starts().len()
}

/// Returns the number of starts that are sent after the end of the lease, while these entries poll, of
/// which some have reached the store since. The only start was recorded before, and no poll of its
/// agent was waiting then.
fn recorded_starts_sent(polling: &[&str], reaching: &[&str]) -> usize {
    let mut fixture = planning();
    fixture.advance(700);
    let jobs = vec![job("j", TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    assert_eq!(fixture.starts().len(), 0);
    fixture.answers_records = false;
    for round in 0..3 {
        for entry in polling {
            fixture.feed(entry, 500 + round * 250);
        }
        fixture.advance(250);
    }
    for entry in reaching {
        fixture.feed(entry, 10);
    }
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(50);
    fixture.starts().len()
}

/// Guards against callers who wait during an outage of the store: no other entry reaches it either,
/// so none can have taken over.
#[test]
fn a_planner_goes_on_while_the_store_is_down_for_all() {
    assert_eq!(recorded_starts_sent(&ENTRIES, &[]), 1);
}

/// Guards against planning that ends in an outage of the store because an entry has failed.
#[test]
fn a_majority_of_the_entries_is_enough() {
    assert_eq!(recorded_starts_sent(&ENTRIES[..4], &[]), 1);
    assert_eq!(recorded_starts_sent(&ENTRIES[..3], &[]), 0);
}

/// Guards against a task that runs twice: a planner that goes on in an outage of the store can't
/// record a start, and a successor would not know of it.
#[test]
fn nothing_is_placed_in_an_outage() {
    let mut fixture = planning();
    fixture.answers_records = false;
    pass_lease(&mut fixture, &ENTRIES);
    assert_eq!(submit(&mut fixture), 0);
    assert_eq!(fixture.worker_of("j"), "");
    fixture.answers_records = true;
    let expiry = ms(fixture.now + LEASE);
    fixture.planner.set_lease_expiry(expiry);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(100);
    assert_eq!(fixture.starts().len(), 1, "the store is back");
}

/// Guards against a task that runs twice: the planner is cut off with its zone, and another entry
/// has taken over.
#[test]
fn an_isolated_planner_starts_nothing() {
    for polling in 0..4 {
        let mut fixture = planning();
        pass_lease(&mut fixture, &ENTRIES[..polling]);
        assert_eq!(submit(&mut fixture), 0, "{polling} of 7 entries poll");
        let expiry = ms(fixture.now + LEASE);
        fixture.planner.set_lease_expiry(expiry);
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(100);
        assert_eq!(fixture.starts().len(), 1, "the lease has been renewed");
    }
}

/// Guards against a task that runs twice: an entry that has reached the store since the lease has
/// expired may have taken over, and does not count.
#[test]
fn an_entry_that_reaches_the_store_is_no_evidence_of_an_outage() {
    let mut fixture = planning();
    pass_lease(&mut fixture, &ENTRIES);
    for entry in &ENTRIES[..4] {
        fixture.feed(entry, 10);
    }
    assert_eq!(submit(&mut fixture), 0);
    assert!(fixture.planner.is_store_reached(ms(fixture.now - 500)));
    assert_eq!(recorded_starts_sent(&ENTRIES, &ENTRIES[..4]), 0);
}

/// Guards against a planner that is cut off right after its term has begun, before any entry has
/// polled it, and takes itself for the only entry.
#[test]
fn entries_that_have_not_polled_yet_count() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.planner.expect_entries(ENTRIES.map(|entry| format!("{entry}:1")));
    fixture.join("a", Vec::new(), Vec::new());
    let expiry = ms(fixture.now + LEASE);
    fixture.planner.set_lease_expiry(expiry);
    pass_lease(&mut fixture, &[]);
    assert_eq!(submit(&mut fixture), 0);
}

/// A start that was ordered before the lease has expired is not sent any more, and the poll that
/// waits is not answered over and over because of it.
#[test]
fn orders_that_were_not_sent_wait() {
    let mut fixture = planning();
    fixture.advance(900);
    let jobs = vec![job("j", TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    fixture.advance(200);
    let answers = fixture.orders.len();
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(300);
    assert_eq!(fixture.orders.len(), answers);
    assert_eq!(fixture.starts().len(), 0);
}

/// Guards against a long doubt at the end of a lease: while it is about to expire, entries are
/// answered sooner, so that what they report is recent.
#[test]
fn entries_report_more_often_while_the_lease_is_in_doubt() {
    let mut fixture = planning();
    fixture.feed("e1", 0);
    let before = fixture.feeds.len();
    fixture.advance(400);
    assert_eq!(fixture.feeds.len(), before, "nothing has changed");
    fixture.advance(200);
    assert!(fixture.feeds.len() > before);
}
