//! The agent's state machine: messages and worker events in, effects out.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{
    Announce, Answer, AnswerState, Applied, Bar, BarReply, Beat, Decide, Epoch, Evict, GangState,
    Heartbeat, HoldReply, HoldState, Lease, Load, Peer, Request, Slice, Stop, TaskState, Welcome,
    envelope, epoch, frame, id, peer, resource,
};

use crate::{
    contact, effect, effect::Effect, event::Event, following, gang, ledger, member, options, slots,
};

/// An entry of another region gets one heartbeat in so many: traffic between regions is paid
/// for by volume.
pub const FAR_HEARTBEAT: u64 = 4;

/// One agent.
pub struct Machine {
    options: options::Options,
    contacts: contact::Contacts,
    following: following::Following,
    ledger: ledger::Ledger,
    gangs: BTreeMap<id::Attempt, gang::Gang>,
    slots: slots::Slots,
    applied: Applied,
    told: Load,
    is_ready: bool,
    is_draining: bool,
    next_tick: Duration,
    /// Heartbeats sent so far.
    beats: u64,
    /// Messages to itself: the lead is a member of its own gang.
    local: Vec<frame::Body>,
    effects: Vec<Effect>,
}

impl Machine {
    /// Starts an agent. Until the worker has been reset it announces nothing and grants nothing:
    /// an earlier life of this agent may have left tasks running that this one can't know.
    pub fn new(now: Duration, options: options::Options) -> (Self, Vec<Effect>) {
        let capacity = options.worker.as_ref().map(resource::Amount::of_worker).unwrap_or_default();
        let slots = options.minion.as_ref().map_or(0, |minion| minion.slots);
        let machine = Machine {
            contacts: contact::Contacts::new(now, &options.entries),
            following: following::Following::default(),
            ledger: ledger::Ledger::new(capacity, options.term(), options.memory),
            gangs: BTreeMap::new(),
            slots: slots::Slots::new(slots, options.memory),
            applied: Applied::default(),
            told: Load::default(),
            is_ready: options.worker.is_none(),
            is_draining: false,
            next_tick: now,
            beats: 0,
            local: Vec::new(),
            effects: Vec::new(),
            options,
        };
        let effects = if machine.is_ready { Vec::new() } else { vec![Effect::ResetWorker] };
        (machine, effects)
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Frame(envelope) => self.frame(now, *envelope),
            Event::Tick => self.tick(now),
            Event::WorkerReset => self.is_ready = true,
            Event::TaskEnded(end) => {
                self.ledger.task_ended(now, &end.attempt, end.exit_code, &end.reason);
            }
            Event::Checkpointed(attempt) => {
                self.ledger.stop(now, &attempt, "its room was reclaimed");
            }
            Event::MinionAnswered(response) => self.minion_answered(now, response),
            Event::Drain => self.drain(),
        }
        self.settle(now);
        std::mem::take(&mut self.effects)
    }

    /// Free and borrowed room, as announced.
    pub fn load(&self) -> Load {
        let free = self.ledger.free();
        Load {
            free_accelerators: free.accelerators,
            borrowed_accelerators: self.ledger.borrowed(),
            free_processors: free.processors,
            free_memory_bytes: free.memory_bytes,
            free_slots: self.slots.free(),
            draining: self.is_draining || self.ledger.is_draining(),
        }
    }

    /// What the ledger holds, for tests and invariants.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Rules and bindings in force.
    pub fn applied(&self) -> Applied {
        self.applied
    }

    fn send(&mut self, to: &Peer, body: frame::Body) {
        if to.name == self.options.me.name {
            self.local.push(body);
            return;
        }
        let envelope = envelope::Envelope {
            from: self.options.me.clone(),
            to_generation: to.generation,
            body,
        };
        self.effects.push(Effect::Send { to: to.clone(), envelope: Box::new(envelope) });
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    /// Carries out what the ledger decided, and the messages to itself that follow from it.
    fn settle(&mut self, now: Duration) {
        loop {
            let changes = self.ledger.take_changes();
            let local = std::mem::take(&mut self.local);
            if changes.is_empty() && local.is_empty() {
                break;
            }
            for change in changes {
                self.change(now, change);
            }
            for body in local {
                let me = self.options.me.clone();
                self.body(now, &me, body);
            }
        }
    }

    fn change(&mut self, now: Duration, change: ledger::Change) {
        match change {
            ledger::Change::Reply(attempt, state, reason) => {
                let Some(planner) = self.planner_of(&attempt) else { return };
                let word = hold_word(state);
                self.log(format!("hold attempt={attempt} state={word} reason=\"{reason}\""));
                let mut reply = HoldReply { attempt, reason, ..HoldReply::default() };
                reply.set_state(state);
                self.send(&planner, frame::Body::HoldReply(reply));
            }
            ledger::Change::Start(attempt, lease) => self.start(now, &attempt, lease),
            ledger::Change::Renew(attempt, left) => {
                self.effects.push(Effect::RenewTasks(attempt, left));
            }
            ledger::Change::Evict(attempt, grace) => self.evict(&attempt, grace),
            ledger::Change::Stop(attempt) => self.effects.push(Effect::StopTasks(attempt)),
            ledger::Change::Ended(attempt) => {
                self.log_end(&attempt);
                self.beat(now, &attempt);
            }
        }
    }

    fn log_end(&mut self, attempt: &str) {
        let Some(member) = self.ledger.members().get(attempt) else { return };
        let how = match member.state() {
            TaskState::TaskBarred => "never-started".to_owned(),
            TaskState::TaskExited => format!("exited code={}", member.exit_code()),
            _ => "stopped".to_owned(),
        };
        let line = format!("ended attempt={attempt} how={how} reason=\"{}\"", member.reason);
        self.log(line);
    }

    fn planner_of(&self, attempt: &str) -> Option<Peer> {
        let member = self.ledger.members().get(attempt);
        let planner = member.map(|member| member.planner.clone());
        planner.filter(|planner| !planner.name.is_empty()).or(self.following.planner().cloned())
    }

    fn start(&mut self, now: Duration, attempt: &str, lease: Duration) {
        let Some(member) = self.ledger.get_mut(attempt) else { return };
        let run = effect::Run {
            attempt: attempt.to_owned(),
            tasks: member.tasks,
            accelerators: member.need.accelerators,
            command: member.command.clone(),
            lease,
        };
        self.effects.push(Effect::RunTasks(run));
        self.log(format!("start attempt={attempt}"));
        self.beat(now, attempt);
    }

    fn evict(&mut self, attempt: &str, grace: Duration) {
        let Some(lead) = self.ledger.get_mut(attempt).map(|member| member.lead.clone()) else {
            return;
        };
        self.log(format!("evict attempt={attempt} grace={grace:?}"));
        self.effects.push(Effect::CheckpointTasks(attempt.to_owned()));
        let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        let evict = Evict { attempt: attempt.to_owned(), grace_ms };
        self.send(&lead, frame::Body::Evict(evict));
    }

    fn beat(&mut self, now: Duration, attempt: &str) {
        let Some(member) = self.ledger.get_mut(attempt) else { return };
        let lead = member.lead.clone();
        if lead.name.is_empty() {
            return;
        }
        let mut beat = Beat {
            attempt: attempt.to_owned(),
            sequence: member.beat(now),
            exit_code: member.exit_code(),
            reason: member.reason.clone(),
            ..Beat::default()
        };
        beat.set_state(member.state());
        self.send(&lead, frame::Body::Beat(beat));
    }

    /// Takes a message. One that was meant for an earlier life of this process is dropped: its
    /// sender relies on what that life knew.
    fn frame(&mut self, now: Duration, envelope: envelope::Envelope) {
        let mine = self.options.me.generation;
        if envelope.to_generation != 0 && envelope.to_generation != mine {
            return;
        }
        self.body(now, &envelope.from, envelope.body);
    }

    fn body(&mut self, now: Duration, from: &Peer, body: frame::Body) {
        match body {
            frame::Body::Welcome(welcome) => self.welcome(now, from, welcome),
            frame::Body::Slice(slice) => self.slice(from, slice),
            frame::Body::Hold(hold) => self.hold(now, from, hold),
            frame::Body::Decide(decide) => self.decide(now, from, decide),
            frame::Body::Lease(lease) => self.lease(now, from, lease),
            frame::Body::Beat(beat) => self.member_beat(now, from, beat),
            frame::Body::Stop(stop) => {
                self.ledger.bar(now, &stop.attempt, &stop.reason);
            }
            frame::Body::Evict(evict) => self.evicted(now, evict),
            frame::Body::Bar(bar) => self.bar(now, from, bar),
            frame::Body::Request(request) => self.request(now, from, request),
            _ => {}
        }
    }

    fn obeys(&mut self, from: &Peer, epoch: Option<&Epoch>) -> bool {
        let Some(epoch) = epoch else { return false };
        let is_new = self.following.epoch() != Some(epoch);
        let obeys = self.following.obeys(from, epoch);
        if obeys && is_new {
            self.log(format!("follows planner={} epoch={}", from.name, epoch::text(epoch)));
        }
        obeys
    }

    fn welcome(&mut self, now: Duration, from: &Peer, welcome: Welcome) {
        self.contacts.hear(now, from, &welcome.region);
        for entry in &welcome.entries {
            self.contacts.learn(now, entry);
        }
        if welcome.announce_again {
            self.contacts.want(&from.address);
        }
        if let Some(epoch) = &welcome.planner {
            self.obeys(from, Some(epoch));
        }
    }

    /// Puts the worker's part of the rules in force; never an older one than it has.
    ///
    /// Guards against a planner that was frozen and, on waking, binds guarantees as if all
    /// workers were lost: its term is below its successor's, whose slice counts as newer
    /// whatever the versions are. Rules themselves never go back, by whichever planner.
    fn slice(&mut self, from: &Peer, slice: Slice) {
        if !self.obeys(from, slice.epoch.as_ref()) {
            return;
        }
        let Some(applied) = slice.applied else { return };
        let order = |of: &Applied| (of.term, of.rules, of.bindings);
        if applied.rules < self.applied.rules || order(&applied) <= order(&self.applied) {
            return;
        }
        if let Err(reason) = self.ledger.apply(&slice) {
            self.log(format!("slice refused rules={} reason=\"{reason}\"", applied.rules));
            return;
        }
        self.applied = applied;
        self.log(format!("in force rules={} bindings={}", applied.rules, applied.bindings));
        self.heartbeat();
    }

    fn hold(&mut self, now: Duration, from: &Peer, hold: sapphire_wire::Hold) {
        if !self.obeys(from, hold.epoch.as_ref()) {
            let mut reply = HoldReply { attempt: hold.attempt, ..HoldReply::default() };
            reply.reason = "another planner is followed here".to_owned();
            self.send(from, frame::Body::HoldReply(reply));
            return;
        }
        self.ledger.hold(now, &hold, from);
    }

    /// Records the decision to run a gang, if this agent still holds its own part of it.
    fn decide(&mut self, now: Duration, from: &Peer, decide: Decide) {
        if !self.obeys(from, decide.epoch.as_ref()) || self.gangs.contains_key(&decide.attempt) {
            return;
        }
        let phase = self.ledger.members().get(&decide.attempt).map(|member| &member.phase);
        let holds = matches!(phase, Some(member::Phase::Held { until }) if now < *until);
        if !holds {
            self.log(format!("decision refused attempt={} reason=\"not held\"", decide.attempt));
            return;
        }
        let (gang, sends) = gang::Gang::decide(now, &decide.members);
        self.log(format!("decided attempt={} members={}", decide.attempt, decide.members.len()));
        self.gangs.insert(decide.attempt.clone(), gang);
        self.send_gang(&decide.attempt, sends);
    }

    fn send_gang(&mut self, attempt: &str, sends: Vec<gang::Send>) {
        let attempt = attempt.to_owned();
        for send in sends {
            let attempt = attempt.clone();
            match send {
                gang::Send::Lease(to, beat) => {
                    self.send(&to, frame::Body::Lease(Lease { attempt, beat }));
                }
                gang::Send::Evict(to) => {
                    let evict = Evict { attempt, grace_ms: 0 };
                    self.send(&to, frame::Body::Evict(evict));
                }
                gang::Send::Stop(to, reason) => {
                    self.send(&to, frame::Body::Stop(Stop { attempt, reason }));
                }
            }
        }
    }

    fn lease(&mut self, now: Duration, from: &Peer, lease: Lease) {
        let state = self.ledger.lease(now, &lease.attempt, lease.beat);
        if state != TaskState::TaskUnknown {
            return;
        }
        let mut beat = Beat { attempt: lease.attempt, ..Beat::default() };
        beat.reason = "never held here".to_owned();
        beat.set_state(TaskState::TaskUnknown);
        self.send(from, frame::Body::Beat(beat));
    }

    fn member_beat(&mut self, now: Duration, from: &Peer, beat: Beat) {
        let lease = self.options.term();
        let Some(gang) = self.gangs.get_mut(&beat.attempt) else {
            let reason = "the lead knows no such gang".to_owned();
            let stop = Stop { attempt: beat.attempt, reason };
            self.send(from, frame::Body::Stop(stop));
            return;
        };
        let before = (gang.has_started(), gang.report(now, lease, &beat.attempt).state());
        let sends = gang.beat(now, lease, from, &beat);
        let after = (gang.has_started(), gang.report(now, lease, &beat.attempt).state());
        self.send_gang(&beat.attempt, sends);
        if before != after {
            self.report(now, &beat.attempt);
        }
    }

    /// A member asks the lead, or the lead asks a member, to checkpoint and end.
    fn evicted(&mut self, now: Duration, evict: Evict) {
        if let Some(gang) = self.gangs.get_mut(&evict.attempt) {
            let sends = gang.evict();
            self.send_gang(&evict.attempt, sends);
        }
        self.ledger.evict(now, &evict.attempt);
    }

    fn bar(&mut self, now: Duration, from: &Peer, bar: Bar) {
        let state = match &bar.epoch {
            None => self.slots.bar(now, &bar.attempt),
            Some(_) if !self.obeys(from, bar.epoch.as_ref()) => return,
            Some(_) => self.bar_gang(now, &bar.attempt),
        };
        let mut reply = BarReply { attempt: bar.attempt, ..BarReply::default() };
        reply.set_state(state);
        self.send(from, frame::Body::BarReply(reply));
    }

    fn bar_gang(&mut self, now: Duration, attempt: &str) -> TaskState {
        let lease = self.options.term();
        if let Some(gang) = self.gangs.get_mut(attempt) {
            let report = gang.report(now, lease, attempt);
            if report.state() == GangState::GangRunning {
                let sends = gang.stop_all("the planner stopped it");
                self.send_gang(attempt, sends);
            } else {
                self.gangs.remove(attempt);
            }
        }
        self.ledger.bar(now, attempt, "the planner stopped it")
    }

    fn request(&mut self, now: Duration, from: &Peer, request: Request) {
        let attempt = request.attempt.clone();
        match self.slots.take(now, request, from) {
            slots::Decision::Taken(request) => self.ask_minion(request),
            slots::Decision::Nothing => {}
            slots::Decision::Refused(reason) => {
                let free_slots = self.slots.free();
                let answer = Answer { attempt, reason, free_slots, ..Answer::default() };
                self.send(from, frame::Body::Answer(answer));
            }
        }
    }

    fn ask_minion(&mut self, request: Request) {
        let call = effect::Call {
            attempt: request.attempt,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            left: Duration::from_millis(request.left_ms),
        };
        self.effects.push(Effect::AskMinion(call));
    }

    fn minion_answered(&mut self, now: Duration, response: effect::Response) {
        let Some(caller) = self.slots.release(now, &response.attempt) else { return };
        let mut answer = Answer { attempt: response.attempt, ..Answer::default() };
        match response.answer {
            Ok(whole) => {
                answer.set_state(AnswerState::AnswerWhole);
                answer.status = whole.status;
                answer.headers = whole.headers;
                answer.body = whole.body;
            }
            Err(failure) => {
                let unseen = failure.is_unseen;
                let interrupted = AnswerState::AnswerInterrupted;
                answer.set_state(if unseen { AnswerState::AnswerNotRun } else { interrupted });
                answer.reason = failure.reason;
            }
        }
        while let Some(request) = self.slots.next(now) {
            self.ask_minion(request);
        }
        answer.free_slots = self.slots.free();
        self.send(&caller, frame::Body::Answer(answer));
    }

    fn drain(&mut self) {
        if !self.is_draining {
            self.log("drain begins".to_owned());
        }
        self.is_draining = true;
        self.ledger.drain();
        self.slots.drain();
    }

    fn tick(&mut self, now: Duration) {
        self.ledger.tick(now);
        self.slots.tick(now);
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + self.options.heartbeat;
        self.beat_members(now);
        self.tick_gangs(now);
        if self.is_ready {
            self.heartbeat();
        }
        self.contacts.forget_silent(now, self.options.silence);
        if self.is_draining && self.is_idle() {
            self.effects.push(Effect::Exit);
        }
    }

    fn is_idle(&self) -> bool {
        self.ledger.live().is_empty() && self.gangs.is_empty() && self.slots.busy() == 0
    }

    fn beat_members(&mut self, now: Duration) {
        let due: Vec<id::Attempt> = self
            .ledger
            .members()
            .iter()
            .filter(|(_, member)| match member.state() {
                TaskState::TaskHeld => false,
                TaskState::TaskRunning => true,
                _ => !member.is_acknowledged,
            })
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in due {
            self.beat(now, &attempt);
        }
    }

    fn tick_gangs(&mut self, now: Duration) {
        let attempts: Vec<id::Attempt> = self.gangs.keys().cloned().collect();
        for attempt in attempts {
            if let Some(gang) = self.gangs.get_mut(&attempt) {
                let sends = gang.tick(now, self.options.term());
                self.send_gang(&attempt, sends);
                self.report(now, &attempt);
            }
        }
    }

    fn report(&mut self, now: Duration, attempt: &str) {
        let Some(gang) = self.gangs.get(attempt) else { return };
        let report = gang.report(now, self.options.term(), attempt);
        if let Some(planner) = self.following.planner().cloned() {
            self.send(&planner, frame::Body::Report(report));
        }
    }

    /// Tells every entry what changed; announces to those that don't know this life.
    fn heartbeat(&mut self) {
        let load = self.load();
        let delta = (load != self.told).then_some(load);
        self.told = load;
        let heartbeat = Heartbeat { load: delta, applied: Some(self.applied) };
        let announce = Announce {
            region: self.options.region.clone(),
            zone: self.options.zone.clone(),
            worker: self.options.worker.clone(),
            minion: self.options.minion.clone(),
            load: Some(load),
            applied: Some(self.applied),
        };
        let mut sends = Vec::new();
        self.beats += 1;
        for contact in self.contacts.iter_mut() {
            let is_far = !contact.region.is_empty() && contact.region != self.options.region;
            if is_far && !self.beats.is_multiple_of(FAR_HEARTBEAT) {
                continue;
            }
            let body = if std::mem::take(&mut contact.wants_announcement) {
                frame::Body::Announce(announce.clone())
            } else if is_far {
                // It missed the heartbeats before this one, and what changed with them.
                frame::Body::Heartbeat(Heartbeat { load: Some(load), ..heartbeat })
            } else {
                frame::Body::Heartbeat(heartbeat)
            };
            sends.push((peer::new(&contact.peer.name, &contact.peer.address, 0), body));
        }
        for (to, body) in sends {
            self.send(&to, body);
        }
    }
}

fn hold_word(state: HoldState) -> &'static str {
    match state {
        HoldState::HoldGranted => "granted",
        HoldState::HoldEvicting => "evicting",
        HoldState::HoldRefused => "refused",
    }
}
