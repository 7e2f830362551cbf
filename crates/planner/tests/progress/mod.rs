//! Tests of the detection of slow and stalled runs.

use std::collections::BTreeSet;

use prost::Message as _;
use sapphire_jobs::{Ended, Ending, Notice, Poll, Run, Running, Step};
use sapphire_planner::{event::Event, keys};

use crate::harness::{
    Fixture, START, TERM, ended, fleet, item, job, no_starts, resources, run, step,
};

/// Guards against a long task that is moved from worker to worker and never ends: its declared run
/// time is one second but it takes five, so that it looks too slow on each worker in turn. The same
/// pace on a second worker shows that the task is long.
#[test]
fn a_long_task_is_not_moved_from_worker_to_worker() {
    let mut fixture = Fixture::new(Vec::new());
    let names = ["w1", "w2", "w3", "w4", "w5"];
    for name in names {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let mut long = step(1, false);
    long.estimate_ms = 1_000;
    fixture.handle(Event::Notice(Notice { jobs: vec![job("a", TERM, long)], ..Notice::default() }));
    let mut moves = 0;
    let mut began = fixture.now;
    let mut on = fixture.worker_of("a");
    while fixture.now < START + 15_000 {
        fixture.advance(250);
        let number = fixture.starts().last().expect("the task is ordered").run;
        let is_stopped = fixture.stops().iter().any(|stop| stop.run == number);
        for name in names {
            let percent = u32::try_from((fixture.now - began) / 60).expect("below a hundred");
            let running = Running { run: Some(run("a", 0, number)), percent, ..Running::default() };
            let is_here = on == name;
            match (is_here, is_stopped) {
                (true, true) => {
                    let end = ended(moves + 1, run("a", 0, number), Ending::Stopped);
                    fixture.poll(name, Vec::new(), vec![end]);
                }
                (true, false) => fixture.poll(name, vec![running], Vec::new()),
                _ => fixture.poll(name, Vec::new(), Vec::new()),
            }
        }
        if is_stopped {
            moves += 1;
            began = fixture.now;
            on = fixture.worker_of("a");
        }
        if fixture.now > began + 5_500 {
            break;
        }
    }
    assert!(moves <= 2, "the task was moved {moves} times");
}

/// Guards against a task that waits although a worker is free: another task of its step had failed
/// on that worker and waited for a different one, and the pass assumed that there were no resources
/// for this one either.
#[test]
fn a_task_that_avoids_a_worker_does_not_keep_others_off_it() {
    let mut fixture = Fixture::new(Vec::new());
    for name in ["w1", "w2"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let whole = |tasks| Step { room: Some(resources(64).message()), ..step(tasks, false) };
    let notice = |jobs| Event::Notice(Notice { jobs, ..Notice::default() });
    fixture.handle(notice(vec![job("other", TERM, whole(1))]));
    fixture.poll("w1", Vec::new(), Vec::new());
    fixture.poll("w2", Vec::new(), Vec::new());
    let busy = fixture.worker_of("other");
    let free = if busy == "w1" { "w2" } else { "w1" };
    fixture.handle(notice(vec![job("two", TERM, whole(2))]));
    fixture.poll(free, Vec::new(), Vec::new());
    fixture.poll(free, Vec::new(), vec![ended(1, run("two", 0, 1), Ending::Faulty)]);
    fixture.advance(200);
    fixture.poll(free, Vec::new(), Vec::new());
    let started: Vec<u32> =
        fixture.starts().iter().filter(|run| run.job == "two").map(|run| run.index).collect();
    assert_eq!(started, [0, 1]);
}

/// Guards against gangs that are stopped and workers that are suspected because a member that has
/// not started yet keeps the others from making progress.
#[test]
fn members_that_wait_for_one_another_are_not_stalled() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("w1", Vec::new(), Vec::new());
    let job = job("a", TERM, step(2, true));
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
    let number = fixture.starts().last().expect("the gang is ordered").run;
    let there = |index: u32, percent: u32| Running {
        run: Some(run("a", index, number)),
        percent,
        ..Running::default()
    };
    let report = |fixture: &mut Fixture, running: Vec<Running>, pending: Vec<u32>| {
        let pending = pending.into_iter().map(|index| run("a", index, number)).collect();
        fixture.report("w1", Poll { running, pending, ..Poll::default() });
        fixture.advance(250);
    };
    for _ in 0..10 {
        report(&mut fixture, vec![there(0, 0)], vec![1]);
    }
    for percent in 0..8 {
        report(&mut fixture, vec![there(0, percent * 12), there(1, percent * 12)], Vec::new());
    }
    assert_eq!(fixture.stops(), Vec::new());
    for _ in 0..40 {
        report(&mut fixture, vec![there(0, 84), there(1, 84)], Vec::new());
    }
    let stopped: BTreeSet<u32> = fixture.stops().iter().map(|run| run.index).collect();
    assert_eq!(stopped, BTreeSet::from([0, 1]), "a stalled gang is stopped as a whole");
}

/// Run time of each task of the step that [`thirds`] returns, in ms.
const RUN_TIME: u64 = 30_000;
/// Time that a run which continues from a checkpoint takes to restore it, in ms.
const RESTORATION: u64 = 600;
/// Interval of the lists, in ms.
const LIST_INTERVAL: u64 = 250;

/// A step of three tasks that write checkpoints, each of which takes a whole worker.
fn thirds() -> Step {
    Step {
        room: Some(resources(64).message()),
        estimate_ms: RUN_TIME,
        checkpoints: true,
        ..step(3, false)
    }
}

/// Progress of a run that started `time` ms ago from a checkpoint of the given progress. It is 0
/// until the checkpoint is restored.
fn resumed_percent(checkpoint: u32, time: u64) -> u32 {
    let gained = |time: u64| u32::try_from(time * 100 / RUN_TIME).expect("below a hundred");
    time.checked_sub(RESTORATION).map_or(0, |time| checkpoint + gained(time))
}

fn listed(run: &Run, percent: u32) -> Running {
    Running { run: Some(run.clone()), percent, ..Running::default() }
}

/// The latest run of each task, with its worker.
fn placed(fixture: &Fixture) -> Vec<(String, Run)> {
    let workers = fixture.planner.workers().iter();
    let runs = workers.flat_map(|(name, worker)| {
        worker.runs.iter().map(|(task, run)| (name.clone(), task.run(run.number)))
    });
    runs.collect()
}

/// Returns a planner whose three runs of a step have made progress for a time at the same pace. Then
/// the run of the first task was stopped, and continues from its checkpoint.
fn resumed(time: u64) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    for name in ["w1", "w2", "w3"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let jobs = vec![job("a", TERM, thirds())];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    let runs = placed(&fixture);
    assert_eq!(runs.len(), 3);
    let began = fixture.now;
    while fixture.now < began + time {
        for (name, run) in &runs {
            let percent = resumed_percent(0, fixture.now + RESTORATION - began);
            fixture.poll(name, vec![listed(run, percent)], Vec::new());
        }
        fixture.advance(LIST_INTERVAL);
    }
    let (name, first) = runs.iter().find(|(_, run)| run.index == 0).expect("all tasks run");
    let checkpoint = "saved".to_owned();
    let end = Ended { checkpoint, ..ended(1, first.clone(), Ending::Stopped) };
    fixture.poll(name, Vec::new(), vec![end]);
    assert_eq!(placed(&fixture).len(), 3, "the task is started again");
    fixture
}

/// Lists the runs for a time. The first task's was restored from a checkpoint of `checkpoint` per
/// cent and ends once it has made all its progress; the others go on from `others` per cent.
fn go_on(fixture: &mut Fixture, time: u64, checkpoint: u32, others: u32) {
    let runs = placed(fixture);
    let began = fixture.now;
    while fixture.now < began + time {
        let passed = fixture.now - began;
        for (name, run) in &runs {
            let percent = match run.index {
                0 => resumed_percent(checkpoint, passed),
                _ => resumed_percent(others, passed + RESTORATION),
            };
            if percent < 100 {
                fixture.poll(name, vec![listed(run, percent)], Vec::new());
            } else {
                fixture.poll(name, Vec::new(), vec![ended(2, run.clone(), Ending::Done)]);
            }
        }
        fixture.advance(LIST_INTERVAL);
    }
}

/// Guards against runs that are stopped as far too slow because another run of their step continues
/// from a checkpoint: once it is restored, its progress jumps, which looked like a task that needs a
/// second instead of thirty.
#[test]
fn the_jump_of_a_resumed_run_is_no_pace() {
    let mut fixture = resumed(12_000);
    go_on(&mut fixture, 9_000, 40, 40);
    assert_eq!(fixture.stops(), Vec::new());
}

/// Guards against the same once the resumed run has ended, when its run time is learned for the step.
#[test]
fn the_jump_of_a_resumed_run_is_no_run_time() {
    let mut fixture = resumed(15_000);
    // The checkpoint has saved more than the lists showed.
    go_on(&mut fixture, 10_000, 85, 50);
    let is_running = |(_, run): &(String, Run)| run.index == 0;
    assert!(!placed(&fixture).iter().any(is_running), "the resumed run has ended");
    assert_eq!(fixture.stops(), Vec::new());
}

/// Guards against the same when a new planner adopts a run while its checkpoint is being restored.
#[test]
fn the_jump_of_an_adopted_run_is_no_pace() {
    let names = ["w1", "w2", "w3"];
    let mut fixture = Fixture::new(vec![
        fleet(1, &names),
        no_starts(1),
        item(keys::job("a"), job("a", 10, thirds()).encode_to_vec()),
    ]);
    for (index, name) in (0..).zip(names) {
        let (percent, checkpoint) = if index == 0 { (0, "saved") } else { (40, "") };
        let listed = listed(&run("a", index, 1), percent);
        let listed = Running { checkpoint: checkpoint.to_owned(), ..listed };
        fixture.join(name, vec![listed], Vec::new());
    }
    assert_eq!(placed(&fixture).len(), 3, "all runs are adopted");
    go_on(&mut fixture, 9_000, 40, 40);
    assert_eq!(fixture.stops(), Vec::new());
}
