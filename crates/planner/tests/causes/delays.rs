//! Tests of what is known and logged of placed runs that have not begun.

use prost::Message as _;
use sapphire_jobs::{Incarnation, Job, Notice, Poll, Running};
use sapphire_planner::{
    delay::Reason,
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Reply};

use crate::{
    causes::lines,
    harness::{Fixture, TERM, fleet, item, job, minion, no_starts, resources, run, step},
};

/// Returns a planner that has placed a task on its only worker, and that has had no answer to the write
/// of the handover record.
fn placed() -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.answers_records = false;
    submit(&mut fixture, job("j", TERM, step(1, false)));
    fixture
}

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Lets the store answer the writes of the handover record.
fn answer_records(fixture: &mut Fixture) {
    let is_record =
        |it: &mut (Operation, Call)| matches!(it, (Operation::Unanswered(_), Call::Commit { .. }));
    let writes: Vec<_> = fixture.calls.extract_if(.., is_record).collect();
    fixture.answers_records = true;
    for (operation, _) in writes {
        fixture.handle(Event::Store(operation, Reply::Committed(70)));
    }
}

/// Lets time pass in which the worker sends a poll every 250 ms.
fn advance(fixture: &mut Fixture, time: u64, poll: impl Fn(u64) -> Poll) {
    for _ in 0..time / 250 {
        fixture.report("a", poll(fixture.now));
        fixture.advance(250);
    }
}

/// Returns the number of groups that are delayed, by reason.
fn counts(fixture: &Fixture) -> Vec<(&'static str, usize)> {
    let delays = fixture.planner.delays();
    let counts = Reason::ALL.map(|reason| (reason.name(), delays.count(reason)));
    counts.into_iter().filter(|(_, count)| *count > 0).collect()
}

/// Guards against a run whose order waits for the handover record, and of which no line tells.
#[test]
fn a_start_that_waits_for_the_handover_record_is_logged() {
    let mut fixture = placed();
    advance(&mut fixture, 8_000, |_| Poll::default());
    insta::assert_snapshot!(lines(&fixture, ", not "), @"
    job=j step=0 index=0 run=1001 placed, not begun reason=record waited_ms=1050 workers=a
    job=j step=0 index=0 run=1001 placed, not begun reason=record waited_ms=6050 workers=a
    ");
    assert_eq!(counts(&fixture), [("record", 1)]);
}

/// Guards against a run that can't be ordered since starts are not allowed, and of which no line tells;
/// against a change of the reason that is not logged; and against figures that stay after the run has
/// begun.
#[test]
fn a_start_that_waits_for_the_list_of_cordons_is_logged() {
    let mut fixture = placed();
    fixture.cordoned = None;
    advance(&mut fixture, 5_000, |_| Poll::default());
    answer_records(&mut fixture);
    advance(&mut fixture, 2_000, |_| Poll::default());
    insta::assert_snapshot!(lines(&fixture, ", not "), @"
    job=j step=0 index=0 run=1001 placed, not begun reason=record waited_ms=1050 workers=a
    job=j step=0 index=0 run=1001 placed, not begun reason=window waited_ms=5050 workers=a
    ");
    assert_eq!(counts(&fixture), [("window", 1)]);
    assert!(fixture.starts().is_empty());
    let running = Running { run: Some(run("j", 0, 1_001)), ..Running::default() };
    advance(&mut fixture, 2_000, |_| Poll { running: vec![running.clone()], ..Poll::default() });
    assert_eq!(counts(&fixture), []);
    assert!(fixture.planner.delays().oldest.is_zero());
}

/// Guards against a run on a worker whose minion sends no lists, and of which no line tells what became
/// of it.
#[test]
fn a_start_on_a_worker_without_lists_is_logged() {
    let mut fixture = placed();
    let listed_at = fixture.now;
    let old = |now: u64| Poll { list_age_ms: now - listed_at, ..Poll::default() };
    advance(&mut fixture, 2_500, old);
    answer_records(&mut fixture);
    advance(&mut fixture, 2_000, old);
    insta::assert_snapshot!(lines(&fixture, "withdrawn"), @"task=j/0/0/0 run=1001 worker=a withdrawn: its order was not sent");
    assert_eq!(counts(&fixture), []);
    assert!(fixture.starts().is_empty());
}

/// Guards against a run that was ordered of an agent which has not polled since, and of which no line
/// tells.
#[test]
fn a_start_on_a_worker_that_does_not_poll_is_logged() {
    let mut fixture = placed();
    answer_records(&mut fixture);
    fixture.advance(3_000);
    insta::assert_snapshot!(lines(&fixture, ", not "), @"job=j step=0 index=0 run=1001 placed, not begun reason=poll waited_ms=1050 workers=a");
    assert_eq!(counts(&fixture), [("poll", 1)]);
}

/// Guards against a run that was sent and that no list shows, and of which no line tells.
#[test]
fn a_start_that_no_list_confirms_is_logged() {
    let mut fixture = placed();
    answer_records(&mut fixture);
    let pending = vec![run("j", 0, 1_001)];
    advance(&mut fixture, 3_000, |_| Poll { pending: pending.clone(), ..Poll::default() });
    insta::assert_snapshot!(lines(&fixture, ", not "), @"job=j step=0 index=0 run=1001 placed, not begun reason=unconfirmed waited_ms=1050 workers=a");
    assert_eq!(counts(&fixture), [("unconfirmed", 1)]);
}

/// Guards against a start that its agent drops, and that looks like one which its minion does not
/// answer.
#[test]
fn a_start_that_its_agent_does_not_report_is_logged() {
    let mut fixture = placed();
    answer_records(&mut fixture);
    advance(&mut fixture, 3_000, |_| Poll::default());
    insta::assert_snapshot!(lines(&fixture, ", not "), @"job=j step=0 index=0 run=1001 placed, not begun reason=unreceived waited_ms=1050 workers=a");
    assert_eq!(counts(&fixture), [("unreceived", 1)]);
}

/// Guards against a gang of which some members have not begun and no line tells, and against a worker
/// that is named once for each of its members.
#[test]
fn members_of_a_gang_that_have_not_begun_are_logged_with_their_workers() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, job("g", TERM, step(3, true)));
    let running = Running { run: Some(run("g", 0, 1_001)), ..Running::default() };
    let pending = vec![run("g", 1, 1_001), run("g", 2, 1_001)];
    let poll =
        |_| Poll { running: vec![running.clone()], pending: pending.clone(), ..Poll::default() };
    advance(&mut fixture, 2_500, poll);
    insta::assert_snapshot!(lines(&fixture, ", not "), @"job=g step=0 index=0 run=1001 placed, not begun reason=unconfirmed waited_ms=1050 workers=a");
}

/// Guards against a stop that is not carried out, and of which no line tells.
#[test]
fn a_stop_that_no_list_confirms_is_logged() {
    let gang = job("g", TERM - 1, step(2, true));
    let records = vec![fleet(1, &["a"]), no_starts(1), item(keys::job("g"), gang.encode_to_vec())];
    let mut fixture = Fixture::new(records);
    let running = vec![Running { run: Some(run("g", 1, 1)), ..Running::default() }];
    fixture.join("a", running.clone(), Vec::new());
    advance(&mut fixture, 3_000, |_| Poll { running: running.clone(), ..Poll::default() });
    insta::assert_snapshot!(lines(&fixture, ", not "), @"job=g step=0 index=0 run=1 stopped, not ended reason=stop waited_ms=1050 workers=a");
    assert_eq!(counts(&fixture), [("stop", 1)]);
}

/// Guards against a log that is flooded when many runs don't begin, and against one among them that
/// never gets its line.
#[test]
fn the_rate_of_the_lines_is_bounded() {
    let mut fixture = placed();
    let capacity = Some(resources(1).times(64).message());
    let large = Incarnation { capacity, ..minion("a") };
    let poll = |_| Poll { incarnation: Some(large.clone()), ..Poll::default() };
    advance(&mut fixture, 250, poll);
    submit(&mut fixture, job("wide", TERM, step(30, false)));
    let mut earlier = 0;
    for _ in 0..20 {
        advance(&mut fixture, 1_000, poll);
        let written = fixture.log.iter().filter(|line| line.contains(", not begun")).count();
        assert!(written <= earlier + 8, "at most four lines in each of two periods");
        earlier = written;
    }
    assert!(earlier <= 84, "{earlier} lines in 20 s");
    assert!(!lines(&fixture, "delays left_out=").is_empty());
    for index in 0..30 {
        let own = format!("job=wide step=0 index={index} run=1001 placed, not begun");
        assert!(!lines(&fixture, &own).is_empty(), "{own}");
    }
    assert_eq!(counts(&fixture), [("record", 31)]);
}
