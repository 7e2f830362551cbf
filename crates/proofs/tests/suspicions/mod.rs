//! Days on which minions that live on resemble minions that have ended.

use std::time::Duration;

use sapphire_proofs::jobs::{
    days, load,
    simulation::{Simulation, bounds, options::Options},
};

/// Simulates a scenario with each seed. Panics with the promises that were broken.
fn assert_promises_hold(scenario: &str, seeds: &[u64]) {
    assert_promises_hold_within(scenario, "default", seeds);
}

/// The same with a set of bounds.
fn assert_promises_hold_within(scenario: &str, set: &str, seeds: &[u64]) {
    let set = bounds::bounds(set).expect("the set of bounds is known");
    let scenario = days::scenario(scenario).expect("the scenario is known").with_bounds(set);
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

/// Guards against a task that runs twice since leases are short, or other bounds differ from those of the other tests.
#[test]
fn no_task_runs_twice_under_the_bounds_of_any_deployment() {
    for set in bounds::selected("all") {
        assert_promises_hold_within("refusing-takeovers", set.name, &[1]);
        assert_promises_hold_within("slow-fleet-writes-suspicions", set.name, &[2]);
    }
}

/// Guards against a task that runs twice under all of these suspicions since leases are short.
#[test]
fn no_task_runs_twice_under_all_false_suspicions_with_short_leases() {
    assert_promises_hold_within("suspicions", "small-short", &[73509, 73536, 73552]);
}

/// Guards against a task that starts again since its agent, on a busy machine, doesn't pass on that it is done.
#[test]
fn no_task_starts_after_its_end_was_listed_while_agents_are_held_up() {
    assert_promises_hold_within("held-up-agents", "small-short", &[73500, 73534]);
    assert_promises_hold_within("held-up-agents", "small-long", &[73515, 73534]);
}

/// Guards against the same since the link between the agent and the planner is held up.
#[test]
fn no_task_starts_after_its_end_was_listed_while_links_are_held_up() {
    assert_promises_hold_within("held-up-links", "small-short", &[73500, 73502]);
}

/// Guards against the same since planners are held up and change as well.
#[test]
fn no_task_starts_after_its_end_was_listed_while_planners_and_agents_are_held_up() {
    assert_promises_hold_within("held-up", "small-short", &[73506, 73508]);
    assert_promises_hold_within("held-up", "small-long", &[73502, 73504]);
}

/// Guards against an end that is lost with the planner that has heard of it and the minion that has listed it.
#[test]
fn ends_that_were_listed_outlive_their_planner_and_minion() {
    let scenario = days::scenario("departures-rapid").expect("the scenario is known");
    let sim = days::simulate(scenario.with_calls_of_one_incarnation(), 7, days::GRACE);
    assert!(sim.starts_after_disruptions.is_empty(), "{:#?}", sim.starts_after_disruptions);
}

/// Stops each agent for some seconds in turn, and takes its worker away meanwhile, with the ends that were only listed.
/// Returns the starts after ends that were listed in calm time.
fn lose_listed_ends(stop: fn(&mut Simulation, usize, Duration)) -> Vec<String> {
    let mut starts = Vec::new();
    for seed in 1..=3 {
        let arrivals = load::draw(&days::GANGS, seed, Duration::from_secs(25), 1.0);
        let mut sim = Simulation::new(Options::new(&days::GANGS, arrivals, seed));
        for agent in 0..sim.agents() {
            sim.run_until(Duration::from_secs(6 + 2 * agent as u64));
            stop(&mut sim, agent, Duration::from_secs(3));
            sim.run_until(sim.time() + Duration::from_millis(1_500));
            sim.remove_worker(agent, Duration::from_secs(1));
        }
        sim.run_until(Duration::from_secs(50));
        assert!(sim.violations.is_empty(), "{:#?}", sim.violations);
        starts.append(&mut sim.starts_after_disruptions);
    }
    starts
}

/// Guards against a check that misses starts after an end that was only listed, or that takes a frozen process for a
/// busy one.
#[test]
fn ends_that_are_listed_in_calm_time_count() {
    assert!(!lose_listed_ends(Simulation::hold_up_agent).is_empty());
    let paused = lose_listed_ends(Simulation::pause_agent);
    assert!(paused.is_empty(), "{paused:#?}");
}
