//! Tests of jobs that repeat.

use sapphire_jobs::{Notice, State, Step, resources::Resources};
use sapphire_planner::event::Event;

use super::{
    MEMORY, Minion, answer_writes, assert_within, planner, record, repeated, state, submit,
};
use crate::harness::{Fixture, START, TERM, fleet, job, merge, no_starts, step};

/// Returns how often a task of a job has begun, at most.
fn repeats(minion: &Minion) -> usize {
    let count = |run: &sapphire_jobs::Run| {
        let is_same = |other: &sapphire_jobs::Run| {
            (&other.job, other.occurrence, other.index) == (&run.job, run.occurrence, run.index)
        };
        minion.starts.iter().filter(|(_, other)| is_same(other)).count()
    };
    minion.starts.iter().map(|(_, run)| count(run)).max().unwrap_or(0)
}

/// Guards against a planner that exceeds its memory: occurrences become due faster than they are run. An
/// ordinary job starts beside them, and a cancellation frees what they take.
#[test]
fn occurrences_that_are_due_take_no_more_than_their_share() {
    let mut fixture = planner(MEMORY, Vec::new());
    submit(&mut fixture, repeated("large", 200, 10, 1_000_000));
    let mut minion = Minion::new(500);
    minion.run(&mut fixture, "a", 20_000);
    let used = assert_within(&fixture);
    assert!(used > MEMORY / 8, "{used} bytes");
    assert!(fixture.log.iter().any(|line| line.contains("waits for memory")));
    assert_eq!(fixture.planner.table().held(), 1);
    let before = minion.starts_of("large").len();
    submit(&mut fixture, job("ordinary", TERM, step(4, false)));
    minion.run(&mut fixture, "a", 1_500);
    assert_eq!(minion.starts_of("ordinary").len(), 4);
    minion.run(&mut fixture, "a", 5_000);
    assert!(minion.starts_of("large").len() > before, "it goes on");
    assert_eq!(repeats(&minion), 1);
    let cancelled = vec!["large".to_owned()];
    fixture.handle(Event::Notice(Notice { cancelled, ..Notice::default() }));
    assert_eq!(state(&fixture, "large"), Some(State::Cancelled));
    assert!(assert_within(&fixture) < MEMORY / 64);
    let before = minion.starts_of("large").len();
    minion.run(&mut fixture, "a", 2_000);
    assert_eq!(minion.starts_of("large").len(), before);
}

/// Guards against occurrences that wait for earlier ones which last: they overlap, and all of them fit.
#[test]
fn occurrences_that_overlap_start_when_they_are_due() {
    let mut fixture = planner(MEMORY, Vec::new());
    let small = Resources { millicores: 100, memory_mib: 10, accelerators: 0 };
    let tasks = Step { room: Some(small.message()), estimate_ms: 20_000, ..step(2, false) };
    submit(&mut fixture, sapphire_jobs::Job { steps: vec![tasks], ..repeated("j", 2, 500, 60) });
    let mut minion = Minion::new(20_000);
    minion.run(&mut fixture, "a", 31_000);
    assert_eq!(minion.starts_of("j").len(), 120);
    for (at, run) in minion.starts_of("j") {
        let due = START + u64::from(run.occurrence) * 500;
        assert!((due..due + 250).contains(at), "occurrence {} at {at}", run.occurrence);
    }
    minion.run(&mut fixture, "a", 21_000);
    assert_eq!(state(&fixture, "j"), Some(State::Complete));
    assert_eq!(repeats(&minion), 1);
}

/// Guards against a planner that exceeds its memory because a minion lists what another writer has made
/// up: runs of occurrences that are due and that nobody has started.
#[test]
fn listed_runs_of_many_occurrences_add_a_bounded_number() {
    let mut fixture = planner(MEMORY, Vec::new());
    submit(&mut fixture, repeated("large", 200, 10, 1_000_000));
    fixture.advance(30_000);
    let running = (0..3_000).map(|occurrence| {
        let run = sapphire_jobs::Run { occurrence, ..crate::harness::run("large", 0, 1_001) };
        sapphire_jobs::Running { run: Some(run), ..sapphire_jobs::Running::default() }
    });
    fixture.join("a", running.collect(), Vec::new());
    let table = fixture.planner.table();
    assert!(table.account.used() <= MEMORY, "{} bytes", table.account.used());
}

/// Guards against a job that waits for memory for ever which its own occurrences take that are done.
#[test]
fn occurrences_that_are_done_leave_memory_to_the_next() {
    let mut fixture = planner(1 << 20, Vec::new());
    submit(&mut fixture, repeated("j", 300, 100, 6));
    let mut minion = Minion::new(100);
    minion.run(&mut fixture, "a", 70_000);
    assert_eq!(state(&fixture, "j"), Some(State::Complete), "{:?}", fixture.log.last());
    assert_eq!(minion.starts_of("j").len(), 1_800);
    assert_eq!(repeats(&minion), 1);
}

/// Guards against a small job that waits for memory behind a large one that repeats, and the other way
/// round.
#[test]
fn jobs_that_repeat_share_the_memory() {
    let mut fixture = planner(MEMORY, Vec::new());
    for id in ["a-first", "b-second"] {
        submit(&mut fixture, repeated(id, 300, 10, 1_000_000));
    }
    let mut minion = Minion::new(500);
    minion.run(&mut fixture, "a", 10_000);
    assert_within(&fixture);
    let kept: Vec<u64> =
        fixture.planner.table().entries.values().map(|entry| entry.kept.all()).collect();
    let (least, most) = (kept.iter().min(), kept.iter().max());
    assert!(least.copied().unwrap_or(0) * 2 > most.copied().unwrap_or(0), "{kept:?}");
}

/// Guards against tasks that run again under a successor, since nothing but the number of their
/// occurrences is recorded, and against a record that grows with all that was ever done.
#[test]
fn a_successor_goes_on_after_the_occurrences_that_are_done() {
    let mut items = vec![fleet(1, &[]), no_starts(1), record(&repeated("j", 100, 400, 12))];
    let options = super::with_memory(MEMORY);
    let mut fixture = Fixture::with_options(options.clone(), items.clone());
    fixture.join("a", Vec::new(), Vec::new());
    let mut minion = Minion::new(300);
    for _ in 0..300 {
        fixture.advance(50);
        minion.poll(&mut fixture, "a");
        merge(&mut items, &fixture);
        answer_writes(&mut fixture);
    }
    let entry = &fixture.planner.table().entries["j"];
    assert!(entry.completed > 0, "{} of {}", entry.completed, entry.occurrences);
    let progress = entry.progress();
    assert_eq!(progress.completed, entry.completed);
    assert!(progress.tallies.iter().all(|tally| tally.occurrence >= progress.completed));
    let (now, completed) = (fixture.now, entry.completed);
    let mut next = Fixture::term_with(options, TERM + 20, now, 0);
    next.answers_intake = true;
    next.answers_records = true;
    next.reply(sapphire_store::call::Reply::Items { items, has_more: false, revision: 90 });
    next.reply(sapphire_store::call::Reply::Committed(91));
    assert!(next.planner.table().entries["j"].completed >= completed.saturating_sub(2));
    next.join("a", Vec::new(), Vec::new());
    minion.run(&mut next, "a", 90_000);
    assert_eq!(state(&next, "j"), Some(State::Complete), "{:?}", next.log.last());
    assert_eq!(minion.starts_of("j").len(), 1_200);
    assert_eq!(repeats(&minion), 1);
}
