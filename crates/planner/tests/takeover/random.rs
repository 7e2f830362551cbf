//! Drawn orders of silences and changes of planners.

use std::ops::Range;

use sapphire_jobs::{Ending, Step};
use sapphire_planner::keys;

use super::earlier;
use crate::{
    handover::{
        random::Draw,
        world::{Outcome, World},
    },
    harness::{resources, step},
};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of drawn worlds.
const WORLDS: u64 = 200;
/// Seeds of drawn worlds with faulty writes of the list of workers.
const LISTS: Range<u64> = 10_000..10_600;
/// Number of events in each.
const EVENTS: usize = 50;

fn draw_outcome(draw: &mut Draw) -> Outcome {
    match draw.below(6) {
        0 => Outcome::Unanswered,
        1 => Outcome::Lost,
        2 => Outcome::Refused,
        _ => Outcome::Answered(10 + draw.below(60) * 10),
    }
}

fn draw_job(draw: &mut Draw) -> Step {
    let room = Some(resources(1 + draw.below(64)).message());
    let shape = if draw.below(3) == 0 { step(2, true) } else { step(2, false) };
    Step { room, estimate_ms: 2_000 + draw.below(20) * 1_000, ..shape }
}

/// Loses the planner, sometimes along with a worker; the next one finds records of some kind.
fn change_planner(world: &mut World, draw: &mut Draw, jobs: &mut usize) {
    world.lose_planner();
    let name = NAMES[draw.below(4) as usize];
    match draw.below(4) {
        0 => world.cut_off(name),
        1 => world.lose_agent(name),
        _ => {}
    }
    if draw.below(2) == 0 {
        world.accept(&format!("j{jobs}"), &[draw_job(draw)]);
        *jobs += 1;
    }
    world.run(draw.below(150) * 10);
    match draw.below(12) {
        0 => world.items.retain(|key, _| !key.starts_with(keys::UNANSWERED)),
        1 => world.write(keys::UNANSWERED, vec![0xff; 4]),
        2 | 3 => earlier::rewrite(world),
        _ => {}
    }
    world.take_over();
}

/// Applies a drawn event.
fn act(world: &mut World, draw: &mut Draw, jobs: &mut usize) {
    let name = NAMES[draw.below(4) as usize];
    match draw.below(12) {
        0..=2 => change_planner(world, draw, jobs),
        3 => world.cut_off(name),
        4 | 5 => world.reconnect(name),
        6 => {
            world.lose_agent(name);
            world.run(draw.below(900) * 10);
            world.start_agent(name);
        }
        7 => world.restart_minion(name),
        8 => {
            let is_mute = draw.below(3) == 0;
            world.agents.get_mut(name).expect("a worker").is_mute = is_mute;
        }
        9 => world.record_outcome = draw_outcome(draw),
        10 => world.progress_outcome = draw_outcome(draw),
        _ => {
            let (id, job) = (format!("j{jobs}"), draw_job(draw));
            world.run_times.insert(id.clone(), job.estimate_ms);
            world.submit(&id, &job);
            if draw.below(4) == 0 {
                world.run(1_500);
                world.end_runs(name, &id, Ending::Faulty);
            }
            *jobs += 1;
        }
    }
    world.run(draw.below(200) * 10);
}

/// Applies drawn events to worlds, and asserts that no start conflicts with another.
fn assert_no_conflict(
    seeds: Range<u64>,
    new: fn(&[&str]) -> World,
    act: fn(&mut World, &mut Draw, &mut usize),
) {
    for seed in seeds {
        let (mut draw, mut jobs) = (Draw(seed), 0);
        let mut world = new(&NAMES);
        for _ in 0..EVENTS {
            act(&mut world, &mut draw, &mut jobs);
            let history = || world.history.join("\n");
            let conflicts = &world.conflicts;
            assert!(conflicts.is_empty(), "seed {seed}: {conflicts:#?}\n{}", history());
        }
    }
}

/// Guards against a task that runs twice, and against a worker that is overloaded, in orders of
/// silences and changes of planners that no other test covers.
#[test]
fn drawn_silences_cause_no_conflict() {
    assert_no_conflict(0..WORLDS, World::new, act);
}

/// Guards against the same where a start ends with the leases of the incarnation that it was sent to.
#[test]
fn drawn_silences_cause_no_conflict_within_incarnations() {
    assert_no_conflict(0..WORLDS, World::of_one_incarnation, act);
}

/// Draws what becomes of writes of the list of workers, and starts that are carried out late.
fn act_on_lists(world: &mut World, draw: &mut Draw, jobs: &mut usize) {
    let name = NAMES[draw.below(4) as usize];
    match draw.below(4) {
        0 => {
            let slow = Outcome::Answered(10 + draw.below(400) * 10);
            let outcome = [draw_outcome(draw), slow, Outcome::Answered(10)];
            world.fleet_outcome = outcome[draw.below(3) as usize];
        }
        1 => {
            world.lose_agent(name);
            world.run(draw.below(1_200) * 10);
            world.begin_open(name);
            world.run(draw.below(900) * 10);
            world.start_agent(name);
        }
        _ => act(world, draw, jobs),
    }
}

/// Guards against the same while writes of the list of workers are late or lost, and with starts that are
/// carried out late.
#[test]
fn drawn_writes_of_the_list_of_workers_cause_no_conflict() {
    assert_no_conflict(LISTS, World::new, act_on_lists);
}

/// Guards against leases that are prolonged after the list of workers has said when they end.
#[test]
fn drawn_writes_of_the_list_of_workers_cause_no_conflict_within_incarnations() {
    assert_no_conflict(LISTS, World::of_one_incarnation, act_on_lists);
}
