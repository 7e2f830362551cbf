//! Callers' requests to services: routing, retries, and the account in each answer.

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

/// Part of the system that this module's log lines are written for.
const LOG_PART: &str = "route";
/// Longest wait for a free slot before a request is shed.
const QUEUE_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of queued requests per known slot.
const QUEUE_PER_SLOT: usize = 8;
/// Time after which a caller whose request was shed may retry.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a request.
#[derive(Clone, Debug)]
enum Stage {
    /// Waits for a free slot.
    Queued { until: Duration },
    /// Sent to an agent.
    Sent { agent: Peer, sent_at: Duration, last_probe: Option<Duration> },
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
    /// Creates an empty set of requests.
    pub fn new(options: &options::Options) -> Self {
        Requests {
            options: options.clone(),
            budget: budget::Budget::default(),
            pending: BTreeMap::new(),
            queue: VecDeque::new(),
            count: 0,
        }
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn next_attempt(&mut self) -> id::Attempt {
        self.count += 1;
        let identity = &self.options.identity;
        format!("{}-{:x}-{}", identity.name, identity.generation, self.count)
    }

    /// Accepts a caller's request: sends it to a minion, queues it for a slot, or sheds it at once.
    pub fn accept(
        &mut self,
        now: Duration,
        caller: event::Caller,
        call: api::Service,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let offers_service = |agent: &registry::Agent| {
            agent.minion.as_ref().is_some_and(|minion| minion.service == call.name)
        };
        let slots: u32 = registry
            .agents()
            .values()
            .filter(|agent| offers_service(agent))
            .filter_map(|agent| agent.minion.as_ref().map(|minion| minion.slots))
            .sum();
        if slots == 0 {
            out.answer(caller, unknown_service(&call.name, registry.is_warmed_up(now)));
            return;
        }
        let most_queued = slots as usize * QUEUE_PER_SLOT;
        let is_full = self.queue.len() >= most_queued;
        if is_full || self.pending.len() >= self.options.max_requests {
            out.answer(caller, shed("too many requests are in flight"));
            return;
        }
        self.budget.earn();
        let deadline = now + call.deadline.unwrap_or(self.options.request_timeout);
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

    /// Reachable minions of the requested service that have free places and are not draining.
    fn candidates(
        &self,
        now: Duration,
        pending: &Pending,
        registry: &registry::Registry,
    ) -> Vec<Candidate> {
        let offers_service = |agent: &&registry::Agent| {
            agent.minion.as_ref().is_some_and(|minion| minion.service == pending.call.name)
        };
        let is_open = |agent: &&registry::Agent| {
            registry.is_reachable(now, agent) && !agent.load.draining && agent.free_places() > 0
        };
        let open: Vec<&registry::Agent> =
            registry.agents().values().filter(offers_service).filter(is_open).collect();
        let is_other = |agent: &&&registry::Agent| !pending.refused_by.contains(&agent.peer.name);
        let others: Vec<&registry::Agent> = open.iter().filter(is_other).copied().collect();
        // An agent that refused the request is tried again only when no other is open.
        let preferred = if others.is_empty() { open } else { others };
        preferred.into_iter().map(|agent| self.candidate(agent)).collect()
    }

    fn candidate(&self, agent: &registry::Agent) -> Candidate {
        Candidate {
            agent: agent.peer.name.clone(),
            free_slots: agent.free_slots(),
            free_places: agent.free_places(),
            distance: self.distance(agent),
        }
    }

    /// Distance of an agent from this entry.
    fn distance(&self, agent: &registry::Agent) -> Distance {
        if agent.zone == self.options.zone {
            Distance::Zone
        } else if agent.region == self.options.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    /// Sends a queued request to a minion with a free slot or queue place; returns false when there
    /// is none.
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
        pending.stage = Stage::Sent { agent: peer.clone(), sent_at: now, last_probe: None };
        let runner_up = if choice.runner_up.is_empty() { "none" } else { &choice.runner_up };
        out.log(
            LOG_PART,
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

    /// Handles an agent's answer. An answer to an attempt that is not outstanding (late, repeated,
    /// or already answered) is dropped, so that no caller receives another caller's answer.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        from: &Peer,
        answer: Answer,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let free = answer.free_slots;
        self.apply_answer(now, from, answer, registry, out);
        if let Some(agent) = registry.get_mut(&from.name) {
            agent.update_free_places(free);
        }
        self.drain_queue(now, registry, rng, out);
    }

    /// Finishes or retries the request that an agent's answer belongs to.
    fn apply_answer(
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
                self.finish(&answer.attempt.clone(), complete_answer(answer), registry, out)
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
        out.log(LOG_PART, format!("attempt={attempt} retried_as={next} reason=\"{reason}\""));
        self.pending.insert(next.clone(), pending);
        self.queue.push_front(next);
    }

    /// Removes a request and answers its caller.
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

    /// Sends queued requests in order, as far as places are free.
    fn drain_queue(
        &mut self,
        now: Duration,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let mut full_services: Vec<String> = Vec::new();
        for _ in 0..self.queue.len() {
            let Some(attempt) = self.queue.pop_front() else { return };
            let Some(pending) = self.pending.get(&attempt) else { continue };
            let service = pending.call.name.clone();
            if full_services.contains(&service) {
                self.queue.push_back(attempt);
            } else if !self.send(now, &attempt, registry, rng, out) {
                full_services.push(service);
                self.queue.push_back(attempt);
            }
        }
    }

    /// Handles an agent's reply to a probe.
    pub fn handle_probe_reply(
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
        // A later process of the agent refuses attempts that it never saw, but the earlier one may
        // have run the request.
        let is_same_process = agent.generation == from.generation;
        match reply.state() {
            TaskState::TaskBarred if is_same_process => {
                let reason = "the request did not reach its minion";
                let account = Account::NotRun;
                self.retry(now, &reply.attempt, account, reason, registry, out);
                self.drain_queue(now, registry, rng, out);
            }
            _ => {}
        }
    }

    /// Drops the queued requests of a caller that has disconnected. Requests that were sent stay in
    /// flight.
    pub fn caller_left(&mut self, caller: event::Caller) {
        let is_queued = |pending: &Pending| matches!(pending.stage, Stage::Queued { .. });
        self.pending.retain(|_, pending| pending.caller != caller || !is_queued(pending));
        let pending = &self.pending;
        self.queue.retain(|attempt| pending.contains_key(attempt));
    }

    /// Enforces deadlines, probes silent agents, and sends queued requests.
    pub fn tick(
        &mut self,
        now: Duration,
        registry: &mut registry::Registry,
        rng: &mut Pcg64,
        out: &mut Output,
    ) {
        let attempts: Vec<id::Attempt> = self.pending.keys().cloned().collect();
        for attempt in attempts {
            self.tick_request(now, &attempt, registry, out);
        }
        let pending = &self.pending;
        self.queue.retain(|attempt| pending.contains_key(attempt));
        self.drain_queue(now, registry, rng, out);
    }

    fn tick_request(
        &mut self,
        now: Duration,
        attempt: &str,
        registry: &mut registry::Registry,
        out: &mut Output,
    ) {
        let silence_timeout = self.options.silence_timeout;
        let Some(pending) = self.pending.get_mut(attempt) else { return };
        match &mut pending.stage {
            Stage::Queued { until } if now >= *until => {
                let answer = shed("no slot came free in time");
                self.finish(attempt, answer, registry, out);
            }
            Stage::Queued { .. } => {}
            Stage::Sent { agent, .. } if registry.is_lost(agent) => {
                let reason = format!("{} was lost", agent.name);
                self.agent_lost(now, attempt, &reason, registry, out);
            }
            Stage::Sent { .. } if now >= pending.deadline + silence_timeout => {
                let reason = "no answer came before the deadline";
                let answer = answer::Answer::failure(504, Account::Unknown, reason);
                self.finish(attempt, answer, registry, out);
            }
            Stage::Sent { agent, sent_at, last_probe } => {
                let last = last_probe.unwrap_or(*sent_at);
                if now.saturating_sub(last) >= silence_timeout {
                    *last_probe = Some(now);
                    let bar = Bar { attempt: attempt.to_owned(), epoch: None };
                    out.send(agent, frame::Body::Bar(bar));
                }
            }
        }
    }

    /// Handles that the agent was declared lost: an idempotent request is retried elsewhere, any
    /// other is answered with an unknown outcome.
    fn agent_lost(
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

/// Answer for a service without minions. An entry that has just started does not know every agent
/// yet, so the caller may retry.
fn unknown_service(name: &str, is_warmed_up: bool) -> answer::Answer {
    let reason = format!("no minion has announced the service `{name}`");
    if is_warmed_up {
        answer::Answer::failure(404, Account::NotRun, &reason)
    } else {
        shed(&reason)
    }
}

/// Answer to a request that is shed.
fn shed(reason: &str) -> answer::Answer {
    answer::Answer::failure(503, Account::NotRun, reason).retry_after(SHED_RETRY_AFTER)
}

/// Answer to a request that its minion has served.
fn complete_answer(answer: Answer) -> answer::Answer {
    let status = u16::try_from(answer.status).unwrap_or(502);
    let headers = answer.headers.into_iter().filter(|header| api::is_end_to_end(&header.name));
    let complete = answer::Answer { status, headers: headers.collect(), body: answer.body };
    complete.with(answer::ACCOUNT, Account::Done.to_string())
}
