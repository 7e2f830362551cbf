//! Orders on their way to the minion.

use std::time::Duration;

use sapphire_jobs::{Rejection, Run, Running, Start, Verdict, task::Task};

use crate::{
    event::Ticket,
    machine::Machine,
    minion::{Call, Reply},
    options,
    order::{Kind, Order},
};

/// Calls with orders under way at once, so that a minion that is slow to answer some does not
/// need a connection for each.
const MAX_CALLS: usize = 4;

impl Machine {
    /// Takes an order to start; one that is known already changes nothing.
    pub(crate) fn order_start(&mut self, start: Start) {
        let Some(run) = start.run.clone() else { return };
        let task = Task::read(&run);
        if self.refusals.covers(&task, run.run) {
            self.log(format!(
                "task={task} run={} ordered again after its refusal; ignored",
                run.run
            ));
            return;
        }
        let known = self.orders.get(&task).is_some_and(|order| order.number >= run.run);
        let Some(minion) = &self.minion else { return };
        let is_there = |running: &Running| running.run.as_ref() == Some(&run);
        let is_running = minion.running.get(&task).is_some_and(is_there)
            || minion.started.get(&task).is_some_and(|(running, _)| is_there(running));
        let has_ended = minion.ended.values().any(|ended| ended.run.as_ref() == Some(&run));
        if known || is_running || has_ended {
            return;
        }
        if minion.incarnation.is_draining {
            self.log(format!("task={task} run={} refused: the minion drains", run.run));
            self.verdict(run, Rejection::Draining);
            return;
        }
        let kind = Kind::Start(Box::new(start));
        self.orders.insert(
            task,
            Order { number: run.run, kind, call: None, tries: 0, retry_at: Duration::ZERO },
        );
    }

    /// Takes an order to stop.
    pub(crate) fn order_stop(&mut self, run: &Run) {
        let task = Task::read(run);
        let is_known = self.orders.get(&task).is_some_and(|order| {
            order.number > run.run
                || (order.number == run.run && matches!(order.kind, Kind::Stop(_)))
        });
        if !is_known {
            let kind = Kind::Stop(None);
            self.orders.insert(
                task,
                Order { number: run.run, kind, call: None, tries: 0, retry_at: Duration::ZERO },
            );
        }
    }

    /// Sends what has not been sent, and again what has got no answer. A repeated order is
    /// harmless: the minion knows its run.
    ///
    /// Guards against a task that runs twice: while this process was paused, the minion may have
    /// started again and carried out a late start of an earlier run. A list shows that life.
    pub(crate) fn drive_orders(&mut self, now: Duration) {
        let Some(minion) = &self.minion else { return };
        if minion.listed < self.woke {
            return;
        }
        if minion.fenced != self.session.token || self.session.token == 0 {
            return;
        }
        if minion.incarnation.is_draining {
            self.give_up_starts();
        }
        let mut free = MAX_CALLS
            .saturating_sub(self.orders.values().filter(|order| order.call.is_some()).count());
        let tasks: Vec<Task> = self.orders.keys().cloned().collect();
        for task in tasks {
            if free == 0 {
                return;
            }
            if self.send_order(now, &task) {
                free -= 1;
            }
        }
    }

    /// Starts nothing more on a minion that drains: what was never sent is refused, and what has
    /// had no answer is stopped, so that it can't start later.
    fn give_up_starts(&mut self) {
        let is_open = |order: &Order| matches!(order.kind, Kind::Start(_)) && order.call.is_none();
        let unsent: Vec<Run> = (self.orders.iter())
            .filter(|(_, order)| is_open(order) && order.tries == 0)
            .map(|(task, order)| task.run(order.number))
            .collect();
        for run in unsent {
            let task = Task::read(&run);
            self.log(format!("task={task} run={} refused: the minion drains", run.run));
            self.orders.remove(&task);
            self.verdict(run, Rejection::Draining);
        }
        for order in self.orders.values_mut().filter(|order| is_open(order)) {
            order.kind = Kind::Stop(None);
            order.retry_at = Duration::ZERO;
        }
    }

    fn send_order(&mut self, now: Duration, task: &Task) -> bool {
        let token = self.session.token;
        let deadline = self.deadline(now);
        let Some(order) = self.orders.get(task) else { return false };
        if order.call.is_some() || now < order.retry_at {
            return false;
        }
        let call = match (&order.kind, deadline) {
            // Without a lease nothing may be started: the planner may have given the task away.
            (Kind::Start(_), None) | (Kind::Stop(Some(_)) | Kind::Unsettled(_), _) => return false,
            (Kind::Start(start), Some(deadline)) => {
                Call::Start { start: start.clone(), deadline, token }
            }
            (Kind::Stop(None), _) => Call::Stop { task: task.clone(), number: order.number, token },
        };
        let (number, is_start) = (order.number, matches!(order.kind, Kind::Start(_)));
        let ticket = self.call(call, options::MINION_TIMEOUT);
        if let Some(ticket) = ticket.filter(|_| is_start) {
            self.unanswered.sent(now, ticket, task, number);
        }
        if let Some(order) = self.orders.get_mut(task) {
            order.call = ticket;
            order.tries += 1;
        }
        true
    }

    pub(crate) fn order_answered(&mut self, now: Duration, ticket: Ticket, reply: Reply) {
        let mut orders = self.orders.iter_mut();
        let Some((task, order)) = orders.find(|(_, order)| order.call == Some(ticket)) else {
            return;
        };
        let task = task.clone();
        order.call = None;
        let (number, tries) = (order.number, order.tries);
        let is_start = matches!(order.kind, Kind::Start(_));
        match reply {
            Reply::Done if is_start => {
                self.log(format!("task={task} run={number} started after {tries} tries"));
                self.orders.remove(&task);
                self.started(now, &task, number);
            }
            Reply::Done => {
                order.kind = Kind::Stop(Some(now));
                self.wants_list = true;
            }
            // Guards against a task that runs twice: an earlier try without an answer may have
            // been carried out, and its run may even have ended, so that this one is refused; or
            // it may still be carried out seconds later, when the task runs elsewhere. A minion
            // that has refused the run as old starts it no more; any other is told to stop it,
            // which makes a late start void. What came of it, only a list tells.
            Reply::Refused(rejection)
                if is_start && tries > 1 && rejection != Rejection::Fenced =>
            {
                let is_void = rejection == Rejection::Old;
                order.kind = if is_void { Kind::Unsettled(now) } else { Kind::Stop(None) };
                self.wants_list |= is_void;
                self.log(format!("task={task} run={number} refused at try {tries}: {rejection:?}"));
            }
            Reply::Refused(rejection) if is_start => {
                self.log(format!("task={task} run={number} start refused: {rejection:?}"));
                self.orders.remove(&task);
                self.verdict(task.run(number), rejection);
            }
            // A run that is not above one stopped or ended there can't start any more.
            Reply::Refused(Rejection::Old) => {
                order.kind = Kind::Stop(Some(now));
                self.wants_list = true;
                self.log(format!("task={task} run={number} stop refused: Old"));
            }
            // Guards against a stop that was never made: the minion has done nothing, so a start
            // without an answer may still be carried out.
            Reply::Refused(rejection) => {
                let is_unhealthy = rejection == Rejection::Unhealthy;
                let counted = if is_unhealthy { tries } else { tries.max(2) };
                order.retry_at = now + options::retry_pause(counted);
                self.log(format!(
                    "task={task} run={number} stop refused at try {tries}: {rejection:?}"
                ));
                if rejection == Rejection::Fenced {
                    self.lose_lead(now);
                }
            }
            _ => {
                order.retry_at = now + options::retry_pause(tries);
                if tries % 4 == 1 {
                    self.log(format!("task={task} run={number} no answer to try {tries}"));
                }
            }
        }
    }

    fn started(&mut self, now: Duration, task: &Task, number: u32) {
        let run = task.run(number);
        let running = Running { run: Some(run.clone()), ..Running::default() };
        if let Some(minion) = &mut self.minion {
            minion.started.insert(task.clone(), (running, now));
        }
        self.verdict(run, Rejection::None);
    }

    pub(crate) fn verdict(&mut self, run: Run, rejection: Rejection) {
        if rejection != Rejection::None {
            self.refusals.note(Task::read(&run), run.run, self.sequence + 1);
        }
        let verdict = Verdict { run: Some(run), rejection: rejection.into() };
        self.verdicts.push((verdict, None));
        self.has_news = true;
    }

    /// A list has come: orders whose run is listed as ended, starts whose run is listed as running,
    /// and orders with an answer whose run is not there at all, are settled.
    ///
    /// Guards against a start that goes on being sent after an earlier try of it was carried out
    /// late: the minion's next life would carry it out again.
    ///
    /// A list may leave out a task that is being stopped, whose room is still taken, so absence
    /// counts only after the longest stop; of one that is cut off, it shows nothing.
    pub(crate) fn settle_orders(&mut self, list_sent: Duration, is_cut_off: bool) {
        let Some(minion) = &self.minion else { return };
        let mut absent = Vec::new();
        let mut settled = Vec::new();
        for (task, order) in &self.orders {
            let run = task.run(order.number);
            let is_running =
                minion.running.get(task).is_some_and(|running| running.run.as_ref() == Some(&run));
            let has_ended = minion.ended.values().any(|ended| ended.run.as_ref() == Some(&run));
            let answered = order.kind.answered();
            if has_ended || (is_running && order.kind.is_start()) {
                settled.push((task.clone(), run));
            } else if !is_running
                && !is_cut_off
                && answered.is_some_and(|answered| list_sent >= answered + self.options.stop)
            {
                absent.push((task.clone(), run));
            }
        }
        for (task, run) in settled {
            let order = self.orders.remove(&task);
            if order.is_some_and(|order| matches!(order.kind, Kind::Start(_))) {
                self.log(format!("task={task} run={} is listed, though unanswered", run.run));
            }
        }
        for (task, run) in absent {
            self.orders.remove(&task);
            self.log(format!("task={task} run={} is not there and can't start any more", run.run));
            self.verdict(run, Rejection::Old);
        }
    }
}

impl Machine {
    /// Whether a list would settle a stop that the minion has answered.
    pub(crate) fn awaits_list(&self, now: Duration) -> bool {
        let is_over = |order: &Order| {
            order.kind.answered().is_some_and(|answered| now >= answered + self.options.stop)
        };
        self.orders.values().any(is_over)
    }
}
