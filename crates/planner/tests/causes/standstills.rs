//! Tests of the time for which a job has had nothing at work.

use prost::Message as _;
use sapphire_jobs::{Ending, Incarnation, Job, Notice, Poll, Running};
use sapphire_planner::{event::Event, keys};

use crate::{
    causes::lines,
    harness::{Fixture, START, TERM, ended, fleet, item, job, minion, ms, no_starts, run, step},
};

/// Lets time pass in which the worker sends a poll every 250 ms.
fn advance(fixture: &mut Fixture, time: u64, poll: &Poll) {
    for _ in 0..time / 250 {
        fixture.report("a", poll.clone());
        fixture.advance(250);
    }
}

fn submit(fixture: &mut Fixture, id: &str) {
    let jobs = vec![job(id, TERM, step(1, false))];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
}

/// Guards against a job without anything at work that no figure shows since its task is placed; and
/// against a time that begins anew with each reason.
#[test]
fn the_time_goes_on_when_a_waiting_task_is_placed_and_does_not_begin() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let drained = Incarnation { is_draining: true, ..minion("a") };
    let draining = Poll { incarnation: Some(drained), ..Poll::default() };
    advance(&mut fixture, 250, &draining);
    submit(&mut fixture, "j");
    advance(&mut fixture, 2_000, &draining);
    assert_eq!(fixture.worker_of("j"), "");
    advance(&mut fixture, 7_000, &Poll::default());
    assert_eq!(fixture.worker_of("j"), "a");
    insta::assert_snapshot!(lines(&fixture, " nothing at work "), @"
    job=j has nothing at work waited_ms=3000 age_ms=3050 jobs=1
    job=j has nothing at work waited_ms=8000 age_ms=8050 jobs=1
    ");
    let longest = fixture.planner.longest_standstill();
    assert!(longest >= ms(8_750) && longest <= ms(9_000), "{longest:?}");
}

/// Guards against a time that goes on once a task is at work, or after the job has ended.
#[test]
fn a_job_that_runs_or_has_ended_does_not_stand_still() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, "j");
    advance(&mut fixture, 1_000, &Poll::default());
    assert!(fixture.planner.longest_standstill() > ms(500));
    let running = vec![Running { run: Some(run("j", 0, 1_001)), ..Running::default() }];
    advance(&mut fixture, 5_000, &Poll { running, ..Poll::default() });
    assert_eq!(fixture.planner.longest_standstill(), ms(0));
    let ended = vec![ended(1, run("j", 0, 1_001), Ending::Done)];
    advance(&mut fixture, 5_000, &Poll { ended, ..Poll::default() });
    assert_eq!(fixture.planner.longest_standstill(), ms(0));
    assert_eq!(lines(&fixture, " nothing at work "), "");
}

/// Guards against the wait for a take-over that is counted only from the end of the take-over, and
/// against a job that has waited under earlier planners and looks like a new one.
#[test]
fn an_inherited_job_counts_from_the_beginning_of_the_term() {
    let job = Job { accepted_ms: START - 7_000, ..job("j", TERM - 1, step(1, false)) };
    let record = item(keys::job("j"), job.encode_to_vec());
    let mut fixture = Fixture::new(vec![fleet(1, &["a", "lost"]), no_starts(1), record]);
    fixture.join("a", Vec::new(), Vec::new());
    advance(&mut fixture, 4_000, &Poll::default());
    insta::assert_snapshot!(lines(&fixture, " nothing at work "), @"job=j has nothing at work waited_ms=3050 age_ms=10050 jobs=1");
    let longest = fixture.planner.longest_standstill();
    assert!(longest >= ms(3_750) && longest <= ms(4_000), "{longest:?}");
}
