//! The entry's state machine: messages, store answers and callers in, effects out.

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

/// Part that log lines about membership name.
const MEMBER: &str = "member";
/// Part that log lines about rules name.
const RULES: &str = "rules";

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    WatchRules,
    WriteRules,
    HoldPlannerKey,
    ReadCell,
    WriteCell,
    Forget,
}

/// One entry.
pub struct Machine {
    options: options::Options,
    rng: Pcg64,
    registry: registry::Registry,
    peers: peers::Peers,
    rulebook: rulebook::Rulebook,
    requests: requests::Requests,
    job_calls: job_calls::JobCalls,
    holder: lease::Holder,
    planner: Option<planner::Planner>,
    /// Term of a planner key held whose cell is being read.
    taking_over: Option<u64>,
    /// Take-overs by this process so far.
    takings: u64,
    operations: BTreeMap<Operation, (Purpose, Duration)>,
    next_operation: Operation,
    /// When this process last ran.
    last_run: Duration,
    /// It was frozen, and has not heard from the store since whether it still plans.
    is_waking: bool,
    next_beat: Duration,
    /// Heartbeats to other entries so far.
    beats: u32,
    draining_since: Option<Duration>,
    has_reported_overdue: bool,
    effects: Vec<Effect>,
}

impl Machine {
    /// Starts an entry.
    pub fn new(options: options::Options) -> Self {
        let me = &options.me;
        let holder_value = format!("{} {} {:x}", me.name, me.address, me.generation);
        let key = format!("planner/{}", options.region);
        Machine {
            rng: Pcg64::seed_from_u64(options.seed),
            registry: registry::Registry::new(options.silence, &options.region),
            peers: peers::Peers::new(me, &options.region, &options.peers, options.silence),
            rulebook: rulebook::Rulebook::default(),
            requests: requests::Requests::new(&options),
            job_calls: job_calls::JobCalls::default(),
            holder: lease::Holder::new(&key, Bytes::from(holder_value), options.lease),
            planner: None,
            taking_over: None,
            takings: 0,
            operations: BTreeMap::new(),
            next_operation: 1,
            last_run: Duration::ZERO,
            is_waking: false,
            next_beat: Duration::ZERO,
            beats: 0,
            draining_since: None,
            has_reported_overdue: false,
            effects: Vec::new(),
            options,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.registry.begin(now);
        self.notice_freeze(now);
        match event {
            Event::Frame(envelope) => self.frame(now, *envelope),
            Event::Tick => self.tick(now),
            Event::Store(operation, reply) => self.stored(now, operation, reply),
            Event::Http(caller, request) => self.http(now, caller, &request),
            Event::CallerLeft(caller) => {
                self.requests.leave(caller);
                self.job_calls.leave(caller);
            }
            Event::Drain => self.drain(now),
        }
        self.poll_store(now);
        std::mem::take(&mut self.effects)
    }

    /// Guards against what a frozen process believes when it wakes: that everybody has been
    /// silent, and that it still plans. The time is taken out, and planning waits for the
    /// store's word on the key; without an answer the incumbent goes on.
    fn notice_freeze(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_run);
        let is_first = self.last_run.is_zero();
        self.last_run = now;
        if is_first || gap < self.options.silence {
            return;
        }
        self.log(MEMBER, format!("was frozen for={gap:?}"));
        self.registry.forgive(gap);
        self.is_waking = self.planner.is_some() && self.holder.is_stale(now);
    }

    /// Rules in force here.
    pub fn rulebook(&self) -> &rulebook::Rulebook {
        &self.rulebook
    }

    /// The planner of the region's cell, while this entry is it.
    pub fn planner(&self) -> Option<&planner::Planner> {
        self.planner.as_ref()
    }

    /// Agents known.
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Requests in flight.
    pub fn requests(&self) -> &requests::Requests {
        &self.requests
    }

    fn send(&mut self, to: &Peer, body: frame::Body) {
        let envelope = envelope::Envelope {
            from: self.options.me.clone(),
            to_generation: to.generation,
            body,
        };
        self.effects.push(Effect::Send { to: to.clone(), envelope: Box::new(envelope) });
    }

    /// Carries out one part's output. Messages to this entry itself (a caller here, the planner
    /// here) are taken at once.
    fn flush(&mut self, now: Duration, out: Output) {
        self.effects.extend(out.lines.into_iter().map(Effect::Log));
        for (caller, answer) in out.answers {
            self.effects.push(Effect::Answer(caller, answer));
        }
        for (to, body) in out.sends {
            if to.name == self.options.me.name {
                let me = self.options.me.clone();
                self.body(now, &me, body);
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

    fn store(&mut self, now: Duration, purpose: Purpose, call: Call) {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.operations.insert(operation, (purpose, now));
        self.effects.push(Effect::Store(operation, call));
    }

    /// Asks the store for whatever is due.
    fn poll_store(&mut self, now: Duration) {
        if let Some(call) = self.rulebook.poll(now) {
            self.store(now, Purpose::WatchRules, call);
        }
        let is_planned = self.peers.planner(now, &self.options.region).is_some();
        let may_take = !is_planned && self.draining_since.is_none() && self.rulebook.is_known();
        if let Some(call) = self.holder.poll(now, may_take) {
            self.store(now, Purpose::HoldPlannerKey, call);
        }
        if let Some(call) = self.planner.as_mut().and_then(|planner| planner.poll(now)) {
            self.store(now, Purpose::WriteCell, call);
        }
    }

    fn stored(&mut self, now: Duration, operation: Operation, reply: Reply) {
        let Some((purpose, sent)) = self.operations.remove(&operation) else { return };
        match purpose {
            Purpose::WatchRules => {
                if self.rulebook.watched(now, reply) {
                    self.rules_changed(now);
                }
            }
            Purpose::WriteRules => self.rules_written(now, reply),
            Purpose::HoldPlannerKey => self.key_replied(now, sent, reply),
            Purpose::ReadCell => self.cell_read(now, reply),
            Purpose::WriteCell => self.cell_written(now, reply),
            Purpose::Forget => {}
        }
    }

    fn rules_written(&mut self, now: Duration, reply: Reply) {
        let before = self.rulebook.revision();
        let (call, answer) = self.rulebook.written(reply);
        if let Some(call) = call {
            self.store(now, Purpose::WriteRules, call);
        }
        if self.rulebook.revision() > before {
            self.rules_changed(now);
        }
        if let Some((caller, answer)) = answer {
            self.effects.push(Effect::Answer(caller, answer));
        }
    }

    /// Newer rules are in force here: tells the other entries and, as planner, the agents now,
    /// rather than at the next heartbeat.
    fn rules_changed(&mut self, now: Duration) {
        self.log(RULES, format!("in force revision={}", self.rulebook.revision()));
        let ruleset = self.rulebook.ruleset().clone();
        let others: Vec<Peer> = self
            .peers
            .heard(now)
            .filter(|entry| entry.beat.rules < ruleset.revision)
            .map(|entry| entry.peer.clone())
            .collect();
        for other in others {
            let ruleset = Some(ruleset.clone());
            self.send(&other, frame::Body::Rules(Rules { ruleset }));
        }
        self.with_planner(now, |planner, around, out| planner.rules_changed(now, around, out));
    }

    fn key_replied(&mut self, now: Duration, sent: Duration, reply: Reply) {
        let is_unanswered = matches!(reply, Reply::Unavailable(_));
        match self.holder.reply(now, sent, reply) {
            lease::Outcome::Unchanged => {}
            lease::Outcome::Acquired(term) => {
                self.log(
                    MEMBER,
                    format!("planner key held region={} term={term}", self.options.region),
                );
                self.taking_over = Some(term);
                self.read_cell(now);
            }
            lease::Outcome::Lapsed => self.step_down("the planner key lapsed"),
        }
        // An answer to a call from before a freeze says nothing of the key now.
        self.is_waking &= self.holder.is_stale(now) && !is_unanswered;
    }

    fn read_cell(&mut self, now: Duration) {
        let key = planner::cell_key(&self.options.region);
        self.store(now, Purpose::ReadCell, Call::Get { key });
    }

    fn cell_read(&mut self, now: Duration, reply: Reply) {
        let Some(term) = self.taking_over else { return };
        let Reply::Value(value) = reply else {
            self.read_cell(now);
            return;
        };
        self.taking_over = None;
        self.take_over(now, term, &value);
    }

    fn take_over(&mut self, now: Duration, term: u64, value: &Value) {
        self.takings += 1;
        let epoch = Epoch { term, holder: self.options.me.name.clone() };
        let planner = planner::Planner::new(now, &self.options, epoch, self.takings, value);
        self.log(MEMBER, format!("plans region={} {}", self.options.region, planner.summary()));
        self.planner = Some(planner);
        self.tick_planner(now);
        self.beat(now);
    }

    fn cell_written(&mut self, now: Duration, reply: Reply) {
        let mut out = Output::default();
        let Some(planner) = &mut self.planner else { return };
        let standing = planner.written(now, reply, &mut out);
        self.flush(now, out);
        match standing {
            planner::Standing::Deposed(term) => self.deposed(now, term),
            planner::Standing::Planner => self.tick_planner(now),
        }
    }

    /// Another planner wrote the cell.
    ///
    /// Guards against an earlier planner whose last write arrives after this one has read the
    /// cell: with the key still held and the other's term below, the cell is read again. To step
    /// down would leave the key held and the cell without a planner.
    fn deposed(&mut self, now: Duration, other: u64) {
        self.step_down("another planner wrote the cell");
        if let Some(own) = self.holder.last_term().filter(|own| *own > other) {
            self.taking_over = Some(own);
            self.read_cell(now);
        }
    }

    fn step_down(&mut self, reason: &str) {
        if self.planner.take().is_some() || self.taking_over.take().is_some() {
            self.log(MEMBER, format!("stops planning reason=\"{reason}\""));
        }
    }

    fn tick_planner(&mut self, now: Duration) {
        self.with_planner(now, |planner, around, out| planner.tick(now, around, out));
    }

    /// Runs a step of the planner, if this entry is it; returns whether it is.
    fn with_planner(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut planner::Planner, &planner::Surroundings<'_>, &mut Output),
    ) -> bool {
        let mut out = Output::default();
        if self.is_waking {
            return false;
        }
        let Some(planner) = &mut self.planner else { return false };
        let around = planner::Surroundings {
            registry: &self.registry,
            rules: self.rulebook.file(),
            revision: self.rulebook.revision(),
        };
        step(planner, &around, &mut out);
        self.flush(now, out);
        true
    }

    fn frame(&mut self, now: Duration, envelope: envelope::Envelope) {
        let mine = self.options.me.generation;
        if envelope.to_generation != 0 && envelope.to_generation != mine {
            return;
        }
        self.body(now, &envelope.from, envelope.body);
    }

    fn body(&mut self, now: Duration, from: &Peer, body: frame::Body) {
        match body {
            frame::Body::Announce(announce) => self.announced(now, from, announce),
            frame::Body::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat),
            frame::Body::EntryBeat(beat) => self.entry_beat(now, from, beat),
            frame::Body::RulesPull(pull) => self.rules_pulled(from, pull),
            frame::Body::Rules(rules) => self.rules_offered(now, rules),
            frame::Body::JobCall(call) => self.job_call(now, from, call),
            frame::Body::JobReply(reply) => {
                let mut out = Output::default();
                self.job_calls.replied(reply, &mut out);
                self.flush(now, out);
            }
            frame::Body::HoldReply(reply) => {
                self.with_planner(now, |planner, around, out| {
                    planner.hold_reply(now, from, &reply, around, out);
                });
            }
            frame::Body::Report(report) => {
                self.with_planner(now, |planner, around, out| {
                    planner.report(now, from, &report, out);
                    planner.tick(now, around, out);
                });
            }
            frame::Body::BarReply(reply) => {
                self.with_planner(now, |planner, _, out| {
                    planner.bar_reply(now, from, &reply, out);
                });
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.bar_reply(now, from, &reply, registry, rng, out);
                });
            }
            frame::Body::Answer(answer) => {
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.answered(now, from, answer, registry, rng, out);
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

    fn announced(&mut self, now: Duration, from: &Peer, announce: Announce) {
        let zone = announce.zone.clone();
        if self.registry.announce(now, from, announce) {
            self.log(MEMBER, format!("agent={} zone={zone} announced", from.name));
        }
        self.welcome(now, from, false);
    }

    fn heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: &Heartbeat) {
        let is_known = self.registry.heartbeat(now, from, heartbeat);
        if !is_known || self.registry.is_welcome_due(&from.name) {
            self.welcome(now, from, !is_known);
        } else {
            self.greet(now, from);
        }
    }

    /// The planner, unless this process has just woken and can't know whether it still is one.
    fn sure_planner(&self) -> Option<&planner::Planner> {
        self.planner.as_ref().filter(|_| !self.is_waking)
    }

    fn welcome(&mut self, now: Duration, from: &Peer, announce_again: bool) {
        let mut entries: Vec<Peer> = self.peers.heard(now).map(|e| e.peer.clone()).collect();
        entries.push(self.options.me.clone());
        let agent = self.registry.get(&from.name);
        let is_own_cell = agent.is_some_and(|agent| agent.region == self.options.region);
        let epoch = self.sure_planner().filter(|_| is_own_cell).map(|p| p.epoch().clone());
        let region = self.options.region.clone();
        let welcome = Welcome { announce_again, entries, planner: epoch, region };
        self.send(from, frame::Body::Welcome(welcome));
        self.greet(now, from);
    }

    fn greet(&mut self, now: Duration, agent: &Peer) {
        self.with_planner(now, |planner, around, out| {
            if let Some(agent) = around.registry.get(&agent.name) {
                planner.greet(agent, around, out);
            }
        });
    }

    fn entry_beat(&mut self, now: Duration, from: &Peer, beat: EntryBeat) {
        let has_newer = beat.rules > self.rulebook.revision();
        self.peers.hear(now, from, beat);
        if has_newer {
            let above = self.rulebook.revision();
            self.send(from, frame::Body::RulesPull(RulesPull { above }));
        }
    }

    fn rules_offered(&mut self, now: Duration, rules: Rules) {
        if rules.ruleset.is_some_and(|ruleset| self.rulebook.offer(ruleset)) {
            self.rules_changed(now);
        }
    }

    fn rules_pulled(&mut self, from: &Peer, pull: RulesPull) {
        if self.rulebook.revision() > pull.above {
            let ruleset = Some(self.rulebook.ruleset().clone());
            self.send(from, frame::Body::Rules(Rules { ruleset }));
        }
    }

    fn job_call(&mut self, now: Duration, from: &Peer, call: JobCall) {
        let number = call.call;
        let is_planner = self.with_planner(now, |planner, around, out| {
            planner.call(now, from, call, around, out);
            planner.tick(now, around, out);
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
        if now >= self.next_beat {
            self.next_beat = now + self.options.heartbeat;
            self.beat(now);
        }
        for name in self.registry.forget_silent(now) {
            self.log(MEMBER, format!("agent={name} gone reason=silent"));
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
        let own = self.sure_planner().map(|_| self.options.me.clone());
        let region = self.options.region.clone();
        let peers = &self.peers;
        let planner = |of: &str| {
            let own = own.clone().filter(|_| of == region);
            own.or_else(|| peers.planner(now, of).map(|(peer, _)| peer.clone()))
        };
        self.job_calls.tick(now, planner, &mut out);
        self.flush(now, out);
    }

    /// Tells the other entries what this one has and does.
    fn beat(&mut self, now: Duration) {
        let mut entries: Vec<Peer> = self.peers.heard(now).map(|e| e.peer.clone()).collect();
        entries.push(self.options.me.clone());
        let beat = EntryBeat {
            region: self.options.region.clone(),
            zone: self.options.zone.clone(),
            draining: self.draining_since.is_some(),
            rules: self.rulebook.revision(),
            planner: self.sure_planner().map(|planner| planner.epoch().clone()),
            entries,
        };
        let others: Vec<Peer> =
            self.peers.due(self.beats).map(|entry| entry.peer.clone()).collect();
        self.beats = self.beats.wrapping_add(1);
        for other in others {
            let to = peer::new(&other.name, &other.address, 0);
            self.send(&to, frame::Body::EntryBeat(beat.clone()));
        }
    }

    fn drain(&mut self, now: Duration) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(now);
        self.log(MEMBER, format!("drain begins requests={}", self.requests.len()));
        if let Some(call) = self.holder.release() {
            self.store(now, Purpose::Forget, call);
        }
        self.step_down("shutdown");
        self.beat(now);
    }

    /// Exits when every caller has its answer. New callers are served until the balancer has
    /// had time to see that this entry is not ready.
    fn tick_drain(&mut self, now: Duration) {
        let Some(since) = self.draining_since else { return };
        let has_lingered = now.saturating_sub(since) >= self.options.silence;
        let is_idle = self.requests.is_empty() && self.job_calls.is_empty();
        if has_lingered && is_idle {
            self.effects.push(Effect::Exit);
            return;
        }
        let is_overdue = now.saturating_sub(since) >= self.options.shutdown;
        if is_overdue && !self.has_reported_overdue {
            self.has_reported_overdue = true;
            let (requests, calls) = (self.requests.len(), self.job_calls.len());
            let text = format!("drain exceeds its bound requests={requests} job_calls={calls}");
            self.log(MEMBER, text);
        }
    }

    fn answer(&mut self, caller: Caller, answer: Answer) {
        self.effects.push(Effect::Answer(caller, answer));
    }

    fn http(&mut self, now: Duration, caller: Caller, request: &api::Request) {
        let region = self.options.region.clone();
        match api::parse(request, &region) {
            Ok(call) => self.call(now, caller, call),
            Err(answer) => self.answer(caller, answer),
        }
    }

    fn call(&mut self, now: Duration, caller: Caller, call: api::Call) {
        match call {
            api::Call::Service(service) => {
                self.with_requests(now, |requests, registry, rng, out| {
                    requests.take(now, caller, service, registry, rng, out);
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
                self.call_about(now, caller, job_calls::Kind::Look(is_waiting), &id, body, wait);
            }
            api::Call::Explain(id) => {
                let body = job_call::Body::Explain(id.clone());
                let kind = job_calls::Kind::Look(false);
                self.call_about(now, caller, kind, &id, body, Duration::ZERO);
            }
            api::Call::Cancel(id) => {
                let body = job_call::Body::Cancel(id.clone());
                let kind = job_calls::Kind::Cancel;
                self.call_about(now, caller, kind, &id, body, Duration::ZERO);
            }
            api::Call::Jobs(region, organisation) => {
                let body = job_call::Body::List(organisation);
                let kind = job_calls::Kind::List;
                self.job_calls.take(now, caller, kind, &region, body, Duration::ZERO);
                self.tick_job_calls(now);
            }
            api::Call::ApplyRules(apply) => self.apply_rules(now, caller, &apply),
            call => {
                let answer = self.overview(now).look(&call);
                self.answer(caller, answer);
            }
        }
    }

    /// Submits a job under an identifier that starts with its region. With the caller's key it
    /// is the same each time, so that a submission that is repeated finds the job it made.
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
        self.job_calls.take(now, caller, kind, region, body, Duration::ZERO);
        self.tick_job_calls(now);
    }

    fn call_about(
        &mut self,
        now: Duration,
        caller: Caller,
        kind: job_calls::Kind,
        id: &id::Job,
        body: job_call::Body,
        wait: Duration,
    ) {
        let region = id.split('.').next().unwrap_or_default().to_owned();
        self.job_calls.take(now, caller, kind, &region, body, wait);
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
            && let Some(answer) = self.overview(now).refuse_short(&apply.text)
        {
            self.answer(caller, answer);
            return;
        }
        let me = &self.options.me;
        let prefix = format!("{}-{:x}", me.name, me.generation);
        match self.rulebook.apply(now, caller, apply, &prefix) {
            Ok(call) => self.store(now, Purpose::WriteRules, call),
            Err(answer) => self.answer(caller, answer),
        }
    }
}
