//! Tests of the intake of jobs that no entry has notified the planner of.

use prost::Message as _;
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, TERM, fleet, item, job, step};

fn submitted(id: &str) -> Item {
    item(keys::job(id), job(id, TERM, step(1, false)).encode_to_vec())
}

fn page(items: Vec<Item>, has_more: bool, revision: u64) -> Reply {
    Reply::Items { items, has_more, revision }
}

/// Takes the latest intake call, which the test answers.
fn take_call(fixture: &mut Fixture) -> Call {
    let at = fixture.calls.iter().rposition(|(operation, _)| *operation == Operation::Intake);
    fixture.calls.remove(at.expect("an intake call was made")).1
}

fn answer(fixture: &mut Fixture, reply: Reply) {
    fixture.handle(Event::Store(Operation::Intake, reply));
}

fn is_known(fixture: &Fixture, id: &str) -> bool {
    fixture.planner.table().entries.contains_key(id)
}

/// Guards against an accepted job that a planner never learns of: the job was written into the
/// range of the first page while the second page was read, and its entry died before it sent a
/// notice.
#[test]
fn submissions_during_the_first_scan_are_found() {
    let mut fixture = Fixture::reading();
    fixture.answers_intake = false;
    fixture.reply(page(vec![fleet(1, &[]), submitted("m")], true, 100));
    fixture.reply(page(vec![submitted("n")], false, 105));
    fixture.reply(Reply::Committed(106));
    fixture.advance(3_000);
    match take_call(&mut fixture) {
        Call::WatchPrefix { after, .. } => assert_eq!(after, 100),
        other => panic!("{other:?}"),
    }
}

/// Guards against the same fault during the scan that follows a loss of the store's history.
#[test]
fn submissions_during_a_later_scan_are_found() {
    let mut fixture = Fixture::new(vec![fleet(1, &[])]);
    fixture.answers_intake = false;
    fixture.advance(3_000);
    take_call(&mut fixture);
    answer(&mut fixture, Reply::HistoryGone);
    take_call(&mut fixture);
    answer(&mut fixture, page(vec![submitted("m")], true, 200));
    take_call(&mut fixture);
    answer(&mut fixture, page(vec![submitted("n")], false, 205));
    fixture.advance(3_000);
    match take_call(&mut fixture) {
        Call::WatchPrefix { after, .. } => assert_eq!(after, 200),
        other => panic!("{other:?}"),
    }
}

/// Guards against pages that are never read: a page got no reply, and the intake went on from the
/// revision of the previous page.
#[test]
fn a_page_without_a_reply_is_read_again() {
    let mut fixture = Fixture::new(vec![fleet(1, &[])]);
    fixture.answers_intake = false;
    fixture.advance(3_000);
    take_call(&mut fixture);
    answer(&mut fixture, Reply::HistoryGone);
    take_call(&mut fixture);
    answer(&mut fixture, page(vec![submitted("m")], true, 200));
    take_call(&mut fixture);
    answer(&mut fixture, Reply::Unavailable("no answer".to_owned()));
    fixture.advance(3_000);
    match take_call(&mut fixture) {
        Call::Scan { after, .. } => assert_eq!(after, keys::job("m")),
        other => panic!("{other:?}"),
    }
    answer(&mut fixture, page(vec![submitted("n")], false, 205));
    assert!(is_known(&fixture, "m") && is_known(&fixture, "n"));
}

/// Guards against a planner that requests the first page thousands of times from a store that
/// rejects calls.
#[test]
fn a_rejected_first_page_is_read_again_after_a_delay() {
    let mut fixture = Fixture::reading();
    fixture.answers_intake = false;
    let mut calls = 0;
    for _ in 0..20 {
        while let Some((operation, _)) = fixture.calls.pop() {
            calls += 1;
            fixture.handle(Event::Store(operation, Reply::NotDone("busy".to_owned())));
            assert!(calls < 100, "retried at once");
        }
        fixture.advance(50);
    }
    assert!((5..=11).contains(&calls), "{calls} times in a second");
}
