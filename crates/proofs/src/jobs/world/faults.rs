//! Faults that a test causes.

use std::time::Duration;

use sapphire_front as front;
use sapphire_jobs::Incarnation;
use sapphire_runner as runner;

use super::{Action, HOLD, LOCAL, World, settings::runner_options};
use crate::jobs::{load::Site, minion::Minion};

/// Time between the end of a minion that leaves and the start of the next one.
const AWAY: Duration = Duration::from_secs(2);

impl World {
    /// The entry that plans.
    pub fn planning(&self) -> Option<usize> {
        self.entries.iter().position(|entry| entry.is_up && entry.planner.is_some())
    }

    /// Kills an entry; it comes back after a while.
    pub fn kill_entry(&mut self, entry: usize, back: Duration) {
        let node = &mut self.entries[entry];
        node.is_up = false;
        node.planner = None;
        node.life += 1;
        self.after(back, Action::StartEntry(entry));
        self.note(&format!("e{entry} is killed"));
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let life = self.entries[entry].life;
        let front = front::machine::Machine::new(self.front_options(entry, life));
        let node = &mut self.entries[entry];
        node.front = front;
        node.is_up = true;
        self.after(Duration::ZERO, Action::EntryTick(entry, life));
    }

    /// Kills an agent; its minion runs on, and it comes back after a while.
    pub fn kill_agent(&mut self, agent: usize, back: Duration) {
        let node = &mut self.agents[agent];
        node.is_up = false;
        node.life += 1;
        self.after(back, Action::StartAgent(agent));
        self.note(&format!("a{agent} is killed"));
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let life = self.agents[agent].life;
        let node = &mut self.agents[agent];
        node.machine = runner::machine::Machine::new(runner_options(agent, life));
        node.is_up = true;
        self.after(Duration::ZERO, Action::AgentTick(agent, life));
    }

    /// Freezes an entry for a while.
    pub fn freeze_entry(&mut self, entry: usize, time: Duration) {
        self.entries[entry].frozen_until = self.now + time;
        self.note(&format!("e{entry} is frozen for {} ms", time.as_millis()));
    }

    /// Freezes an agent for a while.
    pub fn freeze_agent(&mut self, agent: usize, time: Duration) {
        self.agents[agent].frozen_until = self.now + time;
        self.note(&format!("a{agent} is frozen for {} ms", time.as_millis()));
    }

    /// Cuts an agent off from everything but its minion, or heals the cut.
    pub fn cut_agent(&mut self, agent: usize, is_cut: bool) {
        self.agents[agent].is_cut = is_cut;
        self.note(&format!("a{agent} cut={is_cut}"));
    }

    /// Takes the store away from an entry, or gives it back.
    pub fn cut_store(&mut self, entry: usize, reaches: bool) {
        self.entries[entry].reaches_store = reaches;
        self.note(&format!("e{entry} reaches_store={reaches}"));
    }

    /// Takes the store away from everybody, or gives it back.
    pub fn set_store(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.note(&format!("store up={is_up}"));
    }

    /// Forgets the store's history of changes.
    pub fn compact_store(&mut self) {
        self.store.compact();
    }

    /// Crashes a minion; another life of it starts after a while.
    pub fn crash_minion(&mut self, agent: usize) {
        let old = &self.minions[agent];
        if !old.is_up {
            return;
        }
        self.lost_waste += old.waste;
        let born_ms = old.incarnation.born_ms + 1;
        let incarnation = Incarnation { born_ms, is_draining: false, ..old.incarnation.clone() };
        self.minions[agent] = Minion::new(incarnation).begun(self.now, HOLD);
        self.note(&format!("m{agent} crashes and starts again, born_ms={born_ms}"));
    }

    /// Adds an empty worker; returns its number.
    pub fn join(&mut self, site: &Site, region: usize) -> usize {
        let agent = self.agents.len();
        self.add_worker(site, region, agent, Duration::ZERO);
        self.note(&format!("m{agent} joins"));
        agent
    }

    /// Tells a minion to drain: it says so at once and with every beat, leaves after a while, and
    /// another one with a name of its own starts in its place.
    pub fn drain_minion(&mut self, agent: usize, leaves_after: Duration) {
        let minion = &mut self.minions[agent];
        if !minion.is_up || minion.incarnation.is_draining {
            return;
        }
        minion.incarnation.is_draining = true;
        let id = minion.incarnation.id.clone();
        self.note(&format!("m{agent} drains id={id}"));
        self.say(agent);
        self.after(leaves_after, Action::Leave(agent, id));
    }

    pub(super) fn leave(&mut self, agent: usize, id: &str) {
        let minion = &mut self.minions[agent];
        if !minion.is_up || !minion.incarnation.is_draining || minion.incarnation.id != id {
            return;
        }
        minion.die(&self.truth);
        let event = runner::event::Event::Deregistered(id.to_owned());
        let life = self.agents[agent].life;
        self.after(LOCAL, Action::Runner(agent, life, event));
        self.after(AWAY, Action::StartMinion(agent));
        self.note(&format!("m{agent} leaves id={id}"));
    }

    pub(super) fn start_minion(&mut self, agent: usize) {
        let old = &self.minions[agent];
        self.lost_waste += old.waste;
        let born_ms = old.incarnation.born_ms + 1;
        let id = format!("m{agent}-{born_ms}");
        let incarnation =
            Incarnation { id, born_ms, is_draining: false, ..old.incarnation.clone() };
        self.note(&format!("m{agent} starts id={}", incarnation.id));
        self.minions[agent] = Minion::new(incarnation).begun(self.now, HOLD);
        self.say(agent);
    }

    /// A minion, to change its ways.
    pub fn minion(&mut self, agent: usize) -> &mut Minion {
        &mut self.minions[agent]
    }
}
