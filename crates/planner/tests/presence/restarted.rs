//! Tests of minions that have restarted under their names, and of deregistrations that are late or early.

use super::{
    LONG, assert_once, running,
    site::{Conduct, Site},
    task,
};

/// Guards against a task that runs twice: a call with a deadline by the clock of the incarnation before has
/// given a restarted minion the longest lease, and then its connections are refused.
#[test]
fn a_restarted_minion_keeps_its_runs_for_the_longest_lease() {
    for delay in [300, 600, 1_000, 1_500] {
        let mut site = Site::new(&["a", "b"], LONG);
        site.run(15_000);
        for name in ["a", "b"] {
            site.crash(name);
            site.start_minion_with_new_clock(name);
        }
        site.run(delay);
        site.submit("k", task(LONG));
        site.run(600);
        let name = site.runs_on("k");
        assert_ne!(name, "", "delay {delay}: {:#?}", site.planner.log);
        site.program(name).conduct = Conduct::Refuses;
        site.run(15_000);
        assert_once(&site, "restarted, refuses");
    }
}

/// Guards against a worker that is declared lost again and again, with a new session each time, while its
/// minion serves on after its deregistration and runs nothing.
#[test]
fn a_minion_that_serves_on_after_its_deregistration_is_lost_once_at_most() {
    let (mut site, name) = running(3_000);
    site.drain(name);
    site.run(1_000);
    site.deregister(name);
    site.run(40_000);
    let lost = site.planner.log.iter().filter(|line| line.contains("declared lost")).count();
    assert!(lost <= 1, "declared lost {lost} times: {:#?}", site.planner.log);
}

/// Guards against a run that lapses since the deregistration of an earlier incarnation, which is late, is
/// taken for that of a minion that drains and goes on.
#[test]
fn a_late_deregistration_of_an_earlier_incarnation_ends_no_run() {
    let (mut site, name) = running(12_000);
    site.drain(name);
    site.run(500);
    site.deregister(name);
    site.run(13_000);
    assert_eq!(site.starts_of("j").len(), 1, "{:#?}", site.planner.log);
}

/// Guards against a task that runs twice: agents restart and planners change while connections are refused.
#[test]
fn restarts_and_takeovers_while_connections_are_refused_run_nothing_twice() {
    for step in (200..3_000).step_by(200) {
        for order in 0..4 {
            let (mut site, name) = running(LONG);
            site.run(3_000);
            site.program(name).conduct = Conduct::Refuses;
            for is_restart in [order % 2 == 0, order / 2 == 0] {
                site.run(step);
                if is_restart { site.restart_agent(name) } else { site.take_over() }
            }
            site.run(step);
            site.program(name).conduct = Conduct::Answers;
            site.run(700);
            site.program(name).conduct = Conduct::Refuses;
            site.run(step);
            site.take_over();
            site.run(20_000);
            assert_once(&site, &format!("step={step} order={order}"));
        }
    }
}
