//! A planner with 11 workers whose minions answer, run, report progress and end.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Notice, Orders, Poll, Rejection, Run, Running, Start, Step,
    Unanswered, Verdict,
    catalog::{Catalog, Parts, Queue},
    inventory,
    resources::Resources,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
    options::Options,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, START, TERM, ended, fleet, job, minion, no_starts, resources};

/// Workers of each rack.
const RACKS: [(&str, usize); 4] = [("r1", 3), ("r2", 3), ("r3", 3), ("r4", 2)];
/// Time between two events.
const TICK: u64 = 50;
/// Time between two lists of a minion.
const LIST_INTERVAL: u64 = 250;
/// Time after which an agent repeats a start that had no answer.
const CALL_TIMEOUT: u64 = 400;
/// Time for which a minion may carry out a start after it was sent.
const MAX_CALL_DELAY: u64 = 12_000;
/// Time that a stop takes.
const STOP_TIME: u64 = 100;
/// Time for which a member of a gang waits for the others.
const GANG_TIME: u64 = 2_000;
/// Time for which a task may have nothing running while there is room for it.
pub(super) const BOUND: u64 = 3_000;
/// The same if a start without an answer may be carried out, from when that was last sent.
pub(super) const BLOCKED_BOUND: u64 = 14_000;
/// The same if a run ends with the lease of a worker that is gone.
pub(super) const LEASE_BOUND: u64 = 7_500;
/// Time from its last run for which a long-running task may have nothing running.
pub(super) const LONG_RUNNING_BOUND: u64 = 6_000;

/// A task that a minion runs.
struct Program {
    run: Run,
    /// Progress in per cent.
    done: f64,
    began: u64,
    /// Time at which it ends, and how.
    end: Option<(u64, Ending)>,
}

/// A worker: an agent with its minion.
#[derive(Default)]
pub(super) struct Machine {
    pub(super) rack: String,
    /// It is gone, and sends nothing.
    pub(super) is_gone: bool,
    /// Starts reach it and have no answer, and are not carried out.
    pub(super) is_mute: bool,
    /// Stops of it take this much longer.
    pub(super) stop_delay: u64,
    /// Its ends are not listed before this time.
    pub(super) lists_ends_from: u64,
    /// Its programs run at an eighth of their pace until this time.
    pub(super) slow_until: u64,
    programs: Vec<Program>,
    ended: Vec<Ended>,
    last_end: u64,
    requester: Option<u64>,
    token: u64,
    /// Starts without an answer, with the time at which the agent got the order.
    pending: Vec<(Run, u64)>,
    /// Starts that the agent no longer sends, with the time at which they were last sent.
    abandoned: Vec<(Run, u64)>,
    /// Stops of runs that have not started, with the time at which they are answered.
    stopping: Vec<(Run, u64)>,
}

/// A job with what it needs.
struct Work {
    step: Step,
    run_time: u64,
    /// What each run does to the workers that it is on, by order of the runs.
    faults: Vec<Fault>,
    runs: BTreeSet<u32>,
    is_done: BTreeSet<u32>,
    /// Time since which it stands still although there is room.
    still_since: Option<u64>,
    /// Longest time for which it did, with its end.
    longest: (u64, u64),
}

/// What becomes of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Its workers become slow after 2 s, for the given time.
    Slow(u64),
    /// Its first task ends `failed` after 1 s.
    Fails,
    /// All of its tasks do.
    AllFail,
}

/// All processes, and what the store contains.
pub(super) struct Site {
    pub(super) fixture: Fixture,
    pub(super) machines: BTreeMap<String, Machine>,
    pub(super) cordoned: BTreeSet<String>,
    work: BTreeMap<String, Work>,
    items: BTreeMap<String, Item>,
    term: u64,
    terms: u32,
    seen: usize,
    read_records: usize,
    generation: u64,
    log: Vec<String>,
}

/// Returns a step of half of a worker for each task.
pub(super) fn half(tasks: u32, is_gang: bool, run_time: u64) -> Step {
    Step {
        room: Some(resources(32).message()),
        estimate_ms: run_time,
        checkpoints: true,
        ..crate::harness::step(tasks, is_gang)
    }
}

/// Returns a step of a whole worker for each task.
pub(super) fn whole(tasks: u32, is_gang: bool, run_time: u64) -> Step {
    Step { room: Some(resources(64).message()), ..half(tasks, is_gang, run_time) }
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        service: "desk".to_owned(),
        max_attempts: 30,
        slack: 3.0,
        priority,
        ..Queue::default()
    }
}

impl Site {
    pub(super) fn new() -> Self {
        let mut machines = BTreeMap::new();
        for (rack, count) in RACKS {
            for at in 1..=count {
                let machine = Machine { rack: rack.to_owned(), ..Machine::default() };
                machines.insert(format!("{rack}-{at}"), machine);
            }
        }
        let names: Vec<&str> = machines.keys().map(String::as_str).collect();
        let items = [fleet(1, &names), no_starts(1)].into_iter();
        let items = items.map(|item| (item.key.clone(), item)).collect();
        let mut site = Site {
            fixture: Fixture::term(TERM, START, 0),
            machines,
            cordoned: BTreeSet::new(),
            work: BTreeMap::new(),
            items,
            term: TERM,
            terms: 1,
            seen: 0,
            read_records: 0,
            generation: 1,
            log: Vec::new(),
        };
        site.begin_term();
        site.run(1_000);
        site
    }

    fn begin_term(&mut self) {
        self.fixture.answers_records = true;
        let generations = self.machines.keys().map(|name| (name.clone(), self.generation));
        self.fixture.generations = generations.collect();
        let queues = vec![queue("q", 1), queue("urgent", 0)];
        let catalog = Catalog::new(Parts { queues, ..Parts::default() });
        self.fixture.handle(Event::Catalog(Arc::new(catalog)));
        let options = Options { has_inventory: true, ..crate::harness::options() };
        self.fixture.planner.set_options(options);
        self.seen = 0;
        self.read_records = 0;
        self.answer_store();
    }

    /// Begins the next term with what the store contains now. The agents go on.
    pub(super) fn take_over(&mut self) {
        self.read_records();
        self.term += 1;
        self.terms += 1;
        // The planner has removed the workers that it has declared lost from the stored list.
        let names = self.fixture.planner.workers().keys().map(String::as_str);
        let members = fleet(self.terms, &names.collect::<Vec<_>>());
        self.items.insert(members.key.clone(), members);
        self.log.append(&mut self.fixture.log);
        let sequence = std::mem::take(&mut self.fixture.sequence);
        self.fixture = Fixture::term(self.term, self.fixture.now, 0);
        self.fixture.sequence = sequence;
        self.machines.values_mut().for_each(|machine| machine.requester = None);
        self.begin_term();
    }

    fn read_records(&mut self) {
        let records: Vec<Call> = self.fixture.records[self.read_records..].to_vec();
        self.read_records = self.fixture.records.len();
        records.iter().for_each(|call| self.write(call));
    }

    fn write(&mut self, call: &Call) {
        let Call::Commit { puts, removes, .. } = call else { return };
        for put in puts {
            let value: Option<Bytes> = Some(put.value.clone());
            let item = Item { key: put.key.clone(), value, revision: 60 };
            self.items.insert(put.key.clone(), item);
        }
        for key in removes {
            self.items.remove(key);
        }
    }

    /// Answers the calls to the store, except those of the handover record.
    fn answer_store(&mut self) {
        while !self.fixture.calls.is_empty() {
            let (operation, call) = self.fixture.calls.remove(0);
            let reply = match &call {
                Call::Commit { .. } => {
                    self.write(&call);
                    Reply::Committed(60)
                }
                Call::Scan { prefix, after, .. } => {
                    let is_listed =
                        |key: &&String| key.starts_with(prefix.as_str()) && *key > after;
                    let keys = self.items.keys().filter(is_listed);
                    let items = keys.map(|key| self.items[key].clone()).collect();
                    Reply::Items { items, has_more: false, revision: 60 }
                }
                Call::WatchPrefix { .. } => Reply::Changes { items: Vec::new(), revision: 60 },
                _ => Reply::Unavailable("not simulated".to_owned()),
            };
            let is_intake = operation == Operation::Intake;
            self.fixture.handle(Event::Store(operation, reply));
            if is_intake {
                break;
            }
        }
    }

    /// Answers the reads of the inventory of VMs, which lists those that are not gone for good.
    fn answer_inventory(&mut self) {
        for _ in 0..std::mem::take(&mut self.fixture.inventory_reads) {
            let present = self.machines.iter().filter(|(_, machine)| !machine.is_gone);
            let minions = present.map(|(name, _)| minion(name).id).collect();
            let page = inventory::Page { minions, ..inventory::Page::default() };
            self.fixture.handle(Event::Inventory(Some(page)));
        }
    }

    /// Submits a job whose tasks take `run_time`, and whose first runs meet the given faults.
    pub(super) fn submit(&mut self, id: &str, queue: &str, step: Step, faults: &[Fault]) {
        let run_time = step.estimate_ms;
        let job = sapphire_jobs::Job {
            queue: queue.to_owned(),
            accepted_ms: self.fixture.now,
            max_attempts: 30,
            ..job(id, self.term, step.clone())
        };
        let key = keys::job(id);
        let value = Some(Bytes::from(job.encode_to_vec()));
        self.items.insert(key.clone(), Item { key, value, revision: 60 });
        let work = Work {
            step,
            run_time,
            faults: faults.to_vec(),
            runs: BTreeSet::new(),
            is_done: BTreeSet::new(),
            still_since: None,
            longest: (0, 0),
        };
        self.work.insert(id.to_owned(), work);
        self.fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
    }

    /// Cordons the given workers.
    pub(super) fn cordon(&mut self, names: &[&'static str]) {
        self.cordoned = names.iter().map(|name| (*name).to_owned()).collect();
        self.fixture.cordon(names);
    }

    /// Has other work take up some workers for good, each with this many tasks of half a worker.
    pub(super) fn occupy(&mut self, names: &[&'static str], tasks: u32) {
        let all: Vec<String> = self.machines.keys().cloned().collect();
        let others = all.into_iter().filter(|name| !names.contains(&name.as_str()));
        let others: Vec<&'static str> = others.map(|name| &*name.leak()).collect();
        self.cordon(&others);
        let id = format!("busy-{}", names.join("-"));
        let count = u32::try_from(names.len()).expect("a few workers") * tasks;
        let step = Step { per_worker: tasks, ..half(count, false, 600_000) };
        self.submit(&id, "q", step, &[]);
        self.run(1_000);
        assert_eq!(self.workers_of(&id), names, "{}", self.story(&id));
        self.cordon(&[]);
    }

    /// Lets a worker go for good.
    pub(super) fn lose(&mut self, name: &str) {
        let now = self.fixture.now;
        let machine = self.machines.get_mut(name).expect("a worker of the site");
        machine.is_gone = true;
        machine.programs.clear();
        machine.requester = None;
        for (run, at) in std::mem::take(&mut machine.pending) {
            machine.abandoned.push((run, now - (now - at) % CALL_TIMEOUT));
        }
    }

    /// Has an agent report a start of a job's first task that was sent now and had no answer.
    pub(super) fn leave_unanswered(&mut self, name: &str, id: &str) {
        let now = self.fixture.now;
        let run = crate::harness::run(id, 0, 1_001);
        self.machines.get_mut(name).expect("a worker of the site").abandoned.push((run, now));
    }

    /// Returns whether resources are claimed for a job.
    pub(super) fn has_claim(&self, id: &str) -> bool {
        let entry = self.fixture.planner.table().entries.get(id);
        entry.is_some_and(|entry| entry.groups.values().any(|group| group.claim.is_some()))
    }

    /// Returns the workers that run a job.
    pub(super) fn workers_of(&self, id: &str) -> Vec<String> {
        let machines = self.machines.iter();
        let is_here = |machine: &Machine| machine.programs.iter().any(|it| it.run.job == id);
        machines.filter(|(_, it)| is_here(it)).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of runs of a job that have begun.
    pub(super) fn runs_of(&self, id: &str) -> usize {
        self.work[id].runs.len()
    }

    /// Returns the log lines of all planners that name a job, or that concern all jobs.
    pub(super) fn story(&self, id: &str) -> String {
        let lines = self.log.iter().chain(&self.fixture.log);
        let names = [format!("job={id} "), format!("task={id}/"), " lost".to_owned()];
        let is_named = |line: &&String| names.iter().any(|name| line.contains(name.as_str()));
        let lines: Vec<&str> = lines.filter(is_named).map(String::as_str).collect();
        lines.join("\n")
    }

    /// Returns the longest time for which a job stood still while there was room for it.
    pub(super) fn longest(&self, id: &str) -> u64 {
        self.work[id].longest.0
    }

    /// Fails if a job stood still for the time of a bound while there was room for it.
    pub(super) fn assert_goes_on(&self, id: &str, bound: u64) {
        let (longest, until) = self.work[id].longest;
        assert!(
            longest < bound,
            "{id} stood still for {longest} ms until {}; runs on {:?}\n{}",
            until - START,
            self.workers_of(id),
            self.story(id),
        );
    }

    /// Runs until a condition holds, for at most `time`. Returns whether it does.
    pub(super) fn run_until(&mut self, time: u64, condition: impl Fn(&Site) -> bool) -> bool {
        let end = self.fixture.now + time;
        while self.fixture.now < end && !condition(self) {
            self.tick();
        }
        condition(self)
    }

    pub(super) fn run(&mut self, time: u64) {
        self.run_until(time, |_| false);
    }

    fn tick(&mut self) {
        self.fixture.now += TICK;
        self.fixture.handle(Event::Tick);
        self.answer_store();
        self.answer_inventory();
        self.collect();
        self.work_on();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let is_list_due = self.fixture.now.is_multiple_of(LIST_INTERVAL);
        for name in names {
            if is_list_due || self.machines[&name].requester.is_none() {
                self.report(&name);
            }
        }
        self.answer_store();
        self.collect();
        self.read_records();
        self.measure();
    }

    /// Lets the programs work and end.
    fn work_on(&mut self) {
        let now = self.fixture.now;
        // Runs at the pace of their slowest member, once all are there.
        let mut members: BTreeMap<(String, u32), (u32, f64)> = BTreeMap::new();
        for machine in self.machines.values() {
            let pace = if now < machine.slow_until { 0.125 } else { 1.0 };
            for program in &machine.programs {
                let key = (program.run.job.clone(), program.run.run);
                let (count, slowest) = members.entry(key).or_insert((0, 1.0));
                *count += 1;
                *slowest = slowest.min(pace);
            }
        }
        for machine in self.machines.values_mut() {
            let own = if now < machine.slow_until { 0.125 } else { 1.0 };
            let mut slows = 0;
            for program in &mut machine.programs {
                let work = &self.work[&program.run.job];
                let (count, slowest) = members[&(program.run.job.clone(), program.run.run)];
                let pace = match work.step.is_gang {
                    true if count < work.step.tasks => 0.0,
                    true => slowest,
                    false => own,
                };
                let age = now - program.began;
                if age >= 300 {
                    program.done += pace * TICK as f64 * 100.0 / work.run_time as f64;
                }
                let is_alone = work.step.is_gang && count < work.step.tasks;
                if is_alone && program.done == 0.0 && age >= GANG_TIME {
                    program.end.get_or_insert((now, Ending::Alone));
                }
                let order = work.runs.iter().position(|number| *number == program.run.run);
                match order.and_then(|at| work.faults.get(at)) {
                    Some(Fault::Slow(time)) if age == 2_000 => slows = now + time,
                    Some(Fault::Fails) if age >= 1_000 && program.run.index == 0 => {
                        program.end.get_or_insert((now, Ending::Faulty));
                    }
                    Some(Fault::AllFail) if age >= 1_000 => {
                        program.end.get_or_insert((now, Ending::Faulty));
                    }
                    _ => {}
                }
                if program.done >= 100.0 && program.end.is_none() && !work.step.is_long_running {
                    program.end = Some((now, Ending::Done));
                }
            }
            machine.slow_until = machine.slow_until.max(slows);
            let (over, others) = std::mem::take(&mut machine.programs)
                .into_iter()
                .partition(|program| program.end.is_some_and(|(at, _)| now >= at));
            machine.programs = others;
            let over: Vec<Program> = over;
            for program in over {
                let (_, ending) = program.end.expect("it is over");
                machine.last_end += 1;
                let work = self.work.get_mut(&program.run.job).expect("it was submitted");
                if ending == Ending::Done {
                    work.is_done.insert(program.run.index);
                }
                let is_saved = ending == Ending::Stopped && work.step.checkpoints;
                let checkpoint =
                    if is_saved { format!("{:.0}", program.done) } else { String::new() };
                let end = ended(machine.last_end, program.run, ending);
                machine.ended.push(Ended { checkpoint, ..end });
            }
        }
    }

    /// Sends the report of an agent.
    fn report(&mut self, name: &str) {
        let now = self.fixture.now;
        let machine = self.machines.get_mut(name).expect("a worker of the site");
        if machine.is_gone {
            return;
        }
        let row = |run: &Run, age_ms| Unanswered { run: Some(run.clone()), age_ms, born_ms: 0 };
        let timed_out = machine.pending.iter().filter(|(_, at)| now - at >= CALL_TIMEOUT);
        let timed_out = timed_out.map(|(run, at)| row(run, (now - at) % CALL_TIMEOUT));
        machine.abandoned.retain(|(_, at)| now - at < MAX_CALL_DELAY);
        let abandoned = machine.abandoned.iter().map(|(run, at)| row(run, now - at));
        let running = |program: &Program| Running {
            run: Some(program.run.clone()),
            percent: program.done as u32,
            ..Running::default()
        };
        let lists_ends = now >= machine.lists_ends_from;
        let (answered, outstanding): (Vec<_>, Vec<_>) =
            std::mem::take(&mut machine.stopping).into_iter().partition(|(_, at)| now >= *at);
        machine.stopping = outstanding;
        let old = |(run, _)| Verdict { run: Some(run), rejection: Rejection::Old.into() };
        let verdicts = answered.into_iter().map(old).collect();
        let stopped = machine.programs.iter().filter(|program| program.end.is_some());
        let stopped = stopped.map(|program| program.run.clone());
        let outstanding = machine.stopping.iter().map(|(run, _)| run.clone());
        let poll = Poll {
            incarnation: Some(Incarnation { rack: machine.rack.clone(), ..named(name) }),
            running: machine.programs.iter().map(running).collect(),
            ended: if lists_ends { machine.ended.clone() } else { Vec::new() },
            pending: machine.pending.iter().map(|(run, _)| run.clone()).collect(),
            stopping: stopped.chain(outstanding).collect(),
            unanswered: timed_out.chain(abandoned).collect(),
            verdicts,
            ..Poll::default()
        };
        if machine.token > 0 {
            self.fixture.tokens.insert(name.to_owned(), machine.token);
        }
        self.fixture.report(name, poll);
        machine.requester = Some(self.fixture.requester);
    }

    /// Hands out the orders.
    fn collect(&mut self) {
        let orders: Vec<(u64, Orders)> = self.fixture.orders[self.seen..].to_vec();
        self.seen = self.fixture.orders.len();
        let now = self.fixture.now;
        for (requester, orders) in orders {
            let mut machines = self.machines.values_mut();
            let Some(machine) = machines.find(|it| it.requester == Some(requester)) else {
                continue;
            };
            machine.requester = None;
            if machine.token != orders.token {
                machine.token = orders.token;
                for (run, at) in std::mem::take(&mut machine.pending) {
                    machine.abandoned.push((run, now - (now - at) % CALL_TIMEOUT));
                }
            }
            machine.ended.retain(|it| it.number > orders.noted);
            for start in orders.starts {
                machine.start(now, start, &mut self.work);
            }
            for run in orders.stops {
                machine.stop(now, &run);
            }
        }
    }

    /// Records which jobs stand still although there is room.
    fn measure(&mut self) {
        let now = self.fixture.now;
        let used = |machine: &Machine| -> u64 {
            machine.programs.iter().map(|it| accelerators(&self.work[&it.run.job].step)).sum()
        };
        let open = self
            .machines
            .iter()
            .filter(|(name, machine)| !machine.is_gone && !self.cordoned.contains(*name));
        let free: Vec<u64> = open.map(|(_, machine)| 64 - used(machine)).collect();
        let in_use: u64 = self.machines.values().map(used).sum();
        let capacity = 64 * self.machines.values().filter(|it| !it.is_gone).count() as u64;
        let running: BTreeSet<String> = self
            .machines
            .values()
            .flat_map(|machine| machine.programs.iter().map(|it| it.run.job.clone()))
            .collect();
        for (id, work) in &mut self.work {
            let each = accelerators(&work.step);
            let tasks = if work.step.is_gang { work.step.tasks } else { 1 };
            let fits: u64 = free.iter().map(|free| free / each).sum();
            let has_room = fits >= 2 * u64::from(tasks) && in_use * 2 < capacity;
            let is_done = work.is_done.len() >= work.step.tasks as usize;
            if is_done || running.contains(id) || !has_room {
                work.still_since = None;
                continue;
            }
            let since = *work.still_since.get_or_insert(now);
            if now - since > work.longest.0 {
                work.longest = (now - since, now);
            }
        }
    }
}

impl Machine {
    fn start(&mut self, now: u64, start: Start, work: &mut BTreeMap<String, Work>) {
        let Some(run) = start.run else { return };
        if self.programs.iter().any(|it| it.run == run)
            || self.pending.iter().any(|(pending, _)| *pending == run)
        {
            return;
        }
        if self.is_mute {
            self.pending.push((run, now));
            return;
        }
        let work = work.get_mut(&run.job).expect("it was submitted");
        work.runs.insert(run.run);
        let done = start.checkpoint.parse().unwrap_or(0.0);
        self.programs.push(Program { run, done, began: now, end: None });
    }

    fn stop(&mut self, now: u64, run: &Run) {
        let until = now + STOP_TIME + self.stop_delay;
        for program in self.programs.iter_mut().filter(|it| it.run == *run) {
            program.end.get_or_insert((until, Ending::Stopped));
        }
        let (stopped, others) =
            std::mem::take(&mut self.pending).into_iter().partition(|(it, _)| it == run);
        self.pending = others;
        let stopped: Vec<(Run, u64)> = stopped;
        for (run, at) in stopped {
            self.abandoned.push((run.clone(), now - (now - at) % CALL_TIMEOUT));
            self.stopping.push((run, now + self.stop_delay));
        }
    }
}

fn accelerators(step: &Step) -> u64 {
    Resources::read(step.room.as_ref()).accelerators.max(1)
}

/// Returns the minion of a worker, in a zone of its own.
fn named(name: &str) -> Incarnation {
    Incarnation { zone: name.to_owned(), ..minion(name) }
}
