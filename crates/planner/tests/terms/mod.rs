//! Tests of the start of a term, and of what is made durable in it.

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{Ending, FeedPoll, Notice, Progress, Running, State, Step, Tally};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, TERM, ended, fleet, item, job, no_starts, resources, run, step};

/// Guards against a task that is started more often than its queue allows. It failed once according
/// to the store and once more during a change of planners; only its minion lists the second
/// failure. The successor must count it although it did not order that run.
#[test]
fn failures_of_runs_that_an_earlier_planner_ordered_count() {
    let progress = Progress {
        tallies: vec![Tally { failed_runs: vec![1], ..Tally::default() }],
        state: State::Active.into(),
        ..Progress::default()
    };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), vec![ended(1, run("j", 0, 2), Ending::Faulty)]);
    fixture.advance(2_000);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), Vec::new());
    let entry = &fixture.planner.table().entries["j"];
    assert_eq!(entry.state, State::Failed);
}

/// Guards against a task that runs twice: a worker of the previous planner does not answer the new
/// one. A task that may be running there is not started elsewhere before the worker's lease has
/// certainly expired.
#[test]
fn a_task_that_an_unaccounted_worker_may_run_is_not_started() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    for _ in 0..9 {
        fixture.advance(500);
        fixture.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(fixture.starts(), Vec::new());
    for _ in 0..20 {
        fixture.advance(500);
        fixture.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(fixture.starts().len(), 1, "the lease has expired, but the task was not started");
}

/// A job of this term cannot have been started by an earlier planner, so it does not wait for
/// unaccounted workers.
#[test]
fn a_job_of_this_term_starts_at_once() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(2, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|run| run.run == 1_001), "above any run of the term before");
}

/// A gang that lacks a member after a change of planners cannot continue: its remaining members are
/// stopped, and the complete gang starts again.
#[test]
fn an_incomplete_gang_is_stopped() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(2, true)).encode_to_vec()),
    ]);
    let part = Running { run: Some(run("j", 0, 1)), ..Running::default() };
    fixture.join("a", vec![part], Vec::new());
    fixture.advance(700);
    assert_eq!(fixture.stops(), vec![run("j", 0, 1)]);
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1), Ending::Stopped)]);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts().len(), 2);
}

/// Guards against a task that runs twice: the task is done, then the planner and the minion are
/// lost. Unless the end was durable before the minion forgot it, the next planner would start the
/// task again.
#[test]
fn an_end_is_durable_before_it_is_acknowledged() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    fixture.handle(Event::Feed(900, FeedPoll { entry: "e".to_owned(), ..FeedPoll::default() }));
    fixture.advance(700);
    let acknowledged = |fixture: &Fixture| fixture.orders.last().map(|(_, orders)| orders.noted);
    assert_eq!(acknowledged(&fixture), Some(0));
    assert!(
        fixture.feeds.iter().flat_map(|feed| &feed.rows).all(|row| row.state() != State::Complete)
    );
    let is_progress = |call: &(Operation, Call)| matches!(call.0, Operation::Progress(_));
    let at = fixture.calls.iter().position(is_progress).expect("progress is written");
    let (operation, _) = fixture.calls.remove(at);
    fixture.handle(Event::Store(operation, Reply::Committed(70)));
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(700);
    assert_eq!(acknowledged(&fixture), Some(1));
}

/// Guards against a task that is done and starts again: a write of progress got no reply and was
/// carried out seconds later, over a newer one. So each write is conditional on the revision that
/// it builds on.
#[test]
fn a_write_of_progress_builds_on_a_revision() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    let (_, Call::Commit { conditions, .. }) = fixture.calls.last().expect("progress is written")
    else {
        panic!("progress is written under conditions")
    };
    let names: Vec<(&str, u64)> =
        conditions.iter().map(|it| (it.key.as_str(), it.revision)).collect();
    assert_eq!(names, vec![(keys::LEAD, TERM), ("s/out/j", 0)]);
}

/// A planner that was replaced without knowing it finds its successor's key, and stops.
#[test]
fn a_planner_that_has_lost_the_leader_key_stops() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    let lead = Item { key: keys::LEAD.to_owned(), value: Some(Bytes::new()), revision: TERM + 9 };
    fixture.reply(Reply::Refused(vec![lead]));
    assert!(fixture.is_deposed);
}

/// Unreadable records of another writer in the store cost nothing but a log line.
#[test]
fn unreadable_records_are_skipped() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("bad"), b"\xff\xff\xff".to_vec()),
        item("s/else".to_owned(), b"?".to_vec()),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against a gang that runs twice at the same time. A new planner knows of one member only,
/// which is stopped for urgent work and ends. Then the other member's worker reports that the
/// member is still running, and it is told to stop. All workers were accounted for by then, so the
/// gang was started again at once, before the old member had ended.
#[test]
fn a_gang_does_not_start_while_a_member_of_an_earlier_run_is_there() {
    let gang = job("g", TERM - 1, step(2, true));
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b"]),
        no_starts(1),
        item(keys::job("g"), gang.encode_to_vec()),
    ]);
    let running = |index| Running { run: Some(run("g", index, 1)), ..Running::default() };
    fixture.join("c", Vec::new(), Vec::new());
    fixture.join("a", vec![running(1)], Vec::new());
    fixture.poll("a", Vec::new(), vec![ended(1, run("g", 1, 1), Ending::Stopped)]);
    fixture.join("b", vec![running(0)], Vec::new());
    fixture.advance(300);
    fixture.poll("c", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), Vec::new());
    assert_eq!(fixture.stops().first(), Some(&run("g", 0, 1)));
    fixture.poll("b", Vec::new(), vec![ended(1, run("g", 0, 1), Ending::Broken)]);
    fixture.advance(300);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.poll("c", Vec::new(), Vec::new());
    assert_eq!(fixture.starts().len(), 2);
}

/// Guards against twenty seconds of work that are done again after a loss of power: no end of the
/// run is ever reported, but the minion had listed its checkpoint. The next planner starts the task
/// from there.
#[test]
fn saved_progress_outlives_a_loss_of_power() {
    let saving = Step { checkpoints: true, ..step(1, false) };
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let jobs = vec![job("j", TERM, saving.clone())];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    let started = fixture.starts().pop().expect("it is started");
    let listed = |percent, checkpoint: &str| Running {
        run: Some(started.clone()),
        percent,
        checkpoint: checkpoint.to_owned(),
        ..Running::default()
    };
    fixture.poll("a", vec![listed(10, "")], Vec::new());
    fixture.poll("a", vec![listed(40, "c1")], Vec::new());
    fixture.advance(2_100);
    let written = fixture.calls.iter().find_map(|(_, call)| match call {
        Call::Commit { puts, .. } => puts.iter().find(|put| put.key == keys::progress("j")),
        _ => None,
    });
    let value = written.expect("the checkpoint is made durable").value.to_vec();
    let mut next = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, saving).encode_to_vec()),
        item(keys::progress("j"), value),
    ]);
    next.join("a", Vec::new(), Vec::new());
    let orders = next.orders.iter().flat_map(|(_, orders)| &orders.starts);
    assert_eq!(orders.map(|start| start.checkpoint.as_str()).next(), Some("c1"));
}

/// Guards against a new planner that relies on declared run times again, takes long work for short,
/// and stops the wrong work. It learns run times from the tasks that ended under the previous
/// planner.
#[test]
fn run_times_outlive_a_planner() {
    let tally = |index| Tally { index, is_done: true, took_ms: 20_000, ..Tally::default() };
    let tallies = (0..6).map(tally).collect();
    let progress = Progress { tallies, state: State::Active.into(), ..Progress::default() };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(7, false)).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    let jobs = vec![job("other", TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    let objective = (fixture.log.iter())
        .find_map(|line| line.strip_prefix("job=other ")?.split("objective_ms=").nth(1))
        .and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    assert!(objective.is_some_and(|objective| objective > 30_000), "{objective:?}");
}

/// Guards against a task that runs twice: a minion carries out calls and answers none, and a planner
/// that has taken over declares it lost while the leases that it grants itself keep the runs there
/// that it doesn't know.
#[test]
fn a_worker_without_a_list_is_granted_no_lease() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    for _ in 0..30 {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.tokens.remove("a");
        fixture.advance(500);
    }
    assert!(fixture.orders.iter().all(|(_, orders)| orders.lease_ms == 0));
    let (_, latest) = fixture.orders.last().expect("polls are answered");
    fixture.tokens.insert("a".to_owned(), latest.token);
    // The stored list must no longer say that the worker is granted none.
    fixture.join("a", Vec::new(), Vec::new());
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(1_000);
    let (_, latest) = fixture.orders.last().expect("polls are answered");
    assert_eq!(latest.lease_ms, 6_000);
}

/// Guards against a task that starts more often than its queue allows: the last failure was stored, and
/// the planner was lost before it stored that the job had failed.
#[test]
fn a_task_that_has_failed_as_often_as_it_may_is_not_started_by_a_successor() {
    let tally = Tally { failed_runs: vec![1, 2], ..Tally::default() };
    let progress =
        Progress { tallies: vec![tally], state: State::Active.into(), ..Progress::default() };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    for _ in 0..10 {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(500);
    }
    assert!(fixture.starts().is_empty(), "{:?}", fixture.starts());
    assert_eq!(fixture.planner.table().entries["j"].state, State::Failed);
}

/// Guards against the same: the end that made the job fail was acknowledged before that was stored.
#[test]
fn the_end_that_fails_a_job_waits_until_that_is_stored() {
    let wide = Step { room: Some(resources(64).message()), ..step(2, true) };
    let tally = Tally { failed_runs: vec![1], ..Tally::default() };
    let progress =
        Progress { tallies: vec![tally], state: State::Active.into(), ..Progress::default() };
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, wide).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture.advance(100);
    for name in ["a", "b"] {
        fixture.poll(name, Vec::new(), Vec::new());
    }
    fixture.advance(100);
    let runs = fixture.starts();
    assert_eq!(runs.len(), 2);
    let (first, last) = (fixture.worker_of("j"), runs[1].clone());
    let other = if first == "a" { "b" } else { "a" };
    let running = vec![Running { run: Some(last.clone()), ..Running::default() }];
    fixture.poll(other, running, Vec::new());
    fixture.poll(&first, Vec::new(), vec![ended(1, runs[0].clone(), Ending::Faulty)]);
    // The failure of the run is stored.
    fixture.advance(300);
    let is_progress =
        |(operation, _): &(Operation, Call)| matches!(operation, Operation::Progress(_));
    let at = fixture.calls.iter().position(is_progress).expect("the failure is written");
    let (operation, _) = fixture.calls.remove(at);
    fixture.handle(Event::Store(operation, Reply::Committed(80)));
    fixture.poll(other, Vec::new(), vec![ended(1, last, Ending::Broken)]);
    fixture.advance(700);
    let noted = |fixture: &Fixture, since: usize| {
        fixture.orders[since..].iter().map(|(_, orders)| orders.noted).max()
    };
    let since = fixture.orders.len();
    fixture.poll(other, Vec::new(), Vec::new());
    fixture.advance(700);
    assert_eq!(noted(&fixture, since), Some(0), "acknowledged before the job's failure is stored");
    let at = fixture.calls.iter().position(is_progress).expect("the job's failure is written");
    let (operation, _) = fixture.calls.remove(at);
    fixture.handle(Event::Store(operation, Reply::Committed(81)));
    fixture.poll(other, Vec::new(), Vec::new());
    fixture.advance(700);
    assert_eq!(noted(&fixture, since), Some(1));
}
