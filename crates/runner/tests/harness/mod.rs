//! An agent, told event by event.

use std::time::Duration;

use sapphire_jobs::{Ended, Incarnation, Lead, Orders, Poll, Run, Start, resources::Resources};
use sapphire_runner::{
    effect::Effect,
    event::{Event, Ticket},
    machine::Machine,
    minion::{Beat, Call, Reply},
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

/// An agent with the effects that it has asked for and that are not answered yet.
pub(crate) struct Bench {
    pub(crate) machine: Machine,
    pub(crate) polls: Vec<(Ticket, Poll)>,
    pub(crate) calls: Vec<(Ticket, Call)>,
    pub(crate) log: Vec<String>,
}

impl Bench {
    pub(crate) fn new() -> Self {
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

    pub(crate) fn tell(&mut self, now: u64, event: Event) {
        for effect in self.machine.handle(ms(now), event) {
            match effect {
                Effect::Poll { ticket, poll, .. } => self.polls.push((ticket, *poll)),
                Effect::Minion { ticket, call, .. } => self.calls.push((ticket, call)),
                Effect::Log(text) => self.log.push(text),
                _ => {}
            }
        }
    }

    pub(crate) fn beat(&mut self, now: u64, born_ms: u64, sequence: u64, is_draining: bool) {
        let incarnation = Incarnation {
            id: "m".to_owned(),
            born_ms,
            service: "desk".to_owned(),
            capacity: Some(Resources { accelerators: 8, ..Resources::default() }.message()),
            is_draining,
            ..Incarnation::default()
        };
        let beat = Beat { incarnation, address: "m:1".to_owned(), sequence };
        self.tell(now, Event::Beat(Box::new(beat)));
    }

    /// Answers all polls that wait, the latest with orders.
    pub(crate) fn orders(&mut self, now: u64, starts: Vec<Start>, stops: Vec<Run>) {
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
    pub(crate) fn take(&mut self, wanted: impl Fn(&Call) -> bool) -> Ticket {
        let at = self.calls.iter().position(|(_, call)| wanted(call)).expect("the call was made");
        self.calls.remove(at).0
    }

    pub(crate) fn list(&mut self, now: u64, ticket: Ticket, ended: Vec<Ended>) {
        let reply =
            Reply::Listed { born_ms: 1, clock: ms(now), running: Vec::new(), ended, unreadable: 0 };
        self.tell(now, Event::Minion(ticket, reply));
    }

    /// An agent whose minion has acknowledged the session's token.
    pub(crate) fn fenced() -> Self {
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

pub(crate) fn is_start(call: &Call) -> bool {
    matches!(call, Call::Start { .. })
}
