//! The planner of one cell: the job table, and each attempt at running a gang.

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
    attempt::{Attempt, Phase, Seat},
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

/// Part that the planner's log lines name.
const PART: &str = "plan";
/// Key of a cell in the store.
pub fn cell_key(region: &str) -> String {
    format!("cell/{region}")
}

/// What the planner looks at besides its own state.
pub struct Surroundings<'a> {
    /// Agents known.
    pub registry: &'a registry::Registry,
    /// Rules in force.
    pub rules: &'a file::File,
    /// Revision of the rules in force.
    pub revision: id::Revision,
}

/// Whether the planner may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It plans the cell.
    Planner,
    /// Another planner has written the cell; its term.
    Deposed(Revision),
}

/// Planner of one cell.
pub struct Planner {
    options: options::Options,
    epoch: Epoch,
    table: JobTable,
    bindings: Bindings,
    attempts: BTreeMap<id::Attempt, Attempt>,
    backoff: Backoff,
    why: BTreeMap<id::Job, String>,
    estimates: Estimates,
    /// When every agent is looked at again.
    next_review: Duration,
    needs_schedule: bool,
}

fn millis(now: Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Planner {
    /// Takes over a cell as the store holds it. The first write carries the new epoch, so that
    /// an earlier planner's next write meets a conflict and it learns that it was replaced.
    ///
    /// `taking` numbers the take-overs of this process, so that write identifiers stay unique.
    pub fn new(
        now: Duration,
        options: &options::Options,
        epoch: Epoch,
        taking: u64,
        cell: &Value,
    ) -> Self {
        let stored = Cell::decode(cell.bytes.clone()).unwrap_or_default();
        let prefix = format!("{}-{:x}-{taking}", options.me.name, options.me.generation);
        let mut planner = Planner {
            options: options.clone(),
            epoch,
            table: JobTable::new(&cell_key(&options.region), &prefix, cell.revision),
            bindings: Bindings::adopt(&stored),
            attempts: BTreeMap::new(),
            backoff: Backoff::default(),
            why: BTreeMap::new(),
            estimates: Estimates::default(),
            next_review: Duration::ZERO,
            needs_schedule: true,
        };
        for job in stored.jobs {
            planner.adopt(now, job);
        }
        planner
    }

    /// Takes over a job.
    ///
    /// Guards against an earlier planner that started a job that may repeat while the store was
    /// out: nothing is recorded of that, so such a job is never said not to have run.
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

    fn adopt_attempt(&mut self, now: Duration, job: &str, recorded: &sapphire_wire::Attempt) {
        let seat = |placement: &Placement| {
            let name = placement.agent.as_ref().map(|a| a.name.clone()).unwrap_or_default();
            let seat = Seat {
                placement: placement.clone(),
                worker: placement.worker.clone(),
                is_granted: false,
                settled: None,
            };
            (name, seat)
        };
        let attempt = Attempt {
            job: job.to_owned(),
            is_guaranteed: recorded.guaranteed,
            phase: Phase::Adopted { since: now },
            seats: recorded.placements.iter().map(seat).collect(),
            change: 0,
            may_have_started: true,
            reason: "its planner was replaced".to_owned(),
            is_evicted: false,
            refused_by: Vec::new(),
        };
        self.attempts.insert(recorded.id.clone(), attempt);
    }

    /// Epoch with which it plans.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Jobs by identifier.
    pub fn jobs(&self) -> &BTreeMap<id::Job, Job> {
        self.table.jobs()
    }

    /// Attempts under way.
    pub fn attempts(&self) -> &BTreeMap<id::Attempt, Attempt> {
        &self.attempts
    }

    /// Bindings in force.
    pub fn bindings(&self) -> &[Binding] {
        self.bindings.all()
    }

    /// Guarantees that the workers at hand can't hold.
    pub fn short(&self) -> &[bind::Shortfall] {
        self.bindings.short()
    }

    fn touch(&mut self, job: &str) {
        self.table.touch(job);
        self.needs_schedule = true;
    }

    /// Next write, if one is due.
    pub fn poll(&mut self, now: Duration) -> Option<Call> {
        let (epoch, bindings) = (&self.epoch, &self.bindings);
        self.table.poll(now, || Cell {
            epoch: Some(epoch.clone()),
            bindings: bindings.all().to_vec(),
            bindings_version: bindings.version(),
            ..Cell::default()
        })
    }

    /// Takes the answer to a write.
    pub fn written(&mut self, now: Duration, reply: Reply, out: &mut Output) -> Standing {
        match self.table.reply(now, reply) {
            writer::Outcome::Lost(value) => {
                let cell = Cell::decode(value.bytes).unwrap_or_default();
                return Standing::Deposed(cell.epoch.unwrap_or_default().term);
            }
            writer::Outcome::Retry => out.log(PART, "store write got no answer".to_owned()),
            writer::Outcome::Written(_) => {}
        }
        self.needs_schedule = true;
        self.table.pay(out);
        self.decide_held(now, out);
        Standing::Planner
    }

    /// Sends an agent its part of the rules, if it has an older one.
    pub fn greet(&self, agent: &registry::Agent, around: &Surroundings<'_>, out: &mut Output) {
        if agent.region != self.options.region {
            return;
        }
        if let Some(slice) = self.bindings.slice_for(agent, &self.epoch, around) {
            out.send(&agent.peer, frame::Body::Slice(slice));
        }
    }

    /// Time has passed: bindings, time-outs of attempts, waiting jobs.
    pub fn tick(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
        if now >= self.next_review {
            self.next_review = now + self.options.heartbeat;
            self.review(now, around, out);
        }
        let attempts: Vec<id::Attempt> = self.attempts.keys().cloned().collect();
        for attempt in attempts {
            self.tick_attempt(now, &attempt, around, out);
        }
        self.needs_schedule |= self.backoff.expire(now);
        self.table.pay(out);
        self.schedule(now, around, out);
        self.assert_invariants();
    }

    /// Looks at every agent; at each heartbeat, since it costs time for each of them.
    fn review(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
        let fleet = self.fleet(now, around);
        if self.bindings.renew(&fleet, &self.options.region, around, out) {
            self.table.bump();
        }
        // Workers may have come or gone.
        self.needs_schedule = true;
        for agent in around.registry.agents().values() {
            self.greet(agent, around, out);
        }
    }

    /// Newer rules are in force: binds and tells the agents without waiting.
    pub fn rules_changed(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
        self.next_review = Duration::ZERO;
        self.tick(now, around, out);
    }

    /// Checks that no job has two attempts and that live jobs and attempts match.
    ///
    /// # Panics
    /// When the planner contradicts itself; the process must not go on.
    pub fn assert_invariants(&self) {
        let mut seen = BTreeSet::new();
        for (id, attempt) in &self.attempts {
            assert!(seen.insert(&attempt.job), "job {} has two attempts", attempt.job);
            let job = self.table.get(&attempt.job);
            let recorded = job.and_then(|job| job.attempt.as_ref()).map(|recorded| &recorded.id);
            assert_eq!(recorded, Some(id), "attempt {id} is not its job's");
        }
        for job in self.table.values() {
            let is_live = matches!(job.state(), JobState::JobStarting | JobState::JobRunning);
            assert_eq!(is_live, seen.contains(&job.id), "job {} {:?}", job.id, job.state());
        }
    }

    /// One line for operators.
    pub fn summary(&self) -> String {
        format!(
            "epoch={} jobs={} attempts={}",
            epoch::text(&self.epoch),
            self.table.jobs().len(),
            self.attempts.len()
        )
    }
}

fn cancelled(may_have_run: bool) -> &'static str {
    if may_have_run { "cancelled; some of it may have run" } else { "cancelled before it ran" }
}

fn refused(reason: &str, retry: Option<Duration>) -> JobReply {
    let mut reply = JobReply { reason: reason.to_owned(), ..JobReply::default() };
    reply.set_state(CallState::CallRefused);
    reply.retry_after_ms = retry.map_or(0, millis);
    reply
}
