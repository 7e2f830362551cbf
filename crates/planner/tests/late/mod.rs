//! Tests of orders and writes that may still be carried out.

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Notice, Poll, Rejection, Run, Running, Step, Unanswered, Verdict,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Reply};

use crate::harness::{Fixture, TERM, ended, fleet, item, job, minion, run, step};

/// Returns a planner that has ordered the start of a task on its only worker and has had no answer,
/// with the run.
fn ordered() -> (Fixture, Run) {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    let run = run("j", 0, 1_001);
    assert_eq!(fixture.starts(), vec![run.clone()]);
    (fixture, run)
}

fn cancel(fixture: &mut Fixture) {
    let notice = Notice { jobs: Vec::new(), cancelled: vec!["j".to_owned()] };
    fixture.handle(Event::Notice(notice));
}

/// Reports a worker whose agent has an outstanding start that its minion does not list.
fn list(fixture: &mut Fixture, pending: &Run, stopping: &[Run]) {
    let report =
        Poll { pending: vec![pending.clone()], stopping: stopping.to_vec(), ..Poll::default() };
    fixture.report("a", report);
}

/// Guards against a stop that is never sent because the start of the same run is still outstanding.
#[test]
fn an_outstanding_start_gets_a_stop() {
    let (mut fixture, run) = ordered();
    cancel(&mut fixture);
    list(&mut fixture, &run, &[]);
    fixture.advance(700);
    assert_eq!(fixture.stops(), vec![run]);
}

/// Guards against a task that runs twice and a worker that is overloaded: a start had no answer,
/// was missing from lists because it had not been carried out yet, and was carried out later.
#[test]
fn absence_from_lists_resolves_no_unanswered_start() {
    let (mut fixture, run) = ordered();
    list(&mut fixture, &run, &[]);
    cancel(&mut fixture);
    for _ in 0..10 {
        list(&mut fixture, &run, std::slice::from_ref(&run));
        fixture.advance(500);
    }
    assert_eq!(fixture.worker_of("j"), "a", "its resources are released too early");
    let verdict = Verdict { run: Some(run), rejection: Rejection::Old.into() };
    fixture.report("a", Poll { verdicts: vec![verdict], ..Poll::default() });
    assert_eq!(fixture.worker_of("j"), "", "its resources are never released");
}

/// Guards against a job that never ends: the next incarnation of a minion carries out the start of
/// an earlier run, which replaces the later run whose end is still to come.
#[test]
fn an_earlier_run_that_is_listed_does_not_replace_a_later_one() {
    let (mut fixture, later) = ordered();
    let running = |run: &Run| Running { run: Some(run.clone()), ..Running::default() };
    fixture.poll("a", vec![running(&later)], Vec::new());
    let earlier = run("j", 0, 900);
    for _ in 0..5 {
        fixture.poll("a", vec![running(&earlier)], Vec::new());
        fixture.advance(500);
    }
    assert_eq!(fixture.stops().last(), Some(&earlier));
    fixture.poll("a", Vec::new(), vec![ended(1, earlier, Ending::Stopped)]);
    fixture.advance(500);
    assert_eq!(fixture.starts().last(), Some(&run("j", 0, 1_002)));
}

/// Guards against a task that runs twice: a worker got a task before the stored list contained the
/// worker. The planner was lost, and its successor did not know that it had to account for that
/// worker.
#[test]
fn a_worker_gets_no_task_before_the_store_lists_it() {
    let mut fixture = Fixture::new(vec![fleet(1, &[])]);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.poll("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.advance(500);
    assert_eq!(fixture.starts(), Vec::new());
    let at = fixture.calls.iter().position(|(operation, _)| *operation == Operation::Fleet);
    fixture.calls.remove(at.expect("the list of workers is being written"));
    fixture.handle(Event::Store(Operation::Fleet, Reply::Committed(61)));
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(100);
    assert_eq!(fixture.starts(), vec![run("j", 0, 1_001)]);
}

/// Guards against ends of a minion that are never acknowledged: a task was done just before its job
/// was cancelled, and that progress was no longer written.
#[test]
fn ends_of_a_cancelled_job_are_acknowledged() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(2, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    cancel(&mut fixture);
    let ends = vec![
        ended(1, run("j", 0, 1_001), Ending::Done),
        ended(2, run("j", 1, 1_001), Ending::Stopped),
    ];
    fixture.poll("a", Vec::new(), ends);
    fixture.advance(700);
    assert_eq!(fixture.orders.last().map(|(_, orders)| orders.noted), Some(2));
}

/// Guards against a worker that is overloaded and a task that runs twice: a list may omit a task
/// that is being stopped, but the first list of a new session was considered complete.
#[test]
fn a_run_that_is_being_stopped_is_not_over_at_the_start_of_a_session() {
    let (mut fixture, run) = ordered();
    let running = || vec![Running { run: Some(run.clone()), ..Running::default() }];
    fixture.poll("a", running(), Vec::new());
    cancel(&mut fixture);
    fixture.restart_agent("a");
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.worker_of("j"), "a", "its resources are released too early");
    for _ in 0..8 {
        fixture.advance(300);
        fixture.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(fixture.worker_of("j"), "", "its resources are never released");
}

/// Guards against resources that stay allocated to a run that ended with an earlier incarnation of
/// its minion.
#[test]
fn a_run_that_was_being_stopped_ends_with_its_minion() {
    let (mut fixture, run) = ordered();
    fixture.poll("a", vec![Running { run: Some(run), ..Running::default() }], Vec::new());
    cancel(&mut fixture);
    let restarted = || {
        let incarnation = Incarnation { born_ms: 2, ..minion("a") };
        Poll { incarnation: Some(incarnation), ..Poll::default() }
    };
    fixture.report("a", restarted());
    fixture.report("a", restarted());
    assert_eq!(fixture.worker_of("j"), "");
}

/// Guards against a task that runs twice: a start was sent with a new session's token, and the
/// first list of the session, made before the start was carried out, was taken as proof that it
/// never would be.
#[test]
fn a_session_gives_no_orders_before_its_first_list() {
    let (mut fixture, run) = ordered();
    fixture.restart_agent("a");
    fixture.poll("a", Vec::new(), Vec::new());
    let before = fixture.orders.len();
    fixture.tokens.remove("a");
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(700);
    let given = || fixture.orders[before..].iter().flat_map(|(_, orders)| &orders.starts);
    assert_eq!(given().filter(|start| start.run.as_ref() == Some(&run)).count(), 0);
}

/// Returns a planner that has ordered the start of a task on one of two workers, with the run and
/// the names of the workers, that one first.
fn ordered_on_one_of_two() -> (Fixture, Run, [&'static str; 2]) {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.join("b", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    let names = if fixture.worker_of("j") == "a" { ["a", "b"] } else { ["b", "a"] };
    (fixture, run("j", 0, 1_001), names)
}

/// Returns the report of an agent whose start had no answer and was stopped.
fn stopped(start: &Run) -> Poll {
    let verdict = Verdict { run: Some(start.clone()), rejection: Rejection::Old.into() };
    let unanswered = Unanswered { run: Some(start.clone()), age_ms: 300 };
    Poll { verdicts: vec![verdict], unanswered: vec![unanswered], ..Poll::default() }
}

/// Advances the time while both workers report. The agent of the first one still reports the
/// unanswered starts of `report`, and its minion drains if `is_draining` is set.
fn wait(fixture: &mut Fixture, names: [&str; 2], report: &Poll, is_draining: bool, time: u64) {
    for passed in (0..time).step_by(250) {
        let incarnation = Incarnation { is_draining, ..minion(names[0]) };
        let unanswered = report.unanswered.iter().map(|it| {
            let age_ms = it.age_ms + passed;
            Unanswered { age_ms, ..it.clone() }
        });
        let unanswered = unanswered.filter(|it| it.age_ms < 12_000).collect();
        let report = Poll { incarnation: Some(incarnation), unanswered, ..Poll::default() };
        fixture.report(names[0], report);
        fixture.report(names[1], Poll::default());
        fixture.advance(250);
    }
}

/// Guards against a task that runs twice: a stop fenced its start, and the minion's next
/// incarnation carries the start out while the task runs elsewhere.
#[test]
fn a_task_with_an_unanswered_start_goes_nowhere_else() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = stopped(&start);
    fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..report.clone() });
    wait(&mut fixture, names, &report, true, 11_500);
    assert_eq!(fixture.worker_of("j"), "", "its start may still be carried out");
    wait(&mut fixture, names, &Poll::default(), true, 1_500);
    assert_eq!(fixture.worker_of("j"), names[1]);
}

/// Guards against tasks that wait without need: a task may be placed again on the worker that its
/// unanswered start was sent to.
#[test]
fn a_task_with_an_unanswered_start_may_return_to_the_same_worker() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    fixture.report(names[0], stopped(&start));
    fixture.advance(100);
    assert_eq!(fixture.worker_of("j"), names[0]);
}

/// Guards against a task that runs twice: the agent that sent its start is lost, along with what it
/// knew of the start.
#[test]
fn an_unanswered_start_is_known_when_its_agent_is_lost() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    fixture.restart_agent(names[0]);
    let draining = || Poll { incarnation: Some(draining(names[0])), ..Poll::default() };
    fixture.report(names[0], draining());
    fixture.report(names[0], draining());
    wait(&mut fixture, names, &Poll::default(), true, 11_500);
    assert_eq!(fixture.worker_of("j"), "", "its start may still be carried out");
    wait(&mut fixture, names, &Poll::default(), true, 1_500);
    assert_eq!(fixture.worker_of("j"), names[1]);
}

/// Guards against a task that runs twice: the lease of an isolated worker has expired, and its
/// minion starts again and carries out an earlier start.
#[test]
fn an_unanswered_start_is_known_when_its_worker_is_declared_lost() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    let other = |fixture: &mut Fixture, time: u64| {
        for _ in 0..time / 250 {
            fixture.report(names[1], Poll::default());
            fixture.advance(250);
        }
    };
    other(&mut fixture, 7_000);
    assert!(!fixture.planner.workers().contains_key(names[0]));
    assert_eq!(fixture.worker_of("j"), "", "its start may still be carried out");
    other(&mut fixture, 12_500);
    assert_eq!(fixture.worker_of("j"), names[1]);
}

/// Guards against tasks that wait without need: calls name the minion, so that a minion with
/// another name rejects the starts that its predecessor was sent.
#[test]
fn a_minion_of_another_name_carries_out_no_earlier_start() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = stopped(&start);
    fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..report });
    fixture.advance(250);
    assert_eq!(fixture.worker_of("j"), "");
    let next = Incarnation { id: "next".to_owned(), is_draining: true, ..minion(names[0]) };
    fixture.report(names[0], Poll { incarnation: Some(next), ..Poll::default() });
    fixture.advance(250);
    assert_eq!(fixture.worker_of("j"), names[1]);
}

fn draining(name: &str) -> Incarnation {
    Incarnation { is_draining: true, ..minion(name) }
}

/// Guards against more tasks of a step on a worker than its job allows: a run that belongs to no
/// group is being stopped there and still counts.
#[test]
fn an_unexpected_run_counts_towards_the_tasks_of_its_step() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let step = Step { per_worker: 1, ..step(2, false) };
    let notice = Notice { jobs: vec![job("j", TERM, step)], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    let [first, second] = [run("j", 0, 1_001), run("j", 1, 1_001)];
    assert_eq!(fixture.starts(), vec![first.clone()]);
    let running = |run: &Run| Running { run: Some(run.clone()), ..Running::default() };
    fixture.poll("a", vec![running(&first)], Vec::new());
    let earlier = run("j", 0, 900);
    let done = ended(1, first.clone(), Ending::Done);
    fixture.poll("a", vec![running(&earlier)], vec![done.clone()]);
    fixture.advance(500);
    assert_eq!(fixture.starts(), vec![first.clone()], "the earlier run is still there");
    fixture.poll("a", Vec::new(), vec![done, ended(2, earlier, Ending::Stopped)]);
    fixture.advance(500);
    assert_eq!(fixture.starts(), vec![first, second]);
}

/// Guards against a task that runs twice: the planner and the agent that know of its start are both
/// lost before it is carried out.
#[test]
fn a_successor_knows_of_unanswered_starts() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = stopped(&start);
    fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..report.clone() });
    wait(&mut fixture, names, &report, true, 1_000);
    let write = fixture.calls.iter().find(|(operation, _)| *operation == Operation::Unanswered);
    let Some((_, Call::Commit { puts, conditions, .. })) = write else { panic!("nothing written") };
    let names_of = conditions.iter().map(|it| (it.key.as_str(), it.revision)).collect::<Vec<_>>();
    assert_eq!(names_of, [(keys::LEAD, TERM), (keys::UNANSWERED, 0)]);
    let record = item(keys::UNANSWERED.to_owned(), puts[0].value.to_vec());
    let job = job("j", TERM, step(1, false));
    let stored = item(keys::job("j"), job.encode_to_vec());
    let mut next = Fixture::new(vec![fleet(1, &["a", "b"]), record, stored]);
    for name in names {
        next.report(name, Poll { incarnation: Some(draining(name)), ..Poll::default() });
        next.report(name, Poll { incarnation: Some(draining(name)), ..Poll::default() });
    }
    wait(&mut next, names, &Poll::default(), true, 11_500);
    assert_eq!(next.worker_of("j"), "", "its start may still be carried out");
    wait(&mut next, names, &Poll::default(), true, 3_500);
    assert_eq!(next.worker_of("j"), names[1]);
}

/// Returns 500 ends of unknown runs, as many as fit into one list.
fn full_list_of_ends() -> Vec<Ended> {
    (1..=500).map(|number| ended(number, run("other", 0, 1), Ending::Stopped)).collect()
}

/// Guards against a task that is done and starts again: its end comes after the ones that fit into
/// one list.
#[test]
fn a_run_that_is_missing_from_a_truncated_list_is_not_lost() {
    let (mut fixture, run) = ordered();
    fixture.poll("a", vec![Running { run: Some(run.clone()), ..Running::default() }], Vec::new());
    for _ in 0..10 {
        fixture.poll("a", Vec::new(), full_list_of_ends());
        fixture.advance(500);
    }
    assert_eq!(fixture.starts(), vec![run.clone()]);
    fixture.poll("a", Vec::new(), vec![ended(501, run.clone(), Ending::Done)]);
    fixture.advance(500);
    assert_eq!(fixture.starts(), vec![run]);
    assert_eq!(fixture.worker_of("j"), "");
}

/// Guards against the same fault at the start of a session.
#[test]
fn a_session_does_not_begin_with_a_truncated_list() {
    let (mut fixture, run) = ordered();
    fixture.poll("a", vec![Running { run: Some(run.clone()), ..Running::default() }], Vec::new());
    fixture.restart_agent("a");
    fixture.poll("a", Vec::new(), Vec::new());
    for _ in 0..4 {
        fixture.poll("a", Vec::new(), full_list_of_ends());
        fixture.advance(500);
    }
    assert_eq!(fixture.starts(), vec![run.clone()]);
    let acknowledged = fixture.orders.iter().map(|(_, orders)| orders.noted).max();
    assert_eq!(acknowledged, Some(500), "the minion is to list the others");
    fixture.poll("a", Vec::new(), vec![ended(501, run.clone(), Ending::Done)]);
    fixture.advance(500);
    assert_eq!(fixture.starts(), vec![run]);
}

/// Guards against a task that runs twice: the next incarnation of a minion has a lease that was
/// computed for the previous one, longer than was granted, and is isolated.
#[test]
fn a_minion_that_has_started_again_may_have_the_longest_lease() {
    let (mut fixture, run) = ordered();
    let born = |born_ms| Incarnation { born_ms, ..minion("a") };
    let running = Running { run: Some(run), ..Running::default() };
    for _ in 0..2 {
        let running = vec![running.clone()];
        fixture.report("a", Poll { incarnation: Some(born(2)), running, ..Poll::default() });
    }
    fixture.advance(10_000);
    assert!(fixture.planner.workers().contains_key("a"), "it may be running the task");
    fixture.advance(600);
    assert!(!fixture.planner.workers().contains_key("a"));
}
