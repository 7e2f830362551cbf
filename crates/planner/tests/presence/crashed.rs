//! Tests of minions that have really ended: their tasks go on elsewhere in bounded time.

use super::{LONG, LONGEST_LEASE, MARGIN, assert_once, running, site::LEASE_BOUND};

/// Guards against a task that waits for longer than the lease of a minion that has crashed, whose VM is
/// still listed with it.
#[test]
fn the_task_of_a_crashed_minion_goes_on_when_its_lease_is_over() {
    let (mut site, name) = running(LONG);
    site.crash(name);
    site.run(500);
    let granted_at = site.workers[name].granted_at;
    site.run(granted_at + LEASE_BOUND + MARGIN - site.now);
    assert_once(&site, "crashed");
    assert_eq!(site.starts_of("j").len(), 2, "{:#?}", site.planner.log);
}

/// Guards against a wait that each change of planners begins anew, while the agent reports that
/// connections are refused.
#[test]
fn a_change_of_planners_prolongs_no_wait_for_a_crashed_minion() {
    let (mut site, name) = running(LONG);
    // The leases of an earlier process of the agent are over.
    site.run(LONGEST_LEASE);
    site.crash(name);
    site.run(500);
    let granted_at = site.workers[name].granted_at;
    site.run(2_500);
    site.take_over();
    site.run(granted_at + LEASE_BOUND + MARGIN - site.now);
    assert_once(&site, "crashed");
    assert_eq!(site.starts_of("j").len(), 2, "{:#?}", site.planner.log);
}

/// Guards against a task that waits for a lease although the next incarnation lists that it runs nothing.
#[test]
fn the_first_list_of_a_next_incarnation_ends_the_runs_before() {
    let (mut site, name) = running(LONG);
    site.crash(name);
    site.run(1_000);
    site.start_minion(name);
    site.run(500 + MARGIN);
    assert_once(&site, "restarted");
    assert_eq!(site.starts_of("j").len(), 2, "{:#?}", site.planner.log);
}
