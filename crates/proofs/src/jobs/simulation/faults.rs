//! Faults that tests inject.

use std::time::Duration;

use bytes::Bytes;
use sapphire_front as front;
use sapphire_jobs::Incarnation;
use sapphire_runner as runner;
use sapphire_store::call::{Call, Put};

use super::{
    Action, LOCAL_LATENCY, Simulation,
    settings::{CORDONS, runner_options},
    suspicions::Crash,
    zone,
};
use crate::jobs::{
    load::{Site, Worker},
    minion::Minion,
};

/// Time between the departure of a drained minion and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);

impl Simulation {
    /// Entry that runs the planner, if one does.
    pub fn planner_entry(&self) -> Option<usize> {
        self.entries.iter().position(|entry| entry.is_up && entry.planner.is_some())
    }

    /// Kills an entry; it starts again after `restart_after`.
    pub fn kill_entry(&mut self, entry: usize, restart_after: Duration) {
        let node = &mut self.entries[entry];
        node.is_up = false;
        node.planner = None;
        node.generation += 1;
        self.after(restart_after, Action::StartEntry(entry));
        self.log_line(&format!("e{entry} is killed"));
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let generation = self.entries[entry].generation;
        let front = front::machine::Machine::new(self.front_options(entry, generation));
        let node = &mut self.entries[entry];
        node.front = front;
        node.is_up = true;
        self.after(Duration::ZERO, Action::EntryTick(entry, generation));
    }

    /// Kills an agent; it starts again after `restart_after`, and its minion runs on meanwhile.
    pub fn kill_agent(&mut self, agent: usize, restart_after: Duration) {
        let node = &mut self.agents[agent];
        node.is_up = false;
        node.generation += 1;
        self.after(restart_after, Action::StartAgent(agent));
        self.log_line(&format!("a{agent} is killed"));
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let generation = self.agents[agent].generation;
        let node = &mut self.agents[agent];
        node.machine =
            runner::machine::Machine::new(runner_options(agent, generation, self.bounds));
        node.is_up = true;
        self.after(Duration::ZERO, Action::AgentTick(agent, generation));
    }

    /// Pauses an entry; what is sent to it is delivered when it resumes.
    pub fn pause_entry(&mut self, entry: usize, time: Duration) {
        self.entries[entry].paused_until = self.now + time;
        self.log_line(&format!("e{entry} is paused for {} ms", time.as_millis()));
    }

    /// Pauses an agent; what is sent to it is delivered when it resumes.
    pub fn pause_agent(&mut self, agent: usize, time: Duration) {
        self.agents[agent].paused_until = self.now + time;
        self.log_line(&format!("a{agent} is paused for {} ms", time.as_millis()));
    }

    /// Cuts an agent off from everything but its minion, or reconnects it.
    pub fn set_agent_isolated(&mut self, agent: usize, is_isolated: bool) {
        self.agents[agent].is_isolated = is_isolated;
        self.log_line(&format!("a{agent} isolated={is_isolated}"));
    }

    /// Makes a minion carry out calls without answering them, or answer them again.
    pub fn set_minion_mute(&mut self, agent: usize, is_mute: bool) {
        if is_mute {
            self.mute.insert(agent);
        } else {
            self.mute.remove(&agent);
        }
        self.log_line(&format!("m{agent} mute={is_mute}"));
    }

    /// Makes the store unreachable for one entry, or reachable again.
    pub fn set_store_reachable(&mut self, entry: usize, is_reachable: bool) {
        self.entries[entry].reaches_store = is_reachable;
        self.log_line(&format!("e{entry} reaches_store={is_reachable}"));
    }

    /// Makes the store unreachable for all entries, or reachable again.
    pub fn set_store_up(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.log_line(&format!("store up={is_up}"));
    }

    /// Makes the store reject all calls at once, or accept them again.
    pub fn set_store_refusing(&mut self, is_refusing: bool) {
        self.is_store_refusing = is_refusing;
        self.log_line(&format!("store refusing={is_refusing}"));
    }

    /// Makes the store lose its replies to the calls that it carries out, or send them again.
    pub fn set_store_mute(&mut self, is_mute: bool) {
        self.is_store_mute = is_mute;
        self.log_line(&format!("store mute={is_mute}"));
    }

    /// Makes the store take this much longer for each call, half of it before the call is carried
    /// out and half before the reply is sent.
    pub fn set_store_latency(&mut self, latency: Duration) {
        self.store_latency = latency;
        self.log_line(&format!("store latency={} ms", latency.as_millis()));
    }

    /// Partitions a region from the others and from the store, or reconnects it.
    pub fn set_region_partitioned(&mut self, region: usize, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned.insert(region);
        } else {
            self.partitioned.remove(&region);
        }
        self.log_line(&format!("z{region} partitioned={is_partitioned}"));
    }

    /// Takes the power from everything in a region; it starts again after `restart_after`.
    pub fn lose_region(&mut self, region: usize, restart_after: Duration) {
        for entry in 0..self.entries.len() {
            if self.entries[entry].region == region {
                self.kill_entry(entry, restart_after);
            }
        }
        for agent in 0..self.agents.len() {
            if self.agents[agent].region == region {
                self.kill_agent(agent, restart_after);
                self.minions[agent].is_up = false;
                self.after(restart_after, Action::StartMinion(agent));
            }
        }
    }

    /// Cordons a region, or lifts the cordon. The store must be up.
    pub fn set_region_cordoned(&mut self, region: usize, is_cordoned: bool) {
        let key = format!("{CORDONS}{}", zone(region));
        let (mut puts, mut removes) = (Vec::new(), Vec::new());
        if is_cordoned {
            puts.push(Put { key, value: Bytes::from_static(b"{}"), lease: None });
            self.cordons.entry(region).or_insert(self.now);
        } else {
            removes.push(key);
            self.cordons.remove(&region);
        }
        self.store.call(self.now, &Call::Commit { conditions: Vec::new(), puts, removes });
        self.poll_watches();
        self.log_line(&format!("z{region} cordoned={is_cordoned}"));
    }

    /// Region of an entry.
    pub fn region_of(&self, entry: usize) -> usize {
        self.entries[entry].region
    }

    /// Region of an agent.
    pub fn region_of_agent(&self, agent: usize) -> usize {
        self.agents[agent].region
    }

    /// Drops the store's history of changes.
    pub fn compact_store(&mut self) {
        self.store.compact();
    }

    /// Crashes a minion; its next incarnation starts at once, under the same identifier.
    pub fn crash_minion(&mut self, agent: usize) {
        let old = &self.minions[agent];
        if !old.is_up {
            return;
        }
        let (slowness, restoration) = (old.slowness, old.restoration);
        let born_ms = old.incarnation.born_ms + 1;
        let incarnation = Incarnation { born_ms, is_draining: false, ..old.incarnation.clone() };
        let minion = Minion::new(incarnation)
            .with_clock(self.now, self.bounds.longest_lease)
            .with_pace(slowness, restoration)
            .with_stop_delay(self.bounds.stop_delay);
        let old = std::mem::replace(&mut self.minions[agent], minion);
        self.earlier_waste += old.waste;
        for (job, runs) in old.runs {
            self.earlier_runs.entry(job).or_default().add(runs);
        }
        self.disrupt(agent);
        self.log_line(&format!("m{agent} crashes and starts again, born_ms={born_ms}"));
    }

    /// Adds an idle worker with its agent; returns its number.
    pub fn add_idle_worker(&mut self, site: &Site, region: usize) -> usize {
        let agent = self.agents.len();
        let slowness = site.conditions.slowness_of(agent);
        let worker = Worker { region, index: agent, slowness };
        self.add_worker(site, worker, Duration::ZERO);
        self.log_line(&format!("m{agent} is added"));
        agent
    }

    /// Takes a worker away for good, with its agent; another one starts in the same rack after
    /// `replaced_after`.
    pub fn remove_worker(&mut self, agent: usize, replaced_after: Duration) {
        let node = &mut self.agents[agent];
        if !self.minions[agent].is_up || !node.is_up {
            return;
        }
        node.is_up = false;
        node.generation += 1;
        self.gone.insert(agent);
        self.note_crash(agent, Crash::Worker);
        self.minions[agent].terminate(&self.truth);
        self.after(replaced_after, Action::ReplaceWorker(agent));
        self.log_line(&format!("m{agent} is gone"));
    }

    /// Ends a minion without notice, while its VM and agent stay; another one starts there after `time`.
    pub fn remove_minion(&mut self, agent: usize, time: Duration) {
        if !self.is_worker_up(agent) {
            return;
        }
        self.note_crash(agent, Crash::Minion);
        self.minions[agent].terminate(&self.truth);
        self.after(time, Action::StartMinion(agent));
        self.log_line(&format!("m{agent} ends, its VM stays"));
    }

    pub(super) fn replace_worker(&mut self, agent: usize) {
        let number = self.agents.len();
        let old = &self.minions[agent];
        let id = format!("m{number}");
        let incarnation =
            Incarnation { id, born_ms: 1, is_draining: false, ..old.incarnation.clone() };
        let minion = Minion::new(incarnation)
            .with_clock(self.now, self.bounds.longest_lease)
            .with_pace(old.slowness, old.restoration)
            .with_stop_delay(self.bounds.stop_delay);
        self.add_minion(self.agents[agent].region, minion, Duration::ZERO);
        self.log_line(&format!("m{number} is added in place of m{agent}"));
    }

    /// Makes a minion drain: it reports this at once and in every heartbeat and deregisters after
    /// `leaves_after`; then another minion, with an identifier of its own, starts in its place.
    pub fn drain_minion(&mut self, agent: usize, leaves_after: Duration) {
        let minion = &mut self.minions[agent];
        if !minion.is_up || minion.incarnation.is_draining {
            return;
        }
        minion.incarnation.is_draining = true;
        let id = minion.incarnation.id.clone();
        self.log_line(&format!("m{agent} drains id={id}"));
        self.send_heartbeat(agent);
        self.after(leaves_after, Action::Deregister(agent, id));
    }

    pub(super) fn deregister(&mut self, agent: usize, id: &str) {
        let minion = &self.minions[agent];
        if !minion.is_up || !minion.incarnation.is_draining || minion.incarnation.id != id {
            return;
        }
        let has_deregistered = self.take_deregistered(agent);
        if !has_deregistered {
            let event = runner::event::Event::Deregistered(id.to_owned());
            let generation = self.agents[agent].generation;
            self.after(LOCAL_LATENCY, Action::Runner(agent, generation, event));
            if self.linger(agent, id) {
                return;
            }
        }
        self.minions[agent].terminate(&self.truth);
        self.after(REPLACEMENT_DELAY, Action::StartMinion(agent));
        self.log_line(&format!("m{agent} leaves id={id}"));
    }

    pub(super) fn start_minion(&mut self, agent: usize) {
        self.note_earlier(agent);
        let old = &self.minions[agent];
        let (slowness, restoration) = (old.slowness, old.restoration);
        let born_ms = old.incarnation.born_ms + 1;
        let id = format!("m{agent}-{born_ms}");
        let incarnation =
            Incarnation { id, born_ms, is_draining: false, ..old.incarnation.clone() };
        self.log_line(&format!("m{agent} starts id={}", incarnation.id));
        let minion = Minion::new(incarnation)
            .with_clock(self.now, self.bounds.longest_lease)
            .with_pace(slowness, restoration)
            .with_stop_delay(self.bounds.stop_delay);
        let old = std::mem::replace(&mut self.minions[agent], minion);
        self.earlier_waste += old.waste;
        for (job, runs) in old.runs {
            self.earlier_runs.entry(job).or_default().add(runs);
        }
        self.send_heartbeat(agent);
    }

    /// Whether a worker is neither gone nor being restarted.
    pub fn is_worker_up(&self, agent: usize) -> bool {
        self.minions[agent].is_up && self.agents[agent].is_up
    }

    /// Adds a line to the log, for tests that change what they reach directly.
    pub fn note(&mut self, text: &str) {
        self.log_line(text);
    }

    /// A minion, for tests that change its behaviour.
    pub fn minion(&mut self, agent: usize) -> &mut Minion {
        &mut self.minions[agent]
    }
}
