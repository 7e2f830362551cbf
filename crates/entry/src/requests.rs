//! Callers' requests to services: routing, retries, and the account each caller gets.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand_pcg::Pcg64;
use sapphire_route::{
    budget,
    choose::{self, Candidate, Distance},
};
use sapphire_wire::{Answer, AnswerState, Bar, BarReply, Peer, Request, TaskState, frame, id};

use crate::{
    answer::{self, Account},
    api,
    effect::Output,
    event, options, registry,
};

/// Part that log lines name.
const PART: &str = "route";
/// Longest wait for a free slot before a request is shed.
const QUEUE_WAIT: Duration = Duration::from_millis(500);
/// Requests that may wait for a slot, for each slot known.
const QUEUE_PER_SLOT: usize = 8;
/// When a caller that was shed may come back.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// Where a request stands.
#[derive(Clone, Debug)]
enum Stage {
    /// Waits for a free slot.
    Queued { until: Duration },
    /// Sent to an agent.
    Sent { agent: Peer, at: Duration, probed: Option<Duration> },
}

#[derive(Debug)]
struct Pending {
    caller: event::Caller,
    call: api::Service,
    deadline: Duration,
    tries: u32,
    refused_by: Vec<id::Process>,
    stage: Stage,
}

/// Requests in flight through this entry.
#[derive(Debug)]
pub struct Requests {
    options: options::Options,
    budget: budget::Budget,
    pending: BTreeMap<id::Attempt, Pending>,
    queue: VecDeque<id::Attempt>,
    count: u64,
}

impl Requests {
    /// None in flight.
    pub fn new(options: &options::Options) -> Self {
        Requests {
            options: options.clone(),
            budget: budget::Budget::default(),
            pending: BTreeMap::new(),
            queue: VecDeque::new(),
            count: 0,
        }
    }

    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn next_attempt(&mut self) -> id::Attempt {
        self.count += 1;
        let me = &self.options.me;
        format!("{}-{:x}-{}", me.name, me.generation, self.count)
    }

    /// Takes a caller's request: sends it on, queues it for a slot, or sheds it at once.
    pub fn take(
        &mut self,
        now: Duration,
        caller: event::Caller,
        call: api::Service,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let serves = |agent: &registry::Agent| {
            agent.minion.as_ref().is_some_and(|minion| minion.service == call.name)
        };
        let slots: u32 = registry
            .agents()
            .values()
            .filter(|agent| serves(agent))
            .filter_map(|agent| agent.minion.as_ref().map(|minion| minion.slots))
            .sum();
        if slots == 0 {
            out.answer(caller, unknown_service(&call.name, registry.is_warm(now)));
            return;
        }
        let most_queued = slots as usize * QUEUE_PER_SLOT;
        let is_full = self.queue.len() >= most_queued;
        if is_full || self.pending.len() >= self.options.max_requests {
            out.answer(caller, shed("too many requests are in flight"));
            return;
        }
        self.budget.earn();
        let deadline = now + call.deadline.unwrap_or(self.options.request);
        let attempt = self.next_attempt();
        let until = deadline.min(now + QUEUE_WAIT);
        let stage = Stage::Queued { until };
        let (tries, refused_by) = (0, Vec::new());
        let pending = Pending { caller, call, deadline, tries, refused_by, stage };
        self.pending.insert(attempt.clone(), pending);
        if !self.queue.is_empty() || !self.send(now, &attempt, registry, rng, out) {
            self.queue.push_back(attempt);
        }
    }

    fn candidates(
        &self,
        now: Duration,
        pending: &Pending,
        registry: &registry::Registry,
    ) -> Vec<Candidate> {
        let serves = |agent: &&registry::Agent| {
            agent.minion.as_ref().is_some_and(|minion| minion.service == pending.call.name)
        };
        let is_open = |agent: &&registry::Agent| {
            registry.is_heard(now, agent) && !agent.load.draining && agent.free_places() > 0
        };
        let open: Vec<&registry::Agent> =
            registry.agents().values().filter(serves).filter(is_open).collect();
        let is_other = |agent: &&&registry::Agent| !pending.refused_by.contains(&agent.peer.name);
        let others: Vec<&registry::Agent> = open.iter().filter(is_other).copied().collect();
        // One that refused is asked again only when no other is open.
        let wanted = if others.is_empty() { open } else { others };
        wanted.into_iter().map(|agent| self.candidate(agent)).collect()
    }

    fn candidate(&self, agent: &registry::Agent) -> Candidate {
        Candidate {
            agent: agent.peer.name.clone(),
            free_slots: agent.free_slots(),
            free_places: agent.free_places(),
            distance: self.distance(agent),
        }
    }

    fn distance(&self, agent: &registry::Agent) -> Distance {
        if agent.zone == self.options.zone {
            Distance::Zone
        } else if agent.region == self.options.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    /// Sends a queued request to a minion with a free slot; returns false when there is none.
    fn send(
        &mut self,
        now: Duration,
        attempt: &str,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) -> bool {
        let Some(pending) = self.pending.get(attempt) else { return true };
        let candidates = self.candidates(now, pending, registry);
        let Some(choice) = choose::choose(&candidates, rng) else { return false };
        let Some(agent) = registry.get_mut(&choice.agent) else { return false };
        agent.in_flight += 1;
        let peer = agent.peer.clone();
        let Some(pending) = self.pending.get_mut(attempt) else { return true };
        pending.tries += 1;
        pending.stage = Stage::Sent { agent: peer.clone(), at: now, probed: None };
        let runner_up = if choice.runner_up.is_empty() { "none" } else { &choice.runner_up };
        out.log(
            PART,
            format!(
                "attempt={attempt} service={} choice={} reason=nearest-with-slots free={} \
                 runner_up={runner_up}",
                pending.call.name, choice.agent, choice.free_slots
            ),
        );
        let left = pending.deadline.saturating_sub(now);
        let request = Request {
            attempt: attempt.to_owned(),
            method: pending.call.method.clone(),
            path: pending.call.path.clone(),
            headers: pending.call.headers.clone(),
            body: pending.call.body.clone(),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        out.send(&peer, frame::Body::Request(request));
        true
    }

    /// Takes an agent's answer. One for an attempt that is not waited for (late, repeated, or
    /// of a caller that has its answer) is dropped, so that no caller gets another's answer.
    pub fn answered(
        &mut self,
        now: Duration,
        from: &Peer,
        answer: Answer,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let free = answer.free_slots;
        self.take_answer(now, from, answer, registry, out);
        if let Some(agent) = registry.get_mut(&from.name) {
            agent.told_places(free);
        }
        self.drain_queue(now, registry, rng, out);
    }

    fn take_answer(
        &mut self,
        now: Duration,
        from: &Peer,
        answer: Answer,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let Some(pending) = self.pending.get(&answer.attempt) else { return };
        if !matches!(&pending.stage, Stage::Sent { agent, .. } if agent.name == from.name) {
            return;
        }
        let idempotent = pending.call.is_idempotent;
        match answer.state() {
            AnswerState::AnswerWhole => {
                self.finish(&answer.attempt.clone(), whole(answer), registry, out)
            }
            AnswerState::AnswerInterrupted if !idempotent => {
                let failure = answer::Answer::failure(502, Account::Interrupted, &answer.reason);
                self.finish(&answer.attempt, failure, registry, out);
            }
            AnswerState::AnswerInterrupted => {
                let account = Account::Interrupted;
                self.retry(now, &answer.attempt, account, &answer.reason, registry, out);
            }
            AnswerState::AnswerNotRun => {
                let account = Account::NotRun;
                self.retry(now, &answer.attempt, account, &answer.reason, registry, out);
            }
        }
    }

    /// Queues a request for another agent, within its deadline and the retry budget.
    fn retry(
        &mut self,
        now: Duration,
        attempt: &str,
        account: Account,
        reason: &str,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let Some(mut pending) = self.pending.remove(attempt) else { return };
        let Stage::Sent { agent, .. } = &pending.stage else { return };
        if let Some(agent) = registry.get_mut(&agent.name) {
            agent.in_flight = agent.in_flight.saturating_sub(1);
        }
        if now >= pending.deadline || !self.budget.spend() {
            let answer = match account {
                Account::NotRun => shed(reason),
                _ => answer::Answer::failure(502, account, reason),
            };
            out.answer(pending.caller, answer.with(answer::ATTEMPT, attempt));
            return;
        }
        pending.refused_by.push(agent.name.clone());
        pending.stage = Stage::Queued { until: pending.deadline.min(now + QUEUE_WAIT) };
        let next = self.next_attempt();
        out.log(PART, format!("attempt={attempt} retried_as={next} reason=\"{reason}\""));
        self.pending.insert(next.clone(), pending);
        self.queue.push_front(next);
    }

    fn finish(
        &mut self,
        attempt: &str,
        answer: answer::Answer,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let Some(pending) = self.pending.remove(attempt) else { return };
        if let Stage::Sent { agent, .. } = &pending.stage
            && let Some(agent) = registry.get_mut(&agent.name)
        {
            agent.in_flight = agent.in_flight.saturating_sub(1);
        }
        out.answer(pending.caller, answer.with(answer::ATTEMPT, attempt));
    }

    /// Sends what is queued, in order, as far as places are free.
    fn drain_queue(
        &mut self,
        now: Duration,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let mut full: Vec<String> = Vec::new();
        for _ in 0..self.queue.len() {
            let Some(attempt) = self.queue.pop_front() else { return };
            let Some(pending) = self.pending.get(&attempt) else { continue };
            let service = pending.call.name.clone();
            if full.contains(&service) {
                self.queue.push_back(attempt);
            } else if !self.send(now, &attempt, registry, rng, out) {
                full.push(service);
                self.queue.push_back(attempt);
            }
        }
    }

    /// Takes an agent's word on an attempt that was probed.
    pub fn bar_reply(
        &mut self,
        now: Duration,
        from: &Peer,
        reply: &BarReply,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let Some(pending) = self.pending.get(&reply.attempt) else { return };
        let Stage::Sent { agent, .. } = &pending.stage else { return };
        if agent.name != from.name {
            return;
        }
        // A new life of the agent bars what it never saw; the old one may have run it.
        let is_same_life = agent.generation == from.generation;
        match reply.state() {
            TaskState::TaskBarred if is_same_life => {
                let reason = "the request did not reach its minion";
                let account = Account::NotRun;
                self.retry(now, &reply.attempt, account, reason, registry, out);
                self.drain_queue(now, registry, rng, out);
            }
            _ => {}
        }
    }

    /// Forgets a caller that has left; a queued request is not sent any more.
    pub fn leave(&mut self, caller: event::Caller) {
        let is_queued = |pending: &Pending| matches!(pending.stage, Stage::Queued { .. });
        self.pending.retain(|_, pending| pending.caller != caller || !is_queued(pending));
        let pending = &self.pending;
        self.queue.retain(|attempt| pending.contains_key(attempt));
    }

    /// Lets deadlines pass, probes silent agents, sends what is queued.
    pub fn tick(
        &mut self,
        now: Duration,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let attempts: Vec<id::Attempt> = self.pending.keys().cloned().collect();
        for attempt in attempts {
            self.tick_one(now, &attempt, registry, out);
        }
        let pending = &self.pending;
        self.queue.retain(|attempt| pending.contains_key(attempt));
        self.drain_queue(now, registry, rng, out);
    }

    fn tick_one(
        &mut self,
        now: Duration,
        attempt: &str,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let silence = self.options.silence;
        let Some(pending) = self.pending.get_mut(attempt) else { return };
        match &mut pending.stage {
            Stage::Queued { until } if now >= *until => {
                let answer = shed("no slot came free in time");
                self.finish(attempt, answer, registry, out);
            }
            Stage::Queued { .. } => {}
            Stage::Sent { agent, .. } if registry.is_gone(agent) => {
                let reason = format!("{} was lost", agent.name);
                self.lost(now, attempt, &reason, registry, out);
            }
            Stage::Sent { .. } if now >= pending.deadline + silence => {
                let reason = "no answer came before the deadline";
                let answer = answer::Answer::failure(504, Account::Unknown, reason);
                self.finish(attempt, answer, registry, out);
            }
            Stage::Sent { agent, at, probed } => {
                let last = probed.unwrap_or(*at);
                if now.saturating_sub(last) >= silence {
                    *probed = Some(now);
                    let bar = Bar { attempt: attempt.to_owned(), epoch: None };
                    out.send(agent, frame::Body::Bar(bar));
                }
            }
        }
    }

    /// The agent is gone: an idempotent request goes elsewhere, another is of unknown fate.
    fn lost(
        &mut self,
        now: Duration,
        attempt: &str,
        reason: &str,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let Some(pending) = self.pending.get(attempt) else { return };
        if pending.call.is_idempotent {
            self.retry(now, attempt, Account::Unknown, reason, registry, out);
        } else {
            let answer = answer::Answer::failure(504, Account::Unknown, reason);
            self.finish(attempt, answer, registry, out);
        }
    }
}

/// An entry that has just started has not heard every agent yet: the caller may come back.
fn unknown_service(name: &str, is_warm: bool) -> answer::Answer {
    let reason = format!("no minion has announced the service `{name}`");
    if is_warm { answer::Answer::failure(404, Account::NotRun, &reason) } else { shed(&reason) }
}

fn shed(reason: &str) -> answer::Answer {
    answer::Answer::failure(503, Account::NotRun, reason).retry_after(SHED_RETRY)
}

fn whole(answer: Answer) -> answer::Answer {
    let status = u16::try_from(answer.status).unwrap_or(502);
    let headers = answer.headers.into_iter().filter(|header| api::is_end_to_end(&header.name));
    let whole = answer::Answer { status, headers: headers.collect(), body: answer.body };
    whole.with(answer::ACCOUNT, Account::Done.to_string())
}
