//! Drawn orders of losses.

use super::world::{Outcome, World};
use crate::harness::{resources, step};
use sapphire_jobs::Step;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Number of drawn worlds.
const WORLDS: u64 = 200;
/// Number of events in each.
const EVENTS: usize = 40;

/// A linear congruential generator.
pub(crate) struct Draw(pub(crate) u64);

impl Draw {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Applies a drawn event.
fn act(world: &mut World, draw: &mut Draw, jobs: &mut usize) {
    let name = NAMES[draw.below(3) as usize];
    match draw.below(9) {
        0 => {
            world.lose_planner();
            // Shorter than the time for which an agent sends starts without a planner.
            world.run(draw.below(130) * 10);
            world.take_over();
        }
        1 => {
            world.lose_agent(name);
            world.run(draw.below(900) * 10);
            world.start_agent(name);
        }
        2 => world.restart_minion(name),
        3 => {
            let is_mute = draw.below(2) == 0;
            world.agents.get_mut(name).expect("a worker").is_mute = is_mute;
        }
        4 => {
            let is_draining = draw.below(3) == 0;
            world.agents.get_mut(name).expect("a worker").is_draining = is_draining;
        }
        5 => world.answer(name),
        6 => {
            world.record_outcome = match draw.below(4) {
                0 => Outcome::Unanswered,
                1 => Outcome::Lost,
                _ => Outcome::Answered(10 + draw.below(60) * 10),
            };
        }
        _ => {
            let room = Some(resources(1 + draw.below(64)).message());
            let shape = if draw.below(3) == 0 { step(2, true) } else { step(1, false) };
            world.submit(&format!("j{jobs}"), &Step { room, ..shape });
            *jobs += 1;
        }
    }
    world.run(draw.below(200) * 10);
}

fn assert_no_conflict(new: fn(&[&str]) -> World) {
    for seed in 0..WORLDS {
        let (mut draw, mut jobs) = (Draw(seed), 0);
        let mut world = new(&NAMES);
        for _ in 0..EVENTS {
            act(&mut world, &mut draw, &mut jobs);
            let history = || world.history.join("\n");
            assert!(
                world.conflicts.is_empty(),
                "seed {seed}: {:#?}\n{}",
                world.conflicts,
                history()
            );
        }
    }
}

/// Guards against a task that runs twice, and against a worker that is overloaded, in orders of losses
/// that no other test covers.
#[test]
fn drawn_losses_cause_no_conflict() {
    assert_no_conflict(World::new);
}

/// Guards against the same where a start ends with the leases of the incarnation that it was sent to.
#[test]
fn drawn_losses_cause_no_conflict_within_incarnations() {
    assert_no_conflict(World::of_one_incarnation);
}
