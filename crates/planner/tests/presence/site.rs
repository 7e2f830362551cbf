//! A planner, agents and minions on one clock, with a store that keeps what is written. A test decides how a minion
//! meets calls and in which order events come.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Lead, Notice, Orders, Poll, Rejection, Run, Running, Step,
    catalog::{Catalog, Parts, Queue},
    inventory::{Page, Tenant},
    task::Task,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
    options::Options,
};
use sapphire_runner::{
    effect::Effect,
    event as agent,
    machine::Machine,
    minion::{Call, Heartbeat, Reply},
    options as runner,
};
use sapphire_store::call::{self as store, Item, Put};

use crate::harness::{Fixture, START, TERM, ended, fleet, job, minion, ms, no_starts, options};

/// Time between two events.
const TICK: u64 = 10;
/// Interval of a minion's heartbeats.
const HEARTBEAT: u64 = 500;
/// Time after which an agent's poll counts as unanswered.
const POLL_TIMEOUT: u64 = 1_000;
/// Longest time after the last poll in which a lease was granted until it has certainly ended.
pub(crate) const LEASE_BOUND: u64 = 6_000 + 120 + 300;

/// Time after which a write of the planner counts as unanswered.
const STORE_TIMEOUT: u64 = 420;

/// Bounds of a site, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// The lease that the planner grants.
    pub(crate) granted: u64,
    /// Longest lease that a minion accepts.
    pub(crate) longest: u64,
    /// Whether calls may be carried out by a next incarnation. If so, the stored list of workers names no
    /// ends of leases.
    pub(crate) calls_outlive_incarnations: bool,
}

impl Bounds {
    pub(crate) const DEFAULT: Bounds =
        Bounds { granted: 6_000, longest: 10_000, calls_outlive_incarnations: true };

    /// Longest time after the last poll in which a lease was granted until it has certainly ended.
    pub(crate) fn bound(self) -> u64 {
        self.granted * 102 / 100 + 300
    }
}

/// A run that has ended as done, with what its agent and the planner were told of it.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) worker: &'static str,
    pub(crate) run: Run,
    pub(crate) at: u64,
    number: u64,
    pub(crate) listed_at: Option<u64>,
    /// Whether the lease lapsed before the end was acknowledged.
    pub(crate) lapsed_at: Option<u64>,
    pub(crate) acknowledged_at: Option<u64>,
}

impl Done {
    /// Returns whether the end counts: it was acknowledged before the lease of its minion lapsed, or
    /// listed 100 ms before that.
    pub(crate) fn is_noted(&self) -> bool {
        let is_before_lapse = |at: u64| self.lapsed_at.is_none_or(|lapsed| at <= lapsed);
        let listed = self.listed_at.map(|at| at + 100);
        listed.into_iter().chain(self.acknowledged_at).any(is_before_lapse)
    }
}

/// How the store meets writes of the list of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Writes {
    /// Time until the answer. The write is carried out at its end.
    pub(crate) time: u64,
    /// Answers that take longer than the timeout of the planner's process are lost.
    pub(crate) has_timeout: bool,
}

/// How a minion meets the calls of its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Conduct {
    #[default]
    Answers,
    /// Connections are refused, while it goes on.
    Refuses,
    /// New connections are refused; calls before are answered.
    RefusesNew,
    /// All connections are refused but those of long polls that wait.
    RefusesOrders,
    /// No call has an answer, and none is carried out.
    Silent,
}

/// A minion, which runs tasks until they are over, are stopped, or its lease ends.
pub(crate) struct Program {
    pub(crate) incarnation: Incarnation,
    pub(crate) conduct: Conduct,
    pub(crate) is_beating: bool,
    /// It has ended, and nothing listens there.
    pub(crate) is_gone: bool,
    pub(crate) running: Vec<(Run, u64)>,
    pub(crate) ended: Vec<Ended>,
    beats: u64,
    last_end: u64,
    token: u64,
    /// When its clock began, for a minion that has restarted.
    pub(crate) clock_began: u64,
    /// End of its lease by its clock.
    lease_until: Duration,
    /// Starts that had no answer, which may still be carried out.
    lost_starts: Vec<Call>,
    pub(crate) run_time: u64,
    longest_lease: u64,
    /// Time of work after which a task has saved a checkpoint; `None` if it saves none.
    pub(crate) checkpoint_time: Option<u64>,
}

/// Returns what the clock of a minion shows, which is as slow as the clocks of minions may be.
fn clock(now: u64) -> Duration {
    ms(START + (now - START) * 980 / 1_000)
}

fn options_of(bounds: Bounds) -> Options {
    Options {
        lease: ms(bounds.granted),
        longest_lease: ms(bounds.longest),
        calls_outlive_incarnations: bounds.calls_outlive_incarnations,
        ..options()
    }
}

/// A call of an agent that has no answer yet.
struct Pending {
    ticket: agent::Ticket,
    call: Call,
    due: u64,
    is_refused: bool,
    /// Identifier of the minion that it is meant for, and its address.
    minion_id: String,
    address: String,
}

/// A process that is not the worker's minion and sends heartbeats to its agent.
#[derive(Clone, Debug)]
pub(crate) struct Foreign {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: String,
    /// How it meets calls at its address; all of them, if that is not the minion's.
    pub(crate) conduct: Conduct,
    pub(crate) beats: u64,
    /// Each heartbeat is that of a later incarnation.
    pub(crate) is_reborn: bool,
}

impl Foreign {
    /// Returns one with an address of its own that answers calls and runs nothing.
    pub(crate) fn new(service: &str) -> Self {
        let incarnation = Incarnation {
            id: "m-foreign".to_owned(),
            born_ms: 1_000,
            service: service.to_owned(),
            ..minion("f")
        };
        let address = "f:1".to_owned();
        Foreign { incarnation, address, conduct: Conduct::Answers, beats: 0, is_reborn: false }
    }

    fn answer(&self, minion_id: &str, now: u64) -> Reply {
        match self.conduct {
            Conduct::Silent => Reply::Unknown,
            Conduct::Refuses => Reply::NotListening,
            _ if minion_id != self.incarnation.id => Reply::WrongInstance,
            _ => Reply::Listed {
                born_ms: self.incarnation.born_ms,
                clock: clock(now),
                running: Vec::new(),
                ended: Vec::new(),
                unreadable: 0,
            },
        }
    }
}

/// A worker: an agent beside a minion.
pub(crate) struct Worker {
    agent: Machine,
    pub(crate) program: Program,
    /// Another process that sends heartbeats to its agent.
    pub(crate) foreign: Option<Foreign>,
    /// Neither its polls nor their answers get through.
    pub(crate) is_cut_off: bool,
    /// Only its polls get lost, or only their answers.
    pub(crate) loses_polls: bool,
    pub(crate) loses_answers: bool,
    /// Its polls arrive when they are delivered.
    pub(crate) holds_polls: bool,
    held: Vec<(u64, Box<Poll>)>,
    /// Time that the planner's answers take.
    pub(crate) answer_time: u64,
    /// Its process handles no event; they pile up.
    pub(crate) is_paused: bool,
    piled_up: Vec<agent::Event>,
    answers: Vec<(u64, agent::Ticket, Orders)>,
    /// Time of its latest poll that arrived with a checkpoint.
    pub(crate) saved_heard_at: u64,
    /// When a poll was last answered with a lease.
    pub(crate) leased_at: u64,
    /// Time of its latest poll that was answered with a lease, whether the answer got through or not.
    pub(crate) granted_at: u64,
    /// Whether its latest poll reports that its minion seems to be absent.
    pub(crate) reports_absent: bool,
    /// Whether its latest poll reports that there is no minion.
    pub(crate) reports_gone: bool,
    /// Highest token that was granted to it.
    pub(crate) token: u64,
    generation: u64,
    calls: Vec<Pending>,
    /// Polls without an answer, with the number of the request and the time of each.
    polls: Vec<(agent::Ticket, u64, u64)>,
}

/// All processes, and what the store has committed.
pub(crate) struct Site {
    pub(crate) now: u64,
    pub(crate) planner: Fixture,
    pub(crate) workers: BTreeMap<&'static str, Worker>,
    /// What the inventory shows; `None` if it can't be read.
    pub(crate) inventory: Option<Page>,
    /// Time that a read of the inventory takes.
    pub(crate) read_time: u64,
    /// Reads of the inventory that are answered later, with the time and the answer.
    reads: Vec<(u64, Page)>,
    /// Starts that were carried out, with their time and worker.
    pub(crate) starts: Vec<(u64, &'static str, Run)>,
    pub(crate) bounds: Bounds,
    pub(crate) writes: Writes,
    written: Vec<(u64, u64, Operation, store::Call)>,
    /// Runs that have ended as done.
    pub(crate) done: Vec<Done>,
    /// Starts that carried a checkpoint.
    pub(crate) resumed: Vec<Run>,
    /// Lines of the planner's log, with their times.
    pub(crate) lines: Vec<(u64, String)>,
    /// Leases that were granted: the worker, the time of the poll, and that of the answer.
    pub(crate) grants: Vec<(&'static str, u64, u64)>,
    /// Runs that were ordered to stop.
    pub(crate) stops: Vec<Run>,
    /// Runs that began while another run of their task was running or done.
    pub(crate) twice: Vec<String>,
    items: BTreeMap<String, Item>,
    revision: u64,
    term: u64,
    requester: u64,
    seen: usize,
    logged: usize,
}

impl Program {
    fn new(name: &str, born_ms: u64, run_time: u64, longest_lease: u64) -> Self {
        Program {
            incarnation: Incarnation { born_ms, ..minion(name) },
            conduct: Conduct::Answers,
            is_beating: true,
            is_gone: false,
            running: Vec::new(),
            ended: Vec::new(),
            beats: 0,
            last_end: 0,
            token: 0,
            clock_began: 0,
            lease_until: Duration::ZERO,
            lost_starts: Vec::new(),
            run_time,
            longest_lease,
            checkpoint_time: None,
        }
    }

    /// Returns what its own clock shows.
    fn clock(&self, now: u64) -> Duration {
        clock(now) - ms(self.clock_began * 980 / 1_000)
    }

    fn end(&mut self, run: &Run, ending: Ending) {
        let before = self.running.len();
        self.running.retain(|(other, _)| other != run);
        if self.running.len() < before {
            self.last_end += 1;
            self.ended.push(ended(self.last_end, run.clone(), ending));
        }
    }

    fn list(&self, now: u64) -> Reply {
        let row = |(run, began): &(Run, u64)| {
            let percent = u32::try_from((now - began) * 99 / self.run_time).unwrap_or(99).min(99);
            let is_saved = self.checkpoint_time.is_some_and(|time| now >= began + time);
            let checkpoint = if is_saved { "saved".to_owned() } else { String::new() };
            Running { run: Some(run.clone()), percent, checkpoint, ..Running::default() }
        };
        Reply::Listed {
            born_ms: self.incarnation.born_ms,
            clock: self.clock(now),
            running: self.running.iter().map(row).collect(),
            ended: self.ended.clone(),
            unreadable: 0,
        }
    }

    /// Takes a lease, a token and an acknowledgement; returns whether the token is high enough.
    fn accept(&mut self, now: u64, token: u64, deadline: Option<Duration>) -> bool {
        // A longer lease is shortened.
        let deadline =
            deadline.map(|deadline| deadline.min(self.clock(now) + ms(self.longest_lease)));
        if token < self.token {
            return false;
        }
        self.token = token;
        if let Some(deadline) = deadline {
            self.lease_until = self.lease_until.max(deadline);
        }
        true
    }
}

impl Worker {
    fn new(name: &'static str, generation: u64, program: Program) -> Self {
        let agent = Machine::new(runner::Options {
            name: name.to_owned(),
            address: format!("{name}:1"),
            generation,
            entries: vec!["e:1".to_owned()],
            minion_address: format!("m-{name}:1"),
            stop_timeout: ms(400),
            longest_lease: ms(program.longest_lease),
        });
        Worker {
            agent,
            program,
            foreign: None,
            is_cut_off: false,
            loses_polls: false,
            loses_answers: false,
            holds_polls: false,
            held: Vec::new(),
            answer_time: 0,
            is_paused: false,
            piled_up: Vec::new(),
            answers: Vec::new(),
            saved_heard_at: 0,
            leased_at: 0,
            granted_at: 0,
            reports_absent: false,
            reports_gone: false,
            token: 0,
            generation,
            calls: Vec::new(),
            polls: Vec::new(),
        }
    }
}

impl Site {
    /// Returns a site with a planner that serves idle workers of these names. Each task runs for
    /// `run_time` ms.
    pub(crate) fn new(names: &[&'static str], run_time: u64) -> Self {
        Site::with_bounds(names, run_time, Bounds::DEFAULT)
    }

    /// The same with these bounds.
    pub(crate) fn with_bounds(names: &[&'static str], run_time: u64, bounds: Bounds) -> Self {
        let program = |name| Program::new(name, 1, run_time, bounds.longest);
        let worker = |name: &&'static str| (*name, Worker::new(name, 1, program(name)));
        let mut site = Site {
            now: START,
            planner: Fixture::term_with(options_of(bounds), TERM, START, 0),
            workers: names.iter().map(worker).collect(),
            inventory: None,
            read_time: TICK,
            reads: Vec::new(),
            starts: Vec::new(),
            bounds,
            writes: Writes::default(),
            written: Vec::new(),
            done: Vec::new(),
            resumed: Vec::new(),
            lines: Vec::new(),
            grants: Vec::new(),
            stops: Vec::new(),
            twice: Vec::new(),
            items: BTreeMap::new(),
            revision: TERM,
            term: TERM,
            requester: 0,
            seen: 0,
            logged: 0,
        };
        site.inventory = Some(site.page_without(&[]));
        for item in [fleet(1, names), no_starts(1)] {
            site.write(item.key, item.value.unwrap_or_default().to_vec());
        }
        site.lead();
        site.run(2_000);
        site
    }

    /// Has the inventory read, and the agents follow the planner.
    fn lead(&mut self) {
        self.planner
            .planner
            .set_options(Options { has_inventory: true, ..options_of(self.bounds) });
        (self.seen, self.logged) = (0, 0);
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        names.into_iter().for_each(|name| self.follow(name));
    }

    fn follow(&mut self, name: &'static str) {
        let (name_of, address) = ("e".to_owned(), "e:1".to_owned());
        let lead = Lead { name: name_of, address, term: self.term, generation: self.term };
        self.agent_handles(name, agent::Event::Announced(lead));
    }

    /// Returns an inventory of the VMs of all workers, without these.
    pub(crate) fn page_without(&self, absent: &[&str]) -> Page {
        let mut page = Page::default();
        for (name, worker) in &self.workers {
            if !absent.contains(name) {
                let id = worker.program.incarnation.id.clone();
                page.add(format!("vm-{name}"), Tenant::Minion(id));
            }
        }
        page
    }

    /// Returns an inventory in which the VM of this worker runs something else.
    pub(crate) fn page_with(&self, name: &str, tenant: Tenant) -> Page {
        let mut page = self.page_without(&[name]);
        page.add(format!("vm-{name}"), tenant);
        page
    }

    fn write(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        let item = Item { key: key.clone(), value: Some(value.into()), revision: self.revision };
        self.items.insert(key, item);
    }

    pub(crate) fn submit(&mut self, id: &str, step: Step) {
        let job = job(id, self.term, step);
        self.write(keys::job(id), job.encode_to_vec());
        self.planner_handles(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
    }

    /// Replaces the planner by one that reads what the store has committed.
    pub(crate) fn take_over(&mut self) {
        self.take_over_seeing(&[]);
    }

    /// The same by an entry that has seen these terms, each with a time at which it had begun.
    pub(crate) fn take_over_seeing(&mut self, seen: &[(u64, u64)]) {
        self.term += 1;
        self.planner = Fixture::term_with(options_of(self.bounds), self.term, self.now, 0);
        self.planner.planner.expect_terms(seen.iter().map(|(term, at)| (*term, ms(*at))));
        self.written.clear();
        self.reads.clear();
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        for name in names {
            self.fail_polls(name, 0);
        }
        self.lead();
    }

    /// Starts the next process of an agent; its minion goes on.
    pub(crate) fn restart_agent(&mut self, name: &'static str) {
        let worker = self.workers.get_mut(name).expect("it is known");
        let Worker { granted_at, generation, .. } = *worker;
        let program =
            std::mem::replace(&mut worker.program, Program::new(name, 0, 1, self.bounds.longest));
        let foreign = worker.foreign.take();
        *worker = Worker { granted_at, foreign, ..Worker::new(name, generation + 1, program) };
        self.follow(name);
    }

    /// Ends a minion without a word; nothing listens at its address then.
    pub(crate) fn crash(&mut self, name: &str) {
        let program = self.program(name);
        program.running.clear();
        program.is_gone = true;
    }

    /// Starts the next incarnation of a minion that has crashed, under its name.
    pub(crate) fn start_minion(&mut self, name: &str) {
        let program = self.program(name);
        let born_ms = program.incarnation.born_ms + 1;
        *program = Program::new(name, born_ms, program.run_time, program.longest_lease);
    }

    /// The same, with a clock that starts anew.
    pub(crate) fn start_minion_with_new_clock(&mut self, name: &str) {
        self.start_minion(name);
        let began = self.now - START;
        self.program(name).clock_began = began;
    }

    /// Replaces the minions of all workers by ones of other names, as the inventory shows.
    pub(crate) fn replace_minions(&mut self) {
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        for name in names {
            self.start_minion(name);
            self.program(name).incarnation.id = format!("m-{name}-next");
            self.beat(name);
        }
        self.inventory = Some(self.page_without(&[]));
        self.run(2_000);
    }

    /// Carries out the starts that had no answer. Returns their number.
    pub(crate) fn carry_out_late(&mut self, name: &'static str) -> usize {
        let starts = std::mem::take(&mut self.program(name).lost_starts);
        let replies = starts.into_iter().map(|call| self.carry_out(name, call));
        replies.filter(|reply| *reply == Reply::Done).count()
    }

    pub(crate) fn program(&mut self, name: &str) -> &mut Program {
        &mut self.workers.get_mut(name).expect("it is known").program
    }

    /// Has a minion drain, as its next heartbeat says.
    pub(crate) fn drain(&mut self, name: &'static str) {
        self.program(name).incarnation.is_draining = true;
        self.beat(name);
    }

    pub(crate) fn deregister(&mut self, name: &'static str) {
        let id = self.program(name).incarnation.id.clone();
        self.agent_handles(name, agent::Event::Deregistered(id));
    }

    /// Returns the worker that the only task of a job runs on; empty if there is none.
    pub(crate) fn runs_on(&self, id: &str) -> &'static str {
        let is_there = |(_, worker): &(&&'static str, &Worker)| {
            !worker.program.is_gone && worker.program.running.iter().any(|(run, _)| run.job == id)
        };
        self.workers.iter().find(is_there).map_or("", |(name, _)| name)
    }

    /// Returns when and where the runs of a job have begun.
    pub(crate) fn starts_of(&self, id: &str) -> Vec<(u64, &'static str, u32)> {
        let starts = self.starts.iter().filter(|(_, _, run)| run.job == id);
        starts.map(|(at, name, run)| (*at, *name, run.run)).collect()
    }

    pub(crate) fn run(&mut self, time: u64) {
        for _ in 0..time / TICK {
            self.tick();
        }
    }

    /// Runs until a further run of a job begins; returns after what time that is, if it is.
    pub(crate) fn run_until_started(&mut self, id: &str, limit: u64) -> Option<u64> {
        let (begin, starts) = (self.now, self.starts_of(id).len());
        while self.now < begin + limit {
            self.tick();
            if self.starts_of(id).len() > starts {
                return Some(self.now - begin);
            }
        }
        None
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.planner_handles(Event::Tick);
        self.answer_reads();
        self.answer_writes();
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        for name in names {
            self.advance_program(name);
            if self.now.is_multiple_of(HEARTBEAT) {
                self.beat(name);
                self.foreign_beat(name);
            }
            self.answer_calls(name);
            self.deliver_answers(name);
            if !self.workers[name].is_paused {
                self.fail_polls(name, POLL_TIMEOUT);
            }
            self.agent_handles(name, agent::Event::Tick);
        }
    }

    /// Leaves the planner without a configuration.
    pub(crate) fn forget_configuration(&mut self) {
        self.planner_handles(Event::Catalog(Arc::default()));
    }

    /// Adds a queue whose tasks a service runs.
    pub(crate) fn configure(&mut self, service: &str) {
        let queue = |name: &str, service: &str| Queue {
            name: name.to_owned(),
            service: service.to_owned(),
            max_attempts: 2,
            slack: 3.0,
            priority: 1,
            ..Queue::default()
        };
        let queues = vec![queue("q", "desk"), queue("other", service)];
        let catalog = Catalog::new(Parts { queues, ..Parts::default() });
        self.planner_handles(Event::Catalog(Arc::new(catalog)));
    }

    /// Sends a heartbeat of the process that is not the worker's minion.
    pub(crate) fn foreign_beat(&mut self, name: &'static str) {
        let worker = self.workers.get_mut(name).expect("it is known");
        let Some(foreign) = &mut worker.foreign else { return };
        foreign.beats += 1;
        foreign.incarnation.born_ms += u64::from(foreign.is_reborn);
        let heartbeat = Heartbeat {
            incarnation: foreign.incarnation.clone(),
            address: foreign.address.clone(),
            sequence: foreign.beats,
        };
        self.agent_handles(name, agent::Event::Heartbeat(Box::new(heartbeat)));
    }

    fn beat(&mut self, name: &'static str) {
        let program = self.program(name);
        if program.is_gone || !program.is_beating {
            return;
        }
        program.beats += 1;
        let heartbeat = Heartbeat {
            incarnation: program.incarnation.clone(),
            address: format!("m-{name}:1"),
            sequence: program.beats,
        };
        self.agent_handles(name, agent::Event::Heartbeat(Box::new(heartbeat)));
    }

    fn advance_program(&mut self, name: &str) {
        let now = self.now;
        let (&name, worker) = self.workers.get_key_value(name).expect("it is known");
        let ends = worker.program.last_end;
        let program = self.program(name);
        let run_time = program.run_time;
        let is_over = |(_, began): &&(Run, u64)| now >= began + run_time;
        let over: Vec<Run> =
            program.running.iter().filter(is_over).map(|(run, _)| run.clone()).collect();
        over.iter().for_each(|run| program.end(run, Ending::Done));
        let has_lapsed = program.clock(now) >= program.lease_until;
        if has_lapsed {
            let lapsed: Vec<Run> = program.running.iter().map(|(run, _)| run.clone()).collect();
            lapsed.iter().for_each(|run| program.end(run, Ending::Lapsed));
        }
        let done = (ends + 1..).zip(over).map(|(number, run)| Done {
            worker: name,
            run,
            at: now,
            number,
            listed_at: None,
            lapsed_at: None,
            acknowledged_at: None,
        });
        self.done.extend(done);
        for done in self.done.iter_mut().filter(|done| done.worker == name && has_lapsed) {
            done.lapsed_at.get_or_insert(now);
        }
    }

    /// Answers the calls of an agent that are due.
    fn answer_calls(&mut self, name: &'static str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("it is known");
        let has_ended = !worker.program.ended.is_empty();
        let conduct =
            if worker.program.is_gone { Conduct::Refuses } else { worker.program.conduct };
        let is_due = |pending: &mut Pending| match (&pending.call, conduct) {
            (_, Conduct::Refuses) => true,
            (_, Conduct::RefusesNew | Conduct::RefusesOrders) if pending.is_refused => true,
            (_, Conduct::Silent) => now >= pending.due + 300,
            (Call::LongPoll { .. }, _) if has_ended => true,
            _ => now >= pending.due,
        };
        let due: Vec<Pending> = worker.calls.extract_if(.., is_due).collect();
        for pending in due {
            let foreign = self.workers[name].foreign.clone();
            let foreign = foreign.filter(|foreign| foreign.address == pending.address);
            let reply = match conduct {
                _ if pending.address != format!("m-{name}:1") => {
                    foreign.map_or(Reply::Unknown, |it| it.answer(&pending.minion_id, now))
                }
                Conduct::Refuses => Reply::NotListening,
                Conduct::RefusesNew | Conduct::RefusesOrders if pending.is_refused => {
                    Reply::NotListening
                }
                Conduct::Answers | Conduct::RefusesNew | Conduct::RefusesOrders
                    if !pending.minion_id.is_empty()
                        && pending.minion_id != self.program(name).incarnation.id =>
                {
                    Reply::WrongInstance
                }
                Conduct::Answers | Conduct::RefusesNew | Conduct::RefusesOrders => {
                    self.carry_out(name, pending.call)
                }
                Conduct::Silent => {
                    if matches!(pending.call, Call::Start { .. }) {
                        self.program(name).lost_starts.push(pending.call);
                    }
                    Reply::Unknown
                }
            };
            self.agent_handles(name, agent::Event::MinionReply(pending.ticket, reply));
        }
    }

    fn carry_out(&mut self, name: &'static str, call: Call) -> Reply {
        let now = self.now;
        let program = self.program(name);
        let (token, deadline) = match &call {
            Call::LongPoll { token, deadline, .. } => (*token, *deadline),
            Call::Start { token, deadline, .. } => (*token, Some(*deadline)),
            Call::Stop { token, .. } => (*token, None),
        };
        if !program.accept(now, token, deadline) {
            return Reply::Refused(Rejection::Fenced);
        }
        match call {
            Call::LongPoll { acknowledged, .. } => {
                program.ended.retain(|end| end.number > acknowledged);
                let list = program.list(now);
                for done in self.done.iter_mut().filter(|done| done.worker == name) {
                    done.listed_at.get_or_insert(now);
                    if done.number <= acknowledged {
                        done.acknowledged_at.get_or_insert(now);
                    }
                }
                list
            }
            Call::Start { start, .. } => {
                let run = start.run.unwrap_or_default();
                let is_resumed = !start.checkpoint.is_empty();
                if deadline.is_some_and(|deadline| program.clock(now) >= deadline) {
                    return Reply::Refused(Rejection::Late);
                }
                if !program.running.iter().any(|(other, _)| *other == run) {
                    program.running.push((run.clone(), now));
                    self.resumed.extend(is_resumed.then(|| run.clone()));
                    self.note_start(name, run);
                }
                Reply::Done
            }
            Call::Stop { task, number, .. } => {
                let run = task.run(number);
                program.end(&run, Ending::Stopped);
                self.stops.push(run);
                Reply::Done
            }
        }
    }

    /// Notes a run that begins, and whether its task is running or done elsewhere.
    fn note_start(&mut self, name: &'static str, run: Run) {
        let task = Task::read(&run);
        for (other, worker) in &self.workers {
            let is_other =
                |it: &Run| Task::read(it) == task && (*other != name || it.run != run.run);
            let runs = worker.program.running.iter().any(|(run, _)| is_other(run));
            let is_done = |end: &Ended| {
                end.ending() == Ending::Done && end.run.as_ref().is_some_and(is_other)
            };
            // An end that is listed after the lease has lapsed counts no more.
            let has_lapsed = worker.program.clock(self.now) >= worker.program.lease_until;
            let is_done = !has_lapsed && worker.program.ended.iter().any(is_done);
            if !worker.program.is_gone && (runs || is_done) {
                let at = self.now - START;
                self.twice
                    .push(format!("{at}: {task}#{} begins on {name}, on {other} as well", run.run));
            }
        }
        self.starts.push((self.now, name, run));
    }

    /// Fails the polls of an agent without an answer for this time.
    fn fail_polls(&mut self, name: &'static str, time: u64) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("it is known");
        let failed: Vec<(agent::Ticket, u64, u64)> =
            worker.polls.extract_if(.., |(_, _, at)| now >= *at + time).collect();
        for (ticket, requester, _) in failed {
            self.planner_handles(Event::Disconnected(requester));
            self.agent_handles(name, agent::Event::PollFailed { ticket, is_declined: false });
        }
    }

    fn agent_handles(&mut self, name: &'static str, event: agent::Event) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("it is known");
        if worker.is_paused {
            if event != agent::Event::Tick {
                worker.piled_up.push(event);
            }
            return;
        }
        let mut polls = Vec::new();
        let mut asks = false;
        for effect in worker.agent.handle(ms(now), event) {
            match effect {
                Effect::CallMinion { ticket, call, minion_id, address, .. } => {
                    let wait = match &call {
                        Call::LongPoll { wait, .. } => u64::try_from(wait.as_millis()).unwrap_or(0),
                        _ => 0,
                    };
                    let is_refused = match worker.program.conduct {
                        Conduct::RefusesNew => true,
                        Conduct::RefusesOrders => wait == 0,
                        _ => false,
                    };
                    let due = now + wait.max(TICK);
                    worker.calls.push(Pending {
                        ticket,
                        call,
                        due,
                        is_refused,
                        minion_id,
                        address,
                    });
                }
                Effect::Poll { ticket, poll, .. } => polls.push((ticket, poll)),
                Effect::QueryLeader { .. } => asks = true,
                _ => {}
            }
        }
        for (ticket, poll) in polls {
            self.requester += 1;
            let requester = self.requester;
            let worker = self.workers.get_mut(name).expect("it is known");
            worker.polls.push((ticket, requester, now));
            worker.reports_gone = poll.is_minion_gone;
            worker.reports_absent = poll.absence.is_some();
            if worker.holds_polls {
                worker.held.push((requester, poll));
            } else if !worker.is_cut_off && !worker.loses_polls {
                self.poll_arrives(name, requester, poll);
            }
        }
        if asks && !self.workers[name].is_cut_off {
            self.follow(name);
        }
    }

    fn poll_arrives(&mut self, name: &str, requester: u64, poll: Box<Poll>) {
        let worker = self.workers.get_mut(name).expect("it is known");
        if poll.running.iter().any(|it| !it.checkpoint.is_empty()) {
            worker.saved_heard_at = self.now;
        }
        self.planner_handles(Event::Poll(requester, poll));
    }

    /// Has the held polls of an agent arrive that it has given up, with the end of the connection right
    /// behind each.
    pub(crate) fn deliver_given_up(&mut self, name: &'static str) {
        let worker = self.workers.get_mut(name).expect("it is known");
        let polls = &worker.polls;
        let is_given_up =
            |(held, _): &mut (u64, Box<Poll>)| !polls.iter().any(|(_, open, _)| open == held);
        let given_up: Vec<_> = worker.held.extract_if(.., is_given_up).collect();
        for (requester, poll) in given_up {
            self.poll_arrives(name, requester, poll);
            self.planner_handles(Event::Disconnected(requester));
        }
    }

    /// Has an agent handle what has piled up while it was paused.
    pub(crate) fn resume(&mut self, name: &'static str) {
        let worker = self.workers.get_mut(name).expect("it is known");
        worker.is_paused = false;
        let events = std::mem::take(&mut worker.piled_up);
        events.into_iter().for_each(|event| self.agent_handles(name, event));
    }

    /// Closes the connections of an agent's polls, as both ends see at once.
    pub(crate) fn close_polls(&mut self, name: &'static str) {
        self.fail_polls(name, 0);
    }

    fn deliver_answers(&mut self, name: &'static str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("it is known");
        let due: Vec<_> = worker.answers.extract_if(.., |(at, ..)| now >= *at).collect();
        for (_, ticket, orders) in due {
            let worker = self.workers.get_mut(name).expect("it is known");
            worker.polls.retain(|(other, ..)| *other != ticket);
            worker.token = worker.token.max(orders.token);
            self.agent_handles(name, agent::Event::Orders(ticket, Box::new(orders)));
        }
    }

    /// Carries out the writes of the list of workers that are due, and answers them.
    fn answer_writes(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.written)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, done_at, ..)| now >= *at || now >= *done_at);
        self.written = later;
        for (at, done_at, operation, call) in due {
            if now >= done_at {
                let reply = self.apply(&operation, call);
                if at != u64::MAX {
                    self.planner_handles(Event::Store(operation, reply));
                }
            } else {
                let reply = store::Reply::Unavailable("no answer".to_owned());
                self.planner_handles(Event::Store(operation.clone(), reply));
                // It is still carried out.
                self.written.push((u64::MAX, done_at, operation, call));
            }
        }
    }

    fn planner_handles(&mut self, event: Event) {
        self.planner.now = self.now;
        self.planner.handle(event);
        self.answer_store();
        let now = self.now;
        let lines = self.planner.log.iter().skip(self.logged);
        self.lines.extend(lines.map(|line| (now, line.clone())));
        self.logged = self.planner.log.len();
        for _ in 0..std::mem::take(&mut self.planner.inventory_reads) {
            if let Some(page) = self.inventory.clone() {
                self.reads.push((self.now + self.read_time, page));
            }
        }
        for address in std::mem::take(&mut self.planner.announced) {
            let is_told = |(name, worker): &(&&'static str, &Worker)| {
                format!("{name}:1") == address && !worker.is_cut_off
            };
            if let Some(name) = self.workers.iter().find(is_told).map(|(name, _)| *name) {
                self.follow(name);
            }
        }
        let answers = self.planner.orders.split_off(self.seen);
        self.seen = self.planner.orders.len();
        for (requester, orders) in answers {
            let found = self.workers.iter_mut().find_map(|(name, worker)| {
                let at = worker.polls.iter().position(|(_, other, _)| *other == requester)?;
                Some((*name, worker, at))
            });
            let Some((name, worker, at)) = found else { continue };
            let sent_at = worker.polls[at].2;
            if orders.lease_ms > 0 {
                worker.granted_at = worker.granted_at.max(sent_at);
                worker.leased_at = self.now;
                self.grants.push((name, sent_at, self.now));
            }
            if worker.is_cut_off || worker.loses_answers {
                continue;
            }
            let (ticket, ..) = worker.polls[at];
            if worker.answer_time > 0 {
                worker.answers.push((self.now + worker.answer_time, ticket, orders));
                continue;
            }
            worker.polls.remove(at);
            worker.token = worker.token.max(orders.token);
            self.agent_handles(name, agent::Event::Orders(ticket, Box::new(orders)));
        }
    }

    fn answer_reads(&mut self) {
        let now = self.now;
        let due: Vec<(u64, Page)> = self.reads.extract_if(.., |(at, _)| now >= *at).collect();
        for (_, page) in due {
            self.planner_handles(Event::Inventory(Some(page)));
        }
    }

    fn answer_store(&mut self) {
        loop {
            let calls = std::mem::take(&mut self.planner.calls);
            if calls.is_empty() {
                return;
            }
            for (operation, call) in calls {
                let Writes { time, has_timeout } = self.writes;
                if operation == Operation::Fleet && time > 0 {
                    let limit = if has_timeout { STORE_TIMEOUT } else { time };
                    let (at, done_at) = (self.now + limit.min(time), self.now + time);
                    self.written.push((at, done_at, operation, call));
                    continue;
                }
                let reply = self.apply(&operation, call);
                self.planner.handle(Event::Store(operation, reply));
            }
        }
    }

    fn apply(&mut self, operation: &Operation, call: store::Call) -> store::Reply {
        match call {
            store::Call::WatchPrefix { .. } if *operation == Operation::Intake => {
                store::Reply::Changes { items: Vec::new(), revision: self.revision }
            }
            store::Call::Scan { prefix, after, .. } => {
                let is_listed = |key: &String| key.starts_with(&prefix) && *key > after;
                let items = self.items.iter().filter(|(key, _)| is_listed(key));
                let items = items.map(|(_, item)| item.clone()).collect();
                store::Reply::Items { items, has_more: false, revision: self.revision }
            }
            store::Call::Commit { conditions, puts, removes } => {
                let is_current = |it: &store::Condition| {
                    let found = self.items.get(&it.key).map_or(0, |item| item.revision);
                    it.key != keys::FLEET || found == it.revision
                };
                let is_checked = *operation == Operation::Fleet && self.writes.time > 0;
                if is_checked && !conditions.iter().all(is_current) {
                    let lead = Item {
                        key: keys::LEAD.to_owned(),
                        value: Some(Vec::new().into()),
                        revision: self.term,
                    };
                    let items = self.items.get(keys::FLEET).cloned().into_iter().chain([lead]);
                    return store::Reply::Refused(items.collect());
                }
                self.revision += 1;
                for put in puts {
                    let Put { key, value, .. } = put;
                    let item =
                        Item { key: key.clone(), value: Some(value), revision: self.revision };
                    self.items.insert(key, item);
                }
                for key in removes {
                    self.items.remove(&key);
                }
                store::Reply::Committed(self.revision)
            }
            _ => store::Reply::Unavailable("not simulated".to_owned()),
        }
    }
}
