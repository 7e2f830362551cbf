//! Tests of the learning of workers' speeds, and of its records in the store.

use prost::Message as _;
use sapphire_jobs::{Incarnation, Poll, Running, SpeedShard, WorkerSpeed};
use sapphire_planner::{event::Event, event::Operation, keys};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, TERM, fleet, item, job, minion, no_starts, run, step};

/// Returns the call that writes a shard, and removes it from the calls.
fn written(fixture: &mut Fixture) -> Option<(Operation, SpeedShard, u64)> {
    let is_shard = |operation: &Operation| matches!(operation, Operation::Speeds(_));
    let at = fixture.calls.iter().position(|(operation, _)| is_shard(operation))?;
    let (operation, Call::Commit { conditions, puts, .. }) = fixture.calls.remove(at) else {
        panic!("shards are committed")
    };
    assert_eq!((conditions[0].key.as_str(), conditions[0].revision), (keys::LEAD, TERM));
    let shard = SpeedShard::decode(&puts[0].value[..]).expect("the record is valid");
    Some((operation, shard, conditions[1].revision))
}

/// Answers the write of a shard that contains one worker, and returns the next, which contains both.
fn written_both(fixture: &mut Fixture) -> (Operation, SpeedShard, u64) {
    let (operation, shard, revision) = written(fixture).expect("a shard is written");
    assert_eq!((shard.workers.len(), revision), (1, 0));
    fixture.handle(Event::Store(operation, Reply::Committed(79)));
    fixture.advance(2_500);
    written(fixture).expect("the shard is written again")
}

/// Lets two workers join and run a job of 16 tasks, of which those on `b` take longer.
fn learned(mut fixture: Fixture, id: &str) -> Fixture {
    fixture.join("a", Vec::new(), Vec::new());
    fixture.join("b", Vec::new(), Vec::new());
    fixture.handle(Event::Notice(sapphire_jobs::Notice {
        jobs: vec![job(id, TERM, step(16, false))],
        ..Default::default()
    }));
    fixture.advance(200);
    for percent in 0..20 {
        for (name, speed) in [("a", 5), ("b", 3)] {
            let runs = fixture.planner.workers()[name].runs.clone();
            let running = runs.iter().map(|(task, it)| Running {
                run: Some(run(id, task.index, it.number)),
                percent: (percent * speed).min(99),
                ..Running::default()
            });
            fixture.poll(name, running.collect(), Vec::new());
        }
        fixture.advance(250);
    }
    fixture
}

/// The record of two workers of which one takes three times as long.
fn shard() -> SpeedShard {
    let row = |name: &str, log_milli: i32| WorkerSpeed {
        worker: name.to_owned(),
        machine: 0,
        minion: format!("m-{name}"),
        log_milli,
        weight: 200,
    };
    SpeedShard { workers: vec![row("a", -550), row("b", 550)], is_unequal: true }
}

fn stored(value: Vec<u8>) -> Vec<Item> {
    vec![fleet(1, &[]), no_starts(1), item(keys::speeds(0), value)]
}

fn has_logged(fixture: &Fixture, text: &str) -> bool {
    fixture.log.iter().any(|line| line.contains(text))
}

/// Guards against a planner that learns without the setting.
#[test]
fn nothing_is_learned_or_written_without_the_setting() {
    let mut fixture = learned(Fixture::new(stored(shard().encode_to_vec())), "j");
    assert_eq!(written(&mut fixture), None);
    assert_eq!(fixture.planner.speeds_status(), None);
    assert!(!has_logged(&fixture, "speeds"));
}

/// Guards against evidence that is counted twice: each run is observed once.
#[test]
fn each_run_is_observed_once_and_written() {
    let mut fixture = learned(Fixture::with_speeds(vec![no_starts(0)]), "j");
    let status = fixture.planner.speeds_status().expect("learning is on");
    assert!((14..=16).contains(&status.observations), "{status:?}");
    let (operation, shard, revision) = written_both(&mut fixture);
    assert_eq!((shard.workers.len(), revision), (2, 79));
    let Operation::Speeds(0) = operation else { panic!("there is one shard") };
}

/// Guards against a refused or unanswered write after which nothing is written any more.
#[test]
fn a_shard_is_written_again_after_a_refusal_and_an_outage() {
    let mut fixture = learned(Fixture::with_speeds(vec![no_starts(0)]), "j");
    let (operation, ..) = written(&mut fixture).expect("a shard is written");
    let lead = Item { revision: TERM, ..item(keys::LEAD.to_owned(), Vec::new()) };
    let found = Item { revision: 77, ..item(keys::speeds(0), Vec::new()) };
    fixture.handle(Event::Store(operation, Reply::Refused(vec![lead, found])));
    fixture.advance(200);
    let (operation, _, revision) = written(&mut fixture).expect("the write is repeated");
    assert_eq!(revision, 77);
    fixture.handle(Event::Store(operation, Reply::Unavailable(String::new())));
    fixture.advance(2_500);
    let (operation, ..) = written(&mut fixture).expect("the write is repeated");
    fixture.handle(Event::Store(operation, Reply::Committed(80)));
    fixture.advance(5_000);
    assert_eq!(fixture.planner.speeds_status().map(|status| status.writes), Some(1));
    assert_eq!(written(&mut fixture), None);
}

/// Guards against speeds that are lost with the planner, or with all processes at once.
#[test]
fn a_successor_restores_the_speeds() {
    let fixture = Fixture::with_speeds(stored(shard().encode_to_vec()));
    assert!(has_logged(&fixture, "speeds restored: workers=2 unequal="));
}

/// Guards against a term that cannot begin because a record is unreadable.
#[test]
fn an_unreadable_shard_is_logged_and_replaced() {
    let mut fixture = learned(Fixture::with_speeds(stored(vec![0xff; 7])), "j");
    assert!(has_logged(&fixture, "shard=0 can't be decoded"));
    assert_eq!(written(&mut fixture).map(|(.., revision)| revision), Some(30));
}

/// Guards against the speed of a machine that is used for the one that has replaced it.
#[test]
fn the_speed_of_another_machine_is_forgotten() {
    let mut fixture = learned(Fixture::with_speeds(vec![no_starts(0)]), "j");
    let (operation, shard, _) = written_both(&mut fixture);
    fixture.handle(Event::Store(operation, Reply::Committed(80)));
    let weight = |shard: &SpeedShard, name: &str| {
        shard.workers.iter().find(|row| row.worker == name).map_or(0, |row| row.weight)
    };
    let value = shard.encode_to_vec();
    let mut next = Fixture::with_speeds(stored(value.clone()));
    let same = Incarnation { id: "other".to_owned(), ..minion("a") };
    next.report("a", Poll { incarnation: Some(same), ..Poll::default() });
    let other = Incarnation { rack: "other".to_owned(), ..minion("b") };
    next.report("b", Poll { incarnation: Some(other), ..Poll::default() });
    assert!(has_logged(&next, "worker=b is another machine now"));
    assert!(!has_logged(&next, "worker=a is another machine now"));
    next.advance(5_000);
    let (_, after, _) = written(&mut next).expect("the shard is written again");
    assert_eq!(weight(&after, "b"), 0);
    assert!(weight(&after, "a") > 0 && weight(&after, "a") < weight(&shard, "a"));
}
