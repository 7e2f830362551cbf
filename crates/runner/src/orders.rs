//! Passes the planner's orders to start and stop tasks on to the minion, and resolves them.

use std::time::Duration;

use sapphire_jobs::{Rejection, Run, Running, Start, Verdict, task::Task};

use crate::{
    absence::Absence,
    event::Ticket,
    machine::Machine,
    minion::{Call, Reply},
    options,
    order::{Kind, Order},
};

/// Limit of calls with orders in flight at once, so that a minion that answers slowly does not take
/// a connection for each order.
const MAX_CALLS: usize = 4;
/// Why nothing is started on an absent minion.
const ABSENT: &str = "nothing listens at the minion's address";

impl Machine {
    /// Accepts an order to start a run. An order for a run that is known already changes nothing.
    ///
    /// Guards against a task that runs twice: the next incarnation of the minion may carry out the
    /// unanswered starts of both runs. The planner orders no such run once it knows of the first.
    pub(crate) fn order_start(&mut self, now: Duration, start: Start) {
        let Some(run) = start.run.clone() else { return };
        let task = Task::read(&run);
        if self.refusals.covers(&task, run.run) {
            self.log(format!(
                "task={task} run={} start ignored: the run was refused before",
                run.run
            ));
            return;
        }
        let known = self.orders.get(&task).is_some_and(|order| order.number >= run.run);
        let Some(minion) = &self.minion else { return };
        let is_this_run = |running: &Running| running.run.as_ref() == Some(&run);
        let is_running = minion.running.get(&task).is_some_and(is_this_run)
            || minion.started.get(&task).is_some_and(|(running, _)| is_this_run(running));
        let has_ended = minion.ended.values().any(|ended| ended.run.as_ref() == Some(&run));
        if known || is_running || has_ended {
            return;
        }
        if let Some((rejection, why)) = self.closed() {
            self.log(format!("task={task} run={} refused: {why}", run.run));
            self.verdict(run, rejection);
            return;
        }
        if self.is_minion_absent() {
            self.log(format!("task={task} run={} refused: {ABSENT}", run.run));
            self.verdict(run, Rejection::Unhealthy);
            return;
        }
        if self.unanswered.has_other_run(now, &task, run.run) {
            self.log(format!(
                "task={task} run={} refused: an earlier start is unanswered",
                run.run
            ));
            self.verdict(run, Rejection::Old);
            return;
        }
        self.orders.insert(task, Order::new(run.run, Kind::Start(Box::new(start))));
    }

    /// Accepts an order to stop a run, which replaces the order to start it.
    pub(crate) fn order_stop(&mut self, run: &Run) {
        let task = Task::read(run);
        let is_known = self.orders.get(&task).is_some_and(|order| {
            order.number > run.run
                || (order.number == run.run && matches!(order.kind, Kind::Stop(_)))
        });
        if !is_known {
            let earlier = self.orders.get(&task).filter(|order| order.number == run.run);
            let started_at = earlier.and_then(|order| order.started_at);
            let order = Order { started_at, ..Order::new(run.run, Kind::Stop(None)) };
            self.orders.insert(task, order);
        }
    }

    /// Sends orders that were not sent yet, and repeats those that got no answer. A repetition is
    /// harmless: the minion recognises it by the number of the run. Those that have been due for longest
    /// go first, so that none waits for ever for the repetitions of others.
    ///
    /// Guards against a task that runs twice: while this process was paused, the minion may have
    /// restarted and carried out a late start of an earlier run. A list reveals the new
    /// incarnation.
    pub(crate) fn drive_orders(&mut self, now: Duration) {
        let Some(minion) = &self.minion else { return };
        if minion.list_requested_at < self.resumed_at {
            return;
        }
        if minion.fenced_token != self.session.token || self.session.token == 0 {
            return;
        }
        if let Some((rejection, why)) = self.closed() {
            self.withdraw_starts(rejection, why);
        } else if self.is_minion_absent() {
            self.withdraw_undelivered(Rejection::Unhealthy, ABSENT);
        }
        let mut free = MAX_CALLS
            .saturating_sub(self.orders.values().filter(|order| order.call.is_some()).count());
        let mut tasks: Vec<(Duration, Task)> =
            self.orders.iter().map(|(task, order)| (order.retry_at, task.clone())).collect();
        tasks.sort();
        for (_, task) in tasks {
            if free == 0 {
                return;
            }
            if self.send_order(now, &task) {
                free -= 1;
            }
        }
    }

    /// Whether the minion refuses connections.
    fn is_minion_absent(&self) -> bool {
        let absence = self.minion.as_ref().and_then(|minion| minion.absence.as_ref());
        absence.is_some_and(Absence::is_shown)
    }

    /// Why nothing may be started on the minion, if so.
    fn closed(&self) -> Option<(Rejection, &'static str)> {
        if self.minion.as_ref().is_some_and(|minion| minion.incarnation.is_draining) {
            Some((Rejection::Draining, "the minion is draining"))
        } else if self.session.is_cordoned {
            Some((Rejection::Cordoned, "the zone is cordoned"))
        } else {
            None
        }
    }

    /// Withdraws the starts for a minion on which nothing may be started. Those that it never received
    /// are refused, and those without an answer become stops, so that they can't be carried out later.
    fn withdraw_starts(&mut self, rejection: Rejection, why: &str) {
        self.withdraw_undelivered(rejection, why);
        for order in self.orders.values_mut().filter(|order| order.is_open_start()) {
            order.kind = Kind::Stop(None);
            order.retry_at = Duration::ZERO;
        }
    }

    /// Refuses the starts that the minion never received.
    fn withdraw_undelivered(&mut self, rejection: Rejection, why: &str) {
        let undelivered: Vec<Run> = (self.orders.iter())
            .filter(|(_, order)| order.is_open_start() && order.deliveries() == 0)
            .map(|(task, order)| task.run(order.number))
            .collect();
        for run in undelivered {
            let task = Task::read(&run);
            self.log(format!("task={task} run={} refused: {why}", run.run));
            self.orders.remove(&task);
            self.verdict(run, rejection);
        }
    }

    /// Sends an order if it is due; returns whether a call was made.
    fn send_order(&mut self, now: Duration, task: &Task) -> bool {
        let token = self.session.token;
        let deadline = self.lease_deadline(now);
        let Some(order) = self.orders.get(task) else { return false };
        if order.call.is_some() || now < order.retry_at {
            return false;
        }
        let call = match (&order.kind, deadline) {
            // Without a lease nothing may be started: the planner may have placed the task
            // elsewhere.
            (Kind::Start(_), None) | (Kind::Stop(Some(_)) | Kind::Refused(_), _) => return false,
            // The zone may have been cordoned since the planner's latest answer.
            (Kind::Start(_), _) if now >= self.session.starts_until => return false,
            (Kind::Start(start), Some(deadline)) => {
                Call::Start { start: start.clone(), deadline, token }
            }
            (Kind::Stop(None), _) => Call::Stop { task: task.clone(), number: order.number, token },
        };
        let (number, is_start) = (order.number, matches!(order.kind, Kind::Start(_)));
        let ticket = self.call_minion(call, options::MINION_TIMEOUT);
        if let Some(ticket) = ticket.filter(|_| is_start) {
            self.unanswered.sent(now, ticket, task, number);
        }
        if let Some(order) = self.orders.get_mut(task) {
            order.call = ticket;
            order.attempts += 1;
            order.started_at = if is_start { Some(now) } else { order.started_at };
        }
        true
    }

    /// Handles the outcome of a call with an order.
    pub(crate) fn order_answered(&mut self, now: Duration, ticket: Ticket, reply: Reply) {
        let mut orders = self.orders.iter_mut();
        let Some((task, order)) = orders.find(|(_, order)| order.call == Some(ticket)) else {
            return;
        };
        let task = task.clone();
        order.call = None;
        order.refused_connections += u32::from(reply == Reply::NotListening);
        let (number, attempts, deliveries) = (order.number, order.attempts, order.deliveries());
        let is_start = matches!(order.kind, Kind::Start(_));
        match reply {
            Reply::Done if is_start => {
                self.log(format!("task={task} run={number} started after {attempts} tries"));
                self.orders.remove(&task);
                self.started(now, &task, number);
            }
            Reply::Done => {
                order.kind = Kind::Stop(Some(now));
                self.wants_list = true;
            }
            // Guards against a task that runs twice. An earlier, unanswered attempt may have been
            // carried out, and its run may even have ended, which is why this attempt is refused.
            // Or it may still be carried out seconds later, when the task runs elsewhere. A minion
            // that refuses the run as old can no longer start it; any other one gets a stop, which
            // invalidates a late start. Only a list shows the outcome.
            Reply::Refused(rejection)
                if is_start && deliveries > 1 && rejection != Rejection::Fenced =>
            {
                let is_invalid = rejection == Rejection::Old;
                order.kind = if is_invalid { Kind::Refused(now) } else { Kind::Stop(None) };
                self.wants_list |= is_invalid;
                self.log(format!(
                    "task={task} run={number} start refused on try {attempts}: {rejection:?}"
                ));
            }
            Reply::Refused(rejection) if is_start => {
                self.log(format!("task={task} run={number} start refused: {rejection:?}"));
                self.orders.remove(&task);
                self.verdict(task.run(number), rejection);
            }
            // The run is not above one that was stopped or ended there, so it can no longer start.
            Reply::Refused(Rejection::Old) => {
                order.kind = Kind::Stop(Some(now));
                self.wants_list = true;
                self.log(format!("task={task} run={number} stop refused: Old"));
            }
            // Guards against a stop that was not carried out but counts as resolved. The minion has
            // changed nothing, so an unanswered start may still be carried out.
            Reply::Refused(rejection) => {
                let is_unhealthy = rejection == Rejection::Unhealthy;
                let counted = if is_unhealthy { attempts } else { attempts.max(2) };
                order.retry_at = now + options::retry_delay(counted);
                self.log(format!(
                    "task={task} run={number} stop refused on try {attempts}: {rejection:?}"
                ));
                if rejection == Rejection::Fenced {
                    self.lose_leader(now);
                }
            }
            _ => {
                order.retry_at = now + options::retry_delay(attempts);
                if attempts % 4 == 1 {
                    self.log(format!("task={task} run={number} no answer to try {attempts}"));
                }
            }
        }
    }

    /// Records a run that the minion has started.
    fn started(&mut self, now: Duration, task: &Task, number: u32) {
        let run = task.run(number);
        let running = Running { run: Some(run.clone()), ..Running::default() };
        if let Some(minion) = &mut self.minion {
            minion.started.insert(task.clone(), (running, now));
        }
        self.verdict(run, Rejection::None);
    }

    /// Adds a verdict on a start, which the next poll reports.
    pub(crate) fn verdict(&mut self, run: Run, rejection: Rejection) {
        if rejection != Rejection::None {
            self.refusals.record(Task::read(&run), run.run, self.sequence + 1);
        }
        let verdict = Verdict { run: Some(run), rejection: rejection.into() };
        self.verdicts.push((verdict, None));
        self.has_changes = true;
    }

    /// Resolves orders by a list that has arrived: those whose run is listed as ended, starts whose
    /// run is listed as running, and answered orders whose run is not listed at all.
    ///
    /// Guards against a start that is repeated although an earlier attempt was carried out late:
    /// the next incarnation of the minion would carry it out again.
    ///
    /// A list may leave out a task that is being stopped but still occupies its resources, so
    /// absence counts only after the longest time that a stop may take. Absence from a partial
    /// list shows nothing.
    ///
    /// Guards against a task that waits for ever for an unhealthy minion, which refuses the stop of a
    /// start without an answer: once the start has expired, absence shows as much as a stop.
    pub(crate) fn resolve_orders(&mut self, list_requested_at: Duration, is_partial: bool) {
        let Some(minion) = &self.minion else { return };
        let mut absent = Vec::new();
        let mut listed = Vec::new();
        for (task, order) in &mut self.orders {
            let run = task.run(order.number);
            let is_running =
                minion.running.get(task).is_some_and(|running| running.run.as_ref() == Some(&run));
            let has_ended = minion.ended.values().any(|ended| ended.run.as_ref() == Some(&run));
            let has_expired = order
                .started_at
                .is_some_and(|time| list_requested_at >= time + options::MAX_CALL_DELAY);
            if is_running || is_partial || !has_expired {
                order.absent_since = None;
            } else {
                order.absent_since.get_or_insert(list_requested_at);
            }
            let answered_at = order.kind.answered_at().or(order.absent_since);
            if has_ended || (is_running && order.kind.is_start()) {
                listed.push((task.clone(), run));
            } else if !is_running
                && !is_partial
                && answered_at
                    .is_some_and(|time| list_requested_at >= time + self.options.stop_timeout)
            {
                absent.push((task.clone(), run));
            }
        }
        for (task, run) in listed {
            let order = self.orders.remove(&task);
            if order.is_some_and(|order| matches!(order.kind, Kind::Start(_))) {
                self.log(format!(
                    "task={task} run={} is listed, but its start got no answer",
                    run.run
                ));
            }
        }
        for (task, run) in absent {
            self.orders.remove(&task);
            self.log(format!("task={task} run={} is not listed and can no longer start", run.run));
            self.verdict(run, Rejection::Old);
        }
    }
}

impl Machine {
    /// Whether a list would resolve an order that the minion has answered.
    pub(crate) fn awaits_list(&self, now: Duration) -> bool {
        let is_over = |order: &Order| {
            order.kind.answered_at().is_some_and(|time| now >= time + self.options.stop_timeout)
        };
        self.orders.values().any(is_over)
    }
}
