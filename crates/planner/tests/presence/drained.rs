//! Tests of minions that drain, deregister and go on for a while.

use super::{
    LONG, MARGIN, assert_goes_on, assert_once, running,
    site::{Conduct, LEASE_BOUND},
};

/// Guards against a task that runs twice: a minion deregisters while its task goes on, and lists the end
/// later.
#[test]
fn an_end_that_is_listed_after_the_deregistration_counts() {
    let (mut site, name) = running(6_000);
    site.drain(name);
    site.run(2_500);
    site.deregister(name);
    site.run(4_500);
    assert_goes_on(&site, "deregistered");
    // It refuses calls at first, and then is gone.
    site.program(name).conduct = Conduct::Refuses;
    site.run(500);
    site.crash(name);
    site.run(15_000);
    assert_goes_on(&site, "deregistered and gone");
}

/// Guards against a task that runs twice: a minion that has deregistered answers for a while and then
/// refuses connections, while its task goes on.
#[test]
fn a_minion_that_deregisters_and_refuses_connections_keeps_its_run() {
    let (mut site, name) = running(LONG);
    site.drain(name);
    site.run(2_500);
    site.deregister(name);
    site.run(1_500);
    site.program(name).conduct = Conduct::Refuses;
    site.run(3_000);
    assert_once(&site, "it refuses connections");
    site.crash(name);
    site.run_until_started("j", 20_000).expect("the task goes on once the lease is over");
    let granted_at = site.workers[name].granted_at;
    assert!(site.now <= granted_at + LEASE_BOUND + MARGIN, "{} ms", site.now - granted_at);
}

/// Guards against a run that lapses or a task that runs twice: the heartbeats of a minion that has
/// deregistered make it a new one.
#[test]
fn heartbeats_after_the_deregistration_begin_no_session() {
    let (mut site, name) = running(LONG);
    site.drain(name);
    site.run(1_000);
    let token = site.workers[name].token;
    site.deregister(name);
    site.run(3_000);
    assert_goes_on(&site, "deregistered");
    assert_eq!(site.workers[name].token, token);
}
