//! Tests of an agent whose zone is cordoned, and of the time for which starts may be sent.

use sapphire_jobs::{Orders, Rejection, Run, Start};
use sapphire_runner::{
    event::{Event, Ticket},
    minion::{Call, Reply},
};

use crate::harness::{Fixture, LEASE, TOKEN, is_start, run, start};

/// Returns orders of the session that is in progress.
fn orders(starts: Vec<Start>, is_cordoned: bool) -> Orders {
    Orders {
        term: 7,
        token: TOKEN,
        lease_ms: LEASE.as_millis() as u64,
        starts_ms: LEASE.as_millis() as u64,
        starts,
        is_cordoned,
        ..Orders::default()
    }
}

fn answer(fixture: &mut Fixture, now: u64, ticket: Ticket, orders: Orders) {
    fixture.handle(now, Event::Orders(ticket, Box::new(orders)));
}

/// Answers the latest poll.
fn answer_latest(fixture: &mut Fixture, now: u64, orders: Orders) {
    let (ticket, _) = fixture.polls.pop().expect("the agent has polled");
    answer(fixture, now, ticket, orders);
}

/// Returns the runs that were refused, as far as the polls report them.
fn refused(fixture: &Fixture) -> Vec<(Option<Run>, Rejection)> {
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    poll.verdicts.iter().map(|verdict| (verdict.run.clone(), verdict.rejection())).collect()
}

/// Guards against a start in a cordoned zone: the order arrives together with the cordon, or after
/// it.
#[test]
fn starts_in_a_cordoned_zone_are_refused() {
    let mut fixture = Fixture::fenced();
    answer_latest(&mut fixture, 100, orders(vec![start(4)], true));
    fixture.handle(150, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
    assert_eq!(refused(&fixture), vec![(Some(run(4)), Rejection::Cordoned)]);
}

/// Guards against a start in a cordoned zone: an earlier attempt had no answer. It is not repeated;
/// a stop invalidates it, since it may still be carried out.
#[test]
fn an_unanswered_start_is_not_repeated_in_a_cordoned_zone() {
    let mut fixture = Fixture::fenced();
    answer_latest(&mut fixture, 100, orders(vec![start(4)], false));
    let first = fixture.take_call(is_start);
    fixture.handle(110, Event::Tick);
    answer_latest(&mut fixture, 120, orders(Vec::new(), true));
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    fixture.handle(700, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
    fixture.take_call(|call| matches!(call, Call::Stop { number: 4, .. }));
}

/// Guards against a cordon that is undone by an answer to an earlier poll that arrives late.
#[test]
fn a_late_answer_does_not_undo_a_cordon() {
    let mut fixture = Fixture::fenced();
    let (earlier, _) = fixture.polls.pop().expect("the agent has polled");
    // A change of the minion's state is reported at once, in a second poll.
    fixture.heartbeat(100, 1, 2, true);
    fixture.heartbeat(120, 1, 3, false);
    let (later, _) = fixture.polls.pop().expect("the agent has polled again");
    answer(&mut fixture, 200, later, orders(Vec::new(), true));
    answer(&mut fixture, 220, earlier, orders(vec![start(4)], false));
    fixture.handle(250, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
}

/// Guards against a start in a cordoned zone by an agent that was cut off from the planner before
/// the cordon: it repeats an unanswered start only for the time that the planner's latest answer
/// allows, although its lease goes on.
#[test]
fn starts_are_sent_only_for_the_time_allowed() {
    let mut fixture = Fixture { starts_ms: 1_000, ..Fixture::new() }.into_session();
    fixture.answer_polls(100, vec![start(4)], Vec::new());
    let mut last_attempt = 0;
    for now in (150..5_000).step_by(50) {
        let sent: Vec<Ticket> = (fixture.calls.iter())
            .filter(|(_, call)| is_start(call))
            .map(|(ticket, _)| *ticket)
            .collect();
        if !sent.is_empty() {
            last_attempt = now;
        }
        fixture.calls.clear();
        for ticket in sent {
            fixture.handle(now, Event::MinionReply(ticket, Reply::Unknown));
        }
        fixture.handle(now, Event::Tick);
    }
    assert!((300..=1_150).contains(&last_attempt), "the last attempt was at {last_attempt} ms");
}

/// Guards against a start that a planner has ordered that may not start anything.
#[test]
fn a_start_without_permission_waits() {
    let mut fixture = Fixture { starts_ms: 0, ..Fixture::new() }.into_session();
    fixture.answer_polls(100, vec![start(4)], Vec::new());
    fixture.handle(150, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
}
