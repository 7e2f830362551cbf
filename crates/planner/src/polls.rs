//! Polls of agents: sessions, runs on the worker, and orders.

use sapphire_jobs::{
    Incarnation, Orders, Poll, Start, State,
    task::{GroupKey, Task, WorkerName},
};

use crate::{
    effect::Effect,
    event::{Asker, Moment},
    options,
    planner::Planner,
    state::feeds::Told,
    table::Entry,
    worker::{Held, Phase, Run, Worker},
};

/// Returns whether two messages refer to the same incarnation of a minion.
fn is_same_life(left: &Incarnation, right: &Incarnation) -> bool {
    left.id == right.id && left.born_ms == right.born_ms
}

impl Planner {
    pub(crate) fn poll(&mut self, now: Moment, asker: Asker, poll: Poll) {
        let name = poll.agent.clone();
        if !self.workers.contains_key(&name) {
            self.log(format!("worker={name} address={} joins", poll.address));
        }
        let known = self.workers.entry(name.clone()).or_default();
        let is_stale = poll.generation < known.generation
            || (poll.generation == known.generation && poll.sequence <= known.sequence);
        if is_stale {
            // A newer poll has overtaken this one. Its content is ignored, but its sender learns
            // that it has found the planner.
            let orders = Orders { term: self.term, token: known.token, ..Orders::default() };
            self.out.push(Effect::Orders(asker, Box::new(orders)));
            return;
        }
        let is_new_session = self.follow_lives(now, &name, &poll);
        self.note_unanswered(now, &name, &poll);
        let lapse = self.options.lapse();
        let worker = self.workers.get_mut(&name).expect("inserted above");
        worker.address.clone_from(&poll.address);
        worker.sequence = poll.sequence;
        worker.heard = now.steady;
        worker.is_leaving = poll.is_leaving;
        worker.lapse_at = worker.lapse_at.max(now.steady + lapse);
        let earlier = worker.held.replace(Held { asker, since: now.steady });
        if let Some(earlier) = earlier {
            let orders = worker.greeting(self.term, self.options.lease);
            self.out.push(Effect::Orders(earlier.asker, Box::new(orders)));
        }
        let is_fenced = poll.fenced_token == worker.token && poll.incarnation.is_some();
        if is_new_session {
            // The token is needed at once, so that fencing can proceed while the store is read.
            self.greet(&name);
        } else if is_fenced && self.startup.is_serving() {
            self.reconcile(now, &name, &poll);
        }
    }

    /// Records the starts that an agent has had no answer to.
    fn note_unanswered(&mut self, now: Moment, name: &str, poll: &Poll) {
        if let Some(minion) = &poll.incarnation {
            self.unanswered.meet(name, &minion.id);
        }
        self.unanswered.report(now.steady, name, &poll.unanswered);
    }

    fn greet(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(held) = worker.held.take() else { return };
        let mut orders = worker.greeting(self.term, self.options.lease);
        worker.entries_told = Told::default();
        orders.entries = self.feeds.addresses.news(worker.heard, &mut worker.entries_told);
        self.out.push(Effect::Orders(held.asker, Box::new(orders)));
    }

    /// Answers polls that arrived before the store was read, so that their agents report again.
    pub(crate) fn answer_early_polls(&mut self) {
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for name in names {
            self.greet(&name);
        }
    }

    /// Tracks new processes of the agent and new incarnations of its minion, each of which begins a
    /// new session. Returns whether a session has begun.
    fn follow_lives(&mut self, now: Moment, name: &str, poll: &Poll) -> bool {
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let is_new_agent = poll.generation > worker.generation;
        if is_new_agent {
            self.unanswered.keep(now.steady, name, worker);
        }
        let is_new_minion = match (&worker.incarnation, &poll.incarnation) {
            (Some(known), Some(new)) => !is_same_life(known, new),
            (Some(_), None) => poll.is_minion_gone,
            (None, Some(_)) => true,
            (None, None) => false,
        };
        worker.generation = poll.generation;
        worker.is_vacant = poll.is_minion_gone && poll.incarnation.is_none();
        // An agent that has lost its session must not resume an earlier one.
        let has_lost_session = worker.is_fenced && poll.fenced_token < worker.token;
        let is_new_session = is_new_agent || is_new_minion || worker.token == 0 || has_lost_session;
        if is_new_session {
            self.sessions += 1;
            worker.token = self.term * options::SESSIONS_PER_TERM + self.sessions;
            worker.is_fenced = false;
            worker.is_new_life = is_new_minion;
        }
        let is_reborn = match (&worker.incarnation, &poll.incarnation) {
            (Some(known), Some(new)) => is_new_minion && known.id == new.id,
            _ => false,
        };
        if is_reborn {
            // Guards against work that runs elsewhere while this incarnation still runs it: a
            // message meant for the previous incarnation may have given it a lease that was
            // computed for the previous one.
            let longest = now.steady + self.options.longest_lapse();
            worker.lapse_at = worker.lapse_at.max(longest);
        }
        let had_minion = worker.incarnation.is_some();
        let was_draining = worker.incarnation.as_ref().is_some_and(|minion| minion.is_draining);
        if is_new_minion {
            worker.ended.clear();
            worker.noted = 0;
            worker.noted_sent = 0;
        }
        if poll.incarnation.is_some() || poll.is_minion_gone {
            worker.incarnation.clone_from(&poll.incarnation);
        }
        let token = worker.token;
        if is_new_minion {
            let id = poll.incarnation.as_ref().map_or("none", |minion| minion.id.as_str());
            self.log(format!("worker={name} minion={id} token={token}"));
            self.suspects.forget(name);
            // A new incarnation may run tasks that were ordered since it started; its first list
            // shows them. An incarnation that has ended without a successor runs nothing.
            if had_minion && poll.incarnation.is_none() {
                self.lose_runs(now, name, "its minion has ended");
            }
        }
        let is_draining = poll.incarnation.as_ref().is_some_and(|minion| minion.is_draining);
        if is_draining && !was_draining {
            self.log(format!("worker={name} drains"));
        }
        if poll.is_minion_gone && poll.incarnation.is_none() {
            self.strike_vacant(now, name);
        }
        self.needs_pass |= is_new_session || is_draining != was_draining;
        is_new_session
    }

    /// Removes a worker without a minion: nothing runs there, and a successor need not wait for it.
    fn strike_vacant(&mut self, now: Moment, name: &str) {
        self.lose_runs(now, name, "it has no minion");
        self.strike(name);
        self.check_settled(now);
    }

    /// Answers polls for which there are orders, and those that have waited long enough.
    pub(crate) fn answer_polls(&mut self, now: Moment) {
        let may_have_news = |worker: &Worker| worker.held.is_some() || !worker.ended.is_empty();
        let names: Vec<WorkerName> = (self.workers.iter())
            .filter(|(_, worker)| may_have_news(worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.advance_noted(&name);
            let worker = self.workers.get(&name).expect("just listed");
            let Some(held) = worker.held else { continue };
            let waited = now.steady.saturating_sub(held.since);
            let is_over = waited >= options::POLL_HOLD;
            let has_noted = worker.noted > worker.noted_sent && waited >= options::POLL_HOLD / 3;
            if worker.has_orders() || has_noted || is_over {
                self.give_orders(now, &name, held.asker);
            }
        }
    }

    /// Acknowledges ends once their consequences are durable.
    ///
    /// Guards against a task that is done and runs again: until then the minion's list is the only
    /// other record of it. The ends of a cancelled job need not wait: it starts no task again, and
    /// its progress is no longer written.
    fn advance_noted(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("the caller has listed it");
        while let Some((number, change)) = worker.ended.first_key_value() {
            let is_durable = change.as_ref().is_none_or(|(job, change)| {
                let entry = self.table.entries.get(job);
                let is_over = |entry: &Entry| entry.state == State::Cancelled;
                entry.is_none_or(|entry| entry.committed >= *change || is_over(entry))
            });
            if !is_durable {
                return;
            }
            worker.noted = worker.noted.max(*number);
            worker.ended.pop_first();
        }
    }

    fn give_orders(&mut self, now: Moment, name: &str, asker: Asker) {
        let worker = self.workers.get(name).expect("the caller has listed it");
        let mut orders = worker.greeting(self.term, self.options.lease);
        // No order is sent before the first list of a session, which shows the earlier orders that
        // are invalid. An order with the session's own token would remain valid whatever that list
        // shows.
        let to_give = |run: &Run| worker.is_fenced && !run.is_received;
        for (task, run) in worker.runs.iter().filter(|(_, run)| to_give(run)) {
            match run.phase {
                Phase::Ordered => orders.starts.extend(self.start_order(task, run)),
                Phase::Stopping => orders.stops.push(task.run(run.number)),
                Phase::Running => {}
            }
        }
        self.log_orders(name, &orders);
        let worker = self.workers.get_mut(name).expect("the caller has listed it");
        worker.held = None;
        worker.noted_sent = worker.noted;
        orders.entries = self.feeds.addresses.news(now.steady, &mut worker.entries_told);
        self.out.push(Effect::Orders(asker, Box::new(orders)));
    }

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

    fn log_orders(&mut self, name: &str, orders: &Orders) {
        let names = |runs: Vec<&sapphire_jobs::Run>| {
            let name = |run: &&sapphire_jobs::Run| format!("{}#{}", Task::read(run), run.run);
            runs.iter().map(name).collect::<Vec<_>>().join(",")
        };
        if !orders.starts.is_empty() || !orders.stops.is_empty() {
            let starts = names(orders.starts.iter().filter_map(|it| it.run.as_ref()).collect());
            let stops = names(orders.stops.iter().collect());
            self.log(format!("worker={name} orders start={starts} stop={stops}"));
        }
    }

    /// Declares workers lost whose lease has certainly expired.
    pub(crate) fn expire_workers(&mut self, now: Moment) {
        let is_gone = |worker: &Worker| {
            now.steady >= worker.lapse_at && now.steady >= worker.heard + options::SILENCE
        };
        let gone: Vec<WorkerName> = (self.workers.iter())
            .filter(|(_, worker)| is_gone(worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.log(format!("worker={name} silent, its lease has run out; taken as gone"));
            if let Some(worker) = self.workers.get(&name) {
                self.unanswered.keep(now.steady, &name, worker);
            }
            self.lose_runs(now, &name, "its lease has run out");
            self.workers.remove(&name);
            if self.startup.is_settled() {
                self.strike(&name);
            }
            self.needs_pass = true;
        }
    }
}
