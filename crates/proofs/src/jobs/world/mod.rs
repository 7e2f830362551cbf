//! The machines, the store and the minions in virtual time.

mod callers;
mod faults;
mod minions;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use rand::SeedableRng as _;
use rand_pcg::Pcg32;
use sapphire_front as front;
use sapphire_jobs::{
    Incarnation, Lead, Orders,
    catalog::{Catalog, Organisation, Parts, Queue, Service},
};
use sapphire_planner::{self as planner, event::Moment, planner::Planner};
use sapphire_runner as runner;
use sapphire_store::call::{Call, Reply};

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
    Minion { agent: usize, life: u64, ticket: u64, call: runner::minion::Call, until: Duration },
    AskLead { entry: usize, asker: Asker, life: u64 },
    Submit(usize),
    Cancel(usize),
    Look(usize),
    StartEntry(usize),
    StartAgent(usize),
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
    refused: BTreeSet<String>,
    cancelled: BTreeMap<String, Duration>,
    started: BTreeMap<String, Duration>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Log lines, with time and process.
    pub log: Vec<String>,
    /// Share of orders to minions that get no answer and are carried out late.
    pub late_orders: f64,
    lost_waste: f64,
}

/// How a world is set up.
pub struct Options<'a> {
    /// The deployment.
    pub site: &'a Site,
    /// Jobs that come.
    pub arrivals: Vec<Arrival>,
    /// Seed of what happens by chance.
    pub seed: u64,
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
            store: store::Store::default(),
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
            refused: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            started: BTreeMap::new(),
            broken: Vec::new(),
            log: Vec::new(),
            late_orders: 0.0,
            lost_waste: 0.0,
            arrivals: options.arrivals,
        };
        world.offset = world.now + LEAD_IN;
        world.configure(options.site);
        for region in 0..options.site.workers.len() {
            world.add_entry(region);
        }
        for (region, count) in options.site.workers.iter().enumerate() {
            for index in 0..*count {
                world.add_worker(options.site, region, index);
            }
        }
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
            read_catalog,
            revocation: Duration::from_secs(5),
            lead_lease: Duration::from_millis(1_300),
            seed: index as u64 * 17,
        }
    }

    fn add_worker(&mut self, site: &Site, region: usize, index: usize) {
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
        self.minions.push(Minion::new(incarnation));
        let machine = runner::machine::Machine::new(runner_options(number, 1));
        self.agents.push(AgentNode {
            machine,
            region,
            life: 1,
            is_up: true,
            is_cut: false,
            frozen_until: Duration::ZERO,
        });
        self.after(Duration::from_millis(number as u64), Action::AgentTick(number, 1));
        let beat = Duration::from_millis(100 * number as u64);
        self.after(beat, Action::Beat(number));
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
            Action::Minion { agent, life, ticket, call, until } => {
                self.minion_call(agent, life, ticket, call, until);
            }
            Action::AskLead { entry, asker, life } => self.ask_lead(entry, asker, life),
            Action::Submit(index) => self.submit(index),
            Action::Cancel(index) => self.cancel(index),
            Action::Look(index) => self.look(index),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::StartAgent(agent) => self.start_agent(agent),
        }
    }

    fn latency(&self, left: usize, right: usize) -> Duration {
        if left == right { NEAR } else { FAR }
    }

    fn entry_of(address: &str) -> Option<usize> {
        address.strip_prefix('e')?.parse().ok()
    }

    fn entry_tick(&mut self, entry: usize, life: u64) {
        if self.entries[entry].life != life || !self.entries[entry].is_up {
            return;
        }
        self.after(ENTRY_TICK, Action::EntryTick(entry, life));
        self.tell_front(entry, life, front::event::Event::Tick);
        self.tell_planner(entry, life, planner::event::Event::Tick);
        let node = &mut self.entries[entry];
        if self.now < node.frozen_until {
            return;
        }
        if let Some(planner) = &node.planner {
            let effects =
                node.front.check_outage(self.now, |since| planner.is_store_reached(since));
            self.front_effects(entry, effects);
        }
    }

    fn tell_front(&mut self, entry: usize, life: u64, event: front::event::Event) {
        let now = self.moment();
        let node = &mut self.entries[entry];
        if node.life != life || !node.is_up {
            return;
        }
        if self.now < node.frozen_until {
            let until = node.frozen_until;
            if !matches!(event, front::event::Event::Tick) {
                self.at(until, Action::Front(entry, life, event));
            }
            return;
        }
        let effects = node.front.handle(now, event);
        self.front_effects(entry, effects);
    }

    fn front_effects(&mut self, entry: usize, effects: Vec<front::effect::Effect>) {
        use front::effect::Effect;
        let (life, region) = (self.entries[entry].life, self.entries[entry].region);
        for effect in effects {
            match effect {
                Effect::Answer(caller, answer) => self.answered(caller, &answer),
                Effect::Store(operation, call) => {
                    self.send_store(entry, Origin::Front(operation), call);
                }
                Effect::Feed { address, poll } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let sent = self.now;
                    let latency = self.latency(region, self.entries[other].region);
                    let timeout = front::options::FEED_TIMEOUT;
                    let action = Action::Feed { entry: other, asker: entry, life, poll, sent };
                    self.after(latency, action);
                    let lost = front::event::Event::Feed { sent, feed: None };
                    self.after(timeout, Action::Front(entry, life, lost));
                }
                Effect::Notice { address, notice } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let latency = self.latency(region, self.entries[other].region);
                    let life = self.entries[other].life;
                    let event = planner::event::Event::Notice(*notice);
                    self.after(latency, Action::Planner(other, life, event));
                }
                Effect::AskLead { address } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let latency = self.latency(region, self.entries[other].region);
                    let asker = Asker::Entry(entry);
                    self.after(latency, Action::AskLead { entry: other, asker, life });
                }
                Effect::Catalog(catalog) => {
                    self.tell_planner(entry, life, planner::event::Event::Catalog(catalog));
                }
                Effect::Fresh { revision, at } => {
                    let event = planner::event::Event::Fresh { revision, at };
                    self.tell_planner(entry, life, event);
                }
                Effect::Plan(term) => {
                    let options = planner_options(entry);
                    let catalog = std::sync::Arc::new(
                        read_catalog(&Bytes::new(), 1).expect("the fake one can be read"),
                    );
                    let planner = Planner::new(options, term, catalog, self.moment());
                    self.entries[entry].planner = Some(planner);
                    self.tell_planner(entry, life, planner::event::Event::Tick);
                }
                Effect::Resign => self.entries[entry].planner = None,
                Effect::Log(text) => self.note(&format!("e{entry} front: {text}")),
            }
        }
    }

    fn tell_planner(&mut self, entry: usize, life: u64, event: planner::event::Event) {
        let now = self.moment();
        let node = &mut self.entries[entry];
        if node.life != life || !node.is_up {
            return;
        }
        if self.now < node.frozen_until {
            let until = node.frozen_until;
            if !matches!(event, planner::event::Event::Tick) {
                self.at(until, Action::Planner(entry, life, event));
            }
            return;
        }
        let Some(planner) = &mut node.planner else { return };
        let effects = planner.handle(now, event);
        self.planner_effects(entry, effects);
    }

    fn planner_effects(&mut self, entry: usize, effects: Vec<planner::effect::Effect>) {
        use planner::effect::Effect;
        let region = self.entries[entry].region;
        for effect in effects {
            match effect {
                Effect::Orders(asker, orders) => self.give_orders(region, asker, Some(*orders)),
                Effect::Feed(asker, feed) => self.give_feed(region, asker, Some(feed)),
                Effect::Decline(asker) => {
                    self.give_orders(region, asker, None);
                    self.give_feed(region, asker, None);
                }
                Effect::Store(operation, call) => {
                    let Some(planner) = &self.entries[entry].planner else { continue };
                    let origin = Origin::Planner(planner.term(), operation);
                    self.send_store(entry, origin, call);
                }
                Effect::Announce(addresses) => self.announce(entry, &addresses),
                Effect::Log(text) => self.note(&format!("e{entry} plan: {text}")),
                Effect::Deposed => {
                    let node = &mut self.entries[entry];
                    node.planner = None;
                    let effects = node.front.deposed(self.now);
                    self.front_effects(entry, effects);
                }
            }
        }
    }

    fn announce(&mut self, entry: usize, addresses: &[String]) {
        let Some(lead) = self.entries[entry].front.lead().cloned() else { return };
        for address in addresses {
            let Some(agent) = address.strip_prefix('a').and_then(|text| text.parse().ok()) else {
                continue;
            };
            let node: &AgentNode = &self.agents[agent];
            let latency = self.latency(self.entries[entry].region, node.region);
            let event = runner::event::Event::Lead(lead.clone());
            let life = node.life;
            if !node.is_cut {
                self.after(latency, Action::Runner(agent, life, event));
            }
        }
    }

    fn give_orders(&mut self, region: usize, asker: u64, orders: Option<Orders>) {
        let Some(Waiting::Agent { agent, life, ticket }) = self.askers.get(&asker).copied() else {
            return;
        };
        self.askers.remove(&asker);
        if self.agents[agent].is_cut {
            return;
        }
        let latency = self.latency(region, self.agents[agent].region);
        let event = match orders {
            Some(orders) => runner::event::Event::Orders(ticket, Box::new(orders)),
            None => runner::event::Event::NoOrders { ticket, is_declined: true },
        };
        self.after(latency, Action::Runner(agent, life, event));
    }

    fn give_feed(&mut self, region: usize, asker: u64, feed: Option<Box<sapphire_jobs::Feed>>) {
        let Some(Waiting::Entry { entry, life, sent }) = self.askers.get(&asker).copied() else {
            return;
        };
        self.askers.remove(&asker);
        let latency = self.latency(region, self.entries[entry].region);
        let event = front::event::Event::Feed { sent, feed };
        self.after(latency, Action::Front(entry, life, event));
    }

    fn poll(
        &mut self,
        entry: usize,
        agent: usize,
        life: u64,
        ticket: u64,
        poll: sapphire_jobs::Poll,
    ) {
        if self.agents[agent].is_cut || !self.entries[entry].is_up {
            return;
        }
        self.last += 1;
        let asker = self.last;
        self.askers.insert(asker, Waiting::Agent { agent, life, ticket });
        let node = &self.entries[entry];
        if node.planner.is_none() {
            let region = node.region;
            self.give_orders(region, asker, None);
            return;
        }
        let life = node.life;
        self.tell_planner(entry, life, planner::event::Event::Poll(asker, Box::new(poll)));
    }

    fn feed(
        &mut self,
        entry: usize,
        asking: usize,
        life: u64,
        poll: sapphire_jobs::FeedPoll,
        sent: Duration,
    ) {
        if !self.entries[entry].is_up {
            return;
        }
        self.last += 1;
        let asker = self.last;
        self.askers.insert(asker, Waiting::Entry { entry: asking, life, sent });
        let node = &self.entries[entry];
        if node.planner.is_none() {
            let region = node.region;
            self.give_feed(region, asker, None);
            return;
        }
        let life = node.life;
        self.tell_planner(entry, life, planner::event::Event::Feed(asker, poll));
    }

    fn ask_lead(&mut self, entry: usize, asker: Asker, life: u64) {
        let node = &self.entries[entry];
        if !node.is_up || self.now < node.frozen_until {
            return;
        }
        let Some(lead): Option<Lead> = node.front.lead().cloned() else { return };
        match asker {
            Asker::Entry(asking) => {
                let latency = self.latency(node.region, self.entries[asking].region);
                let event = front::event::Event::Lead(lead);
                self.after(latency, Action::Front(asking, life, event));
            }
            Asker::Agent(agent) => {
                let latency = self.latency(node.region, self.agents[agent].region);
                let event = runner::event::Event::Lead(lead);
                if !self.agents[agent].is_cut {
                    self.after(latency, Action::Runner(agent, life, event));
                }
            }
        }
    }

    fn send_store(&mut self, entry: usize, origin: Origin, call: Call) {
        let life = self.entries[entry].life;
        let sent = self.now;
        let latency = self.latency(self.entries[entry].region, 0);
        self.after(latency + STORE, Action::Store { entry, life, origin, call, sent });
    }

    fn store_call(&mut self, entry: usize, life: u64, origin: Origin, call: Call, sent: Duration) {
        let timeout = Duration::from_millis(700);
        if !self.is_store_up || !self.entries[entry].reaches_store {
            let reply = Reply::Unavailable("no answer".to_owned());
            self.store_answer(entry, life, origin, sent, reply, timeout);
            return;
        }
        let until = match &call {
            Call::WatchPrefix { wait, .. } => self.now + *wait,
            _ => self.now,
        };
        match self.store.call(self.now, &call) {
            Some(reply) => {
                let latency = self.latency(self.entries[entry].region, 0);
                self.store_answer(entry, life, origin, sent, reply, latency);
            }
            None => self.watches.push((entry, life, origin, call, until)),
        }
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        for (entry, life, origin, call, until) in std::mem::take(&mut self.watches) {
            let latency = self.latency(self.entries[entry].region, 0);
            if !self.entries[entry].reaches_store || !self.is_store_up {
                self.watches.push((entry, life, origin, call, until));
                continue;
            }
            let is_over = self.now >= until;
            let call = match call {
                Call::WatchPrefix { prefix, after, .. } if is_over => {
                    Call::WatchPrefix { prefix, after, wait: Duration::ZERO }
                }
                call => call,
            };
            match self.store.call(self.now, &call) {
                Some(reply) => self.store_answer(entry, life, origin, self.now, reply, latency),
                None => self.watches.push((entry, life, origin, call, until)),
            }
        }
    }

    fn store_answer(
        &mut self,
        entry: usize,
        life: u64,
        origin: Origin,
        sent: Duration,
        reply: Reply,
        after: Duration,
    ) {
        match origin {
            Origin::Front(operation) => {
                let event = front::event::Event::Store { operation, sent, reply };
                self.after(after, Action::Front(entry, life, event));
            }
            Origin::Planner(term, operation) => {
                let planner = self.entries[entry].planner.as_ref();
                if planner.is_some_and(|planner| planner.term() == term) {
                    let event = planner::event::Event::Store(operation, reply);
                    self.after(after, Action::Planner(entry, life, event));
                }
            }
        }
    }

    fn tell_agent(&mut self, agent: usize, life: u64, event: runner::event::Event) {
        let node = &mut self.agents[agent];
        if node.life != life || !node.is_up {
            return;
        }
        if self.now < node.frozen_until {
            let until = node.frozen_until;
            if !matches!(event, runner::event::Event::Tick) {
                self.at(until, Action::Runner(agent, life, event));
            }
            return;
        }
        for effect in node.machine.handle(self.now, event) {
            self.agent_effect(agent, effect);
        }
    }

    fn agent_effect(&mut self, agent: usize, effect: runner::effect::Effect) {
        use runner::effect::Effect;
        let (life, region) = (self.agents[agent].life, self.agents[agent].region);
        match effect {
            Effect::Minion { ticket, call, timeout, .. } => {
                let until = self.now + timeout;
                self.after(LOCAL, Action::Minion { agent, life, ticket, call, until });
            }
            Effect::Poll { ticket, address, poll } => {
                let Some(entry) = Self::entry_of(&address) else { return };
                let latency = self.latency(region, self.entries[entry].region);
                self.after(latency, Action::Poll { entry, agent, life, ticket, poll });
                let lost = runner::event::Event::NoOrders { ticket, is_declined: false };
                let timeout = runner::options::POLL_TIMEOUT;
                self.after(timeout, Action::Runner(agent, life, lost));
            }
            Effect::AskLead { address } => {
                let Some(entry) = Self::entry_of(&address) else { return };
                if self.agents[agent].is_cut {
                    return;
                }
                let latency = self.latency(region, self.entries[entry].region);
                let asker = Asker::Agent(agent);
                self.after(latency, Action::AskLead { entry, asker, life });
            }
            Effect::Log(text) => self.note(&format!("a{agent} agent: {text}")),
            Effect::Exit => self.agents[agent].is_up = false,
        }
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

fn runner_options(agent: usize, life: u64) -> runner::options::Options {
    runner::options::Options {
        name: format!("a{agent}"),
        address: format!("a{agent}"),
        generation: life,
        entries: (0..3).map(|entry| format!("e{entry}")).collect(),
        tasks: format!("m{agent}"),
        stop: Duration::from_millis(400),
    }
}

fn planner_options(entry: usize) -> planner::options::Options {
    planner::options::Options {
        name: format!("e{entry}"),
        lease: Duration::from_secs(6),
        clock_drift_milli: 20,
        stop: Duration::from_millis(400),
        status: Duration::from_secs(120),
        reclaim: Duration::from_millis(2_900),
        remote_factor: 3,
    }
}

/// The fake configuration: the queues of both sites, four organisations whose name is their key.
fn read_catalog(_bytes: &Bytes, revision: u64) -> Result<Catalog, String> {
    let kinds = super::load::ATLANTICA.kinds.iter().chain(super::load::PASTIZAL.kinds);
    let queue = |kind: &super::load::Kind| Queue {
        name: kind.name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.name),
        service: "desk".to_owned(),
        priority: kind.priority,
        max_attempts: kind.attempts,
        slack: kind.slack.0,
        target_latency: Duration::from_secs_f64(kind.slack.1),
        is_open: false,
    };
    let organisation = |index: u32| Organisation {
        name: format!("o{index}"),
        keys: vec![format!("o{index}")],
        guaranteed_accelerators: 13,
    };
    Ok(Catalog::new(Parts {
        version: 1,
        revision,
        queues: kinds.map(queue).collect(),
        services: vec![Service { name: "desk".to_owned(), ..Service::default() }],
        organisations: (0..4).map(organisation).collect(),
    }))
}
