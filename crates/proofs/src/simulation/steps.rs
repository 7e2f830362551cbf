//! Advances the simulation step by step: delivers messages and events to the processes and carries
//! out their effects.

use std::time::Duration;

use rand::RngExt as _;
use sapphire_agent as agent;
use sapphire_entry as entry;

use super::{InFlight, LEASE, STEP, Simulation, TICK, take_inbox};

impl Simulation {
    pub(super) fn step(&mut self) {
        self.deliver();
        self.advance_store_calls();
        self.advance_workers();
        self.tick();
        let lease = LEASE;
        let now = self.now;
        self.check.check_step(now, lease, &self.agents, &self.entries);
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let due = self.in_transit.extract_if(.., |message| message.at <= now);
        let mut due: Vec<InFlight> = due.collect();
        due.sort_by_key(|message| message.at);
        for message in due {
            self.arrive(message);
        }
        let names: Vec<String> = self.entries.keys().chain(self.agents.keys()).cloned().collect();
        for name in names {
            self.read_inbox(&name);
        }
    }

    pub(super) fn arrive(&mut self, message: InFlight) {
        if let Some(process) = self.entries.get_mut(&message.to) {
            process.inbox.push_back(message.envelope);
        } else if let Some(host) = self.agents.get_mut(&message.to) {
            host.process.inbox.push_back(message.envelope);
        }
    }

    /// Delivers the waiting messages to a running process; a process that is down loses them.
    pub(super) fn read_inbox(&mut self, name: &str) {
        let now = self.now;
        if self.ticks_before_messages(name) {
            return;
        }
        if let Some(process) = self.entries.get_mut(name) {
            let messages = take_inbox(process, now);
            for envelope in messages {
                self.entry_event(name, entry::event::Event::Frame(Box::new(envelope)));
            }
        } else if let Some(host) = self.agents.get_mut(name) {
            let messages = take_inbox(&mut host.process, now);
            for envelope in messages {
                self.agent_event(name, agent::event::Event::Frame(Box::new(envelope)));
            }
        }
    }

    /// Whether a process that has just resumed reads its clock before its messages. Either can
    /// happen; if it does, the process acts without knowing what happened during the pause.
    pub(super) fn ticks_before_messages(&mut self, name: &str) -> bool {
        let until = match (self.entries.get(name), self.agents.get(name)) {
            (Some(process), _) => process.paused_until,
            (_, Some(host)) => host.process.paused_until,
            _ => return false,
        };
        let has_just_resumed =
            until > Duration::ZERO && self.now >= until && self.now <= until + STEP;
        has_just_resumed && self.chance(500)
    }

    pub(super) fn tick(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for name in names {
            let Some(process) = self.entries.get_mut(&name) else { continue };
            if now >= process.next_tick {
                process.next_tick = now + TICK;
                self.entry_event(&name, entry::event::Event::Tick);
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(host) = self.agents.get_mut(&name) else { continue };
            if now >= host.process.next_tick {
                host.process.next_tick = now + TICK;
                self.agent_event(&name, agent::event::Event::Tick);
            }
        }
    }

    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(host) = self.agents.get_mut(&name) else { continue };
            let ends = host.worker.advance(now);
            let due = host.pending.extract_if(.., |(at, _)| *at <= now);
            let due: Vec<_> = due.map(|(_, response)| response).collect();
            for end in &ends {
                self.record(&format!("{name} worker: {} {}", end.attempt, end.reason));
            }
            let ends = ends.into_iter().map(agent::event::Event::TaskEnded);
            let answers = due.into_iter().map(agent::event::Event::MinionAnswered);
            self.agent_events(&name, ends.chain(answers).collect());
        }
    }

    pub(super) fn entry_event(&mut self, name: &str, event: entry::event::Event) {
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        if !process.is_running(now) {
            return;
        }
        let Some(machine) = &mut process.machine else { return };
        let effects = machine.handle(now, event);
        self.entry_effects(name, effects);
    }

    /// Delivers events of the worker and the minion to the agent, now or when it runs again.
    pub(super) fn agent_events(&mut self, name: &str, events: Vec<agent::event::Event>) {
        let now = self.now;
        let Some(host) = self.agents.get_mut(name) else { return };
        host.backlog.extend(events);
        if host.process.is_running(now) {
            for event in std::mem::take(&mut host.backlog) {
                self.agent_event(name, event);
            }
        }
    }

    pub(super) fn agent_event(&mut self, name: &str, event: agent::event::Event) {
        let now = self.now;
        let Some(host) = self.agents.get_mut(name) else { return };
        if !host.process.is_running(now) {
            return;
        }
        let Some(machine) = &mut host.process.machine else { return };
        let effects = machine.handle(now, event);
        self.agent_effects(name, effects);
    }

    pub(super) fn entry_effects(&mut self, name: &str, effects: Vec<entry::effect::Effect>) {
        use entry::effect::Effect;
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
                Effect::Store(operation, call) => self.send_store(name, operation, call),
                Effect::Answer(caller, answer) => self.record_answer(caller, answer),
                Effect::Log(line) => {
                    let is_routine = line.text.contains("announced");
                    if !is_routine {
                        self.record(&format!("{name} {}: {}", line.part, line.text));
                    }
                }
                Effect::Exit => {
                    self.record(&format!("{name} exits"));
                    if let Some(process) = self.entries.get_mut(name) {
                        process.machine = None;
                    }
                }
            }
        }
    }

    pub(super) fn agent_effects(&mut self, name: &str, effects: Vec<agent::effect::Effect>) {
        for effect in effects {
            self.agent_effect(name, effect);
        }
    }

    pub(super) fn agent_effect(&mut self, name: &str, effect: agent::effect::Effect) {
        use agent::{effect::Effect, event::Event};
        let now = self.now;
        let Some(host) = self.agents.get_mut(name) else { return };
        match effect {
            Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
            Effect::ResetWorker => {
                host.worker.stop_all(now);
                self.agent_event(name, Event::WorkerReset);
            }
            Effect::RunTasks(run) => {
                host.worker.run(now, &run);
                self.check.check_start(now, &run.attempt, name, run.tasks);
                self.record(&format!("{name} worker: starts {}", run.attempt));
            }
            Effect::RenewTasks(attempt, lease) => {
                if !host.worker.renew(now, &attempt, lease) {
                    let reason = "the worker no longer runs it".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code: None, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::CheckpointTasks(attempt) => {
                if !host.worker.ignores_stops {
                    self.agent_event(name, Event::Checkpointed(attempt));
                }
            }
            Effect::StopTasks(attempt) => {
                let has_exited =
                    host.worker.tasks.get(&attempt).is_some_and(|task| task.has_exited);
                if host.worker.stop(now, &attempt) {
                    let exit_code = has_exited.then_some(0);
                    let reason = "stopped".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::CallMinion(call) => self.call_minion(name, &call),
            Effect::Log(text) => self.record(&format!("{name} agent: {text}")),
            Effect::Exit => {
                self.record(&format!("{name} exits"));
                if let Some(host) = self.agents.get_mut(name) {
                    host.process.machine = None;
                }
            }
        }
    }

    pub(super) fn call_minion(&mut self, name: &str, call: &agent::effect::Call) {
        let wait = Duration::from_millis(self.rng.random_range(5..300));
        let at = self.now + wait;
        let Some(host) = self.agents.get_mut(name) else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        *host.served.entry(body).or_default() += 1;
        let echo =
            agent::effect::Answer { status: 200, headers: Vec::new(), body: call.body.clone() };
        let response = agent::effect::Response { attempt: call.attempt.clone(), result: Ok(echo) };
        host.pending.push((at, response));
    }
}
