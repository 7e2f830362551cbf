//! Agents that have announced themselves.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::fleet;
use sapphire_wire::{Announce, Applied, Heartbeat, Load, Minion, Peer, Worker, id, peer, resource};

/// Time-outs of silence after which an agent is taken as gone.
const GONE_AFTER: u32 = 5;

/// Heartbeats for each that is answered.
const WELCOME_EVERY: u64 = 4;

/// Heartbeats of agents of other regions come at a quarter of the rate.
const FAR_PATIENCE: u32 = 4;

/// One agent, as last heard.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Its address and generation.
    pub peer: Peer,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Worker it guards.
    pub worker: Option<Worker>,
    /// Minion it guards.
    pub minion: Option<Minion>,
    /// Load as last told.
    pub load: Load,
    /// Rules and bindings in force there.
    pub applied: Applied,
    /// When it was last heard.
    pub heard: Duration,
    /// Slots that requests of other entries take, as last told.
    pub others: u32,
    /// Requests of this entry that it works on.
    pub in_flight: u32,
    /// Heartbeats heard in this life.
    pub heartbeats: u64,
}

impl Agent {
    fn places(&self) -> u32 {
        self.minion.as_ref().map_or(0, |minion| minion.slots + minion.waiting)
    }

    /// Slots and places to wait for one that are thought to be free.
    pub fn free_places(&self) -> u32 {
        self.places().saturating_sub(self.in_flight).saturating_sub(self.others)
    }

    /// Slots thought to be free.
    pub fn free_slots(&self) -> u32 {
        let waiting = self.minion.as_ref().map_or(0, |minion| minion.waiting);
        self.free_places().saturating_sub(waiting)
    }

    /// Notes how many places are free, as just told. What is taken beyond this entry's own
    /// requests is others'; those of its own that are still on their way stay counted.
    pub fn told_places(&mut self, free: u32) {
        self.load.free_slots = free;
        let taken = self.places().saturating_sub(free);
        self.others = taken.saturating_sub(self.in_flight);
    }
}

/// Agents by name.
#[derive(Debug)]
pub struct Registry {
    silence: Duration,
    region: String,
    began: Option<Duration>,
    agents: BTreeMap<id::Process, Agent>,
}

impl Registry {
    /// Knows no agent yet.
    pub fn new(silence: Duration, region: &str) -> Self {
        Registry { silence, region: region.to_owned(), began: None, agents: BTreeMap::new() }
    }

    /// Notes that time has begun.
    pub fn begin(&mut self, now: Duration) {
        self.began.get_or_insert(now);
    }

    /// Takes out a time in which this process was frozen and could hear nobody.
    pub fn forgive(&mut self, time: Duration) {
        for agent in self.agents.values_mut() {
            agent.heard += time;
        }
    }

    /// Whether every agent that lives has had time to announce itself.
    pub fn is_warm(&self, now: Duration) -> bool {
        self.began.is_some_and(|began| now.saturating_sub(began) >= self.silence)
    }

    /// Silence after which an agent is suspected; those of other regions speak less often.
    fn patience(&self, agent: &Agent) -> Duration {
        if agent.region == self.region { self.silence } else { self.silence * FAR_PATIENCE }
    }

    /// Takes an announcement. Returns whether the agent, or its life, is new.
    pub fn announce(&mut self, now: Duration, from: &Peer, announce: Announce) -> bool {
        let known = self.agents.get(&from.name);
        if known.is_some_and(|agent| agent.peer.generation > from.generation) {
            return false;
        }
        let is_new = known.is_none_or(|agent| !peer::is_same_process(&agent.peer, from));
        let in_flight = known.filter(|_| !is_new).map_or(0, |agent| agent.in_flight);
        let agent = Agent {
            peer: from.clone(),
            region: announce.region,
            zone: announce.zone,
            worker: announce.worker,
            minion: announce.minion,
            load: announce.load.unwrap_or_default(),
            applied: announce.applied.unwrap_or_default(),
            heard: now,
            others: 0,
            in_flight,
            heartbeats: 0,
        };
        self.agents.insert(from.name.clone(), agent);
        is_new
    }

    /// Takes a heartbeat. Returns false when this life of the agent is not known.
    ///
    /// Guards against a paused process that returns after its successor has announced itself:
    /// generations grow, so an older life never replaces a newer one.
    pub fn heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: &Heartbeat) -> bool {
        let Some(agent) = self.agents.get_mut(&from.name) else { return false };
        if !peer::is_same_process(&agent.peer, from) {
            return agent.peer.generation > from.generation;
        }
        agent.heard = now;
        agent.heartbeats += 1;
        agent.applied = heartbeat.applied.unwrap_or_default();
        if let Some(load) = heartbeat.load {
            agent.load = load;
        }
        agent.told_places(agent.load.free_slots);
        true
    }

    /// Whether a heartbeat is to be answered: some are, so that the agent knows who lives; to
    /// answer each would cost as much as to hear it.
    pub fn is_welcome_due(&self, name: &str) -> bool {
        self.agents.get(name).is_some_and(|agent| agent.heartbeats.is_multiple_of(WELCOME_EVERY))
    }

    /// One agent.
    pub fn get(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// One agent, to change.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)
    }

    /// All agents by name.
    pub fn agents(&self) -> &BTreeMap<id::Process, Agent> {
        &self.agents
    }

    /// Whether an agent has been heard lately.
    pub fn is_heard(&self, now: Duration, agent: &Agent) -> bool {
        now.saturating_sub(agent.heard) <= self.patience(agent)
    }

    /// Whether this life of an agent is surely over or out of reach for long: another life has
    /// announced itself, or it is not known any more.
    pub fn is_gone(&self, peer: &Peer) -> bool {
        self.agents.get(&peer.name).is_none_or(|agent| !peer::is_same_process(&agent.peer, peer))
    }

    /// Forgets agents that have long been silent; returns their names.
    pub fn forget_silent(&mut self, now: Duration) -> Vec<id::Process> {
        let is_gone =
            |agent: &Agent| now.saturating_sub(agent.heard) > self.patience(agent) * GONE_AFTER;
        let gone: Vec<id::Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| is_gone(agent))
            .map(|(n, _)| n.clone())
            .collect();
        for name in &gone {
            self.agents.remove(name);
        }
        gone
    }

    /// Agent that guards a worker.
    pub fn agent_of_worker(&self, worker: &str) -> Option<&Agent> {
        let guards = |agent: &&Agent| agent.worker.as_ref().is_some_and(|w| w.name == worker);
        self.agents.values().find(guards)
    }

    /// Workers of a region, with nothing bound or taken yet; `is_drained` tells by worker, rack
    /// and zone.
    pub fn fleet(
        &self,
        now: Duration,
        region: &str,
        is_drained: impl Fn(&str, &str, &str) -> bool,
    ) -> fleet::Fleet {
        let mut fleet = fleet::Fleet::default();
        for agent in self.agents.values().filter(|agent| agent.region == region) {
            let Some(worker) = &agent.worker else { continue };
            let is_open = self.is_heard(now, agent)
                && !agent.load.draining
                && !is_drained(&worker.name, &worker.rack, &agent.zone);
            let entry = fleet::Worker {
                region: agent.region.clone(),
                zone: agent.zone.clone(),
                rack: worker.rack.clone(),
                capacity: resource::Amount::of_worker(worker),
                is_open,
                ..fleet::Worker::default()
            };
            fleet.workers.insert(worker.name.clone(), entry);
        }
        fleet
    }
}
