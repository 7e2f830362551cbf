//! Handling of callers' requests: authorisation, validation, admission, look-ups and answers.

use std::time::Duration;

use prost::Message as _;
use sapphire_jobs::{
    Job, Progress, State, Step,
    catalog::{Organisation, Queue},
    length, limits,
    resources::Resources,
    task::JobId,
};
use sapphire_plan::admit;
use sapphire_planner::keys;
use sapphire_store::call::{Call, Reply};

use crate::{
    answer::{self, Action, Answer, Request, Submission},
    effect::Effect,
    event::{Caller, Operation},
    machine::{Lookup, Machine, Purpose, Retry},
    options::{self, Options},
    state::writes::Payload,
};

/// Longest id of a job, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Timeout of a caller whose request states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

impl Machine {
    pub(crate) fn request(
        &mut self,
        now: Duration,
        unix_now: Duration,
        caller: Caller,
        request: Request,
    ) {
        let Some(catalog) = self.freshness.catalog.clone() else {
            self.refuse(now, caller, "no configuration yet");
            return;
        };
        let age = self.freshness.age(now);
        let is_recent = age.is_some_and(|age| age < options::REFUSAL_MAX_AGE);
        let Some((queue, rest)) = catalog.route(&request.host, &request.path) else {
            if is_recent {
                self.answer(caller, Answer::NoQueue);
            } else {
                self.refuse(now, caller, "the configuration may be out of date");
            }
            return;
        };
        let mut organisation = Organisation::default();
        if !queue.is_anonymous {
            // A key may have been revoked while this entry was partitioned from the store. The
            // limit on the age of the freshness check makes the entry refuse all keys before a
            // revoked one must stop being served.
            let max_age = self.options.revocation.saturating_sub(options::REVOCATION_MARGIN);
            if age.is_none_or(|age| age >= max_age) {
                self.refuse(now, caller, "the configuration may be out of date");
                return;
            }
            match catalog.owner(&request.key) {
                Some(owner) => organisation.clone_from(owner),
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
        let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT);
        match request.action {
            Action::Read if rest.is_empty() => self.read_queue(now, caller, &queue.name),
            _ if !is_id(rest) => self.answer(caller, Answer::NoJob),
            Action::Read => self.read(now, caller, rest, timeout),
            Action::Cancel => self.cancel(now, caller, rest, timeout),
            Action::Other => self.answer(caller, Answer::NotOffered),
            Action::Submit(Err(reason)) => self.answer(caller, Answer::Malformed(reason)),
            Action::Submit(Ok(submission)) => match self.validate(&submission, unix_now) {
                Some(reason) => self.answer(caller, Answer::Malformed(reason)),
                None => {
                    let supply = self.view.supply(now, queue, &organisation);
                    let owner = organisation.name;
                    let job = self.job_record(unix_now, rest, queue, owner, submission);
                    self.submit(now, caller, job, supply.as_ref(), timeout);
                }
            },
        }
    }

    /// Returns the first error in a submitted job, if any.
    fn validate(&self, submission: &Submission, unix_now: Duration) -> Option<String> {
        let Submission { spec, steps, schedule } = submission;
        let fault = limits::fault(spec, steps, schedule.as_ref(), unix_now);
        fault.or_else(|| {
            let Options { job_tasks, gang_tasks, .. } = self.options;
            let tasks: u64 = steps.iter().map(|step| u64::from(step.tasks)).sum();
            if tasks > job_tasks {
                return Some(format!("steps: more than {job_tasks} tasks"));
            }
            let is_large = |step: &Step| step.is_gang && u64::from(step.tasks) > gang_tasks;
            let index = steps.iter().position(is_large)?;
            Some(format!("steps[{index}]: a gang of more than {gang_tasks} tasks"))
        })
    }

    fn refuse(&mut self, now: Duration, caller: Caller, reason: &'static str) {
        let after = self.retry_after(now);
        self.answer(caller, Answer::NotDone { reason, after });
    }

    /// Time after which a caller that can't be served should retry.
    ///
    /// An entry that reaches neither the store nor the leader is most likely isolated: its callers
    /// should try another entry at once. While the store is unreachable for all entries, retrying
    /// sooner would only use up the callers' attempts.
    pub(crate) fn retry_after(&self, now: Duration) -> Duration {
        let is_isolated = self.reach.is_unreachable(now) && !self.view.is_fresh(now);
        if is_isolated { Duration::ZERO } else { options::RETRY_AFTER }
    }

    fn job_record(
        &self,
        unix_now: Duration,
        id: &str,
        queue: &Queue,
        organisation: String,
        submission: Submission,
    ) -> Job {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Job {
            id: id.to_owned(),
            queue: queue.name.clone(),
            organisation,
            spec: submission.spec,
            steps: submission.steps,
            schedule: submission.schedule,
            accepted_ms: millis(unix_now),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            slack_milli: (queue.slack * 1_000.0) as u32,
            target_latency_ms: millis(queue.target_latency),
            term: self.leader().map_or(0, |leader| leader.term),
        }
    }

    fn submit(
        &mut self,
        now: Duration,
        caller: Caller,
        job: Job,
        supply: Option<&admit::Supply>,
        timeout: Duration,
    ) {
        if self.view.state(&job.id).is_some() {
            self.answer(caller, Answer::Accepted);
            return;
        }
        // A job can't be reported as rejected while an earlier attempt to write it may be applied.
        if !self.is_unresolved(now, &job.id) {
            let has_memory = self.view.has_memory_for(now, &job);
            let refusal = match admit::admit(&admission(&job), supply) {
                admit::Outcome::Accept if !has_memory => {
                    Some((answer::NO_MEMORY, options::NO_MEMORY_RETRY_AFTER))
                }
                admit::Outcome::Accept => None,
                admit::Outcome::TooLarge { after } => Some(("no worker can hold a task", after)),
                admit::Outcome::Full { after } => Some(("its turn would come too late", after)),
                admit::Outcome::AboveShare { after } => {
                    Some((answer::ABOVE_SHARE, self.return_slot(now, &job, after)))
                }
            };
            if let Some((reason, after)) = refusal {
                // Another entry may have accepted the job a moment ago, with its answer lost.
                let purpose = Purpose::Reject { reason, after };
                self.look_up(now, caller, &job.id, purpose, timeout);
                return;
            }
        }
        let id = job.id.clone();
        self.enqueue_write(now, caller, &id, Payload::Job(Box::new(job)), timeout);
    }

    /// Time after which the caller of a job that is rejected by share may retry, at least `after`.
    ///
    /// Callers get successive times, with the time between them that their organisation is served for
    /// one job. Guards against callers that return all at once and are nearly all rejected again,
    /// the earliest among them. Each entry has its part of the callers and of the times.
    fn return_slot(&mut self, now: Duration, job: &Job, after: Duration) -> Duration {
        let job_time = self.view.job_time(now, &job.service, &job.organisation).unwrap_or_default();
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX).max(1);
        self.returns.retain(|_, latest| *latest > now);
        let key = (job.service.clone(), job.organisation.clone());
        let first = now + after;
        let interval = job_time.saturating_mul(entries);
        let next = self.returns.get(&key).map_or(first, |latest| latest.saturating_add(interval));
        let slot = next.max(first).min(now + admit::MAX_RETRY_AFTER);
        self.returns.insert(key, slot);
        slot - now
    }

    fn read_queue(&mut self, now: Duration, caller: Caller, queue: &str) {
        if self.view.has_feed() {
            let pending = self.view.pending(queue);
            self.answer(caller, Answer::Pending(pending));
        } else {
            self.refuse(now, caller, "the jobs are not known yet");
        }
    }

    fn read(&mut self, now: Duration, caller: Caller, id: &str, timeout: Duration) {
        match self.view.state(id) {
            Some(state) => self.read_state(now, caller, id, state),
            None => self.look_up(now, caller, id, Purpose::State, timeout),
        }
    }

    /// Cancels a job.
    ///
    /// Guards against a job that runs although its caller was told that it doesn't exist: a read that finds
    /// nothing doesn't show what comes of a write that is on its way, or of a submission that an entry has
    /// not read yet.
    fn cancel(&mut self, now: Duration, caller: Caller, id: &str, timeout: Duration) {
        let payload = match self.view.state(id) {
            Some(State::Complete | State::Failed | State::Cancelled) => {
                self.answer(caller, Answer::Cancelled);
                return;
            }
            Some(_) => Payload::Cancel,
            None if self.may_write_tombstone(now) => Payload::Tombstone,
            None => {
                self.look_up(now, caller, id, Purpose::Cancel, timeout);
                return;
            }
        };
        self.enqueue_write(now, caller, id, payload, timeout);
    }

    /// Looks up a job in the store that the view does not contain: only a read that can't be stale
    /// shows that the job does not exist.
    fn look_up(
        &mut self,
        now: Duration,
        caller: Caller,
        id: &str,
        purpose: Purpose,
        timeout: Duration,
    ) {
        let deadline = now + timeout.min(options::WRITE_TIMEOUT);
        let is_first = !self.lookups.contains_key(id);
        let waiting = self.lookups.entry(id.to_owned()).or_default();
        waiting.push(Lookup { caller, purpose, deadline });
        if is_first {
            let call = Call::Get { key: keys::job(id) };
            self.effects.push(Effect::Store(Operation::LookUp(id.to_owned()), call));
        }
    }

    pub(crate) fn job_looked_up(&mut self, now: Duration, id: JobId, reply: Reply) {
        match reply {
            Reply::Value(value) if value.revision == 0 => {
                for lookup in self.lookups.remove(&id).unwrap_or_default() {
                    let answer = match lookup.purpose {
                        Purpose::Reject { reason, after } => {
                            if matches!(reason, answer::ABOVE_SHARE | answer::NO_MEMORY) {
                                let after_ms = after.as_millis();
                                self.log(format!(
                                    "job={id} rejected: {reason} retry_after_ms={after_ms}"
                                ));
                            }
                            Answer::NotDone { reason, after }
                        }
                        Purpose::Cancel => {
                            self.refuse(now, lookup.caller, answer::TOO_MANY_TOMBSTONES);
                            continue;
                        }
                        Purpose::State => Answer::NoJob,
                    };
                    self.answer(lookup.caller, answer);
                }
            }
            Reply::Value(_) => {
                let mut reads = Vec::new();
                for lookup in self.lookups.remove(&id).unwrap_or_default() {
                    match lookup.purpose {
                        Purpose::State => reads.push(lookup),
                        Purpose::Reject { .. } => self.answer(lookup.caller, Answer::Accepted),
                        Purpose::Cancel => {
                            let timeout = lookup.deadline.saturating_sub(now);
                            self.enqueue_write(now, lookup.caller, &id, Payload::Cancel, timeout);
                        }
                    }
                }
                if !reads.is_empty() {
                    self.lookups.insert(id.clone(), reads);
                    let call = Call::Get { key: keys::progress(&id) };
                    self.effects.push(Effect::Store(Operation::LookUpProgress(id), call));
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
                        self.log(format!("job={id} progress can't be decoded: {error}"));
                        State::Queued
                    }
                };
                if matches!(state, State::Complete | State::Failed) {
                    self.answer_state(&id, state);
                } else {
                    let call = Call::Get { key: keys::cancel(&id) };
                    self.effects.push(Effect::Store(Operation::LookUpCancel(id), call));
                }
            }
            _ => self.lookup_failed(now, id, Operation::LookUpProgress, keys::progress),
        }
    }

    pub(crate) fn cancel_looked_up(&mut self, now: Duration, id: JobId, reply: Reply) {
        match reply {
            Reply::Value(value) if value.revision > 0 => {
                self.answer_state(&id, State::Cancelled);
            }
            Reply::Value(_) => self.answer_state(&id, State::Queued),
            _ => self.lookup_failed(now, id, Operation::LookUpCancel, keys::cancel),
        }
    }

    fn answer_state(&mut self, id: &str, state: State) {
        for lookup in self.lookups.remove(id).unwrap_or_default() {
            self.answer(lookup.caller, Answer::State(state));
        }
    }

    /// Schedules a failed read again, after a delay since a store that rejects calls answers at
    /// once.
    fn lookup_failed(
        &mut self,
        now: Duration,
        id: JobId,
        operation: fn(JobId) -> Operation,
        key: fn(&str) -> String,
    ) {
        let call = Call::Get { key: key(&id) };
        let (at, operation) = (now + options::LOOKUP_RETRY, operation(id.clone()));
        self.retries.push(Retry { id, at, operation, call });
    }

    /// Sends failed reads again that are due and that a caller still waits for.
    pub(crate) fn drive_retries(&mut self, now: Duration) {
        let lookups = &self.lookups;
        self.retries.retain(|retry| lookups.contains_key(&retry.id));
        let due = self.retries.extract_if(.., |retry| now >= retry.at);
        self.effects.extend(due.map(|retry| Effect::Store(retry.operation, retry.call)));
    }

    pub(crate) fn expire_lookups(&mut self, now: Duration) {
        let mut expired = Vec::new();
        self.lookups.retain(|_, waiting| {
            waiting.retain(|lookup| {
                let is_expired = now >= lookup.deadline;
                if is_expired {
                    expired.push(lookup.caller);
                }
                !is_expired
            });
            !waiting.is_empty()
        });
        for caller in expired {
            self.refuse(now, caller, "the store can't be reached");
        }
    }
}

/// Properties of a job that decide whether it is admitted.
fn admission(job: &Job) -> admit::Job {
    let chain = length::critical_path(&job.steps, length::declared);
    admit::Job {
        task_resources: job.steps.iter().map(|step| Resources::read(step.room.as_ref())).collect(),
        priority: job.priority,
        objective: length::objective(job, chain),
        accelerators: length::initial_accelerators(&job.steps),
    }
}

fn is_id(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.chars().all(is_allowed)
}
