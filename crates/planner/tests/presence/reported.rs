//! Tests of polls that report why an agent takes its minion for absent.

use sapphire_jobs::{
    Absence, AbsenceCause, Notice, Poll, Run, Running, Step,
    inventory::{Page, Tenant},
};
use sapphire_planner::{event::Event, options::Options};

use super::{LONG, MARGIN, site::LEASE_BOUND, task};
use crate::harness::{Fixture, TERM, fleet, job, minion, options, step};

/// Time between two polls.
const STEP: u64 = 200;

const CAUSES: [AbsenceCause; 2] = [AbsenceCause::NotListening, AbsenceCause::Deregistered];

/// A planner with a task that runs on one of two workers.
struct Scene {
    fixture: Fixture,
    name: String,
    other: &'static str,
    run: Run,
    /// Time of the latest poll of the worker before its minion was taken for absent.
    polled_at: u64,
    /// Time from which on the minion is taken for absent.
    absent_since: Option<u64>,
}

/// Returns what the inventory shows if the VM of a worker has no minion.
fn page(vacant: &str) -> Page {
    let mut page = Page::default();
    for name in ["a", "b"] {
        let tenant = Tenant::Minion(minion(name).id);
        page.add(format!("vm-{name}"), if name == vacant { Tenant::None } else { tenant });
    }
    page
}

fn scene() -> Scene {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.planner.set_options(Options { has_inventory: true, ..options() });
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture.advance(100);
    assert!(fixture.inventory_reads > 0);
    fixture.inventory_reads = 0;
    fixture.handle(Event::Inventory(Some(page("none"))));
    for name in ["a", "b"] {
        fixture.poll(name, Vec::new(), Vec::new());
    }
    submit(&mut fixture, "j", task(LONG));
    fixture.advance(50);
    let name = fixture.worker_of("j");
    let other = if name == "a" { "b" } else { "a" };
    let run = fixture.starts().remove(0);
    let mut scene = Scene { fixture, name, other, run, polled_at: 0, absent_since: None };
    scene.run(2 * STEP, None);
    scene
}

fn submit(fixture: &mut Fixture, id: &str, step: Step) {
    let notice = Notice { jobs: vec![job(id, TERM, step)], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
}

impl Scene {
    /// Sends the polls of both workers; that of the one with the run says why its minion is absent.
    fn poll(&mut self, cause: Option<AbsenceCause>) {
        let now = self.fixture.now;
        self.absent_since = cause.is_some().then(|| self.absent_since.unwrap_or(now));
        let age_ms = now - self.absent_since.unwrap_or(now);
        let absence = cause.map(|cause| Absence {
            cause: cause.into(),
            age_ms,
            observations: 3,
            answer_age_ms: age_ms + 100,
            heartbeat_age_ms: age_ms + 300,
        });
        let running = Running { run: Some(self.run.clone()), percent: 1, ..Running::default() };
        let report = Poll { absence, running: vec![running], ..Poll::default() };
        let name = self.name.clone();
        if cause.is_some() {
            // The list stays the same, and becomes older.
            let lists = self.fixture.sequence[&name];
            self.fixture.report_list(&name, lists, Poll { list_age_ms: age_ms + 100, ..report });
        } else {
            self.polled_at = now;
            self.fixture.report(&name, report);
        }
        self.fixture.poll(self.other, Vec::new(), Vec::new());
    }

    fn run(&mut self, time: u64, cause: Option<AbsenceCause>) {
        for _ in 0..time / STEP {
            self.poll(cause);
            self.fixture.advance(STEP);
        }
    }

    fn is_elsewhere(&self) -> bool {
        self.fixture.worker_of("j") == self.other
    }

    /// Answers the reads of the inventory that have begun.
    fn answer_read(&mut self, page: &Page) {
        assert!(std::mem::take(&mut self.fixture.inventory_reads) > 0, "no read has begun");
        self.fixture.handle(Event::Inventory(Some(page.clone())));
    }

    /// Lets time pass until a read of the inventory begins.
    fn await_read(&mut self, cause: Option<AbsenceCause>) {
        let until = self.fixture.now + 3_000;
        while self.fixture.inventory_reads == 0 && self.fixture.now < until {
            self.run(STEP, cause);
        }
    }
}

/// Guards against a task that runs twice: its minion was taken for absent, and answers again.
#[test]
fn a_minion_that_answers_again_keeps_its_run_and_session() {
    for cause in CAUSES {
        let mut scene = scene();
        let token = scene.fixture.tokens[&scene.name];
        scene.run(3_000, Some(cause));
        assert_eq!(scene.fixture.worker_of("j"), scene.name, "{cause:?}");
        scene.run(3_000, None);
        assert_eq!(scene.fixture.worker_of("j"), scene.name, "{cause:?}");
        assert_eq!(scene.fixture.tokens[&scene.name], token, "{cause:?}");
        assert!(scene.fixture.stops().is_empty(), "{cause:?}");
    }
}

/// Guards against starts on a minion that may be gone.
#[test]
fn a_worker_whose_minion_is_absent_gets_no_tasks() {
    for cause in CAUSES {
        let mut scene = scene();
        scene.run(STEP, Some(cause));
        let orders = scene.fixture.orders.len();
        submit(&mut scene.fixture, "k", step(4, false));
        scene.run(1_000, Some(cause));
        let is_ours = |worker: &str| worker == scene.name;
        let workers = scene.fixture.planner.workers();
        let placed = workers.iter().filter(|(name, _)| is_ours(name));
        let count = placed.flat_map(|(_, it)| it.runs.keys()).filter(|it| it.job == "k").count();
        assert_eq!(count, 0, "{cause:?}: {:#?}", &scene.fixture.orders[orders..]);
    }
}

/// Guards against a lease that is granted for ever, so that the task of a minion that is gone never goes
/// on. And against one that goes on before the lease is over.
#[test]
fn the_run_of_an_absent_minion_ends_with_its_lease() {
    for cause in CAUSES {
        let mut scene = scene();
        let granted_at = scene.polled_at;
        while !scene.is_elsewhere() && scene.fixture.now < granted_at + 20_000 {
            // The inventory isn't answered.
            scene.run(STEP, Some(cause));
        }
        let after = scene.fixture.now - granted_at;
        assert!(after >= LEASE_BOUND, "{cause:?}: {after} ms");
        // One poll may have been sent before the first refusal, and answered after it.
        assert!(after <= LEASE_BOUND + MARGIN + 2 * STEP, "{cause:?}: {after} ms");
    }
}

/// Guards against a task that runs twice: reads of the inventory and refused connections may both be wrong
/// of a minion that goes on. And against a task that waits for longer than its lease.
#[test]
fn two_reads_after_the_refusals_end_no_run_before_the_lease() {
    let mut scene = scene();
    let vacant = page(&scene.name);
    let refused = Some(AbsenceCause::NotListening);
    let granted_at = scene.polled_at;
    // The agent is silent, so that a read begins, and in contact again.
    while scene.fixture.inventory_reads == 0 {
        scene.fixture.poll(scene.other, Vec::new(), Vec::new());
        scene.fixture.advance(STEP);
    }
    scene.poll(refused);
    scene.answer_read(&vacant);
    scene.await_read(refused);
    scene.answer_read(&vacant);
    scene.run(STEP, refused);
    assert!(!scene.is_elsewhere(), "{:#?}", scene.fixture.log);
    while scene.fixture.now < granted_at + 5_800 {
        scene.run(STEP, refused);
        if scene.fixture.inventory_reads > 0 {
            scene.answer_read(&vacant);
        }
        assert!(!scene.is_elsewhere(), "{:#?}", scene.fixture.log);
    }
    scene.run(super::site::LEASE_BOUND - 5_800 + 2 * STEP, refused);
    assert!(scene.is_elsewhere(), "{:#?}", scene.fixture.log);
}

/// Guards against a task that runs twice: the inventory leaves out a minion because it has deregistered,
/// which is no second source.
#[test]
fn reads_do_not_confirm_a_deregistration() {
    let mut scene = scene();
    let vacant = page(&scene.name);
    let granted_at = scene.polled_at;
    while scene.fixture.now < granted_at + 5_800 {
        scene.run(STEP, Some(AbsenceCause::Deregistered));
        if scene.fixture.inventory_reads > 0 {
            scene.answer_read(&vacant);
        }
        assert!(!scene.is_elsewhere(), "{:#?}", scene.fixture.log);
    }
}
