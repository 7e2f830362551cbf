//! Minions: orders, heartbeats, and tasks that make progress.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use prost::Message as _;
use rand::RngExt as _;
use sapphire_jobs::{
    Ended, Ending, Job, Rejection, Running, State,
    task::{RunNumber, Task},
};
use sapphire_planner::keys;
use sapphire_runner::{self as runner, minion::Heartbeat};
use sapphire_store::call::{Call, Reply};

use super::{Action, BEAT, Done, EPOCH, LOCAL, Request, STEP, World};
use crate::jobs::minion::Truth;

/// Longest time after a cancellation in which its tasks may start.
const CANCEL: Duration = Duration::from_secs(3);
/// Longest time in which tasks may be started on a minion whose agent knows that it drains.
const DRAIN: Duration = Duration::from_millis(2_500);

impl World {
    pub(super) fn minion_call(&mut self, request: Request) {
        use runner::minion::{Call as Order, Reply as Said};
        let Request { agent, ticket, .. } = request;
        let minion = &self.minions[agent];
        if !minion.is_up {
            self.reply(&request, Said::NotListening);
            return;
        }
        if !request.target.is_empty() && request.target != minion.incarnation.id {
            self.reply(&request, Said::WrongInstance);
            return;
        }
        let is_order = !matches!(request.call, Order::LongPoll { .. });
        let is_late = request.life.is_none();
        if is_order && !is_late {
            if self.late_orders > 0.0 && self.rng.random_bool(self.late_orders) {
                let late = Duration::from_secs_f64(self.rng.random_range(2.0..12.0));
                self.note_order(&request, &format!("gets no answer, late by {}", late.as_millis()));
                let event = runner::event::Event::MinionReply(ticket, Said::Unknown);
                let life = request.life.unwrap_or_default();
                self.at(request.until, Action::Runner(agent, life, event));
                self.after(late, Action::Minion(Box::new(Request { life: None, ..request })));
                return;
            }
            if self.refused_orders > 0.0 && self.rng.random_bool(self.refused_orders) {
                self.reply(&request, Said::Refused(Rejection::Unhealthy));
                return;
            }
        }
        if let Order::LongPoll { wait, .. } = &request.call
            && !wait.is_zero()
            && minion.ended.is_empty()
            && self.now + LOCAL * 4 + runner::options::MINION_TIMEOUT < request.until
        {
            // Looked at again soon; the minion answers when something has ended.
            self.after(STEP, Action::Minion(Box::new(request)));
            return;
        }
        let run = match &request.call {
            Order::Start { start, .. } => start.run.clone(),
            _ => None,
        };
        let task = run.as_ref().map(Task::read);
        let before = task.as_ref().and_then(|task| Some(minion.active.get(task)?.number));
        let known = minion.token;
        let reply = self.minions[agent].call(self.now, &request.call, &self.truth);
        self.note_token(agent, known);
        if is_order {
            self.note_order(&request, &format!("{reply:?}"));
        }
        if let (Some(run), Some(task), Said::Done) = (run, task, &reply)
            && before != Some(run.run)
        {
            self.check_start(&request, &task, run.run, before);
        }
        for ended in std::mem::take(&mut self.minions[agent].noted) {
            self.check_noted(agent, &ended);
        }
        self.reply(&request, reply);
    }

    fn reply(&mut self, request: &Request, reply: runner::minion::Reply) {
        if let Some(life) = request.life {
            let event = runner::event::Event::MinionReply(request.ticket, reply);
            self.after(LOCAL, Action::Runner(request.agent, life, event));
        }
    }

    /// Tells of the first token that a life of the minion has seen.
    fn note_token(&mut self, agent: usize, known: u64) {
        let minion = &self.minions[agent];
        if known == 0 && minion.token > 0 {
            let (born_ms, token) = (minion.incarnation.born_ms, minion.token);
            let age = minion.clock(self.now).as_millis();
            self.note(&format!("m{agent} born_ms={born_ms} first token={token}, clock_ms={age}"));
        }
    }

    fn note_order(&mut self, request: &Request, outcome: &str) {
        use runner::minion::Call as Order;
        let (verb, task, number, token) = match &request.call {
            Order::LongPoll { .. } => return,
            Order::Start { start, token, .. } => {
                let run = start.run.clone().unwrap_or_default();
                ("start", Task::read(&run), run.run, *token)
            }
            Order::Stop { task, number, token } => ("stop", task.clone(), *number, *token),
        };
        let (agent, target) = (request.agent, &request.target);
        let age = self.now.saturating_sub(request.sent).as_millis();
        let text = format!(
            "m{agent} {verb} task={task} run={number} token={token} id={target} sent {age} ms ago: \
             {outcome}"
        );
        self.note(&text);
    }

    /// What must hold whenever a minion starts a task; `before` is the run of the task that was
    /// there already.
    fn check_start(
        &mut self,
        request: &Request,
        task: &Task,
        number: RunNumber,
        before: Option<RunNumber>,
    ) {
        let agent = request.agent;
        self.started.entry(task.job.clone()).or_insert(self.now);
        let elsewhere = self.minions.iter().enumerate().filter(|(index, minion)| {
            *index != agent && minion.is_up && minion.active.contains_key(task)
        });
        if elsewhere.count() > 0 || before.is_some() {
            self.break_promise(task, "runs twice at once", agent);
        }
        // What an earlier life of the same name was told, the minion carries out before anybody
        // could show it a token: bounds in time don't hold for that.
        let is_inherited = request.born_ms != self.minions[agent].incarnation.born_ms;
        let is_complete = self.shown.contains_key(&(task.job.clone(), State::Complete.into()));
        if is_complete && !is_inherited {
            self.break_promise(task, "starts after its job was shown complete", agent);
        }
        // A caller that comes again after a refusal may bring its job in without hearing of it.
        if let Some(at) = self.refused.get(&task.job).copied()
            && !self.accepted.contains_key(&task.job)
        {
            let taken_in = self.taken_in(&task.job);
            self.note(&format!("job={} was taken in at {taken_in:?}, refused at {at:?}", task.job));
            if taken_in.is_none_or(|taken_in| taken_in <= at) {
                self.break_promise(task, "starts though its job was refused", agent);
            }
        }
        // Bounds in time count until the agent sent the order, not until it was carried out late.
        if let Some(at) = self.cancelled.get(&task.job)
            && request.sent > *at + CANCEL
        {
            self.break_promise(task, "starts long after its job was cancelled", agent);
        }
        if self.minions[agent].overfilled {
            self.break_promise(task, "overfills its worker", agent);
            self.minions[agent].overfilled = false;
        }
        if self.minions[agent].told.is_some_and(|told| request.sent > told + DRAIN) {
            self.break_promise(task, "starts on a worker that drains", agent);
        }
        self.check_beside(agent, task);
        self.check_done(agent, task, number, is_inherited);
    }

    /// When an entry took a job in hand, as its record in the store says.
    fn taken_in(&mut self, job: &str) -> Option<Duration> {
        let reply = self.store.call(self.now, &Call::Get { key: keys::job(job) });
        let Some(Reply::Value(item)) = reply else { return None };
        let job = Job::decode(&item.bytes[..]).ok()?;
        Duration::from_millis(job.accepted_ms).checked_sub(EPOCH)
    }

    /// No more tasks of a step on a worker than its job allows, those being stopped included.
    fn check_beside(&mut self, agent: usize, task: &Task) {
        let arrival = self.arrivals.iter().find(|arrival| arrival.job.id == task.job);
        let step = arrival.and_then(|arrival| arrival.job.steps.get(task.step as usize));
        let most = step.map_or(0, |step| step.per_worker) as usize;
        let is_beside = |other: &&Task| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        };
        let there = self.minions[agent].active.keys().filter(is_beside).count();
        if most > 0 && there > most {
            self.break_promise(task, &format!("starts as one of {there}, {most} may be"), agent);
        }
    }

    /// No start after a run has ended `done`, once that end is noted, or if it is noted later.
    fn check_done(&mut self, agent: usize, task: &Task, number: RunNumber, is_inherited: bool) {
        let text = format!("run {number} starts after a run had ended done");
        let mut is_noted = false;
        for done in self.done.get_mut(task).into_iter().flatten() {
            is_noted |= done.is_noted;
            done.starts.push(text.clone());
        }
        if is_noted && !is_inherited {
            self.break_promise(task, &text, agent);
        }
    }

    /// Takes note of an end, unless the minion's lease has lapsed since.
    fn check_noted(&mut self, agent: usize, ended: &Ended) {
        let Some(run) = ended.run.as_ref().filter(|_| ended.ending() == Ending::Done) else {
            return;
        };
        let (task, minion) = (Task::read(run), &self.minions[agent]);
        let (born_ms, lapsed) = (minion.incarnation.born_ms, minion.lapsed);
        let is_meant = |done: &&mut Done| {
            (done.agent, done.born_ms, done.number) == (agent, born_ms, run.run)
                && lapsed.is_none_or(|lapsed| lapsed < done.at)
        };
        let Some(done) = self.done.get_mut(&task).into_iter().flatten().find(is_meant) else {
            return;
        };
        done.is_noted = true;
        for text in std::mem::take(&mut done.starts) {
            self.break_promise(&task, &format!("{text} that was noted later"), agent);
        }
    }

    fn break_promise(&mut self, task: &Task, text: &str, agent: usize) {
        self.note(&format!("m{agent} promise broken: {task} {text}"));
        self.broken.push(format!("{task} {text}"));
    }

    pub(super) fn beat(&mut self, agent: usize) {
        self.after(BEAT, Action::Beat(agent));
        self.say(agent);
    }

    /// A minion says what it is.
    pub(super) fn say(&mut self, agent: usize) {
        let minion = &self.minions[agent];
        if minion.is_up {
            let beat = Heartbeat {
                incarnation: minion.incarnation.clone(),
                address: format!("m{agent}"),
                sequence: self.now.as_micros() as u64,
            };
            let life = self.agents[agent].life;
            let event = runner::event::Event::Heartbeat(Box::new(beat));
            self.after(LOCAL, Action::Runner(agent, life, event));
        }
    }

    /// Lets tasks make progress for one step.
    pub(super) fn step(&mut self) {
        self.after(STEP, Action::Step);
        self.lapse();
        let mut runs: BTreeMap<(Task, u32), Vec<(usize, Task)>> = BTreeMap::new();
        for (index, minion) in self.minions.iter().enumerate().filter(|(_, it)| it.is_up) {
            for (task, active) in &minion.active {
                let truth = self.truth.get(&(task.job.clone(), task.step));
                let is_gang = truth.is_some_and(|truth| truth.members > 1);
                let key = Task { index: if is_gang { 0 } else { task.index }, ..task.clone() };
                runs.entry((key, active.number)).or_default().push((index, task.clone()));
            }
        }
        for ((task, _), members) in runs {
            self.step_run(&task, &members);
        }
        if self.now.as_millis().is_multiple_of(20) {
            self.wake_watches();
        }
    }

    pub(super) fn lapse(&mut self) {
        for minion in &mut self.minions {
            if minion.is_up && minion.clock(self.now) >= minion.lease {
                minion.lapsed = Some(self.now);
                minion.lapse(&self.truth);
            }
        }
    }

    pub(super) fn step_run(&mut self, task: &Task, members: &[(usize, Task)]) {
        let Some(truth) = self.truth.get(&(task.job.clone(), task.step)).cloned() else { return };
        let stopped = members.iter().any(|(at, task)| {
            self.minions[*at].active[task].stop_at.is_some_and(|stop| self.now >= stop)
        });
        if stopped {
            for (at, task) in members {
                let is_asked = self.minions[*at].active[task].stop_at.is_some();
                let ending = if is_asked { Ending::Stopped } else { Ending::Broken };
                self.minions[*at].end(task, ending, Some(&truth));
            }
            return;
        }
        if members.len() < truth.members as usize {
            let alone = |(at, task): &(usize, Task)| {
                self.now >= self.minions[*at].active[task].since + Duration::from_secs(3)
            };
            if members.iter().any(alone) {
                for (at, task) in members {
                    self.minions[*at].end(task, Ending::Alone, Some(&truth));
                }
            }
            return;
        }
        let racks: BTreeSet<&str> =
            members.iter().map(|(at, _)| self.minions[*at].incarnation.rack.as_str()).collect();
        let far = if truth.wants_one_rack && racks.len() > 1 { 3.0 } else { 1.0 };
        let slow = members.iter().map(|(at, _)| self.minions[*at].slow).fold(0.0, f64::max);
        let hangs = members.iter().any(|(at, _)| self.minions[*at].hangs);
        let fails = members.iter().any(|(at, _)| self.minions[*at].fails) || truth.always_fails;
        if hangs {
            return;
        }
        let gain = STEP.div_f64(far * slow);
        let mut done = Duration::ZERO;
        for (at, task) in members {
            let active = self.minions[*at].active.get_mut(task).expect("listed by the caller");
            active.done += gain;
            done = done.max(active.done);
        }
        let is_early = done < truth.work.mul_f64(0.5);
        if done >= truth.work {
            let own = self.rng.random_bool(truth.fail_share);
            let ending = if fails || own { Ending::Faulty } else { Ending::Done };
            self.end_run(members, ending, &truth);
        } else if fails && !is_early {
            self.end_run(members, Ending::Faulty, &truth);
        }
    }

    pub(super) fn end_run(&mut self, members: &[(usize, Task)], ending: Ending, truth: &Truth) {
        for (position, (at, task)) in members.iter().enumerate() {
            let is_first = position == 0 || ending == Ending::Done;
            let ending = if is_first { ending } else { Ending::Broken };
            if ending == Ending::Done {
                let minion = &self.minions[*at];
                let (agent, born_ms) = (*at, minion.incarnation.born_ms);
                let (number, starts) = (minion.active[task].number, Vec::new());
                let done = Done { agent, born_ms, number, at: self.now, is_noted: false, starts };
                self.done.entry(task.clone()).or_default().push(done);
            }
            self.minions[*at].end(task, ending, Some(truth));
        }
    }

    /// What runs on a worker, as its minion has it.
    pub fn running(&self, agent: usize) -> Vec<Running> {
        let active = self.minions[agent].active.iter();
        let running = active.map(|(task, active)| Running {
            run: Some(task.run(active.number)),
            ..Running::default()
        });
        running.collect()
    }

    /// Work thrown away, in processor seconds.
    pub fn waste(&self) -> f64 {
        self.lost_waste + self.minions.iter().map(|minion| minion.waste).sum::<f64>()
    }
}
