//! Orders to start and to stop, and what settles them.

use sapphire_jobs::{
    Ended, Ending, Incarnation, Orders, Rejection, Run, Running, Start, Unanswered,
};
use sapphire_runner::{
    event::Event,
    minion::{Beat, Call, Reply},
};

use crate::harness::{Bench, LEASE, TOKEN, is_start, ms, run, start};

/// A farmer is billed twice. An order to start gets no answer; it may be carried out at any time
/// until its lease has run out. The agent sends it again, with the same run, so that a late one
/// finds the run already there.
#[test]
fn an_order_without_an_answer_is_sent_again_as_the_same_run() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(3)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let again = bench.calls.iter().find(|(_, call)| is_start(call)).expect("sent again");
    let Call::Start { start: order, token, .. } = &again.1 else { unreachable!() };
    assert_eq!(order.run, Some(run(3)));
    assert_eq!(*token, TOKEN);
}

/// A farmer is billed twice. A start gets no answer, but the minion carries it out, and the task is
/// done within half a second. The start that is sent again is refused, since the run has ended;
/// the planner was told that it never ran, and started the task once more. Only a list tells what
/// came of it.
#[test]
fn a_start_refused_after_one_without_an_answer_is_settled_by_a_list() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(4)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let again = bench.take(is_start);
    bench.tell(410, Event::Minion(again, Reply::Refused(Rejection::Old)));
    bench.tell(450, Event::Tick);
    assert!(bench.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "it may have run");
    let done =
        Ended { number: 7, run: Some(run(4)), ending: Ending::Done.into(), ..Ended::default() };
    let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
    bench.list(500, hold, vec![done]);
    bench.tell(550, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.ended.first().map(|ended| ended.ending()), Some(Ending::Done));
    assert!(poll.verdicts.is_empty() && poll.pending.is_empty());
}

/// A farmer is billed twice. A start gets no answer and will be carried out seconds later; the one
/// that is sent again is turned away, since the minion is not well. The task went elsewhere, and
/// then ran here as well. A stop makes the late one void before anything is told.
#[test]
fn a_start_turned_away_after_one_without_an_answer_is_stopped_first() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(4)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let again = bench.take(is_start);
    bench.tell(410, Event::Minion(again, Reply::Refused(Rejection::Unhealthy)));
    bench.tell(450, Event::Tick);
    assert!(bench.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "it may run later");
    let stop = bench.take(|call| matches!(call, Call::Stop { number: 4, .. }));
    bench.tell(460, Event::Minion(stop, Reply::Done));
    let mut told = Vec::new();
    for time in [470, 900, 1_350, 1_800, 2_250] {
        let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
        bench.list(time, hold, Vec::new());
        bench.tell(time + 10, Event::Tick);
        told.extend(bench.polls.iter().flat_map(|(_, poll)| poll.verdicts.clone()));
        bench.orders(time + 400, Vec::new(), Vec::new());
        bench.tell(time + 420, Event::Tick);
        told.extend(bench.polls.iter().flat_map(|(_, poll)| poll.verdicts.clone()));
    }
    assert_eq!(told.first().map(|verdict| verdict.rejection()), Some(Rejection::Old));
}

/// A voucher is issued twice. The planner answers two polls that were under way at once, both with
/// the same start. The minion sheds the first try; the planner hears that it was refused and starts
/// the task elsewhere. The second answer arrives after that, and its start was carried out.
#[test]
fn a_start_that_was_refused_is_not_tried_again_for_a_late_answer() {
    let mut bench = Bench::fenced();
    let (early, _) = bench.polls.pop().expect("the agent has polled");
    // News of the minion lets the agent poll again while the first poll is held.
    bench.beat(70, 1, 2, false);
    let ended = Ended { number: 1, run: Some(run(9)), ..Ended::default() };
    let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
    bench.list(80, hold, vec![ended]);
    bench.tell(90, Event::Tick);
    let (late, _) = bench.polls.pop().expect("the agent has polled again");
    let orders = |starts: Vec<Start>| {
        let lease_ms = LEASE.as_millis() as u64;
        Box::new(Orders { term: 7, token: TOKEN, lease_ms, starts, ..Orders::default() })
    };
    bench.tell(100, Event::Orders(early, orders(vec![start(2)])));
    let first = bench.take(is_start);
    bench.tell(101, Event::Minion(first, Reply::Refused(Rejection::Unhealthy)));
    bench.tell(108, Event::Orders(late, orders(vec![start(2)])));
    bench.tell(120, Event::Tick);
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)), "it was told as refused");
    // A later run of the same task is another matter.
    bench.orders(200, vec![start(3)], Vec::new());
    bench.take(is_start);
}

/// A cancelled job runs on. The minion sheds the order to stop and has done nothing; the agent
/// took the refusal for an answer and told of a run that can't start any more, while an earlier
/// try of its start was still to be carried out. Such a stop is sent again.
#[test]
fn a_stop_that_an_unhealthy_minion_refuses_is_sent_again() {
    let mut bench = Bench::fenced();
    bench.orders(100, Vec::new(), vec![run(4)]);
    let is_stop = |call: &Call| matches!(call, Call::Stop { number: 4, .. });
    let first = bench.take(is_stop);
    bench.tell(110, Event::Minion(first, Reply::Refused(Rejection::Unhealthy)));
    let again = bench.take(is_stop);
    bench.tell(120, Event::Minion(again, Reply::Done));
    bench.tell(130, Event::Tick);
    assert!(!bench.calls.iter().any(|(_, call)| is_stop(call)));
}

/// A start that is refused at its first try has certainly not been carried out: the planner is
/// told at once, and the task goes elsewhere without waiting for a list.
#[test]
fn a_start_refused_at_once_is_told_at_once() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(4)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(110, Event::Minion(first, Reply::Refused(Rejection::NoRoom)));
    bench.tell(150, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.verdicts.last().map(|verdict| verdict.rejection()), Some(Rejection::NoRoom));
}

/// Two machines work on the same task. An agent is cut off from the planner, which waits until
/// the minion's lease has certainly run out and starts the task elsewhere. An order that the
/// agent still has in hand must not go out after that.
#[test]
fn nothing_is_started_without_a_lease() {
    let mut bench = Bench::fenced();
    let lapsed = 20 + LEASE.as_millis() as u64 + 10_000;
    bench.tell(lapsed, Event::Tick);
    bench.calls.clear();
    bench.machine.handle(ms(lapsed), Event::Tick);
    let orders = Orders {
        term: 7,
        token: TOKEN,
        lease_ms: LEASE.as_millis() as u64,
        starts: vec![start(1)],
        ..Orders::default()
    };
    // The answer to a poll of long ago: the ticket is not known any more.
    bench.tell(lapsed + 1, Event::Orders(1, Box::new(orders)));
    bench.tell(lapsed + 200, Event::Tick);
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)));
}

/// A job that was cancelled keeps a worker busy. The order to start is still unanswered when the
/// order to stop comes; the stop settles it, and the planner hears that the run is not there.
#[test]
fn a_stop_settles_a_start_without_an_answer() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(1)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(110, Event::Tick);
    bench.orders(150, Vec::new(), vec![run(1)]);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let stop = bench.take(|call| matches!(call, Call::Stop { .. }));
    bench.tell(420, Event::Minion(stop, Reply::Done));
    bench.orders(430, Vec::new(), Vec::new());
    let hold = bench.take(|call| matches!(call, Call::Hold { wait, .. } if wait.is_zero()));
    bench.list(440, hold, Vec::new());
    bench.tell(460, Event::Tick);
    assert!(bench.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "its room may be taken");
    bench.calls.clear();
    bench.orders(810, Vec::new(), Vec::new());
    bench.tell(830, Event::Tick);
    let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
    bench.list(850, hold, Vec::new());
    bench.tell(870, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert!(poll.pending.is_empty());
    assert_eq!(poll.verdicts.last().map(|verdict| verdict.rejection()), Some(Rejection::Old));
}

/// Guards against a task that starts long after its minion's leaving was acknowledged: a start
/// without an answer was sent again and again.
#[test]
fn a_start_without_an_answer_is_stopped_when_the_minion_drains() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(1)], Vec::new());
    let order = bench.take(is_start);
    bench.tell(400, Event::Minion(order, Reply::Unknown));
    let again = bench.take(is_start);
    bench.beat(450, 1, 2, true);
    bench.tell(700, Event::Minion(again, Reply::Unknown));
    for time in (700..3_000).step_by(50) {
        bench.tell(time, Event::Tick);
    }
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)), "{:?}", bench.calls);
    bench.take(|call| matches!(call, Call::Stop { number: 1, .. }));
}

/// Guards against a start that was never sent and is sent once the minion drains.
#[test]
fn a_start_that_was_not_sent_is_refused_when_the_minion_drains() {
    let mut bench = Bench::fenced();
    let starts = (0..5).map(|index| {
        let run = Run { index, ..run(1) };
        Start { run: Some(run), spec: "s".to_owned(), ..Start::default() }
    });
    bench.orders(100, starts.collect(), Vec::new());
    let sent = bench.calls.iter().filter(|(_, call)| is_start(call)).count();
    bench.beat(150, 1, 2, true);
    while let Some(at) = bench.calls.iter().position(|(_, call)| is_start(call)) {
        let (ticket, _) = bench.calls.remove(at);
        bench.tell(200, Event::Minion(ticket, Reply::Done));
    }
    bench.tell(250, Event::Tick);
    let (_, poll) = bench.polls.last().expect("it reports");
    let refused = poll.verdicts.iter().filter(|it| it.rejection() == Rejection::Draining);
    assert_eq!(refused.count(), 5 - sent);
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)));
}

/// Guards against a task that starts again after it was done: a late try is carried out, and the
/// order goes on being sent until the minion's next life takes it.
#[test]
fn a_start_that_a_list_shows_is_not_sent_again() {
    let done =
        Ended { number: 1, run: Some(run(1)), ending: Ending::Done.into(), ..Ended::default() };
    let running = Running { run: Some(run(1)), ..Running::default() };
    for (running, ended) in [(vec![running], Vec::new()), (Vec::new(), vec![done])] {
        let mut bench = Bench::fenced();
        bench.orders(100, vec![start(1)], Vec::new());
        let first = bench.take(is_start);
        bench.tell(400, Event::Minion(first, Reply::Unknown));
        let second = bench.take(is_start);
        bench.tell(700, Event::Minion(second, Reply::Unknown));
        let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
        let clock = ms(710);
        let list = Reply::Listed { born_ms: 1, clock, running, ended, unreadable: 0 };
        bench.tell(710, Event::Minion(hold, list));
        for time in (720..4_000).step_by(60) {
            bench.tell(time, Event::Tick);
        }
        assert!(!bench.calls.iter().any(|(_, call)| is_start(call)), "{:?}", bench.calls);
        let (_, poll) = bench.polls.last().expect("it reports");
        assert!(poll.pending.is_empty());
    }
}

/// Guards against a task that runs twice: while the agent was frozen its minion started again, and
/// runs what an earlier run of the task was ordered.
#[test]
fn an_agent_that_was_frozen_asks_for_a_list_before_it_sends_orders() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(2)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(2_000, Event::Minion(first, Reply::Unknown));
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)), "another life may be there");
    let hold = bench.take(|call| matches!(call, Call::Hold { wait, .. } if wait.is_zero()));
    bench.list(2_001, hold, Vec::new());
    bench.take(is_start);
}

/// Guards against a planner that takes a stop as being made while the agent still has the start.
#[test]
fn polls_tell_starts_and_stops_in_hand_apart() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(1)], Vec::new());
    bench.tell(150, Event::Tick);
    let in_hand = |bench: &Bench| {
        let (_, poll) = bench.polls.last().expect("it reports");
        (poll.pending.clone(), poll.stopping.clone())
    };
    assert_eq!(in_hand(&bench), (vec![run(1)], Vec::new()));
    bench.orders(200, Vec::new(), vec![run(1)]);
    bench.tell(250, Event::Tick);
    assert_eq!(in_hand(&bench), (Vec::new(), vec![run(1)]));
}

/// Guards against a stop that counts as made although the minion could not read it, and against one
/// that is sent again at once to a minion that follows a newer planner.
#[test]
fn a_stop_that_was_not_made_is_sent_again_after_a_pause() {
    for rejection in [Rejection::Fenced, Rejection::Malformed] {
        let mut bench = Bench::fenced();
        bench.orders(100, Vec::new(), vec![run(1)]);
        let is_stop = |call: &Call| matches!(call, Call::Stop { .. });
        let mut sent = 0;
        for time in 110..1_110 {
            if let Some(at) = bench.calls.iter().position(|(_, call)| is_stop(call)) {
                let (ticket, _) = bench.calls.remove(at);
                sent += 1;
                bench.tell(time, Event::Minion(ticket, Reply::Refused(rejection)));
            } else {
                bench.tell(time, Event::Tick);
            }
        }
        assert!((2..=6).contains(&sent), "{rejection:?}: {sent} times in a second");
    }
}

/// Guards against a planner that doesn't know which starts may still be carried out, by this life
/// of the minion or by the next.
#[test]
fn polls_tell_of_starts_without_an_answer() {
    let mut bench = Bench::fenced();
    let told = |bench: &mut Bench, now: u64| {
        bench.orders(now, Vec::new(), Vec::new());
        bench.tell(now + 20, Event::Tick);
        let (_, poll) = bench.polls.last().expect("the agent has polled");
        let row = |row: &Unanswered| (row.run.as_ref().map_or(0, |run| run.run), row.age_ms);
        poll.unanswered.iter().map(row).collect::<Vec<_>>()
    };
    bench.orders(100, vec![start(1)], Vec::new());
    let first = bench.take(is_start);
    assert_eq!(told(&mut bench, 200), [], "an answer may come");
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    assert_eq!(told(&mut bench, 480), [(1, 380)]);
    // The run has started, and the earlier try is still on its way.
    let second = bench.take(is_start);
    bench.tell(510, Event::Minion(second, Reply::Done));
    assert_eq!(told(&mut bench, 580), [(1, 480)]);
    // The minion starts again under its name, which bars nothing that is on its way.
    bench.beat(600, 2, 1, false);
    assert_eq!(told(&mut bench, 680), [(1, 580)]);
    assert_eq!(told(&mut bench, 12_060), [(1, 11_960)]);
    assert_eq!(told(&mut bench, 12_100), []);
}

/// Guards against tasks that wait without need: calls name the minion that they are meant for.
#[test]
fn a_minion_of_another_name_carries_out_no_earlier_start() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(1)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let incarnation = Incarnation { id: "n".to_owned(), born_ms: 2, ..Incarnation::default() };
    let beat = Beat { incarnation, address: "n:1".to_owned(), sequence: 1 };
    bench.tell(410, Event::Beat(Box::new(beat)));
    bench.tell(450, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.unanswered, []);
}

/// Guards against a next life of the minion that carries out late starts while its agent waits
/// for an answer of the life before.
#[test]
fn holds_wait_for_a_moment_while_a_start_may_still_be_carried_out() {
    let mut bench = Bench::fenced();
    let waits = |bench: &mut Bench, from: u64, to: u64| {
        let mut longest = 0;
        for time in (from..to).step_by(10) {
            bench.tell(time, Event::Tick);
            let waits = |(_, call): &(_, Call)| matches!(call, Call::Hold { .. });
            let Some(at) = bench.calls.iter().position(waits) else { continue };
            let (ticket, call) = bench.calls.remove(at);
            let Call::Hold { wait, .. } = call else { unreachable!() };
            longest = wait.as_millis().max(longest);
            bench.list(time, ticket, Vec::new());
        }
        longest
    };
    assert_eq!(waits(&mut bench, 90, 100), 400);
    bench.orders(100, vec![start(1)], Vec::new());
    let first = bench.take(is_start);
    bench.tell(400, Event::Minion(first, Reply::Unknown));
    let second = bench.take(is_start);
    bench.tell(410, Event::Minion(second, Reply::Done));
    waits(&mut bench, 420, 440);
    assert_eq!(waits(&mut bench, 440, 12_080), 20);
    assert_eq!(waits(&mut bench, 12_110, 12_200), 400);
}

/// Guards against a task that was done and starts again: a stop counts as settled though the end of
/// its run is beyond those of one list.
#[test]
fn a_run_that_is_missing_from_a_list_that_is_cut_off_may_have_ended() {
    let mut bench = Bench::fenced();
    bench.orders(100, Vec::new(), vec![run(1)]);
    let stop = bench.take(|call| matches!(call, Call::Stop { .. }));
    bench.tell(110, Event::Minion(stop, Reply::Done));
    let other = |number| Ended { number, run: Some(run(9)), ..Ended::default() };
    for time in (600..2_000).step_by(100) {
        bench.tell(time, Event::Tick);
        let is_hold = |(_, call): &(_, Call)| matches!(call, Call::Hold { .. });
        let Some(at) = bench.calls.iter().position(is_hold) else { continue };
        let (ticket, _) = bench.calls.remove(at);
        bench.list(time, ticket, (1..=500).map(other).collect());
        bench.tell(time + 10, Event::Tick);
        assert!(bench.polls.iter().all(|(_, poll)| poll.verdicts.is_empty()), "at {time}");
        bench.orders(time + 20, Vec::new(), Vec::new());
    }
    bench.tell(2_100, Event::Tick);
    let (_, poll) = bench.polls.last().expect("it reports");
    assert_eq!(poll.stopping, [run(1)]);
}
