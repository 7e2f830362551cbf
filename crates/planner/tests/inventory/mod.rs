//! Tests of workers whose VMs are gone, as the platform's inventory shows.

use std::collections::BTreeSet;

use prost::Message as _;
use sapphire_jobs::{
    Incarnation, Notice, Poll, Run, Running,
    inventory::{Page, Tenant},
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
    options::Options,
};
use sapphire_store::call::{Call, Reply};

use crate::harness::{Fixture, TERM, fleet, item, job, minion, no_starts, options, run, step};

mod vacant;

/// Interval between two steps of a test, in ms.
const STEP: u64 = 450;

/// Longest time for which a worker gets no tasks since its VM isn't known.
const JOIN_TIMEOUT: u64 = 600;

/// Returns a page of the inventory with the minions of these workers.
fn page(names: &[&str]) -> Page {
    Page { minions: names.iter().map(|name| minion(name).id).collect(), ..Page::default() }
}

fn with_inventory(mut fixture: Fixture) -> Fixture {
    fixture.planner.set_options(Options { has_inventory: true, ..options() });
    fixture
}

/// Returns a planner that has ordered the start of a task on one of its workers and has had no
/// answer, with that worker and the run.
fn ordered() -> (Fixture, String, Run) {
    let mut fixture = with_inventory(Fixture::new(vec![fleet(1, &["a", "b"])]));
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    // The VMs of the minions aren't learnt, since no read is answered.
    fixture.advance(JOIN_TIMEOUT);
    for name in ["a", "b"] {
        fixture.poll(name, Vec::new(), Vec::new());
    }
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.advance(50);
    let name = fixture.worker_of("j");
    let run = fixture.starts().remove(0);
    (fixture, name, run)
}

/// Lets time pass in which only the worker `other` polls, and answers each read of the inventory.
/// Returns the number of reads.
fn pass_time(fixture: &mut Fixture, time: u64, other: &str, page: &Page) -> usize {
    let mut reads = 0;
    for _ in 0..time / STEP {
        fixture.poll(other, Vec::new(), Vec::new());
        fixture.advance(STEP);
        for _ in 0..std::mem::take(&mut fixture.inventory_reads) {
            reads += 1;
            fixture.handle(Event::Inventory(Some(page.clone())));
        }
    }
    reads
}

fn other_of(name: &str) -> &'static str {
    if name == "a" { "b" } else { "a" }
}

/// Guards against a task that waits for longer than 20 s for a start on a worker that is gone.
#[test]
fn a_start_on_a_vm_that_is_gone_holds_up_nothing() {
    let (mut fixture, name, _) = ordered();
    let other = other_of(&name);
    // Until the lease is over, the inventory alone shows nothing.
    pass_time(&mut fixture, 5_400, other, &page(&[other]));
    assert_eq!(fixture.worker_of("j"), name);
    pass_time(&mut fixture, 2_700, other, &page(&[other]));
    assert_eq!(fixture.worker_of("j"), other);
}

/// Guards against a task that runs twice: a worker that is cut off is still listed.
#[test]
fn a_worker_that_is_listed_is_not_lost_before_its_lease_has_expired() {
    let (mut fixture, name, _) = ordered();
    let other = other_of(&name);
    pass_time(&mut fixture, 5_400, other, &page(&["a", "b"]));
    assert_eq!(fixture.worker_of("j"), name);
    pass_time(&mut fixture, 5_400, other, &page(&["a", "b"]));
    assert_ne!(fixture.worker_of("j"), other);
}

/// Guards against a task that runs twice: the VM without a minion may be that of the missed one, which
/// is being started again.
#[test]
fn nothing_is_gone_while_a_vm_has_no_minion() {
    let (mut fixture, name, _) = ordered();
    let other = other_of(&name);
    let vacant = Page { has_vacant: true, ..page(&[other]) };
    pass_time(&mut fixture, 5_400, other, &vacant);
    assert_eq!(fixture.worker_of("j"), name);
}

/// Guards against a task that runs twice: the inventory is that of other VMs.
#[test]
fn an_inventory_without_any_worker_shows_nothing() {
    let (mut fixture, name, _) = ordered();
    pass_time(&mut fixture, 5_400, other_of(&name), &page(&["c"]));
    assert_eq!(fixture.worker_of("j"), name);
}

/// Guards against a task that runs twice: a VM was missing from one read, whose pages were of different
/// times.
#[test]
fn one_read_does_not_show_that_a_vm_is_gone() {
    let (mut fixture, name, _) = ordered();
    let other = other_of(&name);
    for _ in 0..4 {
        while fixture.inventory_reads == 0 {
            fixture.poll(other, Vec::new(), Vec::new());
            fixture.advance(100);
        }
        fixture.inventory_reads = 0;
        fixture.handle(Event::Inventory(Some(page(&[other]))));
        fixture.poll(other, Vec::new(), Vec::new());
        fixture.advance(500);
        fixture.inventory_reads = 0;
        fixture.handle(Event::Inventory(Some(page(&["a", "b"]))));
        if fixture.worker_of("j") != name {
            break;
        }
    }
    assert!(!fixture.log.iter().any(|line| line.contains("its VM is gone")));
}

/// Guards against a live worker that is declared lost by an inventory that lags behind.
#[test]
fn a_worker_that_polls_is_not_gone() {
    let (mut fixture, name, run) = ordered();
    let empty = Page::default();
    for _ in 0..12 {
        let running = vec![Running { run: Some(run.clone()), ..Running::default() }];
        fixture.poll(&name, running, Vec::new());
        pass_time(&mut fixture, STEP, other_of(&name), &empty);
    }
    assert_eq!(fixture.worker_of("j"), name);
}

/// Polls all workers for some time, and answers each read of the inventory. Returns the number of reads.
fn reads_while_all_poll(fixture: &mut Fixture, time: u64, page: &Page) -> usize {
    let mut reads = 0;
    for _ in 0..time / 500 {
        for name in ["a", "b"] {
            fixture.poll(name, Vec::new(), Vec::new());
        }
        fixture.advance(500);
        for _ in 0..std::mem::take(&mut fixture.inventory_reads) {
            reads += 1;
            fixture.handle(Event::Inventory(Some(page.clone())));
        }
    }
    reads
}

/// Guards against calls that cost something and tell nothing: while no worker is missed, one read tells
/// on which VMs the minions are.
#[test]
fn the_inventory_is_read_once_while_no_worker_is_missed() {
    let (mut fixture, ..) = ordered();
    let mut listed = Page::default();
    for name in ["a", "b"] {
        listed.add(format!("vm-{name}"), Tenant::Minion(minion(name).id));
    }
    fixture.inventory_reads = 0;
    fixture.handle(Event::Inventory(Some(listed.clone())));
    assert_eq!(reads_while_all_poll(&mut fixture, 60_000, &listed), 0);
}

/// Guards against calls that cost something and tell nothing: an inventory that doesn't show on which
/// VMs the minions are is read ever less often.
#[test]
fn an_inventory_that_tells_nothing_is_read_ever_less_often() {
    let (mut fixture, ..) = ordered();
    let reads = reads_while_all_poll(&mut fixture, 600_000, &page(&["a", "b"]));
    // Eight intervals, each twice as long as the one before, and then one a minute.
    assert!(reads <= 18, "{reads} reads");
}

/// Guards against inherited jobs that wait for 11.4 s after each take-over because a worker of the
/// earlier term is gone.
#[test]
fn a_successor_does_not_wait_for_a_vm_that_is_gone() {
    let mut fixture = with_inventory(Fixture::new(vec![
        fleet(1, &["a", "b"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]));
    fixture.join("b", Vec::new(), Vec::new());
    // The lease of the worker, the time for which the earlier planner may have gone on in an outage of
    // the store, and two steps.
    let limit = 6_420 + 5_000 + 2 * STEP;
    let reads = pass_time(&mut fixture, limit, "b", &page(&["b"]));
    assert_eq!(fixture.worker_of("j"), "b");
    // One each step at most, until the worker is lost.
    assert!(reads as u64 <= (6_420 + 5_000) / STEP, "{reads} reads");
    assert_eq!(pass_time(&mut fixture, 10_000, "b", &page(&["b"])), 0);
}

/// Guards against a successor that trusts the name of a minion that has been replaced since: nothing
/// starts on a minion before the stored list names it.
#[test]
fn nothing_starts_before_the_stored_list_names_the_minion() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.poll("a", Vec::new(), Vec::new());
    let next = Incarnation { id: "m-next".to_owned(), born_ms: 2, ..minion("a") };
    for _ in 0..3 {
        let report = Poll { incarnation: Some(next.clone()), ..Default::default() };
        fixture.report("a", report);
        fixture.advance(700);
    }
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.advance(500);
    let is_list = |(operation, _): &(Operation, Call)| *operation == Operation::Fleet;
    // The list that names the present minion follows the one that was being written before.
    for revision in [61, 62] {
        assert!(fixture.starts().is_empty());
        let at = fixture.calls.iter().position(is_list).expect("the list of workers is written");
        let (operation, _) = fixture.calls.remove(at);
        fixture.handle(Event::Store(operation, Reply::Committed(revision)));
        let report = Poll { incarnation: Some(next.clone()), ..Default::default() };
        fixture.report("a", report);
        fixture.advance(100);
    }
    assert_eq!(fixture.starts(), vec![run("j", 0, 1_001)]);
}

/// Guards against pages that are taken for the whole inventory.
#[test]
fn all_pages_are_read() {
    let (mut fixture, name, _) = ordered();
    let other = other_of(&name);
    let first = Page { next: Some("t".to_owned()), ..page(&[other]) };
    let last = page(&[&name]);
    let mut seen = BTreeSet::new();
    for at in 0..16 {
        fixture.poll(other, Vec::new(), Vec::new());
        fixture.advance(STEP / 2);
        while fixture.inventory_reads > 0 {
            fixture.inventory_reads -= 1;
            let page = if seen.insert(at) { &first } else { &last };
            fixture.handle(Event::Inventory(Some(page.clone())));
        }
    }
    assert!(!seen.is_empty());
    assert_eq!(fixture.worker_of("j"), name);
}
