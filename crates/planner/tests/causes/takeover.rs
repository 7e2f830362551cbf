//! Tests of what is logged while a planner may not try work.

use prost::Message as _;
use sapphire_jobs::{Notice, Poll};
use sapphire_planner::{event::Event, keys, wait::Reason};
use sapphire_store::call::Item;

use crate::{
    causes::lines,
    harness::{Fixture, START, TERM, fleet, item, job, ms, no_starts, step},
};

/// Returns an inherited job with two tasks.
fn inherited() -> Item {
    item(keys::job("j"), job("j", TERM - 1, step(2, false)).encode_to_vec())
}

/// Returns a planner that has taken over from one with these workers, and with an inherited job.
fn successor(workers: &[&str]) -> Fixture {
    Fixture::new(vec![fleet(1, workers), no_starts(1), inherited()])
}

/// Lets time pass in which these workers poll.
fn advance(fixture: &mut Fixture, time: u64, workers: &[&str]) {
    for _ in 0..time / 500 {
        workers.iter().for_each(|name| fixture.poll(name, Vec::new(), Vec::new()));
        fixture.advance(500);
    }
}

/// Guards against inherited jobs that wait for 11.4 s for a worker that no line names before it is
/// declared lost.
#[test]
fn the_workers_that_a_take_over_waits_for_are_named() {
    let mut fixture = successor(&["a", "lost"]);
    advance(&mut fixture, 500, &[]);
    fixture.join("a", Vec::new(), Vec::new());
    advance(&mut fixture, 12_000, &["a"]);
    insta::assert_snapshot!(lines(&fixture, " take-over waits "), @"
    term=50 take-over waits for workers=a,lost count=2 groups=2 waited_ms=50 limit_ms=11420
    term=50 take-over waits for workers=lost count=1 groups=2 waited_ms=550 limit_ms=11420
    term=50 take-over waits for workers=lost count=1 groups=2 waited_ms=5550 limit_ms=11420
    term=50 take-over waits for workers=lost count=1 groups=2 waited_ms=10550 limit_ms=11420
    ");
    insta::assert_snapshot!(lines(&fixture, " waits reason="), @"
    job=j step=0 index=0 waits reason=takeover waited_ms=1100 limit_ms=11420 groups=2 workers=lost free=unknown fits=unknown
    job=j step=0 index=0 waits reason=takeover waited_ms=6100 limit_ms=11420 groups=2 workers=lost free=unknown fits=unknown
    job=j step=0 index=0 waits reason=takeover waited_ms=11100 limit_ms=11420 groups=2 workers=lost free=unknown fits=unknown
    ");
}

/// Guards against a line of unbounded length, and against a line for each worker that reports.
#[test]
fn the_line_is_repeated_when_half_of_the_workers_have_reported() {
    let names: Vec<String> = (0..20).map(|number| format!("w{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fixture = successor(&names);
    for name in names {
        fixture.advance(50);
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture.advance(50);
    insta::assert_snapshot!(lines(&fixture, " take-over waits "), @"
    term=50 take-over waits for workers=w00,w01,w02,w03,w04,w05,w06,w07,+12 count=20 groups=2 waited_ms=50 limit_ms=11420
    term=50 take-over waits for workers=w10,w11,w12,w13,w14,w15,w16,w17,+2 count=10 groups=2 waited_ms=550 limit_ms=11420
    term=50 take-over waits for workers=w15,w16,w17,w18,w19 count=5 groups=2 waited_ms=800 limit_ms=11420
    term=50 take-over waits for workers=w18,w19 count=2 groups=2 waited_ms=950 limit_ms=11420
    term=50 take-over waits for workers=w19 count=1 groups=2 waited_ms=1000 limit_ms=11420
    ");
    assert!(!lines(&fixture, "knows what earlier orders have come to").is_empty());
}

/// Guards against lines on a take-over that holds up nothing.
#[test]
fn a_take_over_without_inherited_work_has_no_line() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "lost"]), no_starts(1)]);
    fixture.join("a", Vec::new(), Vec::new());
    advance(&mut fixture, 6_000, &["a"]);
    assert_eq!(lines(&fixture, " take-over waits "), "");
}

/// Guards against a wait for an incomplete handover record whose line names neither the workers nor the
/// end: first for those that have not reported, then for starts to expire, then for later lists.
#[test]
fn the_wait_for_an_incomplete_record_names_its_limit_and_workers() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"]), inherited()]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.join("b", Vec::new(), Vec::new());
    advance(&mut fixture, 11_000, &["a", "b"]);
    // The agent polls on, but its minion sends no later list.
    for _ in 0..18 {
        fixture.poll("a", Vec::new(), Vec::new());
        let list_age_ms = fixture.now - START - 10_500;
        fixture.report("b", Poll { list_age_ms, ..Poll::default() });
        fixture.advance(500);
    }
    insta::assert_snapshot!(lines(&fixture, " waits reason="), @"
    job=j step=0 index=0 waits reason=handover waited_ms=2000 limit_ms=22800 groups=2 workers=none free=unknown fits=unknown
    job=j step=0 index=0 waits reason=handover waited_ms=7000 limit_ms=22800 groups=2 workers=none free=unknown fits=unknown
    job=j step=0 index=0 waits reason=handover waited_ms=12000 limit_ms=22800 groups=2 workers=none free=unknown fits=unknown
    job=j step=0 index=0 waits reason=handover waited_ms=17000 limit_ms=22800 groups=2 workers=b free=unknown fits=unknown
    ");
}

/// Guards against the wait of a planner without a lease that seems to have no end: it gives up 5 s
/// after that.
#[test]
fn the_wait_for_the_lease_names_its_limit() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"]), no_starts(1)]);
    fixture.planner.expect_entries(["e2:1".to_owned(), "e3:1".to_owned()]);
    fixture.join("a", Vec::new(), Vec::new());
    let jobs = vec![job("j", TERM, step(1, false))];
    fixture.planner.set_lease_expiry(ms(START));
    fixture.advance(50);
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    advance(&mut fixture, 3_000, &["a"]);
    assert_eq!(fixture.planner.waits().count(Reason::Lease), 1);
    insta::assert_snapshot!(lines(&fixture, " waits reason="), @"job=j step=0 index=0 waits reason=lease waited_ms=1950 limit_ms=4950 groups=1 workers=none free=unknown fits=unknown");
}
