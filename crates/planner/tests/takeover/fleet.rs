//! Tests of writes of the list of workers that have had no reply.

use super::scene::{Found, LONG_ENOUGH, Scene, Silence, whole};
use crate::{handover::world::Outcome, harness::step};

/// Time after the beginning of service from which on the list calls workers silent.
const SILENCE: u64 = 500;

/// Remaining time of a lease that is renewed with each poll: the lease, without two intervals of polls.
const RENEWED: u64 = 6_120 - 2 * 600;

/// Guards against a worker that reports while a list that calls it silent is being written, and is
/// granted no lease until that list is written again for another reason.
#[test]
fn a_worker_that_reports_while_it_is_recorded_as_silent_keeps_its_lease() {
    let mut scene = Scene::new();
    scene.world.run(1_000);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    scene.take_over(Found::All);
    scene.world.run(SILENCE - 200);
    scene.world.fleet_outcome = Outcome::Answered(400);
    scene.world.run(300);
    let silent = scene.silent.clone();
    scene.world.reconnect(&silent);
    scene.world.run(3_000);
    let lease = scene.world.lease_until(&silent).saturating_sub(scene.world.now);
    assert!(lease >= RENEWED, "the lease ends in {lease} ms\n{}", scene.history());
    scene.world.run(LONG_ENOUGH);
    assert_eq!(scene.starts_of("j/0/0/0").len(), 1, "{}", scene.history());
    scene.assert_no_conflict();
}

/// Guards against a task that runs twice: a worker is granted a lease while a list that calls it silent
/// is being written, and a successor counts with none in that term.
#[test]
fn a_lease_granted_while_its_worker_is_recorded_as_silent_counts() {
    for served_after in [0, 3_000, 6_000, 9_000] {
        let mut scene = Scene::new();
        scene.world.run(1_000);
        scene.silence(Silence::CutOff);
        let silent = scene.silent.clone();
        scene.world.lose_planner();
        scene.world.fleet_outcome = Outcome::Answered(served_after + 10);
        scene.take_over(Found::All);
        scene.world.run(served_after + 300);
        scene.world.fleet_outcome = Outcome::Answered(900);
        scene.world.run(250);
        scene.world.reconnect(&silent);
        for (other, agent) in &mut scene.world.agents {
            agent.is_draining = *other != silent;
        }
        scene.submit_long("x", &whole(1));
        scene.world.run(800);
        scene.world.run(500);
        scene.silence(Silence::CutOff);
        for agent in scene.world.agents.values_mut() {
            agent.is_draining = false;
        }
        scene.change_planners(1, 0, Found::All);
        scene.world.run(LONG_ENOUGH);
        let case = format!("served after {served_after} ms");
        assert!(
            scene.world.conflicts.is_empty(),
            "{case}: {:#?}\n{}",
            scene.world.conflicts,
            scene.history()
        );
    }
}

/// Guards against a task that runs twice: a worker that was declared lost reports while the list without
/// it is being written, and is given a task that a successor doesn't wait for.
#[test]
fn a_worker_that_the_list_may_lack_gets_no_tasks() {
    for outcome in [Outcome::Unanswered, Outcome::Lost, Outcome::Answered(700)] {
        for late in [0, 650, 1_500, 3_000] {
            let mut scene = Scene::idle();
            scene.world.run(1_000);
            let lost = "a".to_owned();
            scene.silent.clone_from(&lost);
            scene.silence(Silence::CutOff);
            scene.world.fleet_outcome = outcome;
            // Until the list without the worker is sent.
            for _ in 0..1_000 {
                if scene.history().contains("the list of workers is sent: Unanswered")
                    || scene
                        .history()
                        .contains(&format!("the list of workers is sent: {outcome:?}"))
                {
                    break;
                }
                scene.world.run(10);
            }
            scene.world.reconnect(&lost);
            for (other, agent) in &mut scene.world.agents {
                agent.is_draining = *other != lost;
            }
            scene.world.run(100);
            scene.submit_long("x", &step(1, false));
            scene.world.run(150 + late);
            scene.silence(Silence::CutOff);
            scene.world.fleet_outcome = Outcome::Answered(10);
            for agent in scene.world.agents.values_mut() {
                agent.is_draining = false;
            }
            scene.change_planners(1, 0, Found::All);
            scene.world.run(LONG_ENOUGH);
            let case = format!("{outcome:?}, {late} ms");
            assert!(
                scene.world.conflicts.is_empty(),
                "{case}: {:#?}\n{}",
                scene.world.conflicts,
                scene.history()
            );
        }
    }
}

/// Guards against a task that runs twice: a planner that can't write prolongs the lease of a run that was
/// begun late on a worker which the stored list lacks, so that a successor waits for the start alone.
#[test]
fn a_worker_that_the_list_lacks_is_granted_no_lease() {
    let mut scene = Scene::idle();
    scene.silent = "a".to_owned();
    for (name, agent) in &mut scene.world.agents {
        agent.is_draining = name != "a";
        agent.is_mute = name == "a";
    }
    scene.world.run(700);
    scene.submit_long("x", &step(1, false));
    scene.world.run_until_sent("x", 3_000);
    scene.world.run(300);
    scene.world.lose_agent("a");
    scene.world.run(8_000);
    scene.change_planners(1, 0, Found::All);
    scene.world.run(3_900);
    scene.world.begin_late("a", "x");
    scene.world.run(9_500);
    scene.world.is_store_away = true;
    scene.world.start_agent("a");
    scene.world.run(900);
    scene.silence(Silence::CutOff);
    scene.world.is_store_away = false;
    for agent in scene.world.agents.values_mut() {
        agent.is_draining = false;
        agent.is_mute = false;
    }
    scene.change_planners(1, 0, Found::All);
    scene.world.run(LONG_ENOUGH);
    scene.assert_no_conflict();
}

/// Guards against runs that lapse on a worker which reports a moment late, since the store takes long to
/// write the list that calls it silent, and the one after that.
#[test]
fn runs_of_a_worker_that_reports_late_go_on_while_the_store_is_slow() {
    for delay in [100, 1_000, 2_500] {
        let mut scene = Scene::new();
        scene.world.run(1_000);
        scene.silence(Silence::CutOff);
        scene.world.lose_planner();
        scene.take_over(Found::All);
        scene.world.run(SILENCE - 100);
        scene.world.fleet_outcome = Outcome::Answered(delay);
        scene.world.run(300);
        let silent = scene.silent.clone();
        scene.world.reconnect(&silent);
        scene.world.run(LONG_ENOUGH);
        let starts = scene.starts_of("j/0/0/0").len();
        assert_eq!(starts, 1, "{delay} ms\n{}", scene.history());
    }
}
