//! The minions' side: orders, some of them late, tasks that make progress, and what must hold.

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

use super::Soak;
use crate::fleet::AGENTS;

/// Time after which a member of a gang that waits for the others ends.
const ALONE: Duration = Duration::from_secs(3);
/// Time after the end of a fault in which it may still have effects.
const NEAR: Duration = Duration::from_secs(5);

/// Milliseconds after which a late order is carried out.
const LATE: std::ops::Range<u64> = 2_000..6_000;

/// An order to a minion, as it came.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    agent: u8,
    order: Order,
    /// Life that it names.
    life: String,
    /// Start of the life that was there when it came.
    born_ms: u64,
    at: Duration,
}

/// A call that waits for an end.
pub(super) struct Hold {
    pub(super) caller: CallerId,
    sent: Sent,
    until: Duration,
}

/// An end that was `done`.
pub(super) struct Done {
    agent: u8,
    born_ms: u64,
    number: RunNumber,
    at: Duration,
    is_noted: bool,
    /// Starts of the same task since.
    starts: Vec<String>,
}

impl Soak {
    pub(super) fn minion_request(
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
        let born_ms = minion.incarnation.born_ms;
        let sent = Sent { agent, order, life: platform::life(request), born_ms, at: now };
        match &sent.order {
            Order::LongPoll { wait, .. } if !wait.is_zero() && minion.ended.is_empty() => {
                let until = now + *wait;
                self.holds.push(Hold { caller, sent, until });
                return;
            }
            Order::LongPoll { .. } => {}
            Order::Start { .. } | Order::Stop { .. } => {
                let is_due = now >= self.late_from && now < self.late_until;
                if is_due && self.extra.random_bool(self.late_share) {
                    let late = Duration::from_millis(self.extra.random_range(LATE));
                    self.note(&sent, &format!("gets no answer, late by {}", late.as_millis()));
                    self.trouble_until = self.trouble_until.max(now + late);
                    self.late.push((now + late, sent));
                    return;
                }
            }
        }
        let response = self.carry_out(now, &sent);
        self.hub.answer(caller, &response);
    }

    fn carry_out(&mut self, now: Duration, sent: &Sent) -> Response {
        let agent = sent.agent;
        let minion = &mut self.minions[usize::from(agent)];
        if !sent.life.is_empty() && sent.life != minion.incarnation.id {
            self.note(sent, "other life");
            return Response::new(421, "");
        }
        let run = match &sent.order {
            Order::Start { start, .. } => start.run.clone(),
            _ => None,
        };
        let run = run.map(|run| (Task::read(&run), run.run));
        let before = run.as_ref().and_then(|(task, _)| Some(minion.active.get(task)?.number));
        let (response, is_done) = platform::obey(minion, now, &sent.order, &self.truth);
        if !matches!(sent.order, Order::LongPoll { .. }) {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            self.note(sent, &format!("{} {body}", response.status));
        }
        if let (Some((task, number)), true) = (run, is_done)
            && before != Some(number)
        {
            self.check_start(sent, &task, number, before);
        }
        for ended in std::mem::take(&mut self.minions[usize::from(agent)].noted) {
            self.check_noted(now, agent, &ended);
        }
        response
    }

    /// Writes a line on an order.
    fn note(&mut self, sent: &Sent, outcome: &str) {
        let (verb, task, number, token) = match &sent.order {
            Order::LongPoll { .. } => return,
            Order::Start { start, token, .. } => {
                let run = start.run.clone().unwrap_or_default();
                ("start", Task::read(&run), run.run, token)
            }
            Order::Stop { task, number, token } => ("stop", task.clone(), *number, token),
        };
        let Sent { agent, life, .. } = sent;
        let age = sent.at;
        self.write(&format!(
            "m{agent} {verb} task={task} run={number} token={token} id={life} came at {age:?}: \
             {outcome}"
        ));
    }

    /// Writes a line on what the minions did.
    pub(super) fn write(&mut self, text: &str) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!("{:.3} {text}", unix.as_secs_f64());
        if let Err(error) = writeln!(self.log, "{line}") {
            eprintln!("{line} not written: {error}");
        }
    }

    fn break_promise(&mut self, text: String) {
        self.write(&format!("promise broken: {text}"));
        self.outcome.broken.push(text);
    }

    /// What must hold whenever a minion starts a task; `before` is the run of the task that was
    /// there already.
    fn check_start(
        &mut self,
        sent: &Sent,
        task: &Task,
        number: RunNumber,
        before: Option<RunNumber>,
    ) {
        let agent = usize::from(sent.agent);
        let is_elsewhere = self
            .minions
            .iter()
            .enumerate()
            .any(|(other, minion)| other != agent && minion.active.contains_key(task));
        let is_inherited = sent.born_ms != self.minions[agent].incarnation.born_ms;
        let whence = if is_inherited { ", as an earlier life was told" } else { "" };
        let mut broken = Vec::new();
        if is_elsewhere || before.is_some() {
            broken.push("runs twice at once");
        }
        match self.jobs.get(&task.job) {
            None => broken.push("was never handed in"),
            Some(job) if job.is_complete => broken.push("starts again after it was done"),
            Some(job) if job.was_refused && !job.is_accepted => {
                broken.push("starts though its job was refused");
            }
            Some(_) => {}
        }
        let start = format!("{task} run {number} starts on m{agent}{whence}");
        let mut is_noted = false;
        for done in self.done.get_mut(task).into_iter().flatten() {
            is_noted |= done.is_noted;
            done.starts.push(start.clone());
        }
        if is_noted {
            broken.push("starts after a run of it had ended done");
        }
        if std::mem::take(&mut self.minions[agent].overfilled) {
            broken.push("overfills its minion");
        }
        for text in broken {
            self.break_promise(format!("{task} {text} ({start})"));
        }
    }

    /// Takes note of an end, unless the minion's lease has lapsed since.
    fn check_noted(&mut self, now: Duration, agent: u8, ended: &Ended) {
        let Some(run) = ended.run.as_ref().filter(|_| ended.ending() == Ending::Done) else {
            return;
        };
        let (task, minion) = (Task::read(run), &self.minions[usize::from(agent)]);
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
            self.break_promise(format!("{text} after a run had ended done, noted at {now:?}"));
        }
    }

    /// Ends what runs on minions whose lease has run out.
    pub(super) fn lapse(&mut self, now: Duration) {
        for agent in 0..usize::from(AGENTS) {
            let minion = &mut self.minions[agent];
            if now < minion.lease {
                continue;
            }
            minion.lapsed = Some(now);
            let count = minion.active.len();
            minion.lapse(&self.truth);
            if count > 0 {
                self.write(&format!("m{agent} lapsed, {count} tasks end"));
            }
        }
    }

    /// Lets tasks make progress, carries out what is late and answers holds.
    pub(super) fn step_minions(&mut self, now: Duration, time: Duration) {
        let mut runs: BTreeMap<(Task, RunNumber), Vec<(usize, Task)>> = BTreeMap::new();
        for (agent, minion) in self.minions.iter().enumerate() {
            for (task, active) in &minion.active {
                let truth = self.truth.get(&(task.job.clone(), task.step));
                let is_gang = truth.is_some_and(|truth| truth.members > 1);
                let key = Task { index: if is_gang { 0 } else { task.index }, ..task.clone() };
                runs.entry((key, active.number)).or_default().push((agent, task.clone()));
            }
        }
        for ((task, number), members) in runs {
            self.step_run(now, time, (&task, number), &members);
        }
        let (due, later) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| now >= *at);
        self.late = later;
        let mut due: Vec<(Duration, Sent)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, sent) in due {
            // Nobody is told: the answer was given up.
            let _ = self.carry_out(now, &sent);
        }
        for hold in std::mem::take(&mut self.holds) {
            if now >= hold.until || !self.minions[usize::from(hold.sent.agent)].ended.is_empty() {
                let response = self.carry_out(now, &hold.sent);
                self.hub.answer(hold.caller, &response);
            } else {
                self.holds.push(hold);
            }
        }
    }

    /// Lets a run make progress: one task, or the members of a gang that are there.
    fn step_run(
        &mut self,
        now: Duration,
        time: Duration,
        (task, number): (&Task, RunNumber),
        members: &[(usize, Task)],
    ) {
        let Some(truth) = self.truth.get(&(task.job.clone(), task.step)).cloned() else { return };
        let active = |(at, task): &(usize, Task)| &self.minions[*at].active[task];
        let present: BTreeSet<u32> = members.iter().map(|(_, task)| task.index).collect();
        let is_whole = present.len() == truth.members as usize;
        let seen = self.seen.entry((task.clone(), number)).or_default();
        seen.extend(&present);
        let is_stopped =
            members.iter().any(|it| active(it).stop_at.is_some_and(|stop| now >= stop));
        let has_waited = |it: &(usize, Task)| now >= active(it).since + ALONE;
        let endings: Vec<Ending> = if is_stopped {
            let is_asked = |it| active(it).stop_at.is_some();
            let ending = |it| if is_asked(it) { Ending::Stopped } else { Ending::Broken };
            members.iter().map(ending).collect()
        } else if seen.len() > present.len() {
            vec![Ending::Broken; members.len()]
        } else if is_whole || truth.members == 1 {
            let done = members.iter().map(|it| active(it).done).max().unwrap_or_default() + time;
            let is_done = done >= truth.work;
            for (at, task) in members {
                let minion = &mut self.minions[*at];
                if let Some(active) = minion.active.get_mut(task) {
                    active.done += time;
                }
            }
            if !is_done {
                return;
            }
            vec![Ending::Done; members.len()]
        } else if members.iter().any(has_waited) {
            let ending = |it| if has_waited(it) { Ending::Alone } else { Ending::Broken };
            members.iter().map(ending).collect()
        } else {
            return;
        };
        let since = members.iter().map(|it| self.minions[it.0].active[&it.1].since).min();
        if endings.contains(&Ending::Alone)
            && since.is_some_and(|since| since > self.trouble_until + NEAR)
        {
            self.break_promise(format!("{task} run {number} ends alone and no fault was near"));
        }
        for ((at, task), ending) in members.iter().zip(endings) {
            self.end(now, *at, task, ending, &truth);
        }
    }

    fn end(&mut self, now: Duration, agent: usize, task: &Task, ending: Ending, truth: &Truth) {
        let minion = &mut self.minions[agent];
        let Some(number) = minion.active.get(task).map(|active| active.number) else { return };
        minion.end(task, ending, Some(truth));
        let born_ms = minion.incarnation.born_ms;
        self.write(&format!("m{agent} end task={task} run={number} {}", ending.as_str_name()));
        if ending == Ending::Done {
            let (at, starts) = (now, Vec::new());
            let done = Done { agent: agent as u8, born_ms, number, at, is_noted: false, starts };
            self.done.entry(task.clone()).or_default().push(done);
        }
    }

    /// What must hold when a job is shown as complete: each of its tasks has ended `done`.
    pub(super) fn check_complete(&mut self, id: &str, tasks: u32) {
        let count = self.done.keys().filter(|task| task.job == id).count();
        if count < tasks as usize {
            self.break_promise(format!("{id} is shown as complete, {count} of {tasks} are done"));
        }
    }

    /// Ends a minion's life without a word and begins another, under the same id or a new one.
    pub(super) fn crash(&mut self, agent: u8) {
        let minion = &mut self.minions[usize::from(agent)];
        let born_ms = minion.incarnation.born_ms + 1;
        let mut incarnation = platform::incarnation(agent, born_ms);
        if self.options.trouble.late_orders && self.extra.random_bool(0.5) {
            incarnation.id = format!("m{agent}-{born_ms}");
        } else {
            incarnation.id.clone_from(&minion.incarnation.id);
        }
        let id = incarnation.id.clone();
        *minion = Minion::new(incarnation);
        self.write(&format!("m{agent} crashed, is id={id} born_ms={born_ms} now"));
    }

    /// What a task of a job is, whose tasks are so many members of a gang.
    pub(super) fn truth(work: Duration, members: u32) -> Truth {
        Truth {
            work,
            always_fails: false,
            fail_share: 0.0,
            members,
            wants_one_rack: false,
            checkpoints: false,
            room: Resources { millicores: 1_000, memory_mib: 1_000, accelerators: 1 },
        }
    }
}
