//! Delivers events to the agents and carries out their effects.

use sapphire_runner as runner;

use super::{Action, LOCAL_LATENCY, Request, Requester, Simulation};

impl Simulation {
    pub(super) fn agent_event(
        &mut self,
        agent: usize,
        generation: u64,
        event: runner::event::Event,
    ) {
        let node = &mut self.agents[agent];
        if node.generation != generation || !node.is_up {
            return;
        }
        let until = node.paused_until.max(node.held_until);
        if self.now < until {
            if !matches!(event, runner::event::Event::Tick) {
                self.at(until, Action::Runner(agent, generation, event));
            }
            return;
        }
        if let runner::event::Event::Heartbeat(heartbeat) = &event {
            let minion = &mut self.minions[agent];
            if heartbeat.incarnation.is_draining && heartbeat.incarnation == minion.incarnation {
                minion.drain_reported_at.get_or_insert(self.now);
            }
        }
        for effect in node.machine.handle(self.now, event) {
            self.agent_effect(agent, effect);
        }
    }

    pub(super) fn agent_effect(&mut self, agent: usize, effect: runner::effect::Effect) {
        use runner::effect::Effect;
        let (generation, region) = (self.agents[agent].generation, self.agents[agent].region);
        match effect {
            Effect::CallMinion { ticket, call, timeout, minion_id: target, .. } => {
                let (generation, sent, timeout_at) =
                    (Some(generation), self.now, self.now + timeout);
                let born_ms = self.minions[agent].incarnation.born_ms;
                let request =
                    Request { agent, generation, ticket, call, target, born_ms, sent, timeout_at };
                self.after(LOCAL_LATENCY, Action::Minion(Box::new(request)));
            }
            Effect::Poll { ticket, address, poll } => {
                let Some(entry) = Self::entry_of(&address) else { return };
                let latency = self.latency(region, self.entries[entry].region);
                if self.is_connected(region, self.entries[entry].region) {
                    let latency = self.poll_latency(agent, latency);
                    self.after(latency, Action::Poll { entry, agent, generation, ticket, poll });
                }
                let lost = runner::event::Event::PollFailed { ticket, is_declined: false };
                let timeout = runner::options::POLL_TIMEOUT;
                self.after(timeout, Action::Runner(agent, generation, lost));
            }
            Effect::QueryLeader { address } => {
                let Some(entry) = Self::entry_of(&address) else { return };
                let is_connected = self.is_connected(region, self.entries[entry].region);
                if self.agents[agent].is_isolated || !is_connected {
                    return;
                }
                let latency = self.latency(region, self.entries[entry].region);
                let from = Requester::Agent(agent);
                self.after(latency, Action::QueryLeader { entry, from, generation });
            }
            Effect::Log(text) => self.log_line(&format!("a{agent} agent: {text}")),
            Effect::Exit => self.agents[agent].is_up = false,
        }
    }
}
