//! Orders that get no reply and are carried out seconds later: more than half of all starts and
//! stops, while jobs run.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_proofs::jobs::{
    load::{self, Arrival},
    simulation::{Simulation, options::Options},
    sites,
};

use crate::jobs::{secs, verify};

/// Share of the orders that are carried out late.
const LATE_SHARE: f64 = 0.6;
/// Time until which jobs are submitted, in seconds.
const LOAD_END: f64 = 13.0;
/// Time until which orders are late, in seconds.
const LATE_UNTIL: f64 = 40.0;
/// Longest time after which a late order is carried out, in seconds.
const MAX_DELAY: f64 = 12.0;
/// Longest run, in seconds: by then every accepted job must have ended.
const END: f64 = 85.0;
/// The same for jobs whose tasks have failed through their own fault, and had to run once more.
const FAULTY_END: f64 = 115.0;

/// Draws the jobs of one run; some steps limit the number of their tasks on one worker.
fn draw(seed: u64) -> Vec<Arrival> {
    let mut arrivals = load::draw(&sites::ATLANTICA, seed, secs(LOAD_END), 1.0);
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
    for arrival in &mut arrivals {
        for step in &mut arrival.job.steps {
            let max = rng.random_range(1..=4);
            // With such a limit, there might be no placement for a wider gang.
            if step.tasks > 1 && (!step.is_gang || step.tasks <= 4) && max < 4 {
                step.per_worker = max;
            }
        }
    }
    arrivals
}

/// Simulates one run for each seed, with late orders and `faults`. Panics with the seeds in which
/// an invariant was violated and with the log of the first.
fn assert_invariants(
    seeds: impl Iterator<Item = u64> + Clone,
    arrivals: fn(u64) -> Vec<Arrival>,
    faults: fn(&mut Simulation, u64),
) {
    assert_invariants_where(true, seeds, arrivals, faults);
}

/// The same where minions carry out calls for an earlier incarnation, or where they don't.
fn assert_invariants_where(
    calls_outlive_incarnations: bool,
    seeds: impl Iterator<Item = u64> + Clone,
    arrivals: fn(u64) -> Vec<Arrival>,
    faults: fn(&mut Simulation, u64),
) {
    let mut failures = Vec::new();
    let count = seeds.clone().count();
    for seed in seeds {
        let arrivals = arrivals(seed);
        let options = Options::new(&sites::ATLANTICA, arrivals.clone(), seed)
            .calls_outlive_incarnations(calls_outlive_incarnations);
        let mut sim = Simulation::new(options);
        sim.late_orders = LATE_SHARE;
        faults(&mut sim, seed);
        sim.run_until(secs(LATE_UNTIL));
        sim.late_orders = 0.0;
        sim.run_until(secs(LATE_UNTIL + MAX_DELAY));
        for time in (LATE_UNTIL + MAX_DELAY) as u32..END as u32 {
            if sim.violations.is_empty() && verify(&sim, &arrivals).is_err() {
                sim.run_until(secs(f64::from(time)));
            }
        }
        for time in END as u32..FAULTY_END as u32 {
            if verify(&sim, &arrivals).is_err_and(|failure| has_failed_by_itself(&sim, &failure)) {
                sim.run_until(secs(f64::from(time)));
            }
        }
        if let Err(failure) = verify(&sim, &arrivals) {
            failures.push((seed, failure));
        }
    }
    let first = |failure: &String| failure.lines().next().unwrap_or_default().to_owned();
    let broken: Vec<(u64, String)> =
        failures.iter().map(|(seed, failure)| (*seed, first(failure))).collect();
    if let Some((seed, failure)) = failures.first() {
        panic!("{} of {count} runs: {broken:#?}\nseed {seed}: {failure}", broken.len());
    }
}

/// Returns whether the job of a failure has not ended yet, and tasks of it have failed through their
/// own fault.
fn has_failed_by_itself(sim: &Simulation, failure: &str) -> bool {
    let Some((job, _)) = failure.split_once(" never ended") else { return false };
    let task = format!("task={job}/");
    sim.log.iter().any(|line| line.contains(&task) && line.contains("ended=FAULTY"))
}

fn pick(seed: u64, count: usize) -> usize {
    (seed % count as u64) as usize
}

/// Guards against a task that is started elsewhere while its earlier start may still take effect.
#[test]
fn late_orders_alone_break_no_promise() {
    assert_invariants(2_000..=2_019, draw, |_, _| {});
}

/// Guards against resources and tasks that are assigned again after a stop, although that stop, or
/// the start that it was to stop, takes effect only later.
#[test]
fn late_stops_of_cancelled_and_displaced_jobs_break_no_promise() {
    let arrivals = |seed| {
        let mut arrivals = draw(seed);
        let mut rng = Pcg32::seed_from_u64(seed ^ 0xca9ce1);
        for arrival in &mut arrivals {
            if rng.random_bool(0.4) {
                arrival.cancel_after = Some(secs(rng.random_range(0.2..8.0)));
            }
        }
        // Adds the urgent jobs of another run, so that they displace others when the workers are
        // full.
        let urgent = load::draw(&sites::ATLANTICA, seed + 1, secs(LOAD_END), 1.0);
        for (number, mut arrival) in urgent.into_iter().enumerate() {
            if arrival.job.priority == 0 {
                arrival.job.id = format!("{:016x}", 0x1000 + number);
                arrivals.push(arrival);
            }
        }
        arrivals
    };
    assert_invariants(2_100..=2_119, arrivals, |_, _| {});
}

fn restart_agents(sim: &mut Simulation, seed: u64) {
    for round in 0..16_u64 {
        sim.run_until(secs(2.0 + 1.1 * round as f64));
        for other in 0..2 {
            let agent = pick(seed + 3 * round + 5 * other, sim.agents());
            sim.kill_agent(agent, secs(0.1 + 0.3 * ((seed + round + other) % 4) as f64));
        }
    }
}

/// Guards against an agent that restarts and considers the orders of its earlier process resolved.
#[test]
fn late_orders_of_agents_that_restart_break_no_promise() {
    assert_invariants(2_200..=2_219, draw, restart_agents);
}

fn change_planner(sim: &mut Simulation, seed: u64) {
    for round in 0..4_u64 {
        sim.run_until(secs(3.0 + 5.0 * round as f64));
        let planner = sim.planner_entry().unwrap_or_default();
        match (seed + round) % 2 {
            0 => sim.kill_entry(planner, secs(1.0)),
            _ => sim.pause_entry(planner, secs(4.0)),
        }
    }
}

/// Guards against a planner that takes over and considers its predecessor's orders resolved.
#[test]
fn late_orders_of_planners_that_change_break_no_promise() {
    assert_invariants(2_300..=2_319, draw, change_planner);
}

fn drain_minions(sim: &mut Simulation, seed: u64) {
    for round in 0..9_u64 {
        sim.run_until(secs(2.0 + 2.0 * round as f64));
        for other in 0..2 {
            let agent = pick(seed + 4 * round + 7 * other, sim.agents());
            sim.drain_minion(agent, secs(5.0 + 2.0 * (round % 4) as f64));
        }
    }
}

/// Guards against starts that are still sent to a draining minion, and against tasks that are
/// declared lost with it although they may still start.
#[test]
fn late_orders_to_minions_that_drain_break_no_promise() {
    assert_invariants(2_400..=2_419, draw, drain_minions);
}

fn restart_minions(sim: &mut Simulation, seed: u64) {
    for round in 0..7_u64 {
        sim.run_until(secs(3.0 + 2.5 * round as f64));
        sim.crash_minion(pick(seed + 5 * round, sim.agents()));
    }
}

/// Guards against a start that was sent to an earlier incarnation of a minion and is carried out by
/// a later one with the same identifier.
#[test]
fn late_orders_to_minions_that_start_again_break_no_promise() {
    assert_invariants(2_500..=2_519, draw, restart_minions);
}

/// Guards, with more seeds, against a task that runs twice or never ends after a minion's next
/// incarnation has carried out an earlier start.
#[test]
fn late_starts_in_a_minions_next_incarnation_break_no_promise() {
    assert_invariants(2_520..=2_539, draw, restart_minions);
}

/// Guards against the same between the start of a minion's next incarnation and its agent's first
/// call to it.
#[test]
fn late_starts_before_a_next_incarnation_is_known_break_no_promise() {
    assert_invariants(2_540..=2_559, draw, restart_minions);
}

/// Guards against the same with seeds each of which once led to a task that ran twice, an
/// overcommitted worker, or too many tasks of a step on a worker.
#[test]
fn late_starts_with_seeds_that_broke_a_promise_break_none() {
    let seeds = [
        30_003, 30_011, 30_013, 30_014, 30_018, 30_047, 30_049, 30_059, 30_114, 30_154, 30_172,
        30_187, 30_197, 30_199, 30_208, 30_261, 30_284, 30_300, 30_309, 30_313, 30_318, 30_326,
        30_329, 30_350, 30_357, 30_368, 30_373, 30_377, 30_387, 30_392, 30_400, 30_426, 30_427,
        30_459, 30_506, 30_518, 30_588, 30_598, 30_603, 30_606, 30_613, 30_614, 30_636, 30_638,
        30_781, 30_858, 30_869, 30_871, 30_892, 30_895, 30_903, 30_927, 30_946, 30_987,
    ];
    assert_invariants(seeds.into_iter(), draw, restart_minions);
}

/// Guards against the same with seeds that were not chosen by their outcome.
#[test]
fn late_starts_with_any_seeds_break_no_promise() {
    assert_invariants(70_000..=70_029, draw, restart_minions);
}

fn restart_all(sim: &mut Simulation, seed: u64) {
    for round in 0..14_u64 {
        sim.run_until(secs(2.0 + 1.3 * round as f64));
        let agent = pick(seed + 5 * round, sim.agents());
        let planner = sim.planner_entry().unwrap_or_default();
        sim.crash_minion(agent);
        match (seed + round) % 7 {
            0 => sim.kill_agent(agent, secs(0.3)),
            1 => sim.kill_entry(planner, secs(1.0)),
            2 => sim.pause_agent(agent, secs(1.5)),
            3 => sim.kill_agent(pick(seed + 3 * round, sim.agents()), secs(0.8)),
            4 => sim.pause_entry(planner, secs(4.0)),
            5 => sim.crash_minion(pick(seed + round, sim.agents())),
            _ => sim.drain_minion(pick(seed + 7 * round, sim.agents()), secs(4.0)),
        }
    }
}

/// Guards against a start that no process knows of when its minion restarts: its agent or the
/// planner has restarted as well, or the same minion restarts repeatedly.
#[test]
fn late_starts_among_restarts_of_everything_break_no_promise() {
    assert_invariants(71_000..=71_019, draw, restart_all);
}

/// Guards against starts of two runs of a task that a minion's next incarnation carries out while
/// its agent is paused or restarting.
#[test]
fn late_starts_while_agents_are_away_break_no_promise() {
    assert_invariants([72_031, 72_221, 72_222, 72_277].into_iter(), draw, restart_all);
}

/// Guards against a caller that is told that its job has not run, although an earlier try through
/// another entry got no answer but submitted the job.
#[test]
fn a_job_that_is_reported_as_not_run_does_not_run() {
    assert_invariants([72_004, 72_228, 72_326].into_iter(), draw, restart_all);
}

/// Guards against ways of resolving late orders that are safe under one kind of fault but not under
/// several at once.
#[test]
fn late_orders_among_all_faults_break_no_promise() {
    assert_invariants(2_600..=2_619, draw, |sim, seed| {
        for round in 0..9_u64 {
            sim.run_until(secs(2.0 + 2.0 * round as f64));
            let agent = pick(seed + 4 * round, sim.agents());
            let planner = sim.planner_entry().unwrap_or_default();
            match (seed + round) % 5 {
                0 => sim.kill_agent(agent, secs(0.8)),
                1 => sim.drain_minion(agent, secs(5.0)),
                2 => sim.kill_entry(planner, secs(1.0)),
                3 => sim.pause_entry(planner, secs(4.0)),
                _ => sim.pause_agent(agent, secs(2.0)),
            }
        }
    });
}

/// Time for which agents are paused while their minions restart: below the lease.
const AWAY: f64 = 4.0;

/// Makes all orders late, has `lose` lose processes, so that starts are ordered again, and then
/// restarts all minions; their agents are paused meanwhile for `away` seconds.
fn restart_minions_after(sim: &mut Simulation, away: f64, lose: impl Fn(&mut Simulation)) {
    sim.run_until(secs(3.0));
    sim.late_orders = 1.0;
    sim.run_until(secs(4.5));
    lose(sim);
    sim.run_until(secs(7.5));
    sim.late_orders = 0.0;
    for agent in 0..sim.agents() {
        sim.crash_minion(agent);
        if away > 0.0 {
            sim.pause_agent(agent, secs(away));
        }
    }
    sim.run_until(secs(12.0));
}

/// Guards against starts of two terms that a minion's next incarnation carries out while its agent
/// is paused.
#[test]
fn late_starts_of_two_terms_break_no_promise_in_a_next_incarnation() {
    assert_invariants(73_000..=73_049, draw, |sim, _| {
        restart_minions_after(sim, AWAY, |sim| {
            let planner = sim.planner_entry().unwrap_or_default();
            sim.kill_entry(planner, secs(1.0));
        });
    });
}

/// Guards against starts of two processes of an agent that a minion's next incarnation carries out
/// while the agent is paused.
#[test]
fn late_starts_of_two_agent_processes_break_no_promise_in_a_next_incarnation() {
    assert_invariants(73_000..=73_049, draw, |sim, _| {
        restart_minions_after(sim, AWAY, |sim| {
            for agent in 0..sim.agents() {
                sim.kill_agent(agent, secs(0.1));
            }
        });
    });
}

/// Waits until the planner orders a start, and kills the planner and the worker's agent while the
/// agent waits for the answer. Restarts the minion once the successor has placed the task.
fn lose_agent_and_planner(sim: &mut Simulation) {
    sim.run_until(secs(3.0));
    sim.late_orders = 1.0;
    let seen = sim.log.len();
    let mut time = 3.0;
    let agent = loop {
        time += 0.01;
        sim.run_until(secs(time));
        let orders = |line: &String| {
            let (_, rest) = line.split_once("plan: worker=a")?;
            let (agent, orders) = rest.split_once(" orders start=")?;
            let agent: usize = agent.parse().ok()?;
            (!orders.starts_with(' ')).then_some(agent)
        };
        if let Some(agent) = sim.log[seen..].iter().find_map(orders) {
            break agent;
        }
        if time > LOAD_END {
            return;
        }
    };
    sim.run_until(secs(time + 0.1));
    let planner = sim.planner_entry().unwrap_or_default();
    sim.kill_entry(planner, secs(1.0));
    sim.kill_agent(agent, secs(0.1));
    // The successor places the task on another worker.
    sim.drain_minion(agent, secs(30.0));
    sim.late_orders = 0.0;
    sim.run_until(secs(time + 1.4));
    sim.pause_agent(agent, secs(AWAY));
    // A long poll in flight would bring the next incarnation a token.
    sim.run_until(secs(time + 2.0));
    sim.crash_minion(agent);
    sim.run_until(secs(time + 9.0));
}

/// Guards against starts that no process knows of: their agent is killed before it reports them,
/// and the planner is killed at the same time.
#[test]
fn late_starts_that_no_process_knows_of_break_no_promise_in_a_next_incarnation() {
    assert_invariants(73_000..=73_049, draw, |sim, _| lose_agent_and_planner(sim));
}

/// Guards against a task that runs twice because a start counts no more once its incarnation or the
/// lease of that is over: the same orders of losses, and agents that are away for longer than a start
/// may be late.
#[test]
fn late_starts_break_no_promise_within_incarnations() {
    assert_invariants_where(false, 71_000..=71_019, draw, restart_all);
    assert_invariants_where(false, 73_000..=73_019, draw, |sim, _| lose_agent_and_planner(sim));
    assert_invariants_where(false, 73_000..=73_019, draw, |sim, _| {
        restart_minions_after(sim, AWAY, |sim| {
            let planner = sim.planner_entry().unwrap_or_default();
            sim.kill_entry(planner, secs(1.0));
            for agent in 0..sim.agents() {
                sim.kill_agent(agent, secs(14.0));
            }
        });
    });
}

/// Guards against starts of one term that a minion's next incarnation carries out while its agent
/// is paused. No process is lost before.
#[test]
fn late_starts_of_one_term_break_no_promise_in_a_next_incarnation() {
    assert_invariants(73_000..=73_049, draw, |sim, _| restart_minions_after(sim, AWAY, |_| {}));
}

/// Guards against starts of two terms that a minion's next incarnation carries out although its
/// agent is not paused.
#[test]
fn late_starts_of_two_terms_break_no_promise_beside_an_agent() {
    assert_invariants(73_000..=73_049, draw, |sim, _| {
        restart_minions_after(sim, 0.0, |sim| {
            let planner = sim.planner_entry().unwrap_or_default();
            sim.kill_entry(planner, secs(1.0));
        });
    });
}
