//! Planner of one cell: its jobs, and the attempts at running their gangs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use prost::Message as _;
use sapphire_plan::{bind, estimate::Estimates};
use sapphire_rules::file;
use sapphire_store::{
    call::{Call, Reply, Revision, Value},
    writer,
};
use sapphire_wire::{
    Binding, CallState, Cell, Epoch, Job, JobReply, JobState, Placement, epoch, frame, id,
};

use crate::{
    attempt::{Assignment, Attempt, Phase},
    backoff::Backoff,
    bindings::Bindings,
    effect::Output,
    job_table::JobTable,
    options, registry, view,
};

mod attempts;
mod calls;
mod reports;
mod starts;

/// Part of the system that the planner's log lines are written for.
const LOG_PART: &str = "plan";
/// Key of a cell in the store.
pub fn cell_key(region: &str) -> String {
    format!("cell/{region}")
}

/// State of the entry that the planner reads.
pub struct Context<'a> {
    /// Known agents.
    pub registry: &'a registry::Registry,
    /// Rules in force.
    pub rules: &'a file::File,
    /// Revision of the rules in force.
    pub revision: id::Revision,
}

/// Whether the planner may continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It plans the cell.
    Planner,
    /// Another planner, with this term, has written the cell.
    Superseded(Revision),
}

/// State of the planner of one cell.
pub struct Planner {
    options: options::Options,
    epoch: Epoch,
    table: JobTable,
    bindings: Bindings,
    attempts: BTreeMap<id::Attempt, Attempt>,
    backoff: Backoff,
    wait_reasons: BTreeMap<id::Job, String>,
    estimates: Estimates,
    /// When the bindings and the rules at the agents are next updated.
    next_review: Duration,
    /// Whether the next tick does a scheduling pass, since jobs, workers or exclusions from
    /// placement may have changed after the last one.
    needs_pass: bool,
}

fn millis(now: Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Planner {
    /// Takes over a cell from the stored document. The first write carries the new epoch, so that
    /// the next write of an earlier planner meets a conflict, from which it learns that it was
    /// replaced.
    ///
    /// `takeover` counts the take-overs by this process, so that write identifiers stay unique.
    pub fn new(
        now: Duration,
        options: &options::Options,
        epoch: Epoch,
        takeover: u64,
        cell: &Value,
    ) -> Self {
        let stored = Cell::decode(cell.bytes.clone()).unwrap_or_default();
        let prefix =
            format!("{}-{:x}-{takeover}", options.identity.name, options.identity.generation);
        let mut planner = Planner {
            options: options.clone(),
            epoch,
            table: JobTable::new(&cell_key(&options.region), &prefix, cell.revision),
            bindings: Bindings::adopt(&stored),
            attempts: BTreeMap::new(),
            backoff: Backoff::default(),
            wait_reasons: BTreeMap::new(),
            estimates: Estimates::default(),
            next_review: Duration::ZERO,
            needs_pass: true,
        };
        for job in stored.jobs {
            planner.adopt(now, job);
        }
        planner
    }

    /// Takes over a job.
    ///
    /// Guards against an earlier planner that started an idempotent job while the store was
    /// unavailable. Nothing is recorded of that start, so such a job is never reported as not run.
    fn adopt(&mut self, now: Duration, mut job: Job) {
        job.may_have_run |= job.idempotent && !view::is_ended(job.state());
        let is_live = matches!(job.state(), JobState::JobStarting | JobState::JobRunning);
        let recorded = job.attempt.clone().filter(|_| is_live);
        let id = job.id.clone();
        self.table.adopt(job);
        if let Some(recorded) = recorded {
            self.adopt_attempt(now, &id, &recorded);
        }
    }

    /// Takes over an attempt that may be in progress, as recorded in the store.
    fn adopt_attempt(&mut self, now: Duration, job: &str, recorded: &sapphire_wire::Attempt) {
        let assignment = |placement: &Placement| {
            let name = placement.agent.as_ref().map(|a| a.name.clone()).unwrap_or_default();
            let assignment = Assignment {
                placement: placement.clone(),
                worker: placement.worker.clone(),
                is_granted: false,
                final_state: None,
            };
            (name, assignment)
        };
        let attempt = Attempt {
            job: job.to_owned(),
            is_guaranteed: recorded.guaranteed,
            phase: Phase::Adopted { since: now },
            assignments: recorded.placements.iter().map(assignment).collect(),
            change: 0,
            may_have_started: true,
            reason: "its planner was replaced".to_owned(),
            is_evicted: false,
            refused_by: Vec::new(),
        };
        self.attempts.insert(recorded.id.clone(), attempt);
    }

    /// Epoch of this planner.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Jobs by identifier.
    pub fn jobs(&self) -> &BTreeMap<id::Job, Job> {
        self.table.jobs()
    }

    /// Attempts in progress.
    pub fn attempts(&self) -> &BTreeMap<id::Attempt, Attempt> {
        &self.attempts
    }

    /// Bindings in force.
    pub fn bindings(&self) -> &[Binding] {
        self.bindings.all()
    }

    /// Guarantees that the available workers can't satisfy.
    pub fn unmet(&self) -> &[bind::Shortfall] {
        self.bindings.unmet()
    }

    fn mark_changed(&mut self, job: &str) {
        self.table.mark_changed(job);
        self.needs_pass = true;
    }

    /// Next write to the store, if one is due.
    pub fn poll(&mut self, now: Duration) -> Option<Call> {
        let (epoch, bindings) = (&self.epoch, &self.bindings);
        self.table.poll(now, || Cell {
            epoch: Some(epoch.clone()),
            bindings: bindings.all().to_vec(),
            bindings_version: bindings.version(),
            ..Cell::default()
        })
    }

    /// Handles the reply to a write.
    pub fn handle_write_reply(&mut self, now: Duration, reply: Reply, out: &mut Output) -> Status {
        match self.table.handle_write_reply(now, reply) {
            writer::Outcome::Lost(value) => {
                let cell = Cell::decode(value.bytes).unwrap_or_default();
                return Status::Superseded(cell.epoch.unwrap_or_default().term);
            }
            writer::Outcome::Retry => out.log(LOG_PART, "store write failed; retrying".to_owned()),
            writer::Outcome::Written(_) => {}
        }
        self.needs_pass = true;
        self.table.send_due_replies(out);
        self.start_held(now, out);
        Status::Planner
    }

    /// Sends an agent the rules that concern its worker, if those that it applies are older.
    pub fn send_slice(&self, agent: &registry::Agent, context: &Context<'_>, out: &mut Output) {
        if agent.region != self.options.region {
            return;
        }
        if let Some(slice) = self.bindings.slice_for(agent, &self.epoch, context) {
            out.send(&agent.peer, frame::Body::Slice(slice));
        }
    }

    /// Handles the passage of time: bindings, timeouts of attempts, waiting jobs.
    pub fn tick(&mut self, now: Duration, context: &Context<'_>, out: &mut Output) {
        if now >= self.next_review {
            self.next_review = now + self.options.heartbeat;
            self.review_agents(now, context, out);
        }
        let attempts: Vec<id::Attempt> = self.attempts.keys().cloned().collect();
        for attempt in attempts {
            self.tick_attempt(now, &attempt, context, out);
        }
        self.needs_pass |= self.backoff.expire(now);
        self.table.send_due_replies(out);
        self.schedule(now, context, out);
        self.assert_invariants();
    }

    /// Updates the bindings, and sends each agent whose rules are outdated the rules for its
    /// worker. Done once per heartbeat interval, since the cost grows with the number of agents.
    fn review_agents(&mut self, now: Duration, context: &Context<'_>, out: &mut Output) {
        let fleet = self.fleet(now, context);
        if self.bindings.update(&fleet, &self.options.region, context, out) {
            self.table.mark_document_changed();
        }
        // Workers may have been added or lost.
        self.needs_pass = true;
        for agent in context.registry.agents().values() {
            self.send_slice(agent, context, out);
        }
    }

    /// Newer rules are in force: updates the bindings and the agents at once.
    pub fn rules_changed(&mut self, now: Duration, context: &Context<'_>, out: &mut Output) {
        self.next_review = Duration::ZERO;
        self.tick(now, context, out);
    }

    /// Checks that no job has two attempts, and that jobs and attempts in progress match.
    ///
    /// # Panics
    /// When the state of the planner is inconsistent; the process must not continue.
    pub fn assert_invariants(&self) {
        let mut seen = BTreeSet::new();
        for (id, attempt) in &self.attempts {
            assert!(seen.insert(&attempt.job), "job {} has two attempts", attempt.job);
            let job = self.table.get(&attempt.job);
            let recorded = job.and_then(|job| job.attempt.as_ref()).map(|recorded| &recorded.id);
            assert_eq!(recorded, Some(id), "attempt {id} is not the one recorded in its job");
        }
        for job in self.table.values() {
            let is_live = matches!(job.state(), JobState::JobStarting | JobState::JobRunning);
            assert_eq!(
                is_live,
                seen.contains(&job.id),
                "job {} is in state {:?}, which does not match its attempt in progress",
                job.id,
                job.state()
            );
        }
    }

    /// Summary for the log.
    pub fn summary(&self) -> String {
        format!(
            "epoch={} jobs={} attempts={}",
            epoch::text(&self.epoch),
            self.table.jobs().len(),
            self.attempts.len()
        )
    }
}

fn cancel_reason(may_have_run: bool) -> &'static str {
    if may_have_run { "cancelled; some of it may have run" } else { "cancelled before it ran" }
}

fn refused_reply(reason: &str, retry_after: Option<Duration>) -> JobReply {
    let mut reply = JobReply { reason: reason.to_owned(), ..JobReply::default() };
    reply.set_state(CallState::CallRefused);
    reply.retry_after_ms = retry_after.map_or(0, millis);
    reply
}
