//! Delivers events to the entries' fronts and planners, carries out their effects, and passes on
//! the messages between processes.

use std::time::Duration;

use bytes::Bytes;
use sapphire_front as front;
use sapphire_jobs::{Lead, Orders, inventory};
use sapphire_planner::{self as planner, planner::Planner};
use sapphire_runner as runner;

use super::{
    Action, AgentNode, ENTRY_TICK, Origin, PendingPoll, Requester, STORE_LATENCY, Simulation,
    settings::{planner_options, read_catalog},
};

impl Simulation {
    pub(super) fn entry_tick(&mut self, entry: usize, generation: u64) {
        if self.entries[entry].generation != generation || !self.entries[entry].is_up {
            return;
        }
        self.after(ENTRY_TICK, Action::EntryTick(entry, generation));
        self.front_event(entry, generation, front::event::Event::Tick);
        self.planner_event(entry, generation, planner::event::Event::Tick);
        let node = &mut self.entries[entry];
        if self.now < node.paused_until.max(node.held_until) {
            return;
        }
        if let Some(planner) = &node.planner {
            let effects =
                node.front.check_outage(self.now, |since| planner.is_store_reached(since));
            self.front_effects(entry, effects);
        }
    }

    pub(super) fn front_event(
        &mut self,
        entry: usize,
        generation: u64,
        event: front::event::Event,
    ) {
        let now = self.moment();
        let node = &mut self.entries[entry];
        if node.generation != generation || !node.is_up {
            return;
        }
        let until = node.paused_until.max(node.held_until);
        if self.now < until {
            if !matches!(event, front::event::Event::Tick) {
                self.at(until, Action::Front(entry, generation, event));
            }
            return;
        }
        let effects = node.front.handle(now, event);
        self.front_effects(entry, effects);
    }

    pub(super) fn front_effects(&mut self, entry: usize, effects: Vec<front::effect::Effect>) {
        use front::effect::Effect;
        let (generation, region) = (self.entries[entry].generation, self.entries[entry].region);
        for effect in effects {
            match effect {
                Effect::Answer(caller, answer) => self.record_answer(caller, &answer),
                Effect::Store(operation, call) => {
                    self.send_store(entry, Origin::Front(operation), call);
                }
                Effect::Feed { address, poll } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let sent = self.now;
                    let latency = self.latency(region, self.entries[other].region);
                    let timeout = front::options::FEED_TIMEOUT;
                    let action =
                        Action::Feed { entry: other, requester: entry, generation, poll, sent };
                    if self.is_connected(region, self.entries[other].region) {
                        self.after(latency, action);
                    }
                    let lost = front::event::Event::Feed { sent, feed: None };
                    self.after(timeout, Action::Front(entry, generation, lost));
                }
                Effect::Notice { address, notice } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let latency = self.latency(region, self.entries[other].region);
                    let generation = self.entries[other].generation;
                    let event = planner::event::Event::Notice(*notice);
                    if self.is_connected(region, self.entries[other].region) {
                        self.after(latency, Action::Planner(other, generation, event));
                    }
                }
                Effect::QueryLeader { address } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let latency = self.latency(region, self.entries[other].region);
                    let from = Requester::Entry(entry);
                    if self.is_connected(region, self.entries[other].region) {
                        self.after(latency, Action::QueryLeader { entry: other, from, generation });
                    }
                }
                Effect::Catalog(catalog) => {
                    self.planner_event(entry, generation, planner::event::Event::Catalog(catalog));
                }
                Effect::CatalogVerified { revision, at } => {
                    let event = planner::event::Event::CatalogVerified { revision, at };
                    self.planner_event(entry, generation, event);
                }
                Effect::Plan(term) => {
                    let options = planner::options::Options {
                        calls_outlive_incarnations: self.calls_outlive_incarnations,
                        ..planner_options(entry, self.policy, self.features, self.bounds)
                    };
                    let catalog = std::sync::Arc::new(
                        read_catalog(&Bytes::new(), 1).expect("the fake configuration is valid"),
                    );
                    let mut planner = Planner::new(options, term, catalog, self.moment());
                    planner.expect_entries(self.entries[entry].front.other_entries());
                    planner.expect_terms(self.entries[entry].front.seen_terms());
                    planner.expect_clocks(self.entries[entry].front.planner_clocks());
                    self.entries[entry].planner = Some(planner);
                    self.planner_event(entry, generation, planner::event::Event::Tick);
                }
                Effect::Resign => self.entries[entry].planner = None,
                Effect::Log(text) => self.log_line(&format!("e{entry} front: {text}")),
            }
        }
    }

    pub(super) fn planner_event(
        &mut self,
        entry: usize,
        generation: u64,
        event: planner::event::Event,
    ) {
        let now = self.moment();
        let node = &mut self.entries[entry];
        if node.generation != generation || !node.is_up {
            return;
        }
        let until = node.paused_until.max(node.held_until);
        if self.now < until {
            if !matches!(event, planner::event::Event::Tick) {
                self.at(until, Action::Planner(entry, generation, event));
            }
            return;
        }
        let Some(planner) = &mut node.planner else { return };
        planner.set_lease_expiry(node.front.lease_expires_at());
        let effects = planner.handle(now, event);
        self.planner_effects(entry, effects);
    }

    pub(super) fn planner_effects(&mut self, entry: usize, effects: Vec<planner::effect::Effect>) {
        use planner::effect::Effect;
        let region = self.entries[entry].region;
        for effect in effects {
            match effect {
                Effect::Orders(poll_id, orders) => self.send_orders(region, poll_id, Some(*orders)),
                Effect::Feed(poll_id, feed) => self.send_feed(region, poll_id, Some(feed)),
                Effect::Decline(poll_id) => {
                    self.send_orders(region, poll_id, None);
                    self.send_feed(region, poll_id, None);
                }
                Effect::Store(operation, call) => {
                    let Some(planner) = &self.entries[entry].planner else { continue };
                    let origin = Origin::Planner(planner.term(), operation);
                    self.send_store(entry, origin, call);
                }
                Effect::Inventory(_) => {
                    let page = planner::event::Event::Inventory(Some(self.read_inventory()));
                    let generation = self.entries[entry].generation;
                    self.after(STORE_LATENCY, Action::Planner(entry, generation, page));
                }
                Effect::Announce(addresses) => self.announce(entry, &addresses),
                Effect::Log(text) => self.log_line(&format!("e{entry} plan: {text}")),
                Effect::Deposed => {
                    let node = &mut self.entries[entry];
                    node.planner = None;
                    let effects = node.front.deposed(self.now);
                    self.front_effects(entry, effects);
                }
            }
        }
    }

    /// The platform's inventory of the VMs that are not gone for good.
    pub(super) fn inventory(&self) -> inventory::Page {
        let mut page = inventory::Page::default();
        for agent in (0..self.minions.len()).filter(|agent| !self.gone.contains(agent)) {
            if let Some(tenant) = self.tenant(agent) {
                page.add(format!("vm{agent}"), tenant);
            }
        }
        for number in 0..self.vacant_vms {
            page.add(format!("vacant{number}"), inventory::Tenant::None);
        }
        page
    }

    pub(super) fn announce(&mut self, entry: usize, addresses: &[String]) {
        let Some(leader) = self.entries[entry].front.leader().cloned() else { return };
        for address in addresses {
            let Some(agent) = address.strip_prefix('a').and_then(|text| text.parse().ok()) else {
                continue;
            };
            let node: &AgentNode = &self.agents[agent];
            let latency = self.latency(self.entries[entry].region, node.region);
            let event = runner::event::Event::Announced(leader.clone());
            let generation = node.generation;
            let is_connected = self.is_connected(self.entries[entry].region, node.region);
            if !node.is_isolated && is_connected {
                self.after(latency, Action::Runner(agent, generation, event));
            }
        }
    }

    pub(super) fn send_orders(&mut self, region: usize, poll_id: u64, orders: Option<Orders>) {
        let Some(PendingPoll::Agent { agent, generation, ticket }) =
            self.pending_polls.get(&poll_id).copied()
        else {
            return;
        };
        self.pending_polls.remove(&poll_id);
        let is_connected = self.is_connected(region, self.agents[agent].region);
        if self.agents[agent].is_isolated || !is_connected {
            return;
        }
        let latency = self.latency(region, self.agents[agent].region);
        let latency = self.answer_latency(agent, latency);
        let event = match orders {
            Some(orders) => runner::event::Event::Orders(ticket, Box::new(orders)),
            None => runner::event::Event::PollFailed { ticket, is_declined: true },
        };
        self.after(latency, Action::Runner(agent, generation, event));
    }

    pub(super) fn send_feed(
        &mut self,
        region: usize,
        poll_id: u64,
        feed: Option<Box<sapphire_jobs::Feed>>,
    ) {
        let Some(PendingPoll::Entry { entry, generation, sent }) =
            self.pending_polls.get(&poll_id).copied()
        else {
            return;
        };
        self.pending_polls.remove(&poll_id);
        if !self.is_connected(region, self.entries[entry].region) {
            return;
        }
        let latency = self.latency(region, self.entries[entry].region);
        let event = front::event::Event::Feed { sent, feed };
        self.after(latency, Action::Front(entry, generation, event));
    }

    pub(super) fn poll(
        &mut self,
        entry: usize,
        agent: usize,
        generation: u64,
        ticket: u64,
        poll: sapphire_jobs::Poll,
    ) {
        if self.agents[agent].is_isolated || !self.entries[entry].is_up {
            return;
        }
        self.last_sequence += 1;
        let poll_id = self.last_sequence;
        self.pending_polls.insert(poll_id, PendingPoll::Agent { agent, generation, ticket });
        let node = &self.entries[entry];
        if node.planner.is_none() {
            let region = node.region;
            self.send_orders(region, poll_id, None);
            return;
        }
        let generation = node.generation;
        self.planner_event(entry, generation, planner::event::Event::Poll(poll_id, Box::new(poll)));
    }

    pub(super) fn feed(
        &mut self,
        entry: usize,
        requesting: usize,
        generation: u64,
        poll: sapphire_jobs::FeedPoll,
        sent: Duration,
    ) {
        if !self.entries[entry].is_up {
            return;
        }
        self.last_sequence += 1;
        let poll_id = self.last_sequence;
        self.pending_polls
            .insert(poll_id, PendingPoll::Entry { entry: requesting, generation, sent });
        let node = &self.entries[entry];
        if node.planner.is_none() {
            let region = node.region;
            self.send_feed(region, poll_id, None);
            return;
        }
        let generation = node.generation;
        self.planner_event(entry, generation, planner::event::Event::Feed(poll_id, poll));
    }

    /// Answers a query for the current leader, if the entry knows it.
    pub(super) fn leader(&mut self, entry: usize, from: Requester, generation: u64) {
        let node = &self.entries[entry];
        if !node.is_up || self.now < node.paused_until.max(node.held_until) {
            return;
        }
        let Some(leader): Option<Lead> = node.front.leader().cloned() else { return };
        match from {
            Requester::Entry(requesting) => {
                let latency = self.latency(node.region, self.entries[requesting].region);
                let event = front::event::Event::Leader(leader);
                if self.is_connected(node.region, self.entries[requesting].region) {
                    self.after(latency, Action::Front(requesting, generation, event));
                }
            }
            Requester::Agent(agent) => {
                let latency = self.latency(node.region, self.agents[agent].region);
                let event = runner::event::Event::Leader(leader);
                let is_connected = self.is_connected(node.region, self.agents[agent].region);
                if !self.agents[agent].is_isolated && is_connected {
                    self.after(latency, Action::Runner(agent, generation, event));
                }
            }
        }
    }
}
