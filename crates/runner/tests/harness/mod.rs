//! Harness: an agent whose events a test sends one by one.

use std::time::Duration;

use sapphire_jobs::{Ended, Incarnation, Lead, Orders, Poll, Run, Start, resources::Resources};
use sapphire_runner::{
    effect::Effect,
    event::{Event, Ticket},
    machine::Machine,
    minion::{Call, Heartbeat, Reply},
    options::Options,
};

pub(crate) const LEASE: Duration = Duration::from_secs(6);

pub(crate) const TOKEN: u64 = 7_000_001;

pub(crate) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub(crate) fn run(number: u32) -> Run {
    Run { job: "j".to_owned(), occurrence: 0, step: 0, index: 0, run: number }
}

pub(crate) fn start(number: u32) -> Start {
    Start { run: Some(run(number)), spec: "s".to_owned(), ..Start::default() }
}

/// An agent under test, with its polls and calls that are not answered yet, and its log.
pub(crate) struct Fixture {
    pub(crate) machine: Machine,
    pub(crate) polls: Vec<(Ticket, Poll)>,
    pub(crate) calls: Vec<(Ticket, Call)>,
    pub(crate) log: Vec<String>,
    /// Time for which the planner's answers allow starts, in ms.
    pub(crate) starts_ms: u64,
    /// Whether minions carry out calls for an earlier incarnation, as the planner's answers say.
    pub(crate) calls_outlive_incarnations: bool,
}

impl Fixture {
    pub(crate) fn new() -> Self {
        let machine = Machine::new(Options {
            name: "a".to_owned(),
            address: "a:1".to_owned(),
            generation: 1,
            entries: vec!["e:1".to_owned()],
            minion_address: String::new(),
            stop_timeout: ms(400),
            longest_lease: ms(10_000),
        });
        let starts_ms = LEASE.as_millis() as u64;
        Fixture {
            machine,
            polls: Vec::new(),
            calls: Vec::new(),
            log: Vec::new(),
            starts_ms,
            calls_outlive_incarnations: true,
        }
    }

    /// Has the agent handle an event at a time in ms, and collects the effects.
    pub(crate) fn handle(&mut self, now: u64, event: Event) {
        for effect in self.machine.handle(ms(now), event) {
            match effect {
                Effect::Poll { ticket, poll, .. } => self.polls.push((ticket, *poll)),
                Effect::CallMinion { ticket, call, .. } => self.calls.push((ticket, call)),
                Effect::Log(text) => self.log.push(text),
                _ => {}
            }
        }
    }

    /// Sends a heartbeat of the incarnation that was born at `born_ms`.
    pub(crate) fn heartbeat(&mut self, now: u64, born_ms: u64, sequence: u64, is_draining: bool) {
        let incarnation = Incarnation {
            id: "m".to_owned(),
            born_ms,
            service: "desk".to_owned(),
            capacity: Some(Resources { accelerators: 8, ..Resources::default() }.message()),
            is_draining,
            ..Incarnation::default()
        };
        let heartbeat = Heartbeat { incarnation, address: "m:1".to_owned(), sequence };
        self.handle(now, Event::Heartbeat(Box::new(heartbeat)));
    }

    /// Begins the incarnation that was born at `born_ms`: it sends a heartbeat, and answers in place of the
    /// one before.
    pub(crate) fn replace_minion(&mut self, now: u64, born_ms: u64) {
        self.calls.clear();
        self.heartbeat(now, born_ms, 1, false);
        let inquiry = self.take_call(|call| matches!(call, Call::LongPoll { deadline: None, .. }));
        // Calls of the one before have no answer.
        self.calls.clear();
        let reply = Reply::Listed {
            born_ms,
            clock: Duration::ZERO,
            running: Vec::new(),
            ended: Vec::new(),
            unreadable: 0,
        };
        self.handle(now, Event::MinionReply(inquiry, reply));
    }

    /// Answers all pending polls, the latest one with orders.
    pub(crate) fn answer_polls(&mut self, now: u64, starts: Vec<Start>, stops: Vec<Run>) {
        let mut pending = std::mem::take(&mut self.polls);
        let (ticket, _) = pending.pop().expect("the agent has polled");
        let calls_outlive_incarnations = self.calls_outlive_incarnations;
        for (ticket, _) in pending {
            let orders =
                Orders { term: 7, token: TOKEN, calls_outlive_incarnations, ..Orders::default() };
            self.handle(now, Event::Orders(ticket, Box::new(orders)));
        }
        let orders = Orders {
            term: 7,
            token: TOKEN,
            lease_ms: LEASE.as_millis() as u64,
            starts_ms: self.starts_ms,
            starts,
            stops,
            calls_outlive_incarnations,
            ..Orders::default()
        };
        self.handle(now, Event::Orders(ticket, Box::new(orders)));
    }

    /// Removes the first call that matches, and returns its ticket.
    pub(crate) fn take_call(&mut self, wanted: impl Fn(&Call) -> bool) -> Ticket {
        let at = self.calls.iter().position(|(_, call)| wanted(call)).expect("the call was made");
        self.calls.remove(at).0
    }

    /// Answers a long poll with a list without running tasks, sent by the incarnation that was born
    /// at 1.
    pub(crate) fn send_list(&mut self, now: u64, ticket: Ticket, ended: Vec<Ended>) {
        let reply =
            Reply::Listed { born_ms: 1, clock: ms(now), running: Vec::new(), ended, unreadable: 0 };
        self.handle(now, Event::MinionReply(ticket, reply));
    }

    /// Lets time pass in which polls are answered without a lease and the minion answers nothing. Returns
    /// when the agent reports that nothing is running.
    pub(crate) fn gone_after(&mut self, begin: u64) -> u64 {
        for now in (begin..30_000).step_by(10) {
            if self.polls.last().is_some_and(|(_, poll)| poll.is_minion_gone) {
                return now;
            }
            for (ticket, _) in std::mem::take(&mut self.polls) {
                let orders = Orders { term: 7, token: TOKEN, ..Orders::default() };
                self.handle(now, Event::Orders(ticket, Box::new(orders)));
            }
            for (ticket, _) in std::mem::take(&mut self.calls) {
                self.handle(now, Event::MinionReply(ticket, Reply::Unknown));
            }
            self.handle(now, Event::Tick);
        }
        panic!("the agent reports for ever that its minion may be running: {:#?}", self.log);
    }

    /// An agent in a session, whose minion has acknowledged the token.
    pub(crate) fn fenced() -> Self {
        Fixture::new().into_session()
    }

    /// The same with minions that carry out no calls for an earlier incarnation.
    pub(crate) fn fenced_in_incarnations() -> Self {
        Fixture { calls_outlive_incarnations: false, ..Fixture::new() }.into_session()
    }

    /// The agent in a session, whose minion has acknowledged the token.
    pub(crate) fn into_session(self) -> Self {
        let mut fixture = self;
        fixture.heartbeat(0, 1, 1, false);
        let lead = Lead { name: "e".to_owned(), address: "e:1".to_owned(), term: 7, generation: 1 };
        fixture.handle(10, Event::Leader(lead));
        fixture.answer_polls(20, Vec::new(), Vec::new());
        let long_poll =
            fixture.take_call(|call| matches!(call, Call::LongPoll { wait, .. } if wait.is_zero()));
        fixture.send_list(30, long_poll, Vec::new());
        fixture.handle(40, Event::Tick);
        fixture.answer_polls(60, Vec::new(), Vec::new());
        fixture
    }
}

pub(crate) fn is_start(call: &Call) -> bool {
    matches!(call, Call::Start { .. })
}
