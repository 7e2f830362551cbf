//! Tests of orders and writes that may still be carried out.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Notice, Poll, Rejection, Run, Running, Step, Unanswered, Verdict,
    resources::Resources, task::Task,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Reply};

use crate::harness::{
    Fixture, TERM, ended, fleet, item, job, minion, record_of, resources, run, step,
};

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
    let unanswered = Unanswered { run: Some(start.clone()), age_ms: 300, born_ms: 0 };
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

/// Guards against a task that waits without need: its run was lost with an incarnation of the minion,
/// and a start of the same run can only repeat the unanswered one.
#[test]
fn a_lost_run_with_an_unanswered_start_is_ordered_again_under_its_number() {
    let (mut fixture, start) = ordered();
    let unanswered = vec![Unanswered { run: Some(start.clone()), age_ms: 350, born_ms: 0 }];
    let incarnation = Some(Incarnation { born_ms: 2, ..minion("a") });
    for _ in 0..2 {
        let (incarnation, unanswered) = (incarnation.clone(), unanswered.clone());
        fixture.report("a", Poll { incarnation, unanswered, ..Poll::default() });
    }
    let before = fixture.orders.len();
    fixture.advance(200);
    fixture.report("a", Poll { incarnation, unanswered, ..Poll::default() });
    fixture.advance(200);
    let again = fixture.orders[before..].iter().flat_map(|(_, orders)| &orders.starts);
    let numbers: Vec<u32> = again.filter_map(|it| it.run.as_ref()).map(|run| run.run).collect();
    assert_eq!(numbers, [start.run]);
}

/// Guards against a run that is ordered again and again: its minion has refused it.
#[test]
fn a_refused_run_is_not_ordered_again() {
    let (mut fixture, start) = ordered();
    fixture.report("a", stopped(&start));
    let before = fixture.orders.len();
    for age_ms in (500..5_000).step_by(500) {
        let unanswered = vec![Unanswered { run: Some(start.clone()), age_ms, born_ms: 0 }];
        fixture.report("a", Poll { unanswered, ..Poll::default() });
        fixture.advance(500);
    }
    let orders = fixture.orders[before..].iter().map(|(_, orders)| orders.starts.len());
    assert_eq!(orders.sum::<usize>(), 0);
}

/// Guards against two runs of a task in a minion's next incarnation: a later run on the worker that
/// an unanswered start was sent to. Also guards against a task that waits for longer than need be.
#[test]
fn a_task_with_an_unanswered_start_returns_to_its_worker_once_that_has_expired() {
    let (mut fixture, start) = ordered();
    let report = stopped(&start);
    fixture.report("a", report.clone());
    for passed in (0..11_500).step_by(250) {
        let row = Unanswered { age_ms: 300 + passed, ..report.unanswered[0].clone() };
        fixture.report("a", Poll { unanswered: vec![row], ..Poll::default() });
        fixture.advance(250);
        assert_eq!(fixture.worker_of("j"), "", "its start may still be carried out");
    }
    for _ in 0..2 {
        fixture.report("a", Poll::default());
        fixture.advance(250);
    }
    assert_eq!(fixture.worker_of("j"), "a");
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
    assert_eq!(fixture.worker_of("j"), "", "the minion may run the task that it started last");
    other(&mut fixture, 10_500);
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
    let write = fixture.records.first().cloned();
    let Some(Call::Commit { puts, conditions, .. }) = write else { panic!("nothing written") };
    let names_of = conditions.iter().map(|it| (it.key.as_str(), it.revision)).collect::<Vec<_>>();
    // The first write of the term, with the list of workers, has this revision.
    assert_eq!(names_of, [(keys::LEAD, TERM), (keys::UNANSWERED, 60)]);
    let record = item(keys::UNANSWERED.to_owned(), puts[0].value.to_vec());
    let job = job("j", TERM, step(1, false));
    let stored = item(keys::job("j"), job.encode_to_vec());
    let mut next = Fixture::new(vec![fleet(1, &["a", "b"]), record, stored]);
    next.restart_agent(names[0]);
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

/// Guards against a run that counts as lost, and is started again, while a row of its minion's list
/// that can't be read may name it or its end.
#[test]
fn a_run_that_is_missing_from_a_partial_list_is_not_lost() {
    let (mut fixture, run) = ordered();
    let running = vec![Running { run: Some(run.clone()), ..Running::default() }];
    fixture.poll("a", running.clone(), Vec::new());
    fixture.restart_agent("a");
    for _ in 0..10 {
        fixture.report("a", Poll { is_partial: true, ..Poll::default() });
        fixture.advance(500);
    }
    fixture.poll("a", running, Vec::new());
    for _ in 0..10 {
        fixture.report("a", Poll { is_partial: true, ..Poll::default() });
        fixture.advance(500);
    }
    assert_eq!(fixture.starts(), vec![run.clone()]);
    for _ in 0..10 {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(500);
    }
    assert_eq!(fixture.starts().len(), 2, "it is lost once all rows can be read");
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

/// Asserts the promises from the view of a minion: a next incarnation of it, which has seen no
/// token, may carry out all of `starts`, and breaks none by that. `step` is the step of all tasks.
fn assert_next_incarnation_breaks_no_promise(starts: &[Run], step: &Step) {
    // A minion carries out one of several starts of the same run.
    let mut runs: BTreeMap<Task, BTreeSet<u32>> = BTreeMap::new();
    for start in starts {
        runs.entry(Task::read(start)).or_default().insert(start.run);
    }
    for (task, numbers) in &runs {
        assert_eq!(numbers.len(), 1, "{task} may run twice at once: {numbers:?}");
    }
    let needed = Resources::read(step.room.as_ref()).times(runs.len() as u64);
    let capacity = Resources::read(minion("a").capacity.as_ref());
    let tasks: Vec<String> = runs.keys().map(ToString::to_string).collect();
    assert!(capacity.count_fitting(needed) > 0, "{tasks:?} exceed the capacity: {needed:?}");
    let mut of_step: BTreeMap<(String, u32), u32> = BTreeMap::new();
    for task in runs.keys() {
        *of_step.entry((task.job.clone(), task.step)).or_default() += 1;
    }
    for (key, count) in of_step {
        let is_allowed = step.per_worker == 0 || count <= step.per_worker;
        assert!(is_allowed, "{key:?}: {count} tasks, {} may be", step.per_worker);
    }
}

/// Returns a step that occupies a whole worker.
fn whole_worker() -> Step {
    Step { room: Some(resources(8).times(8).message()), ..step(1, false) }
}

fn submit(fixture: &mut Fixture, id: &str, step: &Step) {
    let notice = Notice { jobs: vec![job(id, TERM, step.clone())], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
}

/// Returns a planner that has ordered a task of step `step` of job `j` on its only worker. The
/// first attempt of the start had no answer, a later one had; with the run and the report of it.
fn started(step: &Step) -> (Fixture, Run, Poll) {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, "j", step);
    let run = run("j", 0, 1_001);
    assert_eq!(fixture.starts(), vec![run.clone()]);
    let running = vec![Running { run: Some(run.clone()), ..Running::default() }];
    let unanswered = vec![Unanswered { run: Some(run.clone()), age_ms: 350, born_ms: 0 }];
    let report = Poll { running, unanswered, ..Poll::default() };
    fixture.report("a", report.clone());
    (fixture, run, report)
}

/// Returns a later report of a worker in which the run has ended.
fn after_end(report: &Poll, run: &Run, ending: Ending) -> Poll {
    let ended = vec![ended(1, run.clone(), ending)];
    Poll { running: Vec::new(), ended, ..report.clone() }
}

/// Guards against two runs of a task in a minion's next incarnation: the start of the first got no
/// answer and was stopped, and the second is ordered on the same worker.
#[test]
fn a_stopped_start_and_its_successor_are_not_open_at_once() {
    let (mut fixture, start) = ordered();
    fixture.report("a", stopped(&start));
    fixture.advance(200);
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &step(1, false));
}

/// Guards against the same: the first run started by a later attempt and failed.
#[test]
fn a_start_of_a_failed_run_and_its_successor_are_not_open_at_once() {
    let (mut fixture, run, report) = started(&step(1, false));
    fixture.report("a", after_end(&report, &run, Ending::Faulty));
    fixture.advance(2_000);
    fixture.report("a", after_end(&report, &run, Ending::Faulty));
    fixture.advance(2_500);
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &step(1, false));
}

/// Guards against the same: the incarnation that the first start was sent to has ended, the next
/// one was sent the second start, and it may end at once as well.
#[test]
fn starts_of_two_incarnations_are_not_open_at_once() {
    let (mut fixture, start) = ordered();
    let unanswered = vec![Unanswered { run: Some(start), age_ms: 350, born_ms: 0 }];
    let report = Poll {
        incarnation: Some(Incarnation { born_ms: 2, ..minion("a") }),
        unanswered,
        ..Poll::default()
    };
    for _ in 0..3 {
        fixture.report("a", report.clone());
        fixture.advance(200);
    }
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &step(1, false));
}

/// Guards against the same: the agent was killed after it had sent the first start and before it
/// reported that; its next process knows nothing of it.
#[test]
fn starts_of_two_agent_processes_are_not_open_at_once() {
    let (mut fixture, _) = ordered();
    fixture.restart_agent("a");
    for _ in 0..3 {
        fixture.report("a", Poll::default());
        fixture.advance(200);
    }
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &step(1, false));
}

/// Guards against the same: the planner was replaced, and the agent reports the start of the term
/// before.
#[test]
fn starts_of_two_terms_are_not_open_at_once() {
    let (fixture, start) = ordered();
    let mut next = successor(&fixture, &["a"], None);
    let unanswered = vec![Unanswered { run: Some(start.clone()), age_ms: 350, born_ms: 0 }];
    for _ in 0..3 {
        next.report("a", Poll { unanswered: unanswered.clone(), ..Poll::default() });
        next.advance(200);
    }
    let starts = [vec![start], next.starts()].concat();
    assert_next_incarnation_breaks_no_promise(&starts, &step(1, false));
}

/// Guards against tasks that exceed a worker's capacity in its minion's next incarnation: the first
/// was stopped before its start had an answer, and its resources are assigned again.
#[test]
fn a_stopped_start_and_others_do_not_exceed_the_capacity() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, "j", &whole_worker());
    cancel(&mut fixture);
    let start = run("j", 0, 1_001);
    assert_eq!(fixture.starts(), vec![start.clone()]);
    fixture.report("a", stopped(&start));
    submit(&mut fixture, "k", &whole_worker());
    fixture.advance(200);
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &whole_worker());
}

/// Guards against the same: the first task is done, and an earlier attempt of its start had no
/// answer.
#[test]
fn a_start_of_a_done_task_and_others_do_not_exceed_the_capacity() {
    let (mut fixture, run, report) = started(&whole_worker());
    fixture.report("a", after_end(&report, &run, Ending::Done));
    submit(&mut fixture, "k", &whole_worker());
    fixture.advance(200);
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &whole_worker());
}

/// Guards against the same: the planner was replaced, and its successor knows the start from the
/// handover record and the agent.
#[test]
fn starts_of_two_terms_do_not_exceed_the_capacity() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, "j", &whole_worker());
    let start = run("j", 0, 1_001);
    let report = Poll { incarnation: Some(draining("a")), ..stopped(&start) };
    fixture.report("a", report);
    fixture.advance(1_000);
    let record = written_record(&mut fixture);
    assert!(record.is_some());
    let mut next = successor(&fixture, &["a"], record);
    next.handle(Event::Notice(Notice { jobs: Vec::new(), cancelled: vec!["j".to_owned()] }));
    let unanswered = vec![Unanswered { run: Some(start.clone()), age_ms: 1_350, born_ms: 0 }];
    for _ in 0..3 {
        next.report("a", Poll { unanswered: unanswered.clone(), ..Poll::default() });
        next.advance(200);
    }
    submit(&mut next, "k", &whole_worker());
    next.advance(200);
    let starts = [vec![start], next.starts()].concat();
    assert_next_incarnation_breaks_no_promise(&starts, &whole_worker());
}

/// Guards against tasks that exceed the capacity of a minion's next incarnation, which has answered
/// a start before its agent knew of it. An earlier start of another task may still be carried out.
#[test]
fn a_start_counts_until_a_list_confirms_it() {
    let half = Step { room: Some(resources(8).times(4).message()), ..step(1, false) };
    let (mut fixture, first, report) = started(&half);
    let after_first = after_end(&report, &first, Ending::Done);
    fixture.report("a", after_first.clone());
    submit(&mut fixture, "k", &half);
    fixture.advance(200);
    assert_eq!(fixture.worker_of("k"), "a");
    let running = vec![Running { run: Some(run("k", 0, 1_001)), ..Running::default() }];
    submit(&mut fixture, "l", &half);
    for _ in 0..3 {
        fixture.report("a", Poll { running: running.clone(), ..after_first.clone() });
        fixture.advance(100);
        assert_eq!(fixture.worker_of("l"), "", "the start of k may not be in this incarnation");
    }
    fixture.report("a", Poll { running, ..after_first });
    fixture.advance(100);
    assert_eq!(fixture.worker_of("l"), "a");
}

/// Guards against more tasks of a step in a minion's next incarnation than its job allows: one is
/// done, and an earlier attempt of its start had no answer.
#[test]
fn starts_of_a_step_do_not_exceed_its_limit_on_a_worker() {
    let step = Step { per_worker: 1, ..step(2, false) };
    let (mut fixture, run, report) = started(&step);
    fixture.report("a", after_end(&report, &run, Ending::Done));
    fixture.advance(200);
    assert_next_incarnation_breaks_no_promise(&fixture.starts(), &step);
}

/// Returns the handover record that the store has, if the planner has written one since.
fn written_record(fixture: &mut Fixture) -> Option<Vec<u8>> {
    fixture.records.drain(..).last().map(|call| record_of(&call))
}

/// Returns a planner that takes over from another, with the job `j` of it and the record, if one was
/// written.
fn successor(earlier: &Fixture, names: &[&str], record: Option<Vec<u8>>) -> Fixture {
    let entry = &earlier.planner.table().entries["j"];
    let mut items = vec![fleet(2, names), item(keys::job("j"), entry.job.encode_to_vec())];
    items.extend(record.map(|record| item(keys::UNANSWERED.to_owned(), record)));
    Fixture::new(items)
}

/// Asserts that a planner that takes over places the task of job `j` on no other worker while the
/// minion of the first one, which drains, may carry out its start, and then does.
fn assert_goes_nowhere_else(next: &mut Fixture, names: [&str; 2], report: &Poll) {
    for name in names {
        let report = if name == names[0] { report.clone() } else { Poll::default() };
        for _ in 0..2 {
            let report = Poll { verdicts: Vec::new(), ..report.clone() };
            next.report(name, Poll { incarnation: Some(draining(name)), ..report });
        }
    }
    wait(next, names, report, true, 11_000);
    assert_eq!(next.worker_of("j"), "", "its start may still be carried out");
    wait(next, names, &Poll::default(), true, 4_000);
    assert_eq!(next.worker_of("j"), names[1]);
}

/// Guards against a task that runs twice: the planner is lost before it has written the handover
/// record. The agent reports the start to the successor.
#[test]
fn a_successor_without_a_record_knows_of_starts_from_their_agent() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = stopped(&start);
    fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..report.clone() });
    let mut next = successor(&fixture, &["a", "b"], None);
    assert_goes_nowhere_else(&mut next, names, &report);
}

/// Guards against a task that runs twice: the agent has sent the start and is killed before it
/// reports that, and the planner is lost too. The start was an order that had no answer, and every
/// record that the planner asked for is written.
#[test]
fn a_successor_knows_of_starts_that_were_ordered_and_not_reported() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    // The agent's poll that was sent before the start got its answer.
    fixture.report(names[1], Poll::default());
    fixture.advance(200);
    let record = written_record(&mut fixture);
    let mut next = successor(&fixture, &["a", "b"], record);
    next.restart_agent(names[0]);
    assert_goes_nowhere_else(&mut next, names, &Poll::default());
}

/// Guards against a task that runs twice: the agent reports its start, and the planner and the
/// agent are lost before the store answers any write of the handover record.
#[test]
fn a_successor_knows_of_starts_that_the_store_did_not_record() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = Poll { incarnation: Some(draining(names[0])), ..stopped(&start) };
    fixture.report(names[0], report);
    let mut next = successor(&fixture, &["a", "b"], None);
    next.restart_agent(names[0]);
    assert_goes_nowhere_else(&mut next, names, &Poll::default());
}

/// Guards against tasks that wait without need: the agent of a start that was ordered just before
/// the change of planners is still there, and its minion has answered.
#[test]
fn a_successor_waits_for_no_start_that_was_answered() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    fixture.report(names[1], Poll::default());
    fixture.advance(200);
    let record = written_record(&mut fixture);
    assert!(record.is_some());
    let mut next = successor(&fixture, &["a", "b"], record);
    for name in [names[0], names[0], names[1], names[1]] {
        let is_draining = name == names[0];
        let incarnation = Some(Incarnation { is_draining, ..minion(name) });
        next.report(name, Poll { incarnation, ..Poll::default() });
    }
    next.advance(100);
    assert_eq!(next.worker_of("j"), names[1]);
}

/// Guards against a task that runs twice: the agent of an unanswered start is away, and the minion's
/// next incarnation has carried the start out just before it expired.
#[test]
fn an_expired_start_counts_until_a_list_shows_what_it_has_come_to() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    let report = stopped(&start);
    fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..report.clone() });
    wait(&mut fixture, names, &report, true, 9_000);
    let other = |fixture: &mut Fixture, time: u64| {
        for _ in 0..time / 250 {
            fixture.report(names[1], Poll::default());
            fixture.advance(250);
        }
    };
    // The start may be carried out until 11.7 s and run for the longest lease of 10 s.
    other(&mut fixture, 12_500);
    assert_eq!(fixture.worker_of("j"), "", "the minion may run the task");
    other(&mut fixture, 2_000);
    assert_eq!(fixture.worker_of("j"), names[1]);
}

/// Guards against a task that runs twice: an agent that the successor does not reach goes on sending
/// the start that an earlier planner has ordered until its lease has expired.
#[test]
fn a_successor_waits_for_an_agent_that_it_does_not_reach() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    fixture.report(names[1], Poll::default());
    fixture.advance(200);
    let record = written_record(&mut fixture);
    let mut next = successor(&fixture, &["a", "b"], record);
    for _ in 0..18_000 / 250 {
        next.report(names[1], Poll::default());
        next.advance(250);
        assert_eq!(next.worker_of("j"), "", "the start may still be carried out");
    }
}

/// Guards against a task that runs twice: the agent's first poll arrives before the successor has
/// read the store, while the agent still waits for the answer to a start, and the agent is lost.
#[test]
fn a_start_that_is_waited_for_during_a_change_of_planners_is_not_forgotten() {
    let (mut fixture, start, names) = ordered_on_one_of_two();
    fixture.report(names[1], Poll::default());
    fixture.advance(200);
    let record = written_record(&mut fixture).expect("the start has no answer yet");
    let entry = &fixture.planner.table().entries["j"];
    let stored = item(keys::job("j"), entry.job.encode_to_vec());
    let record = item(keys::UNANSWERED.to_owned(), record);
    let items = vec![fleet(2, &["a", "b"]), record, stored];
    let mut next = Fixture::reading();
    next.report(names[0], Poll { pending: vec![start], ..Poll::default() });
    next.reply(Reply::Items { items, has_more: false, revision: 40 });
    next.reply(Reply::Committed(60));
    next.restart_agent(names[0]);
    assert_goes_nowhere_else(&mut next, names, &Poll::default());
}

/// Guards against a task that starts more often than it may fail: a successor does not know that the
/// run of an unanswered start was stopped or has ended, but it knows those that have failed.
#[test]
fn a_successor_repeats_no_run_that_has_failed() {
    let (mut fixture, run, report) = started(&step(1, false));
    fixture.report("a", after_end(&report, &run, Ending::Faulty));
    fixture.advance(1_000);
    let record = written_record(&mut fixture);
    let entry = &fixture.planner.table().entries["j"];
    let progress = item(keys::progress("j"), entry.progress().encode_to_vec());
    let mut items = vec![fleet(2, &["a"]), item(keys::job("j"), entry.job.encode_to_vec())];
    items.extend([progress, item(keys::UNANSWERED.to_owned(), record.unwrap_or_default())]);
    let mut next = Fixture::new(items);
    let incarnation = Some(Incarnation { born_ms: 2, ..minion("a") });
    let unanswered = vec![Unanswered { run: Some(run), age_ms: 1_400, born_ms: 0 }];
    for _ in 0..3 {
        let (incarnation, unanswered) = (incarnation.clone(), unanswered.clone());
        next.report("a", Poll { incarnation, unanswered, ..Poll::default() });
        next.advance(200);
    }
    assert_eq!(next.starts(), []);
}

/// Guards against a task that runs twice: the agent is killed before it reports its start, the
/// planner sees its next process, and is lost after it has written the handover record.
#[test]
fn a_successor_knows_of_starts_of_an_agent_that_was_lost() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    written_record(&mut fixture);
    fixture.restart_agent(names[0]);
    for _ in 0..2 {
        fixture.report(names[0], Poll { incarnation: Some(draining(names[0])), ..Poll::default() });
    }
    fixture.advance(600);
    let record = written_record(&mut fixture);
    let mut next = successor(&fixture, &["a", "b"], record);
    assert_goes_nowhere_else(&mut next, names, &Poll::default());
}

/// Guards against a task that runs twice: the agent and the minion restart, both twice in a row.
#[test]
fn an_unanswered_start_is_known_after_two_restarts_in_a_row() {
    let (mut fixture, _, names) = ordered_on_one_of_two();
    for born_ms in 2..=3 {
        fixture.restart_agent(names[0]);
        let incarnation = Incarnation { born_ms, ..draining(names[0]) };
        fixture.report(names[0], Poll { incarnation: Some(incarnation), ..Poll::default() });
    }
    let incarnation = Incarnation { born_ms: 3, ..draining(names[0]) };
    for passed in (0..11_500).step_by(250) {
        let report = Poll { incarnation: Some(incarnation.clone()), ..Poll::default() };
        fixture.report(names[0], report);
        fixture.report(names[1], Poll::default());
        fixture.advance(250);
        assert_eq!(fixture.worker_of("j"), "", "after {passed} ms");
    }
}

/// Guards against a cancelled job or a done task that goes on running: the next incarnation carries
/// out its start, and is told to stop it.
#[test]
fn a_start_of_a_task_that_is_over_is_stopped_in_the_next_incarnation() {
    for ending in [Ending::Stopped, Ending::Done] {
        let (mut fixture, run, report) = started(&step(1, false));
        if ending == Ending::Stopped {
            cancel(&mut fixture);
        }
        fixture.report("a", after_end(&report, &run, ending));
        fixture.advance(200);
        let before = fixture.stops().len();
        let incarnation = Some(Incarnation { born_ms: 2, ..minion("a") });
        for _ in 0..2 {
            fixture.report("a", Poll { incarnation: incarnation.clone(), ..report.clone() });
        }
        fixture.advance(200);
        assert_eq!(&fixture.stops()[before..], std::slice::from_ref(&run), "{ending:?}");
        assert_eq!(fixture.starts(), [run], "{ending:?}");
    }
}
