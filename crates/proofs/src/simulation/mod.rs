//! Simulates entries, agents, workers, minions and a store in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_agent as agent;
use sapphire_entry as entry;
use sapphire_entry::answer;
use sapphire_store::call::{Call, Reply};
use sapphire_wire::{envelope, id};

use crate::{check, store, worker};

mod callers;
mod processes;
mod steps;
mod store_calls;

/// Length of one step of virtual time.
pub const STEP: Duration = Duration::from_millis(10);
/// Virtual time at which every simulation begins.
pub const START: Duration = Duration::from_secs(1_000_000);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the store ends a watch without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(50);

/// Heartbeat interval of all processes, as in the example settings.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time without a message after which a process is suspected to be down.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Lease of gangs and of the planner.
pub const LEASE: Duration = Duration::from_secs(3);
const HOLD_TIMEOUT: Duration = Duration::from_secs(3);

/// Location of a process.
#[derive(Clone, Debug)]
pub struct Location {
    /// Name of the process, which is also its address.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Rack; empty for an entry.
    pub rack: String,
}

/// Process of an entry or agent.
pub struct Process<M> {
    /// Its location.
    pub location: Location,
    /// Its state machine; `None` while the process is down.
    pub machine: Option<M>,
    /// Generation: a number that grows with each start.
    pub generation: id::Generation,
    /// Time until which it is paused; its messages wait for it meanwhile.
    pub paused_until: Duration,
    inbox: VecDeque<envelope::Envelope>,
    next_tick: Duration,
}

impl<M> Process<M> {
    fn new(location: Location) -> Self {
        Process {
            location,
            machine: None,
            generation: 0,
            paused_until: Duration::ZERO,
            inbox: VecDeque::new(),
            next_tick: Duration::ZERO,
        }
    }

    fn is_running(&self, now: Duration) -> bool {
        self.machine.is_some() && now >= self.paused_until
    }
}

/// VM with an agent process, its worker and its minion.
pub struct Host {
    /// Agent process.
    pub process: Process<agent::machine::Machine>,
    /// Worker.
    pub worker: worker::Worker,
    /// Responses of the minion to requests in progress, with the time when each arrives.
    pending: Vec<(Duration, agent::effect::Response)>,
    /// Events of the worker and the minion that occurred while the agent was paused or down.
    backlog: Vec<agent::event::Event>,
    /// How often the minion served each request, by the request's body.
    pub served: BTreeMap<String, u32>,
}

/// Faults of the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Messages that are lost, per thousand.
    pub lost: u32,
    /// Messages that are duplicated, per thousand.
    pub duplicated: u32,
    /// Maximum extra delay, drawn for each copy of a message, which also reorders messages.
    pub jitter: Duration,
    /// Pairs of locations that can't reach each other: names of processes, racks, zones or regions.
    pub partitions: Vec<(String, String)>,
}

impl Network {
    fn separates(&self, from: &Location, to: &Location) -> bool {
        let is_at = |location: &Location, name: &String| {
            [&location.name, &location.rack, &location.zone, &location.region].contains(&name)
        };
        self.partitions.iter().any(|(left, right)| {
            (is_at(from, left) && is_at(to, right)) || (is_at(from, right) && is_at(to, left))
        })
    }
}

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Whether the store carries out no calls and sends no replies.
    pub is_down: bool,
    /// Entries that can't reach the store.
    pub cut_off: Vec<String>,
    /// Calls that take effect but whose reply is lost, per thousand.
    pub lost_answers: u32,
    /// Extra delay of each call.
    pub extra_delay: Duration,
}

struct InFlight {
    at: Duration,
    to: String,
    envelope: envelope::Envelope,
}

struct StoreCall {
    at: Duration,
    entry: String,
    generation: id::Generation,
    operation: entry::event::Operation,
    stage: StoreStage,
}

enum StoreStage {
    Arriving(Call),
    Watching(Call, Duration),
    Answering(Reply),
}

/// Simulation.
pub struct Simulation {
    /// Current virtual time.
    pub now: Duration,
    /// Random generator for faults and delays.
    pub rng: Pcg64,
    /// Entries by name.
    pub entries: BTreeMap<String, Process<entry::machine::Machine>>,
    /// Agents by name.
    pub agents: BTreeMap<String, Host>,
    /// Faults of the network.
    pub network: Network,
    /// Fake store.
    pub store: store::Store,
    /// Faults of the store.
    pub store_faults: StoreFaults,
    /// Answers to callers, with the time of each.
    pub answers: BTreeMap<u64, (Duration, answer::Answer)>,
    /// Observer that asserts the invariants.
    pub check: check::Check,
    /// Trace of what happened, for snapshots; empty unless `is_recording`.
    pub trace: Vec<String>,
    /// Whether to record the trace.
    pub is_recording: bool,
    /// Bytes sent between regions.
    pub cross_region_bytes: u64,
    /// Bytes sent in total.
    pub bytes: u64,
    in_transit: Vec<InFlight>,
    store_calls: Vec<StoreCall>,
    callers: BTreeMap<u64, (String, id::Generation)>,
    next_caller: u64,
    zones: BTreeSet<String>,
}

impl Simulation {
    /// Simulation without processes.
    pub fn new(seed: u64) -> Self {
        Simulation {
            now: START,
            rng: Pcg64::seed_from_u64(seed),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            network: Network::default(),
            store: store::Store::default(),
            store_faults: StoreFaults::default(),
            answers: BTreeMap::new(),
            check: check::Check::default(),
            trace: Vec::new(),
            is_recording: false,
            cross_region_bytes: 0,
            bytes: 0,
            in_transit: Vec::new(),
            store_calls: Vec::new(),
            callers: BTreeMap::new(),
            next_caller: 1,
            zones: BTreeSet::new(),
        }
    }

    /// One region with two zones, two entries, and `racks` racks of three workers.
    pub fn region(seed: u64, racks: usize) -> Self {
        let mut sim = Simulation::new(seed);
        sim.add_entry("e1", "norte", "norte-a");
        sim.add_entry("e2", "norte", "norte-b");
        for rack in 0..racks {
            let zone = if rack % 2 == 0 { "norte-a" } else { "norte-b" };
            for index in 0..3 {
                let name = format!("a{}", rack * 3 + index + 1);
                sim.add_agent(&name, "norte", zone, &format!("r{}", rack + 1));
            }
        }
        sim
    }

    /// Three regions, the first with two zones and the others with one; each zone has an entry and
    /// a rack of three workers.
    pub fn three_regions(seed: u64) -> Self {
        let mut sim = Simulation::new(seed);
        let zones = [
            ("norte", "norte-a"),
            ("norte", "norte-b"),
            ("centro", "centro-a"),
            ("lisboa", "lisboa-a"),
        ];
        for (index, (region, zone)) in zones.iter().enumerate() {
            sim.add_entry(&format!("e{}", index + 1), region, zone);
            for worker in 1..=3 {
                let name = format!("a{}", index * 3 + worker);
                sim.add_agent(&name, region, zone, &format!("r{}", index + 1));
            }
        }
        sim
    }

    /// Adds a line to the trace.
    pub fn record(&mut self, line: &str) {
        if self.is_recording {
            let since = self.now.saturating_sub(START);
            self.trace.push(format!("{:8.2}s {line}", since.as_secs_f64()));
        }
    }

    /// Entry that currently plans a region; with several planners, the first by name.
    pub fn planner(&self, region: &str) -> Option<String> {
        let plans = |process: &&Process<entry::machine::Machine>| {
            process.location.region == region
                && process.machine.as_ref().is_some_and(|machine| machine.planner().is_some())
        };
        self.entries.values().find(plans).map(|process| process.location.name.clone())
    }

    /// Runs until every worker has announced itself and an entry plans, then applies the rules.
    pub fn bootstrap(&mut self, rules: &str) {
        self.run(Duration::from_secs(5));
        let caller = self.apply("e1", 0, rules);
        self.run(Duration::from_secs(2));
        let answer = self.answer(caller);
        assert_eq!(answer.map(|(status, _)| status), Some(200), "the rules were not accepted");
    }

    /// Runs for a given time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until a caller has its answer, or until `timeout`; returns whether the answer has
    /// arrived.
    pub fn run_until_answer(&mut self, caller: u64, timeout: Duration) -> bool {
        let until = self.now + timeout;
        while self.now < until && !self.answers.contains_key(&caller) {
            self.now += STEP;
            self.step();
        }
        self.answers.contains_key(&caller)
    }

    fn location(&self, name: &str) -> Option<Location> {
        let entry = self.entries.get(name).map(|process| process.location.clone());
        entry.or_else(|| self.agents.get(name).map(|host| host.process.location.clone()))
    }

    /// Sends a message with the delay and the faults of the network.
    fn send(&mut self, from: &str, to: &str, envelope: envelope::Envelope) {
        let (Some(source), Some(target)) = (self.location(from), self.location(to)) else { return };
        self.check.record_message(&envelope);
        let is_cross_region = source.region != target.region;
        let bytes = envelope.clone().encode().len() as u64;
        self.bytes += bytes;
        self.cross_region_bytes += if is_cross_region { bytes } else { 0 };
        if self.network.separates(&source, &target) || self.chance(self.network.lost) {
            return;
        }
        let base = Duration::from_millis(if is_cross_region { 20 } else { 1 });
        let copies = if self.chance(self.network.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = self.network.jitter.mul_f64(self.rng.random::<f64>());
            let at = self.now + base + jitter;
            let to = to.to_owned();
            self.in_transit.push(InFlight { at, to, envelope: envelope.clone() });
        }
    }

    /// Draws whether an event happens whose probability is given per thousand.
    pub fn chance(&mut self, in_a_thousand: u32) -> bool {
        in_a_thousand > 0 && self.rng.random_range(0..1_000) < in_a_thousand
    }
}

fn generation(now: Duration, last: id::Generation) -> id::Generation {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX).max(last + 1)
}

/// Body of an answer for the trace; of a JSON body, only the fields that tell the outcome of the
/// call.
fn summary(body: &[u8]) -> String {
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
    if !process.is_running(now) {
        return Vec::new();
    }
    process.inbox.drain(..).collect()
}

/// Prints the trace when a test fails.
impl Drop for Simulation {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.trace.iter().for_each(|line| eprintln!("{line}"));
        }
    }
}
