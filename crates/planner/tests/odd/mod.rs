//! Tests of records, settings and lists that another writer has left, beside sound ones.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
};

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Job, Notice, Running, Schedule, Step,
    catalog::{Catalog, Parts, Queue},
    resources::Resources,
};
use sapphire_planner::{event::Event, keys};
use sapphire_store::call::Item;

use crate::harness::{Fixture, TERM, ended, fleet, item, job, no_starts, run, step};

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
