//! Starts, kills, pauses and drains processes.

use std::{collections::BTreeMap, time::Duration};

use sapphire_agent as agent;
use sapphire_entry as entry;
use sapphire_wire::{Minion, Worker, id, peer};

use crate::worker;

use super::{
    HEARTBEAT, HOLD_TIMEOUT, Host, LEASE, Location, Process, SILENCE_TIMEOUT, Simulation,
    generation,
};

impl Simulation {
    /// Adds an entry and starts it.
    pub fn add_entry(&mut self, name: &str, region: &str, zone: &str) {
        let rack = String::new();
        let location =
            Location { name: name.into(), region: region.into(), zone: zone.into(), rack };
        self.zones.insert(zone.to_owned());
        self.entries.insert(name.to_owned(), Process::new(location));
        self.start_entry(name);
    }

    /// Adds an agent with a worker of 8 accelerators and a minion of 8 slots, and starts the agent.
    pub fn add_agent(&mut self, name: &str, region: &str, zone: &str, rack: &str) {
        let location = Location {
            name: name.into(),
            region: region.into(),
            zone: zone.into(),
            rack: rack.into(),
        };
        self.zones.insert(zone.to_owned());
        let host = Host {
            process: Process::new(location),
            worker: worker::Worker::default(),
            pending: Vec::new(),
            backlog: Vec::new(),
            served: BTreeMap::new(),
        };
        self.agents.insert(name.to_owned(), host);
        self.start_agent(name);
    }

    pub(super) fn entry_addresses(&self) -> Vec<id::Address> {
        self.entries.keys().cloned().collect()
    }

    /// Starts an entry, or restarts it without its earlier state.
    pub fn start_entry(&mut self, name: &str) {
        let peers = self.entry_addresses().into_iter().filter(|seed| seed != name).collect();
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        process.generation = generation(now, process.generation);
        let options = entry::options::Options {
            identity: peer::new(name, name, process.generation),
            region: process.location.region.clone(),
            zone: process.location.zone.clone(),
            peers,
            heartbeat: HEARTBEAT,
            silence_timeout: SILENCE_TIMEOUT,
            lease: LEASE,
            hold_timeout: HOLD_TIMEOUT,
            request_timeout: Duration::from_secs(10),
            shutdown_timeout: Duration::from_secs(30),
            max_requests: 1_000,
            max_jobs: 2_000,
            seed: process.generation,
        };
        process.machine = Some(entry::machine::Machine::new(options));
        process.paused_until = Duration::ZERO;
        process.inbox.clear();
        self.record(&format!("simulation: {name} starts"));
    }

    /// Starts an agent, or restarts it without its earlier state; its worker's tasks are not
    /// affected until the new process resets the worker.
    pub fn start_agent(&mut self, name: &str) {
        let entries = self.entry_addresses();
        let now = self.now;
        let Some(host) = self.agents.get_mut(name) else { return };
        let process = &mut host.process;
        process.generation = generation(now, process.generation);
        let number = name.trim_start_matches('a');
        let worker = Worker {
            name: format!("w{number}"),
            rack: process.location.rack.clone(),
            accelerators: 8,
            processors: 64,
            memory_bytes: 256 << 30,
        };
        let minion =
            Minion { name: format!("m{number}"), service: "review".into(), slots: 8, waiting: 8 };
        let options = agent::options::Options {
            identity: peer::new(name, name, process.generation),
            region: process.location.region.clone(),
            zone: process.location.zone.clone(),
            worker: Some(worker),
            minion: Some(minion),
            entries,
            heartbeat: HEARTBEAT,
            silence_timeout: SILENCE_TIMEOUT,
            lease: LEASE,
            ended_retention: Duration::from_secs(600),
        };
        let (machine, first) = agent::machine::Machine::new(now, options);
        process.machine = Some(machine);
        process.paused_until = Duration::ZERO;
        process.inbox.clear();
        host.pending.clear();
        host.backlog.clear();
        self.record(&format!("simulation: {name} starts"));
        self.agent_effects(name, first);
    }

    /// Kills an entry process.
    pub fn kill_entry(&mut self, name: &str) {
        if let Some(process) = self.entries.get_mut(name) {
            process.machine = None;
        }
        self.record(&format!("simulation: {name} is killed"));
    }

    /// Kills an agent process; the worker's tasks go on until their leases expire.
    pub fn kill_agent(&mut self, name: &str) {
        if let Some(host) = self.agents.get_mut(name) {
            host.process.machine = None;
        }
        self.record(&format!("simulation: {name} is killed"));
    }

    /// Kills a VM: the agent process and all tasks of its worker.
    pub fn kill_vm(&mut self, name: &str) {
        let now = self.now;
        if let Some(host) = self.agents.get_mut(name) {
            host.process.machine = None;
            host.worker.stop_all(now);
        }
        self.record(&format!("simulation: the VM of {name} is lost"));
    }

    /// Pauses a process; its messages wait for it.
    pub fn pause(&mut self, name: &str, time: Duration) {
        let until = self.now + time;
        if let Some(process) = self.entries.get_mut(name) {
            process.paused_until = until;
        }
        if let Some(host) = self.agents.get_mut(name) {
            host.process.paused_until = until;
        }
        self.record(&format!("simulation: {name} is paused for {time:?}"));
    }

    /// Asks a process to shut down gracefully.
    pub fn drain(&mut self, name: &str) {
        self.record(&format!("simulation: {name} is asked to shut down"));
        if self.entries.contains_key(name) {
            self.entry_event(name, entry::event::Event::Drain);
        } else {
            self.agent_event(name, agent::event::Event::Drain);
        }
    }
}
