//! Tests of planners that begin on what stands in the store.

use prost::Message as _;
use sapphire_jobs::{Job, Notice, Progress, State, Tally};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply, Value};

use super::{
    MEMORY, Minion, assert_within, planner, record, repeated, state, submit, unplaced, with_memory,
};
use crate::harness::{Fixture, START, TERM, fleet, item, job, no_starts, step};

/// Guards against planners that exceed their memory one after the other: all occurrences that have become
/// due since the job was accepted are added when a planner begins.
#[test]
fn a_planner_that_begins_after_a_long_time_keeps_its_share() {
    let mut large = repeated("large", 200, 10, 1_000_000);
    large.schedule.as_mut().expect("it repeats").first_ms = START - 90_000;
    large.accepted_ms = START - 90_000;
    let mut fixture = planner(MEMORY, vec![record(&large)]);
    assert_within(&fixture);
    let mut minion = Minion::new(500);
    minion.run(&mut fixture, "a", 2_000);
    submit(&mut fixture, job("ordinary", TERM, step(4, false)));
    minion.run(&mut fixture, "a", 1_500);
    assert_eq!(minion.starts_of("ordinary").len(), 4);
    assert_within(&fixture);
}

/// Guards against the same by many jobs that can't be placed. They wait in turn, an ordinary job starts
/// beside them, and one of them can be cancelled.
#[test]
fn many_large_jobs_take_no_more_than_their_share() {
    let jobs = (0..60).map(|at| record(&job(&format!("large-{at:02}"), 1, unplaced(800))));
    let mut fixture = planner(MEMORY, jobs.collect());
    let used = assert_within(&fixture);
    assert!(used > MEMORY / 4, "{used} bytes");
    let table = fixture.planner.table();
    let begun: Vec<String> = (table.entries.iter())
        .filter(|(_, entry)| !entry.groups.is_empty())
        .map(|(id, _)| id.clone())
        .collect();
    assert!(!begun.is_empty() && begun.len() < 60);
    let mut minion = Minion::new(500);
    submit(&mut fixture, job("ordinary", TERM, step(4, false)));
    minion.run(&mut fixture, "a", 1_500);
    assert_eq!(minion.starts_of("ordinary").len(), 4);
    let cancelled = begun.clone();
    fixture.handle(Event::Notice(Notice { cancelled, ..Notice::default() }));
    minion.run(&mut fixture, "a", 1_000);
    for id in &begun {
        assert_eq!(state(&fixture, id), Some(State::Cancelled));
    }
    let table = fixture.planner.table();
    let others = table.entries.values().filter(|it| !it.is_over() && !it.groups.is_empty()).count();
    assert!(others > 1, "others take their place");
    assert_within(&fixture);
}

/// Replies to the reads of single records from these items.
fn answer_reads(fixture: &mut Fixture, items: &[Item]) {
    while let Some((Operation::Begun, Call::Get { key })) = fixture.calls.last().cloned() {
        fixture.calls.pop();
        let found = items.iter().find(|item| item.key == key);
        let value = found.map_or_else(Value::default, |item| Value {
            bytes: item.value.clone().unwrap_or_default(),
            revision: item.revision,
        });
        fixture.handle(Event::Store(Operation::Begun, Reply::Value(value)));
    }
}

/// Returns a planner with little memory that has read more jobs than it holds, of which one has begun.
fn overfull() -> (Fixture, Vec<Item>) {
    let jobs = (0..2_000).map(|at| record(&job(&format!("j{at:04}"), 1, step(2, false))));
    let mut items: Vec<Item> = jobs.collect();
    let tally = Tally { index: 0, is_done: true, took_ms: 400, ..Tally::default() };
    let progress =
        Progress { tallies: vec![tally], state: State::Active.into(), ..Progress::default() };
    items.push(item(keys::progress("j1999"), progress.encode_to_vec()));
    items.extend([fleet(1, &[]), no_starts(1)]);
    let mut fixture = Fixture::term_with(with_memory(2 << 20), TERM, START, 0);
    fixture.answers_records = true;
    fixture.reply(Reply::Items { items: items.clone(), has_more: false, revision: 40 });
    answer_reads(&mut fixture, &items);
    fixture.reply(Reply::Committed(60));
    (fixture, items)
}

/// Guards against a planner that exceeds its memory by the records of jobs alone, and against a task that
/// is done and runs again, since its job was left out at the start.
#[test]
fn jobs_that_have_begun_are_loaded_whatever_else_is_left_out() {
    let (fixture, _) = overfull();
    let table = fixture.planner.table();
    assert!(table.entries.len() < 1_000, "{}", table.entries.len());
    assert!(table.account.used() <= table.account.limit() + 8_192);
    let left_out = fixture.planner.load().left_out;
    assert_eq!(left_out, 2_000 - table.entries.len());
    let entry = &table.entries["j1999"];
    assert_eq!(entry.groups.values().filter(|group| group.is_final()).count(), 1);
}

/// Guards against accepted jobs that never start since they were left out.
#[test]
fn jobs_that_were_left_out_are_loaded_once_there_is_memory() {
    let (mut fixture, items) = overfull();
    fixture.join("a", Vec::new(), Vec::new());
    let mut minion = Minion::new(100);
    let mut removed: Vec<String> = Vec::new();
    for _ in 0..16_000 {
        fixture.advance(50);
        minion.poll(&mut fixture, "a");
        for (operation, call) in std::mem::take(&mut fixture.calls) {
            if let Call::Commit { removes, .. } = &call {
                removed.extend(removes.iter().cloned());
            }
            let reply = match (&operation, call) {
                (Operation::Intake, Call::Scan { after, .. }) => {
                    let jobs = items.iter().filter(|it| {
                        matches!(keys::parse(&it.key), keys::Key::Job(_)) && it.key > after
                    });
                    let mut page: Vec<Item> =
                        jobs.filter(|item| !removed.contains(&item.key)).cloned().collect();
                    let has_more = page.len() > 500;
                    page.truncate(500);
                    Reply::Items { items: page, has_more, revision: 70 }
                }
                (Operation::Intake, _) => Reply::Changes { items: Vec::new(), revision: 70 },
                _ => Reply::Committed(80),
            };
            fixture.handle(Event::Store(operation, reply));
        }
        if minion.starts.len() == 3_999 {
            break;
        }
    }
    assert_eq!(minion.starts.len(), 3_999, "{:?}", fixture.planner.load());
    let of_begun = minion.starts_of("j1999");
    assert_eq!(of_begun.len(), 1);
    assert_eq!(of_begun[0].1.index, 1);
}

/// Guards against memory that is taken by what callers are told nothing of: the tasks of jobs that are
/// over.
#[test]
fn jobs_that_are_over_keep_no_groups() {
    let done = |index| Tally { index, is_done: true, took_ms: 400, ..Tally::default() };
    let progress = Progress {
        tallies: (0..1_000).map(done).collect(),
        state: State::Complete.into(),
        ..Progress::default()
    };
    let stored: Job = job("old", 1, step(1_000, false));
    let items = vec![record(&stored), item(keys::progress("old"), progress.encode_to_vec())];
    let mut fixture = planner(MEMORY, items);
    assert_eq!(state(&fixture, "old"), Some(State::Complete));
    submit(&mut fixture, job("new", TERM, step(8, false)));
    let mut minion = Minion::new(300);
    minion.run(&mut fixture, "a", 2_000);
    assert_eq!(state(&fixture, "new"), Some(State::Complete));
    // Starts of its tasks may still be carried out for a while.
    minion.run(&mut fixture, "a", 13_000);
    assert_eq!(fixture.planner.table().groups(), 0);
    assert!(assert_within(&fixture) < MEMORY / 64);
}
