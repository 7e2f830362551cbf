//! Tests of the resources that are released for urgent groups.

mod stops;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sapphire_jobs::{
    Ending, Job, Notice, Running, Step,
    catalog::{Catalog, Organisation, Parts, Queue},
    task::Task,
};
use sapphire_planner::{
    event::Event,
    worker::{Phase, Run},
};

use crate::harness::{Fixture, START, TERM, ended, job, resources, step};

/// Minions that start every ordered task and end every stopped one at once; no task ends by itself.
#[derive(Default)]
struct Minions {
    ends: BTreeMap<String, u64>,
    stopped: usize,
    /// Progress that all tasks report; `None` for tasks that are about to end.
    percent: Option<u32>,
    /// Stopped tasks have completed before the order to stop them arrives.
    is_too_late: bool,
}

impl Minions {
    fn answer_all(&mut self, fixture: &mut Fixture, names: &[&str]) {
        for name in names {
            self.answer(fixture, name);
        }
        fixture.advance(100);
    }

    fn answer(&mut self, fixture: &mut Fixture, name: &str) {
        let runs: Vec<(Task, Run)> = (fixture.planner.workers()[name].runs.iter())
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        let mut running = Vec::new();
        let mut finished = Vec::new();
        for (task, run) in runs {
            let listed = Some(task.run(run.number));
            if run.phase == Phase::Stopping {
                let number = self.ends.entry(name.to_owned()).or_default();
                *number += 1;
                self.stopped += 1;
                let ending = if self.is_too_late { Ending::Done } else { Ending::Stopped };
                finished.push(ended(*number, task.run(run.number), ending));
            } else {
                let near_end =
                    90 + u32::try_from((fixture.now - START) / 4_000).expect("a short run");
                let percent = self.percent.unwrap_or(near_end);
                running.push(Running { run: listed, percent, ..Running::default() });
            }
        }
        fixture.poll(name, running, finished);
    }
}

/// Returns a planner with workers that each run eight small tasks, which according to their
/// progress are about to end.
fn full_workers(names: &[&str]) -> (Fixture, Minions) {
    full_workers_at(names, None)
}

/// The same, where all tasks report the given progress.
fn full_workers_at(names: &[&str], percent: Option<u32>) -> (Fixture, Minions) {
    let mut fixture = Fixture::new(Vec::new());
    for name in names {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let tasks = u32::try_from(names.len() * 8).expect("a few workers");
    let small =
        Step { room: Some(resources(4).message()), estimate_ms: 20_000, ..step(tasks, false) };
    let jobs = vec![job("small", TERM, small)];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    let mut minions = Minions { percent, ..Minions::default() };
    for _ in 0..15 {
        minions.answer_all(&mut fixture, names);
    }
    (fixture, minions)
}

fn urgent(id: &str, accelerators: u64) -> Job {
    let room = Some(resources(accelerators).message());
    let task = Step { tasks: 1, room, estimate_ms: 3_000, ..Step::default() };
    Job { queue: "urgent".to_owned(), priority: 0, ..job(id, TERM, task) }
}

/// Guards against an urgent job that starts after eleven seconds instead of three. All workers are
/// full of small tasks that according to their progress are about to end, so the job waits for
/// them, but they do not end. With each new choice the resources released by earlier stops went to
/// the stopped tasks again, and as many tasks were stopped on another worker.
#[test]
fn resources_for_an_urgent_task_are_kept_where_they_were_chosen() {
    let names = ["w1", "w2", "w3", "w4"];
    let (mut fixture, mut minions) = full_workers(&names);
    let submitted = fixture.now;
    let accepted_ms = submitted;
    let whole = Job { accepted_ms, ..urgent("whole", 64) };
    fixture.handle(Event::Notice(Notice { jobs: vec![whole], ..Notice::default() }));
    while fixture.worker_of("whole").is_empty() && fixture.now < submitted + 15_000 {
        minions.answer_all(&mut fixture, &names);
    }
    let stopped = minions.stopped;
    let waited = fixture.now - submitted;
    assert!(waited < 4_500, "started after {waited} ms");
    assert!(stopped <= 8, "{stopped} tasks were stopped for one that takes the resources of 8");
}

/// Guards against resources that are promised twice: of two urgent jobs that each need a whole
/// worker, both waited for the end of the same work, since the first promise was not counted, and
/// the second job had to wait again.
#[test]
fn promised_resources_are_not_promised_again() {
    let names = ["w1", "w2", "w3"];
    let (mut fixture, mut minions) = full_workers(&names);
    let submitted = fixture.now;
    let whole = |id| Job { accepted_ms: submitted, ..urgent(id, 64) };
    let jobs = vec![whole("a")];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    minions.answer_all(&mut fixture, &names);
    fixture.handle(Event::Notice(Notice { jobs: vec![whole("b")], ..Notice::default() }));
    while fixture.now < submitted + 4_500 {
        minions.answer_all(&mut fixture, &names);
    }
    let (first, second) = (fixture.worker_of("a"), fixture.worker_of("b"));
    assert!(!first.is_empty() && !second.is_empty(), "placed on {first:?} and {second:?}");
    assert_ne!(first, second);
}

/// Guards against an urgent job that clears the whole fleet: it has six tasks, each as large as a
/// worker, and there are four busy workers. Each task chose what to stop on its own, although the
/// last two cannot start before others end, and the job's objective allows for one wave on each
/// quarter of the workers. Only as much is stopped as the job needs to end in time.
#[test]
fn a_wide_urgent_job_does_not_clear_the_fleet() {
    let names = ["w1", "w2", "w3", "w4"];
    let (mut fixture, mut minions) = full_workers(&names);
    let room = Some(resources(64).message());
    let step = Step { tasks: 6, room, estimate_ms: 3_000, ..Step::default() };
    let accepted_ms = fixture.now;
    let wide = Job { steps: vec![step], accepted_ms, slack_milli: 1_500, ..urgent("wide", 64) };
    fixture.handle(Event::Notice(Notice { jobs: vec![wide], ..Notice::default() }));
    for _ in 0..40 {
        minions.answer_all(&mut fixture, &names);
    }
    assert!(!fixture.worker_of("wide").is_empty(), "it has begun");
    let is_for_it = |line: &&String| line.contains("cause=urgent for=wide");
    let stopped = fixture.log.iter().filter(is_for_it).count();
    assert_eq!(stopped, 8, "one worker is enough for six waves");
}

/// Guards against an urgent job for which no resources are released: the clock of the entry that
/// accepted it is far behind the planner's, so that it seemed to have been submitted long ago and
/// to be of no use any more.
#[test]
fn a_clock_that_is_far_behind_makes_no_job_late() {
    const BEHIND: u64 = 40_000;
    let names = ["w1", "w2"];
    let (mut fixture, mut minions) = full_workers(&names);
    let accepted_ms = fixture.now - BEHIND;
    let jobs = vec![Job { accepted_ms, ..urgent("urgent", 32) }];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    for _ in 0..40 {
        minions.answer_all(&mut fixture, &names);
    }
    assert_ne!(fixture.worker_of("urgent"), "", "resources were released for it");
}

/// Guards against a guaranteed job that starts after its deadline: it waited for work that should
/// have ended by itself, and the rest of the time was too short to have that work stopped.
#[test]
fn a_guaranteed_job_does_not_wait_into_its_deadline() {
    const STOP_AND_START: u64 = 400 + 300;
    let names = ["w1", "w2"];
    let mut fixture = Fixture::new(Vec::new());
    for name in names {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let organisation = Organisation {
        name: "o".to_owned(),
        guaranteed_accelerators: 64,
        ..Organisation::default()
    };
    let queue = |name: &str, priority| Queue {
        name: name.to_owned(),
        service: "desk".to_owned(),
        max_attempts: 2,
        slack: 3.0,
        target_latency: Duration::from_secs(20),
        priority,
        ..Queue::default()
    };
    let parts = Parts {
        queues: vec![queue("q", 1), queue("urgent", 0)],
        organisations: vec![organisation],
        ..Parts::default()
    };
    fixture.handle(Event::Catalog(Arc::new(Catalog::new(parts))));
    let small = Step { room: Some(resources(4).message()), estimate_ms: 9_500, ..step(16, false) };
    let jobs = vec![job("small", TERM, small)];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    let mut minions = Minions::default();
    // By their progress, all tasks will take 9.5 s, of which 1.9 s are left. Then they stall.
    for round in 0..=76 {
        minions.percent = Some(round * 100 / 95);
        minions.answer_all(&mut fixture, &names);
    }
    let accepted_ms = fixture.now;
    let whole = Job { accepted_ms, organisation: "o".to_owned(), ..urgent("whole", 64) };
    fixture.handle(Event::Notice(Notice { jobs: vec![whole], ..Notice::default() }));
    while fixture.worker_of("whole").is_empty() && fixture.now < accepted_ms + 4_000 {
        minions.answer_all(&mut fixture, &names);
    }
    let waited = fixture.now - accepted_ms;
    // In this test a stop takes 100 ms, and messages take no time.
    assert!(waited - 100 + STOP_AND_START <= 2_900, "its start was ordered after {waited} ms");
}

/// Returns the time from the submission of an urgent job to the order to start it, in ms. The workers
/// are full of work that should have ended, and does not end.
fn wait_for_overdue_work(slack_milli: u32) -> u64 {
    let names = ["w1", "w2"];
    let (mut fixture, mut minions) = full_workers(&names);
    let submitted = fixture.now;
    let whole = Job { accepted_ms: submitted, slack_milli, ..urgent("whole", 64) };
    fixture.handle(Event::Notice(Notice { jobs: vec![whole], ..Notice::default() }));
    while fixture.worker_of("whole").is_empty() && fixture.now < submitted + 4_000 {
        minions.answer_all(&mut fixture, &names);
    }
    fixture.now - submitted
}

/// Guards against an urgent job that is late because it waits again and again for work that should
/// have ended: its remaining time is zero, so that it was taken for work that ends by itself even
/// when the wait was over.
#[test]
fn overdue_work_is_stopped_when_the_job_would_be_late() {
    let waited = wait_for_overdue_work(1_500);
    assert!(waited <= 500 + 250 + 100 + 400, "started after {waited} ms");
}

/// Guards against nearly completed work that is thrown away for a job that can still wait for it.
#[test]
fn overdue_work_is_waited_for_while_there_is_time() {
    let waited = wait_for_overdue_work(3_000);
    assert!(waited > 500 + 250 + 100 + 400, "started after {waited} ms");
}
