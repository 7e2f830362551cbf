//! The simulated minions: carry out orders, some of them late, let tasks make progress, and check
//! what must hold at the start and end of tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write as _,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::RngExt as _;
use sapphire_jobs::{
    Ended, Ending,
    resources::Resources,
    task::{RunNumber, Task},
};
use sapphire_net::{
    hub::CallerId,
    message::{Request, Response},
};
use sapphire_proofs::jobs::minion::{Minion, Truth};
use sapphire_runner::minion::Call as Order;
use sapphire_standins::jobs_platform as platform;

use super::{Options, Soak, listed::Listing};
use crate::conditions::millis;

/// Time after the end of a fault within which it may still have effects.
const FAULT_AFTERMATH: Duration = Duration::from_secs(5);

/// Time after the cordon of a zone from which on no order to start a task may arrive there.
const CORDON_DEADLINE: Duration = Duration::from_secs(5);

/// Time from the start of a task to its end on a minion that fails all its tasks.
const FAILURE_DELAY: Duration = Duration::from_millis(250);
/// Share of the bound on stops that a task takes to stop, at most.
const STOP_SHARE: f64 = 0.7;
/// Factor by which a gang that prefers one rack is slower on several; the default of the settings.
const REMOTE_FACTOR: f64 = 3.0;
/// Number of racks with spells; one otherwise.
const RACKS: u8 = 3;

/// What separates the progress in a checkpoint from the name of its run.
const CHECKPOINT_MARK: char = '@';

/// Delays of late orders, in milliseconds.
const LATE_DELAY_MS: std::ops::Range<u64> = 2_000..6_000;

/// An order as a minion received it.
#[derive(Clone, Debug)]
pub(super) struct Received {
    agent: u8,
    order: Order,
    /// Identifier that the minion must have to carry it out; empty if any minion may.
    minion_id: String,
    /// Start time of the incarnation that received it.
    born_ms: u64,
    at: Duration,
}

/// A long poll that waits for the end of a task.
pub(super) struct LongPoll {
    pub(super) caller: CallerId,
    received: Received,
    deadline: Duration,
}

/// A run of a task that ended with `done`.
pub(super) struct Completion {
    pub(super) agent: u8,
    pub(super) born_ms: u64,
    pub(super) number: RunNumber,
    pub(super) at: Duration,
    pub(super) listing: Listing,
    /// The end was acknowledged to the minion.
    is_acknowledged: bool,
    /// Descriptions of the starts of the same task since.
    pub(super) starts: Vec<String>,
}

impl Completion {
    pub(super) fn is_of(&self, agent: u8, born_ms: u64, number: RunNumber) -> bool {
        (self.agent, self.born_ms, self.number) == (agent, born_ms, number)
    }
}

/// Returns an agent's minion that started at `born_ms`.
pub(super) fn start(agent: u8, born_ms: u64, options: &Options) -> Minion {
    let mut incarnation = platform::incarnation(agent, born_ms);
    if options.trouble.has_spells() {
        incarnation.rack = format!("r{}", agent % RACKS);
        incarnation.labels[1].clone_from(&incarnation.rack);
    }
    let bounds = options.conditions.bounds;
    Minion::new(incarnation)
        .with_pace(1.0, millis(bounds.restore))
        .with_clock(Duration::ZERO, millis(bounds.lease_limit))
}

impl Soak {
    pub(super) fn handle_minion_request(
        &mut self,
        now: Duration,
        caller: CallerId,
        agent: u8,
        request: &Request,
    ) {
        let Some(order) = platform::order(request) else {
            self.hub.answer(caller, &Response::new(400, ""));
            return;
        };
        let minion = &self.minions[usize::from(agent)];
        if !minion.is_up {
            return;
        }
        let born_ms = minion.incarnation.born_ms;
        let received =
            Received { agent, order, minion_id: platform::minion_id(request), born_ms, at: now };
        if self.spells.hangs(now, agent) {
            self.log_order(&received, "not answered, the minion hangs");
            return;
        }
        if self.spells.loses(now, &received.order) {
            self.log_order(&received, "lost");
            return;
        }
        if self.spells.loses_start(now, &received.order, agent) {
            self.log_order(&received, "not answered, its VM is about to leave");
            return;
        }
        if matches!(received.order, Order::Start { .. }) && self.spells.takes_away(now, agent) {
            let minion = &mut self.minions[usize::from(agent)];
            minion.terminate(&self.truth);
            self.log_order(&received, "not answered, the minion leaves");
            return;
        }
        match &received.order {
            Order::LongPoll { wait, .. } if !wait.is_zero() && minion.ended.is_empty() => {
                let deadline = now + *wait;
                self.long_polls.push(LongPoll { caller, received, deadline });
                return;
            }
            Order::LongPoll { .. } => {}
            Order::Start { .. } | Order::Stop { .. } => {
                let is_due = now >= self.late_from && now < self.late_until;
                let is_late = is_due && self.trouble_rng.random_bool(self.late_share);
                if is_late || self.spells.delays(now) {
                    let delay = Duration::from_millis(self.trouble_rng.random_range(LATE_DELAY_MS));
                    self.log_order(
                        &received,
                        &format!("not answered, carried out {} ms later", delay.as_millis()),
                    );
                    self.faults_until = self.faults_until.max(now + delay);
                    self.late_orders.push((now + delay, received));
                    return;
                }
            }
        }
        let response = self.carry_out(now, &received);
        self.respond(now, &received, caller, &response);
    }

    /// Answers a call to a minion, unless the minion is in a spell without answers.
    fn respond(
        &mut self,
        now: Duration,
        received: &Received,
        caller: CallerId,
        response: &Response,
    ) {
        if !self.spells.is_mute(received.agent) {
            if matches!(received.order, Order::LongPoll { .. }) && response.status == 200 {
                self.record_listed(now, received.agent);
            }
            self.hub.answer(caller, response);
        }
    }

    /// Applies an order to its minion, checks the result and returns the response.
    fn carry_out(&mut self, now: Duration, received: &Received) -> Response {
        let agent = received.agent;
        let minion = &mut self.minions[usize::from(agent)];
        if !minion.is_up {
            self.log_order(received, "no minion");
            return Response::new(503, "");
        }
        let is_other = received.minion_id != minion.incarnation.id
            || !self.options.conditions.calls_outlive_incarnations
                && received.born_ms != minion.incarnation.born_ms;
        if !received.minion_id.is_empty() && is_other {
            self.log_order(received, "wrong instance");
            return Response::new(421, "");
        }
        let run = match &received.order {
            Order::Start { start, .. } => start.run.clone(),
            _ => None,
        };
        let run = run.map(|run| (Task::read(&run), run.run));
        let before = run.as_ref().and_then(|(task, _)| Some(minion.active.get(task)?.number));
        let mut order = received.order.clone();
        if let Order::Start { start, .. } = &mut order {
            let progress = start.checkpoint.split(CHECKPOINT_MARK).next().unwrap_or_default();
            start.checkpoint = progress.to_owned();
        }
        let (response, is_carried_out) = platform::execute(minion, now, &order, &self.truth);
        if let Order::Stop { task, .. } = &order
            && let Some(active) = minion.active.get_mut(task)
        {
            let latest = now + millis(self.options.conditions.bounds.stop).mul_f64(STOP_SHARE);
            active.stop_at = active.stop_at.map(|at| at.min(latest));
        }
        if !matches!(received.order, Order::LongPoll { .. }) {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            self.log_order(received, &format!("{} {body}", response.status));
        }
        if let (Some((task, number)), true) = (run, is_carried_out)
            && before != Some(number)
        {
            self.check_start(now, received, &task, number, before);
        }
        for ended in std::mem::take(&mut self.minions[usize::from(agent)].acknowledged) {
            self.check_acknowledged(now, agent, &ended);
        }
        let has_odd_rows = self.options.conditions.has_odd_rows && response.status == 200;
        if has_odd_rows { platform::with_odd_rows(&response) } else { response }
    }

    /// Logs an order and its outcome.
    fn log_order(&mut self, received: &Received, outcome: &str) {
        let (verb, task, number, token) = match &received.order {
            Order::LongPoll { .. } => return,
            Order::Start { start, token, .. } => {
                let run = start.run.clone().unwrap_or_default();
                ("start", Task::read(&run), run.run, token)
            }
            Order::Stop { task, number, token } => ("stop", task.clone(), *number, token),
        };
        let Received { agent, minion_id, .. } = received;
        let at = received.at;
        self.write_log(&format!(
            "m{agent} {verb} task={task} run={number} token={token} id={minion_id} received at \
             {at:?}: {outcome}"
        ));
    }

    /// Writes a line to the minions' log.
    pub(super) fn write_log(&mut self, text: &str) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!("{:.3} {text}", unix.as_secs_f64());
        if let Err(error) = writeln!(self.log, "{line}") {
            eprintln!("{line} not written: {error}");
        }
    }

    /// Records a broken promise.
    pub(super) fn break_promise(&mut self, text: String) {
        self.write_log(&format!("promise broken: {text}"));
        self.outcome.broken.push(text);
    }

    /// Checks what must hold when a minion starts a task; `before` is the run of the same task that
    /// was active on the minion already.
    fn check_start(
        &mut self,
        now: Duration,
        received: &Received,
        task: &Task,
        number: RunNumber,
        before: Option<RunNumber>,
    ) {
        let agent = usize::from(received.agent);
        let is_elsewhere = self
            .minions
            .iter()
            .enumerate()
            .any(|(other, minion)| other != agent && minion.active.contains_key(task));
        let is_inherited = received.born_ms != self.minions[agent].incarnation.born_ms;
        let origin = if is_inherited { ", as an earlier life was told" } else { "" };
        let mut broken = self.check_order(received, task);
        if is_elsewhere || before.is_some() {
            broken.push("runs twice at once");
        }
        match self.jobs.get(&task.job) {
            None => broken.push("was never handed in"),
            Some(job) if job.cancel_sent_at.is_some() => {
                if self.is_started_late(agent, &task.job, received.at) {
                    broken.push("starts after its job was cancelled");
                }
            }
            Some(job) if job.is_complete => broken.push("starts again after it was done"),
            Some(job) if job.was_refused && !job.is_accepted => {
                broken.push("starts though its job was refused");
            }
            Some(_) => {}
        }
        let zone = &self.minions[agent].incarnation.zone;
        let cordoned_at = self.cordons.get(zone).copied();
        if cordoned_at.is_some_and(|at| received.at > at + CORDON_DEADLINE) {
            broken.push("starts in a cordoned zone");
        }
        let start = format!("{task} run {number} starts on m{agent}{origin}");
        self.check_listed(now, task, &start);
        let mut is_acknowledged = false;
        for completion in self.completions.get_mut(task).into_iter().flatten() {
            is_acknowledged |= completion.is_acknowledged;
            completion.starts.push(start.clone());
        }
        if is_acknowledged {
            broken.push("starts after a run of it had ended done");
        }
        if std::mem::take(&mut self.minions[agent].is_overcommitted) {
            broken.push("overfills its minion");
        }
        for text in broken {
            self.break_promise(format!("{task} {text} ({start})"));
        }
    }

    /// Checks that an order to start a task is for what a caller has submitted.
    fn check_order(&self, received: &Received, task: &Task) -> Vec<&'static str> {
        let Order::Start { start, .. } = &received.order else { return Vec::new() };
        let mut broken = Vec::new();
        if let Some(job) = self.jobs.get(&task.job) {
            if start.spec != job.spec {
                broken.push("starts with another spec");
            }
            if (task.occurrence, task.step) != (0, 0) || task.index >= job.tasks {
                broken.push("is not a task of its job");
            }
        }
        let saved = self.checkpoints.get(&self.group(task));
        let is_saved = saved.is_some_and(|saved| saved.contains(&start.checkpoint));
        if !start.checkpoint.is_empty() && !is_saved {
            broken.push("starts with a checkpoint that is not its own");
        }
        broken
    }

    /// Returns the first task of a task's gang, or the task itself if it is in none.
    fn group(&self, task: &Task) -> Task {
        let truth = self.truth.get(&(task.job.clone(), task.step));
        let is_gang = truth.is_some_and(|truth| truth.members > 1);
        Task { index: if is_gang { 0 } else { task.index }, ..task.clone() }
    }

    /// Records that the end of a run was acknowledged, unless the minion's lease has expired since
    /// the end. The task must not have been started since, nor start again.
    fn check_acknowledged(&mut self, now: Duration, agent: u8, ended: &Ended) {
        let Some(run) = ended.run.as_ref().filter(|_| ended.ending() == Ending::Done) else {
            return;
        };
        let (task, minion) = (Task::read(run), &self.minions[usize::from(agent)]);
        let (born_ms, lapsed) = (minion.incarnation.born_ms, minion.last_expired_at);
        let is_same_run = |completion: &&mut Completion| {
            completion.is_of(agent, born_ms, run.run)
                && lapsed.is_none_or(|lapsed| lapsed < completion.at)
        };
        let Some(completion) =
            self.completions.get_mut(&task).into_iter().flatten().find(is_same_run)
        else {
            return;
        };
        completion.is_acknowledged = true;
        for text in std::mem::take(&mut completion.starts) {
            self.break_promise(format!("{text} after a run had ended done, noted at {now:?}"));
        }
    }

    /// Ends the tasks on minions whose lease has expired.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        for agent in 0..self.minions.len() {
            let minion = &mut self.minions[agent];
            if now < minion.lease_expires_at {
                continue;
            }
            minion.last_expired_at = Some(now);
            let count = minion.active.len();
            minion.expire_lease(&self.truth);
            if count > 0 {
                self.write_log(&format!("m{agent} lease expired, {count} tasks end"));
            }
        }
    }

    /// Lets tasks make progress, carries out late orders that are due, and answers long polls.
    pub(super) fn advance_minions(&mut self, now: Duration, elapsed: Duration) {
        let mut runs: BTreeMap<(Task, RunNumber), Vec<(usize, Task)>> = BTreeMap::new();
        for (agent, minion) in self.minions.iter().enumerate() {
            for (task, active) in &minion.active {
                let run = (self.group(task), active.number);
                runs.entry(run).or_default().push((agent, task.clone()));
            }
        }
        for ((task, number), members) in runs {
            self.advance_run(now, elapsed, (&task, number), &members);
        }
        let (due, later) =
            std::mem::take(&mut self.late_orders).into_iter().partition(|(at, _)| now >= *at);
        self.late_orders = later;
        let mut due: Vec<(Duration, Received)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, received) in due {
            // The response is dropped, since late orders are not answered.
            let _ = self.carry_out(now, &received);
        }
        for poll in std::mem::take(&mut self.long_polls) {
            let agent = poll.received.agent;
            if !self.minions[usize::from(agent)].is_up {
                continue;
            }
            if self.spells.hangs(now, agent) {
                self.long_polls.push(poll);
            } else if now >= poll.deadline || !self.minions[usize::from(agent)].ended.is_empty() {
                let response = self.carry_out(now, &poll.received);
                self.respond(now, &poll.received, poll.caller, &response);
            } else {
                self.long_polls.push(poll);
            }
        }
    }

    /// Lets a run make progress: a single task, or the gang members that are present.
    fn advance_run(
        &mut self,
        now: Duration,
        elapsed: Duration,
        (task, number): (&Task, RunNumber),
        members: &[(usize, Task)],
    ) {
        let Some(truth) = self.truth.get(&(task.job.clone(), task.step)).cloned() else { return };
        let active = |(agent, task): &(usize, Task)| &self.minions[*agent].active[task];
        let present: BTreeSet<u32> = members.iter().map(|(_, task)| task.index).collect();
        let is_complete = present.len() == truth.members as usize;
        let members_seen = self.members_seen.entry((task.clone(), number)).or_default();
        members_seen.extend(&present);
        let is_stopped =
            members.iter().any(|member| active(member).stop_at.is_some_and(|stop| now >= stop));
        let timeout = millis(self.options.conditions.bounds.gang);
        let has_waited = |member: &(usize, Task)| now >= active(member).started_at + timeout;
        let endings: Vec<Ending> = if is_stopped {
            let is_stop_requested = |member| active(member).stop_at.is_some();
            let ending =
                |member| if is_stop_requested(member) { Ending::Stopped } else { Ending::Broken };
            members.iter().map(ending).collect()
        } else if members_seen.len() > present.len() {
            vec![Ending::Broken; members.len()]
        } else if let Some(endings) = self.faulty_endings(now, members, is_complete) {
            *self.failures.entry(task.clone()).or_default() += 1;
            endings
        } else if is_complete || truth.members == 1 {
            let elapsed = self.progress_in(now, elapsed, &truth, members);
            let done =
                members.iter().map(|member| active(member).progress).max().unwrap_or_default()
                    + elapsed;
            let is_done = done >= truth.work;
            for (agent, task) in members {
                let minion = &mut self.minions[*agent];
                if let Some(active) = minion.active.get_mut(task) {
                    active.progress += elapsed;
                }
            }
            if !is_done {
                return;
            }
            vec![Ending::Done; members.len()]
        } else if members.iter().any(has_waited) {
            let ending = |member| if has_waited(member) { Ending::Alone } else { Ending::Broken };
            members.iter().map(ending).collect()
        } else {
            return;
        };
        let since =
            members.iter().map(|member| self.minions[member.0].active[&member.1].started_at).min();
        if endings.contains(&Ending::Alone)
            && since.is_some_and(|since| since > self.faults_until + FAULT_AFTERMATH)
        {
            self.break_promise(format!("{task} run {number} ends alone and no fault was near"));
        }
        for ((agent, task), ending) in members.iter().zip(endings) {
            self.end_task(now, *agent, task, ending, &truth);
        }
    }

    /// Returns how a run ends that fails because of a minion that fails all its tasks.
    fn faulty_endings(
        &self,
        now: Duration,
        members: &[(usize, Task)],
        is_complete: bool,
    ) -> Option<Vec<Ending>> {
        let fails = |(agent, task): &(usize, Task)| {
            let minion = &self.minions[*agent];
            minion.fails && now >= minion.active[task].started_at + FAILURE_DELAY
        };
        let ending = |member| if fails(member) { Ending::Faulty } else { Ending::Broken };
        (is_complete && members.iter().any(fails)).then(|| members.iter().map(ending).collect())
    }

    /// Returns the progress of a run in a period: none while a member restores its checkpoint, and
    /// otherwise that of its slowest member.
    fn progress_in(
        &self,
        now: Duration,
        elapsed: Duration,
        truth: &Truth,
        members: &[(usize, Task)],
    ) -> Duration {
        let minions = || members.iter().map(|(agent, _)| &self.minions[*agent]);
        if members.iter().any(|(agent, task)| now < self.minions[*agent].active[task].restored_at) {
            return Duration::ZERO;
        }
        let racks: BTreeSet<&str> =
            minions().map(|minion| minion.incarnation.rack.as_str()).collect();
        let is_remote = truth.wants_one_rack && racks.len() > 1;
        let slowdown = minions().map(|minion| minion.slowdown).fold(1.0, f64::max);
        elapsed.div_f64(slowdown * if is_remote { REMOTE_FACTOR } else { 1.0 })
    }

    /// Ends a task on its minion; an end with `done` is recorded for later checks.
    fn end_task(
        &mut self,
        now: Duration,
        agent: usize,
        task: &Task,
        ending: Ending,
        truth: &Truth,
    ) {
        let group = self.group(task);
        let minion = &mut self.minions[agent];
        let Some(number) = minion.active.get(task).map(|active| active.number) else { return };
        minion.end_task(task, ending, Some(truth));
        let born_ms = minion.incarnation.born_ms;
        if let Some(ended) = minion.ended.get_mut(&minion.last_end)
            && !ended.checkpoint.is_empty()
        {
            // The progress alone could be the same for two tasks.
            ended.checkpoint = format!("{}{CHECKPOINT_MARK}{task}#{number}", ended.checkpoint);
            self.checkpoints.entry(group).or_default().insert(ended.checkpoint.clone());
        }
        self.write_log(&format!("m{agent} end task={task} run={number} {}", ending.as_str_name()));
        if ending == Ending::Done {
            let (at, starts) = (now, Vec::new());
            let completion = Completion {
                agent: agent as u8,
                born_ms,
                number,
                at,
                listing: Listing::Unlisted,
                is_acknowledged: false,
                starts,
            };
            self.completions.entry(task.clone()).or_default().push(completion);
        }
    }

    /// Checks what must hold when a job is reported as complete: each of its tasks has ended with
    /// `done`.
    pub(super) fn check_complete(&mut self, id: &str, tasks: u32) {
        let count = self.completions.keys().filter(|task| task.job == id).count();
        if count < tasks as usize {
            self.break_promise(format!("{id} is shown as complete, {count} of {tasks} are done"));
        }
    }

    /// Crashes a minion and starts its next incarnation, which has the same identifier or, if there
    /// are late orders, possibly a new one.
    pub(super) fn crash(&mut self, agent: u8) {
        let minion = &mut self.minions[usize::from(agent)];
        let born_ms = minion.incarnation.born_ms + 1;
        let mut incarnation = start(agent, born_ms, &self.options).incarnation;
        if self.options.trouble.late_orders && self.trouble_rng.random_bool(0.5) {
            incarnation.id = format!("m{agent}-{born_ms}");
        } else {
            incarnation.id.clone_from(&minion.incarnation.id);
        }
        let id = incarnation.id.clone();
        let is_up = minion.is_up;
        *minion = start(agent, born_ms, &self.options);
        (minion.incarnation, minion.is_up) = (incarnation, is_up);
        self.write_log(&format!("m{agent} crashed and restarted as id={id} born_ms={born_ms}"));
    }

    /// Actual properties of a job's tasks: their run time, and the members of their gang (1 if they
    /// are none).
    pub(super) fn task_truth(work: Duration, members: u32) -> Truth {
        Truth {
            work,
            long_tasks: BTreeSet::new(),
            long_factor: 1.0,
            always_fails: false,
            fail_share: 0.0,
            members,
            wants_one_rack: false,
            checkpoints: false,
            resources: Resources { millicores: 1_000, memory_mib: 1_000, accelerators: 1 },
        }
    }
}
