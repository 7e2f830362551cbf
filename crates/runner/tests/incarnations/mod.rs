//! Tests of starts that were sent to an earlier incarnation of the minion.

use sapphire_jobs::{Running, Unanswered};
use sapphire_runner::{
    event::Event,
    minion::{Call, Reply},
};

use crate::harness::{Fixture, is_start, ms, run, start};

/// Returns an agent that has had no answer to a start, sent at 100 ms.
fn unanswered() -> Fixture {
    let mut fixture = Fixture::fenced_in_incarnations();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    fixture
}

fn reported(fixture: &mut Fixture, now: u64) -> Vec<Unanswered> {
    fixture.answer_polls(now, Vec::new(), Vec::new());
    fixture.handle(now + 20, Event::Tick);
    fixture.polls.last().expect("the agent has polled").1.unanswered.clone()
}

/// Has the incarnation of `born_ms`, whose clock shows this time, list run 1 as running.
fn list_run(fixture: &mut Fixture, now: u64, born_ms: u64, clock: u64) {
    let is_long_poll = |call: &Call| matches!(call, Call::LongPoll { .. });
    let ticket = fixture.take_call(is_long_poll);
    let running = vec![Running { run: Some(run(1)), ..Running::default() }];
    let reply =
        Reply::Listed { born_ms, clock: ms(clock), running, ended: Vec::new(), unreadable: 0 };
    fixture.handle(now, Event::MinionReply(ticket, reply));
}

/// Guards against a planner that takes a start for one that the present incarnation may carry out.
#[test]
fn polls_report_which_incarnation_a_start_was_sent_to() {
    let mut fixture = unanswered();
    assert_eq!(reported(&mut fixture, 480)[0].born_ms, 1);
    fixture.heartbeat(600, 2, 1, false);
    assert_eq!(reported(&mut fixture, 680)[0].born_ms, 1);
}

/// Guards against a start that counts again under a planner that doesn't know when its lease was over.
#[test]
fn starts_are_not_reported_once_their_leases_are_over() {
    let mut fixture = unanswered();
    assert_eq!(reported(&mut fixture, 480).len(), 1);
    // No poll was answered for longer than the lease.
    assert_eq!(reported(&mut fixture, 7_300), []);
}

/// Guards against tasks that run twice on a platform whose minions carry out calls for an earlier
/// incarnation, although its protocol says that they don't.
#[test]
fn a_start_that_a_later_incarnation_has_carried_out_is_reported() {
    let mut fixture = unanswered();
    fixture.replace_minion(2_000, 2);
    // By its clock, the incarnation began at 2,000 ms.
    list_run(&mut fixture, 2_600, 2, 600);
    fixture.answer_polls(2_650, Vec::new(), Vec::new());
    fixture.handle(2_700, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    let found = poll.late_call.as_ref().expect("it was found");
    assert_eq!((found.sent_to_ms, found.born_ms, &found.run), (1, 2, &Some(run(1))));
}

/// Guards against waits that nothing forces: the incarnation may have begun before the start was sent,
/// which names both.
#[test]
fn a_start_that_was_sent_after_an_incarnation_began_is_no_late_call() {
    let mut fixture = unanswered();
    fixture.replace_minion(2_000, 2);
    list_run(&mut fixture, 2_600, 2, 2_400);
    fixture.answer_polls(2_650, Vec::new(), Vec::new());
    fixture.handle(2_700, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.late_call, None);
}
