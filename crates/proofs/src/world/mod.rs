//! Entries, agents, workers, minions and a store in virtual time.

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

    /// Adds a line to the story.
    pub fn tell(&mut self, line: &str) {
        if self.is_recording {
            let since = self.now.saturating_sub(BEGIN);
            self.story.push(format!("{:8.2}s {line}", since.as_secs_f64()));
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
