//! Tests of heartbeats of a process that is not the worker's minion.

use sapphire_jobs::{Incarnation, State};

use super::{
    LONG, MARGIN, assert_goes_on, assert_once, running,
    site::{Conduct, Foreign, LEASE_BOUND, Site},
    task,
};
use crate::harness::minion;

/// Run time of a task that is done in the time of a test.
const SHORT: u64 = 6_000;

/// Returns processes that the configuration doesn't know, each with a name.
fn foreign(worker: &str) -> Vec<(&'static str, Foreign)> {
    let new = || Foreign::new("nobody");
    let address = format!("m-{worker}:1");
    let named = |incarnation: Incarnation| Foreign {
        incarnation: Incarnation { service: "nobody".to_owned(), ..incarnation },
        ..new()
    };
    let minion = minion(worker);
    let earlier = Incarnation { born_ms: 0, ..minion.clone() };
    let later = Incarnation { born_ms: 5_000, ..minion.clone() };
    vec![
        ("it answers", new()),
        ("it never answers", Foreign { conduct: Conduct::Silent, ..new() }),
        ("it refuses connections", Foreign { conduct: Conduct::Refuses, ..new() }),
        ("it starts again and again", Foreign { is_reborn: true, ..new() }),
        ("it names the minion's address", Foreign { address: address.clone(), ..new() }),
        ("it has the minion's id", named(minion.clone())),
        ("it has the minion's id and address", Foreign { address, ..named(minion.clone()) }),
        ("it has the minion's id and a later birth", named(later)),
        ("it has the minion's id and an earlier birth", named(earlier)),
        ("it has the largest sequence", Foreign { beats: (1 << 53) - 2, ..named(minion) }),
    ]
}

/// Returns whether the job is complete for the planner.
fn is_complete(site: &Site, id: &str) -> bool {
    site.planner.planner.table().entries.get(id).is_some_and(|entry| entry.state == State::Complete)
}

/// Asserts that the task has run once and its end is known, and that both workers are of use after that.
fn assert_done(site: &mut Site, why: &str) {
    assert_goes_on(site, why);
    site.run(SHORT + 1_000);
    assert_goes_on(site, why);
    assert!(is_complete(site, "j"), "{why}: {:#?}", site.planner.log);
    let mut step = task(SHORT);
    step.tasks = 16;
    site.submit("k", step);
    site.run(1_500);
    assert_eq!(site.starts_of("k").len(), 16, "{why}: {:#?}", site.planner.log);
    assert_once(site, why);
}

/// Guards against a task that runs twice: its agent takes the heartbeat of a service that isn't configured
/// for that of its minion's next incarnation, whose lists lack the task.
#[test]
fn heartbeats_of_another_service_end_no_run() {
    for (why, foreign) in foreign("a") {
        let (mut site, name) = running(SHORT);
        assert_eq!(name, "a");
        site.workers.get_mut(name).expect("it is known").foreign = Some(foreign);
        site.foreign_beat(name);
        site.run(2_000);
        assert_done(&mut site, why);
    }
}

/// Guards against the same while a planner takes over, and against a worker whose minion isn't listened to
/// after its agent has restarted.
#[test]
fn an_agent_that_hears_another_service_first_keeps_its_minion() {
    for takes_over in [false, true] {
        for (why, foreign) in foreign("a") {
            let (mut site, name) = running(SHORT);
            site.workers.get_mut(name).expect("it is known").foreign = Some(foreign);
            site.restart_agent(name);
            site.foreign_beat(name);
            if takes_over {
                site.take_over();
            }
            site.run(2_000);
            assert_done(&mut site, &format!("{why}, takes over: {takes_over}"));
        }
    }
}

/// Guards against a task that runs twice since a planner that has read no configuration trusts any sender.
#[test]
fn a_planner_without_a_configuration_takes_no_list_of_another_service() {
    for (why, foreign) in foreign("a") {
        let (mut site, name) = running(SHORT);
        site.forget_configuration();
        site.workers.get_mut(name).expect("it is known").foreign = Some(foreign);
        site.restart_agent(name);
        site.foreign_beat(name);
        site.run(2_000);
        assert_goes_on(&site, why);
        site.configure("other");
        assert_done(&mut site, why);
    }
}

/// Guards against a deployment in which nothing runs, since each agent hears another service first.
#[test]
fn workers_whose_agents_heard_another_service_first_are_of_use() {
    for (why, _) in foreign("a") {
        let mut site = Site::new(&["a", "b"], LONG);
        for name in ["a", "b"] {
            let (_, foreign) =
                foreign(name).into_iter().find(|(other, _)| *other == why).expect("it is there");
            site.workers.get_mut(name).expect("it is known").foreign = Some(foreign);
            site.restart_agent(name);
            site.foreign_beat(name);
        }
        site.run(3_000);
        let mut step = task(LONG);
        step.tasks = 16;
        site.submit("k", step);
        site.run(1_500);
        assert_eq!(site.starts_of("k").len(), 16, "{why}: {:#?}", site.planner.log);
    }
}

/// Guards against a worker that isn't of use for good: its minion ends without a word, and calls of it have
/// no answer any more, while the next one is at another address.
#[test]
fn a_successor_elsewhere_follows_a_silent_minion_once_its_lease_is_over() {
    let (mut site, name) = running(LONG);
    site.program(name).conduct = Conduct::Silent;
    site.program(name).is_beating = false;
    let mut successor = Foreign::new("desk");
    successor.incarnation.capacity = minion(name).capacity;
    site.workers.get_mut(name).expect("it is known").foreign = Some(successor);
    site.run(2_000);
    assert_goes_on(&site, "its lease isn't over");
    // No lease is granted to a worker without lists for 5 s.
    site.run(5_000 + LEASE_BOUND + MARGIN);
    assert_once(&site, "its lease is over");
    assert_eq!(site.starts_of("j").len(), 2, "{:#?}", site.planner.log);
    let workers = site.planner.planner.workers();
    let minion = workers[name].incarnation.as_ref().expect("one is known");
    assert_eq!(minion.id, "m-foreign");
}

/// Guards against a minion that isn't listened to once its service is configured.
#[test]
fn a_service_that_is_configured_later_is_of_use() {
    let mut site = Site::new(&["a", "b"], LONG);
    let (why, foreign) = foreign("a").remove(0);
    site.workers.get_mut("a").expect("it is known").foreign = Some(foreign);
    site.program("a").is_beating = false;
    site.restart_agent("a");
    site.run(2_000);
    site.configure("nobody");
    site.run(4_000);
    let workers = site.planner.planner.workers();
    let minion = workers["a"].incarnation.as_ref().expect("one is known");
    assert_eq!(minion.service, "nobody", "{why}: {:#?}", site.planner.log);
}
