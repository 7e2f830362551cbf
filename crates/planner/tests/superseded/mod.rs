//! Tests of later runs of tasks whose earlier run turns out to be done.

use prost::Message as _;
use sapphire_jobs::{Ended, Ending, Notice, Poll, Run, Running, State, Step, resources::Resources};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::Reply;

use crate::harness::{Fixture, ended, fleet, item, job, no_starts, run, step};

fn running(run: &Run) -> Running {
    Running { run: Some(run.clone()), ..Running::default() }
}

/// Returns a planner that has just taken over a job with this step. The minion of worker `a` carries
/// out calls and answers none; workers `b` and `c` are idle.
fn taken_over(step: Step) -> Fixture {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b", "c"]),
        no_starts(1),
        item(keys::job("j"), job("j", 10, step).encode_to_vec()),
    ]);
    for name in ["b", "c"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture
}

/// Lets time pass until the planner has declared worker `a` lost, and the tasks are placed anew.
fn declare_lost(fixture: &mut Fixture) {
    for _ in 0..25 {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.tokens.remove("a");
        for name in ["b", "c"] {
            fixture.poll(name, Vec::new(), Vec::new());
        }
        fixture.advance(500);
        if !fixture.worker_of("j").is_empty() {
            return;
        }
    }
    panic!("the tasks are not placed anew");
}

/// Lets worker `a` answer: its minion lists these ends.
fn list_ends(fixture: &mut Fixture, ends: Vec<Ended>) {
    let token = fixture.planner.workers()["a"].token;
    fixture.tokens.insert("a".to_owned(), token);
    fixture.poll("a", Vec::new(), ends);
    fixture.advance(50);
}

/// Returns the only worker that has a task of the job, and the run.
fn placed(fixture: &Fixture) -> (String, Run) {
    let name = fixture.worker_of("j");
    let (task, of_task) = fixture.planner.workers()[&name].runs.first_key_value().expect("placed");
    (name, task.run(of_task.number))
}

fn poll_all(fixture: &mut Fixture) {
    for name in ["b", "c"] {
        fixture.poll(name, Vec::new(), Vec::new());
    }
    fixture.advance(50);
}

/// Guards against a start after its job was shown complete: the run was ordered, but its order waited
/// for the handover record.
#[test]
fn a_run_that_was_not_sent_never_starts() {
    let mut fixture = taken_over(step(1, false));
    fixture.answers_records = false;
    declare_lost(&mut fixture);
    let (_, later) = placed(&fixture);
    assert!(fixture.starts().is_empty());
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    while let Some(at) = fixture
        .calls
        .iter()
        .position(|(operation, _)| matches!(operation, Operation::Unanswered(_)))
    {
        let (operation, _) = fixture.calls.remove(at);
        fixture.handle(Event::Store(operation, Reply::Committed(80)));
    }
    poll_all(&mut fixture);
    assert!(fixture.starts().is_empty(), "{:?}", fixture.starts());
    assert!(fixture.stops().contains(&later));
}

/// Guards against a start after its job was shown complete: the agent repeats a start that had no
/// answer.
#[test]
fn a_run_whose_start_is_unanswered_is_stopped() {
    let mut fixture = taken_over(step(1, false));
    declare_lost(&mut fixture);
    let (name, later) = placed(&fixture);
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    let report = Poll { pending: vec![later.clone()], ..Poll::default() };
    fixture.report(&name, report);
    assert!(fixture.stops().contains(&later));
}

/// Guards against a run that takes resources for nobody: the task is done elsewhere.
#[test]
fn a_run_that_goes_on_is_stopped_and_keeps_its_resources_until_its_end() {
    let mut fixture = taken_over(step(1, false));
    declare_lost(&mut fixture);
    let (name, later) = placed(&fixture);
    fixture.poll(&name, vec![running(&later)], Vec::new());
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    fixture.poll(&name, vec![running(&later)], Vec::new());
    assert!(fixture.stops().contains(&later));
    let used = |fixture: &Fixture| fixture.planner.workers()[&name].used();
    assert_ne!(used(&fixture), Resources::default());
    fixture.poll(&name, Vec::new(), vec![ended(1, later, Ending::Stopped)]);
    assert_eq!(used(&fixture), Resources::default());
}

/// Guards against a run that goes on after its job was cancelled: only the tasks that were not done
/// were stopped.
#[test]
fn a_run_that_goes_on_is_stopped_before_its_job_is_cancelled() {
    let mut fixture = taken_over(step(2, false));
    declare_lost(&mut fixture);
    let runs = fixture.starts();
    assert_eq!(runs.len(), 2);
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    let notice = Notice { jobs: Vec::new(), cancelled: vec!["j".to_owned()] };
    fixture.handle(Event::Notice(notice));
    poll_all(&mut fixture);
    for run in &runs {
        assert!(fixture.stops().contains(run), "{run:?}");
    }
}

/// Guards against a run that goes on after its task was done, of each member of a gang.
#[test]
fn all_members_of_a_gang_are_stopped() {
    let mut fixture = taken_over(step(2, true));
    declare_lost(&mut fixture);
    let runs = fixture.starts();
    assert_eq!(runs.len(), 2);
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    poll_all(&mut fixture);
    for run in &runs {
        assert!(fixture.stops().contains(run), "{run:?}");
    }
}

/// Guards against needless stops: the members of a gang end together, and one is listed first.
#[test]
fn members_of_the_run_that_is_done_are_not_stopped() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let wide = Step {
        room: Some(Resources { accelerators: 64, ..Resources::default() }.message()),
        ..step(2, true)
    };
    let notice = Notice { jobs: vec![job("j", 50, wide)], cancelled: Vec::new() };
    fixture.handle(Event::Notice(notice));
    fixture.advance(50);
    poll_all(&mut fixture);
    let runs = fixture.starts();
    assert_eq!(runs.len(), 2);
    fixture.poll("a", Vec::new(), vec![ended(1, runs[0].clone(), Ending::Done)]);
    fixture.poll("b", vec![running(&runs[1])], Vec::new());
    fixture.advance(700);
    assert!(fixture.stops().is_empty(), "{:?}", fixture.stops());
}

/// Guards against a job that fails although all its tasks can be done: later runs of a task that is
/// done have failed as often as it may.
#[test]
fn failures_of_later_runs_do_not_fail_a_task_that_is_done() {
    let mut fixture = taken_over(step(2, false));
    declare_lost(&mut fixture);
    let (name, later) = placed(&fixture);
    let index = later.index;
    let failed = run("j", index, 2);
    list_ends(
        &mut fixture,
        vec![ended(1, run("j", index, 1), Ending::Done), ended(2, failed, Ending::Faulty)],
    );
    fixture.poll(&name, Vec::new(), vec![ended(1, later, Ending::Faulty)]);
    fixture.advance(50);
    let entry = &fixture.planner.table().entries["j"];
    assert_ne!(entry.state, State::Failed);
}

/// Guards against a run that goes on after its task was done: its agent was started again meanwhile.
#[test]
fn a_run_that_goes_on_is_stopped_by_the_next_process_of_its_agent() {
    let mut fixture = taken_over(step(1, false));
    declare_lost(&mut fixture);
    let (name, later) = placed(&fixture);
    fixture.poll(&name, vec![running(&later)], Vec::new());
    list_ends(&mut fixture, vec![ended(1, run("j", 0, 1), Ending::Done)]);
    fixture.restart_agent(&name);
    fixture.poll(&name, Vec::new(), Vec::new());
    fixture.poll(&name, vec![running(&later)], Vec::new());
    fixture.poll(&name, vec![running(&later)], Vec::new());
    assert!(fixture.stops().contains(&later));
}
