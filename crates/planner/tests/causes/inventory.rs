//! Tests of what is logged of an inventory of VMs that is of no use.

use sapphire_jobs::inventory::Page;
use sapphire_planner::{event::Event, inventory::Fault, options::Options};

use crate::{
    causes::lines,
    harness::{Fixture, fleet, minion, options},
};

/// Returns a planner with two workers, one of which it has lost contact to.
fn missing(has_inventory: bool) -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.planner.set_options(Options { has_inventory, ..options() });
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    for _ in 0..6 {
        fixture.poll("b", Vec::new(), Vec::new());
        fixture.advance(250);
    }
    fixture
}

/// Lets time pass in which one worker polls, and answers each read of the inventory.
fn advance(fixture: &mut Fixture, time: u64, answer: Option<&Page>) {
    for _ in 0..time / 250 {
        fixture.poll("b", Vec::new(), Vec::new());
        fixture.advance(250);
        for _ in 0..std::mem::take(&mut fixture.inventory_reads) {
            fixture.handle(Event::Inventory(answer.cloned()));
        }
    }
}

fn page(names: &[&str]) -> Page {
    Page { minions: names.iter().map(|name| minion(name).id).collect(), ..Page::default() }
}

/// Guards against a worker that is missed until its lease has expired since there is no inventory, and
/// of which no line tells.
#[test]
fn a_planner_without_an_inventory_says_so_once() {
    let mut fixture = missing(false);
    advance(&mut fixture, 3_000, None);
    insta::assert_snapshot!(lines(&fixture, "inventory "), @"inventory doesn't show which VMs are gone: reason=unconfigured missed=a");
    assert_eq!(fixture.planner.inventory_fault(), Some(Fault::Unconfigured));
    fixture.poll("a", Vec::new(), Vec::new());
    advance(&mut fixture, 500, None);
    assert_eq!(fixture.planner.inventory_fault(), None);
    advance(&mut fixture, 3_000, None);
    assert_eq!(lines(&fixture, "inventory ").lines().count(), 1);
}

/// Guards against an inventory that never shows what is gone, and of which no line tells why; and against
/// a change of the reason that is not logged.
#[test]
fn each_reason_for_which_an_inventory_is_of_no_use_is_logged() {
    let mut fixture = missing(true);
    advance(&mut fixture, 1_500, None);
    assert_eq!(fixture.planner.inventory_fault(), Some(Fault::Unreadable));
    advance(&mut fixture, 1_500, Some(&page(&["other"])));
    assert_eq!(fixture.planner.inventory_fault(), Some(Fault::Foreign));
    let vacant = Page { has_vacant: true, ..page(&["b"]) };
    advance(&mut fixture, 1_500, Some(&vacant));
    assert_eq!(fixture.planner.inventory_fault(), Some(Fault::Vacant));
    advance(&mut fixture, 1_500, Some(&page(&["a", "b"])));
    assert_eq!(fixture.planner.inventory_fault(), None);
    insta::assert_snapshot!(lines(&fixture, "inventory "), @"
    inventory doesn't show which VMs are gone: reason=unreadable missed=a
    inventory doesn't show which VMs are gone: reason=foreign missed=a
    inventory doesn't show which VMs are gone: reason=vacant missed=a
    inventory shows which VMs are gone: missed=a
    ");
}

/// Guards against reads without any answer that look like an inventory which lists all VMs.
#[test]
fn an_inventory_that_does_not_answer_is_unreadable() {
    let mut fixture = missing(true);
    for _ in 0..8 {
        fixture.poll("b", Vec::new(), Vec::new());
        fixture.advance(250);
    }
    assert_eq!(fixture.planner.inventory_fault(), Some(Fault::Unreadable));
    insta::assert_snapshot!(lines(&fixture, "inventory "), @"inventory doesn't show which VMs are gone: reason=unreadable missed=a");
}

/// Guards against a log that is flooded while an inventory changes with each read.
#[test]
fn the_rate_of_the_lines_on_the_inventory_is_bounded() {
    let mut fixture = missing(true);
    for _ in 0..3 {
        advance(&mut fixture, 500, Some(&page(&["a", "b"])));
        advance(&mut fixture, 500, None);
    }
    let written = lines(&fixture, "inventory ").lines().count();
    assert!(written <= 4, "{written} lines in 3 s");
}
