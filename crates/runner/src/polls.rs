//! Polls of the planner: they report the state of the minion and bring the planner's orders.

use std::time::Duration;

use sapphire_jobs::{Orders, Poll, Run, Running, task::Task};

use crate::{
    absence::Absence,
    effect::Effect,
    event::Ticket,
    machine::{Machine, Minion, PendingPoll},
    options,
    order::{Kind, Order},
};

impl Machine {
    /// Sends a poll if one is due. One poll is always in flight; a second one is sent when there
    /// are changes to report.
    pub(crate) fn drive_polls(&mut self, now: Duration) {
        let Some(leader) = &self.leader else { return };
        let is_idle = self.polls.is_empty();
        let may_report = self.has_changes && self.polls.len() < 2;
        if !(is_idle || may_report) || now < self.last_poll + options::POLL_DELAY {
            return;
        }
        let address = leader.address.clone();
        self.has_changes = false;
        self.sequence += 1;
        self.last_poll = now;
        for absence in self.minion.iter_mut().flat_map(Minion::absences) {
            absence.reported_in.get_or_insert(self.sequence);
        }
        let poll = Box::new(self.report(now));
        let ticket = self.next_ticket();
        self.polls.push(PendingPoll { ticket, sequence: self.sequence, sent_at: now });
        let oldest = self.polls.iter().map(|poll| poll.sequence).min();
        self.refusals.prune(oldest.unwrap_or(self.sequence));
        self.effects.push(Effect::Poll { ticket, address, poll });
    }

    /// Returns what shows that the minion is absent, or that there is none.
    fn shown_absence(&self) -> Option<&Absence> {
        let absence = match &self.minion {
            Some(minion) => minion.shown_absence(),
            None => self.absence.as_ref(),
        };
        absence.filter(|absence| absence.is_shown())
    }

    /// Builds a poll from the state of the agent and its minion.
    fn report(&mut self, now: Duration) -> Poll {
        for (_, reported_in) in &mut self.verdicts {
            reported_in.get_or_insert(self.sequence);
        }
        let (stops, starts): (Vec<_>, Vec<_>) =
            self.orders.iter().partition(|(_, order)| matches!(order.kind, Kind::Stop(_)));
        let runs = |orders: Vec<(&Task, &Order)>| {
            orders.into_iter().map(|(task, order)| task.run(order.number)).collect()
        };
        let pending: Vec<Run> = runs(starts);
        let stopping = runs(stops);
        self.lapse_starts(now);
        let unanswered = self.unanswered.report(now, &pending);
        let mut poll = Poll {
            agent: self.options.name.clone(),
            address: self.options.address.clone(),
            generation: self.options.generation,
            sequence: self.sequence,
            verdicts: self.verdicts.iter().map(|(verdict, _)| verdict.clone()).collect(),
            pending,
            stopping,
            unanswered,
            is_leaving: self.terminating_since.is_some(),
            is_minion_gone: self.is_minion_gone && self.minion.is_none(),
            absence: self.shown_absence().map(|absence| absence.message(now)),
            late_call: self.late_call.clone(),
            ..Poll::default()
        };
        if let Some(minion) = &self.minion {
            let started = minion.started.iter().map(|(task, (running, _))| (task, running));
            let mut running: Vec<(&Task, &Running)> = minion.running.iter().collect();
            running.extend(started.filter(|(task, _)| !minion.running.contains_key(*task)));
            poll.running = running.into_iter().map(|(_, running)| running.clone()).collect();
            poll.ended = minion.ended.values().cloned().collect();
            poll.incarnation = Some(minion.incarnation.clone());
            poll.fenced_token = minion.fenced_token;
            poll.lists = minion.lists;
            poll.is_partial = minion.is_list_partial;
            // A list of before a pause may have waited to be read until the process resumed.
            let is_old = minion.list_requested_at < self.resumed_at;
            let listed_at = if is_old { minion.list_requested_at } else { minion.list_received_at };
            let age = now.saturating_sub(listed_at).as_millis();
            poll.list_age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        }
        poll
    }

    /// Handles the planner's answer to a poll.
    pub(crate) fn orders_received(&mut self, now: Duration, ticket: Ticket, orders: Orders) {
        let Some(at) = self.polls.iter().position(|poll| poll.ticket == ticket) else { return };
        let poll = self.polls.remove(at);
        self.failed_polls = 0;
        for absence in self.minion.iter_mut().flat_map(Minion::absences) {
            absence.is_reported |= absence.reported_in.is_some_and(|it| poll.sequence >= it);
        }
        if orders.term < self.session.term {
            // The answering planner has been replaced.
            return;
        }
        self.verdicts
            .retain(|(_, reported_in)| reported_in.is_none_or(|first| first > poll.sequence));
        if !orders.entries.is_empty() {
            self.entries.clone_from(&orders.entries);
        }
        self.unanswered.set_outliving(orders.calls_outlive_incarnations);
        if let Some(rejected) = &orders.rejected {
            self.reject_minion(now, rejected);
        }
        self.begin_session(&orders);
        self.update_cordon(poll.sequence, orders.is_cordoned);
        if orders.token != self.session.token {
            return;
        }
        self.lapse_starts(now);
        // The lease counts from the sending of the poll, so that a late answer does not extend it.
        if orders.lease_ms > 0 {
            let until = poll.sent_at + Duration::from_millis(orders.lease_ms);
            self.session.lease_until = self.session.lease_until.max(until);
        }
        self.record_grant(now, orders.lease_ms > 0);
        let starts_until = poll.sent_at + Duration::from_millis(orders.starts_ms);
        self.session.starts_until = self.session.starts_until.max(starts_until);
        if orders.noted > self.session.acknowledged {
            self.session.acknowledged = orders.noted;
            if let Some(minion) = &mut self.minion {
                minion.ended.retain(|number, _| *number > orders.noted);
            }
            self.next_long_poll = now;
        }
        for run in &orders.stops {
            self.order_stop(run);
        }
        for start in orders.starts {
            self.order_start(now, start);
        }
    }

    /// Drops the attempts to start runs that nothing can come of any more: their lease is over.
    ///
    /// Guards against starts that a planner counts again which doesn't know when the lease was over.
    fn lapse_starts(&mut self, now: Duration) {
        let drift = self.options.longest_lease * options::CLOCK_DRIFT_MILLI / 1_000;
        if now >= self.session.lease_until + drift + options::TIMING_MARGIN {
            self.unanswered.lapse();
        }
    }

    /// Records whether the zone is cordoned, unless the answer to a later poll has arrived before.
    fn update_cordon(&mut self, sequence: u64, is_cordoned: bool) {
        if sequence < self.session.latest_answer {
            return;
        }
        self.session.latest_answer = sequence;
        if self.session.is_cordoned != is_cordoned {
            self.session.is_cordoned = is_cordoned;
            let effect = if is_cordoned { "cordoned; nothing is started" } else { "open again" };
            self.log(format!("the zone is {effect}"));
        }
    }

    /// Begins a session if the orders carry a new token. The minion has to acknowledge the token
    /// before anything else, and orders of the previous session are invalid.
    ///
    /// Guards against orders that were in flight when the minion was replaced: they say up to which
    /// number the ends of the old incarnation are acknowledged, and the new one would forget its
    /// own ends under these numbers.
    fn begin_session(&mut self, orders: &Orders) {
        if self.minion.is_none() {
            self.offer_token(orders.token);
            return;
        }
        if orders.token <= self.session.highest_token {
            return;
        }
        let is_new_term = orders.term > self.session.term;
        if is_new_term {
            self.log(format!("term={} first session begins", orders.term));
        }
        self.session.term = orders.term;
        self.session.token = orders.token;
        self.session.highest_token = orders.token;
        self.session.acknowledged = orders.noted;
        self.session.starts_until = Duration::ZERO;
        self.drop_orders();
        self.wants_list = true;
        self.immediate_long_poll = None;
    }

    /// Keeps a token for a minion of which no heartbeat has arrived, and has it probed at once.
    ///
    /// Guards against a minion that started while this agent's process was down: until its first
    /// heartbeat it would carry out late orders that were meant for the previous incarnation.
    fn offer_token(&mut self, token: u64) {
        if token > self.session.offered_token {
            self.session.offered_token = token;
            self.probe.next = Duration::ZERO;
        }
    }

    /// Handles a poll that got no answer or was declined.
    pub(crate) fn poll_failed(&mut self, now: Duration, ticket: Ticket, is_declined: bool) {
        let Some(at) = self.polls.iter().position(|poll| poll.ticket == ticket) else { return };
        let poll = self.polls.remove(at);
        self.failed_polls += 1;
        let was_quick = now < poll.sent_at + options::POLL_TIMEOUT / 2;
        // A connection that fails at once is stronger evidence of a lost leader than a single
        // timeout.
        if is_declined || was_quick || self.failed_polls >= 2 {
            self.lose_leader(now);
        }
    }
}
