//! Polls: they tell the planner what the minion does and bring its orders.

use std::time::Duration;

use sapphire_jobs::{Orders, Poll, Running, task::Task};

use crate::{
    effect::Effect,
    event::Ticket,
    machine::{Machine, PollSent},
    options,
    order::{Kind, Order},
};

impl Machine {
    pub(crate) fn drive_polls(&mut self, now: Duration) {
        let Some(lead) = &self.lead else { return };
        let is_idle = self.polls.is_empty();
        let may_report = self.has_news && self.polls.len() < 2;
        if !(is_idle || may_report) || now < self.last_poll + options::POLL_PAUSE {
            return;
        }
        let address = lead.address.clone();
        self.has_news = false;
        self.sequence += 1;
        self.last_poll = now;
        if let Some(farewell) = &mut self.farewell {
            farewell.told.get_or_insert(self.sequence);
        }
        let poll = Box::new(self.report(now));
        let ticket = self.ticket();
        self.polls.push(PollSent { ticket, sequence: self.sequence, at: now });
        let oldest = self.polls.iter().map(|poll| poll.sequence).min();
        self.refusals.prune(oldest.unwrap_or(self.sequence));
        self.out.push(Effect::Poll { ticket, address, poll });
    }

    fn report(&mut self, now: Duration) -> Poll {
        for (_, told) in &mut self.verdicts {
            told.get_or_insert(self.sequence);
        }
        let (stops, starts): (Vec<_>, Vec<_>) =
            self.orders.iter().partition(|(_, order)| matches!(order.kind, Kind::Stop(_)));
        let runs = |orders: Vec<(&Task, &Order)>| {
            orders.into_iter().map(|(task, order)| task.run(order.number)).collect()
        };
        let mut poll = Poll {
            agent: self.options.name.clone(),
            address: self.options.address.clone(),
            generation: self.options.generation,
            sequence: self.sequence,
            verdicts: self.verdicts.iter().map(|(verdict, _)| verdict.clone()).collect(),
            pending: runs(starts),
            stopping: runs(stops),
            unanswered: self.unanswered.report(now),
            is_leaving: self.is_leaving.is_some(),
            is_minion_gone: self.is_minion_gone && self.minion.is_none(),
            ..Poll::default()
        };
        if let Some(minion) = &self.minion {
            let started = minion.started.iter().map(|(task, (running, _))| (task, running));
            let mut running: Vec<(&Task, &Running)> = minion.running.iter().collect();
            running.extend(started.filter(|(task, _)| !minion.running.contains_key(*task)));
            poll.running = running.into_iter().map(|(_, running)| running.clone()).collect();
            poll.ended = minion.ended.values().cloned().collect();
            poll.incarnation = Some(minion.incarnation.clone());
            poll.fenced_token = minion.fenced;
            poll.lists = minion.lists;
            let age = now.saturating_sub(minion.listed_at).as_millis();
            poll.list_age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        }
        poll
    }

    /// Takes orders.
    pub(crate) fn ordered(&mut self, now: Duration, ticket: Ticket, orders: Orders) {
        let Some(at) = self.polls.iter().position(|poll| poll.ticket == ticket) else { return };
        let poll = self.polls.remove(at);
        self.failed_polls = 0;
        let told = self.farewell.and_then(|farewell| farewell.told);
        if told.is_some_and(|told| poll.sequence >= told) {
            self.forget_minion();
        }
        if orders.term < self.session.term {
            // A planner that has been replaced.
            return;
        }
        self.verdicts.retain(|(_, told)| told.is_none_or(|told| told > poll.sequence));
        if !orders.entries.is_empty() {
            self.entries.clone_from(&orders.entries);
        }
        self.begin_session(&orders);
        if orders.token != self.session.token {
            return;
        }
        // The lease counts from when the poll was sent, so that a late answer extends nothing.
        let until = poll.at + Duration::from_millis(orders.lease_ms);
        self.session.lease_until = self.session.lease_until.max(until);
        if orders.noted > self.session.noted {
            self.session.noted = orders.noted;
            if let Some(minion) = &mut self.minion {
                minion.ended.retain(|number, _| *number > orders.noted);
            }
            self.next_hold = now;
        }
        for run in &orders.stops {
            self.order_stop(run);
        }
        for start in orders.starts {
            self.order_start(start);
        }
    }

    /// A new token begins a session: the minion has to acknowledge it before anything else, and
    /// orders of the session before are void.
    ///
    /// Guards against orders that were under way when the minion was replaced: they tell which
    /// ends of the old life are noted, and the new life would forget its own under these numbers.
    fn begin_session(&mut self, orders: &Orders) {
        if self.minion.is_none() {
            self.offer(orders.token);
            return;
        }
        if orders.token <= self.session.highest {
            return;
        }
        let is_new_term = orders.term > self.session.term;
        if is_new_term {
            self.log(format!("term={} followed", orders.term));
        }
        self.session.term = orders.term;
        self.session.token = orders.token;
        self.session.highest = orders.token;
        self.session.noted = orders.noted;
        self.drop_orders();
        self.wants_list = true;
        self.quick_hold = None;
    }

    /// A token for a minion that has not spoken yet.
    ///
    /// Guards against a minion that started while this agent's process was away: until its first
    /// heartbeat it would carry out what the life before was ordered.
    fn offer(&mut self, token: u64) {
        if token > self.session.offered {
            self.session.offered = token;
            self.look.next = Duration::ZERO;
        }
    }

    /// A poll has failed.
    pub(crate) fn no_orders(&mut self, now: Duration, ticket: Ticket, is_declined: bool) {
        let Some(at) = self.polls.iter().position(|poll| poll.ticket == ticket) else { return };
        let poll = self.polls.remove(at);
        self.failed_polls += 1;
        let was_quick = now < poll.at + options::POLL_TIMEOUT / 2;
        // A connection that breaks at once says more than one that stays silent for once.
        if is_declined || was_quick || self.failed_polls >= 2 {
            self.lose_lead(now);
        }
    }
}
