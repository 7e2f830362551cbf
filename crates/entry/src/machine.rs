//! The entry's state machine: handles messages, store replies and callers' requests, and returns
//! effects.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_store::{
    call::{Call, Reply, Value},
    lease,
};
use sapphire_wire::{
    Announce, CallState, EntryBeat, Epoch, Heartbeat, Job, JobCall, JobReply, Peer, Rules,
    RulesPull, Wait, Welcome, envelope, frame, id, job_call, peer,
};

use crate::{
    answer::{Account, Answer},
    api,
    effect::{Effect, Output},
    event::{Caller, Event, Operation},
    job_calls, options, overview, peers, planner, registry, requests, rulebook,
};

/// Part of the system for log lines about processes and their membership.
const LOG_MEMBER: &str = "member";
/// Part of the system for log lines about rules.
const LOG_RULES: &str = "rules";

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    WatchRules,
    WriteRules,
    HoldPlannerKey,
    ReadCell,
    WriteCell,
    ReleasePlannerKey,
}

/// State of an entry.
pub struct Machine {
    options: options::Options,
    rng: Pcg64,
    registry: registry::Registry,
    peers: peers::Peers,
    rulebook: rulebook::Rulebook,
    requests: requests::Requests,
    job_calls: job_calls::JobCalls,
    planner_key: lease::Holder,
    planner: Option<planner::Planner>,
    /// Term of the planner key that was acquired, while the cell is being read.
    taking_over: Option<u64>,
    /// Number of times this process has taken over planning.
    takeovers: u64,
    operations: BTreeMap<Operation, (Purpose, Duration)>,
    next_operation: Operation,
    /// Time of the last event.
    last_run: Duration,
    /// Whether this process was paused and the store has not yet confirmed that it still holds the
    /// planner key.
    is_resuming: bool,
    next_heartbeat: Duration,
    /// Number of heartbeats sent to other entries so far.
    heartbeats_sent: u32,
    draining_since: Option<Duration>,
    has_reported_overdue: bool,
    effects: Vec<Effect>,
}

impl Machine {
    /// Starts an entry.
    pub fn new(options: options::Options) -> Self {
        let identity = &options.identity;
        let holder_value =
            format!("{} {} {:x}", identity.name, identity.address, identity.generation);
        let key = format!("planner/{}", options.region);
        Machine {
            rng: Pcg64::seed_from_u64(options.seed),
            registry: registry::Registry::new(options.silence_timeout, &options.region),
            peers: peers::Peers::new(
                identity,
                &options.region,
                &options.peers,
                options.silence_timeout,
            ),
            rulebook: rulebook::Rulebook::default(),
            requests: requests::Requests::new(&options),
            job_calls: job_calls::JobCalls::default(),
            planner_key: lease::Holder::new(&key, Bytes::from(holder_value), options.lease),
            planner: None,
            taking_over: None,
            takeovers: 0,
            operations: BTreeMap::new(),
            next_operation: 1,
            last_run: Duration::ZERO,
            is_resuming: false,
            next_heartbeat: Duration::ZERO,
            heartbeats_sent: 0,
            draining_since: None,
            has_reported_overdue: false,
            effects: Vec::new(),
            options,
        }
    }

    /// Handles one event and returns the resulting effects.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.registry.record_start(now);
        self.detect_pause(now);
        match event {
            Event::Frame(envelope) => self.handle_envelope(now, *envelope),
            Event::Tick => self.tick(now),
            Event::Store(operation, reply) => self.handle_store_reply(now, operation, reply),
            Event::Http(caller, request) => self.handle_http(now, caller, &request),
            Event::CallerLeft(caller) => {
                self.requests.caller_left(caller);
                self.job_calls.caller_left(caller);
            }
            Event::Drain => self.drain(now),
        }
        self.poll_store(now);
        std::mem::take(&mut self.effects)
    }

    /// Guards against wrong conclusions of a process that was paused and resumes: that all others
    /// have been silent, and that it still is the planner. The time is excluded from the silence of
    /// agents, and planning waits until the store has confirmed the key. If the store doesn't
    /// reply, the planner continues.
    fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_run);
        let is_first = self.last_run.is_zero();
        self.last_run = now;
        if is_first || gap < self.options.silence_timeout {
            return;
        }
        self.log(LOG_MEMBER, format!("was paused for={gap:?}"));
        self.registry.discount_pause(gap);
        self.is_resuming = self.planner.is_some() && self.planner_key.is_stale(now);
    }

    /// Rules in force in this process.
    pub fn rulebook(&self) -> &rulebook::Rulebook {
        &self.rulebook
    }

    /// The planner of the region's cell, while this entry is the planner.
    pub fn planner(&self) -> Option<&planner::Planner> {
        self.planner.as_ref()
    }

    /// Agents known to this entry.
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Requests in flight.
    pub fn requests(&self) -> &requests::Requests {
        &self.requests
    }

    fn send(&mut self, to: &Peer, body: frame::Body) {
        let envelope = envelope::Envelope {
            from: self.options.identity.clone(),
            to_generation: to.generation,
            body,
        };
        self.effects.push(Effect::Send { to: to.clone(), envelope: Box::new(envelope) });
    }

    /// Carries out the outputs of a component. Messages to this entry itself, such as between a
    /// call and the planner in the same process, are handled at once.
    fn flush(&mut self, now: Duration, out: Output) {
        self.effects.extend(out.lines.into_iter().map(Effect::Log));
        for (caller, answer) in out.answers {
            self.effects.push(Effect::Answer(caller, answer));
        }
        for (to, body) in out.messages {
            if to.name == self.options.identity.name {
                let identity = self.options.identity.clone();
                self.handle_message(now, &identity, body);
            } else {
                self.send(&to, body);
            }
        }
    }

    fn log(&mut self, part: &'static str, text: String) {
        let mut out = Output::default();
        out.log(part, text);
        self.effects.extend(out.lines.into_iter().map(Effect::Log));
    }

    fn call_store(&mut self, now: Duration, purpose: Purpose, call: Call) {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.operations.insert(operation, (purpose, now));
        self.effects.push(Effect::Store(operation, call));
    }

    /// Makes the calls to the store that are due.
    fn poll_store(&mut self, now: Duration) {
        if let Some(call) = self.rulebook.poll(now) {
            self.call_store(now, Purpose::WatchRules, call);
        }
        let has_planner = self.peers.planner(now, &self.options.region).is_some();
        let may_acquire = !has_planner && self.draining_since.is_none() && self.rulebook.is_known();
        if let Some(call) = self.planner_key.poll(now, may_acquire) {
            self.call_store(now, Purpose::HoldPlannerKey, call);
        }
        if let Some(call) = self.planner.as_mut().and_then(|planner| planner.poll(now)) {
            self.call_store(now, Purpose::WriteCell, call);
        }
    }

    fn handle_store_reply(&mut self, now: Duration, operation: Operation, reply: Reply) {
        let Some((purpose, sent)) = self.operations.remove(&operation) else { return };
        match purpose {
            Purpose::WatchRules => {
                if self.rulebook.handle_watch_reply(now, reply) {
                    self.rules_changed(now);
                }
            }
            Purpose::WriteRules => self.handle_rules_write(now, reply),
            Purpose::HoldPlannerKey => self.handle_key_reply(now, sent, reply),
            Purpose::ReadCell => self.handle_cell_read(now, reply),
            Purpose::WriteCell => self.handle_cell_write(now, reply),
            Purpose::ReleasePlannerKey => {}
        }
    }

    fn handle_rules_write(&mut self, now: Duration, reply: Reply) {
        let before = self.rulebook.revision();
        let (call, answer) = self.rulebook.handle_write_reply(reply);
        if let Some(call) = call {
            self.call_store(now, Purpose::WriteRules, call);
        }
        if self.rulebook.revision() > before {
            self.rules_changed(now);
        }
        if let Some((caller, answer)) = answer {
            self.effects.push(Effect::Answer(caller, answer));
        }
    }

    /// Newer rules are in force here. Sends them to the other entries and, as planner, to the
    /// agents at once instead of at the next heartbeat.
    fn rules_changed(&mut self, now: Duration) {
        self.log(LOG_RULES, format!("in force revision={}", self.rulebook.revision()));
        let ruleset = self.rulebook.ruleset().clone();
        let others: Vec<Peer> = self
            .peers
            .reachable(now)
            .filter(|entry| entry.heartbeat.rules < ruleset.revision)
            .map(|entry| entry.peer.clone())
            .collect();
        for other in others {
            let ruleset = Some(ruleset.clone());
            self.send(&other, frame::Body::Rules(Rules { ruleset }));
        }
        self.with_planner(now, |planner, context, out| planner.rules_changed(now, context, out));
    }

    fn handle_key_reply(&mut self, now: Duration, sent: Duration, reply: Reply) {
        let is_unanswered = matches!(reply, Reply::Unavailable(_));
        match self.planner_key.reply(now, sent, reply) {
            lease::Outcome::Unchanged => {}
            lease::Outcome::Acquired(term) => {
                self.log(
                    LOG_MEMBER,
                    format!("planner key acquired region={} term={term}", self.options.region),
                );
                self.taking_over = Some(term);
                self.read_cell(now);
            }
            lease::Outcome::Lapsed => self.step_down("the planner key lapsed"),
        }
        // A reply to a call from before the pause does not show who holds the key now.
        self.is_resuming &= self.planner_key.is_stale(now) && !is_unanswered;
    }

    fn read_cell(&mut self, now: Duration) {
        let key = planner::cell_key(&self.options.region);
        self.call_store(now, Purpose::ReadCell, Call::Get { key });
    }

    fn handle_cell_read(&mut self, now: Duration, reply: Reply) {
        let Some(term) = self.taking_over else { return };
        let Reply::Value(value) = reply else {
            self.read_cell(now);
            return;
        };
        self.taking_over = None;
        self.take_over(now, term, &value);
    }

    fn take_over(&mut self, now: Duration, term: u64, value: &Value) {
        self.takeovers += 1;
        let epoch = Epoch { term, holder: self.options.identity.name.clone() };
        let planner = planner::Planner::new(now, &self.options, epoch, self.takeovers, value);
        self.log(
            LOG_MEMBER,
            format!("starts planning region={} {}", self.options.region, planner.summary()),
        );
        self.planner = Some(planner);
        self.tick_planner(now);
        self.send_heartbeats(now);
    }

    fn handle_cell_write(&mut self, now: Duration, reply: Reply) {
        let mut out = Output::default();
        let Some(planner) = &mut self.planner else { return };
        let status = planner.handle_write_reply(now, reply, &mut out);
        self.flush(now, out);
        match status {
            planner::Status::Superseded(term) => self.superseded(now, term),
            planner::Status::Planner => self.tick_planner(now),
        }
    }

    /// Handles that another planner has written the cell.
    ///
    /// Guards against an earlier planner whose last write arrives after this one has read the cell.
    /// If this entry still holds the key, under a higher term than the writer's, it reads the cell
    /// again. Stepping down would leave the key held and the cell without a planner.
    fn superseded(&mut self, now: Duration, other: u64) {
        self.step_down("another planner wrote the cell");
        if let Some(own) = self.planner_key.last_term().filter(|own| *own > other) {
            self.taking_over = Some(own);
            self.read_cell(now);
        }
    }

    /// Stops planning, or taking over, if this entry does so.
    fn step_down(&mut self, reason: &str) {
        if self.planner.take().is_some() || self.taking_over.take().is_some() {
            self.log(LOG_MEMBER, format!("stops planning reason=\"{reason}\""));
        }
    }

    fn tick_planner(&mut self, now: Duration) {
        self.with_planner(now, |planner, context, out| planner.tick(now, context, out));
    }

    /// Calls a method of the planner if this entry is the planner, and returns whether it is.
    fn with_planner(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut planner::Planner, &planner::Context<'_>, &mut Output),
    ) -> bool {
        let mut out = Output::default();
        if self.is_resuming {
            return false;
        }
        let Some(planner) = &mut self.planner else { return false };
        let context = planner::Context {
            registry: &self.registry,
            rules: self.rulebook.file(),
            revision: self.rulebook.revision(),
        };
        step(planner, &context, &mut out);
        self.flush(now, out);
        true
    }

    /// Handles a message. A message to an earlier process of this entry is dropped.
    fn handle_envelope(&mut self, now: Duration, envelope: envelope::Envelope) {
        let own_generation = self.options.identity.generation;
        if envelope.to_generation != 0 && envelope.to_generation != own_generation {
            return;
        }
        self.handle_message(now, &envelope.from, envelope.body);
    }

    fn handle_message(&mut self, now: Duration, from: &Peer, body: frame::Body) {
        match body {
            frame::Body::Announce(announce) => self.handle_announcement(now, from, announce),
            frame::Body::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat),
            frame::Body::EntryBeat(heartbeat) => self.handle_entry_heartbeat(now, from, heartbeat),
            frame::Body::RulesPull(pull) => self.handle_rules_pull(from, pull),
            frame::Body::Rules(rules) => self.handle_rules(now, rules),
            frame::Body::JobCall(call) => self.handle_job_call(now, from, call),
            frame::Body::JobReply(reply) => {
                let mut out = Output::default();
                self.job_calls.handle_reply(reply, &mut out);
                self.flush(now, out);
            }
            frame::Body::HoldReply(reply) => {
                self.with_planner(now, |planner, context, out| {
                    planner.handle_hold_reply(now, from, &reply, context, out);
                });
            }
            frame::Body::Report(report) => {
                self.with_planner(now, |planner, context, out| {
                    planner.handle_report(now, from, &report, out);
                    planner.tick(now, context, out);
                });
            }
            frame::Body::BarReply(reply) => {
                self.with_planner(now, |planner, _, out| {
                    planner.handle_invalidation_reply(now, from, &reply, out);
                });
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.handle_probe_reply(now, from, &reply, registry, rng, out);
                });
            }
            frame::Body::Answer(answer) => {
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.handle_answer(now, from, answer, registry, rng, out);
                });
            }
            _ => {}
        }
    }

    fn with_requests(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut requests::Requests, &mut registry::Registry, &mut Pcg64, &mut Output),
    ) {
        let mut out = Output::default();
        step(&mut self.requests, &mut self.registry, &mut self.rng, &mut out);
        self.flush(now, out);
    }

    fn handle_announcement(&mut self, now: Duration, from: &Peer, announce: Announce) {
        let zone = announce.zone.clone();
        if self.registry.announce(now, from, announce) {
            self.log(LOG_MEMBER, format!("agent={} zone={zone} announced", from.name));
        }
        self.welcome(now, from, false);
    }

    fn handle_heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: &Heartbeat) {
        let is_known = self.registry.heartbeat(now, from, heartbeat);
        if !is_known || self.registry.is_welcome_due(&from.name) {
            self.welcome(now, from, !is_known);
        } else {
            self.send_slice(now, from);
        }
    }

    /// The planner, unless this process has just resumed and must verify that it still holds the
    /// key.
    fn verified_planner(&self) -> Option<&planner::Planner> {
        self.planner.as_ref().filter(|_| !self.is_resuming)
    }

    /// Answers an announcement or a heartbeat of an agent.
    fn welcome(&mut self, now: Duration, from: &Peer, announce_again: bool) {
        let mut entries: Vec<Peer> = self.peers.reachable(now).map(|e| e.peer.clone()).collect();
        entries.push(self.options.identity.clone());
        let agent = self.registry.get(&from.name);
        let is_own_cell = agent.is_some_and(|agent| agent.region == self.options.region);
        let epoch = self.verified_planner().filter(|_| is_own_cell).map(|p| p.epoch().clone());
        let region = self.options.region.clone();
        let welcome = Welcome { announce_again, entries, planner: epoch, region };
        self.send(from, frame::Body::Welcome(welcome));
        self.send_slice(now, from);
    }

    /// Sends an agent the rules that concern its worker, if this entry is the planner.
    fn send_slice(&mut self, now: Duration, agent: &Peer) {
        self.with_planner(now, |planner, context, out| {
            if let Some(agent) = context.registry.get(&agent.name) {
                planner.send_slice(agent, context, out);
            }
        });
    }

    fn handle_entry_heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: EntryBeat) {
        let has_newer = heartbeat.rules > self.rulebook.revision();
        self.peers.record_heartbeat(now, from, heartbeat);
        if has_newer {
            let above = self.rulebook.revision();
            self.send(from, frame::Body::RulesPull(RulesPull { above }));
        }
    }

    fn handle_rules(&mut self, now: Duration, rules: Rules) {
        if rules.ruleset.is_some_and(|ruleset| self.rulebook.apply_if_newer(ruleset)) {
            self.rules_changed(now);
        }
    }

    fn handle_rules_pull(&mut self, from: &Peer, pull: RulesPull) {
        if self.rulebook.revision() > pull.above {
            let ruleset = Some(self.rulebook.ruleset().clone());
            self.send(from, frame::Body::Rules(Rules { ruleset }));
        }
    }

    fn handle_job_call(&mut self, now: Duration, from: &Peer, call: JobCall) {
        let number = call.call;
        let is_planner = self.with_planner(now, |planner, context, out| {
            planner.handle_call(now, from, call, context, out);
            planner.tick(now, context, out);
        });
        if !is_planner {
            let mut reply = JobReply { call: number, ..JobReply::default() };
            reply.set_state(CallState::CallNotPlanner);
            let mut out = Output::default();
            out.send(from, frame::Body::JobReply(reply));
            self.flush(now, out);
        }
    }

    fn tick(&mut self, now: Duration) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.options.heartbeat;
            self.send_heartbeats(now);
        }
        for name in self.registry.forget_silent(now) {
            self.log(LOG_MEMBER, format!("agent={name} declared lost reason=silent"));
        }
        self.peers.forget_silent(now);
        self.tick_planner(now);
        self.with_requests(now, |requests, registry, rng, out| {
            requests.tick(now, registry, rng, out);
        });
        self.tick_job_calls(now);
        self.tick_drain(now);
    }

    fn tick_job_calls(&mut self, now: Duration) {
        let mut out = Output::default();
        let own = self.verified_planner().map(|_| self.options.identity.clone());
        let region = self.options.region.clone();
        let peers = &self.peers;
        let planner = |of: &str| {
            let own = own.clone().filter(|_| of == region);
            own.or_else(|| peers.planner(now, of).map(|(peer, _)| peer.clone()))
        };
        self.job_calls.tick(now, planner, &mut out);
        self.flush(now, out);
    }

    /// Sends a heartbeat to the other entries.
    fn send_heartbeats(&mut self, now: Duration) {
        let mut entries: Vec<Peer> = self.peers.reachable(now).map(|e| e.peer.clone()).collect();
        entries.push(self.options.identity.clone());
        let heartbeat = EntryBeat {
            region: self.options.region.clone(),
            zone: self.options.zone.clone(),
            draining: self.draining_since.is_some(),
            rules: self.rulebook.revision(),
            planner: self.verified_planner().map(|planner| planner.epoch().clone()),
            entries,
        };
        let others: Vec<Peer> = self
            .peers
            .heartbeat_due(self.heartbeats_sent)
            .map(|entry| entry.peer.clone())
            .collect();
        self.heartbeats_sent = self.heartbeats_sent.wrapping_add(1);
        for other in others {
            let to = peer::new(&other.name, &other.address, 0);
            self.send(&to, frame::Body::EntryBeat(heartbeat.clone()));
        }
    }

    fn drain(&mut self, now: Duration) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(now);
        self.log(LOG_MEMBER, format!("drain begins requests={}", self.requests.len()));
        if let Some(call) = self.planner_key.release() {
            self.call_store(now, Purpose::ReleasePlannerKey, call);
        }
        self.step_down("shutdown");
        self.send_heartbeats(now);
    }

    /// Exits when every caller has received its answer. New callers are served until the load
    /// balancer has had time to notice that this entry is not ready.
    fn tick_drain(&mut self, now: Duration) {
        let Some(since) = self.draining_since else { return };
        let has_lingered = now.saturating_sub(since) >= self.options.silence_timeout;
        let is_idle = self.requests.is_empty() && self.job_calls.is_empty();
        if has_lingered && is_idle {
            self.effects.push(Effect::Exit);
            return;
        }
        let is_overdue = now.saturating_sub(since) >= self.options.shutdown_timeout;
        if is_overdue && !self.has_reported_overdue {
            self.has_reported_overdue = true;
            let (requests, calls) = (self.requests.len(), self.job_calls.len());
            let text = format!(
                "graceful shutdown exceeds its time limit requests={requests} job_calls={calls}"
            );
            self.log(LOG_MEMBER, text);
        }
    }

    fn answer(&mut self, caller: Caller, answer: Answer) {
        self.effects.push(Effect::Answer(caller, answer));
    }

    fn handle_http(&mut self, now: Duration, caller: Caller, request: &api::Request) {
        let region = self.options.region.clone();
        match api::parse(request, &region) {
            Ok(call) => self.handle_call(now, caller, call),
            Err(answer) => self.answer(caller, answer),
        }
    }

    fn handle_call(&mut self, now: Duration, caller: Caller, call: api::Call) {
        match call {
            api::Call::Service(service) => {
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.accept(now, caller, service, registry, rng, out);
                });
            }
            api::Call::Submit(region, job) => self.submit(now, caller, &region, *job),
            api::Call::Job(id, wait) => {
                let is_waiting = !wait.is_zero();
                let body = if is_waiting {
                    job_call::Body::Wait(Wait { job: id.clone() })
                } else {
                    job_call::Body::Get(id.clone())
                };
                self.call_for_job(now, caller, job_calls::Kind::Get(is_waiting), &id, body, wait);
            }
            api::Call::Explain(id) => {
                let body = job_call::Body::Explain(id.clone());
                let kind = job_calls::Kind::Get(false);
                self.call_for_job(now, caller, kind, &id, body, Duration::ZERO);
            }
            api::Call::Cancel(id) => {
                let body = job_call::Body::Cancel(id.clone());
                let kind = job_calls::Kind::Cancel;
                self.call_for_job(now, caller, kind, &id, body, Duration::ZERO);
            }
            api::Call::Jobs(region, organisation) => {
                let body = job_call::Body::List(organisation);
                let kind = job_calls::Kind::List;
                self.job_calls.add(now, caller, kind, &region, body, Duration::ZERO);
                self.tick_job_calls(now);
            }
            api::Call::ApplyRules(apply) => self.apply_rules(now, caller, &apply),
            call => {
                let answer = self.overview(now).answer(&call);
                self.answer(caller, answer);
            }
        }
    }

    /// Submits a job under an identifier that starts with its region. With a caller's key the
    /// identifier is the same each time, so that a repeated submission finds the job of the first
    /// one.
    fn submit(&mut self, now: Duration, caller: Caller, region: &str, mut job: Job) {
        job.id = if job.id.is_empty() {
            format!("{region}.{:016x}", self.rng.random::<u64>())
        } else {
            format!("{region}.{}.{}", job.organisation, job.id)
        };
        if !sapphire_settings::section::is_name(&job.id.replace(region, "")) {
            let reason = "organisation and key must be names of letters, digits, `-`, `_` or `.`";
            self.answer(caller, Answer::failure(400, Account::NotRun, reason));
            return;
        }
        let body = job_call::Body::Submit(job);
        let kind = job_calls::Kind::Submit;
        self.job_calls.add(now, caller, kind, region, body, Duration::ZERO);
        self.tick_job_calls(now);
    }

    /// Forwards a call about one job to the planner of the region that the job's identifier starts
    /// with.
    fn call_for_job(
        &mut self,
        now: Duration,
        caller: Caller,
        kind: job_calls::Kind,
        id: &id::Job,
        body: job_call::Body,
        wait: Duration,
    ) {
        let region = id.split('.').next().unwrap_or_default().to_owned();
        self.job_calls.add(now, caller, kind, &region, body, wait);
        self.tick_job_calls(now);
    }

    fn overview(&self, now: Duration) -> overview::Overview<'_> {
        overview::Overview {
            now,
            options: &self.options,
            registry: &self.registry,
            peers: &self.peers,
            rulebook: &self.rulebook,
            planner: self.planner.as_ref(),
            is_draining: self.draining_since.is_some(),
        }
    }

    fn apply_rules(&mut self, now: Duration, caller: Caller, apply: &api::Apply) {
        if !apply.allow_short
            && let Some(answer) = self.overview(now).refuse_unmet(&apply.text)
        {
            self.answer(caller, answer);
            return;
        }
        let identity = &self.options.identity;
        let prefix = format!("{}-{:x}", identity.name, identity.generation);
        match self.rulebook.apply(now, caller, apply, &prefix) {
            Ok(call) => self.call_store(now, Purpose::WriteRules, call),
            Err(answer) => self.answer(caller, answer),
        }
    }
}
