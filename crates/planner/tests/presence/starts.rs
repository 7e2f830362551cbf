//! Tests of starts that were refused.

use sapphire_jobs::{Incarnation, Notice, Poll, Rejection, Running, Verdict};

use sapphire_planner::event::Event;

use super::{
    LONG, assert_once,
    site::{Conduct, Site},
    task,
};
use crate::harness::{Fixture, TERM, fleet, job, minion, step};

/// Returns a site on which a start was ordered, with its worker, which meets calls so, and the other one.
fn ordered(conduct: Conduct) -> (Site, &'static str, &'static str) {
    let mut site = Site::new(&["a", "b"], LONG);
    for name in ["a", "b"] {
        site.program(name).conduct = conduct;
    }
    site.submit("j", task(LONG));
    while site.planner.worker_of("j").is_empty() {
        site.run(10);
    }
    let (name, other) = if site.planner.worker_of("j") == "a" { ("a", "b") } else { ("b", "a") };
    site.program(other).conduct = Conduct::Answers;
    (site, name, other)
}

/// Guards against a task that waits for the start on a minion to whose closed port no attempt got
/// through.
#[test]
fn a_start_whose_every_attempt_was_refused_goes_elsewhere() {
    let (mut site, _, other) = ordered(Conduct::Refuses);
    let after = site.run_until_started("j", 20_000).expect("the task begins");
    assert_eq!(site.runs_on("j"), other);
    assert_once(&site, "every attempt was refused");
    assert!(after <= 2_500, "{after} ms");
}

/// Guards against a task that runs twice: one attempt had no answer, and is carried out after the others
/// were refused.
#[test]
fn a_start_with_an_attempt_without_an_answer_goes_nowhere() {
    let (mut site, name, _) = ordered(Conduct::Silent);
    site.run(700);
    site.program(name).conduct = Conduct::Refuses;
    site.run(3_000);
    assert!(site.carry_out_late(name) > 0, "no start was lost");
    assert_once(&site, "one attempt had no answer");
    site.program(name).conduct = Conduct::Answers;
    site.run(5_000);
    assert_once(&site, "one attempt had no answer");
    assert_eq!(site.starts_of("j").len(), 1, "{:#?}", site.planner.log);
}

/// Guards against a task that goes on twice: a start was refused, its task runs elsewhere, and a late copy
/// of the start is listed.
#[test]
fn a_late_copy_of_a_refused_start_is_stopped() {
    let reasons = [
        Rejection::Old,
        Rejection::Late,
        Rejection::NoRoom,
        Rejection::Draining,
        Rejection::Unhealthy,
        Rejection::Malformed,
        Rejection::NoTicket,
        Rejection::Cordoned,
    ];
    for reason in reasons {
        let mut fixture = Fixture::new(vec![fleet(1, &["a", "b"])]);
        for name in ["a", "b"] {
            fixture.join(name, Vec::new(), Vec::new());
        }
        let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], ..Notice::default() };
        fixture.handle(Event::Notice(notice));
        fixture.advance(50);
        let (name, run) = (fixture.worker_of("j"), fixture.starts().remove(0));
        let verdict = Verdict { run: Some(run.clone()), rejection: reason.into() };
        let incarnation = Incarnation { is_draining: true, ..minion(&name) };
        let report = Poll { incarnation: Some(incarnation), ..Poll::default() };
        fixture.report(&name, Poll { verdicts: vec![verdict], ..report.clone() });
        fixture.advance(100);
        assert_ne!(fixture.worker_of("j"), name, "{reason:?}: {:#?}", fixture.log);
        let copy = Running { run: Some(run.clone()), ..Running::default() };
        for _ in 0..2 {
            fixture.report(&name, Poll { running: vec![copy.clone()], ..report.clone() });
            fixture.advance(100);
        }
        assert!(fixture.stops().contains(&run), "{reason:?}: {:#?}", fixture.log);
    }
}
