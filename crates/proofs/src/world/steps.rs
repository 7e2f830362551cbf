//! Messages that arrive, time that passes, and what processes do then.

use std::time::Duration;

use rand::RngExt as _;
use sapphire_agent as agent;
use sapphire_entry as entry;

use super::{Flight, LEASE, STEP, TICK, World, take_inbox};

impl World {
    pub(super) fn step(&mut self) {
        self.deliver();
        self.step_store();
        self.step_workers();
        self.tick();
        let lease = LEASE;
        let now = self.now;
        self.check.step(now, lease, &self.agents, &self.entries);
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let due = self.flights.extract_if(.., |flight| flight.at <= now);
        let mut due: Vec<Flight> = due.collect();
        due.sort_by_key(|flight| flight.at);
        for flight in due {
            self.arrive(flight);
        }
        let names: Vec<String> = self.entries.keys().chain(self.agents.keys()).cloned().collect();
        for name in names {
            self.read_inbox(&name);
        }
    }

    pub(super) fn arrive(&mut self, flight: Flight) {
        if let Some(process) = self.entries.get_mut(&flight.to) {
            process.inbox.push_back(flight.envelope);
        } else if let Some(guarded) = self.agents.get_mut(&flight.to) {
            guarded.process.inbox.push_back(flight.envelope);
        }
    }

    /// Gives a running process the messages that wait for it. One that is down loses them.
    pub(super) fn read_inbox(&mut self, name: &str) {
        let now = self.now;
        if self.wakes_first(name) {
            return;
        }
        if let Some(process) = self.entries.get_mut(name) {
            let messages = take_inbox(process, now);
            for envelope in messages {
                self.entry_event(name, entry::event::Event::Frame(Box::new(envelope)));
            }
        } else if let Some(guarded) = self.agents.get_mut(name) {
            let messages = take_inbox(&mut guarded.process, now);
            for envelope in messages {
                self.agent_event(name, agent::event::Event::Frame(Box::new(envelope)));
            }
        }
    }

    /// Whether a process that was frozen looks at its clock before it reads its messages: it
    /// may, and then knows nothing of what happened meanwhile.
    pub(super) fn wakes_first(&mut self, name: &str) -> bool {
        let until = match (self.entries.get(name), self.agents.get(name)) {
            (Some(process), _) => process.paused_until,
            (_, Some(guarded)) => guarded.process.paused_until,
            _ => return false,
        };
        let has_just_woken =
            until > Duration::ZERO && self.now >= until && self.now <= until + STEP;
        has_just_woken && self.chance(500)
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
            let Some(guarded) = self.agents.get_mut(&name) else { continue };
            if now >= guarded.process.next_tick {
                guarded.process.next_tick = now + TICK;
                self.agent_event(&name, agent::event::Event::Tick);
            }
        }
    }

    pub(super) fn step_workers(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(guarded) = self.agents.get_mut(&name) else { continue };
            let ends = guarded.worker.step(now);
            let due = guarded.pending.extract_if(.., |(at, _)| *at <= now);
            let due: Vec<_> = due.map(|(_, response)| response).collect();
            for end in &ends {
                self.tell(&format!("{name} worker: {} {}", end.attempt, end.reason));
            }
            let ends = ends.into_iter().map(agent::event::Event::TaskEnded);
            let answers = due.into_iter().map(agent::event::Event::MinionAnswered);
            self.agent_events(&name, ends.chain(answers).collect());
        }
    }

    pub(super) fn entry_event(&mut self, name: &str, event: entry::event::Event) {
        let now = self.now;
        let Some(process) = self.entries.get_mut(name) else { return };
        if !process.runs(now) {
            return;
        }
        let Some(machine) = &mut process.machine else { return };
        let effects = machine.handle(now, event);
        self.entry_effects(name, effects);
    }

    /// Gives an agent what its worker and minion say, now or when it runs again.
    pub(super) fn agent_events(&mut self, name: &str, events: Vec<agent::event::Event>) {
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        guarded.backlog.extend(events);
        if guarded.process.runs(now) {
            for event in std::mem::take(&mut guarded.backlog) {
                self.agent_event(name, event);
            }
        }
    }

    pub(super) fn agent_event(&mut self, name: &str, event: agent::event::Event) {
        let now = self.now;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        if !guarded.process.runs(now) {
            return;
        }
        let Some(machine) = &mut guarded.process.machine else { return };
        let effects = machine.handle(now, event);
        self.agent_effects(name, effects);
    }

    pub(super) fn entry_effects(&mut self, name: &str, effects: Vec<entry::effect::Effect>) {
        use entry::effect::Effect;
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
                Effect::Store(operation, call) => self.send_store(name, operation, call),
                Effect::Answer(caller, answer) => self.answered(caller, answer),
                Effect::Log(line) => {
                    let is_chatter = line.text.contains("announced");
                    if !is_chatter {
                        self.tell(&format!("{name} {}: {}", line.part, line.text));
                    }
                }
                Effect::Exit => {
                    self.tell(&format!("{name} exits"));
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
        let Some(guarded) = self.agents.get_mut(name) else { return };
        match effect {
            Effect::Send { to, envelope } => self.send(name, &to.address, *envelope),
            Effect::ResetWorker => {
                guarded.worker.stop_all(now);
                self.agent_event(name, Event::WorkerReset);
            }
            Effect::RunTasks(run) => {
                guarded.worker.run(now, &run);
                self.check.started(now, &run.attempt, name, run.tasks);
                self.tell(&format!("{name} worker: starts {}", run.attempt));
            }
            Effect::RenewTasks(attempt, lease) => {
                if !guarded.worker.renew(now, &attempt, lease) {
                    let reason = "the worker no longer runs it".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code: None, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::CheckpointTasks(attempt) => {
                if !guarded.worker.is_deaf {
                    self.agent_event(name, Event::Checkpointed(attempt));
                }
            }
            Effect::StopTasks(attempt) => {
                let has_exited =
                    guarded.worker.tasks.get(&attempt).is_some_and(|task| task.has_exited);
                if guarded.worker.stop(now, &attempt) {
                    let exit_code = has_exited.then_some(0);
                    let reason = "stopped".to_owned();
                    let end = agent::event::TaskEnd { attempt, exit_code, reason };
                    self.agent_event(name, Event::TaskEnded(end));
                }
            }
            Effect::CallMinion(call) => self.ask_minion(name, &call),
            Effect::Log(text) => self.tell(&format!("{name} agent: {text}")),
            Effect::Exit => {
                self.tell(&format!("{name} exits"));
                if let Some(guarded) = self.agents.get_mut(name) {
                    guarded.process.machine = None;
                }
            }
        }
    }

    pub(super) fn ask_minion(&mut self, name: &str, call: &agent::effect::Call) {
        let wait = Duration::from_millis(self.rng.random_range(5..300));
        let at = self.now + wait;
        let Some(guarded) = self.agents.get_mut(name) else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        *guarded.served.entry(body).or_default() += 1;
        let whole =
            agent::effect::Answer { status: 200, headers: Vec::new(), body: call.body.clone() };
        let response = agent::effect::Response { attempt: call.attempt.clone(), result: Ok(whole) };
        guarded.pending.push((at, response));
    }
}
