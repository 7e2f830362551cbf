//! Callers' requests: what is checked, in which order, and what is answered.

use std::time::Duration;

use prost::Message as _;
use sapphire_jobs::{
    Job, Progress, Schedule, State, Step, catalog::Queue, length, resources::Resources, task::JobId,
};
use sapphire_plan::admit;
use sapphire_planner::keys;
use sapphire_store::call::{Call, Reply};

use crate::{
    answer::{Action, Answer, Handin, Request},
    effect::Effect,
    event::{Caller, Operation},
    machine::{Lookup, Machine, Retry, Wanted},
    options,
    state::writes::What,
};

/// Longest name of a job.
const MAX_ID: usize = 64;
/// Longest description of what a job's tasks do, in bytes.
const MAX_SPEC: usize = 64 << 10;
/// Most tasks of one job.
const MAX_TASKS: u64 = 100_000;
/// Longest declared run time of a task: ten years. Sums of many have a number.
const MAX_ESTIMATE: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Time for which a caller waits when it doesn't say.
const PATIENCE: Duration = Duration::from_secs(3);

impl Machine {
    pub(crate) fn request(&mut self, now: Duration, unix: Duration, caller: Caller, ask: Request) {
        let Some(catalog) = self.fresh.catalog.clone() else {
            self.refuse(now, caller, "no configuration yet");
            return;
        };
        let age = self.fresh.age(now);
        let is_recent = age.is_some_and(|age| age < options::REFUSAL_AGE);
        let Some((queue, rest)) = catalog.route(&ask.host, &ask.path) else {
            if is_recent {
                self.answer(caller, Answer::NoQueue);
            } else {
                self.refuse(now, caller, "the configuration may be out of date");
            }
            return;
        };
        let mut organisation = String::new();
        if !queue.is_anonymous {
            // Guards against serving a key that was taken away while this entry was cut off: the
            // proof that the configuration is the newest runs out before the key has to.
            let most = self.options.revocation.saturating_sub(options::REVOCATION_MARGIN);
            if age.is_none_or(|age| age >= most) {
                self.refuse(now, caller, "the configuration may be out of date");
                return;
            }
            match catalog.owner(&ask.key) {
                Some(owner) => organisation.clone_from(&owner.name),
                None if is_recent => {
                    self.answer(caller, Answer::NoKey);
                    return;
                }
                None => {
                    self.refuse(now, caller, "the configuration may be out of date");
                    return;
                }
            }
        }
        let patience = ask.patience.unwrap_or(PATIENCE);
        match ask.action {
            Action::Read if rest.is_empty() => self.read_queue(now, caller, &queue.name),
            _ if !is_id(rest) => self.answer(caller, Answer::NoJob),
            Action::Read => self.read(now, caller, rest, patience),
            Action::Cancel => self.cancel(now, caller, rest, patience),
            Action::Other => self.answer(caller, Answer::NotOffered),
            Action::Submit(Err(reason)) => self.answer(caller, Answer::Malformed(reason)),
            Action::Submit(Ok(handin)) => match check(&handin, unix) {
                Some(reason) => self.answer(caller, Answer::Malformed(reason)),
                None => {
                    let job = self.record(unix, rest, queue, organisation, handin);
                    let supply = self.view.supply(now, queue);
                    self.submit(now, caller, job, supply.as_ref(), patience);
                }
            },
        }
    }

    fn refuse(&mut self, now: Duration, caller: Caller, reason: &'static str) {
        let after = self.come_again(now);
        self.answer(caller, Answer::NotDone { reason, after });
    }

    /// When a caller that can't be served is to come again.
    ///
    /// An entry that reaches neither the store nor the planner is most likely cut off alone: its
    /// callers are better off at another one at once. While the store is away for all, coming
    /// again sooner would only use up their tries.
    pub(crate) fn come_again(&self, now: Duration) -> Duration {
        let is_alone = self.reach.is_away(now) && !self.view.is_fresh(now);
        if is_alone { Duration::ZERO } else { options::COME_AGAIN }
    }

    fn record(
        &self,
        unix: Duration,
        id: &str,
        queue: &Queue,
        organisation: String,
        handin: Handin,
    ) -> Job {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Job {
            id: id.to_owned(),
            queue: queue.name.clone(),
            organisation,
            spec: handin.spec,
            steps: handin.steps,
            schedule: handin.schedule,
            accepted_ms: millis(unix),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            slack_milli: (queue.slack * 1_000.0) as u32,
            target_latency_ms: millis(queue.target_latency),
            term: self.lead().map_or(0, |lead| lead.term),
        }
    }

    fn submit(
        &mut self,
        now: Duration,
        caller: Caller,
        job: Job,
        supply: Option<&admit::Supply>,
        patience: Duration,
    ) {
        if self.view.state(&job.id).is_some() {
            self.answer(caller, Answer::Accepted);
            return;
        }
        // A job that an earlier try may have brought in can't be said to be turned away.
        if !self.is_unsettled(now, &job.id) {
            let refusal = match admit::admit(&admission(&job), supply) {
                admit::Outcome::Accept => None,
                admit::Outcome::TooLarge { after } => Some(("no worker can hold a task", after)),
                admit::Outcome::Full { after } => Some(("its turn would come too late", after)),
            };
            if let Some((reason, after)) = refusal {
                // Another entry may have taken it in a moment ago, and its answer was lost.
                let wanted = Wanted::TurnAway { reason, after };
                self.look_up(now, caller, &job.id, wanted, patience);
                return;
            }
        }
        let id = job.id.clone();
        self.write(now, caller, &id, What::Job(Box::new(job)), patience);
    }

    fn read_queue(&mut self, now: Duration, caller: Caller, queue: &str) {
        if self.view.is_fed() {
            let pending = self.view.pending(queue);
            self.answer(caller, Answer::Pending(pending));
        } else {
            self.refuse(now, caller, "the jobs are not known yet");
        }
    }

    fn read(&mut self, now: Duration, caller: Caller, id: &str, patience: Duration) {
        match self.view.state(id) {
            Some(state) => self.read_state(now, caller, id, state),
            None => self.look_up(now, caller, id, Wanted::State, patience),
        }
    }

    fn cancel(&mut self, now: Duration, caller: Caller, id: &str, patience: Duration) {
        match self.view.state(id) {
            Some(State::Complete | State::Failed | State::Cancelled) => {
                self.answer(caller, Answer::Cancelled);
            }
            Some(_) => self.write(now, caller, id, What::Cancel, patience),
            None => self.look_up(now, caller, id, Wanted::Cancel, patience),
        }
    }

    /// Asks the store about a job that the planner does not show: only a read that can't be
    /// stale proves that there is none.
    fn look_up(
        &mut self,
        now: Duration,
        caller: Caller,
        id: &str,
        wanted: Wanted,
        patience: Duration,
    ) {
        let deadline = now + patience.min(options::WRITE_PATIENCE);
        let is_first = !self.lookups.contains_key(id);
        let waiting = self.lookups.entry(id.to_owned()).or_default();
        waiting.push(Lookup { caller, wanted, deadline });
        if is_first {
            let call = Call::Get { key: keys::job(id) };
            self.out.push(Effect::Store(Operation::LookUp(id.to_owned()), call));
        }
    }

    pub(crate) fn looked_up(&mut self, now: Duration, id: JobId, reply: Reply) {
        match reply {
            Reply::Value(value) if value.revision == 0 => {
                for lookup in self.lookups.remove(&id).unwrap_or_default() {
                    let answer = match lookup.wanted {
                        Wanted::TurnAway { reason, after } => Answer::NotDone { reason, after },
                        Wanted::State | Wanted::Cancel => Answer::NoJob,
                    };
                    self.answer(lookup.caller, answer);
                }
            }
            Reply::Value(_) => {
                let mut reads = Vec::new();
                for lookup in self.lookups.remove(&id).unwrap_or_default() {
                    match lookup.wanted {
                        Wanted::State => reads.push(lookup),
                        Wanted::TurnAway { .. } => self.answer(lookup.caller, Answer::Accepted),
                        Wanted::Cancel => {
                            let patience = lookup.deadline.saturating_sub(now);
                            self.write(now, lookup.caller, &id, What::Cancel, patience);
                        }
                    }
                }
                if !reads.is_empty() {
                    self.lookups.insert(id.clone(), reads);
                    let call = Call::Get { key: keys::progress(&id) };
                    self.out.push(Effect::Store(Operation::LookUpProgress(id), call));
                }
            }
            _ => self.lookup_failed(now, id, Operation::LookUp, keys::job),
        }
    }

    pub(crate) fn progress_looked_up(&mut self, now: Duration, id: JobId, reply: Reply) {
        match reply {
            Reply::Value(value) => {
                let state = match Progress::decode(&value.bytes[..]) {
                    Ok(progress) => progress.state(),
                    Err(error) => {
                        self.log(format!("job={id} progress can't be read: {error}"));
                        State::Queued
                    }
                };
                if matches!(state, State::Complete | State::Failed) {
                    self.looked_up_state(&id, state);
                } else {
                    let call = Call::Get { key: keys::cancel(&id) };
                    self.out.push(Effect::Store(Operation::LookUpCancel(id), call));
                }
            }
            _ => self.lookup_failed(now, id, Operation::LookUpProgress, keys::progress),
        }
    }

    pub(crate) fn cancel_looked_up(&mut self, now: Duration, id: JobId, reply: Reply) {
        match reply {
            Reply::Value(value) if value.revision > 0 => {
                self.looked_up_state(&id, State::Cancelled);
            }
            Reply::Value(_) => self.looked_up_state(&id, State::Queued),
            _ => self.lookup_failed(now, id, Operation::LookUpCancel, keys::cancel),
        }
    }

    fn looked_up_state(&mut self, id: &str, state: State) {
        for lookup in self.lookups.remove(id).unwrap_or_default() {
            self.answer(lookup.caller, Answer::State(state));
        }
    }

    /// Has a read tried again after a pause: a store that turns calls away answers at once.
    fn lookup_failed(
        &mut self,
        now: Duration,
        id: JobId,
        operation: fn(JobId) -> Operation,
        key: fn(&str) -> String,
    ) {
        let call = Call::Get { key: key(&id) };
        let (at, operation) = (now + options::LOOK_UP_RETRY, operation(id.clone()));
        self.retries.push(Retry { id, at, operation, call });
    }

    /// Sends the reads again that are due and that somebody still waits for.
    pub(crate) fn drive_retries(&mut self, now: Duration) {
        let lookups = &self.lookups;
        self.retries.retain(|retry| lookups.contains_key(&retry.id));
        let due = self.retries.extract_if(.., |retry| now >= retry.at);
        self.out.extend(due.map(|retry| Effect::Store(retry.operation, retry.call)));
    }

    pub(crate) fn give_up_lookups(&mut self, now: Duration) {
        let mut over = Vec::new();
        self.lookups.retain(|_, waiting| {
            waiting.retain(|lookup| {
                let is_over = now >= lookup.deadline;
                if is_over {
                    over.push(lookup.caller);
                }
                !is_over
            });
            !waiting.is_empty()
        });
        for caller in over {
            self.refuse(now, caller, "the store can't be reached");
        }
    }
}

/// What decides whether a job is taken in.
fn admission(job: &Job) -> admit::Job {
    let chain = length::critical_path(&job.steps, length::declared);
    admit::Job {
        task_resources: job.steps.iter().map(|step| Resources::read(step.room.as_ref())).collect(),
        priority: job.priority,
        objective: length::objective(job, chain),
    }
}

fn is_id(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= MAX_ID && text.chars().all(is_allowed)
}

/// What is wrong with a job, if anything is.
fn check(handin: &Handin, unix: Duration) -> Option<String> {
    if handin.spec.len() > MAX_SPEC {
        return Some(format!("spec is longer than {MAX_SPEC} bytes"));
    }
    if handin.steps.is_empty() {
        return Some("steps: at least one is needed".to_owned());
    }
    let tasks: u64 = handin.steps.iter().map(|step| u64::from(step.tasks)).sum();
    if tasks > MAX_TASKS {
        return Some(format!("steps: more than {MAX_TASKS} tasks"));
    }
    let at_once = handin.schedule.as_ref().map_or(1, |schedule| due_at_once(schedule, unix));
    if tasks.saturating_mul(at_once) > MAX_TASKS {
        return Some(format!("repeat_count: more than {MAX_TASKS} tasks are due at once"));
    }
    let steps = handin.steps.iter().enumerate();
    steps.map(|(index, step)| check_step(index, step)).find(Option::is_some).flatten()
}

/// Occurrences that are due when the first of them is, or already.
fn due_at_once(schedule: &Schedule, unix: Duration) -> u64 {
    let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let all = u64::from(schedule.times);
    let late_ms = unix_ms.saturating_sub(schedule.first_ms);
    late_ms
        .checked_div(schedule.interval_ms)
        .map_or(all, |missed| all.min(missed.saturating_add(1)))
}

fn check_step(index: usize, step: &Step) -> Option<String> {
    if step.tasks == 0 {
        return Some(format!("steps[{index}]: at least one task is needed"));
    }
    if length::declared(step) > MAX_ESTIMATE {
        return Some(format!("steps[{index}]: estimate_ms is above ten years"));
    }
    let is_earlier = |other: &u32| (*other as usize) < index;
    let wrong = step.after.iter().find(|other| !is_earlier(other))?;
    Some(format!("steps[{index}]: waits for step {wrong}, which is not an earlier one"))
}
