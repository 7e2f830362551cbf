//! Tests of the intake of jobs that no entry has notified the planner of.

use prost::Message as _;
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Bench, TERM, fleet, item, job, step};

fn handed_in(id: &str) -> Item {
    item(keys::job(id), job(id, TERM, step(1, false)).encode_to_vec())
}

fn page(items: Vec<Item>, has_more: bool, revision: u64) -> Reply {
    Reply::Items { items, has_more, revision }
}

/// Takes the latest intake call, which the test answers.
fn asked(bench: &mut Bench) -> Call {
    let at = bench.calls.iter().rposition(|(operation, _)| *operation == Operation::Intake);
    bench.calls.remove(at.expect("it has asked")).1
}

fn answer(bench: &mut Bench, reply: Reply) {
    bench.tell(Event::Store(Operation::Intake, reply));
}

fn is_known(bench: &Bench, id: &str) -> bool {
    bench.planner.table().entries.contains_key(id)
}

/// Guards against an accepted job that a planner never learns of: the job was written into the
/// range of the first page while the second page was read, and its entry died before it sent a
/// notice.
#[test]
fn what_is_handed_in_during_the_first_scan_is_looked_up() {
    let mut bench = Bench::reading();
    bench.answer_store(page(vec![fleet(1, &[]), handed_in("m")], true, 100));
    bench.answer_store(page(vec![handed_in("n")], false, 105));
    bench.answer_store(Reply::Committed(106));
    bench.pass(3_000);
    match asked(&mut bench) {
        Call::WatchPrefix { after, .. } => assert_eq!(after, 100),
        other => panic!("{other:?}"),
    }
}

/// Guards against the same fault during the scan that follows a loss of the store's history.
#[test]
fn what_is_handed_in_during_a_later_scan_is_looked_up() {
    let mut bench = Bench::new(vec![fleet(1, &[])]);
    bench.pass(3_000);
    asked(&mut bench);
    answer(&mut bench, Reply::HistoryGone);
    asked(&mut bench);
    answer(&mut bench, page(vec![handed_in("m")], true, 200));
    asked(&mut bench);
    answer(&mut bench, page(vec![handed_in("n")], false, 205));
    bench.pass(3_000);
    match asked(&mut bench) {
        Call::WatchPrefix { after, .. } => assert_eq!(after, 200),
        other => panic!("{other:?}"),
    }
}

/// Guards against pages that are never read: a page got no reply, and the intake went on from the
/// revision of the previous page.
#[test]
fn a_page_without_an_answer_is_read_again() {
    let mut bench = Bench::new(vec![fleet(1, &[])]);
    bench.pass(3_000);
    asked(&mut bench);
    answer(&mut bench, Reply::HistoryGone);
    asked(&mut bench);
    answer(&mut bench, page(vec![handed_in("m")], true, 200));
    asked(&mut bench);
    answer(&mut bench, Reply::Unavailable("no answer".to_owned()));
    bench.pass(3_000);
    match asked(&mut bench) {
        Call::Scan { after, .. } => assert_eq!(after, keys::job("m")),
        other => panic!("{other:?}"),
    }
    answer(&mut bench, page(vec![handed_in("n")], false, 205));
    assert!(is_known(&bench, "m") && is_known(&bench, "n"));
}

/// Guards against a planner that requests the first page thousands of times from a store that
/// rejects calls.
#[test]
fn a_first_page_that_is_turned_away_is_asked_for_after_a_pause() {
    let mut bench = Bench::reading();
    let mut asked = 0;
    for _ in 0..20 {
        while let Some((operation, _)) = bench.calls.pop() {
            asked += 1;
            bench.tell(Event::Store(operation, Reply::NotDone("busy".to_owned())));
            assert!(asked < 100, "asked again at once");
        }
        bench.pass(50);
    }
    assert!((5..=11).contains(&asked), "{asked} times in a second");
}
