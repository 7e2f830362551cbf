//! Entries, agents, workers, minions and a store in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_agent as agent;
use sapphire_entry as entry;
use sapphire_entry::{answer, api};
use sapphire_store::call::{Call, Reply};
use sapphire_wire::{Header, Minion, Worker, envelope, id, peer};

use crate::{check, store, worker};

/// Step of virtual time.
pub const STEP: Duration = Duration::from_millis(10);
/// Time at which every world begins.
pub const BEGIN: Duration = Duration::from_secs(1_000_000);
/// How long a call to the store waits for its answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the store holds a watch.
const WATCH_HOLD: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(50);

/// Timing of all machines, as in the example settings.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a process is suspected.
pub const SILENCE: Duration = Duration::from_secs(2);
/// Lease of gangs and planners.
pub const LEASE: Duration = Duration::from_secs(3);
const HOLD: Duration = Duration::from_secs(3);

/// A process's place in the world.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Rack; empty for an entry.
    pub rack: String,
}

/// One process: its machine, while it lives.
pub struct Process<M> {
    /// Where it is.
    pub place: Place,
    /// The machine; none while the process is down.
    pub machine: Option<M>,
    /// Number of its start.
    pub generation: id::Generation,
    /// It does not run until then, but its messages are kept for it.
    pub paused_until: Duration,
    inbox: VecDeque<envelope::Envelope>,
    next_tick: Duration,
}

impl<M> Process<M> {
    fn new(place: Place) -> Self {
        Process {
            place,
            machine: None,
            generation: 0,
            paused_until: Duration::ZERO,
            inbox: VecDeque::new(),
            next_tick: Duration::ZERO,
        }
    }

    fn runs(&self, now: Duration) -> bool {
        self.machine.is_some() && now >= self.paused_until
    }
}

/// An agent's process with the worker and minion it guards.
pub struct Guarded {
    /// The agent.
    pub process: Process<agent::machine::Machine>,
    /// The worker.
    pub worker: worker::Worker,
    /// Requests that the minion answers later.
    pending: Vec<(Duration, agent::effect::Response)>,
    /// Events of the worker and minion that came while the agent was frozen.
    backlog: Vec<agent::event::Event>,
    /// How often each request was served, by its body.
    pub served: BTreeMap<String, u32>,
}

/// How the network treats messages.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Messages lost, in a thousand.
    pub lost: u32,
    /// Messages that arrive twice, in a thousand.
    pub doubled: u32,
    /// Longest extra delay; also reorders.
    pub jitter: Duration,
    /// Pairs of places that can't reach each other: names, racks, zones or regions.
    pub cuts: Vec<(String, String)>,
}

impl Network {
    fn cuts(&self, from: &Place, to: &Place) -> bool {
        let is_at = |place: &Place, name: &String| {
            [&place.name, &place.rack, &place.zone, &place.region].contains(&name)
        };
        self.cuts.iter().any(|(left, right)| {
            (is_at(from, left) && is_at(to, right)) || (is_at(from, right) && is_at(to, left))
        })
    }
}

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// It does not answer and does nothing.
    pub is_down: bool,
    /// Entries that can't reach it.
    pub cut_off: Vec<String>,
    /// Calls that take effect while their answer is lost, in a thousand.
    pub lost_answers: u32,
    /// Extra delay of each call.
    pub slow: Duration,
}

struct Flight {
    at: Duration,
    to: String,
    envelope: envelope::Envelope,
}

struct StoreFlight {
    at: Duration,
    entry: String,
    generation: id::Generation,
    operation: entry::event::Operation,
    stage: StoreStage,
}

enum StoreStage {
    Arrives(Call),
    Watches(Call, Duration),
    Answers(Reply),
}

/// The world.
pub struct World {
    /// Time.
    pub now: Duration,
    /// Random generator of faults and delays.
    pub rng: Pcg64,
    /// Entries by name.
    pub entries: BTreeMap<String, Process<entry::machine::Machine>>,
    /// Agents by name.
    pub agents: BTreeMap<String, Guarded>,
    /// Network.
    pub network: Network,
    /// Store.
    pub store: store::Store,
    /// Faults of the store.
    pub store_faults: StoreFaults,
    /// Answers that callers got.
    pub answers: BTreeMap<u64, (Duration, answer::Answer)>,
    /// What must always hold.
    pub check: check::Check,
    /// What happened, for golden files; empty unless recording.
    pub story: Vec<String>,
    /// Whether to write the story.
    pub is_recording: bool,
    /// Bytes sent between regions.
    pub far_bytes: u64,
    /// Bytes sent in all.
    pub bytes: u64,
    flights: Vec<Flight>,
    store_flights: Vec<StoreFlight>,
    callers: BTreeMap<u64, (String, id::Generation)>,
    next_caller: u64,
    zones: BTreeSet<String>,
}

impl World {
    /// An empty world.
    pub fn new(seed: u64) -> Self {
        World {
            now: BEGIN,
            rng: Pcg64::seed_from_u64(seed),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            network: Network::default(),
            store: store::Store::default(),
            store_faults: StoreFaults::default(),
            answers: BTreeMap::new(),
            check: check::Check::default(),
            story: Vec::new(),
            is_recording: false,
            far_bytes: 0,
            bytes: 0,
            flights: Vec::new(),
            store_flights: Vec::new(),
            callers: BTreeMap::new(),
            next_caller: 1,
            zones: BTreeSet::new(),
        }
    }

    /// Two entries and `racks` racks of three workers, in two zones of one region.
    pub fn region(seed: u64, racks: usize) -> Self {
        let mut world = World::new(seed);
        world.add_entry("e1", "norte", "norte-a");
        world.add_entry("e2", "norte", "norte-b");
        for rack in 0..racks {
            let zone = if rack % 2 == 0 { "norte-a" } else { "norte-b" };
            for index in 0..3 {
                let name = format!("a{}", rack * 3 + index + 1);
                world.add_agent(&name, "norte", zone, &format!("r{}", rack + 1));
            }
        }
        world
    }

    /// Three regions of one or two zones with an entry in each zone and a rack of three workers;
    /// the first region has two zones.
    pub fn three_regions(seed: u64) -> Self {
        let mut world = World::new(seed);
        let zones = [
            ("norte", "norte-a"),
            ("norte", "norte-b"),
            ("centro", "centro-a"),
            ("lisboa", "lisboa-a"),
        ];
        for (index, (region, zone)) in zones.iter().enumerate() {
            world.add_entry(&format!("e{}", index + 1), region, zone);
            for worker in 1..=3 {
                let name = format!("a{}", index * 3 + worker);
                world.add_agent(&name, region, zone, &format!("r{}", index + 1));
            }
        }
        world
    }

    /// Adds an entry and starts it.
    pub fn add_entry(&mut self, name: &str, region: &str, zone: &str) {
        let rack = String::new();
        let place = Place { name: name.into(), region: region.into(), zone: zone.into(), rack };
        self.zones.insert(zone.to_owned());
        self.entries.insert(name.to_owned(), Process::new(place));
        self.start_entry(name);
    }

    /// Adds an agent with a worker of 8 accelerators and a minion of 8 slots, and starts it.
    pub fn add_agent(&mut self, name: &str, region: &str, zone: &str, rack: &str) {
        let place = Place {
            name: name.into(),
            region: region.into(),
            zone: zone.into(),
            rack: rack.into(),
        };
        self.zones.insert(zone.to_owned());
        let guarded = Guarded {
            process: Process::new(place),
            worker: worker::Worker::default(),
            pending: Vec::new(),
            backlog: Vec::new(),
            served: BTreeMap::new(),
        };
        self.agents.insert(name.to_owned(), guarded);
        self.start_agent(name);
    }

    /// Adds a line to the story.
    pub fn tell(&mut self, line: &str) {
        if self.is_recording {
            let since = self.now.saturating_sub(BEGIN);
            self.story.push(format!("{:8.2}s {line}", since.as_secs_f64()));
        }
    }

    fn seeds(&self) -> Vec<id::Address> {
        self.entries.keys().cloned().collect()
    }

    /// Starts an entry, or starts it again with empty memory.
    pub fn start_entry(&mut self, name: &str) {
        let peers = self.seeds().into_iter().filter(|seed| seed != name).collect();
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        process.generation = generation(now, process.generation);
        let options = entry::options::Options {
            me: peer::new(name, name, process.generation),
            region: process.place.region.clone(),
            zone: process.place.zone.clone(),
            peers,
            heartbeat: HEARTBEAT,
            silence: SILENCE,
            lease: LEASE,
            hold: HOLD,
            request: Duration::from_secs(10),
            shutdown: Duration::from_secs(30),
            max_requests: 1_000,
            max_jobs: 2_000,
            seed: process.generation,
        };
        process.machine = Some(entry::machine::Machine::new(options));
        process.paused_until = Duration::ZERO;
        process.inbox.clear();
        self.tell(&format!("world: {name} starts"));
    }

    /// Starts an agent, or starts it again with empty memory; its worker goes on meanwhile.
    pub fn start_agent(&mut self, name: &str) {
        let entries = self.seeds();
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        let process = &mut guarded.process;
        process.generation = generation(now, process.generation);
        let number = name.trim_start_matches('a');
        let worker = Worker {
            name: format!("w{number}"),
            rack: process.place.rack.clone(),
            accelerators: 8,
            processors: 64,
            memory_bytes: 256 << 30,
        };
        let minion =
            Minion { name: format!("m{number}"), service: "review".into(), slots: 8, waiting: 8 };
        let options = agent::options::Options {
            me: peer::new(name, name, process.generation),
            region: process.place.region.clone(),
            zone: process.place.zone.clone(),
            worker: Some(worker),
            minion: Some(minion),
            entries,
            heartbeat: HEARTBEAT,
            silence: SILENCE,
            lease: LEASE,
            memory: Duration::from_secs(600),
        };
        let (machine, first) = agent::machine::Machine::new(now, options);
        process.machine = Some(machine);
        process.paused_until = Duration::ZERO;
        process.inbox.clear();
        guarded.pending.clear();
        guarded.backlog.clear();
        self.tell(&format!("world: {name} starts"));
        self.agent_effects(name, first);
    }

    /// Kills an entry's process.
    pub fn kill_entry(&mut self, name: &str) {
        if let Some(process) = self.entries.get_mut(name) {
            process.machine = None;
        }
        self.tell(&format!("world: {name} is killed"));
    }

    /// Kills an agent's process; the worker's tasks go on until their leases lapse.
    pub fn kill_agent(&mut self, name: &str) {
        if let Some(guarded) = self.agents.get_mut(name) {
            guarded.process.machine = None;
        }
        self.tell(&format!("world: {name} is killed"));
    }

    /// Kills a whole VM: the agent and all tasks of its worker.
    pub fn kill_vm(&mut self, name: &str) {
        let now = self.now;
        if let Some(guarded) = self.agents.get_mut(name) {
            guarded.process.machine = None;
            guarded.worker.stop_all(now);
        }
        self.tell(&format!("world: the VM of {name} is lost"));
    }

    /// Freezes a process for a while.
    pub fn pause(&mut self, name: &str, time: Duration) {
        let until = self.now + time;
        if let Some(process) = self.entries.get_mut(name) {
            process.paused_until = until;
        }
        if let Some(guarded) = self.agents.get_mut(name) {
            guarded.process.paused_until = until;
        }
        self.tell(&format!("world: {name} is frozen for {time:?}"));
    }

    /// Asks a process to shut down gracefully.
    pub fn drain(&mut self, name: &str) {
        self.tell(&format!("world: {name} is asked to shut down"));
        if self.entries.contains_key(name) {
            self.entry_event(name, entry::event::Event::Drain);
        } else {
            self.agent_event(name, agent::event::Event::Drain);
        }
    }

    /// Entry that plans a region, if one is known to.
    pub fn planner(&self, region: &str) -> Option<String> {
        let plans = |process: &&Process<entry::machine::Machine>| {
            process.place.region == region
                && process.machine.as_ref().is_some_and(|machine| machine.planner().is_some())
        };
        self.entries.values().find(plans).map(|process| process.place.name.clone())
    }

    /// Makes an HTTP call at an entry; the answer will be in [`World::answers`].
    pub fn http(&mut self, at: &str, request: api::Request) -> u64 {
        let caller = self.next_caller;
        self.next_caller += 1;
        let generation = self.entries.get(at).map_or(0, |process| process.generation);
        if self.entries.get(at).is_some_and(|process| process.runs(self.now)) {
            self.callers.insert(caller, (at.to_owned(), generation));
        }
        self.entry_event(at, entry::event::Event::Http(caller, request));
        caller
    }

    /// Calls a path without a body.
    pub fn call(&mut self, at: &str, method: &str, path: &str) -> u64 {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let request = api::Request {
            method: method.into(),
            path: path.into(),
            query: query.into(),
            ..api::Request::default()
        };
        self.http(at, request)
    }

    /// Submits a job given as JSON.
    pub fn submit(&mut self, at: &str, job: &serde_json::Value) -> u64 {
        let request = api::Request {
            method: "POST".into(),
            path: "/v1/jobs".into(),
            body: job.to_string().into(),
            ..api::Request::default()
        };
        self.check.submitted(job);
        self.http(at, request)
    }

    /// Sends a request to the service; the body names it.
    pub fn request(&mut self, at: &str, body: &str, idempotent: bool) -> u64 {
        let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
        let request = api::Request {
            method: "POST".into(),
            path: "/v1/services/review/check".into(),
            headers: vec![header(api::IDEMPOTENT, if idempotent { "true" } else { "false" })],
            body: body.to_owned().into(),
            ..api::Request::default()
        };
        let caller = self.http(at, request);
        self.check.requested(caller, body, idempotent);
        caller
    }

    /// Applies rules at an entry.
    pub fn apply(&mut self, at: &str, expected: u64, text: &str) -> u64 {
        let header = |name: &str, value: String| Header { name: name.into(), value };
        let request = api::Request {
            method: "PUT".into(),
            path: "/v1/rules".into(),
            query: "allow_short=true".into(),
            headers: vec![header("If-Match", expected.to_string())],
            body: text.to_owned().into(),
        };
        self.http(at, request)
    }

    /// Answer's status and JSON, once it has come.
    pub fn answer(&self, caller: u64) -> Option<(u16, serde_json::Value)> {
        let (_, answer) = self.answers.get(&caller)?;
        let value = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some((answer.status, value))
    }

    /// Runs until every worker has announced itself and one entry plans, then applies rules.
    pub fn settle(&mut self, rules: &str) {
        self.run(Duration::from_secs(5));
        let caller = self.apply("e1", 0, rules);
        self.run(Duration::from_secs(2));
        let answer = self.answer(caller);
        assert_eq!(answer.map(|(status, _)| status), Some(200), "the rules were not accepted");
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until a caller has its answer, at most for a while; returns whether it came.
    pub fn run_until_answer(&mut self, caller: u64, most: Duration) -> bool {
        let until = self.now + most;
        while self.now < until && !self.answers.contains_key(&caller) {
            self.now += STEP;
            self.step();
        }
        self.answers.contains_key(&caller)
    }

    fn step(&mut self) {
        self.deliver();
        self.step_store();
        self.step_workers();
        self.tick();
        let lease = LEASE;
        let now = self.now;
        self.check.step(now, lease, &self.agents, &self.entries);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.flights.extract_if(.., |flight| flight.at <= now);
        let mut due: Vec<Flight> = due.collect();
        due.sort_by_key(|flight| flight.at);
        for flight in due {
            self.arrive(flight);
        }
        let names: Vec<String> = self.entries.keys().chain(self.agents.keys()).cloned().collect();
        for name in names {
            self.read_inbox(&name);
        }
    }

    fn arrive(&mut self, flight: Flight) {
        if let Some(process) = self.entries.get_mut(&flight.to) {
            process.inbox.push_back(flight.envelope);
        } else if let Some(guarded) = self.agents.get_mut(&flight.to) {
            guarded.process.inbox.push_back(flight.envelope);
        }
    }

    /// Gives a running process the messages that wait for it. One that is down loses them.
    fn read_inbox(&mut self, name: &str) {
        let now = self.now;
        if self.wakes_first(name) {
            return;
        }
        if let Some(process) = self.entries.get_mut(name) {
            let messages = take_inbox(process, now);
            for envelope in messages {
                self.entry_event(name, entry::event::Event::Frame(Box::new(envelope)));
            }
        } else if let Some(guarded) = self.agents.get_mut(name) {
            let messages = take_inbox(&mut guarded.process, now);
            for envelope in messages {
                self.agent_event(name, agent::event::Event::Frame(Box::new(envelope)));
            }
        }
    }

    /// Whether a process that was frozen looks at its clock before it reads its messages: it
    /// may, and then knows nothing of what happened meanwhile.
    fn wakes_first(&mut self, name: &str) -> bool {
        let until = match (self.entries.get(name), self.agents.get(name)) {
            (Some(process), _) => process.paused_until,
            (_, Some(guarded)) => guarded.process.paused_until,
            _ => return false,
        };
        let has_just_woken =
            until > Duration::ZERO && self.now >= until && self.now <= until + STEP;
        has_just_woken && self.chance(500)
    }

    fn tick(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for name in names {
            let Some(process) = self.entries.get_mut(&name) else { continue };
            if now >= process.next_tick {
                process.next_tick = now + TICK;
                self.entry_event(&name, entry::event::Event::Tick);
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(guarded) = self.agents.get_mut(&name) else { continue };
            if now >= guarded.process.next_tick {
                guarded.process.next_tick = now + TICK;
                self.agent_event(&name, agent::event::Event::Tick);
            }
        }
    }

    fn step_workers(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(guarded) = self.agents.get_mut(&name) else { continue };
            let ends = guarded.worker.step(now);
            let due = guarded.pending.extract_if(.., |(at, _)| *at <= now);
            let due: Vec<_> = due.map(|(_, response)| response).collect();
            for end in &ends {
                self.tell(&format!("{name} worker: {} {}", end.attempt, end.reason));
            }
            let ends = ends.into_iter().map(agent::event::Event::TaskEnded);
            let answers = due.into_iter().map(agent::event::Event::MinionAnswered);
            self.agent_events(&name, ends.chain(answers).collect());
        }
    }

    fn entry_event(&mut self, name: &str, event: entry::event::Event) {
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        if !process.runs(now) {
            return;
        }
        let Some(machine) = &mut process.machine else { return };
        let effects = machine.handle(now, event);
        self.entry_effects(name, effects);
    }

    /// Gives an agent what its worker and minion say, now or when it runs again.
    fn agent_events(&mut self, name: &str, events: Vec<agent::event::Event>) {
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        guarded.backlog.extend(events);
        if guarded.process.runs(now) {
            for event in std::mem::take(&mut guarded.backlog) {
                self.agent_event(name, event);
            }
        }
    }

    fn agent_event(&mut self, name: &str, event: agent::event::Event) {
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        if !guarded.process.runs(now) {
            return;
        }
        let Some(machine) = &mut guarded.process.machine else { return };
        let effects = machine.handle(now, event);
        self.agent_effects(name, effects);
    }

    fn entry_effects(&mut self, name: &str, effects: Vec<entry::effect::Effect>) {
        use entry::effect::Effect;
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
                Effect::Store(operation, call) => self.send_store(name, operation, call),
                Effect::Answer(caller, answer) => self.answered(caller, answer),
                Effect::Log(line) => {
                    let is_chatter = line.text.contains("announced");
                    if !is_chatter {
                        self.tell(&format!("{name} {}: {}", line.part, line.text));
                    }
                }
                Effect::Exit => {
                    self.tell(&format!("{name} exits"));
                    if let Some(process) = self.entries.get_mut(name) {
                        process.machine = None;
                    }
                }
            }
        }
    }

    fn answered(&mut self, caller: u64, answer: answer::Answer) {
        self.tell(&format!("caller {caller}: {} {}", answer.status, in_short(&answer.body)));
        self.check.answered(caller, &answer, &self.agents);
        let before = self.answers.insert(caller, (self.now, answer));
        assert!(before.is_none(), "caller {caller} was answered twice");
    }

    fn agent_effects(&mut self, name: &str, effects: Vec<agent::effect::Effect>) {
        for effect in effects {
            self.agent_effect(name, effect);
        }
    }

    fn agent_effect(&mut self, name: &str, effect: agent::effect::Effect) {
        use agent::{effect::Effect, event::Event};
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        match effect {
            Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
            Effect::ResetWorker => {
                guarded.worker.stop_all(now);
                self.agent_event(name, Event::WorkerReset);
            }
            Effect::RunTasks(run) => {
                guarded.worker.run(now, &run);
                self.check.started(now, &run.attempt, name, run.tasks);
                self.tell(&format!("{name} worker: starts {}", run.attempt));
            }
            Effect::RenewTasks(attempt, lease) => {
                if !guarded.worker.renew(now, &attempt, lease) {
                    let reason = "the worker no longer runs it".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code: None, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::CheckpointTasks(attempt) => {
                if !guarded.worker.is_deaf {
                    self.agent_event(name, Event::Checkpointed(attempt));
                }
            }
            Effect::StopTasks(attempt) => {
                let has_exited =
                    guarded.worker.tasks.get(&attempt).is_some_and(|task| task.has_exited);
                if guarded.worker.stop(now, &attempt) {
                    let exit_code = has_exited.then_some(0);
                    let reason = "stopped".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::AskMinion(call) => self.ask_minion(name, &call),
            Effect::Log(text) => self.tell(&format!("{name} agent: {text}")),
            Effect::Exit => {
                self.tell(&format!("{name} exits"));
                if let Some(guarded) = self.agents.get_mut(name) {
                    guarded.process.machine = None;
                }
            }
        }
    }

    fn ask_minion(&mut self, name: &str, call: &agent::effect::Call) {
        let wait = Duration::from_millis(self.rng.random_range(5..300));
        let at = self.now + wait;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        *guarded.served.entry(body).or_default() += 1;
        let whole =
            agent::effect::Whole { status: 200, headers: Vec::new(), body: call.body.clone() };
        let response = agent::effect::Response { attempt: call.attempt.clone(), answer: Ok(whole) };
        guarded.pending.push((at, response));
    }

    fn place(&self, name: &str) -> Option<Place> {
        let entry = self.entries.get(name).map(|process| process.place.clone());
        entry.or_else(|| self.agents.get(name).map(|guarded| guarded.process.place.clone()))
    }

    /// Sends a message, with the network's delay and faults.
    fn send(&mut self, from: &str, to: &str, envelope: envelope::Envelope) {
        let (Some(source), Some(target)) = (self.place(from), self.place(to)) else { return };
        self.check.sent(&envelope);
        let is_far = source.region != target.region;
        let bytes = envelope.clone().encode().len() as u64;
        self.bytes += bytes;
        self.far_bytes += if is_far { bytes } else { 0 };
        if self.network.cuts(&source, &target) || self.chance(self.network.lost) {
            return;
        }
        let base = Duration::from_millis(if is_far { 20 } else { 1 });
        let copies = if self.chance(self.network.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = self.network.jitter.mul_f64(self.rng.random::<f64>());
            let at = self.now + base + jitter;
            let to = to.to_owned();
            self.flights.push(Flight { at, to, envelope: envelope.clone() });
        }
    }

    /// Whether something with so many chances in a thousand happens.
    pub fn chance(&mut self, in_a_thousand: u32) -> bool {
        in_a_thousand > 0 && self.rng.random_range(0..1_000) < in_a_thousand
    }

    fn send_store(&mut self, entry: &str, operation: entry::event::Operation, call: Call) {
        let generation = self.entries.get(entry).map_or(0, |process| process.generation);
        let at = self.now + Duration::from_millis(2) + self.store_faults.slow;
        let stage = StoreStage::Arrives(call);
        let entry = entry.to_owned();
        self.store_flights.push(StoreFlight { at, entry, generation, operation, stage });
    }

    fn step_store(&mut self) {
        let now = self.now;
        for flight in std::mem::take(&mut self.store_flights) {
            if flight.at > now {
                self.store_flights.push(flight);
            } else {
                self.store_flight(flight);
            }
        }
    }

    fn store_flight(&mut self, flight: StoreFlight) {
        let now = self.now;
        match flight.stage {
            StoreStage::Arrives(call) => {
                let until = now + WATCH_HOLD;
                let is_watch = matches!(call, Call::Watch { .. });
                if self.is_store_away(&flight.entry) {
                    self.store_fails(flight.entry, flight.generation, flight.operation);
                } else if is_watch {
                    let stage = StoreStage::Watches(call, until);
                    self.store_flights.push(StoreFlight { stage, ..flight });
                } else if let Some(reply) = self.store.call(now, &call) {
                    if self.chance(self.store_faults.lost_answers) {
                        self.store_fails(flight.entry, flight.generation, flight.operation);
                        return;
                    }
                    let at = now + Duration::from_millis(2);
                    let stage = StoreStage::Answers(reply);
                    self.store_flights.push(StoreFlight { at, stage, ..flight });
                }
            }
            StoreStage::Watches(call, until) => {
                if self.is_store_away(&flight.entry) || now >= until {
                    self.store_fails(flight.entry, flight.generation, flight.operation);
                    return;
                }
                let stage = match self.store.call(now, &call) {
                    Some(reply) => StoreStage::Answers(reply),
                    None => StoreStage::Watches(call, until),
                };
                self.store_flights.push(StoreFlight { stage, ..flight });
            }
            StoreStage::Answers(reply) => {
                let process = self.entries.get(&flight.entry);
                let is_same = process.is_some_and(|p| p.generation == flight.generation);
                let runs = process.is_some_and(|process| process.runs(now));
                if is_same && !runs && process.is_some_and(|p| p.machine.is_some()) {
                    let stage = StoreStage::Answers(reply);
                    self.store_flights.push(StoreFlight { stage, ..flight });
                } else if is_same {
                    let event = entry::event::Event::Store(flight.operation, reply);
                    self.entry_event(&flight.entry, event);
                }
            }
        }
    }

    fn is_store_away(&self, entry: &str) -> bool {
        self.store_faults.is_down || self.store_faults.cut_off.iter().any(|name| name == entry)
    }

    fn store_fails(
        &mut self,
        entry: String,
        generation: id::Generation,
        operation: entry::event::Operation,
    ) {
        let stage = StoreStage::Answers(Reply::Unavailable("no answer".into()));
        let at = self.now + STORE_TIMEOUT;
        self.store_flights.push(StoreFlight { at, entry, generation, operation, stage });
    }

    /// Callers whose entry is still the process that they called.
    pub fn waiting_callers(&self) -> Vec<u64> {
        let lives = |(name, generation): &(String, id::Generation)| {
            self.entries
                .get(name)
                .is_some_and(|p| p.generation == *generation && p.machine.is_some())
        };
        self.callers
            .iter()
            .filter(|(caller, at)| !self.answers.contains_key(caller) && lives(at))
            .map(|(caller, _)| *caller)
            .collect()
    }
}

fn generation(now: Duration, last: id::Generation) -> id::Generation {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX).max(last + 1)
}

/// An answer's body; of JSON only what tells the caller what became of its call.
fn in_short(body: &[u8]) -> String {
    let kept = ["account", "id", "state", "reason", "revision"];
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return String::from_utf8_lossy(body).trim().to_owned();
    };
    let kept = kept.iter().filter(|name| !value[**name].is_null() && value[**name] != "");
    kept.map(|name| format!("{name}={}", value[*name])).collect::<Vec<_>>().join(" ")
}

fn take_inbox<M>(process: &mut Process<M>, now: Duration) -> Vec<envelope::Envelope> {
    if process.machine.is_none() {
        process.inbox.clear();
    }
    if !process.runs(now) {
        return Vec::new();
    }
    process.inbox.drain(..).collect()
}

/// A recording world that fails prints what led to it.
impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.story.iter().for_each(|line| eprintln!("{line}"));
        }
    }
}
