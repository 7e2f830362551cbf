//! Tests of work that a silent worker may be running, or may still begin: it starts nowhere else before
//! that is over.

use sapphire_jobs::{Ending, Step};

use super::scene::{Found, LONG_ENOUGH, SILENCES, Scene, Silence};
use crate::{handover::world::Outcome, harness::step};

/// Times after a start at which processes are lost.
const LOSSES: [u64; 6] = [0, 20, 100, 300, 1_200, 2_600];
/// Time between two changes of planners.
const APART: u64 = 1_500;
const ANSWERED: Outcome = Outcome::Answered(10);

/// Has a task started and answered on a worker that falls silent, together with its planner, at several
/// times; writes of the record have these outcomes before and after the start. Asserts that the task
/// starts nowhere else before the lease has expired.
fn assert_held(changes: usize, found: Found, before: Outcome, after: Outcome) {
    for how in SILENCES {
        for loss in LOSSES {
            let mut scene = Scene::with(before);
            scene.world.record_outcome = after;
            scene.world.run(loss);
            scene.silence(how);
            scene.world.record_outcome = ANSWERED;
            scene.change_planners(changes, APART, found);
            scene.assert_held(&format!("{how:?} after {loss} ms"));
        }
    }
}

/// Guards against a task that runs twice: it was started and answered on a silent worker.
#[test]
fn a_task_on_a_silent_worker_waits_for_its_lease() {
    assert_held(1, Found::All, ANSWERED, ANSWERED);
}

/// Guards against the same after two changes of planners.
#[test]
fn a_task_on_a_silent_worker_waits_for_its_lease_under_the_third_planner() {
    assert_held(2, Found::All, ANSWERED, ANSWERED);
}

/// Guards against the same after three changes of planners.
#[test]
fn a_task_on_a_silent_worker_waits_for_its_lease_under_the_fourth_planner() {
    assert_held(3, Found::All, ANSWERED, ANSWERED);
}

/// Guards against the same after writes of the record that were carried out, without an answer.
#[test]
fn a_task_on_a_silent_worker_waits_after_unanswered_writes() {
    for changes in 1..=3 {
        assert_held(changes, Found::All, Outcome::Unanswered, Outcome::Unanswered);
        assert_held(changes, Found::All, ANSWERED, Outcome::Unanswered);
    }
}

/// Guards against the same after writes of the record that were not carried out.
#[test]
fn a_task_on_a_silent_worker_waits_after_writes_that_were_not_carried_out() {
    for changes in 1..=3 {
        assert_held(changes, Found::All, ANSWERED, Outcome::Lost);
        assert_held(changes, Found::All, ANSWERED, Outcome::Refused);
    }
}

/// Guards against the same after slow writes of the record.
#[test]
fn a_task_on_a_silent_worker_waits_after_slow_writes() {
    for changes in 1..=3 {
        assert_held(changes, Found::All, Outcome::Answered(700), Outcome::Answered(700));
    }
}

/// Guards against the same if a planner of an earlier version has left the records.
#[test]
fn a_task_on_a_silent_worker_waits_after_an_earlier_version() {
    for changes in 1..=3 {
        assert_held(changes, Found::Earlier, ANSWERED, ANSWERED);
    }
}

/// Guards against the same without a handover record.
#[test]
fn a_task_on_a_silent_worker_waits_without_a_record() {
    for changes in 1..=3 {
        assert_held(changes, Found::Missing, ANSWERED, ANSWERED);
    }
}

/// Guards against the same with a handover record that can't be decoded.
#[test]
fn a_task_on_a_silent_worker_waits_with_an_undecodable_record() {
    for changes in 1..=3 {
        assert_held(changes, Found::Undecodable, ANSWERED, ANSWERED);
    }
}

/// Guards against a task that runs twice: only the first successor finds records of an earlier version,
/// or none, and it is lost in turn.
#[test]
fn a_task_on_a_silent_worker_waits_two_planners_after_a_faulty_record() {
    for found in [Found::Earlier, Found::Missing, Found::Undecodable] {
        for serves in [10, 50, 200, 1_000, 3_000] {
            let mut scene = Scene::new();
            scene.world.run(1_200);
            scene.silence(Silence::CutOff);
            scene.change_planners(1, APART, found);
            scene.world.run(serves);
            scene.change_planners(1, APART, Found::All);
            scene.assert_held(&format!("{found:?}, serves for {serves} ms"));
        }
    }
}

/// Plays a task that ends on a worker which reports, beside a silent one. The planner reads the end and
/// is lost before the progress is durable; the worker reports to its successor late.
fn assert_end_counts(found: Found, outcome: Outcome, late: u64) {
    let mut scene = Scene::new();
    scene.world.run(1_000);
    scene.world.progress_outcome = outcome;
    scene.world.submit("k", &step(1, false));
    scene.world.run(2_300);
    let (_, worker) = scene.starts_of("k/0/0/0")[0].clone();
    assert!(scene.world.done.contains("k"), "{}", scene.history());
    if worker != scene.silent {
        scene.silence(Silence::CutOff);
    }
    scene.world.cut_off(&worker);
    scene.world.lose_planner();
    scene.world.progress_outcome = ANSWERED;
    scene.take_over(found);
    scene.world.run(late);
    scene.world.reconnect(&worker);
    scene.world.run(LONG_ENOUGH);
    scene.assert_no_conflict();
    assert_eq!(scene.starts_of("k/0/0/0").len(), 1, "{found:?} {late}\n{}", scene.history());
}

/// Guards against a task that is done and starts again: its end was read by a planner that was lost
/// before the progress was durable.
#[test]
fn a_task_whose_end_was_not_durable_is_not_started_again() {
    for found in [Found::All, Found::Earlier, Found::Missing, Found::Undecodable] {
        for late in [0, 500, 1_500, 4_500] {
            assert_end_counts(found, Outcome::Lost, late);
            assert_end_counts(found, Outcome::Unanswered, late);
        }
    }
}

/// Guards against a task that runs twice: a second planner adopts its run and is lost, together with
/// the worker, some time after it has begun to serve.
#[test]
fn a_run_that_a_second_planner_has_adopted_waits_for_its_lease() {
    for outcome in [ANSWERED, Outcome::Unanswered, Outcome::Lost, Outcome::Refused] {
        for found in [Found::All, Found::Earlier, Found::Missing, Found::Undecodable] {
            for serves in [10, 30, 50, 100, 300, 1_300, 2_500] {
                let mut scene = Scene::new();
                scene.world.run(1_200);
                scene.change_planners(1, APART, found);
                scene.world.record_outcome = outcome;
                scene.world.run(serves);
                scene.silence(Silence::CutOff);
                scene.world.record_outcome = ANSWERED;
                scene.change_planners(1, APART, Found::All);
                scene.assert_held(&format!("{outcome:?}, {found:?}, serves for {serves} ms"));
            }
        }
    }
}

/// Plays a gang of two. Returns it with the worker of its second member.
fn gang() -> (Scene, String) {
    let mut scene = Scene::idle();
    scene.run_for_long("j", &Step { per_worker: 1, ..step(2, true) });
    scene.world.run(1_000);
    let (_, other) = scene.starts_of("j/0/0/1")[0].clone();
    (scene, other)
}

/// Asserts that no member of a gang starts elsewhere before the lease of the silent worker has expired.
fn assert_gang_held(scene: &mut Scene, case: &str) {
    scene.assert_held(case);
    scene.assert_none_early("j/0/0/1", case);
}

/// Guards against a gang that runs twice: one member is on a silent worker.
#[test]
fn a_gang_with_a_member_on_a_silent_worker_waits_for_its_lease() {
    for found in [Found::All, Found::Earlier, Found::Missing] {
        for how in SILENCES {
            for changes in 1..=3 {
                let (mut scene, _) = gang();
                scene.silence(how);
                scene.change_planners(changes, APART, found);
                assert_gang_held(&mut scene, &format!("{found:?}, {how:?}, {changes} changes"));
            }
        }
    }
}

/// Guards against a task that runs twice: it is being stopped on a silent worker, since another member
/// of its gang has failed.
#[test]
fn a_task_that_is_stopped_on_a_silent_worker_waits_for_its_lease() {
    for found in [Found::All, Found::Earlier, Found::Missing] {
        for stopping in [0, 100, 700, 1_500, 3_000] {
            let (mut scene, other) = gang();
            scene.silence(Silence::CutOff);
            scene.world.end_runs(&other, "j", Ending::Faulty);
            scene.world.run(stopping);
            scene.change_planners(2, APART, found);
            assert_gang_held(&mut scene, &format!("{found:?}, stopped for {stopping} ms"));
        }
    }
}

/// Guards against a task that runs twice: its start had no answer and may be carried out late on a
/// silent worker.
#[test]
fn a_late_start_on_a_silent_worker_is_waited_for() {
    for how in SILENCES {
        for changes in 1..=3 {
            for loss in LOSSES {
                let mut scene = Scene::idle();
                scene.world.agents.values_mut().for_each(|agent| agent.is_mute = true);
                scene.run_for_long("j", &step(1, false));
                scene.world.run(loss);
                scene.silence(how);
                scene.world.agents.values_mut().for_each(|agent| agent.is_mute = false);
                scene.change_planners(changes, APART, Found::All);
                scene.world.run(LONG_ENOUGH);
                scene.assert_no_conflict();
                assert!(scene.world.orders_of("j") > 1, "{how:?} {loss}\n{}", scene.history());
            }
        }
    }
}

/// Guards against a task that runs twice: a silent worker comes back, gets a lease from a planner that is
/// lost soon after, and is silent again. What was known of its earlier lease does not count.
#[test]
fn a_worker_that_comes_back_in_the_middle_has_a_new_lease() {
    for found in [Found::All, Found::Earlier, Found::Missing] {
        for back in [500, 2_000, 4_000] {
            for stays in [20, 50, 100, 400, 1_300] {
                for outcome in [ANSWERED, Outcome::Lost, Outcome::Unanswered] {
                    let mut scene = Scene::new();
                    scene.world.run(1_200);
                    scene.silence(Silence::CutOff);
                    scene.change_planners(2, APART, found);
                    scene.world.run(back);
                    scene.world.record_outcome = outcome;
                    let name = scene.silent.clone();
                    scene.world.reconnect(&name);
                    scene.world.run(stays);
                    scene.silence(Silence::CutOff);
                    scene.world.record_outcome = ANSWERED;
                    scene.change_planners(2, APART, found);
                    let case = format!("{found:?}, back after {back} for {stays} ms, {outcome:?}");
                    scene.assert_held(&case);
                }
            }
        }
    }
}

/// Guards against a task that runs twice: an earlier planner, past its lease on the leader key, goes on
/// serving the worker, which its successors don't hear of.
#[test]
fn a_worker_that_an_isolated_planner_serves_has_a_later_lease() {
    for found in [Found::All, Found::Earlier, Found::Missing] {
        for changes in 1..=4 {
            let mut scene = Scene::new();
            scene.world.run(1_200);
            scene.silence_by_isolation();
            scene.change_planners(changes, APART, found);
            scene.assert_held(&format!("{found:?}, {changes} changes"));
        }
    }
}

/// Guards against the same if it is a second planner that goes on, after the worker was silent towards
/// it for a while.
#[test]
fn a_worker_that_a_second_isolated_planner_serves_has_a_later_lease() {
    for found in [Found::All, Found::Earlier, Found::Missing] {
        for back in [0, 100, 1_000, 4_000] {
            for stays in [30, 100, 1_300] {
                let mut scene = Scene::new();
                scene.world.run(1_200);
                scene.silence(Silence::CutOff);
                scene.change_planners(1, APART, found);
                scene.world.run(back);
                let name = scene.silent.clone();
                scene.world.reconnect(&name);
                scene.world.run(stays);
                scene.silence_by_isolation();
                scene.change_planners(3, APART, found);
                scene.assert_held(&format!("{found:?}, back after {back} for {stays} ms"));
            }
        }
    }
}
