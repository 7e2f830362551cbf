//! A planner, agents and minions on one clock, with a store that keeps what is written. A test decides how a minion
//! meets calls and in which order events come.

use std::{collections::BTreeMap, time::Duration};

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Lead, Notice, Rejection, Run, Running, Step,
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
use sapphire_store::call::{self as store, Item};

use crate::harness::{Fixture, START, TERM, ended, fleet, job, minion, ms, no_starts, options};

/// Time between two events.
const TICK: u64 = 10;
/// Interval of a minion's heartbeats.
const HEARTBEAT: u64 = 500;
/// Time after which an agent's poll counts as unanswered.
const POLL_TIMEOUT: u64 = 1_000;
/// Longest time after the last poll in which a lease was granted until it has certainly ended.
pub(super) const LEASE_BOUND: u64 = 6_000 + 120 + 300;

/// How a minion meets the calls of its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Conduct {
    #[default]
    Answers,
    /// Connections are refused, while it goes on.
    Refuses,
    /// No call has an answer, and none is carried out.
    Silent,
}

/// A minion, which runs tasks until they are over, are stopped, or its lease ends.
pub(super) struct Program {
    pub(super) incarnation: Incarnation,
    pub(super) conduct: Conduct,
    pub(super) is_beating: bool,
    /// It has ended, and nothing listens there.
    pub(super) is_gone: bool,
    pub(super) running: Vec<(Run, u64)>,
    pub(super) ended: Vec<Ended>,
    beats: u64,
    last_end: u64,
    token: u64,
    /// When its clock began, for a minion that has restarted.
    pub(super) clock_began: u64,
    /// End of its lease by its clock.
    lease_until: Duration,
    /// Starts that had no answer, which may still be carried out.
    lost_starts: Vec<Call>,
    pub(super) run_time: u64,
}

/// Returns what the clock of a minion shows, which is as slow as the clocks of minions may be.
fn clock(now: u64) -> Duration {
    ms(START + (now - START) * 980 / 1_000)
}

/// A call of an agent that has no answer yet.
struct Pending {
    ticket: agent::Ticket,
    call: Call,
    due: u64,
}

/// A worker: an agent beside a minion.
pub(super) struct Worker {
    agent: Machine,
    pub(super) program: Program,
    /// Neither its polls nor their answers get through.
    pub(super) is_cut_off: bool,
    /// Time of its latest poll that was answered with a lease, whether the answer got through or not.
    pub(super) granted_at: u64,
    /// Whether its latest poll reports that there is no minion.
    pub(super) reports_gone: bool,
    /// Highest token that was granted to it.
    pub(super) token: u64,
    generation: u64,
    calls: Vec<Pending>,
    /// Polls without an answer, with the number of the request and the time of each.
    polls: Vec<(agent::Ticket, u64, u64)>,
}

/// All processes, and what the store has committed.
pub(super) struct Site {
    pub(super) now: u64,
    pub(super) planner: Fixture,
    pub(super) workers: BTreeMap<&'static str, Worker>,
    /// What the inventory shows; `None` if it can't be read.
    pub(super) inventory: Option<Page>,
    /// Time that a read of the inventory takes.
    pub(super) read_time: u64,
    /// Reads of the inventory that are answered later, with the time and the answer.
    reads: Vec<(u64, Page)>,
    /// Starts that were carried out, with their time and worker.
    pub(super) starts: Vec<(u64, &'static str, Run)>,
    /// Runs that were ordered to stop.
    pub(super) stops: Vec<Run>,
    /// Runs that began while another run of their task was running or done.
    pub(super) twice: Vec<String>,
    items: BTreeMap<String, Item>,
    revision: u64,
    term: u64,
    requester: u64,
    seen: usize,
}

impl Program {
    fn new(name: &str, born_ms: u64, run_time: u64) -> Self {
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
            Running { run: Some(run.clone()), percent, ..Running::default() }
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
        let deadline = deadline.map(|deadline| deadline.min(self.clock(now) + ms(10_000)));
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
            longest_lease: ms(10_000),
        });
        Worker {
            agent,
            program,
            is_cut_off: false,
            granted_at: 0,
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
    pub(super) fn new(names: &[&'static str], run_time: u64) -> Self {
        let worker =
            |name: &&'static str| (*name, Worker::new(name, 1, Program::new(name, 1, run_time)));
        let mut site = Site {
            now: START,
            planner: Fixture::term(TERM, START, 0),
            workers: names.iter().map(worker).collect(),
            inventory: None,
            read_time: TICK,
            reads: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            twice: Vec::new(),
            items: BTreeMap::new(),
            revision: TERM,
            term: TERM,
            requester: 0,
            seen: 0,
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
        self.planner.planner.set_options(Options { has_inventory: true, ..options() });
        self.seen = 0;
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        names.into_iter().for_each(|name| self.follow(name));
    }

    fn follow(&mut self, name: &'static str) {
        let (name_of, address) = ("e".to_owned(), "e:1".to_owned());
        let lead = Lead { name: name_of, address, term: self.term, generation: self.term };
        self.agent_handles(name, agent::Event::Leader(lead));
    }

    /// Returns an inventory of the VMs of all workers, without these.
    pub(super) fn page_without(&self, absent: &[&str]) -> Page {
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
    pub(super) fn page_with(&self, name: &str, tenant: Tenant) -> Page {
        let mut page = self.page_without(&[name]);
        page.add(format!("vm-{name}"), tenant);
        page
    }

    fn write(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        let item = Item { key: key.clone(), value: Some(value.into()), revision: self.revision };
        self.items.insert(key, item);
    }

    pub(super) fn submit(&mut self, id: &str, step: Step) {
        let job = job(id, self.term, step);
        self.write(keys::job(id), job.encode_to_vec());
        self.planner_handles(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
    }

    /// Replaces the planner by one that reads what the store has committed.
    pub(super) fn take_over(&mut self) {
        self.term += 1;
        self.planner = Fixture::term(self.term, self.now, 0);
        self.reads.clear();
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        for name in names {
            self.fail_polls(name, 0);
        }
        self.lead();
    }

    /// Starts the next process of an agent; its minion goes on.
    pub(super) fn restart_agent(&mut self, name: &'static str) {
        let worker = self.workers.get_mut(name).expect("it is known");
        let Worker { granted_at, generation, .. } = *worker;
        let program = std::mem::replace(&mut worker.program, Program::new(name, 0, 1));
        *worker = Worker { granted_at, ..Worker::new(name, generation + 1, program) };
        self.follow(name);
    }

    /// Ends a minion without a word; nothing listens at its address then.
    pub(super) fn crash(&mut self, name: &str) {
        let program = self.program(name);
        program.running.clear();
        program.is_gone = true;
    }

    /// Starts the next incarnation of a minion that has crashed, under its name.
    pub(super) fn start_minion(&mut self, name: &str) {
        let program = self.program(name);
        *program = Program::new(name, program.incarnation.born_ms + 1, program.run_time);
    }

    /// The same, with a clock that starts anew.
    pub(super) fn start_minion_with_new_clock(&mut self, name: &str) {
        self.start_minion(name);
        let began = self.now - START;
        self.program(name).clock_began = began;
    }

    /// Replaces the minions of all workers by ones of other names, as the inventory shows.
    pub(super) fn replace_minions(&mut self) {
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
    pub(super) fn carry_out_late(&mut self, name: &'static str) -> usize {
        let starts = std::mem::take(&mut self.program(name).lost_starts);
        let replies = starts.into_iter().map(|call| self.carry_out(name, call));
        replies.filter(|reply| *reply == Reply::Done).count()
    }

    pub(super) fn program(&mut self, name: &str) -> &mut Program {
        &mut self.workers.get_mut(name).expect("it is known").program
    }

    /// Has a minion drain, as its next heartbeat says.
    pub(super) fn drain(&mut self, name: &'static str) {
        self.program(name).incarnation.is_draining = true;
        self.beat(name);
    }

    pub(super) fn deregister(&mut self, name: &'static str) {
        let id = self.program(name).incarnation.id.clone();
        self.agent_handles(name, agent::Event::Deregistered(id));
    }

    /// Returns the worker that the only task of a job runs on; empty if there is none.
    pub(super) fn runs_on(&self, id: &str) -> &'static str {
        let is_there = |(_, worker): &(&&'static str, &Worker)| {
            !worker.program.is_gone && worker.program.running.iter().any(|(run, _)| run.job == id)
        };
        self.workers.iter().find(is_there).map_or("", |(name, _)| name)
    }

    /// Returns when and where the runs of a job have begun.
    pub(super) fn starts_of(&self, id: &str) -> Vec<(u64, &'static str, u32)> {
        let starts = self.starts.iter().filter(|(_, _, run)| run.job == id);
        starts.map(|(at, name, run)| (*at, *name, run.run)).collect()
    }

    pub(super) fn run(&mut self, time: u64) {
        for _ in 0..time / TICK {
            self.tick();
        }
    }

    /// Runs until a further run of a job begins; returns after what time that is, if it is.
    pub(super) fn run_until_started(&mut self, id: &str, limit: u64) -> Option<u64> {
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
        let names: Vec<&'static str> = self.workers.keys().copied().collect();
        for name in names {
            self.advance_program(name);
            if self.now.is_multiple_of(HEARTBEAT) {
                self.beat(name);
            }
            self.answer_calls(name);
            self.fail_polls(name, POLL_TIMEOUT);
            self.agent_handles(name, agent::Event::Tick);
        }
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
        let program = self.program(name);
        let run_time = program.run_time;
        let is_over = |(_, began): &&(Run, u64)| now >= began + run_time;
        let over: Vec<Run> =
            program.running.iter().filter(is_over).map(|(run, _)| run.clone()).collect();
        over.iter().for_each(|run| program.end(run, Ending::Done));
        if program.clock(now) >= program.lease_until {
            let lapsed: Vec<Run> = program.running.iter().map(|(run, _)| run.clone()).collect();
            lapsed.iter().for_each(|run| program.end(run, Ending::Lapsed));
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
            (Call::LongPoll { .. }, Conduct::Answers) if has_ended => true,
            (_, Conduct::Refuses) => true,
            (_, Conduct::Silent) => now >= pending.due + 300,
            _ => now >= pending.due,
        };
        let due: Vec<Pending> = worker.calls.extract_if(.., is_due).collect();
        for pending in due {
            let reply = match conduct {
                Conduct::Answers => self.carry_out(name, pending.call),
                Conduct::Refuses => Reply::NotListening,
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
                program.list(now)
            }
            Call::Start { start, .. } => {
                let run = start.run.unwrap_or_default();
                if deadline.is_some_and(|deadline| program.clock(now) >= deadline) {
                    return Reply::Refused(Rejection::Late);
                }
                if !program.running.iter().any(|(other, _)| *other == run) {
                    program.running.push((run.clone(), now));
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
        let mut polls = Vec::new();
        let mut asks = false;
        for effect in worker.agent.handle(ms(now), event) {
            match effect {
                Effect::CallMinion { ticket, call, .. } => {
                    let wait = match &call {
                        Call::LongPoll { wait, .. } => u64::try_from(wait.as_millis()).unwrap_or(0),
                        _ => 0,
                    };
                    worker.calls.push(Pending { ticket, call, due: now + wait.max(TICK) });
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
            if !worker.is_cut_off {
                self.planner_handles(Event::Poll(requester, poll));
            }
        }
        if asks && !self.workers[name].is_cut_off {
            self.follow(name);
        }
    }

    fn planner_handles(&mut self, event: Event) {
        self.planner.now = self.now;
        self.planner.handle(event);
        self.answer_store();
        for _ in 0..std::mem::take(&mut self.planner.inventory_reads) {
            if let Some(page) = self.inventory.clone() {
                self.reads.push((self.now + self.read_time, page));
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
            }
            if worker.is_cut_off {
                continue;
            }
            let (ticket, ..) = worker.polls.remove(at);
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
            store::Call::Commit { puts, removes, .. } => {
                for put in puts {
                    self.write(put.key, put.value.to_vec());
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
