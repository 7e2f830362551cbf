//! Tests of the resources that are reserved for waiting groups.

use sapphire_jobs::{Ending, Job, Notice, Running, Step, task::Task};
use sapphire_planner::event::Event;

use crate::harness::{Bench, START, TERM, ended, job, room, step};

const NAMES: [&str; 2] = ["w1", "w2"];

fn of(id: &str, accelerators: u64, estimate_ms: u64, step: Step) -> Job {
    let step = Step { room: Some(room(accelerators).message()), estimate_ms, ..step };
    Job { accepted_ms: START, ..job(id, TERM, step) }
}

fn hand_in(bench: &mut Bench, job: Job) {
    bench.tell(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Lists the runs on each worker until a time; the tasks of the `long` jobs end at the given times,
/// by worker.
fn play(bench: &mut Bench, until: u64, ends: [u64; 2], told: &mut [u64; 2]) {
    while bench.now < START + until {
        bench.pass(100);
        for (at, name) in NAMES.iter().enumerate() {
            let runs: Vec<(Task, u32)> = (bench.planner.workers()[*name].runs.iter())
                .map(|(task, run)| (task.clone(), run.number))
                .collect();
            let (mut running, mut over) = (Vec::new(), Vec::new());
            for (task, number) in runs {
                let passed = bench.now - START;
                let is_long = task.job.starts_with("long");
                if is_long && passed >= ends[at] {
                    told[at] += 1;
                    over.push(ended(told[at], task.run(number), Ending::Done));
                    continue;
                }
                let percent = if is_long { (passed * 100 / ends[at]) as u32 } else { 1 };
                let run = Some(task.run(number));
                running.push(Running { run, percent, ..Running::default() });
            }
            bench.poll(name, running, over);
        }
    }
}

/// Guards against a gang that is late although its resources became free one after another: a gang
/// of two whole workers waited for 34 s, since small tasks kept coming and each took what became
/// free. Resources are now reserved for the gang as they become free; a task that ends before the
/// gang can start may use them meanwhile.
#[test]
fn a_wide_gang_does_not_wait_behind_small_tasks() {
    let mut bench = Bench::new(Vec::new());
    for name in NAMES {
        bench.join(name, Vec::new(), Vec::new());
    }
    for id in ["long1", "long2"] {
        hand_in(&mut bench, of(id, 64, 5_000, step(1, false)));
    }
    let on: Vec<String> = ["long1", "long2"].map(|id| bench.placed(id)).to_vec();
    assert!(on.contains(&"w1".to_owned()) && on.contains(&"w2".to_owned()));
    let (ends, mut told) = ([3_000, 6_000], [0, 0]);
    play(&mut bench, 1_500, ends, &mut told);
    hand_in(&mut bench, of("gang", 64, 5_000, step(2, true)));
    play(&mut bench, 2_000, ends, &mut told);
    hand_in(&mut bench, of("small", 8, 20_000, step(4, false)));
    hand_in(&mut bench, of("short", 8, 300, step(1, false)));
    play(&mut bench, 4_000, ends, &mut told);
    assert_eq!(bench.placed("short"), "w1", "it is over before the gang can start");
    assert_eq!(bench.placed("small"), "", "its room is kept for the gang");
}
