//! Simulates the minions: delivers calls and heartbeats, lets tasks make progress, and checks the
//! invariants on starts and ends of runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use prost::Message as _;
use rand::RngExt as _;
use sapphire_jobs::{
    Ended, Ending, Job, Rejection, Running, State,
    task::{JobId, RunNumber, Task},
};
use sapphire_planner::keys;
use sapphire_runner::{self as runner, minion::Heartbeat};
use sapphire_store::call::{Call, Reply};

use super::{
    Action, Completion, EPOCH, HEARTBEAT_INTERVAL, LOCAL_LATENCY, Request, STEP, Simulation,
    settings::CORDON_DEADLINE,
};
use crate::jobs::minion::{Runs, Truth};

impl Simulation {
    pub(super) fn minion_call(&mut self, request: Request) {
        use runner::minion::{Call as Order, Reply as MinionReply};
        let Request { agent, ticket, .. } = request;
        if let Order::Start { start, .. } = &request.call {
            let task = Task::read(&start.run.clone().unwrap_or_default());
            self.idle.sent_to.entry(task.job.clone()).or_default().insert(agent);
            self.unanswered.sent(task, agent, request.sent);
        }
        let minion = &self.minions[agent];
        if !minion.is_up || self.is_refusing(&request) {
            self.reply(&request, MinionReply::NotListening);
            return;
        }
        let is_other = request.target != minion.incarnation.id
            || !self.calls_outlive_incarnations && request.born_ms != minion.incarnation.born_ms;
        if !request.target.is_empty() && is_other {
            self.reply(&request, MinionReply::WrongInstance);
            return;
        }
        let is_order = !matches!(request.call, Order::LongPoll { .. });
        let is_late = request.generation.is_none();
        if is_order && !is_late {
            let is_stop = matches!(request.call, Order::Stop { .. });
            if is_stop && self.lost_stops > 0.0 && self.rng.random_bool(self.lost_stops) {
                self.log_order(&request, "is lost");
                let event = runner::event::Event::MinionReply(ticket, MinionReply::Unknown);
                let generation = request.generation.unwrap_or_default();
                self.at(request.timeout_at, Action::Runner(agent, generation, event));
                return;
            }
            if self.late_orders > 0.0 && self.rng.random_bool(self.late_orders) {
                let delay = Duration::from_secs_f64(self.rng.random_range(2.0..12.0));
                self.log_order(
                    &request,
                    &format!("gets no reply, is carried out {} ms late", delay.as_millis()),
                );
                let event = runner::event::Event::MinionReply(ticket, MinionReply::Unknown);
                let generation = request.generation.unwrap_or_default();
                self.at(request.timeout_at, Action::Runner(agent, generation, event));
                self.after(
                    delay,
                    Action::Minion(Box::new(Request { generation: None, ..request })),
                );
                return;
            }
            if self.refused_orders > 0.0 && self.rng.random_bool(self.refused_orders) {
                self.reply(&request, MinionReply::Refused(Rejection::Unhealthy));
                return;
            }
        }
        if let Order::LongPoll { wait, .. } = &request.call
            && !wait.is_zero()
            && minion.ended.is_empty()
            && self.now + LOCAL_LATENCY * 4 + runner::options::MINION_TIMEOUT < request.timeout_at
        {
            // Nothing to report yet: check again in the next step.
            self.after(STEP, Action::Minion(Box::new(request)));
            return;
        }
        let run = match &request.call {
            Order::Start { start, .. } => start.run.clone(),
            _ => None,
        };
        let task = run.as_ref().map(Task::read);
        let before = task.as_ref().and_then(|task| Some(minion.active.get(task)?.number));
        let previous_token = minion.token;
        let reply = self.minions[agent].call(self.now, &request.call, &self.truth);
        self.log_first_token(agent, previous_token);
        if is_order {
            self.log_order(&request, &format!("{reply:?}"));
        }
        if let (Some(run), Some(task), MinionReply::Done) = (run, task, &reply)
            && before != Some(run.run)
        {
            self.check_start(&request, &task, run.run, before);
        }
        for ended in std::mem::take(&mut self.minions[agent].acknowledged) {
            self.check_acknowledged(agent, &ended);
        }
        self.note_listed(&request, &reply);
        self.reply(&request, reply);
    }

    fn reply(&mut self, request: &Request, reply: runner::minion::Reply) {
        let Some(generation) = request.generation else { return };
        if self.mute.contains(&request.agent) {
            let unknown = runner::minion::Reply::Unknown;
            let event = runner::event::Event::MinionReply(request.ticket, unknown);
            self.at(request.timeout_at, Action::Runner(request.agent, generation, event));
        } else {
            let event = runner::event::Event::MinionReply(request.ticket, reply);
            self.after(LOCAL_LATENCY, Action::Runner(request.agent, generation, event));
        }
    }

    /// Logs the first fencing token that an incarnation of the minion receives.
    fn log_first_token(&mut self, agent: usize, previous_token: u64) {
        let minion = &self.minions[agent];
        if previous_token == 0 && minion.token > 0 {
            let (born_ms, token) = (minion.incarnation.born_ms, minion.token);
            let age = minion.clock(self.now).as_millis();
            self.log_line(&format!(
                "m{agent} born_ms={born_ms} first token={token}, clock_ms={age}"
            ));
        }
    }

    fn log_order(&mut self, request: &Request, outcome: &str) {
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
        self.log_line(&text);
    }

    /// Checks the invariants that hold whenever a minion starts a task. `before` is the run of the
    /// same task that this minion was running already.
    fn check_start(
        &mut self,
        request: &Request,
        task: &Task,
        number: RunNumber,
        before: Option<RunNumber>,
    ) {
        let agent = request.agent;
        self.started.entry(task.job.clone()).or_insert(self.now);
        self.note_recovery(task);
        let others_running = self.minions.iter().enumerate().filter(|(index, minion)| {
            *index != agent && minion.is_up && minion.active.contains_key(task)
        });
        if others_running.count() > 0 || before.is_some() {
            self.report_violation(task, "runs twice at once", agent);
        }
        // A start that was sent to an earlier incarnation under the same identifier can be carried
        // out before this incarnation has received a token that fences it. Bounds in time don't
        // hold for such a start.
        let is_inherited = request.born_ms != self.minions[agent].incarnation.born_ms;
        let is_complete = self.reported.contains_key(&(task.job.clone(), State::Complete.into()));
        if is_complete && !is_inherited {
            self.report_violation(task, "starts after its job was shown complete", agent);
        }
        // A caller that submits again after a refusal may have its job accepted without getting the
        // answer; only a job that was not accepted after the last refusal must not run.
        if let Some(at) = self.refused.get(&task.job).copied()
            && !self.accepted.contains_key(&task.job)
        {
            let accepted_at = self.accepted_at(&task.job);
            self.log_line(&format!(
                "job={} was accepted at {accepted_at:?}, refused at {at:?}",
                task.job
            ));
            if accepted_at.is_none_or(|accepted_at| accepted_at <= at) {
                self.report_violation(task, "starts though its job was refused", agent);
            }
        }
        // Bounds in time apply to when the agent sent the order; it may be carried out later.
        if let Some(at) = self.cancelled.get(&task.job)
            && request.sent > *at + self.bounds.cancel
        {
            self.report_violation(task, "starts long after its job was cancelled", agent);
        }
        if self.minions[agent].is_overcommitted {
            self.report_violation(task, "overfills its worker", agent);
            self.minions[agent].is_overcommitted = false;
        }
        if self.minions[agent]
            .drain_reported_at
            .is_some_and(|drain_reported_at| request.sent > drain_reported_at + self.bounds.drain)
        {
            self.report_violation(task, "starts on a worker that drains", agent);
        }
        let region = self.agents[agent].region;
        if let Some(at) = self.cordons.get(&region)
            && request.sent > *at + CORDON_DEADLINE
        {
            self.report_violation(task, "starts in a cordoned zone", agent);
        }
        self.check_tasks_per_worker(agent, task);
        self.check_done(agent, task, number, is_inherited);
    }

    /// When an entry accepted a job, by the job's record in the store.
    fn accepted_at(&mut self, job: &str) -> Option<Duration> {
        let reply = self.store.call(self.now, &Call::Get { key: keys::job(job) });
        let Some(Reply::Value(item)) = reply else { return None };
        let job = Job::decode(&item.bytes[..]).ok()?;
        Duration::from_millis(job.accepted_ms).checked_sub(EPOCH)
    }

    /// Checks that a worker runs no more tasks of a step than the job allows; tasks that are being
    /// stopped count.
    fn check_tasks_per_worker(&mut self, agent: usize, task: &Task) {
        let arrival = self.arrivals.iter().find(|arrival| arrival.job.id == task.job);
        let step = arrival.and_then(|arrival| arrival.job.steps.get(task.step as usize));
        let max = step.map_or(0, |step| step.per_worker) as usize;
        let is_beside = |other: &&Task| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        };
        let beside = self.minions[agent].active.keys().filter(is_beside).count();
        if max > 0 && beside > max {
            self.report_violation(task, &format!("starts as one of {beside}, {max} may be"), agent);
        }
    }

    /// Checks that no run of a task starts after another run of it has ended as done, provided that
    /// this end is acknowledged. If it is not yet, records the start for
    /// [`check_acknowledged`](Self::check_acknowledged).
    fn check_done(&mut self, agent: usize, task: &Task, number: RunNumber, is_inherited: bool) {
        let text = format!("run {number} starts after a run had ended done");
        let ends: Vec<Completion> = self.completions.get(task).cloned().unwrap_or_default();
        let mut noted = ends.iter().filter(|end| end.is_acknowledged).peekable();
        if noted.peek().is_some() && !is_inherited {
            let listed = format!("{text} that was listed in calm time");
            if noted.clone().any(|end| end.counted_at.is_none()) {
                self.report_violation(task, &text, agent);
            } else if noted.any(|end| !self.is_disturbed(end)) {
                self.report_violation(task, &listed, agent);
            } else {
                let text = format!("{task} {listed}, disrupted since");
                self.log_line(&format!("m{agent} {text}"));
                self.starts_after_disruptions.push(text);
            }
        }
        for completion in self.completions.get_mut(task).into_iter().flatten() {
            completion.starts.push(text.clone());
        }
    }

    /// Records that an end as done is acknowledged, unless the minion's lease has expired since,
    /// and reports the starts of the task after that end.
    fn check_acknowledged(&mut self, agent: usize, ended: &Ended) {
        let Some(run) = ended.run.as_ref().filter(|_| ended.ending() == Ending::Done) else {
            return;
        };
        let (task, minion) = (Task::read(run), &self.minions[agent]);
        let (born_ms, last_expired_at) = (minion.incarnation.born_ms, minion.last_expired_at);
        let number = run.run;
        for completion in self.completions.get_mut(&task).into_iter().flatten() {
            if (completion.agent, completion.born_ms, completion.number) == (agent, born_ms, number)
            {
                completion.noted_at.get_or_insert(self.now);
            }
        }
        let is_same_run = |completion: &&mut Completion| {
            (completion.agent, completion.born_ms, completion.number) == (agent, born_ms, run.run)
                && last_expired_at.is_none_or(|last_expired_at| last_expired_at < completion.at)
        };
        let Some(completion) =
            self.completions.get_mut(&task).into_iter().flatten().find(is_same_run)
        else {
            return;
        };
        completion.is_acknowledged = true;
        completion.counted_at = None;
        for text in std::mem::take(&mut completion.starts) {
            self.report_violation(&task, &format!("{text} that was noted later"), agent);
        }
    }

    pub(super) fn report_violation(&mut self, task: &Task, text: &str, agent: usize) {
        self.log_line(&format!("m{agent} invariant violated: {task} {text}"));
        self.violations.push(format!("{task} {text}"));
    }

    pub(super) fn heartbeat(&mut self, agent: usize) {
        self.after(HEARTBEAT_INTERVAL, Action::Heartbeat(agent));
        self.send_heartbeat(agent);
    }

    /// Sends a heartbeat from a minion to its agent.
    pub(super) fn send_heartbeat(&mut self, agent: usize) {
        let minion = &self.minions[agent];
        if minion.is_up && !self.is_without_heartbeats(agent) {
            let heartbeat = Heartbeat {
                incarnation: minion.incarnation.clone(),
                address: format!("m{agent}"),
                sequence: self.now.as_micros() as u64,
            };
            let generation = self.agents[agent].generation;
            let event = runner::event::Event::Heartbeat(Box::new(heartbeat));
            self.after(LOCAL_LATENCY, Action::Runner(agent, generation, event));
        }
    }

    /// Advances all tasks by one step.
    pub(super) fn step(&mut self) {
        self.after(STEP, Action::Step);
        self.expire_leases();
        self.follow_disruptions();
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
            self.advance_run(&task, &members);
        }
        if self.now.as_millis().is_multiple_of(100) {
            self.check_leftovers();
        }
        if self.now.as_millis().is_multiple_of(20) {
            self.poll_watches();
        }
    }

    pub(super) fn expire_leases(&mut self) {
        for minion in &mut self.minions {
            if minion.is_up && minion.clock(self.now) >= minion.lease_expires_at {
                minion.last_expired_at = Some(self.now);
                minion.expire_lease(&self.truth);
            }
        }
    }

    pub(super) fn advance_run(&mut self, task: &Task, members: &[(usize, Task)]) {
        let Some(truth) = self.truth.get(&(task.job.clone(), task.step)).cloned() else { return };
        let stopped = members.iter().any(|(at, task)| {
            self.minions[*at].active[task].stop_at.is_some_and(|stop| self.now >= stop)
        });
        if stopped {
            for (at, task) in members {
                let is_asked = self.minions[*at].active[task].stop_at.is_some();
                let ending = if is_asked { Ending::Stopped } else { Ending::Broken };
                self.minions[*at].end_task(task, ending, Some(&truth));
            }
            return;
        }
        if members.len() < truth.members as usize {
            let has_waited_alone = |(at, task): &(usize, Task)| {
                self.now >= self.minions[*at].active[task].started_at + self.bounds.gang
            };
            if members.iter().any(has_waited_alone) {
                for (at, task) in members {
                    self.minions[*at].end_task(task, Ending::Alone, Some(&truth));
                }
            }
            return;
        }
        let racks: BTreeSet<&str> =
            members.iter().map(|(at, _)| self.minions[*at].incarnation.rack.as_str()).collect();
        let placement_factor = if truth.wants_one_rack && racks.len() > 1 { 3.0 } else { 1.0 };
        let slowdown = members
            .iter()
            .map(|(at, _)| self.minions[*at].slowdown * self.minions[*at].slowness)
            .fold(0.0, f64::max);
        let stalls = members.iter().any(|(at, _)| self.minions[*at].stalls);
        let fails = members.iter().any(|(at, _)| self.minions[*at].fails) || truth.always_fails;
        let is_restoring =
            members.iter().any(|(at, task)| self.now < self.minions[*at].active[task].restored_at);
        if stalls || is_restoring {
            return;
        }
        let step_progress = STEP.div_f64(placement_factor * slowdown);
        let mut progress = Duration::ZERO;
        for (at, task) in members {
            let active = self.minions[*at].active.get_mut(task).expect("listed by the caller");
            active.progress += step_progress;
            progress = progress.max(active.progress);
        }
        let work = truth.work_of(task.index);
        let is_early = progress < work.mul_f64(0.5);
        if progress >= work {
            let fails_itself = self.rng.random_bool(truth.fail_share);
            let ending = if fails || fails_itself { Ending::Faulty } else { Ending::Done };
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
                let completion = Completion {
                    agent,
                    born_ms,
                    number,
                    at: self.now,
                    is_acknowledged: false,
                    is_listed: false,
                    counted_at: None,
                    is_disturbed: false,
                    noted_at: None,
                    starts,
                };
                self.completions.entry(task.clone()).or_default().push(completion);
            }
            if ending == Ending::Faulty {
                *self.failures.entry(task.clone()).or_default() += 1;
            }
            self.minions[*at].end_task(task, ending, Some(truth));
        }
    }

    /// Tasks in progress on a worker's minion.
    pub fn running(&self, agent: usize) -> Vec<Running> {
        let active = self.minions[agent].active.iter();
        let running = active.map(|(task, active)| Running {
            run: Some(task.run(active.number)),
            ..Running::default()
        });
        running.collect()
    }

    /// Work that was lost, in processor seconds.
    pub fn waste(&self) -> f64 {
        self.earlier_waste + self.minions.iter().map(|minion| minion.waste).sum::<f64>()
    }

    /// What became of the runs of each job.
    pub fn runs(&self) -> BTreeMap<JobId, Runs> {
        let mut runs = self.earlier_runs.clone();
        for (job, ended) in self.minions.iter().flat_map(|minion| &minion.runs) {
            runs.entry(job.clone()).or_default().add(*ended);
        }
        runs
    }
}
