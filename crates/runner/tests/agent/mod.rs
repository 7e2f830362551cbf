//! Tests of the minion's incarnations and lists, and of the reports to the planner.

use sapphire_jobs::{AbsenceCause, Ended, Ending, Lead, Orders, Rejection};
use sapphire_runner::{
    effect::Effect,
    event::Event,
    machine::Machine,
    minion::{Call, Reply},
    options::Options,
};

use crate::harness::{Fixture, LEASE, TOKEN, is_start, ms, run, start};

/// Time after the start of an agent in which all leases are over that its earlier process may have passed
/// on: the longest lease, the drift of a clock, and the margin.
const LEASES_END: u64 = 10_500;

/// Guards against a job that stays active for ever though nothing of it runs: a task starts and
/// fails while a long poll that was sent before the start still waits, and the answer lists the
/// end. If the run were reported both as ended and as running, the planner would record the end,
/// take the run up again, and wait for an end that has already come.
#[test]
fn a_task_that_ended_during_a_long_poll_is_not_reported_as_running() {
    let mut fixture = Fixture::fenced();
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if !wait.is_zero()));
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let order = fixture.take_call(is_start);
    fixture.handle(110, Event::MinionReply(order, Reply::Done));
    fixture.handle(120, Event::Tick);
    fixture.answer_polls(300, Vec::new(), Vec::new());
    let ended = Ended {
        number: 1,
        run: Some(run(1)),
        ending: Ending::Faulty.into(),
        checkpoint: String::new(),
    };
    fixture.send_list(400, long_poll, vec![ended]);
    fixture.handle(420, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.ended.len(), 1);
    assert!(poll.running.is_empty(), "reported as running: {:?}", poll.running);
}

/// Guards against work that is lost with a minion that shuts down: the planner's order was in
/// flight when the minion began to drain, so the agent refuses it by itself.
#[test]
fn a_draining_minion_gets_no_start() {
    let mut fixture = Fixture::fenced();
    fixture.heartbeat(50, 1, 2, true);
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    fixture.handle(120, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_start(call)));
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.verdicts[0].rejection(), Rejection::Draining);
}

/// Guards against an incarnation that has crashed but counts as running again: its heartbeat was
/// delayed by a network partition and arrives after that of the next incarnation.
#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(900, Vec::new(), Vec::new());
    fixture.replace_minion(1_000, 9);
    fixture.heartbeat(1_100, 1, 5, false);
    fixture.handle(1_200, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.incarnation.as_ref().map(|minion| minion.born_ms), Some(9));
}

/// Guards against jobs that wait for longer than need be: minions were removed, then all processes lost
/// power. A restarted agent reports at once that nothing listens. That nothing is running it reports once
/// all leases are over that its earlier process may have passed on: a listener may refuse for a moment.
#[test]
fn an_agent_without_a_minion_reports_it() {
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
    for round in 1..=3 {
        fixture.handle(200 * round, Event::Tick);
        let probe = fixture.take_call(|call| matches!(call, Call::LongPoll { token: 0, .. }));
        fixture.handle(200 * round + 1, Event::MinionReply(probe, Reply::NotListening));
    }
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    fixture.handle(1_000, Event::Leader(lead));
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.absence.as_ref().is_some_and(|it| it.cause() == AbsenceCause::NotListening));
    for now in (1_100..=10_800).step_by(100) {
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        assert!(!poll.is_minion_gone || now >= 10_700, "{now}");
        fixture.answer_polls(now, Vec::new(), Vec::new());
        for (ticket, _) in std::mem::take(&mut fixture.calls) {
            fixture.handle(now, Event::MinionReply(ticket, Reply::NotListening));
        }
        fixture.handle(now + 50, Event::Tick);
    }
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.is_minion_gone);
}

/// An agent that has just started beside a running minion must not report that the minion has
/// ended.
#[test]
fn an_agent_that_has_no_contact_yet_does_not_report_its_minion_as_gone() {
    let mut fixture = Fixture::new();
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    fixture.handle(1_000, Event::Leader(lead));
    fixture.answer_polls(1_500, Vec::new(), Vec::new());
    fixture.handle(1_600, Event::Tick);
    assert!(fixture.polls.iter().all(|(_, poll)| !poll.is_minion_gone));
}

/// Guards against thousands of connections within half a minute: each call to a minion that answers
/// nothing takes a connection. The first repetition is sent at once, since a single order may be
/// lost; the delays between further ones grow.
#[test]
fn calls_to_a_silent_minion_become_rare() {
    let mut fixture = Fixture::fenced();
    fixture.answer_polls(100, vec![start(1)], Vec::new());
    let mut now = 100;
    let mut attempts = 0;
    while now < 10_100 {
        now += 50;
        fixture.handle(now, Event::Tick);
        while let Some(at) = fixture.calls.iter().position(|(_, call)| is_start(call)) {
            let (ticket, _) = fixture.calls.remove(at);
            attempts += 1;
            fixture.handle(now, Event::MinionReply(ticket, Reply::Unknown));
        }
    }
    assert!((3..14).contains(&attempts), "{attempts} attempts in ten seconds");
}

/// Guards against done tasks that are started again: a minion is replaced, and orders of the
/// previous session, which acknowledge ends of the old incarnation, arrive after contact with the
/// new one. Applied to the new incarnation, they would make it forget its first ends before the
/// planner has learned of them.
#[test]
fn orders_of_an_earlier_session_are_not_applied_to_a_new_incarnation() {
    let mut fixture = Fixture::fenced();
    fixture.handle(100, Event::Tick);
    let (ticket, _) = fixture.polls.last().cloned().expect("the agent has polled");
    fixture.heartbeat(1_000, 9, 1, false);
    fixture.calls.clear();
    let orders = Orders {
        term: 7,
        token: TOKEN,
        lease_ms: LEASE.as_millis() as u64,
        noted: 57,
        ..Orders::default()
    };
    fixture.handle(1_010, Event::Orders(ticket, Box::new(orders)));
    fixture.handle(1_200, Event::Tick);
    assert!(fixture.calls.is_empty(), "{:?}", fixture.calls);
    let (ticket, _) = fixture.polls.last().cloned().expect("the agent has polled");
    let orders = Orders {
        term: 7,
        token: TOKEN + 1,
        lease_ms: LEASE.as_millis() as u64,
        ..Orders::default()
    };
    fixture.handle(1_300, Event::Orders(ticket, Box::new(orders)));
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { acknowledged: 0, .. }));
    fixture.send_list(1_310, long_poll, Vec::new());
}

/// Guards against a task that is never started again without any message: the minion lists its end
/// in a row that can't be read. The row comes again with every list, so it is logged only once.
#[test]
fn unreadable_rows_are_logged_once() {
    let mut fixture = Fixture::fenced();
    let mut send_list = |now: u64, unreadable| {
        let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
        let reply = Reply::Listed {
            born_ms: 1,
            clock: ms(now),
            running: Vec::new(),
            ended: Vec::new(),
            unreadable,
        };
        fixture.handle(now, Event::MinionReply(long_poll, reply));
        fixture.handle(now + 2_000, Event::Tick);
    };
    send_list(100, 2);
    send_list(2_200, 2);
    send_list(4_400, 0);
    let logged: Vec<&String> =
        fixture.log.iter().filter(|line| line.contains("unreadable rows")).collect();
    let expected =
        ["2", "0"].map(|rows| format!("unreadable rows in the lists of the minion: {rows}"));
    assert_eq!(logged, expected.iter().collect::<Vec<_>>());
}

/// Guards against a live minion that is declared lost: the deregistration of an earlier incarnation
/// was delayed.
#[test]
fn a_minion_that_does_not_drain_is_asked_before_it_is_declared_lost() {
    let mut fixture = Fixture::fenced();
    fixture.handle(100, Event::Deregistered("m".to_owned()));
    fixture.answer_polls(150, Vec::new(), Vec::new());
    fixture.handle(200, Event::Tick);
    let incarnation = |fixture: &Fixture| {
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms)
    };
    assert_eq!(incarnation(&fixture), Some(1));
    fixture.heartbeat(250, 1, 2, true);
    fixture.handle(300, Event::Deregistered("m".to_owned()));
    fixture.answer_polls(350, Vec::new(), Vec::new());
    fixture.handle(400, Event::Tick);
    assert_eq!(incarnation(&fixture), Some(1));
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.absence.as_ref().is_some_and(|it| it.cause() == AbsenceCause::Deregistered));
    let after = fixture.gone_after(400);
    assert!((LEASES_END..LEASES_END + 50).contains(&after), "{after} ms");
}

/// Guards against a live minion that is declared lost: an answer to a call that was meant for the
/// previous incarnation came late.
#[test]
fn an_answer_to_a_call_to_an_earlier_incarnation_says_nothing_about_the_next() {
    let mut fixture = Fixture::fenced();
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if !wait.is_zero()));
    fixture.heartbeat(100, 2, 1, false);
    fixture.handle(150, Event::MinionReply(long_poll, Reply::WrongInstance));
    fixture.handle(200, Event::Tick);
    fixture.answer_polls(250, Vec::new(), Vec::new());
    fixture.handle(300, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert_eq!(poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms), Some(2));
}

/// Guards against an order for a minion's earlier incarnation that the next one carries out late:
/// the next one has received no token until a planner begins a session with it.
#[test]
fn a_new_incarnation_is_fenced_before_a_planner_is_reached() {
    let mut fixture = Fixture::fenced();
    fixture.calls.clear();
    fixture.replace_minion(1_000, 2);
    fixture.handle(1_050, Event::Tick);
    let is_fencing = |call: &Call| matches!(call, Call::LongPoll { token, .. } if *token > TOKEN);
    let fencing_call = fixture.take_call(is_fencing);
    // The call is repeated until the minion has answered it.
    fixture.handle(1_400, Event::MinionReply(fencing_call, Reply::Unknown));
    fixture.handle(2_000, Event::Tick);
    let fencing_call = fixture.take_call(is_fencing);
    let listed =
        Reply::Listed { born_ms: 2, clock: ms(9), running: vec![], ended: vec![], unreadable: 0 };
    fixture.handle(2_050, Event::MinionReply(fencing_call, listed));
    fixture.handle(3_000, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_fencing(call)));
}

/// Guards against a late order that a new incarnation carries out because an unhealthy one, which has
/// refused the token and done nothing, counts as fenced.
#[test]
fn a_new_incarnation_that_is_unhealthy_is_not_fenced() {
    let mut fixture = Fixture::fenced();
    fixture.calls.clear();
    fixture.replace_minion(1_000, 2);
    fixture.handle(1_050, Event::Tick);
    let is_fencing = |call: &Call| matches!(call, Call::LongPoll { token, .. } if *token > TOKEN);
    let fencing_call = fixture.take_call(is_fencing);
    let refused = Reply::Refused(Rejection::Unhealthy);
    fixture.handle(1_060, Event::MinionReply(fencing_call, refused));
    fixture.handle(2_000, Event::Tick);
    let fencing_call = fixture.take_call(is_fencing);
    // A minion that has received a higher token refuses the orders of earlier sessions as well.
    let refused = Reply::Refused(Rejection::Fenced);
    fixture.handle(2_010, Event::MinionReply(fencing_call, refused));
    fixture.handle(3_000, Event::Tick);
    assert!(!fixture.calls.iter().any(|(_, call)| is_fencing(call)));
}

/// Guards against work that was done and is done again elsewhere: a minion deregisters right after
/// it has listed its last end, and the planner would count the run as lost with it.
#[test]
fn ends_are_reported_before_a_minion_is_reported_as_gone() {
    let mut fixture = Fixture::fenced();
    fixture.heartbeat(70, 1, 2, true);
    let long_poll =
        fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if !wait.is_zero()));
    let ended = Ended {
        number: 1,
        run: Some(run(1)),
        ending: Ending::Done.into(),
        checkpoint: String::new(),
    };
    fixture.send_list(80, long_poll, vec![ended]);
    fixture.handle(81, Event::Deregistered("m".to_owned()));
    fixture.answer_polls(85, vec![], vec![]);
    fixture.handle(200, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(!poll.ended.is_empty() && !poll.is_minion_gone, "the ends are reported first");
    let after = fixture.gone_after(200);
    assert!((LEASES_END..LEASES_END + 50).contains(&after), "{after} ms");
}

/// Guards against a task that runs again after it was done: a waiting long poll that acknowledges
/// ends would have the next incarnation forget its own, if the minion restarts under the same name
/// in the meantime.
#[test]
fn ends_are_acknowledged_once_and_by_no_long_poll_that_waits() {
    let mut fixture = Fixture::fenced();
    let ended = Ended { number: 3, run: Some(run(1)), ..Ended::default() };
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(80, long_poll, vec![ended]);
    fixture.handle(90, Event::Tick);
    let (ticket, _) = fixture.polls.pop().expect("the agent has polled");
    let lease_ms = LEASE.as_millis() as u64;
    let orders = Orders { term: 7, token: TOKEN, lease_ms, noted: 3, ..Orders::default() };
    fixture.handle(100, Event::Orders(ticket, Box::new(orders)));
    let mut long_polls = Vec::new();
    for time in (110..1_200).step_by(10) {
        fixture.handle(time, Event::Tick);
        let is_long_poll = |(_, call): &(_, Call)| matches!(call, Call::LongPoll { .. });
        let Some(at) = fixture.calls.iter().position(is_long_poll) else { continue };
        let (ticket, call) = fixture.calls.remove(at);
        let Call::LongPoll { acknowledged, wait, .. } = call else { unreachable!() };
        let is_first =
            acknowledged > 0 && long_polls.iter().all(|(acknowledged, _)| *acknowledged == 0);
        long_polls.push((acknowledged, wait.is_zero()));
        if is_first {
            fixture.handle(time, Event::MinionReply(ticket, Reply::Unknown));
        } else {
            fixture.send_list(time, ticket, Vec::new());
        }
    }
    assert!(
        long_polls.iter().all(|(acknowledged, is_immediate)| *acknowledged == 0 || *is_immediate),
        "{long_polls:?}"
    );
    assert_eq!(
        long_polls.iter().filter(|(acknowledged, _)| *acknowledged > 0).count(),
        2,
        "{long_polls:?}"
    );
}

/// Guards against a task that runs again after it was done: an agent that was paused while its
/// minion restarted would have the new incarnation forget its ends.
#[test]
fn an_agent_that_was_paused_requests_a_list_before_it_acknowledges_ends() {
    let mut fixture = Fixture::fenced();
    let ended = Ended { number: 3, run: Some(run(1)), ..Ended::default() };
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(80, long_poll, vec![ended]);
    fixture.handle(90, Event::Tick);
    let (ticket, _) = fixture.polls.pop().expect("the agent has polled");
    fixture.calls.clear();
    let lease_ms = LEASE.as_millis() as u64;
    let orders = Orders { term: 7, token: TOKEN, lease_ms, noted: 3, ..Orders::default() };
    fixture.handle(2_000, Event::Orders(ticket, Box::new(orders)));
    let acknowledged_by = |call: &Call| match call {
        Call::LongPoll { acknowledged, wait, .. } if wait.is_zero() => Some(*acknowledged),
        _ => None,
    };
    let long_polls = [(); 2].map(|()| fixture.take_call(|call| acknowledged_by(call) == Some(0)));
    assert!(!fixture.calls.iter().any(|(_, call)| acknowledged_by(call) == Some(3)));
    for long_poll in long_polls {
        fixture.send_list(2_001, long_poll, Vec::new());
    }
    fixture.take_call(|call| acknowledged_by(call) == Some(3));
}

/// Guards against the same when the agent resumes with a list that it requested before the pause.
#[test]
fn a_list_that_was_requested_before_a_pause_allows_no_acknowledgement() {
    let mut fixture = Fixture::fenced();
    let ended = Ended { number: 3, run: Some(run(1)), ..Ended::default() };
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.send_list(80, long_poll, vec![ended.clone()]);
    fixture.handle(90, Event::Tick);
    let (ticket, _) = fixture.polls.pop().expect("the agent has polled");
    (2..6).for_each(|tick| fixture.handle(60 * tick, Event::Tick));
    let before_pause = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.calls.clear();
    fixture.send_list(2_000, before_pause, vec![ended]);
    let lease_ms = LEASE.as_millis() as u64;
    let orders = Orders { term: 7, token: TOKEN, lease_ms, noted: 3, ..Orders::default() };
    fixture.handle(2_001, Event::Orders(ticket, Box::new(orders)));
    let acknowledged_by = |call: &Call| match call {
        Call::LongPoll { acknowledged, wait, .. } if wait.is_zero() => Some(*acknowledged),
        _ => None,
    };
    assert!(!fixture.calls.iter().any(|(_, call)| acknowledged_by(call) == Some(3)));
    while let Some((after_pause, _)) = fixture.calls.pop() {
        fixture.send_list(2_002, after_pause, Vec::new());
        if fixture.calls.iter().any(|(_, call)| acknowledged_by(call) == Some(3)) {
            return;
        }
    }
    panic!("the ends are never acknowledged");
}

/// Guards against a minion that started while its agent's process was down, and that carries out
/// late orders for the previous incarnation until its first heartbeat.
#[test]
fn a_minion_without_a_heartbeat_is_sent_a_token() {
    let mut machine = Machine::new(Options {
        name: "a".to_owned(),
        address: "a:1".to_owned(),
        generation: 2,
        entries: vec!["e:1".to_owned()],
        minion_address: "m:1".to_owned(),
        stop_timeout: ms(400),
        longest_lease: ms(10_000),
    });
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    let mut effects = machine.handle(ms(10), Event::Leader(lead));
    let token_of = |effects: &[Effect]| {
        let call = effects.iter().find_map(|effect| match effect {
            Effect::CallMinion {
                ticket, minion_id, call: Call::LongPoll { token, .. }, ..
            } => {
                assert_eq!(minion_id, "", "the name of the minion is not known");
                Some((*ticket, *token))
            }
            _ => None,
        });
        call.expect("the agent probes for a minion")
    };
    let (probe, token) = token_of(&effects);
    assert_eq!(token, 0);
    let list = Reply::Listed {
        born_ms: 1,
        clock: ms(1),
        running: Vec::new(),
        ended: Vec::new(),
        unreadable: 0,
    };
    effects.extend(machine.handle(ms(11), Event::MinionReply(probe, list)));
    let poll = effects.iter().find_map(|effect| match effect {
        Effect::Poll { ticket, .. } => Some(*ticket),
        _ => None,
    });
    let orders = Orders { term: 7, token: TOKEN, lease_ms: 6_000, ..Orders::default() };
    let poll = poll.expect("it polls without a minion");
    let effects = machine.handle(ms(50), Event::Orders(poll, Box::new(orders)));
    assert_eq!(token_of(&effects).1, TOKEN);
}

/// Guards against a task that runs elsewhere while it still runs here: a minion carries out calls and
/// answers none, its clock is slow, and the deadlines of its lease are computed from its last answer.
#[test]
fn the_lease_of_a_mute_minion_ends_when_the_planner_expects_it() {
    const SLOWEST: f64 = 0.98;
    let mut fixture = Fixture::fenced();
    let (mut latest_poll, mut lease_ends) = (0.0_f64, 0.0_f64);
    for now in (100..60_000).step_by(100) {
        if now <= 50_000 && !fixture.polls.is_empty() {
            fixture.answer_polls(now, Vec::new(), Vec::new());
            latest_poll = now as f64;
        }
        fixture.handle(now, Event::Tick);
        for (ticket, call) in std::mem::take(&mut fixture.calls) {
            if let Call::LongPoll { deadline: Some(deadline), .. } = call {
                // The fixture's minion showed a clock of 30 ms at 30 ms.
                let left = deadline.as_secs_f64() * 1_000.0 - 30.0;
                lease_ends = lease_ends.max(30.0 + left / SLOWEST);
            }
            fixture.handle(now, Event::MinionReply(ticket, Reply::Unknown));
        }
    }
    let expected = latest_poll + LEASE.as_millis() as f64 * 1.02 + 300.0;
    assert!(lease_ends > latest_poll, "the lease isn't renewed");
    assert!(lease_ends <= expected, "the lease ends at {lease_ends}, expected by {expected}");
}

/// Guards against a task that runs twice: an agent that has just started takes the late heartbeat of a
/// crashed minion for that of the present one, and would report that there is none.
#[test]
fn a_minion_that_never_answered_is_not_reported_as_gone() {
    for reply in [Reply::WrongInstance, Reply::NotListening] {
        let mut fixture = Fixture::new();
        fixture.heartbeat(0, 1, 1, false);
        let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
        fixture.handle(10, Event::Leader(lead));
        fixture.answer_polls(20, Vec::new(), Vec::new());
        for now in (100..2_000).step_by(100) {
            for (ticket, _) in std::mem::take(&mut fixture.calls) {
                fixture.handle(now, Event::MinionReply(ticket, reply.clone()));
            }
            fixture.handle(now + 50, Event::Tick);
            if fixture.polls.len() == 2 {
                fixture.answer_polls(now + 60, Vec::new(), Vec::new());
            }
        }
        let (_, poll) = fixture.polls.last().expect("the agent has polled");
        assert!(poll.incarnation.is_none(), "{reply:?}");
        assert!(!poll.is_minion_gone, "{reply:?}");
    }
}

/// Guards against a planner that waits for the lease of a minion that has ended: it had answered, and
/// another one answers in its place.
#[test]
fn a_minion_that_answered_is_reported_as_gone() {
    let mut fixture = Fixture::fenced();
    let long_poll = fixture.take_call(|call| matches!(call, Call::LongPoll { .. }));
    fixture.handle(150, Event::MinionReply(long_poll, Reply::WrongInstance));
    fixture.handle(200, Event::Tick);
    fixture.answer_polls(250, Vec::new(), Vec::new());
    fixture.handle(300, Event::Tick);
    let (_, poll) = fixture.polls.last().expect("the agent has polled");
    assert!(poll.is_minion_gone);
}
