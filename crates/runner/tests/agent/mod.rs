//! The agent's machine, told event by event.

use std::time::Duration;

use sapphire_jobs::{
    Ended, Ending, Incarnation, Lead, Orders, Poll, Rejection, Run, Start, room::Room,
};
use sapphire_runner::{
    effect::Effect,
    event::{Event, Ticket},
    machine::Machine,
    minion::{Beat, Call, Reply},
    options::Options,
};

const LEASE: Duration = Duration::from_secs(6);
const TOKEN: u64 = 7_000_001;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn run(number: u32) -> Run {
    Run { job: "j".to_owned(), occurrence: 0, step: 0, index: 0, run: number }
}

fn start(number: u32) -> Start {
    Start { run: Some(run(number)), spec: "s".to_owned(), ..Start::default() }
}

/// An agent with the effects that it has asked for and that are not answered yet.
struct Bench {
    machine: Machine,
    polls: Vec<(Ticket, Poll)>,
    calls: Vec<(Ticket, Call)>,
    log: Vec<String>,
}

impl Bench {
    fn new() -> Self {
        let machine = Machine::new(Options {
            name: "a".to_owned(),
            address: "a:1".to_owned(),
            generation: 1,
            entries: vec!["e:1".to_owned()],
            tasks: String::new(),
            stop: ms(400),
        });
        Bench { machine, polls: Vec::new(), calls: Vec::new(), log: Vec::new() }
    }

    fn tell(&mut self, now: u64, event: Event) {
        for effect in self.machine.handle(ms(now), event) {
            match effect {
                Effect::Poll { ticket, poll, .. } => self.polls.push((ticket, *poll)),
                Effect::Minion { ticket, call, .. } => self.calls.push((ticket, call)),
                Effect::Log(text) => self.log.push(text),
                _ => {}
            }
        }
    }

    fn beat(&mut self, now: u64, born_ms: u64, sequence: u64, is_draining: bool) {
        let incarnation = Incarnation {
            id: "m".to_owned(),
            born_ms,
            service: "desk".to_owned(),
            capacity: Some(Room { accelerators: 8, ..Room::default() }.message()),
            is_draining,
            ..Incarnation::default()
        };
        let beat = Beat { incarnation, address: "m:1".to_owned(), sequence };
        self.tell(now, Event::Beat(Box::new(beat)));
    }

    /// Answers all polls that wait, the latest with orders.
    fn orders(&mut self, now: u64, starts: Vec<Start>, stops: Vec<Run>) {
        let mut waiting = std::mem::take(&mut self.polls);
        let (ticket, _) = waiting.pop().expect("the agent has polled");
        for (ticket, _) in waiting {
            let orders = Orders { term: 7, token: TOKEN, ..Orders::default() };
            self.tell(now, Event::Orders(ticket, Box::new(orders)));
        }
        let orders = Orders {
            term: 7,
            token: TOKEN,
            lease_ms: LEASE.as_millis() as u64,
            starts,
            stops,
            ..Orders::default()
        };
        self.tell(now, Event::Orders(ticket, Box::new(orders)));
    }

    /// Takes the first call that a test asks for.
    fn take(&mut self, wanted: impl Fn(&Call) -> bool) -> Ticket {
        let at = self.calls.iter().position(|(_, call)| wanted(call)).expect("the call was made");
        self.calls.remove(at).0
    }

    fn list(&mut self, now: u64, ticket: Ticket, ended: Vec<Ended>) {
        let reply =
            Reply::Listed { born_ms: 1, clock: ms(now), running: Vec::new(), ended, unreadable: 0 };
        self.tell(now, Event::Minion(ticket, reply));
    }

    /// An agent whose minion has acknowledged the session's token.
    fn fenced() -> Self {
        let mut bench = Bench::new();
        bench.beat(0, 1, 1, false);
        let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
        bench.tell(10, Event::Lead(lead));
        bench.orders(20, Vec::new(), Vec::new());
        let hold = bench.take(|call| matches!(call, Call::Hold { wait, .. } if wait.is_zero()));
        bench.list(30, hold, Vec::new());
        bench.tell(40, Event::Tick);
        bench.orders(60, Vec::new(), Vec::new());
        bench
    }
}

fn is_start(call: &Call) -> bool {
    matches!(call, Call::Start { .. })
}

/// A caller's job stays active for ever though nothing of it runs. A task starts and fails while
/// a hold that was sent before its start is still waiting; the answer lists the end. The agent
/// told of the same run as ended and as running, so the planner counted the end and took the run
/// up again, and waited for an end that had already come.
#[test]
fn a_task_that_ended_during_a_hold_is_not_told_as_running() {
    let mut bench = Bench::fenced();
    let hold = bench.take(|call| matches!(call, Call::Hold { wait, .. } if !wait.is_zero()));
    bench.orders(100, vec![start(1)], Vec::new());
    let order = bench.take(is_start);
    bench.tell(110, Event::Minion(order, Reply::Done));
    bench.tell(120, Event::Tick);
    bench.orders(300, Vec::new(), Vec::new());
    let ended = Ended {
        number: 1,
        run: Some(run(1)),
        ending: Ending::Faulty.into(),
        checkpoint: String::new(),
    };
    bench.list(400, hold, vec![ended]);
    bench.tell(420, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.ended.len(), 1);
    assert!(poll.running.is_empty(), "told as running: {:?}", poll.running);
}

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

/// A minion that leaves is given new work, which dies with it. The planner's order was under way
/// when the minion said that it drains; the agent refuses it by itself.
#[test]
fn a_draining_minion_is_given_nothing() {
    let mut bench = Bench::fenced();
    bench.beat(50, 1, 2, true);
    bench.orders(100, vec![start(1)], Vec::new());
    bench.tell(120, Event::Tick);
    assert!(!bench.calls.iter().any(|(_, call)| is_start(call)));
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.verdicts[0].rejection(), Rejection::Draining);
}

/// A heartbeat that was held up by a cut arrives after its minion has crashed and another life
/// of it has registered. Taken for news, it would bring back the dead one.
#[test]
fn a_late_heartbeat_of_an_earlier_life_changes_nothing() {
    let mut bench = Bench::fenced();
    bench.orders(900, Vec::new(), Vec::new());
    bench.beat(1_000, 9, 1, false);
    bench.beat(1_100, 1, 5, false);
    bench.tell(1_200, Event::Tick);
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert_eq!(poll.incarnation.as_ref().map(|minion| minion.born_ms), Some(9));
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

/// Every waiting job stands still for eleven seconds. Minions were taken away, then everything
/// lost power; their agents come back and can't say whether a minion runs beside them, so the new
/// planner waits until its lease would have run out. Where nothing listens, nothing runs.
#[test]
fn an_agent_without_a_minion_says_so() {
    let options = Options {
        name: "a".to_owned(),
        address: "a:1".to_owned(),
        generation: 2,
        entries: vec!["e:1".to_owned()],
        tasks: "m:1".to_owned(),
        stop: ms(400),
    };
    let mut bench = Bench { machine: Machine::new(options), ..Bench::new() };
    for round in 1..=3 {
        bench.tell(200 * round, Event::Tick);
        let look = bench.take(|call| matches!(call, Call::Hold { token: 0, .. }));
        bench.tell(200 * round + 1, Event::Minion(look, Reply::Gone));
    }
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    bench.tell(1_000, Event::Lead(lead));
    let (_, poll) = bench.polls.last().expect("the agent has polled");
    assert!(poll.is_minion_gone);
}

/// An agent that has just started beside a minion that runs on must not be taken to say that
/// the minion has ended.
#[test]
fn an_agent_that_has_not_met_its_minion_says_nothing() {
    let mut bench = Bench::new();
    let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
    bench.tell(1_000, Event::Lead(lead));
    bench.orders(1_500, Vec::new(), Vec::new());
    bench.tell(1_600, Event::Tick);
    assert!(bench.polls.iter().all(|(_, poll)| !poll.is_minion_gone));
}

/// A minion that answers nothing costs a connection a call, thousands in half a minute. The first
/// repetition goes at once, since a single order may be lost; further ones take longer and longer.
#[test]
fn a_silent_minion_is_asked_less_and_less() {
    let mut bench = Bench::fenced();
    bench.orders(100, vec![start(1)], Vec::new());
    let mut now = 100;
    let mut tries = 0;
    while now < 10_100 {
        now += 50;
        bench.tell(now, Event::Tick);
        while let Some(at) = bench.calls.iter().position(|(_, call)| is_start(call)) {
            let (ticket, _) = bench.calls.remove(at);
            tries += 1;
            bench.tell(now, Event::Minion(ticket, Reply::Unknown));
        }
    }
    assert!((3..14).contains(&tries), "{tries} tries in ten seconds");
}

/// A farmer is billed twice. A minion is replaced; orders of the session before, which name the
/// ends of the old life that are noted, arrive after the new life has been met. Taken up for it,
/// they made the new life forget its first ends, and the planner, which never heard of them,
/// started done tasks again.
#[test]
fn orders_of_an_earlier_session_are_not_taken_up_for_a_new_minion() {
    let mut bench = Bench::fenced();
    bench.tell(100, Event::Tick);
    let (ticket, _) = bench.polls.last().cloned().expect("the agent has polled");
    bench.beat(1_000, 9, 1, false);
    bench.calls.clear();
    let orders = Orders {
        term: 7,
        token: TOKEN,
        lease_ms: LEASE.as_millis() as u64,
        noted: 57,
        ..Orders::default()
    };
    bench.tell(1_010, Event::Orders(ticket, Box::new(orders)));
    bench.tell(1_200, Event::Tick);
    assert!(bench.calls.is_empty(), "{:?}", bench.calls);
    let (ticket, _) = bench.polls.last().cloned().expect("the agent has polled");
    let orders = Orders {
        term: 7,
        token: TOKEN + 1,
        lease_ms: LEASE.as_millis() as u64,
        ..Orders::default()
    };
    bench.tell(1_300, Event::Orders(ticket, Box::new(orders)));
    let hold = bench.take(|call| matches!(call, Call::Hold { noted: 0, .. }));
    bench.list(1_310, hold, Vec::new());
}

/// A task is never started again and nothing says why. Its minion lists its end in a row that
/// can't be read, and the row was passed over without a word; it comes again with every list, so
/// it is told once.
#[test]
fn rows_that_cannot_be_read_are_told_once() {
    let mut bench = Bench::fenced();
    let mut list = |now: u64, unreadable| {
        let hold = bench.take(|call| matches!(call, Call::Hold { .. }));
        let reply = Reply::Listed {
            born_ms: 1,
            clock: ms(now),
            running: Vec::new(),
            ended: Vec::new(),
            unreadable,
        };
        bench.tell(now, Event::Minion(hold, reply));
        bench.tell(now + 2_000, Event::Tick);
    };
    list(100, 2);
    list(2_200, 2);
    list(4_400, 0);
    let told: Vec<&String> =
        bench.log.iter().filter(|line| line.contains("can't be read")).collect();
    let expected =
        ["2", "0"].map(|rows| format!("lists of the minion: rows that can't be read: {rows}"));
    assert_eq!(told, expected.iter().collect::<Vec<_>>());
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

/// Guards against a living minion that is taken as gone: the word that an earlier life of it ends
/// was held up.
#[test]
fn a_minion_that_does_not_drain_is_asked_before_it_is_taken_as_gone() {
    let mut bench = Bench::fenced();
    bench.tell(100, Event::Leaves("m".to_owned()));
    bench.orders(150, Vec::new(), Vec::new());
    bench.tell(200, Event::Tick);
    let incarnation = |bench: &Bench| {
        let (_, poll) = bench.polls.last().expect("it reports");
        poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms)
    };
    assert_eq!(incarnation(&bench), Some(1));
    bench.beat(250, 1, 2, true);
    bench.tell(300, Event::Leaves("m".to_owned()));
    bench.orders(350, Vec::new(), Vec::new());
    bench.tell(400, Event::Tick);
    assert_eq!(incarnation(&bench), None);
}

/// Guards against a living minion that is taken as gone: an answer to a call that was meant for its
/// life before came late.
#[test]
fn an_answer_to_a_call_of_an_earlier_life_says_nothing_of_the_next() {
    let mut bench = Bench::fenced();
    let hold = bench.take(|call| matches!(call, Call::Hold { wait, .. } if !wait.is_zero()));
    bench.beat(100, 2, 1, false);
    bench.tell(150, Event::Minion(hold, Reply::OtherLife));
    bench.tell(200, Event::Tick);
    bench.orders(250, Vec::new(), Vec::new());
    bench.tell(300, Event::Tick);
    let (_, poll) = bench.polls.last().expect("it reports");
    assert_eq!(poll.incarnation.as_ref().map(|incarnation| incarnation.born_ms), Some(2));
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
