//! Tests of an inventory that is late or incomplete while an agent is silent.

use sapphire_jobs::inventory::{Page, Tenant};

use super::{
    LONG, MARGIN, assert_goes_on, assert_once, running_on,
    site::{Conduct, LEASE_BOUND, Site},
    task,
};
use crate::harness::minion;

/// Returns what the inventory shows beside a worker.
type Show = fn(&Site, &str) -> Page;

/// Inventories that don't show the minion of a worker, each with a name.
const PAGES: [(&str, Show); 3] = [
    ("its VM is not listed", |site, name| site.page_without(&[name])),
    ("its VM has no minion", |site, name| site.page_with(name, Tenant::None)),
    ("its VM has the minion before", earlier),
];

/// Returns an inventory that shows on the VM of a worker the minion that was there before.
fn earlier(site: &Site, name: &str) -> Page {
    site.page_with(name, Tenant::Minion(minion(name).id))
}

/// Returns a site whose minions have been replaced by others.
fn replaced() -> Site {
    let mut site = Site::new(&["a", "b"], LONG);
    site.replace_minions();
    site
}

/// Returns such a site on which the task of a job runs, with the worker that it runs on.
fn running() -> (Site, &'static str) {
    running_on(replaced(), LONG)
}

fn cut_off(site: &mut Site, name: &str, is_cut_off: bool) {
    site.workers.get_mut(name).expect("it is known").is_cut_off = is_cut_off;
}

/// Guards against a task that runs twice: an agent is out of contact for less than a lease, and the
/// inventory doesn't show its minion.
#[test]
fn an_inventory_without_a_live_minion_ends_no_run() {
    for (why, page) in PAGES {
        let (mut site, name) = running();
        let token = site.workers[name].token;
        cut_off(&mut site, name, true);
        site.inventory = Some(page(&site, name));
        site.run(3_500);
        cut_off(&mut site, name, false);
        site.run(5_000);
        assert_goes_on(&site, why);
        assert_eq!(site.workers[name].token, token, "{why}");
    }
}

/// Guards against the same if the VM is missing from two reads only.
#[test]
fn two_reads_without_a_live_minion_end_no_run() {
    for (why, page) in PAGES {
        let (mut site, name) = running();
        let page = page(&site, name);
        let listed = site.inventory.replace(page);
        cut_off(&mut site, name, true);
        // The worker is missed after 1.3 s, and the inventory is then read every 0.4 s.
        site.run(2_200);
        site.inventory = listed;
        site.run(1_500);
        cut_off(&mut site, name, false);
        site.run(5_000);
        assert_goes_on(&site, why);
    }
}

/// Guards against a task that waits for longer than the lease of a worker that stays out of contact.
#[test]
fn the_task_of_a_worker_that_stays_silent_goes_on_when_its_lease_is_over() {
    for (why, page) in PAGES {
        let (mut site, name) = running();
        cut_off(&mut site, name, true);
        site.inventory = Some(page(&site, name));
        site.run_until_started("j", 20_000).expect("the task goes on");
        assert_once(&site, why);
        let granted_at = site.workers[name].granted_at;
        let after = site.now - granted_at;
        assert!(site.now <= granted_at + LEASE_BOUND + MARGIN, "{why}: {after} ms");
    }
}

/// Lets a planner take over while a worker is out of contact that the inventory shows so.
fn succeed(why: &str, page: Show) {
    let (mut site, name) = running();
    cut_off(&mut site, name, true);
    site.inventory = Some(page(&site, name));
    site.run(300);
    site.take_over();
    site.run(3_200);
    assert_once(&site, why);
    cut_off(&mut site, name, false);
    site.run(5_000);
    assert_goes_on(&site, why);
}

/// Guards against a task that runs twice after a change of planners: the successor knows the worker from
/// the stored list, and the inventory doesn't show its minion.
#[test]
fn an_inventory_without_a_live_minion_ends_no_run_for_a_successor() {
    for (why, page) in &PAGES[..2] {
        succeed(why, *page);
    }
}

/// Guards against the same if the inventory shows the minion before, of which the successor may not know.
#[test]
fn an_inventory_with_an_earlier_minion_ends_no_run_for_a_successor() {
    succeed("its VM has the minion before", earlier);
}

/// Guards against a task that runs twice: a start without an answer is carried out late on a minion that
/// the inventory doesn't show.
#[test]
fn an_inventory_without_a_live_minion_resolves_no_start() {
    for (why, page) in PAGES {
        let mut site = replaced();
        for name in ["a", "b"] {
            site.program(name).conduct = Conduct::Silent;
        }
        site.submit("j", task(LONG));
        site.run(400);
        let name = if site.planner.worker_of("j") == "a" { "a" } else { "b" };
        let other = if name == "a" { "b" } else { "a" };
        site.program(other).conduct = Conduct::Answers;
        cut_off(&mut site, name, true);
        site.inventory = Some(page(&site, name));
        site.run(4_000);
        assert!(site.carry_out_late(name) > 0, "{why}: no start was lost");
        assert_once(&site, why);
        site.program(name).conduct = Conduct::Answers;
        cut_off(&mut site, name, false);
        site.run(5_000);
        assert_goes_on(&site, why);
    }
}
