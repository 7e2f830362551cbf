//! Tests of the detection of slow and stalled runs.

use std::collections::BTreeSet;

use sapphire_jobs::{Ending, Notice, Poll, Running, Step};
use sapphire_planner::event::Event;

use crate::harness::{Fixture, START, TERM, ended, job, resources, run, step};

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
