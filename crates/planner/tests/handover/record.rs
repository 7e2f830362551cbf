//! Tests of the writes of the handover record, and of how it is read.

use prost::Message as _;
use sapphire_jobs::{Notice, UnansweredOn, UnansweredStarts, UnansweredTask};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, TERM, fleet, item, job, run, step};

/// Returns a planner with idle workers whose writes of the record the test answers.
fn planning() -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.answers_records = false;
    fixture.join("a", Vec::new(), Vec::new());
    fixture.join("b", Vec::new(), Vec::new());
    fixture
}

fn submit(fixture: &mut Fixture, id: &str) {
    let jobs = vec![job(id, TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
}

/// Takes the writes of the record that were not answered.
fn writes(fixture: &mut Fixture) -> Vec<(Operation, String, UnansweredStarts)> {
    let calls = std::mem::take(&mut fixture.calls).into_iter();
    let is_write =
        |(operation, _): &(Operation, Call)| matches!(operation, Operation::Unanswered(_));
    let write = |(operation, call): (Operation, Call)| {
        let Call::Commit { puts, .. } = call else { panic!("the record is committed") };
        let record = UnansweredStarts::decode(&puts[0].value[..]).expect("it is a record");
        (operation, puts[0].key.clone(), record)
    };
    calls.filter(is_write).map(write).collect()
}

/// Returns the jobs whose starts a record contains.
fn jobs_of(record: &UnansweredStarts) -> Vec<&str> {
    let tasks = record.workers.iter().flat_map(|on| &on.tasks);
    let mut jobs: Vec<&str> = tasks.map(|task| task.job.as_str()).collect();
    jobs.sort_unstable();
    jobs
}

/// Polls of both workers, so that orders can be sent.
fn poll(fixture: &mut Fixture) {
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.poll("b", Vec::new(), Vec::new());
}

/// Guards against a task that runs twice: its start is sent and is in no record when the processes
/// that know of it are lost.
#[test]
fn no_order_is_sent_before_its_record_is_written() {
    let mut fixture = planning();
    submit(&mut fixture, "j");
    for reply in [Reply::Unavailable("timeout".to_owned()), Reply::NotDone("busy".to_owned())] {
        let (operation, _, record) = writes(&mut fixture).pop().expect("it is written");
        assert_eq!(jobs_of(&record), ["j"]);
        fixture.handle(Event::Store(operation, reply));
        poll(&mut fixture);
        fixture.advance(150);
        assert_eq!(fixture.starts(), []);
    }
    let (operation, ..) = writes(&mut fixture).pop().expect("it is written again");
    fixture.handle(Event::Store(operation, Reply::Committed(70)));
    assert_eq!(fixture.starts(), [run("j", 0, 1_001)]);
}

/// Guards against a start that waits for ever: its record was written, but the answer was lost, so that
/// the next write is refused.
#[test]
fn a_record_that_was_written_without_an_answer_counts() {
    let mut fixture = planning();
    submit(&mut fixture, "j");
    let (first, key, record) = writes(&mut fixture).pop().expect("it is written");
    fixture.handle(Event::Store(first, Reply::Unavailable("timeout".to_owned())));
    fixture.advance(150);
    let (second, ..) = writes(&mut fixture).pop().expect("it is written again");
    let lead = Item { key: keys::LEAD.to_owned(), value: Some(Vec::new().into()), revision: TERM };
    let found = Item { revision: 71, ..item(key, record.encode_to_vec()) };
    fixture.handle(Event::Store(second, Reply::Refused(vec![lead, found])));
    poll(&mut fixture);
    assert_eq!(fixture.starts(), [run("j", 0, 1_001)]);
}

/// Guards against starts that wait for a reply that is late or lost: the record is written to another
/// slot, with all starts.
#[test]
fn a_write_without_an_answer_holds_up_no_other() {
    let mut fixture = planning();
    submit(&mut fixture, "j");
    let (_, first, _) = writes(&mut fixture).pop().expect("it is written");
    submit(&mut fixture, "k");
    fixture.advance(100);
    let (operation, second, record) = writes(&mut fixture).pop().expect("it is written");
    assert_ne!(first, second);
    assert_eq!(jobs_of(&record), ["j", "k"]);
    poll(&mut fixture);
    fixture.handle(Event::Store(operation, Reply::Committed(70)));
    assert_eq!(fixture.starts().len(), 2);
}

/// Guards against a start that waits for a lost reply.
#[test]
fn a_write_without_an_answer_is_repeated() {
    let mut fixture = planning();
    submit(&mut fixture, "j");
    let (_, first, _) = writes(&mut fixture).pop().expect("it is written");
    fixture.advance(150);
    assert_eq!(writes(&mut fixture).len(), 0);
    fixture.advance(100);
    let repeated = writes(&mut fixture);
    assert_eq!(repeated.len(), 1);
    assert_ne!(first, repeated[0].1);
    fixture.advance(1_000);
    assert_eq!(writes(&mut fixture).len(), 0, "two are on their way");
}

/// Returns a slot of a record of a write with the start of a task on worker `a`.
fn slot(slot: usize, term: u32, write: u64, job: &str) -> Item {
    let task = UnansweredTask { job: job.to_owned(), run: 1, ..UnansweredTask::default() };
    let on = UnansweredOn { worker: "a".to_owned(), tasks: vec![task], ..UnansweredOn::default() };
    let record = UnansweredStarts { workers: vec![on], term, write, ..UnansweredStarts::default() };
    item(keys::unanswered(slot), record.encode_to_vec())
}

/// Guards against a task that runs twice, and against one that waits without need: the latest write
/// counts, whichever slot it went to.
#[test]
fn the_latest_write_counts() {
    for (first, second) in [((2, 9), (3, 1)), ((3, 1), (2, 9)), ((3, 1), (3, 2))] {
        let waiting = if first > second { "j" } else { "k" };
        let fixture = Fixture::new(vec![
            fleet(3, &["a"]),
            item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
            item(keys::job("k"), job("k", 10, step(1, false)).encode_to_vec()),
            slot(0, first.0, first.1, "j"),
            slot(1, second.0, second.1, "k"),
        ]);
        let recorded = fixture.log.iter().filter(|line| line.contains("recorded starts="));
        let recorded: Vec<&String> = recorded.collect();
        assert_eq!(recorded, [&format!("worker=a recorded starts={waiting}/0/0/0#1@0")]);
    }
}

/// Guards against a task that runs twice: a planner that lacks starts of earlier terms is lost while it
/// waits for them to expire, and its successor takes its record for complete.
#[test]
fn an_incomplete_record_is_marked() {
    let stored = item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec());
    let mut fixture = Fixture::reading();
    let items = vec![fleet(1, &["a"]), stored.clone()];
    fixture.handle(Event::Store(
        Operation::Scan,
        Reply::Items { items, has_more: false, revision: 40 },
    ));
    let Some((Operation::Fleet, Call::Commit { puts, .. })) = fixture.calls.pop() else {
        panic!("the term is recorded")
    };
    let record = puts.iter().find(|put| put.key == keys::UNANSWERED).expect("with the record");
    let record = item(record.key.clone(), record.value.to_vec());
    let mut next = Fixture::new(vec![fleet(2, &["a"]), record, stored]);
    next.join("a", Vec::new(), Vec::new());
    for _ in 0..11_500 / 500 {
        next.advance(500);
        next.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(next.starts(), []);
    for _ in 0..6 {
        next.advance(500);
        next.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(next.starts().len(), 1);
}

/// Guards against a task that runs twice: the list of workers was unreadable, so that the terms are
/// counted from 1 again. A record of an earlier term, with a higher number, says nothing about the
/// starts of the latest one.
#[test]
fn a_record_of_a_higher_term_is_not_that_of_the_latest_term() {
    let fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        slot(0, 1, 2, "j"),
        slot(1, 57, 3, "k"),
    ]);
    let is_known = fixture.log.iter().any(|line| line.contains("recorded starts=j/0/0/0#1@0"));
    let waits = fixture.log.iter().any(|line| line.contains("nothing is started until"));
    assert!(is_known || waits, "{}", fixture.log.join("\n"));
}
