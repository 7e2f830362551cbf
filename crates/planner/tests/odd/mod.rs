//! Tests of records, settings and lists that another writer has left, beside sound ones.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
};

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Fleet, Job, Member, Notice, Progress, Running, Schedule, SpeedShard, Step,
    Tally, UnansweredOn, UnansweredStarts, UnansweredTask, WorkerSpeed,
    catalog::{Catalog, Parts, Queue},
    resources::Resources,
};
use sapphire_planner::{event::Event, keys};
use sapphire_store::call::Item;

use crate::harness::{Fixture, TERM, ended, fleet, item, job, minion, no_starts, run, step};

/// Runs each case and returns the names of those that panic.
fn panicking<T>(cases: Vec<(&'static str, T)>, run: impl Fn(T)) -> Vec<&'static str> {
    let is_panicking = |case| catch_unwind(AssertUnwindSafe(|| run(case))).is_err();
    cases.into_iter().filter_map(|(name, case)| is_panicking(case).then_some(name)).collect()
}

/// A planner that has read records of an earlier term, among them a sound job `j`, and whose worker
/// `a` runs what is placed on it for some time.
fn plan(mut items: Vec<Item>) -> Fixture {
    items.push(item(keys::job("j"), job("j", 1, step(1, false)).encode_to_vec()));
    let has = |key: &str| items.iter().any(|item| item.key == key);
    if !has(keys::FLEET) {
        items.push(fleet(1, &[]));
    }
    let items = if items.iter().any(|item| item.key == keys::UNANSWERED) {
        items
    } else {
        items.push(no_starts(1));
        items
    };
    let mut fixture = Fixture::with_speeds(items);
    follow(&mut fixture);
    fixture
}

/// Has the minion of `a` list what was ordered, for 30 s.
fn follow(fixture: &mut Fixture) {
    fixture.join("a", Vec::new(), Vec::new());
    for time in 0..60 {
        let running = fixture.starts().into_iter().map(|run| Running {
            run: Some(run),
            percent: time,
            ..Running::default()
        });
        let running = running.collect();
        fixture.poll("a", running, Vec::new());
        fixture.advance(500);
    }
}

fn odd_step() -> Step {
    Step { estimate_ms: 1_000, ..step(1, false) }
}

fn odd_jobs() -> Vec<(&'static str, Job)> {
    let sound = || job("odd", 1, odd_step());
    let with = |step: Step| Job { steps: vec![odd_step(), step], ..sound() };
    vec![
        ("no steps", Job { steps: Vec::new(), ..sound() }),
        ("no tasks", with(step(0, false))),
        ("many tasks", with(step(3_000_000, false))),
        ("waits for itself", with(Step { after: vec![1], ..odd_step() })),
        ("waits for no step", with(Step { after: vec![u32::MAX], ..odd_step() })),
        ("estimate", with(Step { estimate_ms: u64::MAX, ..odd_step() })),
        (
            "estimates",
            Job { steps: vec![Step { estimate_ms: u64::MAX, ..odd_step() }; 4], ..sound() },
        ),
        ("other identifier", Job { id: "j".to_owned(), spec: "other".to_owned(), ..sound() }),
        ("no identifier", Job { id: String::new(), ..sound() }),
    ]
}

/// Guards against a planner that ends, and its successors with it, since a record of a job can't
/// have been written by an entry.
#[test]
fn an_odd_record_of_a_job_ends_no_planner() {
    let odd = panicking(odd_jobs(), |job| {
        let fixture = plan(vec![item(keys::job("odd"), job.encode_to_vec())]);
        assert_eq!(fixture.worker_of("j"), "a");
        let known = fixture.planner.table().entries.get("j").map(|entry| entry.job.spec.clone());
        assert_eq!(known.as_deref(), Some("s"));
        assert!(!fixture.planner.table().entries.contains_key("odd"));
    });
    assert!(odd.is_empty(), "{odd:?}");
}

/// Guards against a planner that ends, and its successors with it, since a number in the record of a
/// job is out of range.
#[test]
fn large_numbers_in_a_record_of_a_job_end_no_planner() {
    let all = Resources {
        millicores: u32::MAX.into(),
        memory_mib: u64::MAX,
        accelerators: u32::MAX.into(),
    };
    let large = Step {
        room: Some(all.message()),
        target_ms: u64::MAX,
        max_unavailable: u32::MAX,
        per_worker: u32::MAX,
        ..step(2, false)
    };
    let schedule = |first_ms, interval_ms, times| Some(Schedule { first_ms, interval_ms, times });
    let sound = || job("odd", 1, odd_step());
    let cases = vec![
        ("large step", Job { steps: vec![large.clone()], ..sound() }),
        ("large gang", Job { steps: vec![Step { is_gang: true, ..large }], ..sound() }),
        ("slack", Job { slack_milli: u32::MAX, queue: "none".to_owned(), ..sound() }),
        ("latency", Job { target_latency_ms: u64::MAX, queue: "none".to_owned(), ..sound() }),
        ("priority", Job { priority: u32::MAX, queue: "none".to_owned(), ..sound() }),
        ("accepted", Job { accepted_ms: u64::MAX, ..sound() }),
        ("term", Job { term: u64::MAX, ..sound() }),
        ("late schedule", Job { schedule: schedule(u64::MAX, u64::MAX, u32::MAX), ..sound() }),
        ("schedule", Job { schedule: schedule(0, u64::MAX, u32::MAX), ..sound() }),
    ];
    let odd = panicking(cases, |job| {
        let fixture = plan(vec![item(keys::job("odd"), job.encode_to_vec())]);
        assert_eq!(fixture.worker_of("j"), "a");
    });
    assert!(odd.is_empty(), "{odd:?}");
}

/// Guards against a planner that ends, and its successors with it, since a queue's objective is out
/// of range.
#[test]
fn odd_numbers_of_a_queue_end_no_planner() {
    let queue = || Queue {
        name: "q".to_owned(),
        service: "desk".to_owned(),
        max_attempts: 2,
        slack: 3.0,
        priority: 1,
        ..Queue::default()
    };
    let cases = vec![
        ("slack", Queue { slack: 1e300, ..queue() }),
        ("negative slack", Queue { slack: -1e300, ..queue() }),
        ("latency", Queue { target_latency: std::time::Duration::MAX, ..queue() }),
        ("priority", Queue { priority: u32::MAX, max_attempts: u32::MAX, ..queue() }),
    ];
    let odd = panicking(cases, |queue| {
        let mut fixture = Fixture::new(vec![fleet(1, &[])]);
        let catalog = Catalog::new(Parts { queues: vec![queue], ..Parts::default() });
        fixture.handle(Event::Catalog(Arc::new(catalog)));
        let job = job("j", TERM, step(1, false));
        fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
        follow(&mut fixture);
        assert_eq!(fixture.worker_of("j"), "a");
    });
    assert!(odd.is_empty(), "{odd:?}");
}

/// Guards against a planner that ends since a minion lists a run or an end of another writer.
#[test]
fn odd_runs_in_a_list_end_no_planner() {
    let numbers = [0, 1 << 30, u32::MAX - 1, u32::MAX];
    let cases = numbers.map(|number| ("run", number)).to_vec();
    let odd = panicking(cases, |number| {
        let mut fixture = Fixture::new(vec![fleet(1, &[])]);
        let job = job("j", TERM, step(1, false));
        fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
        let odd = Running { run: Some(run("j", 0, number)), ..Running::default() };
        fixture.join("a", vec![odd.clone()], Vec::new());
        for _ in 0..5 {
            fixture.poll("a", vec![odd.clone()], Vec::new());
            fixture.advance(500);
        }
        let end = |number, run| ended(number, run, Ending::Stopped);
        let ends: Vec<Ended> = vec![end(1, run("j", 0, number)), end(2, run("j", u32::MAX, 1))];
        fixture.poll("a", Vec::new(), ends);
        follow(&mut fixture);
        let run = fixture.starts().pop().expect("the task is started");
        assert!(run.run < u32::MAX / 2, "the next run has number {}", run.run);
    });
    assert!(odd.is_empty(), "{odd:?}");
}

/// Guards against a planner that ends, and its successors with it, since a record of an earlier
/// planner was damaged.
#[test]
fn odd_records_of_earlier_planners_end_no_planner() {
    let numbers = [0, 1, 1 << 30, u32::MAX];
    let tally = |number: u32| Tally {
        occurrence: number,
        step: number,
        index: number,
        failed_runs: vec![number, number],
        took_ms: u64::MAX,
        ..Tally::default()
    };
    let tallies = || numbers.into_iter().map(tally).collect::<Vec<_>>();
    let progress = |progress: Progress| item(keys::progress("j"), progress.encode_to_vec());
    let member = |name: &str| Member { name: name.to_owned(), ..Member::default() };
    let start = |number: u32| UnansweredTask {
        job: "j".to_owned(),
        occurrence: number,
        step: number,
        index: number,
        run: number,
        until_ms: u64::MAX,
        generation: u64::MAX,
        ..UnansweredTask::default()
    };
    let handover = |term: u32, write: u64| {
        let tasks = numbers.into_iter().map(start).collect();
        let on = UnansweredOn { worker: "a".to_owned(), tasks, ..UnansweredOn::default() };
        let record =
            UnansweredStarts { workers: vec![on], term, write, ..UnansweredStarts::default() };
        item(keys::UNANSWERED.to_owned(), record.encode_to_vec())
    };
    let speed = |log_milli: i32, weight: u32| WorkerSpeed {
        worker: "a".to_owned(),
        log_milli,
        weight,
        minion: minion("a").id,
        ..WorkerSpeed::default()
    };
    let speeds = |speed: WorkerSpeed| {
        let shard = SpeedShard { workers: vec![speed], is_unequal: true };
        item(keys::speeds(0), shard.encode_to_vec())
    };
    let bytes = |key: String| vec![item(key, b"\xff".to_vec())];
    let cases = vec![
        ("progress", vec![progress(Progress { tallies: tallies(), ..Progress::default() })]),
        ("tally", vec![progress(Progress { tallies: vec![tally(0)], ..Progress::default() })]),
        (
            "state",
            vec![progress(Progress { state: 99, tallies: tallies(), ..Progress::default() })],
        ),
        ("progress bytes", bytes(keys::progress("j"))),
        ("progress of none", vec![item(keys::progress("none"), Vec::new())]),
        ("fleet bytes", bytes(keys::FLEET.to_owned())),
        (
            "fleet",
            vec![{
                let members = vec![member(""), member("a"), member("a")];
                item(
                    keys::FLEET.to_owned(),
                    Fleet { terms: 5, members, ..Fleet::default() }.encode_to_vec(),
                )
            }],
        ),
        (
            "terms",
            vec![{
                let fleet = Fleet { terms: u32::MAX, ..Fleet::default() };
                item(keys::FLEET.to_owned(), fleet.encode_to_vec())
            }],
        ),
        ("handover bytes", bytes(keys::UNANSWERED.to_owned())),
        ("handover", vec![handover(1, 1)]),
        ("handover numbers", vec![handover(u32::MAX, u64::MAX)]),
        ("speed bytes", bytes(keys::speeds(0))),
        ("fast", vec![speeds(speed(i32::MIN, u32::MAX))]),
        ("slow", vec![speeds(speed(i32::MAX, u32::MAX))]),
        ("no weight", vec![speeds(speed(i32::MAX, 0))]),
        ("cancel of none", vec![item(keys::cancel("none"), Vec::new())]),
        ("other", vec![item("s/in/job/".to_owned(), Vec::new())]),
    ];
    let odd = panicking(cases, |items| drop(plan(items)));
    assert!(odd.is_empty(), "{odd:?}");
}
