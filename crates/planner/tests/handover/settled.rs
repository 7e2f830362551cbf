//! Tests of what a planner has settled and its successor must not settle anew: starts that count no
//! more, VMs that are gone, and the wait for starts that an incomplete record lacks.

use prost::Message as _;
use sapphire_jobs::{
    Notice, Poll, Unanswered, UnansweredStarts,
    inventory::{Page, Tenant},
    remote_clock::RemoteClock,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
    options::Options,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{
    Fixture, START, TERM, fleet, item, job, merge, minion, ms, options, run, step,
};

/// Interval between two steps, in ms.
const STEP: u64 = 50;
const RELEASED: &str = "unanswered start counts no more";
/// Time after the latest poll of an agent in which the lease of its minion is certainly over.
const LEASE_END: u64 = 6_420;
/// Age of a start that an agent reports at first.
const AGE: u64 = 4_000;

/// Returns an inventory in which only the VM of a worker runs a minion.
fn only(name: &str) -> Page {
    let mut page = Page::default();
    page.add(format!("vm-{name}"), Tenant::Minion(minion(name).id));
    page.add("vm-new".to_owned(), Tenant::None);
    page
}

fn both() -> Page {
    let mut page = only("stays");
    page.add("vm-leaves".to_owned(), Tenant::Minion(minion("leaves").id));
    page
}

/// A worker's unanswered start of a job, as its agent reports it.
fn unanswered(age_ms: u64) -> Poll {
    let unanswered = vec![Unanswered { run: Some(run("j", 0, 1)), age_ms, born_ms: 0 }];
    Poll { unanswered, ..Poll::default() }
}

/// A planner whose store keeps what was carried out.
struct Scene {
    fixture: Fixture,
    stored: Vec<Item>,
    inventory: Page,
    /// Whether the store carries out writes of the handover record and answers them.
    has_store: bool,
}

impl Scene {
    /// Returns the planner of a term that has read the store.
    fn begin(term: u64, now: u64, stored: Vec<Item>, clock: Option<(u64, RemoteClock)>) -> Self {
        let mut fixture = Fixture::term(term, now, 0);
        fixture.planner.set_options(Options { has_inventory: true, ..options() });
        fixture.planner.expect_clocks(clock);
        let items = stored.clone();
        fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
        let mut scene = Scene { fixture, stored, inventory: both(), has_store: true };
        scene.answer();
        scene
    }

    /// Answers what the planner has asked for.
    fn answer(&mut self) {
        loop {
            self.answer_reads();
            let is_write = |(operation, _): &(Operation, Call)| {
                matches!(operation, Operation::Unanswered(_) | Operation::Fleet)
            };
            let Some(at) = self.fixture.calls.iter().position(is_write) else { return };
            let (operation, call) = self.fixture.calls.remove(at);
            let reply = if self.has_store {
                self.fixture.records = vec![call];
                let calls = std::mem::take(&mut self.fixture.calls);
                merge(&mut self.stored, &self.fixture);
                self.fixture.calls = calls;
                Reply::Committed(70)
            } else {
                Reply::NotDone("busy".to_owned())
            };
            self.fixture.handle(Event::Store(operation, reply));
        }
    }

    fn answer_reads(&mut self) {
        for _ in 0..std::mem::take(&mut self.fixture.inventory_reads) {
            self.fixture.handle(Event::Inventory(Some(self.inventory.clone())));
        }
    }

    /// Lets a step pass in which the worker `stays` polls and the store carries out nothing yet.
    fn step(&mut self) {
        self.fixture.poll("stays", Vec::new(), Vec::new());
        self.fixture.advance(STEP);
        self.answer_reads();
    }

    /// Lets time pass in which the worker `stays` polls.
    fn run(&mut self, time: u64) {
        for _ in 0..time / STEP {
            self.step();
            self.answer();
        }
    }

    fn has_released(&self) -> bool {
        self.fixture.log.iter().any(|line| line.contains(RELEASED))
    }

    /// Returns the planner that takes over now.
    fn successor(&self) -> Scene {
        let (term, now) = (self.fixture.planner.term(), self.fixture.now);
        let clock = RemoteClock::new(ms(now), ms(now));
        let mut next = Scene::begin(term + 1, now, self.stored.clone(), Some((term, clock)));
        next.inventory = self.inventory.clone();
        next
    }

    fn counts(&self) -> usize {
        self.fixture.planner.unanswered_starts().count()
    }
}

/// Returns a planner that knows of a start on the worker `leaves`, whose VM then is gone.
fn with_lost_vm() -> Scene {
    let stored = vec![
        fleet(1, &[]),
        item(keys::job("j"), job("j", TERM, step(1, false)).encode_to_vec()),
        crate::harness::no_starts(1),
    ];
    let mut scene = Scene::begin(TERM, START, stored, None);
    // The job is cancelled, so that nothing but the start concerns the record.
    let cancelled = vec!["j".to_owned()];
    scene.fixture.handle(Event::Notice(Notice { cancelled, ..Notice::default() }));
    for name in ["stays", "leaves"] {
        scene.fixture.poll(name, Vec::new(), Vec::new());
        scene.fixture.poll(name, Vec::new(), Vec::new());
        scene.answer();
    }
    scene.run(1_000);
    scene.fixture.report("leaves", unanswered(AGE));
    scene.run(1_000);
    assert_eq!(scene.counts(), 1);
    scene.inventory = only("stays");
    scene
}

/// Guards against a start that counts again under each successor: it is in the stored record when the
/// planner that has found its VM gone is lost.
#[test]
fn a_start_that_was_released_does_not_count_again() {
    let mut scene = with_lost_vm();
    for _ in 0..10_000 / STEP {
        scene.step();
        if scene.has_released() {
            assert_eq!(scene.successor().counts(), 0, "{:#?}", scene.fixture.log);
            return;
        }
        scene.answer();
    }
    panic!("the start counts for too long: {:#?}", scene.fixture.log);
}

/// Guards against the same while the record can't be written: the start is released once it can.
#[test]
fn a_start_is_released_once_the_record_says_so() {
    let mut scene = with_lost_vm();
    scene.has_store = false;
    scene.run(LEASE_END + 2_000);
    let has_found = |line: &String| line.contains("worker=leaves") && line.contains("VM is gone");
    assert!(scene.fixture.log.iter().any(has_found));
    assert!(!scene.has_released());
    scene.has_store = true;
    scene.run(500);
    assert!(scene.has_released());
    assert_eq!(scene.successor().counts(), 0);
}

/// Guards against a start on a VM that is gone which counts for 22.8 s more, since its agent, which
/// outlives the VM in the inventory, reports it to a successor.
#[test]
fn a_successor_knows_which_vms_are_gone() {
    let mut scene = with_lost_vm();
    scene.run(LEASE_END + 1_000);
    assert!(scene.has_released());
    for has_minion in [false, true] {
        let mut next = scene.successor();
        let report = Poll { is_minion_gone: !has_minion, ..unanswered(AGE + 6_000) };
        if has_minion {
            next.fixture.report("leaves", report);
        } else {
            next.fixture.report_without_minion("leaves", report);
        }
        next.run(STEP);
        assert_eq!(next.counts(), 0, "minion: {has_minion}");
    }
}

/// Guards against inherited work that waits for a worker, since the stored list still names it although
/// an earlier planner has found its VM gone.
#[test]
fn a_successor_does_not_look_for_a_vm_that_was_found_gone() {
    let mut scene = with_lost_vm();
    let stored = scene.stored.clone();
    scene.run(LEASE_END + 1_000);
    assert!(scene.has_released());
    let is_list = |item: &Item| item.key == keys::FLEET;
    scene.stored.retain(|item| !is_list(item));
    scene.stored.extend(stored.into_iter().filter(is_list));
    let mut next = scene.successor();
    next.fixture.poll("stays", Vec::new(), Vec::new());
    next.fixture.poll("stays", Vec::new(), Vec::new());
    next.run(STEP);
    let is_told = |line: &String| line.contains("knows what earlier orders have come to");
    assert!(next.fixture.log.iter().any(is_told), "{:#?}", next.fixture.log);
}

fn is_over(line: &String) -> bool {
    line == "all starts of earlier terms have expired"
}

/// Guards against all work waiting for ever: planners that take over from each other count the wait for
/// starts that the record may lack from their own beginning.
#[test]
fn ten_planners_wait_once_for_starts_that_the_record_lacks() {
    const SERVED: u64 = 3_000;
    let broken = Item {
        value: Some(b"\xff\xff".to_vec().into()),
        ..item(keys::UNANSWERED.to_owned(), Vec::new())
    };
    let mut scene = Scene::begin(TERM, START, vec![fleet(1, &["stays"]), broken], None);
    let begun = scene.fixture.now;
    for planner in 0..10 {
        scene.run(SERVED);
        if scene.fixture.log.iter().any(is_over) {
            let waited = scene.fixture.now - begun;
            assert!(waited >= 12_000, "{waited} ms");
            assert!(planner <= 12_300 / SERVED + 1, "{planner} planners");
            let next = scene.successor();
            assert!(!next.fixture.log.iter().any(|line| line.contains("is incomplete")));
            return;
        }
        scene = scene.successor();
        scene.fixture.poll("stays", Vec::new(), Vec::new());
    }
    panic!("nothing is placed for {} ms", scene.fixture.now - begun);
}

/// Guards against a task that runs twice: a worker was lost under an earlier planner while the record
/// lacked starts, so that the next incarnation of its minion may run one.
#[test]
fn a_worker_that_an_earlier_planner_has_lost_prolongs_the_wait_for_missing_starts() {
    let broken = Item {
        value: Some(b"\xff\xff".to_vec().into()),
        ..item(keys::UNANSWERED.to_owned(), Vec::new())
    };
    let mut scene = Scene::begin(TERM, START, vec![fleet(1, &["stays", "leaves"]), broken], None);
    scene.run(14_000);
    let recovered = |line: &String| line.contains("knows what earlier orders have come to");
    assert!(scene.fixture.log.iter().any(recovered), "{:#?}", scene.fixture.log);
    let mut next = scene.successor();
    next.fixture.poll("stays", Vec::new(), Vec::new());
    next.run(17_000);
    assert!(!next.fixture.log.iter().any(is_over), "{:#?}", next.fixture.log);
    next.run(5_000);
    assert!(next.fixture.log.iter().any(is_over), "{:#?}", next.fixture.log);
}

/// The record must stay readable by a planner of the version before.
#[test]
fn a_record_without_settled_vms_is_read() {
    let record = UnansweredStarts { term: 1, ..UnansweredStarts::default() };
    let stored = vec![fleet(1, &[]), item(keys::UNANSWERED.to_owned(), record.encode_to_vec())];
    let scene = Scene::begin(TERM, START, stored, None);
    assert!(!scene.fixture.log.iter().any(|line| line.contains("is incomplete")));
}
