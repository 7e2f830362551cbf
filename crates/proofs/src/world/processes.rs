//! Processes that are started, killed, paused and drained.

use std::{collections::BTreeMap, time::Duration};

use sapphire_agent as agent;
use sapphire_entry as entry;
use sapphire_wire::{Minion, Worker, id, peer};

use crate::worker;

use super::{Guarded, HEARTBEAT, HOLD, LEASE, Place, Process, SILENCE, World, generation};

impl World {
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

    pub(super) fn seeds(&self) -> Vec<id::Address> {
        self.entries.keys().cloned().collect()
    }

    /// Starts an entry, or starts it again with empty memory.
    pub fn start_entry(&mut self, name: &str) {
        let peers = self.seeds().into_iter().filter(|seed| seed != name).collect();
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        process.generation = generation(now, process.generation);
        let options = entry::options::Options {
            identity: peer::new(name, name, process.generation),
            region: process.place.region.clone(),
            zone: process.place.zone.clone(),
            peers,
            heartbeat: HEARTBEAT,
            silence_timeout: SILENCE,
            lease: LEASE,
            hold_timeout: HOLD,
            request_timeout: Duration::from_secs(10),
            shutdown_timeout: Duration::from_secs(30),
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
            identity: peer::new(name, name, process.generation),
            region: process.place.region.clone(),
            zone: process.place.zone.clone(),
            worker: Some(worker),
            minion: Some(minion),
            entries,
            heartbeat: HEARTBEAT,
            silence_timeout: SILENCE,
            lease: LEASE,
            ended_retention: Duration::from_secs(600),
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
}
