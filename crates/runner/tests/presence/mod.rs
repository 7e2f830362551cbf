//! Tests of a minion that seems to be absent: the agent reports a suspicion, and its end only once that is
//! certain.

use sapphire_jobs::{
    AbsenceCause, Ended, Ending, Lead, Orders, Poll, Rejection, Run, Running, Start, Verdict,
};
use sapphire_runner::{
    event::Event,
    machine::Machine,
    minion::{Call, Reply},
    options::Options,
};

use crate::harness::{Fixture, TOKEN, is_start, ms, run, start};

/// Longest time after the latest poll in which a lease was granted until it has certainly ended.
const LEASE_BOUND: u64 = 6_000 + 120 + 300;

/// Returns the order to start a task of this index.
fn start_of(index: u32) -> Start {
    Start { run: Some(Run { index, ..run(1) }), spec: "s".to_owned(), ..Start::default() }
}

/// Answers all calls to the minion in the same way.
fn answer_calls(fixture: &mut Fixture, now: u64, reply: &Reply) -> usize {
    let calls = std::mem::take(&mut fixture.calls);
    for (ticket, _) in &calls {
        fixture.handle(now, Event::MinionReply(*ticket, reply.clone()));
    }
    calls.len()
}

/// Answers all polls without a lease.
fn answer_polls(fixture: &mut Fixture, now: u64) {
    for (ticket, _) in std::mem::take(&mut fixture.polls) {
        let orders = Orders { term: 7, token: TOKEN, ..Orders::default() };
        fixture.handle(now, Event::Orders(ticket, Box::new(orders)));
    }
}

/// Returns the next poll, which reports what is known at this time.
fn next_poll(fixture: &mut Fixture, now: u64) -> Poll {
    answer_polls(fixture, now);
    fixture.handle(now + 20, Event::Tick);
    fixture.polls.last().expect("the agent has polled").1.clone()
}

fn assert_suspected(poll: &Poll, cause: AbsenceCause) {
    assert!(!poll.is_minion_gone);
    assert_eq!(poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms), Some(1));
    assert_eq!(poll.fenced_token, TOKEN);
    assert_eq!(poll.absence.as_ref().map(|absence| absence.cause()), Some(cause));
}

/// Guards against a task that runs twice: all calls of one instant are refused, and the minion goes on.
#[test]
fn calls_that_are_refused_in_one_instant_show_no_end() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, (0..3).map(start_of).collect(), Vec::new());
    let calls = fixture.calls.iter().filter(|(_, call)| is_start(call)).count();
    assert_eq!(calls, 3);
    assert!(answer_calls(&mut fixture, 110, &Reply::NotListening) >= 4);
    let poll = next_poll(&mut fixture, 150);
    assert_suspected(&poll, AbsenceCause::NotListening);
    // It answers again, in the same session.
    for now in (200..800).step_by(20) {
        fixture.handle(now, Event::Tick);
        // Each answer has the agent send the next long poll, which is answered in the next round.
        for (ticket, call) in std::mem::take(&mut fixture.calls) {
            let Call::LongPoll { token, .. } = call else { continue };
            assert_eq!(token, TOKEN);
            fixture.send_list(now + 1, ticket, Vec::new());
        }
    }
    let poll = next_poll(&mut fixture, 850);
    assert_eq!(poll.absence, None);
    assert_eq!(poll.fenced_token, TOKEN);
    assert_eq!(poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms), Some(1));
}

/// Guards against a task that runs twice: connections are refused for longer, while the minion's lease
/// goes on.
#[test]
fn refused_connections_show_no_end_before_the_lease_is_over() {
    let mut fixture = Fixture::fenced();
    // The latest poll with a lease was sent at 40 at the earliest.
    for now in (100..40 + LEASE_BOUND).step_by(50) {
        answer_calls(&mut fixture, now, &Reply::NotListening);
        answer_polls(&mut fixture, now + 10);
        fixture.handle(now + 20, Event::Tick);
        assert!(fixture.polls.iter().all(|(_, poll)| !poll.is_minion_gone), "after {now} ms");
    }
}

/// Guards against a task that starts again although it is done: a minion that has refused connections is
/// asked again only long after its lease, while the planner takes the lease for over.
#[test]
fn a_minion_is_asked_for_its_ends_once_its_lease_is_over() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start_of(0)], Vec::new());
    let ticket = fixture.take_call(is_start);
    fixture.handle(110, Event::MinionReply(ticket, Reply::Done));
    fixture.answer_polls(120, Vec::new(), Vec::new());
    // Of the longest lease that was granted, with the drift of the minion's clock.
    let over_at = 120 + 6_000 + 200;
    let mut asked = Vec::new();
    for now in (130..over_at + 300).step_by(10) {
        if answer_calls(&mut fixture, now, &Reply::NotListening) > 0 {
            asked.push(now);
        }
        answer_polls(&mut fixture, now);
        fixture.handle(now, Event::Tick);
    }
    let last = asked.iter().filter(|at| (over_at..over_at + 300).contains(at)).count();
    assert!(last >= 2, "the minion was asked {last} times: {asked:?}");
}

/// Guards against ends that wait for a connection which has gone silent: the planner says that it hears
/// nothing, and a poll is in flight that must have arrived.
#[test]
fn a_planner_that_hears_nothing_is_polled_again() {
    let mut fixture = Fixture::fenced();
    fixture.handle(100, Event::Tick);
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    // A poll that was sent a short time before may have crossed the question.
    for (now, polls) in [(350, 1), (450, 2), (700, 2), (800, 3)] {
        fixture.handle(now, Event::Announced(lead.clone()));
        assert_eq!(fixture.polls.len(), polls, "after {now} ms");
    }
}

/// Guards against a task that runs twice: a minion deregisters, and lists the end of its run later.
#[test]
fn a_minion_that_has_deregistered_is_still_asked_for_its_ends() {
    let mut fixture = Fixture::fenced();
    fixture.heartbeat(70, 1, 2, true);
    fixture.handle(100, Event::Deregistered("m".to_owned()));
    let poll = next_poll(&mut fixture, 150);
    assert_suspected(&poll, AbsenceCause::Deregistered);
    let ended = Ended {
        number: 1,
        run: Some(run(1)),
        ending: Ending::Done.into(),
        checkpoint: String::new(),
    };
    fixture.handle(400, Event::Tick);
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(500, long_poll, vec![ended]);
    let poll = next_poll(&mut fixture, 520);
    assert_eq!(poll.ended.len(), 1);
    assert!(!poll.is_minion_gone);
}

/// Guards against a run that counts as lost with a minion that has deregistered: its heartbeats go on.
#[test]
fn heartbeats_after_the_deregistration_are_of_the_same_minion() {
    let mut fixture = Fixture::fenced();
    fixture.heartbeat(70, 1, 2, true);
    fixture.handle(100, Event::Deregistered("m".to_owned()));
    fixture.heartbeat(300, 1, 3, true);
    let poll = next_poll(&mut fixture, 350);
    assert!(!poll.is_minion_gone);
    assert_eq!(poll.fenced_token, TOKEN);
}

/// Guards against a task that runs twice: an agent that has just started is refused three times, while the
/// minion runs on with the lease that the process before has passed on.
#[test]
fn refused_probes_show_no_end_right_after_the_start() {
    let options = Options {
        name: "a".to_owned(),
        address: "a:1".to_owned(),
        generation: 2,
        entries: vec!["e:1".to_owned()],
        minion_address: "m:1".to_owned(),
        stop_timeout: ms(400),
        longest_lease: ms(10_000),
    };
    let mut fixture = Fixture { machine: Machine::new(options), ..Fixture::new() };
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    fixture.handle(100, Event::Leader(lead));
    for now in (200..3_000).step_by(50) {
        answer_calls(&mut fixture, now, &Reply::NotListening);
        answer_polls(&mut fixture, now + 10);
        fixture.handle(now + 20, Event::Tick);
        assert!(fixture.polls.iter().all(|(_, poll)| !poll.is_minion_gone), "after {now} ms");
    }
}

/// Guards against a task that waits for a start that was never carried out: every attempt was refused by a
/// closed port.
#[test]
fn a_start_whose_attempts_were_all_refused_is_not_unanswered() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    for now in (110..400).step_by(50) {
        answer_calls(&mut fixture, now, &Reply::NotListening);
        fixture.handle(now + 20, Event::Tick);
    }
    let poll = next_poll(&mut fixture, 450);
    assert_eq!(poll.unanswered, Vec::new());
}

/// Guards against a task that runs twice: one attempt had no answer, and the later ones were refused.
#[test]
fn a_start_with_an_attempt_without_an_answer_stays_unanswered() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(410, Event::MinionReply(first, Reply::Unknown));
    for now in (420..800).step_by(50) {
        answer_calls(&mut fixture, now, &Reply::NotListening);
        fixture.handle(now + 20, Event::Tick);
    }
    let poll = next_poll(&mut fixture, 850);
    let unanswered = poll.unanswered.iter().filter(|row| row.run == Some(run(1))).count();
    assert_eq!(unanswered, 1);
    assert!(poll.verdicts.is_empty());
}

/// Guards against an agent that goes on with a start that was refused, and is listed later all the same: it
/// reports both, and leaves the decision to the planner.
#[test]
fn a_late_copy_of_a_refused_start_is_reported() {
    for reason in [
        Rejection::Old,
        Rejection::Late,
        Rejection::NoRoom,
        Rejection::Draining,
        Rejection::Unhealthy,
        Rejection::Malformed,
        Rejection::NoTicket,
        Rejection::Cordoned,
    ] {
        let mut fixture = Fixture::fenced();
        fixture.answer_polls(100, vec![start(1)], Vec::new());
        let call = fixture.take_call(is_start);
        fixture.handle(110, Event::MinionReply(call, Reply::Refused(reason)));
        let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
        fixture.handle(130, Event::Tick);
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        let verdict = Verdict { run: Some(run(1)), rejection: reason.into() };
        assert_eq!(poll.verdicts, vec![verdict], "{reason:?}");
        let running = vec![Running { run: Some(run(1)), ..Running::default() }];
        let ended = Vec::new();
        let list = Reply::Listed { born_ms: 1, clock: ms(300), running, ended, unreadable: 0 };
        fixture.handle(300, Event::MinionReply(long_poll, list));
        let poll = next_poll(&mut fixture, 320);
        assert_eq!(poll.running.len(), 1, "{reason:?}");
    }
}
