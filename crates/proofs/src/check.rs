//! What must always hold, asserted while a world runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_entry::{answer, machine};
use sapphire_wire::{HoldState, envelope, frame, id};

use crate::{
    worker,
    world::{Guarded, Process},
};

/// What a message or a tick takes on its way, beside the lease itself.
const SLACK: Duration = Duration::from_millis(200);

/// A gang as seen from outside.
#[derive(Debug, Default)]
struct Gang {
    tasks: u32,
    held: BTreeMap<id::Process, u32>,
    granted: BTreeSet<id::Process>,
    first_start: Option<Duration>,
}

#[derive(Debug)]
struct Asked {
    body: String,
    is_idempotent: bool,
}

/// The observer.
#[derive(Debug, Default)]
pub struct Check {
    gangs: BTreeMap<id::Attempt, Gang>,
    /// Attempts of each job of which some task started.
    started: BTreeMap<id::Job, BTreeSet<id::Attempt>>,
    idempotent: BTreeMap<id::Job, bool>,
    /// Jobs of which a caller was told that they did not run.
    told_not_run: BTreeSet<id::Job>,
    /// Jobs of which a caller was told that they are accepted.
    pub accepted: BTreeSet<id::Job>,
    requests: BTreeMap<u64, Asked>,
    requests_not_run: BTreeSet<String>,
    revisions: BTreeMap<(String, id::Generation), u64>,
    /// Gangs that ever started.
    pub gangs_started: u64,
}

fn job_of(attempt: &str) -> id::Job {
    attempt.split('/').next().unwrap_or_default().to_owned()
}

impl Check {
    /// Notes a job that is about to be submitted. It must have a key.
    pub fn submitted(&mut self, job: &serde_json::Value) {
        let text = |name: &str| job[name].as_str().unwrap_or_default();
        let id = format!("{}.{}.{}", "norte", text("organisation"), text("key"));
        self.idempotent.insert(id, job["idempotent"].as_bool().unwrap_or(false));
    }

    /// Notes a request that is about to be made; its body names it.
    pub fn requested(&mut self, caller: u64, body: &str, is_idempotent: bool) {
        self.requests.insert(caller, Asked { body: body.to_owned(), is_idempotent });
    }

    /// Looks at a message as it is sent.
    pub fn sent(&mut self, envelope: &envelope::Envelope) {
        match &envelope.body {
            frame::Body::HoldReply(reply) if reply.state() == HoldState::HoldGranted => {
                let gang = self.gangs.entry(reply.attempt.clone()).or_default();
                gang.granted.insert(envelope.from.name.clone());
            }
            frame::Body::Decide(decide) => {
                let gang = self.gangs.entry(decide.attempt.clone()).or_default();
                for member in &decide.members {
                    gang.held.entry(member.name.clone()).or_default();
                }
            }
            frame::Body::Hold(hold) => {
                let gang = self.gangs.entry(hold.attempt.clone()).or_default();
                gang.tasks = hold.shape.unwrap_or_default().tasks;
            }
            _ => {}
        }
    }

    /// A task group starts on a worker: the whole gang must hold its room by now, nobody may
    /// have been told that the job did not run, and a job that must not repeat must not repeat.
    pub fn started(&mut self, now: Duration, attempt: &str, agent: &str, tasks: u32) {
        let job = job_of(attempt);
        let gang = self.gangs.entry(attempt.to_owned()).or_default();
        gang.held.insert(agent.to_owned(), tasks);
        if gang.first_start.is_none() {
            gang.first_start = Some(now);
            self.gangs_started += 1;
            let missing: Vec<_> = gang.held.keys().filter(|n| !gang.granted.contains(*n)).collect();
            assert!(missing.is_empty(), "{attempt} starts before {missing:?} granted their holds");
        }
        assert!(!self.told_not_run.contains(&job), "{job} starts after a caller was told not-run");
        let attempts = self.started.entry(job.clone()).or_default();
        attempts.insert(attempt.to_owned());
        if !self.idempotent.get(&job).copied().unwrap_or(false) {
            assert!(attempts.len() <= 1, "{job} must not repeat but did: {attempts:?}");
        }
    }

    /// Looks at an answer that a caller gets.
    pub fn answered(
        &mut self,
        caller: u64,
        answer: &answer::Answer,
        agents: &BTreeMap<String, Guarded>,
    ) {
        let account = answer.headers.iter().find(|header| header.name == answer::ACCOUNT);
        let account = account.map_or("", |header| header.value.as_str());
        if let Some(asked) = self.requests.get(&caller) {
            let served = served(agents, &asked.body);
            if answer.status == 200 {
                assert_eq!(answer.body, asked.body, "caller {caller} got another's answer");
                assert!(served > 0, "caller {caller} got an answer that no minion gave");
            }
            if account == "not-run" {
                let body = &asked.body;
                assert!(served == 0 || asked.is_idempotent, "{body} ran but was told not-run");
                if !asked.is_idempotent {
                    self.requests_not_run.insert(asked.body.clone());
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
            assert!(attempts.is_none(), "{job} was told {state} ({reason}) but ran: {attempts:?}");
            self.told_not_run.insert(job.to_owned());
        }
        if state == "done" {
            self.assert_done(job, value["attempt"].as_str().unwrap_or_default(), agents);
        }
    }

    fn assert_done(&self, job: &str, attempt: &str, agents: &BTreeMap<String, Guarded>) {
        let gang = &self.gangs[attempt];
        let mut tasks = 0;
        for (agent, own) in &gang.held {
            let task = agents.get(agent).and_then(|guarded| guarded.worker.tasks.get(attempt));
            let is_done = task.is_some_and(|task| task.has_exited);
            assert!(is_done, "{job} was told done but {agent} did not finish {attempt}");
            tasks += own;
        }
        assert_eq!(tasks, gang.tasks, "{job} was told done but ran in part");
    }

    /// Looks at the whole world after a step.
    pub fn step(
        &mut self,
        now: Duration,
        lease: Duration,
        agents: &BTreeMap<String, Guarded>,
        entries: &BTreeMap<String, Process<machine::Machine>>,
    ) {
        for (name, guarded) in agents {
            let in_use = guarded.worker.in_use();
            assert!(in_use <= 8, "{name} has {in_use} of 8 accelerators in use");
        }
        self.check_gangs(now, lease, agents);
        self.check_requests(agents);
        self.check_revisions(agents, entries);
    }

    /// After a loss, what remains of a gang stops within one lease.
    fn check_gangs(&self, now: Duration, lease: Duration, agents: &BTreeMap<String, Guarded>) {
        for (attempt, gang) in &self.gangs {
            let Some(first) = gang.first_start else { continue };
            let tasks: Vec<(&id::Process, Option<&worker::Task>)> = gang
                .held
                .keys()
                .map(|agent| (agent, agents[agent].worker.tasks.get(attempt)))
                .collect();
            let runs = |task: &Option<&worker::Task>| task.is_some_and(|t| t.ended.is_none());
            if !tasks.iter().any(|(_, task)| runs(task)) {
                continue;
            }
            for (agent, task) in &tasks {
                let lost = match task {
                    None => Some(first),
                    Some(task) if task.has_exited => None,
                    Some(task) => task.ended,
                };
                let Some(lost) = lost else { continue };
                let partial = now.saturating_sub(lost);
                assert!(
                    partial <= lease + SLACK,
                    "{attempt} has run in part for {partial:?} since {agent} was lost"
                );
            }
        }
    }

    fn check_requests(&self, agents: &BTreeMap<String, Guarded>) {
        for asked in self.requests.values().filter(|asked| !asked.is_idempotent) {
            let served = served(agents, &asked.body);
            assert!(served <= 1, "request {} ran {served} times", asked.body);
            let is_told = self.requests_not_run.contains(&asked.body);
            assert!(served == 0 || !is_told, "request {} ran after not-run", asked.body);
        }
    }

    /// Rules never go back in the life of a process.
    fn check_revisions(
        &mut self,
        agents: &BTreeMap<String, Guarded>,
        entries: &BTreeMap<String, Process<machine::Machine>>,
    ) {
        let entries = entries.iter().filter_map(|(name, process)| {
            let machine = process.machine.as_ref()?;
            Some((name, process.generation, machine.rulebook().revision()))
        });
        let agents = agents.iter().filter_map(|(name, guarded)| {
            let machine = guarded.process.machine.as_ref()?;
            Some((name, guarded.process.generation, machine.applied().rules))
        });
        for (name, generation, revision) in entries.chain(agents) {
            let last = self.revisions.entry((name.clone(), generation)).or_default();
            assert!(revision >= *last, "{name} went back from rules {last} to {revision}");
            *last = revision;
        }
    }

    /// Whether any task of a job ever started.
    pub fn has_started(&self, job: &str) -> bool {
        self.started.contains_key(job)
    }
}

fn served(agents: &BTreeMap<String, Guarded>, body: &str) -> u32 {
    agents.values().map(|guarded| guarded.served.get(body).copied().unwrap_or(0)).sum()
}
