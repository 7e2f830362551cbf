//! Polls of agents: sessions, runs on the worker, and orders.

use std::time::Duration;

use prost::Message as _;
use sapphire_jobs::{
    Absence, Incarnation, LateCall, Orders, Poll, RejectedMinion, Start,
    task::{GroupKey, Task, WorkerName},
};

use crate::{
    effect::Effect,
    event::{Moment, Requester},
    loss::Evidence,
    options,
    planner::Planner,
    run_log,
    state::feeds::Delivery,
    table::Entry,
    unanswered::{Grace, Released, Sender},
    worker::{LongPoll, Phase, Run, Worker},
};

/// Size in bytes from which on no further starts are added to an answer, so that its agent takes it and
/// few of them take up the planner's memory.
const MAX_START_BYTES: usize = 256 << 10;
/// Age from which on an unanswered start is logged when it counts no more.
const LONG_WAIT: Duration = Duration::from_secs(3);

/// Returns whether two messages refer to the same incarnation of a minion.
fn is_same_incarnation(left: &Incarnation, right: &Incarnation) -> bool {
    left.id == right.id && left.born_ms == right.born_ms
}

/// Describes why an agent takes its minion for absent, for a log line.
fn absence(absence: Option<&Absence>) -> String {
    absence.map_or_else(String::new, |absence| {
        format!(
            ": cause={} age_ms={} observations={} answered_ms_ago={} heartbeat_ms_ago={}",
            absence.cause().as_str_name(),
            absence.age_ms,
            absence.observations,
            absence.answer_age_ms,
            absence.heartbeat_age_ms
        )
    })
}

impl Planner {
    /// Handles an agent's poll. It is answered later, unless it begins a session or is stale.
    pub(crate) fn handle_poll(&mut self, now: Moment, requester: Requester, poll: Poll) {
        let name = poll.agent.clone();
        if !self.workers.contains_key(&name) {
            self.log(format!("worker={name} address={} joins", poll.address));
        }
        let known = self.workers.entry(name.clone()).or_default();
        let is_new_agent = poll.generation != known.generation;
        let is_stale = if poll.generation < known.generation {
            !known.is_restarted(now.steady, poll.generation, poll.sequence)
        } else {
            poll.generation == known.generation && poll.sequence <= known.sequence
        };
        if is_stale {
            // A newer poll has overtaken this one. Its content is ignored, but its sender learns
            // that it has found the planner.
            let is_cordoned = self.cordons.contains(known);
            let token = known.token;
            let calls_outlive_incarnations = self.unanswered.calls_outlive_incarnations;
            let orders = Orders {
                term: self.term,
                token,
                is_cordoned,
                calls_outlive_incarnations,
                ..Orders::default()
            };
            self.effects.push(Effect::Orders(requester, Box::new(orders)));
            return;
        }
        let (poll, is_rejected) = self.without_foreign_minion(&name, poll);
        if let Some(call) = &poll.late_call {
            self.count_on_late_calls(&name, call);
        }
        let is_new_session = self.track_incarnations(now, &name, &poll);
        let worker = self.workers.get_mut(&name).expect("inserted above");
        self.needs_pass |= worker.absence.is_some() != poll.absence.is_some();
        worker.absence.clone_from(&poll.absence);
        self.record_unanswered(now, &name, &poll);
        let lease_expiry = self.options.lease_expiry();
        let worker = self.workers.get_mut(&name).expect("inserted above");
        if worker.last_contact == Duration::ZERO {
            // An earlier planner may have granted a lease until now.
            worker.lease_expires_at = worker.lease_expires_at.max(now.steady + lease_expiry);
        }
        worker.address.clone_from(&poll.address);
        worker.sequence = poll.sequence;
        if is_new_agent || now.steady >= worker.last_contact + options::SILENCE_TIMEOUT {
            worker.contact_since = now.steady;
        }
        worker.last_contact = now.steady;
        worker.asked = None;
        worker.is_leaving = poll.is_leaving;
        self.end_silence(now, &name);
        let worker = self.workers.get_mut(&name).expect("inserted above");
        let is_fenced = poll.fenced_token == worker.token && poll.incarnation.is_some();
        let earlier = worker.long_poll.replace(LongPoll { requester, since: now.steady });
        if let Some(earlier) = earlier {
            let orders = self.grant(now, &name);
            self.effects.push(Effect::Orders(earlier.requester, Box::new(orders)));
        }
        if is_new_session || is_rejected {
            // The token is needed at once, so that fencing can proceed while the store is read.
            self.send_empty_orders(&name);
        } else if is_fenced && self.startup.is_serving() {
            self.reconcile(now, &name, &poll);
        }
    }

    /// Removes the minion from a poll, with all that is said of it, unless it is known to be the worker's: the
    /// configuration or a job names its service. Returns also whether the agent has to be told so.
    ///
    /// Guards against a task that runs twice: a minion's heartbeats may come from another writer. Its lists
    /// show nothing of what the worker runs.
    fn without_foreign_minion(&mut self, name: &str, poll: Poll) -> (Poll, bool) {
        let foreign = poll.incarnation.as_ref().filter(|minion| !self.is_known_service(minion));
        let foreign = foreign.map(|minion| RejectedMinion {
            id: minion.id.clone(),
            born_ms: minion.born_ms,
            service: minion.service.clone(),
        });
        // Without a configuration any service may be a true one.
        let rejected = foreign.clone().filter(|_| self.catalog.has_services());
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let is_new = rejected.is_some() && worker.rejected != rejected;
        worker.rejected = rejected;
        worker.had_foreign_minion |= foreign.is_some();
        let Some(RejectedMinion { id, service, .. }) = foreign else { return (poll, false) };
        if is_new {
            self.log(format!(
                "worker={name} minion={id} rejected: service={service} is not configured"
            ));
        }
        let poll = Poll {
            agent: poll.agent,
            address: poll.address,
            generation: poll.generation,
            sequence: poll.sequence,
            is_leaving: poll.is_leaving,
            ..Poll::default()
        };
        (poll, is_new)
    }

    /// Returns whether the service of a minion is configured, or is that of a job that is kept.
    fn is_known_service(&self, minion: &Incarnation) -> bool {
        let is_of_job = |entry: &Entry| entry.job.service == minion.service;
        self.catalog.names_service(&minion.service) || self.table.entries.values().any(is_of_job)
    }

    /// Records the starts that an agent has had no answer to.
    fn record_unanswered(&mut self, now: Moment, name: &str, poll: &Poll) {
        if let Some(minion) = &poll.incarnation {
            self.unanswered.set_minion(name, &minion.id);
        }
        if self.is_known_gone(name) {
            return;
        }
        let token = self.workers.get(name).map_or(0, |worker| worker.token);
        let is_in_session = token > 0 && poll.fenced_token == token;
        let has_no_minion = poll.is_minion_gone && poll.incarnation.is_none();
        let born_ms = poll.incarnation.as_ref().map_or(0, |minion| minion.born_ms);
        let sender = Sender { generation: poll.generation, is_in_session, has_no_minion, born_ms };
        self.unanswered.report(now.steady, name, sender, &poll.unanswered);
    }

    /// Reckons from now on with minions that carry out calls which were meant for an earlier incarnation,
    /// as one has done. Successors learn of it from the stored list of workers.
    fn count_on_late_calls(&mut self, name: &str, call: &LateCall) {
        if self.startup.calls_outlive_incarnations {
            return;
        }
        let run = call
            .run
            .as_ref()
            .map_or(String::new(), |run| format!("task={} run={} ", Task::read(run), run.run));
        self.log(format!(
            "{run}worker={name} minion={} carried out by the incarnation of born_ms={}, but sent to \
             that of born_ms={}: calls outlive incarnations",
            call.minion, call.born_ms, call.sent_to_ms
        ));
        self.startup.calls_outlive_incarnations = true;
        self.startup.is_fleet_dirty = true;
        self.unanswered.calls_outlive_incarnations = true;
    }

    /// Removes the unanswered starts that have expired.
    pub(crate) fn expire_unanswered(&mut self, now: Moment) {
        self.unanswered.expire(now.steady, self.start_grace(), &self.workers);
    }

    /// Logs the starts that have counted for long.
    pub(crate) fn log_released(&mut self, now: Moment) {
        let released = self.unanswered.take_released(self.handover.durable);
        for Released { task, number, worker, expires_at } in released {
            let age = (now.steady + options::START_EXPIRY).saturating_sub(expires_at);
            if age >= LONG_WAIT {
                let age = age.as_millis();
                self.log(format!(
                    "task={task} run={number} worker={worker} unanswered start counts no more, \
                     age_ms={age}"
                ));
            }
        }
    }

    /// Returns how much longer unanswered starts count of which nothing more is known.
    pub(crate) fn start_grace(&self) -> Grace {
        Grace { run: self.options.longest_lease_expiry(), agent: self.options.lease_expiry() }
    }

    /// Answers a worker's poll with the session's token, without starts and stops.
    fn send_empty_orders(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(long_poll) = worker.long_poll.take() else { return };
        let mut orders = worker.empty_orders(self.term);
        orders.calls_outlive_incarnations = self.unanswered.calls_outlive_incarnations;
        orders.is_cordoned = self.cordons.contains(worker);
        worker.is_cordon_sent = orders.is_cordoned;
        worker.entries_sent = Delivery::default();
        orders.entries =
            self.feeds.addresses.update_for(worker.last_contact, &mut worker.entries_sent);
        self.effects.push(Effect::Orders(long_poll.requester, Box::new(orders)));
    }

    /// Answers polls that arrived before the store was read, so that their agents report again.
    pub(crate) fn answer_early_polls(&mut self) {
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for name in names {
            self.send_empty_orders(&name);
        }
    }

    /// Tracks new processes of the agent and new incarnations of its minion, each of which begins a
    /// new session. Returns whether a session has begun.
    fn track_incarnations(&mut self, now: Moment, name: &str, poll: &Poll) -> bool {
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let is_new_agent = poll.generation != worker.generation;
        if is_new_agent {
            self.unanswered.retain_lost(now.steady, name, worker);
        }
        let is_new_minion = match (&worker.incarnation, &poll.incarnation) {
            (Some(known), Some(new)) => !is_same_incarnation(known, new),
            (Some(_), None) => poll.is_minion_gone,
            (None, Some(_)) => true,
            (None, None) => false,
        };
        worker.generation = poll.generation;
        worker.is_vacant = poll.is_minion_gone && poll.incarnation.is_none();
        // An agent that has lost its session must not resume an earlier one.
        let has_lost_session = worker.is_fenced && poll.fenced_token < worker.token;
        // The agent may have shown the worker's minion a token that is above that of the session.
        let had_foreign_minion =
            poll.incarnation.is_some() && std::mem::take(&mut worker.had_foreign_minion);
        let is_new_session = is_new_agent
            || is_new_minion
            || worker.token == 0
            || has_lost_session
            || had_foreign_minion;
        if is_new_session {
            self.sessions += 1;
            worker.token = self.term * options::SESSIONS_PER_TERM + self.sessions;
            worker.is_fenced = false;
            worker.is_new_incarnation = is_new_minion;
        }
        let has_restarted = match (&worker.incarnation, &poll.incarnation) {
            (Some(known), Some(new)) => is_new_minion && known.id == new.id,
            _ => false,
        };
        if has_restarted {
            // Guards against work that runs elsewhere while this incarnation still runs it: a
            // message meant for the previous incarnation may have given it a lease that was
            // computed for the previous one.
            let longest = now.steady + self.options.longest_lease_expiry();
            worker.lease_expires_at = worker.lease_expires_at.max(longest);
        }
        let is_named = |new: &Incarnation| {
            let known = worker.incarnation.as_ref();
            known.is_some_and(|known| known.id == new.id)
                && self.unanswered.calls_outlive_incarnations
        };
        let had_minion = worker.incarnation.is_some();
        worker.has_void_orders |=
            is_new_minion && had_minion && !poll.incarnation.as_ref().is_some_and(is_named);
        let was_draining = worker.incarnation.as_ref().is_some_and(|minion| minion.is_draining);
        if is_new_minion {
            worker.pending_ends.clear();
            worker.acknowledged = 0;
            worker.acknowledged_sent = 0;
        }
        if poll.incarnation.is_some() || poll.is_minion_gone {
            worker.incarnation.clone_from(&poll.incarnation);
        }
        let token = worker.token;
        if is_new_minion {
            let id = poll.incarnation.as_ref().map_or("none", |minion| minion.id.as_str());
            self.log(format!("worker={name} minion={id} token={token}"));
            self.suspects.forget(name);
            self.identify_machine(name);
            if let Some(minion) = &poll.incarnation {
                self.learn_joined(now, name, &minion.id);
            }
            // A new incarnation may run tasks that were ordered since it started; its first list
            // shows them. An incarnation that has ended without a successor runs nothing.
            if had_minion && poll.incarnation.is_none() {
                let text = format!("minion ended{}", absence(poll.absence.as_ref()));
                self.lose_runs(now, name, Evidence::NoMinion, &text);
            }
        }
        let is_draining = poll.incarnation.as_ref().is_some_and(|minion| minion.is_draining);
        if is_draining && !was_draining {
            self.log(format!("worker={name} drains"));
        }
        if poll.is_minion_gone && poll.incarnation.is_none() {
            self.remove_vacant(now, name, &absence(poll.absence.as_ref()));
        }
        self.needs_pass |= is_new_session || is_draining != was_draining;
        is_new_session
    }

    /// Ends all runs of a worker without a minion and removes the worker from the stored list:
    /// nothing runs there, and a successor need not wait for it.
    fn remove_vacant(&mut self, now: Moment, name: &str, absence: &str) {
        let text = format!("worker has no minion{absence}");
        self.lose_runs(now, name, Evidence::NoMinion, &text);
        self.unanswered.lapse(now.steady, name);
        self.remove_member(name);
        self.check_recovered(now);
    }

    /// Answers polls for which there are orders, and those that have waited long enough.
    pub(crate) fn answer_polls(&mut self, now: Moment) {
        let may_have_changes =
            |worker: &Worker| worker.long_poll.is_some() || !worker.pending_ends.is_empty();
        let (may_start, durable) = (self.may_start(now), self.handover.durable);
        let names: Vec<WorkerName> = (self.workers.iter())
            .filter(|(_, worker)| may_have_changes(worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.advance_acknowledged(&name);
            let worker = self.workers.get(&name).expect("just listed");
            let Some(long_poll) = worker.long_poll else { continue };
            let waited = now.steady.saturating_sub(long_poll.since);
            let is_over = waited >= options::POLL_TIMEOUT;
            let has_acknowledged = worker.acknowledged > worker.acknowledged_sent
                && waited >= options::POLL_TIMEOUT / 3;
            let is_cordon_new = self.cordons.contains(worker) != worker.is_cordon_sent;
            let is_due = worker.has_orders(may_start, durable)
                || has_acknowledged
                || is_cordon_new
                || is_over
                || self.is_grant_due(now, &name, worker);
            if is_due {
                self.send_orders(now, &name, long_poll.requester);
            }
        }
    }

    /// Acknowledges ends once their consequences are durable.
    ///
    /// Guards against a task that is done and runs again: until then the minion's list is the only
    /// other record of it. The ends of a cancelled job need not wait: it starts no task again, and
    /// its progress is no longer written.
    fn advance_acknowledged(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("the caller has listed it");
        while let Some((number, change)) = worker.pending_ends.first_key_value() {
            let is_durable = change.as_ref().is_none_or(|(job, change)| {
                run_log::is_durable(self.table.entries.get(job), *change)
            });
            if !is_durable {
                return;
            }
            worker.acknowledged = worker.acknowledged.max(*number);
            worker.pending_ends.pop_first();
        }
    }

    /// Returns an answer to a poll of a worker without starts and stops, which extends the lease and
    /// the time for which the agent sends the starts that it has. Both count from the agent's poll,
    /// and here from its latest one.
    ///
    /// Guards against runs that lapse, and starts that are never sent, while an agent reports changes
    /// so often that each of its polls is answered when the next one arrives.
    fn grant(&mut self, now: Moment, name: &str) -> Orders {
        let obstacle = self.lease_obstacle(now, name);
        self.record_grant(now, name, obstacle);
        let is_silent = self.startup.recorded_lease_end(name).is_some();
        let window = if is_silent { Duration::ZERO } else { self.start_window(now) };
        let worker = self.workers.get(name).expect("the caller has listed it");
        let lease = self.lease_left(worker, name);
        let lease_expiry = self.options.expiry_of(lease);
        let worker = self.workers.get_mut(name).expect("the caller has listed it");
        let mut orders = worker.empty_orders(self.term);
        orders.calls_outlive_incarnations = self.unanswered.calls_outlive_incarnations;
        if obstacle.is_none() {
            orders.lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
            let until = worker.last_contact + lease_expiry;
            worker.lease_expires_at = worker.lease_expires_at.max(until);
            worker.granted_contact = worker.last_contact;
        }
        // The agent refuses the starts that it has for a cordoned zone, so that their outcome is
        // known and they can go elsewhere.
        orders.is_cordoned = self.cordons.contains(worker);
        let window = window.min(worker.start_window(now.steady));
        if !window.is_zero() {
            orders.starts_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
            worker.starts_until = worker.starts_until.max(worker.last_contact + window);
        }
        orders
    }

    /// Answers a worker's poll with the orders that its agent has not received.
    fn send_orders(&mut self, now: Moment, name: &str, requester: Requester) {
        let mut orders = self.grant(now, name);
        let may_start = orders.starts_ms > 0;
        let worker = self.workers.get(name).expect("the caller has listed it");
        // No order is sent before the first list of a session, which shows the earlier orders that
        // are invalid. An order with the session's own token would remain valid whatever that list
        // shows.
        let is_outstanding = |run: &Run| worker.is_fenced && !run.is_received;
        let mut start_bytes = 0;
        for (task, run) in worker.runs.iter().filter(|(_, run)| is_outstanding(run)) {
            match run.phase {
                // The others go with the answers to the next polls.
                Phase::Ordered if start_bytes >= MAX_START_BYTES => {}
                Phase::Ordered if may_start && run.recorded_in <= self.handover.durable => {
                    let start = self.start_order(task, run);
                    start_bytes += start.as_ref().map_or(0, Start::encoded_len);
                    orders.starts.extend(start);
                }
                Phase::Stopping => orders.stops.push(task.run(run.number)),
                Phase::Ordered | Phase::Running => {}
            }
        }
        self.log_orders(now, name, &orders);
        let worker = self.workers.get_mut(name).expect("the caller has listed it");
        for sent in orders.starts.iter().filter_map(|start| start.run.as_ref()) {
            if let Some(run) = worker.runs.get_mut(&Task::read(sent)) {
                run.is_sent = true;
            }
        }
        worker.is_cordon_sent = orders.is_cordoned;
        worker.long_poll = None;
        worker.acknowledged_sent = worker.acknowledged;
        orders.entries = self.feeds.addresses.update_for(now.steady, &mut worker.entries_sent);
        self.effects.push(Effect::Orders(requester, Box::new(orders)));
    }

    /// Returns the order to start a run.
    fn start_order(&self, task: &Task, run: &Run) -> Option<Start> {
        let entry = self.table.entries.get(&task.job)?;
        let is_gang = entry.step(task.step)?.is_gang;
        let group = entry.groups.get(&GroupKey::of(task, is_gang))?;
        Some(Start {
            run: Some(task.run(run.number)),
            spec: entry.job.spec.clone(),
            checkpoint: group.active().map_or_else(String::new, |it| it.checkpoint.clone()),
            ticket: String::new(),
        })
    }

    /// Logs starts and stops, and how old is what the starts rely on: the planner's knowledge of
    /// cancellations.
    fn log_orders(&mut self, now: Moment, name: &str, orders: &Orders) {
        let names = |runs: Vec<&sapphire_jobs::Run>| {
            let name = |run: &&sapphire_jobs::Run| format!("{}#{}", Task::read(run), run.run);
            runs.iter().map(name).collect::<Vec<_>>().join(",")
        };
        if !orders.starts.is_empty() || !orders.stops.is_empty() {
            let starts = names(orders.starts.iter().filter_map(|it| it.run.as_ref()).collect());
            let stops = names(orders.stops.iter().collect());
            let age = now.steady.saturating_sub(self.intake.verified_at).as_millis();
            self.log(format!(
                "worker={name} orders start={starts} stop={stops} cancellations_ms_ago={age}"
            ));
        }
    }

    /// Withdraws runs whose order was not sent from workers that take no starts now. Their groups
    /// start elsewhere.
    ///
    /// Guards against a group that waits for the lease and for late starts of a worker that was lost
    /// between its placement and the write of the handover record: nothing of the run can be there.
    ///
    /// While nothing may be placed, the orders wait for the next poll of their agents.
    pub(crate) fn withdraw_unsent(&mut self, now: Moment) {
        if !self.may_place(now) {
            return;
        }
        let is_unsent = |run: &Run| !run.is_started && !run.is_sent;
        let closed = self.workers.iter().filter(|(_, worker)| !worker.takes_starts(now.steady));
        let unsent: Vec<(WorkerName, Task, u32)> = closed
            .flat_map(|(name, worker)| worker.runs.iter().map(move |run| (name, run)))
            .filter(|(_, (_, run))| is_unsent(run))
            .map(|(name, (task, run))| (name.clone(), task.clone(), run.number))
            .collect();
        for (name, task, number) in unsent {
            let text = "withdrawn: its order was not sent";
            self.lose_run(now, &name, &task, number, Evidence::Unsent, text);
        }
    }

    /// Declares workers lost whose lease has certainly expired.
    pub(crate) fn expire_workers(&mut self, now: Moment) {
        let lease_expiry = self.options.lease_expiry();
        // A minion that hangs may never acknowledge the session of an agent that has been restarted.
        // No lease is granted in that session, nor while the minion seems to be absent.
        let hangs = |worker: &Worker| {
            let may_hang = worker.is_fenced && worker.absence.is_none();
            !worker.is_listed(now.steady) && (may_hang || !worker.runs.is_empty())
        };
        let lost: Vec<(WorkerName, &str)> = (self.workers.iter())
            .filter(|(_, worker)| now.steady >= worker.lost_at(now.steady, lease_expiry))
            .filter_map(|(name, worker)| match worker {
                worker if worker.is_silent(now.steady) => Some((name.clone(), "silent")),
                worker if !hangs(worker) || worker.is_just_back(now.steady) => None,
                worker if worker.absence.is_some() => Some((name.clone(), "minion is absent")),
                _ => Some((name.clone(), "minion hangs")),
            })
            .collect();
        for (name, why) in lost {
            self.log(format!("worker={name} {why}, lease expired; declared lost"));
            let mut text = format!("lease expired, {why}");
            if let Some(worker) = self.workers.get(&name) {
                if self.unanswered.calls_outlive_incarnations {
                    self.unanswered.retain_silent(now.steady, &name, worker);
                }
                text += &worker.ages(now.steady);
                text += &absence(worker.absence.as_ref());
            }
            self.lose_runs(now, &name, Evidence::Expired, &text);
            self.workers.remove(&name);
            self.unanswered.lapse(now.steady, &name);
            self.lose_for_missing_starts();
            if self.startup.is_recovered() {
                self.remove_member(&name);
            }
            self.needs_pass = true;
        }
    }
}
