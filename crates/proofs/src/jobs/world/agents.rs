//! What agents ask for.

use sapphire_runner as runner;

use super::{Action, Asker, LOCAL, Request, World};

impl World {
    pub(super) fn tell_agent(&mut self, agent: usize, life: u64, event: runner::event::Event) {
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
        if let runner::event::Event::Heartbeat(beat) = &event {
            let minion = &mut self.minions[agent];
            if beat.incarnation.is_draining && beat.incarnation == minion.incarnation {
                minion.told.get_or_insert(self.now);
            }
        }
        for effect in node.machine.handle(self.now, event) {
            self.agent_effect(agent, effect);
        }
    }

    pub(super) fn agent_effect(&mut self, agent: usize, effect: runner::effect::Effect) {
        use runner::effect::Effect;
        let (life, region) = (self.agents[agent].life, self.agents[agent].region);
        match effect {
            Effect::CallMinion { ticket, call, timeout, minion_id: target, .. } => {
                let (life, sent, until) = (Some(life), self.now, self.now + timeout);
                let born_ms = self.minions[agent].incarnation.born_ms;
                let request = Request { agent, life, ticket, call, target, born_ms, sent, until };
                self.after(LOCAL, Action::Minion(Box::new(request)));
            }
            Effect::Poll { ticket, address, poll } => {
                let Some(entry) = Self::entry_of(&address) else { return };
                let latency = self.latency(region, self.entries[entry].region);
                self.after(latency, Action::Poll { entry, agent, life, ticket, poll });
                let lost = runner::event::Event::PollFailed { ticket, is_declined: false };
                let timeout = runner::options::POLL_TIMEOUT;
                self.after(timeout, Action::Runner(agent, life, lost));
            }
            Effect::QueryLeader { address } => {
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
}
