//! Tests of the resources that are reserved for waiting groups.

use sapphire_jobs::{Ending, Job, Notice, Running, Step, task::Task};
use sapphire_planner::event::Event;

use crate::harness::{Fixture, START, TERM, ended, job, resources, step};

const NAMES: [&str; 2] = ["w1", "w2"];

fn job_of(id: &str, accelerators: u64, estimate_ms: u64, step: Step) -> Job {
    let step = Step { room: Some(resources(accelerators).message()), estimate_ms, ..step };
    Job { accepted_ms: START, ..job(id, TERM, step) }
}

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Lists the runs on each worker until a time; the tasks of the `long` jobs end at the given times,
/// by worker.
fn run_until(fixture: &mut Fixture, until: u64, ends: [u64; 2], end_numbers: &mut [u64; 2]) {
    while fixture.now < START + until {
        fixture.advance(100);
        for (at, name) in NAMES.iter().enumerate() {
            let runs: Vec<(Task, u32)> = (fixture.planner.workers()[*name].runs.iter())
                .map(|(task, run)| (task.clone(), run.number))
                .collect();
            let (mut running, mut finished) = (Vec::new(), Vec::new());
            for (task, number) in runs {
                let elapsed = fixture.now - START;
                let is_long = task.job.starts_with("long");
                if is_long && elapsed >= ends[at] {
                    end_numbers[at] += 1;
                    finished.push(ended(end_numbers[at], task.run(number), Ending::Done));
                    continue;
                }
                let percent = if is_long { (elapsed * 100 / ends[at]) as u32 } else { 1 };
                let run = Some(task.run(number));
                running.push(Running { run, percent, ..Running::default() });
            }
            fixture.poll(name, running, finished);
        }
    }
}

/// Guards against a gang that is late although its resources became free one after another: a gang
/// of two whole workers waited for 34 s, since small tasks kept coming and each took what became
/// free. Resources are reserved for the gang as they become free; a task that ends before the
/// gang can start may use them meanwhile.
#[test]
fn a_wide_gang_does_not_wait_behind_small_tasks() {
    let mut fixture = Fixture::new(Vec::new());
    for name in NAMES {
        fixture.join(name, Vec::new(), Vec::new());
    }
    for id in ["long1", "long2"] {
        submit(&mut fixture, job_of(id, 64, 5_000, step(1, false)));
    }
    let on: Vec<String> = ["long1", "long2"].map(|id| fixture.worker_of(id)).to_vec();
    assert!(on.contains(&"w1".to_owned()) && on.contains(&"w2".to_owned()));
    let (ends, mut end_numbers) = ([3_000, 6_000], [0, 0]);
    run_until(&mut fixture, 1_500, ends, &mut end_numbers);
    submit(&mut fixture, job_of("gang", 64, 5_000, step(2, true)));
    run_until(&mut fixture, 2_000, ends, &mut end_numbers);
    submit(&mut fixture, job_of("small", 8, 20_000, step(4, false)));
    submit(&mut fixture, job_of("short", 8, 300, step(1, false)));
    run_until(&mut fixture, 4_000, ends, &mut end_numbers);
    assert_eq!(fixture.worker_of("short"), "w1", "it is over before the gang can start");
    assert_eq!(fixture.worker_of("small"), "", "its resources are reserved for the gang");
}
