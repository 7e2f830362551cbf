//! What entries and their planners ask for, and the messages between them.

use std::time::Duration;

use bytes::Bytes;
use sapphire_front as front;
use sapphire_jobs::{Lead, Orders};
use sapphire_planner::{self as planner, planner::Planner};
use sapphire_runner as runner;

use super::{
    Action, AgentNode, Asker, ENTRY_TICK, Origin, Waiting, World,
    settings::{planner_options, read_catalog},
};

impl World {
    pub(super) fn entry_tick(&mut self, entry: usize, life: u64) {
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

    pub(super) fn tell_front(&mut self, entry: usize, life: u64, event: front::event::Event) {
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

    pub(super) fn front_effects(&mut self, entry: usize, effects: Vec<front::effect::Effect>) {
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
                Effect::QueryLeader { address } => {
                    let Some(other) = Self::entry_of(&address) else { continue };
                    let latency = self.latency(region, self.entries[other].region);
                    let asker = Asker::Entry(entry);
                    self.after(latency, Action::AskLead { entry: other, asker, life });
                }
                Effect::Catalog(catalog) => {
                    self.tell_planner(entry, life, planner::event::Event::Catalog(catalog));
                }
                Effect::CatalogVerified { revision, at } => {
                    let event = planner::event::Event::CatalogVerified { revision, at };
                    self.tell_planner(entry, life, event);
                }
                Effect::Plan(term) => {
                    let options = planner_options(entry, self.policy);
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

    pub(super) fn tell_planner(&mut self, entry: usize, life: u64, event: planner::event::Event) {
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

    pub(super) fn planner_effects(&mut self, entry: usize, effects: Vec<planner::effect::Effect>) {
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

    pub(super) fn announce(&mut self, entry: usize, addresses: &[String]) {
        let Some(lead) = self.entries[entry].front.leader().cloned() else { return };
        for address in addresses {
            let Some(agent) = address.strip_prefix('a').and_then(|text| text.parse().ok()) else {
                continue;
            };
            let node: &AgentNode = &self.agents[agent];
            let latency = self.latency(self.entries[entry].region, node.region);
            let event = runner::event::Event::Leader(lead.clone());
            let life = node.life;
            if !node.is_cut {
                self.after(latency, Action::Runner(agent, life, event));
            }
        }
    }

    pub(super) fn give_orders(&mut self, region: usize, asker: u64, orders: Option<Orders>) {
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
            None => runner::event::Event::PollFailed { ticket, is_declined: true },
        };
        self.after(latency, Action::Runner(agent, life, event));
    }

    pub(super) fn give_feed(
        &mut self,
        region: usize,
        asker: u64,
        feed: Option<Box<sapphire_jobs::Feed>>,
    ) {
        let Some(Waiting::Entry { entry, life, sent }) = self.askers.get(&asker).copied() else {
            return;
        };
        self.askers.remove(&asker);
        let latency = self.latency(region, self.entries[entry].region);
        let event = front::event::Event::Feed { sent, feed };
        self.after(latency, Action::Front(entry, life, event));
    }

    pub(super) fn poll(
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

    pub(super) fn feed(
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

    pub(super) fn ask_lead(&mut self, entry: usize, asker: Asker, life: u64) {
        let node = &self.entries[entry];
        if !node.is_up || self.now < node.frozen_until {
            return;
        }
        let Some(lead): Option<Lead> = node.front.leader().cloned() else { return };
        match asker {
            Asker::Entry(asking) => {
                let latency = self.latency(node.region, self.entries[asking].region);
                let event = front::event::Event::Leader(lead);
                self.after(latency, Action::Front(asking, life, event));
            }
            Asker::Agent(agent) => {
                let latency = self.latency(node.region, self.agents[agent].region);
                let event = runner::event::Event::Leader(lead);
                if !self.agents[agent].is_cut {
                    self.after(latency, Action::Runner(agent, life, event));
                }
            }
        }
    }
}
