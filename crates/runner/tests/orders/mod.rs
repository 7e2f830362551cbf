//! Tests of orders to start and to stop tasks, and of how they are resolved.

use sapphire_jobs::{
    Ended, Ending, Incarnation, Orders, Rejection, Run, Running, Start, Unanswered,
};
use sapphire_runner::{
    event::Event,
    minion::{Call, Heartbeat, Reply},
};

use crate::harness::{Fixture, LEASE, TOKEN, is_start, ms, run, start};

/// Guards against a task that runs twice: an unanswered start may be carried out at any time until
/// its lease has ended. The agent repeats it with the same run number, so that the minion
/// recognises the late one.
#[test]
fn an_unanswered_start_is_sent_again_as_the_same_run() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(3)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let again = fixture.calls.iter().find(|(_, call)| is_start(call)).expect("sent again");
    let Call::Start { start: order, token, .. } = &again.1 else { unreachable!() };
    assert_eq!(order.run, Some(run(3)));
    assert_eq!(*token, TOKEN);
}

/// Guards against a task that runs twice: the minion carries out a start but its answer is lost,
/// and the task is done within half a second. The repetition is refused because the run has ended;
/// reported as a run that never started, the planner would start the task again. Only a list shows
/// the outcome.
#[test]
fn a_start_refused_after_an_unanswered_attempt_is_resolved_by_a_list() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(4)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let again = fixture.take_call(is_start);
    fixture.handle(410, Event::MinionReply(again, Reply::Refused(Rejection::Old)));
    fixture.handle(450, Event::Tick);
    assert!(fixture.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "it may have run");
    let done =
        Ended { number: 7, run: Some(run(4)), ending: Ending::Done.into(), ..Ended::default() };
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(500, long_poll, vec![done]);
    fixture.handle(550, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.ended.first().map(|ended| ended.ending()), Some(Ending::Done));
    assert!(poll.verdicts.is_empty() && poll.pending.is_empty());
}

/// Guards against a task that runs twice: an unanswered start is carried out seconds later, after
/// its repetition was rejected by the unhealthy minion and the task was placed elsewhere. A stop
/// invalidates the late start before the refusal is reported.
#[test]
fn a_start_rejected_after_an_unanswered_attempt_is_stopped_first() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(4)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let again = fixture.take_call(is_start);
    fixture.handle(410, Event::MinionReply(again, Reply::Refused(Rejection::Unhealthy)));
    fixture.handle(450, Event::Tick);
    assert!(fixture.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "it may run later");
    let stop = fixture.take_call(|call| matches!(call, Call::Stop { number: 4, .. }));
    fixture.handle(460, Event::MinionReply(stop, Reply::Done));
    let mut reported = Vec::new();
    for time in [470, 900, 1_350, 1_800, 2_250] {
        let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
        fixture.send_list(time, long_poll, Vec::new());
        fixture.handle(time + 10, Event::Tick);
        reported.extend(fixture.polls.iter().flat_map(|(_, poll)| poll.verdicts.clone()));
        fixture.answer_polls(time + 400, Vec::new(), Vec::new());
        fixture.handle(time + 420, Event::Tick);
        reported.extend(fixture.polls.iter().flat_map(|(_, poll)| poll.verdicts.clone()));
    }
    assert_eq!(reported.first().map(|verdict| verdict.rejection()), Some(Rejection::Old));
}

/// Guards against a task that runs twice: the planner answers two concurrent polls with the same
/// start. The minion refuses the first attempt, and the planner starts the task elsewhere. The
/// start of the second answer, which arrives after that, must not be carried out.
#[test]
fn a_refused_start_is_not_attempted_again_for_a_late_answer() {
    let mut fixture = Fixture::fenced();
    let (early, _) = fixture.polls.pop().expect("the agent has polled");
    // A change of the minion lets the agent poll again while the planner holds the first poll.
    fixture.heartbeat(70, 1, 2, false);
    let ended = Ended { number: 1, run: Some(run(9)), ..Ended::default() };
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(80, long_poll, vec![ended]);
    fixture.handle(90, Event::Tick);
    let (late, _) = fixture.polls.pop().expect("the agent has polled again");
    let orders = |starts: Vec<Start>| {
        let lease_ms = LEASE.as_millis() as u64;
        Box::new(Orders { term: 7, token: TOKEN, lease_ms, starts, ..Orders::default() })
    };
    fixture.handle(100, Event::Orders(early, orders(vec![start(2)])));
    let first = fixture.take_call(is_start);
    fixture.handle(101, Event::MinionReply(first, Reply::Refused(Rejection::Unhealthy)));
    fixture.handle(108, Event::Orders(late, orders(vec![start(2)])));
    fixture.handle(120, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)), "it was reported as refused");
    // A later run of the same task is another matter.
    fixture.answer_polls(200, vec![start(3)], Vec::new());
    fixture.take_call(is_start);
}

/// Guards against a cancelled job that runs on: an unhealthy minion refuses the stop and changes
/// nothing. If the agent took the refusal for an answer, it would report a run that can no longer
/// start, while an earlier attempt of its start may still be carried out.
#[test]
fn a_stop_that_an_unhealthy_minion_refuses_is_sent_again() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, Vec::new(), vec![run(4)]);
    let is_stop = |call: &Call| matches!(call, Call::Stop { number: 4, .. });
    let first = fixture.take_call(is_stop);
    fixture.handle(110, Event::MinionReply(first, Reply::Refused(Rejection::Unhealthy)));
    let again = fixture.take_call(is_stop);
    fixture.handle(120, Event::MinionReply(again, Reply::Done));
    fixture.handle(130, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_stop(call)));
}

/// A start that is refused on its first attempt has certainly not been carried out: the planner
/// learns of it at once, and places the task elsewhere without waiting for a list.
#[test]
fn a_start_refused_on_its_first_attempt_is_reported_at_once() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(4)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(110, Event::MinionReply(first, Reply::Refused(Rejection::NoRoom)));
    fixture.handle(150, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.verdicts.last().map(|verdict| verdict.rejection()), Some(Rejection::NoRoom));
}

/// Guards against a task that runs on two machines: an agent is cut off from the planner, which
/// waits until the minion's lease has certainly ended and starts the task elsewhere. The agent must
/// not send an outstanding order after that.
#[test]
fn nothing_is_started_without_a_lease() {
    let mut fixture = Fixture::fenced();
    let expired = 20 + LEASE.as_millis() as u64 + 10_000;
    fixture.handle(expired, Event::Tick);
    fixture.calls.clear();
    fixture.machine.handle(ms(expired), Event::Tick);
    let orders = Orders {
        term: 7,
        token: TOKEN,
        lease_ms: LEASE.as_millis() as u64,
        starts: vec![start(1)],
        ..Orders::default()
    };
    // A very late answer to a poll, whose ticket the agent no longer knows.
    fixture.handle(expired + 1, Event::Orders(1, Box::new(orders)));
    fixture.handle(expired + 200, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
}

/// Guards against a cancelled job that keeps a worker busy: the start is still unanswered when the
/// stop is ordered. The stop resolves it, and the planner learns that the run is not there.
#[test]
fn a_stop_resolves_an_unanswered_start() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(110, Event::Tick);
    fixture.answer_polls(150, Vec::new(), vec![run(1)]);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let stop = fixture.take_call(|call| matches!(call, Call::Stop { .. }));
    fixture.handle(420, Event::MinionReply(stop, Reply::Done));
    fixture.answer_polls(430, Vec::new(), Vec::new());
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if wait.is_zero()));
    fixture.send_list(440, long_poll, Vec::new());
    fixture.handle(460, Event::Tick);
    assert!(
        fixture.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()),
        "its resources may be occupied"
    );
    fixture.calls.clear();
    fixture.answer_polls(810, Vec::new(), Vec::new());
    fixture.handle(830, Event::Tick);
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(850, long_poll, Vec::new());
    fixture.handle(870, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.pending.is_empty());
    assert_eq!(poll.verdicts.last().map(|verdict| verdict.rejection()), Some(Rejection::Old));
}

/// Guards against a task that starts long after its minion began to drain: the unanswered start was
/// repeated again and again.
#[test]
fn an_unanswered_start_is_stopped_when_the_minion_drains() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let order = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(order, Reply::Unknown));
    let again = fixture.take_call(is_start);
    fixture.heartbeat(450, 1, 2, true);
    fixture.handle(700, Event::MinionReply(again, Reply::Unknown));
    for time in (700..3_000).step_by(50) {
        fixture.handle(time, Event::Tick);
    }
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)), "{:?}", fixture.calls);
    fixture.take_call(|call| matches!(call, Call::Stop { number: 1, .. }));
}

/// Guards against a start that is sent for the first time after the minion began to drain.
#[test]
fn an_unsent_start_is_refused_when_the_minion_drains() {
    let mut fixture = Fixture::fenced();
    let starts = (0..5).map(|index| {
        let run = Run { index, ..run(1) };
        Start { run: Some(run), spec: "s".to_owned(), ..Start::default() }
    });
    fixture.answer_polls(100, starts.collect(), Vec::new());
    let sent = fixture.calls.iter().filter(|(_, call)| is_start(call)).count();
    fixture.heartbeat(150, 1, 2, true);
    while let Some(at) = fixture.calls.iter().position(|(_, call)| is_start(call)) {
        let (ticket, _) = fixture.calls.remove(at);
        fixture.handle(200, Event::MinionReply(ticket, Reply::Done));
    }
    fixture.handle(250, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    let refused = poll.verdicts.iter().filter(|it| it.rejection() == Rejection::Draining);
    assert_eq!(refused.count(), 5 - sent);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
}

/// Guards against a task that starts again after it was done: a late attempt is carried out, and
/// the order is repeated until the next incarnation of the minion carries it out.
#[test]
fn a_listed_start_is_not_sent_again() {
    let done =
        Ended { number: 1, run: Some(run(1)), ending: Ending::Done.into(), ..Ended::default() };
    let running = Running { run: Some(run(1)), ..Running::default() };
    for (running, ended) in [(vec![running], Vec::new()), (Vec::new(), vec![done])] {
        let mut fixture = Fixture::fenced();
        fixture.answer_polls(100, vec![start(1)], Vec::new());
        let first = fixture.take_call(is_start);
        fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
        let second = fixture.take_call(is_start);
        fixture.handle(700, Event::MinionReply(second, Reply::Unknown));
        let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
        let clock = ms(710);
        let list = Reply::Listed { born_ms: 1, clock, running, ended, unreadable: 0 };
        fixture.handle(710, Event::MinionReply(long_poll, list));
        for time in (720..4_000).step_by(60) {
            fixture.handle(time, Event::Tick);
        }
        assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)), "{:?}", fixture.calls);
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        assert!(poll.pending.is_empty());
    }
}

/// Guards against a task that runs twice: while the agent was paused, its minion restarted, and the
/// new incarnation has carried out a late order of an earlier run of the task.
#[test]
fn an_agent_that_was_paused_requests_a_list_before_it_sends_orders() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(2)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(2_000, Event::MinionReply(first, Reply::Unknown));
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)), "another incarnation may run");
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if wait.is_zero()));
    fixture.send_list(2_001, long_poll, Vec::new());
    fixture.take_call(is_start);
}

/// Guards against a planner that takes a stop for being in progress while the agent still has only
/// the start.
#[test]
fn polls_report_outstanding_starts_and_stops_separately() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    fixture.handle(150, Event::Tick);
    let outstanding = |fixture: &Fixture| {
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        (poll.pending.clone(), poll.stopping.clone())
    };
    assert_eq!(outstanding(&fixture), (vec![run(1)], Vec::new()));
    fixture.answer_polls(200, Vec::new(), vec![run(1)]);
    fixture.handle(250, Event::Tick);
    assert_eq!(outstanding(&fixture), (Vec::new(), vec![run(1)]));
}

/// Guards against a stop that counts as carried out although the minion could not read it, and
/// against one that is repeated without a delay to a minion that follows a newer planner.
#[test]
fn a_stop_that_was_not_carried_out_is_sent_again_after_a_delay() {
    for rejection in [Rejection::Fenced, Rejection::Malformed] {
        let mut fixture = Fixture::fenced();
        fixture.answer_polls(100, Vec::new(), vec![run(1)]);
        let is_stop = |call: &Call| matches!(call, Call::Stop { .. });
        let mut sent = 0;
        for time in 110..1_110 {
            if let Some(at) = fixture.calls.iter().position(|(_, call)| is_stop(call)) {
                let (ticket, _) = fixture.calls.remove(at);
                sent += 1;
                fixture.handle(time, Event::MinionReply(ticket, Reply::Refused(rejection)));
            } else {
                fixture.handle(time, Event::Tick);
            }
        }
        assert!((2..=6).contains(&sent), "{rejection:?}: {sent} times in a second");
    }
}

/// Guards against a planner that does not know which starts may still be carried out, by this
/// incarnation of the minion or by the next.
#[test]
fn polls_report_unanswered_starts() {
    let mut fixture = Fixture::fenced();
    let reported = |fixture: &mut Fixture, now: u64| {
        fixture.answer_polls(now, Vec::new(), Vec::new());
        fixture.handle(now + 20, Event::Tick);
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        let row = |row: &Unanswered| (row.run.as_ref().map_or(0, |run| run.run), row.age_ms);
        poll.unanswered.iter().map(row).collect::<Vec<_>>()
    };
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    assert_eq!(reported(&mut fixture, 200), [], "an answer may come");
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    assert_eq!(reported(&mut fixture, 480), [(1, 380)]);
    // The run has started, and the earlier attempt is still in flight.
    let second = fixture.take_call(is_start);
    fixture.handle(510, Event::MinionReply(second, Reply::Done));
    assert_eq!(reported(&mut fixture, 580), [(1, 480)]);
    // The minion restarts under its name, which does not invalidate starts in flight.
    fixture.heartbeat(600, 2, 1, false);
    assert_eq!(reported(&mut fixture, 680), [(1, 580)]);
    assert_eq!(reported(&mut fixture, 12_060), [(1, 11_960)]);
    assert_eq!(reported(&mut fixture, 12_100), []);
}

/// Guards against tasks that wait without need: calls name the minion that they are meant for, so a
/// minion of another name never carries out an unanswered start.
#[test]
fn a_minion_of_another_name_carries_out_no_earlier_start() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let incarnation = Incarnation { id: "n".to_owned(), born_ms: 2, ..Incarnation::default() };
    let heartbeat = Heartbeat { incarnation, address: "n:1".to_owned(), sequence: 1 };
    fixture.handle(410, Event::Heartbeat(Box::new(heartbeat)));
    fixture.handle(450, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.unanswered, []);
}

/// Guards against a next incarnation of the minion that carries out late starts while its agent
/// waits for an answer of the previous one.
#[test]
fn long_polls_wait_briefly_while_a_start_may_still_be_carried_out() {
    let mut fixture = Fixture::fenced();
    let longest_wait = |fixture: &mut Fixture, from: u64, to: u64| {
        let mut longest = 0;
        for time in (from..to).step_by(10) {
            fixture.handle(time, Event::Tick);
            let is_long_poll = |(_, call): &(_, Call)| matches!(call, Call::LongPoll { .. });
            let Some(at) = fixture.calls.iter().position(is_long_poll) else { continue };
            let (ticket, call) = fixture.calls.remove(at);
            let Call::LongPoll { wait, .. } = call else { unreachable!() };
            longest = wait.as_millis().max(longest);
            fixture.send_list(time, ticket, Vec::new());
        }
        longest
    };
    assert_eq!(longest_wait(&mut fixture, 90, 100), 400);
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let second = fixture.take_call(is_start);
    fixture.handle(410, Event::MinionReply(second, Reply::Done));
    longest_wait(&mut fixture, 420, 440);
    assert_eq!(longest_wait(&mut fixture, 440, 12_080), 20);
    assert_eq!(longest_wait(&mut fixture, 12_110, 12_200), 400);
}

/// Guards against a task that was done and starts again: a stop must not count as resolved while
/// the end of its run may be beyond those of one list.
#[test]
fn a_run_that_is_missing_from_a_list_that_is_cut_off_may_have_ended() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, Vec::new(), vec![run(1)]);
    let stop = fixture.take_call(|call| matches!(call, Call::Stop { .. }));
    fixture.handle(110, Event::MinionReply(stop, Reply::Done));
    let other = |number| Ended { number, run: Some(run(9)), ..Ended::default() };
    for time in (600..2_000).step_by(100) {
        fixture.handle(time, Event::Tick);
        let is_long_poll = |(_, call): &(_, Call)| matches!(call, Call::LongPoll { .. });
        let Some(at) = fixture.calls.iter().position(is_long_poll) else { continue };
        let (ticket, _) = fixture.calls.remove(at);
        fixture.send_list(time, ticket, (1..=500).map(other).collect());
        fixture.handle(time + 10, Event::Tick);
        assert!(fixture.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "at {time}");
        fixture.answer_polls(time + 20, Vec::new(), Vec::new());
    }
    fixture.handle(2_100, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.stopping, [run(1)]);
}

/// Answers a long poll every 100 ms with `ended` and a number of unreadable rows, and all polls.
fn send_partial_lists(
    fixture: &mut Fixture,
    times: std::ops::Range<u64>,
    ended: &[Ended],
    unreadable: usize,
) {
    for time in times.step_by(100) {
        fixture.handle(time, Event::Tick);
        let is_long_poll = |(_, call): &(_, Call)| matches!(call, Call::LongPoll { .. });
        let Some(at) = fixture.calls.iter().position(is_long_poll) else { continue };
        let (ticket, _) = fixture.calls.remove(at);
        let (clock, ended) = (ms(time), ended.to_vec());
        let list = Reply::Listed { born_ms: 1, clock, running: Vec::new(), ended, unreadable };
        fixture.handle(time, Event::MinionReply(ticket, list));
        fixture.handle(time + 10, Event::Tick);
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        let stopping = poll.stopping.clone();
        fixture.answer_polls(time + 20, Vec::new(), stopping);
    }
}

/// An agent whose minion has accepted to stop a run.
fn stopped() -> Fixture {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, Vec::new(), vec![run(1)]);
    let stop = fixture.take_call(|call| matches!(call, Call::Stop { .. }));
    fixture.handle(110, Event::MinionReply(stop, Reply::Done));
    fixture
}

/// Guards against a run that counts as absent although a row that can't be read may name it, and
/// against one that is waited for as long as another writer's row is listed.
#[test]
fn a_run_that_an_unreadable_row_may_name_is_not_absent() {
    let mut fixture = stopped();
    send_partial_lists(&mut fixture, 200..3_100, &[], 1);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.stopping, [run(1)]);
    assert!(poll.is_partial);
    send_partial_lists(&mut fixture, 3_100..4_500, &[], 1);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(!poll.is_partial);
    assert!(poll.stopping.is_empty(), "the row is another writer's");
}

/// Guards against a list that is cut off but counts as whole, since one of its rows can't be read.
#[test]
fn a_list_with_an_unreadable_row_may_be_cut_off() {
    let mut fixture = stopped();
    let other = |number| Ended { number, run: Some(run(9)), ..Ended::default() };
    let ended: Vec<Ended> = (1..=499).map(other).collect();
    send_partial_lists(&mut fixture, 200..8_000, &ended, 1);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.stopping, [run(1)]);
    assert!(poll.is_partial);
}

/// Guards against two runs of a task in the minion's next incarnation: the start of the first had
/// no answer and was stopped, and the start of the second is sent while the first may still be
/// carried out.
#[test]
fn starts_of_two_runs_of_a_task_are_not_open_at_once() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.answer_polls(150, Vec::new(), vec![run(1)]);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let stop = fixture.take_call(|call| matches!(call, Call::Stop { .. }));
    fixture.handle(420, Event::MinionReply(stop, Reply::Done));
    for time in (440..1_400).step_by(20) {
        fixture.handle(time, Event::Tick);
        let is_long_poll = |(_, call): &(_, Call)| matches!(call, Call::LongPoll { .. });
        let Some(at) = fixture.calls.iter().position(is_long_poll) else { continue };
        let (ticket, _) = fixture.calls.remove(at);
        fixture.send_list(time, ticket, Vec::new());
    }
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.verdicts.last().map(|it| it.rejection()), Some(Rejection::Old));
    assert_eq!(
        poll.unanswered.iter().filter_map(|it| it.run.clone()).collect::<Vec<_>>(),
        [run(1)]
    );
    fixture.answer_polls(1_410, vec![start(2)], Vec::new());
    fixture.handle(1_430, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)), "run 1 may start until 12100");
}

/// Guards against a planner that waits too briefly after this agent is killed: an earlier attempt
/// was carried out late and is listed while the latest one is still in flight.
#[test]
fn polls_report_attempts_in_flight_of_runs_that_are_listed() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let mut time = 100;
    for _ in 0..4 {
        let attempt = fixture.take_call(is_start);
        time += 300;
        fixture.handle(time, Event::MinionReply(attempt, Reply::Unknown));
        while !fixture.calls.iter().any(|(_, call)| is_start(call)) {
            time += 20;
            fixture.handle(time, Event::Tick);
        }
    }
    let sent_at = time;
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    let running = vec![Running { run: Some(run(1)), ..Running::default() }];
    let list =
        Reply::Listed { born_ms: 1, clock: ms(time), running, ended: Vec::new(), unreadable: 0 };
    fixture.handle(time + 20, Event::MinionReply(long_poll, list));
    fixture.answer_polls(time + 30, Vec::new(), Vec::new());
    fixture.handle(time + 50, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    let ages: Vec<u64> = poll.unanswered.iter().map(|row| row.age_ms).collect();
    let is_known = !poll.pending.is_empty() || ages.iter().any(|age| *age <= time + 50 - sent_at);
    assert!(is_known, "an attempt was sent 50 ms ago; reported ages: {ages:?}");
}

/// Guards against a task that runs twice: a minion's name returns after one of another name was
/// there, while a start that was sent to it may still be carried out.
#[test]
fn a_minion_whose_name_returns_may_carry_out_an_earlier_start() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let first = fixture.take_call(is_start);
    fixture.handle(400, Event::MinionReply(first, Reply::Unknown));
    let incarnation = Incarnation { id: "n".to_owned(), born_ms: 2, ..Incarnation::default() };
    let heartbeat = Heartbeat { incarnation, address: "n:1".to_owned(), sequence: 1 };
    fixture.handle(410, Event::Heartbeat(Box::new(heartbeat)));
    fixture.heartbeat(900, 3, 1, false);
    fixture.answer_polls(910, Vec::new(), Vec::new());
    fixture.handle(930, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    let runs: Vec<Option<Run>> = poll.unanswered.iter().map(|row| row.run.clone()).collect();
    assert_eq!(runs, [Some(run(1))]);
}

/// Guards against a task that runs twice: while this process was paused, the minion restarted and
/// carried out a late start. A list that was sent before the pause is read after it, and must not
/// show the planner that the start has expired without a run.
#[test]
fn a_list_from_before_a_pause_is_not_reported_as_new() {
    let mut fixture = Fixture::fenced();
    fixture.handle(200, Event::Tick);
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(4_000, long_poll, Vec::new());
    fixture.answer_polls(4_002, Vec::new(), Vec::new());
    fixture.handle(4_020, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.list_age_ms >= 3_000, "reported age: {} ms", poll.list_age_ms);
}
