//! The machines, the store and the minions in virtual time.

mod agents;
mod callers;
mod entries;
mod faults;
mod minions;
mod settings;
mod store_calls;

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_front as front;
use sapphire_jobs::{
    Incarnation,
    task::{RunNumber, Task},
};
use sapphire_plan::policy::Policy;
use sapphire_planner::{self as planner, event::Moment, planner::Planner};
use sapphire_runner as runner;
use sapphire_store::call::Call;

use super::{
    load::{Arrival, Site},
    minion::{Minion, Truth},
};
use crate::store;

/// One way between regions, inside one, and to the minion on the same machine.
const FAR: Duration = Duration::from_millis(20);
const NEAR: Duration = Duration::from_micros(900);
const LOCAL: Duration = Duration::from_micros(100);
/// Time of the store for an answer.
const STORE: Duration = Duration::from_millis(4);
/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Longest lease of a minion, which is what the planner grants.
const HOLD: Duration = Duration::from_secs(6);
/// Step of the world, in which tasks make progress.
const STEP: Duration = Duration::from_millis(5);
const ENTRY_TICK: Duration = Duration::from_millis(50);
const AGENT_TICK: Duration = Duration::from_millis(60);
const BEAT: Duration = Duration::from_millis(1_500);
/// Key of the configuration.
const CONFIG: &str = "config";
/// Unix time at the start of the world.
const EPOCH: Duration = Duration::from_secs(1_790_000_000);

struct EntryNode {
    front: front::machine::Machine,
    planner: Option<Planner>,
    region: usize,
    life: u64,
    is_up: bool,
    reaches_store: bool,
    frozen_until: Duration,
}

struct AgentNode {
    machine: runner::machine::Machine,
    region: usize,
    life: u64,
    is_up: bool,
    /// Cut off from all but its minion.
    is_cut: bool,
    frozen_until: Duration,
}

#[derive(Debug)]
enum Action {
    EntryTick(usize, u64),
    AgentTick(usize, u64),
    Beat(usize),
    Step,
    Front(usize, u64, front::event::Event),
    Store { entry: usize, life: u64, origin: Origin, call: Call, sent: Duration },
    Planner(usize, u64, planner::event::Event),
    Poll { entry: usize, agent: usize, life: u64, ticket: u64, poll: Box<sapphire_jobs::Poll> },
    Feed { entry: usize, asker: usize, life: u64, poll: sapphire_jobs::FeedPoll, sent: Duration },
    Runner(usize, u64, runner::event::Event),
    Minion(Box<Request>),
    AskLead { entry: usize, asker: Asker, life: u64 },
    Submit(usize),
    Cancel(usize),
    Look(usize),
    StartEntry(usize),
    StartAgent(usize),
    Leave(usize, String),
    StartMinion(usize),
}

/// A call of an agent to its minion.
#[derive(Clone, Debug)]
struct Request {
    agent: usize,
    /// Life of the agent that takes the answer; none for a call that was carried out late.
    life: Option<u64>,
    ticket: u64,
    call: runner::minion::Call,
    /// Identifier of the minion's life that is meant; empty for any.
    target: String,
    /// Start of the minion's life when it was sent.
    born_ms: u64,
    sent: Duration,
    /// When the agent gives up waiting.
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Asker {
    Entry(usize),
    Agent(usize),
}

#[derive(Clone, Debug)]
enum Origin {
    Front(front::event::Operation),
    Planner(u64, planner::event::Operation),
}

#[derive(Clone, Copy, Debug)]
enum Waiting {
    Agent { agent: usize, life: u64, ticket: u64 },
    Entry { entry: usize, life: u64, sent: Duration },
}

/// A run that has ended `done`.
#[derive(Clone, Debug)]
struct Done {
    agent: usize,
    /// Start of its minion's life.
    born_ms: u64,
    number: RunNumber,
    at: Duration,
    is_noted: bool,
    /// Starts of its task since.
    starts: Vec<String>,
}

/// How often a caller was told that its job was not taken in.
#[derive(Clone, Copy, Debug, Default)]
struct Refusal {
    count: u32,
    /// When it may come again.
    until: Duration,
}

/// The world.
pub struct World {
    now: Duration,
    queue: BTreeMap<(Duration, u64), Action>,
    last: u64,
    rng: Pcg32,
    store: store::Store,
    is_store_up: bool,
    watches: Vec<(usize, u64, Origin, Call, Duration)>,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    minions: Vec<Minion>,
    askers: BTreeMap<u64, Waiting>,
    truth: BTreeMap<(String, u32), Truth>,
    arrivals: Vec<Arrival>,
    offset: Duration,
    shown: BTreeMap<(String, i32), Duration>,
    accepted: BTreeMap<String, Duration>,
    /// Jobs that a caller was told are not taken in, with when it last was.
    refused: BTreeMap<String, Duration>,
    refusals: BTreeMap<usize, Refusal>,
    cancelled: BTreeMap<String, Duration>,
    started: BTreeMap<String, Duration>,
    done: BTreeMap<Task, Vec<Done>>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Log lines, with time and process.
    pub log: Vec<String>,
    /// Share of orders to minions that get no answer and are carried out late.
    pub late_orders: f64,
    /// Share of orders that minions refuse because they are unhealthy, without doing anything.
    pub refused_orders: f64,
    /// How often a caller comes again with a job that was not taken in.
    pub retries: u32,
    lost_waste: f64,
    policy: Policy,
    /// Reads of the whole configuration.
    pub catalog_reads: usize,
    /// Watches of the configuration.
    pub catalog_watches: usize,
}

/// How a world is set up.
pub struct Options<'a> {
    /// The deployment.
    pub site: &'a Site,
    /// Jobs that come.
    pub arrivals: Vec<Arrival>,
    /// Seed of what happens by chance.
    pub seed: u64,
    /// Mechanisms of the policy.
    pub policy: Policy,
    /// How many times faster the fastest worker is than the slowest.
    pub speeds: f64,
}

/// Time before the first job.
const LEAD_IN: Duration = Duration::from_secs(4);

impl World {
    /// A world with one entry a region and an agent beside each worker.
    pub fn new(options: Options<'_>) -> Self {
        let mut world = World {
            now: Duration::from_secs(100),
            queue: BTreeMap::new(),
            last: 0,
            rng: Pcg32::seed_from_u64(options.seed),
            store: store::Store::with_history(HISTORY),
            catalog_reads: 0,
            catalog_watches: 0,
            is_store_up: true,
            watches: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            askers: BTreeMap::new(),
            truth: BTreeMap::new(),
            offset: Duration::ZERO,
            shown: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            refusals: BTreeMap::new(),
            retries: u32::MAX,
            cancelled: BTreeMap::new(),
            started: BTreeMap::new(),
            done: BTreeMap::new(),
            broken: Vec::new(),
            log: Vec::new(),
            late_orders: 0.0,
            refused_orders: 0.0,
            lost_waste: 0.0,
            policy: options.policy,
            arrivals: options.arrivals,
        };
        world.offset = world.now + LEAD_IN;
        world.configure(options.site);
        for region in 0..options.site.workers.len() {
            world.add_entry(region);
        }
        for (region, count) in options.site.workers.iter().enumerate() {
            for index in 0..*count {
                let beat = Duration::from_millis(100 * world.agents.len() as u64);
                world.add_worker(options.site, region, index, beat);
            }
        }
        world.draw_speeds(options.speeds);
        for index in 0..world.arrivals.len() {
            let arrival = &world.arrivals[index];
            for (step, truth) in arrival.truth.iter().enumerate() {
                world.truth.insert((arrival.job.id.clone(), step as u32), truth.clone());
            }
            let at = world.offset + arrival.at;
            let cancel = arrival.cancel_after;
            world.at(at, Action::Submit(index));
            if let Some(after) = cancel {
                world.at(at + after, Action::Cancel(index));
            }
        }
        world.at(world.now + STEP, Action::Step);
        world
    }

    /// Writes the configuration: one queue a kind, four organisations.
    fn configure(&mut self, _site: &Site) {
        let put = Call::Put {
            key: CONFIG.to_owned(),
            expected: 0,
            value: Bytes::from_static(b"1"),
            lease: None,
        };
        self.store.call(self.now, &put);
    }

    fn add_entry(&mut self, region: usize) {
        let index = self.entries.len();
        let front = front::machine::Machine::new(self.front_options(index, 1));
        self.entries.push(EntryNode {
            front,
            planner: None,
            region,
            life: 1,
            is_up: true,
            reaches_store: true,
            frozen_until: Duration::ZERO,
        });
        self.after(Duration::from_millis(index as u64), Action::EntryTick(index, 1));
    }

    fn front_options(&self, index: usize, life: u64) -> front::options::Options {
        front::options::Options {
            name: format!("e{index}"),
            address: format!("e{index}"),
            generation: life,
            entries: (0..3).map(|other| format!("e{other}")).collect(),
            catalog_key: CONFIG.to_owned(),
            read_catalog: settings::read_catalog,
            revocation: Duration::from_secs(5),
            leader_lease: Duration::from_millis(1_300),
            seed: index as u64 * 17,
        }
    }

    fn add_worker(&mut self, site: &Site, region: usize, index: usize, beat: Duration) {
        let number = self.agents.len();
        let incarnation = Incarnation {
            id: format!("m{number}"),
            born_ms: 1,
            service: "desk".to_owned(),
            labels: vec!["a".to_owned(), format!("r{region}-{}", index / site.rack)],
            rack: format!("r{region}-{}", index / site.rack),
            capacity: Some(site.capacity.message()),
            ..Incarnation::default()
        };
        self.minions.push(Minion::new(incarnation).begun(Duration::ZERO, HOLD));
        let machine = runner::machine::Machine::new(settings::runner_options(number, 1));
        self.agents.push(AgentNode {
            machine,
            region,
            life: 1,
            is_up: true,
            is_cut: false,
            frozen_until: Duration::ZERO,
        });
        self.after(Duration::from_millis(number as u64), Action::AgentTick(number, 1));
        self.after(beat, Action::Beat(number));
    }

    /// Makes workers as unequal as asked, evenly on a logarithmic scale.
    fn draw_speeds(&mut self, speeds: f64) {
        if speeds > 1.0 {
            let half = speeds.ln() / 2.0;
            for minion in &mut self.minions {
                minion.slow = self.rng.random_range(-half..half).exp();
            }
        }
    }

    fn at(&mut self, at: Duration, action: Action) {
        self.last += 1;
        self.queue.insert((at.max(self.now), self.last), action);
    }

    fn after(&mut self, after: Duration, action: Action) {
        self.at(self.now + after, action);
    }

    fn moment(&self) -> Moment {
        Moment { steady: self.now, unix: EPOCH + self.now }
    }

    /// Time from the first arrival.
    pub fn time(&self) -> Duration {
        self.now.saturating_sub(self.offset)
    }

    /// Runs until so long after the first arrival.
    pub fn run_until(&mut self, time: Duration) {
        let until = self.offset + time;
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let ((at, _), action) = self.queue.pop_first().expect("just seen");
            self.now = at;
            self.act(action);
        }
        self.now = until;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::EntryTick(entry, life) => self.entry_tick(entry, life),
            Action::AgentTick(agent, life) => {
                if self.agents[agent].life == life && self.agents[agent].is_up {
                    self.tell_agent(agent, life, runner::event::Event::Tick);
                    self.after(AGENT_TICK, Action::AgentTick(agent, life));
                }
            }
            Action::Beat(agent) => self.beat(agent),
            Action::Step => self.step(),
            Action::Front(entry, life, event) => self.tell_front(entry, life, event),
            Action::Store { entry, life, origin, call, sent } => {
                self.store_call(entry, life, origin, call, sent);
            }
            Action::Planner(entry, life, event) => self.tell_planner(entry, life, event),
            Action::Poll { entry, agent, life, ticket, poll } => {
                self.poll(entry, agent, life, ticket, *poll);
            }
            Action::Feed { entry, asker, life, poll, sent } => {
                self.feed(entry, asker, life, poll, sent);
            }
            Action::Runner(agent, life, event) => self.tell_agent(agent, life, event),
            Action::Minion(request) => self.minion_call(*request),
            Action::AskLead { entry, asker, life } => self.ask_lead(entry, asker, life),
            Action::Submit(index) => self.submit(index),
            Action::Cancel(index) => self.cancel(index),
            Action::Look(index) => self.look(index),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::StartAgent(agent) => self.start_agent(agent),
            Action::Leave(agent, id) => self.leave(agent, &id),
            Action::StartMinion(agent) => self.start_minion(agent),
        }
    }

    fn latency(&self, left: usize, right: usize) -> Duration {
        if left == right { NEAR } else { FAR }
    }

    fn entry_of(address: &str) -> Option<usize> {
        address.strip_prefix('e')?.parse().ok()
    }

    /// Number of agents.
    pub fn agents(&self) -> usize {
        self.agents.len()
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    fn note(&mut self, text: &str) {
        let time = self.now.as_secs_f64() - self.offset.as_secs_f64();
        self.log.push(format!("{time:.3} {text}"));
    }
}
