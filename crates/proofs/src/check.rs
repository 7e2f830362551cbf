//! Observer that asserts the invariants while a simulation runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_entry::{answer, machine};
use sapphire_wire::{HoldState, envelope, frame, id};

use crate::{
    simulation::{Host, Process},
    worker,
};

/// Allowance on top of the lease for the delays of messages and ticks.
const TOLERANCE: Duration = Duration::from_millis(200);

/// One attempt of a gang, as the observer knows it from messages and starts.
#[derive(Debug, Default)]
struct Gang {
    /// Number of tasks of its shape.
    tasks: u32,
    /// Agents of the gang, with the number of tasks that each has started.
    members: BTreeMap<id::Process, u32>,
    /// Agents that have granted their reservation.
    granted: BTreeSet<id::Process>,
    first_start: Option<Duration>,
}

#[derive(Debug)]
struct ServiceRequest {
    body: String,
    is_idempotent: bool,
}

/// Observer. Its methods panic when an invariant is violated.
#[derive(Debug, Default)]
pub struct Check {
    gangs: BTreeMap<id::Attempt, Gang>,
    /// Attempts of each job of which at least one task has started.
    started: BTreeMap<id::Job, BTreeSet<id::Attempt>>,
    idempotent: BTreeMap<id::Job, bool>,
    /// Jobs that were reported to a caller as not run.
    reported_not_run: BTreeSet<id::Job>,
    /// Jobs that were reported to a caller as accepted.
    pub accepted: BTreeSet<id::Job>,
    requests: BTreeMap<u64, ServiceRequest>,
    requests_not_run: BTreeSet<String>,
    revisions: BTreeMap<(String, id::Generation), u64>,
    /// Number of attempts that have started.
    pub gangs_started: u64,
}

fn job_of(attempt: &str) -> id::Job {
    attempt.split('/').next().unwrap_or_default().to_owned()
}

impl Check {
    /// Records a job that is about to be submitted. It must have an idempotency key.
    pub fn record_submission(&mut self, job: &serde_json::Value) {
        let text = |name: &str| job[name].as_str().unwrap_or_default();
        let id = format!("{}.{}.{}", "norte", text("organisation"), text("key"));
        self.idempotent.insert(id, job["idempotent"].as_bool().unwrap_or(false));
    }

    /// Records a service request that is about to be made; its body identifies it.
    pub fn record_request(&mut self, caller: u64, body: &str, is_idempotent: bool) {
        self.requests.insert(caller, ServiceRequest { body: body.to_owned(), is_idempotent });
    }

    /// Records what a message tells about an attempt, when it is sent.
    pub fn record_message(&mut self, envelope: &envelope::Envelope) {
        match &envelope.body {
            frame::Body::HoldReply(reply) if reply.state() == HoldState::HoldGranted => {
                let gang = self.gangs.entry(reply.attempt.clone()).or_default();
                gang.granted.insert(envelope.from.name.clone());
            }
            frame::Body::Decide(decide) => {
                let gang = self.gangs.entry(decide.attempt.clone()).or_default();
                for member in &decide.members {
                    gang.members.entry(member.name.clone()).or_default();
                }
            }
            frame::Body::Hold(hold) => {
                let gang = self.gangs.entry(hold.attempt.clone()).or_default();
                gang.tasks = hold.shape.unwrap_or_default().tasks;
            }
            _ => {}
        }
    }

    /// Checks the start of an attempt's tasks on a worker: all members of the gang must have
    /// granted their reservations, no caller may have been told that the job did not run, and a job
    /// that is not idempotent must not start a second attempt.
    pub fn check_start(&mut self, now: Duration, attempt: &str, agent: &str, tasks: u32) {
        let job = job_of(attempt);
        let gang = self.gangs.entry(attempt.to_owned()).or_default();
        gang.members.insert(agent.to_owned(), tasks);
        if gang.first_start.is_none() {
            gang.first_start = Some(now);
            self.gangs_started += 1;
            let missing: Vec<_> =
                gang.members.keys().filter(|n| !gang.granted.contains(*n)).collect();
            assert!(missing.is_empty(), "{attempt} starts before {missing:?} granted their holds");
        }
        assert!(
            !self.reported_not_run.contains(&job),
            "{job} starts after it was reported as not run"
        );
        let attempts = self.started.entry(job.clone()).or_default();
        attempts.insert(attempt.to_owned());
        if !self.idempotent.get(&job).copied().unwrap_or(false) {
            assert!(attempts.len() <= 1, "{job} must not repeat but did: {attempts:?}");
        }
    }

    /// Checks an answer to a caller.
    pub fn check_answer(
        &mut self,
        caller: u64,
        answer: &answer::Answer,
        agents: &BTreeMap<String, Host>,
    ) {
        let account = answer.headers.iter().find(|header| header.name == answer::ACCOUNT);
        let account = account.map_or("", |header| header.value.as_str());
        if let Some(request) = self.requests.get(&caller) {
            let served = times_served(agents, &request.body);
            if answer.status == 200 {
                assert_eq!(
                    answer.body, request.body,
                    "caller {caller} got the answer to another request"
                );
                assert!(served > 0, "caller {caller} got an answer that no minion gave");
            }
            if account == "not-run" {
                let body = &request.body;
                assert!(
                    served == 0 || request.is_idempotent,
                    "{body} ran but was reported as not run"
                );
                if !request.is_idempotent {
                    self.requests_not_run.insert(request.body.clone());
                }
            }
        }
        let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let Some(job) = value["id"].as_str() else { return };
        if answer.status == 201 {
            self.accepted.insert(job.to_owned());
        }
        let state = value["state"].as_str().unwrap_or_default();
        let reason = value["reason"].as_str().unwrap_or_default();
        let is_not_run = state == "not-run" || reason.contains("before it ran");
        if is_not_run && !reason.contains("ran whole") {
            let attempts = self.started.get(job);
            assert!(
                attempts.is_none(),
                "{job} was reported as {state} ({reason}) but ran: {attempts:?}"
            );
            self.reported_not_run.insert(job.to_owned());
        }
        if state == "done" {
            self.assert_done(job, value["attempt"].as_str().unwrap_or_default(), agents);
        }
    }

    fn assert_done(&self, job: &str, attempt: &str, agents: &BTreeMap<String, Host>) {
        let gang = &self.gangs[attempt];
        let mut tasks = 0;
        for (agent, member_tasks) in &gang.members {
            let task = agents.get(agent).and_then(|host| host.worker.tasks.get(attempt));
            let is_done = task.is_some_and(|task| task.has_exited);
            assert!(is_done, "{job} was reported as done but {agent} did not finish {attempt}");
            tasks += member_tasks;
        }
        assert_eq!(tasks, gang.tasks, "{job} was reported as done but only some of its tasks ran");
    }

    /// Checks the state of all processes after a step.
    pub fn check_step(
        &mut self,
        now: Duration,
        lease: Duration,
        agents: &BTreeMap<String, Host>,
        entries: &BTreeMap<String, Process<machine::Machine>>,
    ) {
        for (name, host) in agents {
            let in_use = host.worker.in_use();
            assert!(in_use <= 8, "{name} has {in_use} of 8 accelerators in use");
        }
        self.check_gangs(now, lease, agents);
        self.check_requests(agents);
        self.check_revisions(agents, entries);
    }

    /// Checks that the remaining tasks of a gang stop within one lease after others were lost.
    fn check_gangs(&self, now: Duration, lease: Duration, agents: &BTreeMap<String, Host>) {
        for (attempt, gang) in &self.gangs {
            let Some(first_start) = gang.first_start else { continue };
            let tasks: Vec<(&id::Process, Option<&worker::Task>)> = gang
                .members
                .keys()
                .map(|agent| (agent, agents[agent].worker.tasks.get(attempt)))
                .collect();
            let runs = |task: &Option<&worker::Task>| task.is_some_and(|t| t.ended.is_none());
            if !tasks.iter().any(|(_, task)| runs(task)) {
                continue;
            }
            for (agent, task) in &tasks {
                let lost_at = match task {
                    None => Some(first_start),
                    Some(task) if task.has_exited => None,
                    Some(task) => task.ended,
                };
                let Some(lost_at) = lost_at else { continue };
                let partial = now.saturating_sub(lost_at);
                assert!(
                    partial <= lease + TOLERANCE,
                    "{attempt} has run without all its tasks for {partial:?} since it lost {agent}"
                );
            }
        }
    }

    fn check_requests(&self, agents: &BTreeMap<String, Host>) {
        for request in self.requests.values().filter(|request| !request.is_idempotent) {
            let served = times_served(agents, &request.body);
            assert!(served <= 1, "request {} ran {served} times", request.body);
            let is_reported = self.requests_not_run.contains(&request.body);
            assert!(
                served == 0 || !is_reported,
                "request {} ran after it was reported as not run",
                request.body
            );
        }
    }

    /// Checks that no process ever goes back to an earlier revision of the rules.
    fn check_revisions(
        &mut self,
        agents: &BTreeMap<String, Host>,
        entries: &BTreeMap<String, Process<machine::Machine>>,
    ) {
        let entries = entries.iter().filter_map(|(name, process)| {
            let machine = process.machine.as_ref()?;
            Some((name, process.generation, machine.rulebook().revision()))
        });
        let agents = agents.iter().filter_map(|(name, host)| {
            let machine = host.process.machine.as_ref()?;
            Some((name, host.process.generation, machine.applied().rules))
        });
        for (name, generation, revision) in entries.chain(agents) {
            let last = self.revisions.entry((name.clone(), generation)).or_default();
            assert!(revision >= *last, "{name} went back from rules {last} to {revision}");
            *last = revision;
        }
    }

    /// Whether any task of a job has started.
    pub fn has_started(&self, job: &str) -> bool {
        self.started.contains_key(job)
    }
}

fn times_served(agents: &BTreeMap<String, Host>, body: &str) -> u32 {
    agents.values().map(|host| host.served.get(body).copied().unwrap_or(0)).sum()
}
