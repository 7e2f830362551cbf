//! Planners, agents and a store whose processes can be lost at any time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Job, LateCall, Notice, Orders, Poll, Run, Running, Step,
    Unanswered, UnansweredStarts,
    inventory::{Page, Tenant},
    remote_clock::RemoteClock,
    resources::Resources,
    task::Task,
};
use sapphire_planner::{
    event::{Event, Operation},
    keys,
    options::Options,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, START, TERM, ended, fleet, job, minion, ms, no_starts, options};

/// Time for which a minion may carry out a start after it was sent.
const MAX_CALL_DELAY: u64 = 12_000;
/// Time after which an agent repeats a call that had no answer.
const CALL_TIMEOUT: u64 = 400;
/// Time after which a call to the store has failed.
const STORE_TIMEOUT: u64 = 1_000;
/// Time that a task takes unless it is set.
const RUN_TIME: u64 = 2_000;
/// Time for which an agent goes on sending starts without an answer of a planner.
const START_WINDOW: u64 = 2_000;
/// How much the clock of a minion is slow, in thousandths.
const DRIFT_MILLI: u64 = 20;
/// Longest lease of a minion, on its clock that is slow.
const LONGEST_LEASE: u64 = 10_200;
/// Time between two events.
const TICK: u64 = 10;

/// What becomes of a write of the handover record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// It is carried out and answered after this time.
    Answered(u64),
    /// It is carried out at once, and its answer is lost.
    Unanswered,
    /// It is not carried out, and the planner is told so.
    Refused,
    /// It never arrives.
    Lost,
}

/// A call on its way to the store, or its reply on the way back.
struct InFlight {
    due: u64,
    term: u64,
    operation: Operation,
    call: Call,
    outcome: Outcome,
}

/// A start that was sent to a minion.
pub(crate) struct Sent {
    pub(crate) run: Run,
    pub(crate) worker: String,
    /// Incarnation of the minion that it was sent to, and token of the session.
    born_ms: u64,
    token: u64,
    /// Time from which on it cannot be carried out; none while its agent may repeat it.
    expires_at: Option<u64>,
}

/// An agent with its minion.
#[derive(Default)]
pub(crate) struct Agent {
    is_up: bool,
    /// The minion does not answer starts.
    pub(crate) is_mute: bool,
    pub(crate) is_draining: bool,
    /// Runs with the time at which they have begun.
    running: Vec<(Run, u64)>,
    /// Time at which everything that runs has ended unless a planner prolongs its lease.
    lease_until: u64,
    /// No poll and no answer gets through.
    is_cut_off: bool,
    polled_at: u64,
    ended: Vec<Ended>,
    last_end: u64,
    born_ms: u64,
    /// The minion has replaced one of another name.
    is_replaced: bool,
    requester: Option<u64>,
    token: u64,
    /// A start that its minion has carried out although it was meant for an earlier incarnation.
    late_call: Option<LateCall>,
    /// Starts without an answer, with the time at which the agent got the order.
    pending: Vec<(Run, u64)>,
    /// Starts that the agent no longer waits for, with the time at which they were last sent.
    abandoned: Vec<(Run, u64)>,
}

/// All processes, and what the store has durably committed.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) items: BTreeMap<String, Item>,
    pub(crate) record_outcome: Outcome,
    /// What becomes of writes of progress.
    pub(crate) progress_outcome: Outcome,
    /// What becomes of writes of the list of workers.
    pub(crate) fleet_outcome: Outcome,
    /// Times that the tasks of jobs take.
    pub(crate) run_times: BTreeMap<String, u64>,
    /// Starts in the order in which agents got them, with their time and worker.
    pub(crate) starts: Vec<(u64, Run, String)>,
    /// Terms so far, each with the time at which it began, as seen by an entry that lives on.
    pub(crate) began: Vec<(u64, Duration)>,
    pub(crate) is_store_away: bool,
    /// Difference between the wall clock of the next planner and those before.
    pub(crate) skew: i64,
    /// Other entries, none of which reaches the store while it is away.
    pub(crate) entries: Vec<&'static str>,
    pub(crate) sent: Vec<Sent>,
    /// Starts that conflict with one that could still be carried out.
    pub(crate) conflicts: Vec<String>,
    /// Jobs of which a task is done.
    pub(crate) done: BTreeSet<String>,
    /// Orders, writes and losses, in order.
    pub(crate) history: Vec<String>,
    /// Whether a minion carries out starts that were sent to an earlier incarnation of it.
    calls_outlive_incarnations: bool,
    planner: Option<Fixture>,
    term: u64,
    revision: u64,
    calls: Vec<InFlight>,
    seen: usize,
    generations: BTreeMap<String, u64>,
    steps: BTreeMap<String, Vec<Step>>,
    /// Tasks whose end was acknowledged.
    noted: BTreeSet<Task>,
    away_since: Option<u64>,
    /// The platform's inventory; `None` if none is configured.
    pub(crate) inventory: Option<Inventory>,
}

/// The platform's inventory of VMs.
#[derive(Default)]
pub(crate) struct Inventory {
    /// Workers whose minions it lacks.
    pub(crate) lacks: BTreeSet<String>,
    /// Time from which on it answers reads.
    pub(crate) answers_from: u64,
}

impl Agent {
    /// Ends a run, if it is there.
    fn end(&mut self, run: &Run, ending: Ending) {
        let before = self.running.len();
        self.running.retain(|(other, _)| other != run);
        if self.running.len() < before {
            self.last_end += 1;
            self.ended.push(ended(self.last_end, run.clone(), ending));
        }
    }
}

impl World {
    /// Returns a world with a planner that serves idle workers of these names.
    pub(crate) fn new(names: &[&str]) -> Self {
        World::with_calls(names, true)
    }

    /// The same with minions of which no incarnation carries out starts for an earlier one.
    pub(crate) fn of_one_incarnation(names: &[&str]) -> Self {
        World::with_calls(names, false)
    }

    fn with_calls(names: &[&str], calls_outlive_incarnations: bool) -> Self {
        let mut world = World {
            now: START,
            agents: BTreeMap::new(),
            items: BTreeMap::new(),
            record_outcome: Outcome::Answered(10),
            progress_outcome: Outcome::Answered(TICK),
            fleet_outcome: Outcome::Answered(TICK),
            run_times: BTreeMap::new(),
            starts: Vec::new(),
            began: Vec::new(),
            is_store_away: false,
            skew: 0,
            entries: Vec::new(),
            sent: Vec::new(),
            conflicts: Vec::new(),
            done: BTreeSet::new(),
            history: Vec::new(),
            calls_outlive_incarnations,
            planner: None,
            term: TERM - 1,
            revision: TERM,
            calls: Vec::new(),
            seen: 0,
            generations: BTreeMap::new(),
            steps: BTreeMap::new(),
            noted: BTreeSet::new(),
            away_since: None,
            inventory: None,
        };
        for item in [fleet(1, names), no_starts(1)] {
            world.write(&item.key, item.value.unwrap_or_default().to_vec());
        }
        for name in names {
            world.agents.insert((*name).to_owned(), Agent { born_ms: 1, ..Agent::default() });
            world.start_agent(name);
        }
        world.take_over();
        world.run(1_000);
        world
    }

    /// Writes a record.
    pub(crate) fn write(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let (key, value) = (key.to_owned(), Some(Bytes::from(value)));
        let item = Item { key: key.clone(), value, revision: self.revision };
        self.items.insert(key, item);
    }

    /// Submits a job through an entry that has written it and notifies the planner.
    pub(crate) fn submit(&mut self, id: &str, step: &Step) {
        self.submit_steps(id, std::slice::from_ref(step));
    }

    /// Submits a job of several steps in the same way.
    pub(crate) fn submit_steps(&mut self, id: &str, steps: &[Step]) {
        let job = self.accept(id, steps);
        let notice = Notice { jobs: vec![job], ..Notice::default() };
        self.with_planner(|planner| planner.handle(Event::Notice(notice)));
    }

    /// Writes a job through an entry that does not reach the planner.
    pub(crate) fn accept(&mut self, id: &str, steps: &[Step]) -> Job {
        let job = Job { steps: steps.to_vec(), ..job(id, self.term, Step::default()) };
        self.steps.insert(id.to_owned(), steps.to_vec());
        self.write(&keys::job(id), job.encode_to_vec());
        job
    }

    /// Sets the remaining time of the planner's lease on the leader key.
    pub(crate) fn expire_lease(&mut self, time: u64) {
        let expires_at = ms(self.now + time);
        self.with_planner(|planner| planner.planner.set_lease_expiry(expires_at));
    }

    pub(crate) fn lose_planner(&mut self) {
        self.note("the planner is lost");
        self.planner = None;
        self.agents.values_mut().for_each(|agent| agent.requester = None);
    }

    /// Begins the next term with what the store contains now.
    pub(crate) fn take_over(&mut self) {
        self.term += 1;
        self.seen = 0;
        let recorded = self.items.get(keys::UNANSWERED).map(|item| item.revision);
        self.note(&format!("term {} begins, record={recorded:?}", self.term));
        let calls_outlive_incarnations = self.calls_outlive_incarnations;
        let has_inventory = self.inventory.is_some();
        let options = Options { calls_outlive_incarnations, has_inventory, ..options() };
        let mut planner = Fixture::term_with(options, self.term, self.now, self.skew);
        planner.generations.clone_from(&self.generations);
        planner.planner.expect_terms(self.began.iter().copied());
        if !self.calls_outlive_incarnations {
            // All planners have the same steady clock, and each entry hears of it.
            let clock = |(term, at): &(u64, Duration)| (*term, RemoteClock::new(*at, *at));
            planner.planner.expect_clocks(self.began.iter().map(clock));
        }
        self.began.push((self.term, ms(self.now)));
        self.planner = Some(planner);
    }

    /// Has the planner that has just taken over read a changed store instead.
    pub(crate) fn restart_term(&mut self, change: impl FnOnce(&mut World)) {
        self.lose_planner();
        change(self);
        self.take_over();
    }

    /// Loses an agent. It may have sent its outstanding starts until now.
    pub(crate) fn lose_agent(&mut self, name: &str) {
        let until = self.now + MAX_CALL_DELAY;
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.is_up = false;
        agent.pending.clear();
        agent.abandoned.clear();
        for sent in self.sent.iter_mut().filter(|sent| sent.worker == name) {
            sent.expires_at.get_or_insert(until);
        }
        let requester = agent.requester.take();
        self.note(&format!("agent {name} is lost"));
        if let Some(requester) = requester {
            self.with_planner(|planner| planner.handle(Event::Disconnected(requester)));
        }
    }

    /// Cuts an agent off, which may send its outstanding starts for a while.
    pub(crate) fn cut_off(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.is_cut_off = true;
        agent.requester = None;
        let until = agent.polled_at + START_WINDOW + MAX_CALL_DELAY;
        for sent in self.sent.iter_mut().filter(|sent| sent.worker == name) {
            sent.expires_at.get_or_insert(until);
        }
        self.note(&format!("{name} is cut off"));
    }

    /// Lets an earlier planner that only this agent hears of prolong the lease of a worker.
    pub(crate) fn prolong_lease(&mut self, name: &str, until: u64) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.lease_until = agent.lease_until.max(until);
    }

    /// Lets an agent reach the planner again.
    pub(crate) fn reconnect(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.is_cut_off = false;
        if !self.calls_outlive_incarnations {
            // Without an answer of a planner it has sent no starts.
            let until = self.now.min(agent.polled_at + START_WINDOW);
            self.abandon(name, until);
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        // It goes on sending the starts that it still has.
        for (run, _) in &agent.pending {
            let is_this = |sent: &&mut Sent| sent.worker == name && sent.run == *run;
            self.sent.iter_mut().filter(is_this).for_each(|sent| sent.expires_at = None);
        }
        self.note(&format!("{name} is connected again"));
    }

    /// Loses a worker with all that runs there.
    pub(crate) fn lose_worker(&mut self, name: &str) {
        self.lose_agent(name);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.running.clear();
        }
    }

    /// Ends the runs of a job on a worker.
    pub(crate) fn end_runs(&mut self, name: &str, id: &str, ending: Ending) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let runs = agent.running.iter().map(|(run, _)| run.clone());
        let runs: Vec<Run> = runs.filter(|run| run.job == id).collect();
        runs.iter().for_each(|run| agent.end(run, ending));
        self.note(&format!("runs of {id} on {name} end {ending:?}"));
    }

    /// Returns the time at which the planner takes the lease of a worker for over.
    pub(crate) fn planned_lease_end(&self, name: &str) -> u64 {
        let planner = self.planner.as_ref().expect("there is a planner");
        let worker = &planner.planner.workers()[name];
        u64::try_from(worker.lease_expires_at.as_millis()).expect("a time in ms")
    }

    /// Returns whether the present planner has logged a line with this text.
    pub(crate) fn has_logged(&self, text: &str) -> bool {
        let planner = self.planner.as_ref();
        planner.is_some_and(|planner| planner.log.iter().any(|line| line.contains(text)))
    }

    /// Returns the time of the latest poll of a worker.
    pub(crate) fn heard_at(&self, name: &str) -> u64 {
        self.agents[name].polled_at
    }

    /// Returns the tasks that run on a worker.
    pub(crate) fn tasks_on(&self, name: &str) -> BTreeSet<Task> {
        self.agents[name].running.iter().map(|(run, _)| Task::read(run)).collect()
    }

    /// Returns the time at which everything that runs on a worker has ended unless a planner prolongs
    /// its lease.
    pub(crate) fn lease_until(&self, name: &str) -> u64 {
        self.agents[name].lease_until
    }

    /// Starts the next process of an agent.
    pub(crate) fn start_agent(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.is_up = true;
        agent.token = 0;
        self.generations.insert(name.to_owned(), self.now * 1_000);
        let generations = self.generations.clone();
        self.with_planner(|planner| {
            planner.generations = generations;
            planner.tokens.remove(name);
        });
        self.note(&format!("agent {name} starts"));
    }

    /// Starts the next incarnation of a minion.
    pub(crate) fn restart_minion(&mut self, name: &str) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.born_ms += 1;
        agent.running.clear();
        agent.ended.clear();
        self.abandon(name, now);
        self.note(&format!("minion {name} starts again"));
    }

    /// Replaces a minion by one of another name.
    pub(crate) fn replace_minion(&mut self, name: &str) {
        self.restart_minion(name);
        let agent = self.agents.get_mut(name).expect("it is known");
        agent.is_replaced = true;
        agent.abandoned.clear();
    }

    /// Returns the number of unanswered starts that count.
    pub(crate) fn open_starts(&self) -> usize {
        self.planner.as_ref().map_or(0, |planner| planner.planner.unanswered_starts().count())
    }

    /// Returns the jobs with starts in the latest handover record.
    pub(crate) fn recorded_jobs(&self) -> BTreeSet<String> {
        let records = self.items.iter().filter(|(key, _)| key.starts_with(keys::UNANSWERED));
        let records = records.filter_map(|(_, item)| item.value.clone());
        let records = records.filter_map(|value| UnansweredStarts::decode(value).ok());
        let latest = records.max_by_key(|record| (record.term, record.write));
        let workers = latest.unwrap_or_default().workers.into_iter();
        workers.flat_map(|on| on.tasks).map(|task| task.job).collect()
    }

    /// Has the next incarnation of a minion carry out a start that was sent to the one before.
    pub(crate) fn begin_late(&mut self, name: &str, id: &str) {
        self.restart_minion(name);
        self.begin_another_late(name, id);
    }

    /// Has the present incarnation of a minion carry out a start late that was sent to the one before.
    pub(crate) fn begin_another_late(&mut self, name: &str, id: &str) {
        let now = self.now;
        let is_open = |sent: &&Sent| sent.expires_at.is_some_and(|at| now < at);
        let found = self.sent.iter().filter(is_open);
        let found = { found }.find(|sent| sent.worker == name && sent.run.job == id);
        let run = found.map(|sent| sent.run.clone()).expect("it was sent");
        let agent = self.agents.get_mut(name).expect("it is known");
        agent.running.push((run, now));
        agent.lease_until = now + LONGEST_LEASE;
        self.note(&format!("{id} begins late on {name}"));
    }

    /// Has the next incarnation of a minion carry out late what was sent to the one before, if there is
    /// such a start and no agent. Where no incarnation does so, the present one carries it out.
    pub(crate) fn begin_open(&mut self, name: &str) {
        let is_open =
            |sent: &&Sent| sent.worker == name && sent.expires_at.is_some() && self.is_open(sent);
        let found = self.sent.iter().find(is_open).map(|sent| sent.run.clone());
        let Some(run) = found.filter(|_| !self.agents[name].is_up) else { return };
        if self.calls_outlive_incarnations {
            self.begin_late(name, &run.job);
            return;
        }
        let now = self.now;
        self.note(&format!("{} begins late on {name}", run.job));
        let agent = self.agents.get_mut(name).expect("looked up above");
        if agent.running.iter().all(|(other, _)| *other != run) {
            agent.running.push((run, now));
        }
    }

    /// Has a minion carry out calls for an earlier incarnation from now on, which its agent has found.
    pub(crate) fn find_late_call(&mut self, name: &str) {
        self.calls_outlive_incarnations = true;
        let agent = self.agents.get_mut(name).expect("it is known");
        agent.late_call = Some(LateCall { minion: minion(name).id, ..LateCall::default() });
    }

    /// Lets a minion answer the latest attempts of its starts. Earlier attempts have no answer.
    pub(crate) fn answer(&mut self, name: &str) {
        let now = self.now;
        let attempts = self.agents[name].pending.clone();
        self.abandon(name, now - CALL_TIMEOUT);
        let agent = self.agents.get_mut(name).expect("looked up above");
        agent.is_mute = false;
        agent.running.extend(attempts.into_iter().map(|(run, _)| (run, now)));
        self.note(&format!("minion {name} answers"));
    }

    /// Returns the number of starts of a job that were sent.
    pub(crate) fn orders_of(&self, id: &str) -> usize {
        let prefix = format!("start {id}/");
        self.history.iter().filter(|line| line.contains(&prefix)).count()
    }

    pub(crate) fn run_until_sent(&mut self, id: &str, limit: u64) {
        let until = self.now + limit;
        while self.now < until && self.orders_of(id) == 0 {
            self.tick();
        }
    }

    pub(crate) fn run(&mut self, time: u64) {
        for _ in 0..time / TICK {
            self.tick();
        }
    }

    fn note(&mut self, text: &str) {
        self.history.push(format!("{:>6} {text}", self.now - START));
    }

    fn with_planner(&mut self, act: impl FnOnce(&mut Fixture)) {
        if let Some(planner) = &mut self.planner {
            planner.now = self.now;
            act(planner);
        }
        self.collect();
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.away_since = self.is_store_away.then(|| self.away_since.unwrap_or(self.now));
        self.deliver();
        self.answer_inventory();
        self.with_planner(|planner| planner.handle(Event::Tick));
        let time_of = |run: &Run| *self.run_times.get(&run.job).unwrap_or(&RUN_TIME);
        for agent in self.agents.values_mut() {
            let is_over = |(run, began): &&(Run, u64)| self.now >= began + time_of(run);
            let over: Vec<Run> =
                agent.running.iter().filter(is_over).map(|(run, _)| run.clone()).collect();
            for run in over {
                agent.end(&run, Ending::Done);
                self.done.insert(run.job);
            }
            if self.now >= agent.lease_until {
                let lapsed: Vec<Run> = agent.running.iter().map(|(run, _)| run.clone()).collect();
                lapsed.iter().for_each(|run| agent.end(run, Ending::Lapsed));
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.poll(&name);
        }
        if self.now.is_multiple_of(200) {
            let store_age = self.away_since.map_or(0, |since| self.now - since + 200);
            for entry in self.entries.clone() {
                self.with_planner(|planner| planner.feed(entry, store_age));
            }
        }
    }

    /// Sends an agent's poll unless one is waiting for its answer.
    fn poll(&mut self, name: &str) {
        let now = self.now;
        let Some(agent) = self.agents.get(name) else { return };
        let is_waiting = agent.requester.is_some();
        if !agent.is_up || agent.is_cut_off || is_waiting || self.planner.is_none() {
            return;
        }
        let born_of = |run: &Run| {
            let sent = self.sent.iter().rev();
            let mut sent = sent.filter(|sent| sent.worker == name && sent.run == *run);
            sent.next().map_or(0, |sent| sent.born_ms)
        };
        let row = |run: &Run, age_ms| {
            let born_ms = born_of(run);
            Unanswered { run: Some(run.clone()), age_ms, born_ms }
        };
        let timed_out = agent.pending.iter().filter(|(_, at)| now - at >= CALL_TIMEOUT);
        let timed_out =
            timed_out.map(|(run, at)| row(run, CALL_TIMEOUT + (now - at) % CALL_TIMEOUT));
        let abandoned = agent.abandoned.iter().filter(|(_, at)| now - at < MAX_CALL_DELAY);
        let abandoned = abandoned.map(|(run, at)| row(run, now - at));
        let running = |(run, began): &(Run, u64)| {
            let run_time = *self.run_times.get(&run.job).unwrap_or(&RUN_TIME);
            let percent = u32::try_from((now - began) * 99 / run_time).unwrap_or(99).min(99);
            Running { run: Some(run.clone()), percent, ..Running::default() }
        };
        let report = Poll {
            incarnation: Some(Incarnation {
                is_draining: agent.is_draining,
                born_ms: agent.born_ms,
                id: if agent.is_replaced { format!("{name}-next") } else { minion(name).id },
                ..minion(name)
            }),
            running: agent.running.iter().map(running).collect(),
            ended: agent.ended.clone(),
            pending: agent.pending.iter().map(|(run, _)| run.clone()).collect(),
            unanswered: timed_out.chain(abandoned).collect(),
            late_call: agent.late_call.clone(),
            ..Poll::default()
        };
        if let Some(planner) = &mut self.planner {
            planner.now = now;
            planner.report(name, report);
            let agent = self.agents.get_mut(name).expect("looked up above");
            agent.requester = Some(planner.requester);
            agent.polled_at = now;
        }
        self.collect();
    }

    /// Hands out what the planner has asked for.
    fn collect(&mut self) {
        let Some(planner) = &mut self.planner else { return };
        let orders: Vec<(u64, Orders)> = planner.orders[self.seen..].to_vec();
        self.seen = planner.orders.len();
        let calls = std::mem::take(&mut planner.calls);
        for (operation, call) in calls {
            self.send(operation, call);
        }
        for (requester, orders) in orders {
            let mut agents = self.agents.iter();
            let found = agents.find(|(_, agent)| agent.requester == Some(requester));
            if let Some(name) = found.map(|(name, _)| name.clone()) {
                self.receive(&name, orders);
            }
        }
    }

    /// Handles the answer to an agent's poll.
    fn receive(&mut self, name: &str, orders: Orders) {
        let now = self.now;
        if let Some(planner) = &mut self.planner {
            planner.tokens.insert(name.to_owned(), orders.token);
        }
        let agent = self.agents.get_mut(name).expect("it has polled");
        agent.requester = None;
        let is_new_session = agent.token != orders.token;
        agent.token = orders.token;
        let is_noted = |it: &&Ended| it.number <= orders.noted && it.ending() == Ending::Done;
        let noted = agent.ended.iter().filter(is_noted).filter_map(|it| it.run.as_ref());
        self.noted.extend(noted.map(Task::read));
        agent.ended.retain(|it| it.number > orders.noted);
        let lease = orders.lease_ms + orders.lease_ms * DRIFT_MILLI / 1_000;
        agent.lease_until = agent.lease_until.max(agent.polled_at + lease);
        if is_new_session {
            self.abandon(name, now);
        }
        for run in orders.starts.iter().filter_map(|start| start.run.clone()) {
            self.receive_start(name, run);
        }
        let agent = self.agents.get_mut(name).expect("it has polled");
        for run in orders.stops {
            agent.end(&run, Ending::Stopped);
        }
    }

    fn receive_start(&mut self, name: &str, run: Run) {
        let agent = &self.agents[name];
        let is_this = |(other, _): &(Run, u64)| *other == run;
        if agent.running.iter().any(is_this) || agent.pending.iter().any(is_this) {
            return;
        }
        self.note(&format!("start {}#{} on {name}", Task::read(&run), run.run));
        self.starts.push((self.now, run.clone(), name.to_owned()));
        self.check(name, &run);
        let now = self.now;
        let agent = self.agents.get_mut(name).expect("looked up above");
        if agent.is_mute {
            agent.pending.push((run.clone(), now));
            let (born_ms, token) = (agent.born_ms, agent.token);
            self.sent.push(Sent { run, worker: name.to_owned(), born_ms, token, expires_at: None });
        } else {
            agent.running.push((run, now));
        }
    }

    /// Notes a conflict of a start with those that may still be carried out: all of them must be a
    /// valid placement.
    fn check(&mut self, name: &str, run: &Run) {
        let (task, number) = (Task::read(run), run.run);
        let open: Vec<&Sent> = self.sent.iter().filter(|sent| self.is_open(sent)).collect();
        let mut found = Vec::new();
        for sent in &open {
            let is_same = sent.worker == name && sent.run.run == run.run;
            if Task::read(&sent.run) == task && !is_same {
                let other = sent.run.run;
                found.push(format!("{task}#{other} on {} may start as well", sent.worker));
            }
        }
        let here = open.iter().filter(|sent| sent.worker == name).map(|sent| Task::read(&sent.run));
        let here: BTreeSet<Task> = here.chain([task.clone()]).collect();
        // A long-running task starts again however it ends.
        let is_final = !self.steps[&task.job][task.step as usize].is_long_running;
        for (other, agent) in &self.agents {
            let is_same = |run: &Run| *other == name && run.run == number;
            let is_this = |run: &Run| Task::read(run) == task && !is_same(run);
            if agent.running.iter().any(|(run, _)| is_this(run)) {
                found.push(format!("{task} still runs on {other}"));
            }
            let is_done =
                |it: &Ended| it.ending() == Ending::Done && it.run.as_ref().is_some_and(is_this);
            if is_final && self.now < agent.lease_until && agent.ended.iter().any(is_done) {
                found.push(format!("{task} is done on {other}"));
            }
        }
        if is_final && self.noted.contains(&task) {
            found.push(format!("{task} is done"));
        }
        let step_of = |task: &Task| self.steps[&task.job][task.step as usize].clone();
        let needed = here.iter().fold(Resources::default(), |sum, task| {
            sum.plus(Resources::read(step_of(task).room.as_ref()))
        });
        if Resources::read(minion(name).capacity.as_ref()).count_fitting(needed) == 0 {
            found.push(format!("starts on {name} exceed its capacity: {here:?}"));
        }
        let limit = step_of(&task).per_worker;
        let is_sibling = |it: &&Task| it.job == task.job && it.step == task.step;
        if limit > 0 && here.iter().filter(is_sibling).count() > limit as usize {
            found.push(format!("starts on {name} exceed the limit of the step: {here:?}"));
        }
        let at = self.now - START;
        let prefix = format!("{at} {task}#{} on {name}", run.run);
        self.conflicts.extend(found.into_iter().map(|text| format!("{prefix}: {text}")));
    }

    /// Returns whether a start may be carried out: by the incarnation that it was sent to until that has
    /// seen a later token or its leases are over, or by any one.
    fn is_open(&self, sent: &Sent) -> bool {
        let agent = &self.agents[&sent.worker];
        let is_valid = agent.born_ms == sent.born_ms
            && agent.token <= sent.token
            && self.now < agent.lease_until;
        let may_be_taken = self.calls_outlive_incarnations || is_valid;
        may_be_taken && sent.expires_at.is_none_or(|at| self.now < at)
    }

    /// Lets an agent drop its outstanding starts, as at the beginning of a session.
    fn abandon(&mut self, name: &str, now: u64) {
        let agent = self.agents.get_mut(name).expect("the caller knows it");
        for (run, at) in std::mem::take(&mut agent.pending) {
            let sent_at = now - now.saturating_sub(at) % CALL_TIMEOUT;
            let is_this = |sent: &&mut Sent| sent.worker == name && sent.run == run;
            // The same run may have been ordered again.
            for sent in self.sent.iter_mut().filter(is_this) {
                sent.expires_at = Some(sent_at + MAX_CALL_DELAY);
            }
            agent.abandoned.push((run, sent_at));
        }
    }

    /// Takes a call of the planner.
    fn send(&mut self, operation: Operation, call: Call) {
        let outcome = match operation {
            _ if self.is_store_away => Outcome::Lost,
            Operation::Unanswered(_) => self.record_outcome,
            Operation::Progress(_) => self.progress_outcome,
            Operation::Fleet => self.fleet_outcome,
            _ => Outcome::Answered(TICK),
        };
        if matches!(operation, Operation::Unanswered(_)) {
            self.note(&format!("the record is sent: {outcome:?}"));
        }
        if matches!(operation, Operation::Fleet) {
            self.note(&format!("the list of workers is sent: {outcome:?}"));
        }
        let delay = match outcome {
            Outcome::Answered(delay) => delay,
            Outcome::Refused => TICK,
            Outcome::Unanswered | Outcome::Lost => STORE_TIMEOUT,
        };
        if outcome == Outcome::Unanswered {
            self.apply(&operation, &call, self.term);
        }
        let (due, term) = (self.now + delay, self.term);
        self.calls.push(InFlight { due, term, operation, call, outcome });
    }

    /// Carries out the calls that are due, and delivers their replies.
    fn deliver(&mut self) {
        let (due, later): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.calls).into_iter().partition(|it| it.due <= self.now);
        self.calls = later;
        for InFlight { term, operation, call, outcome, .. } in due {
            let reply = match outcome {
                Outcome::Answered(_) => self.apply(&operation, &call, term),
                Outcome::Refused => Reply::NotDone("refused".to_owned()),
                Outcome::Unanswered | Outcome::Lost => Reply::Unavailable("timeout".to_owned()),
            };
            if term == self.term {
                self.with_planner(|planner| planner.handle(Event::Store(operation, reply)));
            }
        }
    }

    /// Answers a read of the inventory.
    fn answer_inventory(&mut self) {
        let Some(inventory) = &self.inventory else { return };
        if self.now < inventory.answers_from {
            return;
        }
        let mut page = Page::default();
        for name in self.agents.keys().filter(|name| !inventory.lacks.contains(*name)) {
            page.add(format!("vm-{name}"), Tenant::Minion(minion(name).id));
        }
        self.with_planner(|planner| {
            if std::mem::take(&mut planner.inventory_reads) > 0 {
                planner.handle(Event::Inventory(Some(page)));
            }
        });
    }

    /// Carries out a call of the planner of a term.
    fn apply(&mut self, operation: &Operation, call: &Call, term: u64) -> Reply {
        match call {
            Call::Scan { prefix, after, .. } => {
                let is_listed = |key: &String| key.starts_with(prefix.as_str()) && key > after;
                let items = self.items.iter().filter(|(key, _)| is_listed(key));
                let items = items.map(|(_, item)| item.clone()).collect();
                Reply::Items { items, has_more: false, revision: self.revision }
            }
            Call::WatchPrefix { prefix, after, .. } => {
                let is_new = |it: &&Item| it.key.starts_with(prefix) && it.revision > *after;
                let items = self.items.values().filter(is_new).cloned().collect();
                Reply::Changes { items, revision: self.revision }
            }
            Call::Commit { conditions, puts, removes } => {
                let revision_of = |key: &String| match key.as_str() {
                    keys::LEAD => self.term,
                    _ => self.items.get(key).map_or(0, |item| item.revision),
                };
                if conditions.iter().any(|it| revision_of(&it.key) != it.revision) {
                    let item = |key: &String| Item {
                        key: key.clone(),
                        value: self.items.get(key).and_then(|item| item.value.clone()),
                        revision: revision_of(key),
                    };
                    return Reply::Refused(conditions.iter().map(|it| item(&it.key)).collect());
                }
                self.revision += 1;
                for put in puts {
                    let (key, value) = (put.key.clone(), Some(put.value.clone()));
                    let item = Item { key: key.clone(), value, revision: self.revision };
                    self.items.insert(key, item);
                }
                for key in removes {
                    self.items.remove(key);
                }
                if matches!(operation, Operation::Unanswered(_)) {
                    self.note(&format!("the record of term {term} is durable"));
                }
                Reply::Committed(self.revision)
            }
            _ => Reply::Unavailable("not simulated".to_owned()),
        }
    }
}
