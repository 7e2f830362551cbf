//! Tests of work that no silent worker can be running: it goes on as soon as the others have reported.

use sapphire_jobs::{Ending, Step};

use super::scene::{
    CALM_BOUND, Found, LONG_RUN, PROMPT, SILENCES, SILENT_BOUND, Scene, Silence, whole,
};
use crate::{handover::world::Outcome, harness::step};

/// Loses the planner together with a worker, and lets an entry accept a job before a successor takes
/// over. No task of the job was ever ordered.
fn untried(how: Silence, job: &Step) -> Scene {
    let mut scene = Scene::new();
    scene.world.run(1_000);
    scene.silence(how);
    scene.world.lose_planner();
    scene.world.accept("k", std::slice::from_ref(job));
    scene.world.run(300);
    scene.take_over(Found::All);
    scene
}

fn assert_untried_starts(how: Silence) {
    let mut scene = untried(how, &step(2, false));
    let from = scene.began_at;
    scene.assert_started("k/0/0/0", from, PROMPT);
    scene.assert_started("k/0/0/1", from, PROMPT);
}

/// Guards against a job without any run that waits for a worker that is cut off.
#[test]
fn a_job_that_was_never_ordered_does_not_wait_for_a_worker_that_is_cut_off() {
    assert_untried_starts(Silence::CutOff);
}

/// Guards against a job without any run that waits for a worker that is gone.
#[test]
fn a_job_that_was_never_ordered_does_not_wait_for_a_worker_that_is_gone() {
    assert_untried_starts(Silence::Gone);
}

/// Guards against a job without any run that waits for a worker whose agent is lost.
#[test]
fn a_job_that_was_never_ordered_does_not_wait_for_a_worker_without_an_agent() {
    assert_untried_starts(Silence::AgentLost);
}

/// Guards against a gang without any run that waits for a silent worker.
#[test]
fn a_gang_that_was_never_ordered_does_not_wait_for_a_silent_worker() {
    for how in SILENCES {
        let mut scene = untried(how, &Step { per_worker: 1, ..step(2, true) });
        let from = scene.began_at;
        scene.assert_started("k/0/0/0", from, PROMPT);
        scene.assert_started("k/0/0/1", from, PROMPT);
    }
}

/// Guards against a long-running task without any run that waits for a silent worker.
#[test]
fn a_long_running_task_that_was_never_ordered_does_not_wait_for_a_silent_worker() {
    let mut scene = untried(Silence::CutOff, &Step { is_long_running: true, ..step(1, false) });
    let from = scene.began_at;
    scene.assert_started("k/0/0/0", from, PROMPT);
}

/// Guards against a task that waits for a silent worker although its order was never sent: it waited
/// for the handover record.
#[test]
fn a_task_whose_order_was_not_sent_does_not_wait_for_a_silent_worker() {
    let mut scene = Scene::new();
    scene.world.run(1_500);
    scene.world.record_outcome = Outcome::Lost;
    scene.world.submit("k", &step(1, false));
    scene.world.run(300);
    assert_eq!(scene.world.orders_of("k"), 0);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    scene.world.record_outcome = Outcome::Answered(10);
    scene.take_over(Found::All);
    let from = scene.began_at;
    scene.assert_started("k/0/0/0", from, PROMPT);
}

/// Guards against tasks without any run that wait for the silent worker that runs another task of
/// their job.
#[test]
fn other_tasks_of_a_job_do_not_wait_for_the_one_on_a_silent_worker() {
    let mut scene = Scene::idle();
    for name in ["b", "c", "d"] {
        scene.world.agents.get_mut(name).expect("a worker").is_draining = true;
    }
    scene.world.run(1_000);
    scene.run_for_long("j", &whole(3));
    scene.world.run(1_000);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    scene.world.agents.values_mut().for_each(|agent| agent.is_draining = false);
    scene.take_over(Found::All);
    let from = scene.began_at;
    assert_eq!(scene.world.orders_of("j"), 1, "{}", scene.history());
    scene.assert_started("j/0/0/1", from, PROMPT);
    scene.assert_started("j/0/0/2", from, PROMPT);
}

/// Plays a job on workers that report, beside a silent one, and loses the planner `time` ms after the
/// job was submitted. `change` is what happens before the next one takes over.
fn beside_silent(steps: &[Step], time: u64, change: impl FnOnce(&mut Scene)) -> Scene {
    let mut scene = Scene::new();
    scene.world.run(500);
    let silent = scene.silent.clone();
    scene.world.agents.get_mut(&silent).expect("a worker").is_draining = true;
    scene.world.run(1_000);
    scene.world.submit_steps("k", steps);
    scene.world.run(time);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    change(&mut scene);
    scene.take_over(Found::All);
    scene
}

fn workers_of(scene: &Scene, id: &str) -> Vec<String> {
    let starts = scene.world.starts.iter().filter(|(_, run, _)| run.job == id);
    starts.map(|(_, _, worker)| worker.clone()).collect()
}

/// Guards against a next step that waits for a silent worker: the earlier step ends under the new
/// planner, on a worker that has reported.
#[test]
fn a_next_step_does_not_wait_for_a_silent_worker() {
    let next = Step { after: vec![0], ..step(2, false) };
    let mut scene = beside_silent(&[step(1, false), next], 1_500, |_| {});
    let end = scene.starts_of("k/0/0/0")[0].0 + 2_000;
    scene.assert_started("k/0/1/0", end, PROMPT);
    scene.assert_started("k/0/1/1", end, PROMPT);
}

/// Guards against the same if the earlier step has ended while nothing planned.
#[test]
fn a_next_step_after_an_end_between_planners_does_not_wait_for_a_silent_worker() {
    let next = Step { after: vec![0], ..step(1, false) };
    let steps = [step(1, false), next];
    let mut scene = beside_silent(&steps, 1_500, |scene| scene.world.run(1_000));
    let from = scene.began_at;
    scene.assert_started("k/0/1/0", from, PROMPT);
}

/// Guards against a task that waits for a silent worker although its run has failed on one that has
/// reported.
#[test]
fn a_task_that_failed_between_planners_does_not_wait_for_a_silent_worker() {
    let mut scene = beside_silent(&[step(1, false)], 1_000, |scene| {
        let worker = workers_of(scene, "k")[0].clone();
        scene.world.end_runs(&worker, "k", Ending::Faulty);
    });
    let from = scene.began_at;
    scene.assert_started("k/0/0/0", from, PROMPT);
}

/// Guards against a task that waits for a silent worker although its run has ended with the
/// incarnation of a minion that has reported.
#[test]
fn a_task_whose_minion_started_again_does_not_wait_for_a_silent_worker() {
    let mut scene = beside_silent(&[step(1, false)], 1_000, |scene| {
        let worker = workers_of(scene, "k")[0].clone();
        scene.world.restart_minion(&worker);
    });
    let from = scene.began_at;
    scene.assert_started("k/0/0/0", from, PROMPT);
}

/// Plays a gang on two workers that report; the run of one member ends before the next planner takes
/// over.
fn incomplete_gang(end: impl FnOnce(&mut Scene, &str)) {
    let gang = Step { per_worker: 1, estimate_ms: LONG_RUN, ..step(2, true) };
    let mut scene = beside_silent(&[gang], 1_000, |scene| {
        scene.world.run_times.insert("k".to_owned(), LONG_RUN);
        let worker = workers_of(scene, "k")[1].clone();
        end(scene, &worker);
    });
    let from = scene.began_at;
    // The other member is stopped first.
    scene.assert_started("k/0/0/0", from, PROMPT + 400);
    scene.assert_started("k/0/0/1", from, PROMPT + 400);
}

/// Guards against an incomplete gang that waits for a silent worker: one member has failed on a worker
/// that has reported.
#[test]
fn a_gang_with_a_failed_member_does_not_wait_for_a_silent_worker() {
    incomplete_gang(|scene, worker| scene.world.end_runs(worker, "k", Ending::Faulty));
}

/// Guards against an incomplete gang that waits for a silent worker: one member has ended with its
/// minion.
#[test]
fn a_gang_whose_minion_started_again_does_not_wait_for_a_silent_worker() {
    incomplete_gang(|scene, worker| scene.world.restart_minion(worker));
}

/// Changes planners while the worker that runs a task is silent. The leader key is free `gap` ms after
/// each loss. Asserts that the wait for its lease is counted once.
fn assert_counted_once(changes: usize, apart: u64, gap: u64) {
    let mut scene = Scene::new();
    scene.world.run(1_000);
    scene.silence(Silence::CutOff);
    for change in 0..changes {
        scene.world.lose_planner();
        scene.world.run(gap);
        scene.take_over(Found::All);
        if change + 1 < changes {
            scene.world.run(apart - gap);
        }
    }
    let (heard_at, began_at) = (scene.heard_at, scene.began_at);
    // The first planner may have gone on from the end of the first gap.
    let bound = (SILENT_BOUND + gap).max(began_at + CALM_BOUND - heard_at);
    scene.assert_started("j/0/0/0", heard_at, bound);
}

/// Guards against a wait for the lease of a silent worker that begins anew with each of three planners.
#[test]
fn three_planners_one_second_apart_count_the_lease_of_a_silent_worker_once() {
    assert_counted_once(3, 1_000, 0);
}

/// Guards against the same with planners that serve for longer.
#[test]
fn three_planners_two_seconds_apart_count_the_lease_of_a_silent_worker_once() {
    assert_counted_once(3, 2_000, 0);
}

/// Guards against the same with six planners.
#[test]
fn six_planners_one_second_apart_count_the_lease_of_a_silent_worker_once() {
    assert_counted_once(6, 1_000, 0);
}

/// Guards against the same with six planners that serve for longer.
#[test]
fn six_planners_two_seconds_apart_count_the_lease_of_a_silent_worker_once() {
    assert_counted_once(6, 2_000, 0);
}

/// Guards against the same if no planner serves for the time of the leader lease after each loss.
#[test]
fn three_planners_with_gaps_count_the_lease_of_a_silent_worker_once() {
    assert_counted_once(3, 2_000, 1_300);
}

/// Changes planners while a worker is silent, and accepts a job before each change. Asserts that each
/// job starts at once.
fn assert_jobs_start_under_each(changes: usize, apart: u64) {
    let mut scene = Scene::new();
    scene.world.run(1_000);
    scene.silence(Silence::CutOff);
    for change in 0..changes {
        scene.world.lose_planner();
        let id = format!("k{change}");
        scene.world.accept(&id, &[step(1, false)]);
        scene.take_over(Found::All);
        scene.world.run(apart);
        let (from, starts) = (scene.began_at, scene.starts_of(&format!("{id}/0/0/0")));
        let after = starts.first().map(|(at, _)| at - from);
        assert!(
            after.is_some_and(|after| after <= PROMPT),
            "{id} is started after {after:?} ms\n{}",
            scene.history()
        );
    }
    scene.assert_no_conflict();
}

/// Guards against jobs without any run that wait anew under each of several planners.
#[test]
fn jobs_accepted_between_three_planners_start_under_each() {
    assert_jobs_start_under_each(3, 1_500);
}

/// Guards against the same with six planners.
#[test]
fn jobs_accepted_between_six_planners_start_under_each() {
    assert_jobs_start_under_each(6, 1_500);
}
