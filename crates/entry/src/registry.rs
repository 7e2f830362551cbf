//! Agents that have announced themselves to this entry.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::fleet;
use sapphire_wire::{Announce, Applied, Heartbeat, Load, Minion, Peer, Worker, id, peer, resource};

/// Number of silence timeouts without a message after which an agent is declared lost and removed.
const LOST_AFTER: u32 = 5;

/// Every n-th heartbeat of an agent is answered.
const WELCOME_INTERVAL: u64 = 4;

/// Factor for the silence timeout of agents of other regions, which send only every fourth
/// heartbeat.
const REMOTE_TIMEOUT_FACTOR: u32 = 4;

/// An agent, according to its last messages.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Name, address and generation.
    pub peer: Peer,
    /// Region in which it runs.
    pub region: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Worker that it manages, if any.
    pub worker: Option<Worker>,
    /// Minion that it manages, if any.
    pub minion: Option<Minion>,
    /// Load that it reported last.
    pub load: Load,
    /// Rules and bindings that it applies.
    pub applied: Applied,
    /// Time of the last message.
    pub last_contact: Duration,
    /// Slots and queue places used by requests of other entries, according to its last report.
    pub used_by_others: u32,
    /// Requests of this entry that it is working on.
    pub in_flight: u32,
    /// Number of heartbeats received from this process of the agent.
    pub heartbeats: u64,
}

impl Agent {
    /// Slots and queue places of the minion.
    fn total_places(&self) -> u32 {
        self.minion.as_ref().map_or(0, |minion| minion.slots + minion.waiting)
    }

    /// Slots and queue places that are estimated to be free.
    pub fn free_places(&self) -> u32 {
        self.total_places().saturating_sub(self.in_flight).saturating_sub(self.used_by_others)
    }

    /// Slots that are estimated to be free.
    pub fn free_slots(&self) -> u32 {
        let waiting = self.minion.as_ref().map_or(0, |minion| minion.waiting);
        self.free_places().saturating_sub(waiting)
    }

    /// Records how many slots and queue places the agent reports as free. Usage beyond this entry's
    /// own requests is attributed to other entries; own requests that are still on their way stay
    /// counted.
    pub fn update_free_places(&mut self, free: u32) {
        self.load.free_slots = free;
        let used = self.total_places().saturating_sub(free);
        self.used_by_others = used.saturating_sub(self.in_flight);
    }
}

/// Agents by name.
#[derive(Debug)]
pub struct Registry {
    silence_timeout: Duration,
    region: String,
    started: Option<Duration>,
    agents: BTreeMap<id::Process, Agent>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(silence_timeout: Duration, region: &str) -> Self {
        Registry {
            silence_timeout,
            region: region.to_owned(),
            started: None,
            agents: BTreeMap::new(),
        }
    }

    /// Records the time of the first event.
    pub fn record_start(&mut self, now: Duration) {
        self.started.get_or_insert(now);
    }

    /// Excludes the time for which this process was paused and could receive nothing from the
    /// silence of all agents.
    pub fn discount_pause(&mut self, time: Duration) {
        for agent in self.agents.values_mut() {
            agent.last_contact += time;
        }
    }

    /// Whether every running agent has had time to announce itself.
    pub fn is_warmed_up(&self, now: Duration) -> bool {
        self.started.is_some_and(|started| now.saturating_sub(started) >= self.silence_timeout)
    }

    /// Silence after which an agent is suspected of having failed; longer for other regions, whose
    /// agents send less often.
    fn timeout(&self, agent: &Agent) -> Duration {
        if agent.region == self.region {
            self.silence_timeout
        } else {
            self.silence_timeout * REMOTE_TIMEOUT_FACTOR
        }
    }

    /// Records an announcement. Returns whether the agent, or this process of it, is new.
    pub fn announce(&mut self, now: Duration, from: &Peer, announce: Announce) -> bool {
        let previous = self.agents.get(&from.name);
        if previous.is_some_and(|agent| agent.peer.generation > from.generation) {
            return false;
        }
        let is_new = previous.is_none_or(|agent| !peer::is_same_process(&agent.peer, from));
        let in_flight = previous.filter(|_| !is_new).map_or(0, |agent| agent.in_flight);
        let agent = Agent {
            peer: from.clone(),
            region: announce.region,
            zone: announce.zone,
            worker: announce.worker,
            minion: announce.minion,
            load: announce.load.unwrap_or_default(),
            applied: announce.applied.unwrap_or_default(),
            last_contact: now,
            used_by_others: 0,
            in_flight,
            heartbeats: 0,
        };
        self.agents.insert(from.name.clone(), agent);
        is_new
    }

    /// Records a heartbeat. Returns false when this process of the agent has not been announced.
    ///
    /// Guards against a paused process that resumes after its successor has announced itself:
    /// generations increase, so an earlier process never replaces a later one.
    pub fn heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: &Heartbeat) -> bool {
        let Some(agent) = self.agents.get_mut(&from.name) else { return false };
        if !peer::is_same_process(&agent.peer, from) {
            return agent.peer.generation > from.generation;
        }
        agent.last_contact = now;
        agent.heartbeats += 1;
        agent.applied = heartbeat.applied.unwrap_or_default();
        if let Some(load) = heartbeat.load {
            agent.load = load;
        }
        agent.update_free_places(agent.load.free_slots);
        true
    }

    /// Whether a heartbeat is to be answered. Some are, so that the agent learns which entries run;
    /// answering each would cost as much as receiving it.
    pub fn is_welcome_due(&self, name: &str) -> bool {
        self.agents.get(name).is_some_and(|agent| agent.heartbeats.is_multiple_of(WELCOME_INTERVAL))
    }

    /// The agent of this name.
    pub fn get(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// The agent of this name, for modification.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)
    }

    /// All agents by name.
    pub fn agents(&self) -> &BTreeMap<id::Process, Agent> {
        &self.agents
    }

    /// Whether an agent has sent a message recently.
    pub fn is_reachable(&self, now: Duration, agent: &Agent) -> bool {
        now.saturating_sub(agent.last_contact) <= self.timeout(agent)
    }

    /// Whether this process of an agent has ended or been unreachable for long: another process of
    /// it has announced itself, or it has been removed.
    pub fn is_lost(&self, peer: &Peer) -> bool {
        self.agents.get(&peer.name).is_none_or(|agent| !peer::is_same_process(&agent.peer, peer))
    }

    /// Removes agents that have been silent for too long, and returns their names.
    pub fn forget_silent(&mut self, now: Duration) -> Vec<id::Process> {
        let is_lost = |a: &Agent| now.saturating_sub(a.last_contact) > self.timeout(a) * LOST_AFTER;
        let lost: Vec<id::Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| is_lost(agent))
            .map(|(n, _)| n.clone())
            .collect();
        for name in &lost {
            self.agents.remove(name);
        }
        lost
    }

    /// Agent that manages a worker.
    pub fn agent_of_worker(&self, worker: &str) -> Option<&Agent> {
        let manages = |agent: &&Agent| agent.worker.as_ref().is_some_and(|w| w.name == worker);
        self.agents.values().find(manages)
    }

    /// Workers of a region, with no accelerators bound and no resources in use. `is_drained`
    /// decides by names of worker, rack and zone.
    pub fn fleet(
        &self,
        now: Duration,
        region: &str,
        is_drained: impl Fn(&str, &str, &str) -> bool,
    ) -> fleet::Fleet {
        let mut fleet = fleet::Fleet::default();
        for agent in self.agents.values().filter(|agent| agent.region == region) {
            let Some(worker) = &agent.worker else { continue };
            let is_open = self.is_reachable(now, agent)
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
