//! Tests of minions that send no lists for some time while their agents poll.

use sapphire_jobs::{
    Notice, Poll, Run, Running,
    inventory::{Page, Tenant},
};
use sapphire_planner::{event::Event, options::Options};

use crate::harness::{Fixture, TERM, fleet, job, minion, options, step};

/// Interval between two polls of an agent, in ms.
const POLL_INTERVAL: u64 = 100;
/// Time for which the minion sends no list, in ms: above that after which its worker is missed, below
/// that after which its lease is over.
const SILENCE: u64 = 4_000;

/// Returns the inventory: the VMs of the workers, each with its minion unless it is `vacant`.
fn page(vacant: Option<&str>) -> Page {
    let mut page = Page::default();
    for name in ["a", "b"] {
        let is_vacant = vacant == Some(name);
        let tenant = if is_vacant { Tenant::None } else { Tenant::Minion(minion(name).id) };
        page.add(format!("vm-{name}"), tenant);
    }
    page
}

/// Lets time pass until the next poll, and answers each read of the inventory.
fn advance(fixture: &mut Fixture, listed: &Page) {
    fixture.advance(POLL_INTERVAL);
    for _ in 0..std::mem::take(&mut fixture.inventory_reads) {
        fixture.handle(Event::Inventory(Some(listed.clone())));
    }
}

/// Returns a planner that knows on which VMs its workers are and has started a task, with its worker, the
/// other one, and the run, which has been listed.
fn started() -> (Fixture, String, &'static str, Run) {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.planner.set_options(Options { has_inventory: true, ..options() });
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    for _ in 0..10 {
        for name in ["a", "b"] {
            fixture.poll(name, Vec::new(), Vec::new());
        }
        advance(&mut fixture, &page(None));
    }
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    advance(&mut fixture, &page(None));
    let name = fixture.worker_of("j");
    let run = fixture.starts().remove(0);
    fixture.poll(&name, vec![running(&run)], Vec::new());
    let other = if name == "a" { "b" } else { "a" };
    (fixture, name, other, run)
}

fn running(run: &Run) -> Running {
    Running { run: Some(run.clone()), ..Running::default() }
}

/// Has the agent of a worker repeat its latest list for some time, while the inventory shows `listed`.
fn mute(listed: &Page) {
    let (mut fixture, name, other, run) = started();
    let lists = fixture.sequence[&name];
    for age in (0..SILENCE).step_by(POLL_INTERVAL as usize) {
        let report = Poll { running: vec![running(&run)], list_age_ms: age, ..Poll::default() };
        fixture.report_list(&name, lists, report);
        fixture.poll(other, Vec::new(), Vec::new());
        advance(&mut fixture, listed);
        assert_eq!(fixture.worker_of("j"), name, "{age} ms after its latest list");
    }
    // It answers again.
    fixture.poll(&name, vec![running(&run)], Vec::new());
    advance(&mut fixture, &page(None));
    assert_eq!(fixture.starts(), [run]);
    assert!(!fixture.log.iter().any(|line| line.contains("unexpected run")));
}

/// Guards against a task that runs twice: a minion that answers nothing for some seconds goes on.
#[test]
fn runs_of_a_mute_minion_go_on() {
    mute(&page(None));
}

/// Guards against a task that runs twice: the same, while the inventory lists its VM without it.
#[test]
fn runs_of_a_mute_minion_go_on_whose_vm_is_listed_as_vacant() {
    mute(&page(Some("a")));
    mute(&page(Some("b")));
}
