//! Days on which minions that live on resemble minions that have ended.

use sapphire_proofs::jobs::days;

/// Simulates a scenario with each seed. Panics with the promises that were broken.
fn assert_promises_hold(scenario: &str, seeds: &[u64]) {
    let scenario = days::scenario(scenario).expect("the scenario is known");
    let mut failures = Vec::new();
    for seed in seeds {
        let sim = days::simulate(scenario, *seed, days::GRACE);
        failures.extend(sim.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", scenario.name);
}

/// Guards against a task that runs twice since refused connections are taken as the end of a minion.
#[test]
fn no_task_runs_twice_while_listeners_refuse_connections() {
    assert_promises_hold("refusing", &[1, 2, 3]);
}

/// Guards against the same while planners change.
#[test]
fn no_task_runs_twice_while_listeners_refuse_connections_and_planners_change() {
    assert_promises_hold("refusing-takeovers", &[1, 2, 3]);
}

/// Guards against the same by agents that have started just before.
#[test]
fn no_task_runs_twice_while_listeners_refuse_connections_and_agents_are_lost() {
    assert_promises_hold("refusing-agents", &[1, 2, 3]);
}

/// Guards against a task that runs twice since a deregistration is taken as the end of a minion.
#[test]
fn no_task_runs_twice_while_minions_go_on_after_their_deregistration() {
    assert_promises_hold("lingering", &[1, 2, 3]);
}

/// Guards against the same while planners change.
#[test]
fn no_task_runs_twice_while_minions_go_on_and_planners_change() {
    assert_promises_hold("lingering-takeovers", &[1, 2, 3]);
}

/// Guards against a task that runs twice since an old inventory shows a minion of before.
#[test]
fn no_task_runs_twice_while_the_inventory_is_old() {
    assert_promises_hold("inventory-old", &[1, 5, 6]);
}

/// Guards against a task that runs twice since the inventory lacks a minion that lives on.
#[test]
fn no_task_runs_twice_while_the_inventory_lacks_minions() {
    assert_promises_hold("inventory-lacking", &[1, 2, 3]);
}

/// Guards against the same while planners change.
#[test]
fn no_task_runs_twice_while_the_inventory_misleads_and_planners_change() {
    assert_promises_hold("inventory-takeovers", &[1, 2, 3]);
}

/// Guards against a start that counts as refused while a later try of it is carried out.
#[test]
fn no_task_runs_twice_after_starts_that_were_refused_first() {
    assert_promises_hold("refused-starts-late", &[1, 2, 3]);
}

/// Guards against all of these together, with lost planners and agents, late orders and trouble of the store.
#[test]
fn no_task_runs_twice_under_all_false_suspicions() {
    assert_promises_hold("suspicions", &[1, 2, 3]);
}
