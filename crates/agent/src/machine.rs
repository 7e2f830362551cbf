//! The agent's state machine: handles messages and events of the worker and minion, and returns
//! effects.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{
    Announce, Answer, AnswerState, Applied, Bar, BarReply, Beat, Decide, Epoch, Evict, GangState,
    Heartbeat, HoldReply, HoldState, Lease, Load, Peer, Request, Slice, Stop, TaskState, Welcome,
    envelope, epoch, frame, id, peer, resource,
};

use crate::{
    contact, effect, effect::Effect, event::Event, gang, ledger, member, options, planner, slots,
};

/// Entries of other regions get only every n-th heartbeat, since traffic between regions is charged
/// by volume.
pub const REMOTE_HEARTBEAT_INTERVAL: u64 = 4;

/// State of an agent.
pub struct Machine {
    options: options::Options,
    contacts: contact::Contacts,
    planner: planner::Tracker,
    ledger: ledger::Ledger,
    gangs: BTreeMap<id::Attempt, gang::Gang>,
    slots: slots::Slots,
    applied: Applied,
    reported_load: Load,
    is_ready: bool,
    is_draining: bool,
    next_tick: Duration,
    /// Number of heartbeats sent so far.
    heartbeats_sent: u64,
    /// Messages to this agent itself: the coordinator is a member of its own gang.
    local_messages: Vec<frame::Body>,
    effects: Vec<Effect>,
}

impl Machine {
    /// Starts an agent. Until the worker has been reset it neither announces itself nor grants
    /// holds: an earlier process of this agent may have left tasks running that this one can't
    /// know.
    pub fn new(now: Duration, options: options::Options) -> (Self, Vec<Effect>) {
        let capacity = options.worker.as_ref().map(resource::Amount::of_worker).unwrap_or_default();
        let slots = options.minion.as_ref().map_or(0, |minion| minion.slots);
        let machine = Machine {
            contacts: contact::Contacts::new(now, &options.entries),
            planner: planner::Tracker::default(),
            ledger: ledger::Ledger::new(capacity, options.member_lease(), options.ended_retention),
            gangs: BTreeMap::new(),
            slots: slots::Slots::new(slots, options.ended_retention),
            applied: Applied::default(),
            reported_load: Load::default(),
            is_ready: options.worker.is_none(),
            is_draining: false,
            next_tick: now,
            heartbeats_sent: 0,
            local_messages: Vec::new(),
            effects: Vec::new(),
            options,
        };
        let effects = if machine.is_ready { Vec::new() } else { vec![Effect::ResetWorker] };
        (machine, effects)
    }

    /// Handles one event and returns the resulting effects.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Frame(envelope) => self.handle_envelope(now, *envelope),
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
        self.process_changes(now);
        std::mem::take(&mut self.effects)
    }

    /// Free and borrowed resources, as reported in heartbeats.
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

    /// The ledger, for tests and for checks of invariants.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Rules and bindings in force.
    pub fn applied(&self) -> Applied {
        self.applied
    }

    fn send(&mut self, to: &Peer, body: frame::Body) {
        if to.name == self.options.identity.name {
            self.local_messages.push(body);
            return;
        }
        let envelope = envelope::Envelope {
            from: self.options.identity.clone(),
            to_generation: to.generation,
            body,
        };
        self.effects.push(Effect::Send { to: to.clone(), envelope: Box::new(envelope) });
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    /// Carries out the decisions of the ledger, and handles the messages to this agent itself that
    /// result from them.
    fn process_changes(&mut self, now: Duration) {
        loop {
            let changes = self.ledger.take_changes();
            let local_messages = std::mem::take(&mut self.local_messages);
            if changes.is_empty() && local_messages.is_empty() {
                break;
            }
            for change in changes {
                self.apply_change(now, change);
            }
            for body in local_messages {
                let identity = self.options.identity.clone();
                self.handle_message(now, &identity, body);
            }
        }
    }

    fn apply_change(&mut self, now: Duration, change: ledger::Change) {
        match change {
            ledger::Change::Reply(attempt, state, reason) => {
                let Some(planner) = self.planner_of_attempt(&attempt) else { return };
                let word = hold_state_text(state);
                self.log(format!("hold attempt={attempt} state={word} reason=\"{reason}\""));
                let mut reply = HoldReply { attempt, reason, ..HoldReply::default() };
                reply.set_state(state);
                self.send(&planner, frame::Body::HoldReply(reply));
            }
            ledger::Change::Start(attempt, lease) => self.start_tasks(now, &attempt, lease),
            ledger::Change::Renew(attempt, left) => {
                self.effects.push(Effect::RenewTasks(attempt, left));
            }
            ledger::Change::Evict(attempt, grace) => self.evict(&attempt, grace),
            ledger::Change::Stop(attempt) => self.effects.push(Effect::StopTasks(attempt)),
            ledger::Change::Ended(attempt) => {
                self.log_end(&attempt);
                self.send_member_heartbeat(now, &attempt);
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

    /// Planner to which replies about an attempt are sent: the one that sent its hold, else the
    /// current one.
    fn planner_of_attempt(&self, attempt: &str) -> Option<Peer> {
        let member = self.ledger.members().get(attempt);
        let planner = member.map(|member| member.planner.clone());
        planner.filter(|planner| !planner.name.is_empty()).or(self.planner.peer().cloned())
    }

    fn start_tasks(&mut self, now: Duration, attempt: &str, lease: Duration) {
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
        self.send_member_heartbeat(now, attempt);
    }

    fn evict(&mut self, attempt: &str, grace: Duration) {
        let Some(coordinator) =
            self.ledger.get_mut(attempt).map(|member| member.coordinator.clone())
        else {
            return;
        };
        self.log(format!("evict attempt={attempt} grace={grace:?}"));
        self.effects.push(Effect::CheckpointTasks(attempt.to_owned()));
        let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        let evict = Evict { attempt: attempt.to_owned(), grace_ms };
        self.send(&coordinator, frame::Body::Evict(evict));
    }

    fn send_member_heartbeat(&mut self, now: Duration, attempt: &str) {
        let Some(member) = self.ledger.get_mut(attempt) else { return };
        let coordinator = member.coordinator.clone();
        if coordinator.name.is_empty() {
            return;
        }
        let mut beat = Beat {
            attempt: attempt.to_owned(),
            sequence: member.next_heartbeat(now),
            exit_code: member.exit_code(),
            reason: member.reason.clone(),
            ..Beat::default()
        };
        beat.set_state(member.state());
        self.send(&coordinator, frame::Body::Beat(beat));
    }

    /// Handles a message. A message to an earlier process of this agent is dropped, since its
    /// sender relies on what that process knew.
    fn handle_envelope(&mut self, now: Duration, envelope: envelope::Envelope) {
        let mine = self.options.identity.generation;
        if envelope.to_generation != 0 && envelope.to_generation != mine {
            return;
        }
        self.handle_message(now, &envelope.from, envelope.body);
    }

    fn handle_message(&mut self, now: Duration, from: &Peer, body: frame::Body) {
        match body {
            frame::Body::Welcome(welcome) => self.welcome(now, from, welcome),
            frame::Body::Slice(slice) => self.apply_slice(from, slice),
            frame::Body::Hold(hold) => self.hold(now, from, hold),
            frame::Body::Decide(decide) => self.start_gang(now, from, decide),
            frame::Body::Lease(lease) => self.lease(now, from, lease),
            frame::Body::Beat(beat) => self.receive_member_heartbeat(now, from, beat),
            frame::Body::Stop(stop) => {
                self.ledger.invalidate(now, &stop.attempt, &stop.reason);
            }
            frame::Body::Evict(evict) => self.receive_evict(now, evict),
            frame::Body::Bar(bar) => self.invalidate(now, from, bar),
            frame::Body::Request(request) => self.request(now, from, request),
            _ => {}
        }
    }

    /// Whether a planner's message is accepted; logs a change of planner.
    fn accepts_planner(&mut self, from: &Peer, epoch: Option<&Epoch>) -> bool {
        let Some(epoch) = epoch else { return false };
        let is_new = self.planner.epoch() != Some(epoch);
        let accepts = self.planner.accepts(from, epoch);
        if accepts && is_new {
            self.log(format!("follows planner={} epoch={}", from.name, epoch::text(epoch)));
        }
        accepts
    }

    fn welcome(&mut self, now: Duration, from: &Peer, welcome: Welcome) {
        self.contacts.record_message(now, from, &welcome.region);
        for entry in &welcome.entries {
            self.contacts.add(now, entry);
        }
        if welcome.announce_again {
            self.contacts.request_announcement(&from.address);
        }
        if let Some(epoch) = &welcome.planner {
            self.accepts_planner(from, Some(epoch));
        }
    }

    /// Applies the rules that concern this worker, unless they are older than those in force.
    ///
    /// Guards against a planner that was paused and, when it resumes, binds guarantees as if all
    /// workers were lost. Its term is lower than its successor's, and a slice of a higher term
    /// counts as newer whatever its versions are. The revision of the rules never decreases,
    /// whichever planner sends them.
    fn apply_slice(&mut self, from: &Peer, slice: Slice) {
        if !self.accepts_planner(from, slice.epoch.as_ref()) {
            return;
        }
        let Some(applied) = slice.applied else { return };
        let order = |of: &Applied| (of.term, of.rules, of.bindings);
        if applied.rules < self.applied.rules || order(&applied) <= order(&self.applied) {
            return;
        }
        if let Err(reason) = self.ledger.apply(&slice) {
            self.log(format!("slice of rules refused rules={} reason=\"{reason}\"", applied.rules));
            return;
        }
        self.applied = applied;
        self.log(format!("in force rules={} bindings={}", applied.rules, applied.bindings));
        self.heartbeat();
    }

    fn hold(&mut self, now: Duration, from: &Peer, hold: sapphire_wire::Hold) {
        if !self.accepts_planner(from, hold.epoch.as_ref()) {
            let mut reply = HoldReply { attempt: hold.attempt, ..HoldReply::default() };
            reply.reason = "another planner is followed here".to_owned();
            self.send(from, frame::Body::HoldReply(reply));
            return;
        }
        self.ledger.hold(now, &hold, from);
    }

    /// Records the decision to start a gang, if this agent still holds its own part of the gang.
    fn start_gang(&mut self, now: Duration, from: &Peer, decide: Decide) {
        if !self.accepts_planner(from, decide.epoch.as_ref())
            || self.gangs.contains_key(&decide.attempt)
        {
            return;
        }
        let phase = self.ledger.members().get(&decide.attempt).map(|member| &member.phase);
        let holds = matches!(phase, Some(member::Phase::Held { until }) if now < *until);
        if !holds {
            self.log(format!(
                "decision to start refused attempt={} reason=\"not held\"",
                decide.attempt
            ));
            return;
        }
        let (gang, messages) = gang::Gang::start(now, &decide.members);
        self.log(format!(
            "decided to start attempt={} members={}",
            decide.attempt,
            decide.members.len()
        ));
        self.gangs.insert(decide.attempt.clone(), gang);
        self.send_to_members(&decide.attempt, messages);
    }

    /// Sends a coordinator's messages to the members of its gang.
    fn send_to_members(&mut self, attempt: &str, messages: Vec<gang::Message>) {
        let attempt = attempt.to_owned();
        for message in messages {
            let attempt = attempt.clone();
            match message {
                gang::Message::Lease(to, beat) => {
                    self.send(&to, frame::Body::Lease(Lease { attempt, beat }));
                }
                gang::Message::Evict(to) => {
                    let evict = Evict { attempt, grace_ms: 0 };
                    self.send(&to, frame::Body::Evict(evict));
                }
                gang::Message::Stop(to, reason) => {
                    self.send(&to, frame::Body::Stop(Stop { attempt, reason }));
                }
            }
        }
    }

    fn lease(&mut self, now: Duration, from: &Peer, lease: Lease) {
        let state = self.ledger.apply_lease(now, &lease.attempt, lease.beat);
        if state != TaskState::TaskUnknown {
            return;
        }
        let mut beat = Beat { attempt: lease.attempt, ..Beat::default() };
        beat.reason = "never held here".to_owned();
        beat.set_state(TaskState::TaskUnknown);
        self.send(from, frame::Body::Beat(beat));
    }

    /// Handles a member's heartbeat as coordinator of its gang.
    fn receive_member_heartbeat(&mut self, now: Duration, from: &Peer, beat: Beat) {
        let lease = self.options.member_lease();
        let Some(gang) = self.gangs.get_mut(&beat.attempt) else {
            let reason = "the lead knows no such gang".to_owned();
            let stop = Stop { attempt: beat.attempt, reason };
            self.send(from, frame::Body::Stop(stop));
            return;
        };
        let before = (gang.has_started(), gang.report(now, lease, &beat.attempt).state());
        let messages = gang.record_heartbeat(now, lease, from, &beat);
        let after = (gang.has_started(), gang.report(now, lease, &beat.attempt).state());
        self.send_to_members(&beat.attempt, messages);
        if before != after {
            self.report(now, &beat.attempt);
        }
    }

    /// Handles a request to checkpoint and end, from a member to its coordinator or from the
    /// coordinator to a member.
    fn receive_evict(&mut self, now: Duration, evict: Evict) {
        if let Some(gang) = self.gangs.get_mut(&evict.attempt) {
            let messages = gang.evict();
            self.send_to_members(&evict.attempt, messages);
        }
        self.ledger.evict(now, &evict.attempt);
    }

    fn invalidate(&mut self, now: Duration, from: &Peer, bar: Bar) {
        let state = match &bar.epoch {
            None => self.slots.invalidate(now, &bar.attempt),
            Some(_) if !self.accepts_planner(from, bar.epoch.as_ref()) => return,
            Some(_) => self.invalidate_gang(now, &bar.attempt),
        };
        let mut reply = BarReply { attempt: bar.attempt, ..BarReply::default() };
        reply.set_state(state);
        self.send(from, frame::Body::BarReply(reply));
    }

    /// Stops a gang that this agent coordinates, if any, and its own member of it.
    fn invalidate_gang(&mut self, now: Duration, attempt: &str) -> TaskState {
        let lease = self.options.member_lease();
        if let Some(gang) = self.gangs.get_mut(attempt) {
            let report = gang.report(now, lease, attempt);
            if report.state() == GangState::GangRunning {
                let messages = gang.stop_all("the planner stopped it");
                self.send_to_members(attempt, messages);
            } else {
                self.gangs.remove(attempt);
            }
        }
        self.ledger.invalidate(now, attempt, "the planner stopped it")
    }

    fn request(&mut self, now: Duration, from: &Peer, request: Request) {
        let attempt = request.attempt.clone();
        match self.slots.admit(now, request, from) {
            slots::Decision::Forward(request) => self.call_minion(request),
            slots::Decision::NoReply => {}
            slots::Decision::Refused(reason) => {
                let free_slots = self.slots.free();
                let answer = Answer { attempt, reason, free_slots, ..Answer::default() };
                self.send(from, frame::Body::Answer(answer));
            }
        }
    }

    fn call_minion(&mut self, request: Request) {
        let call = effect::Call {
            attempt: request.attempt,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            time_left: Duration::from_millis(request.left_ms),
        };
        self.effects.push(Effect::CallMinion(call));
    }

    fn minion_answered(&mut self, now: Duration, response: effect::Response) {
        let Some(caller) = self.slots.release(now, &response.attempt) else { return };
        let mut answer = Answer { attempt: response.attempt, ..Answer::default() };
        match response.result {
            Ok(complete) => {
                answer.set_state(AnswerState::AnswerWhole);
                answer.status = complete.status;
                answer.headers = complete.headers;
                answer.body = complete.body;
            }
            Err(failure) => {
                let is_undelivered = failure.is_undelivered;
                let interrupted = AnswerState::AnswerInterrupted;
                answer.set_state(if is_undelivered {
                    AnswerState::AnswerNotRun
                } else {
                    interrupted
                });
                answer.reason = failure.reason;
            }
        }
        while let Some(request) = self.slots.next_request(now) {
            self.call_minion(request);
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
        self.send_member_heartbeats(now);
        self.tick_gangs(now);
        if self.is_ready {
            self.heartbeat();
        }
        self.contacts.forget_silent(now, self.options.silence_timeout);
        if self.is_draining && self.is_idle() {
            self.effects.push(Effect::Exit);
        }
    }

    fn is_idle(&self) -> bool {
        self.ledger.live_attempts().is_empty()
            && self.gangs.is_empty()
            && self.slots.in_progress() == 0
    }

    fn send_member_heartbeats(&mut self, now: Duration) {
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
            self.send_member_heartbeat(now, &attempt);
        }
    }

    fn tick_gangs(&mut self, now: Duration) {
        let attempts: Vec<id::Attempt> = self.gangs.keys().cloned().collect();
        for attempt in attempts {
            if let Some(gang) = self.gangs.get_mut(&attempt) {
                let messages = gang.tick(now, self.options.member_lease());
                self.send_to_members(&attempt, messages);
                self.report(now, &attempt);
            }
        }
    }

    /// Reports the state of a gang to the planner.
    fn report(&mut self, now: Duration, attempt: &str) {
        let Some(gang) = self.gangs.get(attempt) else { return };
        let report = gang.report(now, self.options.member_lease(), attempt);
        if let Some(planner) = self.planner.peer().cloned() {
            self.send(&planner, frame::Body::Report(report));
        }
    }

    /// Sends each entry what has changed, or an announcement if it does not know this process.
    fn heartbeat(&mut self) {
        let load = self.load();
        let delta = (load != self.reported_load).then_some(load);
        self.reported_load = load;
        let heartbeat = Heartbeat { load: delta, applied: Some(self.applied) };
        let announce = Announce {
            region: self.options.region.clone(),
            zone: self.options.zone.clone(),
            worker: self.options.worker.clone(),
            minion: self.options.minion.clone(),
            load: Some(load),
            applied: Some(self.applied),
        };
        let mut messages = Vec::new();
        self.heartbeats_sent += 1;
        for contact in self.contacts.iter_mut() {
            let is_remote = !contact.region.is_empty() && contact.region != self.options.region;
            if is_remote && !self.heartbeats_sent.is_multiple_of(REMOTE_HEARTBEAT_INTERVAL) {
                continue;
            }
            let body = if std::mem::take(&mut contact.needs_announcement) {
                frame::Body::Announce(announce.clone())
            } else if is_remote {
                // The entry missed the heartbeats before this one, and the changes of load in them.
                frame::Body::Heartbeat(Heartbeat { load: Some(load), ..heartbeat })
            } else {
                frame::Body::Heartbeat(heartbeat)
            };
            messages.push((peer::new(&contact.peer.name, &contact.peer.address, 0), body));
        }
        for (to, body) in messages {
            self.send(&to, body);
        }
    }
}

fn hold_state_text(state: HoldState) -> &'static str {
    match state {
        HoldState::HoldGranted => "granted",
        HoldState::HoldEvicting => "evicting",
        HoldState::HoldRefused => "refused",
    }
}
