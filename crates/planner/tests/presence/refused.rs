//! Tests of minions whose connections are refused.

use sapphire_jobs::inventory::Tenant;

use super::{
    LONG, MARGIN, assert_goes_on, assert_once, running,
    site::{Conduct, LEASE_BOUND},
};

/// Guards against a task that runs twice: connections were refused for a moment, and the minion goes on.
#[test]
fn connections_refused_for_a_moment_end_no_run() {
    let (mut site, name) = running(LONG);
    let token = site.workers[name].token;
    site.program(name).conduct = Conduct::Refuses;
    site.run(400);
    let reports_gone = site.workers[name].reports_gone;
    site.program(name).conduct = Conduct::Answers;
    site.run(8_000);
    assert_goes_on(&site, "refused for a moment");
    assert!(!reports_gone);
    assert_eq!(site.workers[name].token, token);
}

/// Guards against a task that runs twice: connections are refused for as long as the minion runs.
#[test]
fn connections_that_stay_refused_end_no_run_before_its_lease() {
    let (mut site, name) = running(LONG);
    site.program(name).conduct = Conduct::Refuses;
    let granted_at = site.workers[name].granted_at;
    site.run_until_started("j", 20_000).expect("the task goes on once the lease is over");
    assert_once(&site, "refused");
    assert!(site.now >= granted_at + 6_000, "{} ms", site.now - granted_at);
    let last = site.workers[name].granted_at.max(granted_at);
    assert!(site.now <= last + LEASE_BOUND + MARGIN, "{} ms", site.now - last);
}

/// Guards against a lease that is renewed without end, so that the task of a minion that has crashed
/// never goes on.
#[test]
fn a_minion_whose_connections_are_refused_is_granted_no_lease() {
    let (mut site, name) = running(LONG);
    site.program(name).conduct = Conduct::Refuses;
    site.run(1_000);
    let granted_at = site.workers[name].granted_at;
    site.run(4_000);
    assert_eq!(site.workers[name].granted_at, granted_at);
}

/// Guards against a task that runs twice: an agent that has just started finds nothing that listens,
/// while the minion runs on with the lease that the process before has passed on.
#[test]
fn probes_that_are_refused_end_no_run() {
    let (mut site, name) = running(LONG);
    site.program(name).is_beating = false;
    site.program(name).conduct = Conduct::Refuses;
    site.restart_agent(name);
    site.run(2_000);
    site.program(name).conduct = Conduct::Answers;
    site.program(name).is_beating = true;
    site.run(8_000);
    assert_goes_on(&site, "refused probes");
}

/// Guards against the same if heartbeats arrive meanwhile, so that the agent knows its minion.
#[test]
fn a_restarted_agent_whose_calls_are_refused_ends_no_run() {
    let (mut site, name) = running(LONG);
    site.program(name).conduct = Conduct::Refuses;
    site.restart_agent(name);
    site.run(2_000);
    site.program(name).conduct = Conduct::Answers;
    site.run(8_000);
    assert_goes_on(&site, "refused calls");
}

/// Guards against a task that runs twice: a restarted agent's probes are refused until the lease of the
/// process before is over. And against one that waits for longer.
#[test]
fn probes_that_stay_refused_end_no_run_before_its_lease() {
    let (mut site, name) = running(LONG);
    site.program(name).is_beating = false;
    site.program(name).conduct = Conduct::Refuses;
    site.restart_agent(name);
    site.run(700);
    let granted_at = site.workers[name].granted_at;
    assert_once(&site, "refused probes");
    site.run_until_started("j", 20_000).expect("the task goes on once the lease is over");
    assert_once(&site, "refused probes");
    assert!(site.now <= granted_at + LEASE_BOUND + MARGIN, "{} ms", site.now - granted_at);
}

/// Guards against a task that runs twice although two sources agree that its minion has ended: a listener
/// refuses for a while, and the inventory lacks the minion meanwhile.
#[test]
fn two_sources_that_agree_end_no_run_before_its_lease() {
    for is_crashed in [false, true] {
        let (mut site, name) = running(LONG);
        if is_crashed {
            site.crash(name);
        } else {
            site.program(name).conduct = Conduct::Refuses;
        }
        site.inventory = Some(site.page_with(name, Tenant::None));
        let after = site.run_until_started("j", 20_000).expect("the task goes on");
        assert_once(&site, "both agree");
        assert!(after <= LEASE_BOUND + MARGIN, "{after} ms");
    }
}

/// Guards against a task that runs twice: the inventory was read before connections were refused, and
/// showed a VM without a minion because its minion had just begun.
#[test]
fn reads_from_before_a_refusal_end_no_run() {
    let (mut site, name) = running(LONG);
    let listed = site.inventory.clone();
    site.inventory = Some(site.page_with(name, Tenant::None));
    site.read_time = 700;
    // Reads begin, since the worker is missed.
    site.workers.get_mut(name).expect("it runs").is_cut_off = true;
    site.run(1_900);
    site.workers.get_mut(name).expect("it runs").is_cut_off = false;
    site.program(name).conduct = Conduct::Refuses;
    site.inventory = listed;
    site.run(1_500);
    site.program(name).conduct = Conduct::Answers;
    site.run(6_000);
    assert_goes_on(&site, "reads from before");
}
