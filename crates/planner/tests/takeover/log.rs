//! Tests of the log of runs.

use prost::Message as _;
use sapphire_jobs::{Ending, Run, RunSegment, RunsOn, Step};
use sapphire_planner::keys;

use super::scene::{CALM_BOUND, Found, PROMPT, Scene, Silence};
use crate::{
    handover::world::Outcome,
    harness::{resources, step},
};

const JOBS: usize = 60;

/// Has jobs of one task each started one after the other, of which two thirds end soon.
fn run_many(scene: &mut Scene) {
    for number in 0..JOBS {
        let id = format!("many{number}");
        let step = Step { room: Some(resources(1).message()), ..step(1, false) };
        scene.run_for_long(&id, &step);
        scene.world.run(300);
        if number % 3 > 0 {
            let worker = scene.silent.clone();
            scene.world.end_runs(&worker, &id, Ending::Done);
        }
    }
    scene.world.run(2_000);
}

/// Returns the keys of the segments in the store.
fn segments(scene: &Scene) -> Vec<&String> {
    scene.world.items.keys().filter(|key| key.starts_with(keys::RUNS)).collect()
}

/// Guards against a task that runs twice once the first segments of the log were merged or removed.
#[test]
fn merged_segments_name_all_runs() {
    let mut scene = Scene::idle();
    run_many(&mut scene);
    scene.silence(Silence::CutOff);
    let silent = scene.silent.clone();
    let begun: Vec<String> = (0..JOBS).step_by(3).map(|it| format!("many{it}/0/0/0")).collect();
    let is_on = |task: &&String| {
        scene.starts_of(task.as_str()).last().is_some_and(|(_, worker)| *worker == silent)
    };
    let on_silent: Vec<String> = begun.iter().filter(is_on).cloned().collect();
    assert!(!on_silent.is_empty(), "{silent} runs tasks\n{}", scene.history());
    scene.world.lose_planner();
    scene.world.accept("late", &[step(1, false)]);
    scene.take_over(Found::All);
    scene.world.run(CALM_BOUND);
    for task in &on_silent {
        let latest = scene.starts_of(task).last().map(|(at, _)| *at);
        assert!(latest < Some(scene.began_at), "{task}: {latest:?}\n{}", scene.history());
    }
    let late = scene.starts_of("late/0/0/0");
    assert!(late[0].0 <= scene.began_at + PROMPT, "{late:?}\n{}", scene.history());
    scene.assert_no_conflict();
}

/// Guards against a log that grows with the number of starts rather than with that of runs.
#[test]
fn segments_without_runs_are_removed() {
    let mut scene = Scene::idle();
    run_many(&mut scene);
    let count = segments(&scene).len();
    assert!(count <= 20, "{count} segments after {JOBS} starts");
}

/// Guards against a segment of the log that can't be read and is taken for one without runs.
#[test]
fn an_undecodable_segment_says_nothing() {
    let mut scene = Scene::new();
    scene.world.run(3_000);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    let keys: Vec<String> = segments(&scene).into_iter().cloned().collect();
    assert!(!keys.is_empty(), "the log has segments\n{}", scene.history());
    for key in keys {
        scene.world.write(&key, vec![0xff; 4]);
    }
    scene.take_over(Found::All);
    scene.assert_held("undecodable");
}

/// Guards against a task that runs twice once terms are counted anew: a segment of an earlier term, which
/// has not been removed yet, has a higher number of its run.
#[test]
fn segments_of_before_terms_were_counted_anew_hide_no_run() {
    let mut scene = Scene::idle();
    scene.world.lose_planner();
    scene.world.write(keys::FLEET, vec![0xff; 4]);
    // More segments than the next planner removes before it places anything.
    for number in 0..200 {
        let (key, value) = stale_segment(number);
        scene.world.write(&key, value);
    }
    scene.take_over(Found::All);
    scene.world.run(30_000);
    scene.run_for_long("j", &step(1, false));
    scene.world.run(5_000);
    scene.silence(Silence::CutOff);
    scene.world.lose_planner();
    scene.take_over(Found::All);
    scene.assert_held("terms were counted anew");
}

/// Returns a segment of an earlier term with a run of the task that follows.
fn stale_segment(number: u64) -> (String, Vec<u8>) {
    let run = Run { job: "j".to_owned(), run: 7_003, ..Run::default() };
    let on = RunsOn { worker: "d".to_owned(), runs: vec![run] };
    let segment = RunSegment { workers: vec![on] };
    (format!("{}7.{number}", keys::RUNS), segment.encode_to_vec())
}

/// Guards against a task that is done and starts again: the planner that read its end wrote the first
/// whole log, without the run, and was lost before the progress was durable.
#[test]
fn the_first_whole_log_has_runs_whose_end_is_not_durable() {
    for serves in [300, 1_200, 2_500] {
        let mut scene = Scene::new();
        scene.world.run(1_000);
        scene.world.progress_outcome = Outcome::Lost;
        scene.world.lose_planner();
        let silent = scene.silent.clone();
        scene.world.end_runs(&silent, "j", Ending::Done);
        scene.take_over(Found::Earlier);
        scene.world.run(serves);
        scene.silence(Silence::CutOff);
        scene.world.lose_planner();
        scene.world.progress_outcome = Outcome::Answered(10);
        scene.take_over(Found::All);
        scene.world.run(2_000);
        scene.world.reconnect(&silent);
        scene.world.run(CALM_BOUND);
        scene.assert_no_conflict();
        assert_eq!(scene.starts_of("j/0/0/0").len(), 1, "{serves}\n{}", scene.history());
    }
}
