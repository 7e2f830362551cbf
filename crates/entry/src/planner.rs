//! The planner of one cell: the job table, and each attempt at running a gang.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use prost::Message as _;
use sapphire_plan::{bind, estimate::Estimates, fleet, pass};
use sapphire_rules::file;
use sapphire_store::{
    call::{Call, Reply, Revision, Value},
    writer,
};
use sapphire_wire::{
    Bar, BarReply, Binding, CallState, Cell, Decide, Epoch, GangState, Hold, HoldReply, HoldState,
    Job, JobCall, JobReply, JobState, Peer, Placement, Report, TaskState, epoch, frame, id,
    job_call, peer,
};

use crate::{
    admission,
    attempt::{Attempt, Fate, Phase, Seat},
    backoff::Backoff,
    bindings::Bindings,
    candidates,
    effect::Output,
    job_table::JobTable,
    options, registry, view,
};

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
    pub fn short(&self) -> &[bind::Short] {
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

    /// Takes a call of an entry, for its caller.
    pub fn call(
        &mut self,
        now: Duration,
        from: &Peer,
        call: JobCall,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let number = call.call;
        let reply = match call.body {
            Some(job_call::Body::Submit(job)) => self.submit(now, from, number, job, around),
            Some(job_call::Body::Cancel(id)) => self.cancel(now, from, number, &id, out),
            Some(job_call::Body::Wait(wait)) => self.table.wait(from, number, &wait.job),
            Some(job_call::Body::Get(id)) => Some(self.table.found(&id)),
            Some(job_call::Body::Explain(id)) => Some(self.explain(&id)),
            Some(job_call::Body::List(organisation)) => Some(self.list(&organisation)),
            None => None,
        };
        if let Some(reply) = reply {
            let reply = JobReply { call: number, ..reply };
            out.send(from, frame::Body::JobReply(reply));
        }
    }

    /// Accepts a job, once it is kept, or refuses it at once with the reason. A submission that
    /// is repeated (its answer was lost, or another entry was asked) finds the job it made.
    fn submit(
        &mut self,
        now: Duration,
        from: &Peer,
        call: u64,
        mut job: Job,
        around: &Surroundings<'_>,
    ) -> Option<JobReply> {
        if let Some(known) = self.table.get(&job.id).cloned() {
            let is_same = known.organisation == job.organisation
                && known.shape == job.shape
                && known.command == job.command;
            if !is_same {
                return Some(refused("the idempotency key was used for another job", None));
            }
            return self.table.owe(from, call, &known.id);
        }
        if let Err(error) = self.admit(&job, around, now) {
            return Some(refused(&error.reason, error.retry));
        }
        job.submitted_unix_ms = millis(now);
        if job.deadline_unix_ms > 0 {
            job.deadline_unix_ms = job.deadline_unix_ms.saturating_add(millis(now));
        }
        job.set_state(JobState::JobWaiting);
        let id = job.id.clone();
        self.table.insert(job);
        self.needs_schedule = true;
        self.table.owe(from, call, &id)
    }

    fn admit(
        &self,
        job: &Job,
        around: &Surroundings<'_>,
        now: Duration,
    ) -> Result<(), admission::Error> {
        let mut fleet = around.registry.fleet(now, &self.options.region, |_, _, _| false);
        self.bindings.mark(&mut fleet);
        let options = admission::Options {
            rules: around.rules,
            fleet: &fleet,
            table: &self.table,
            max_jobs: self.options.max_jobs,
        };
        admission::admit(job, &options)
    }

    fn explain(&self, id: &str) -> JobReply {
        let mut reply = self.table.found(id);
        for job in &mut reply.jobs {
            if let Some(why) = self.why.get(&job.id).filter(|_| job.reason.is_empty()) {
                job.reason = why.clone();
            }
        }
        reply
    }

    fn list(&self, organisation: &str) -> JobReply {
        let is_wanted = |job: &&Job| organisation.is_empty() || job.organisation == organisation;
        let jobs = self.table.values().filter(is_wanted).cloned().collect();
        JobReply { jobs, ..JobReply::default() }
    }

    fn cancel(
        &mut self,
        now: Duration,
        from: &Peer,
        call: u64,
        id: &str,
        out: &mut Output,
    ) -> Option<JobReply> {
        let Some(job) = self.table.get_mut(id) else { return Some(self.table.found(id)) };
        match job.state() {
            JobState::JobWaiting => {
                job.cancel = true;
                let reason = cancelled(job.may_have_run);
                self.end(now, id, JobState::JobCancelled, reason, out);
            }
            JobState::JobStarting | JobState::JobRunning if !job.cancel => {
                job.cancel = true;
                let attempt = job.attempt.as_ref().map(|attempt| attempt.id.clone());
                self.touch(id);
                if let Some(attempt) = attempt {
                    self.settle(&attempt, "cancelled", out);
                }
            }
            _ => {}
        }
        self.table.owe(from, call, id)
    }

    fn end(&mut self, now: Duration, id: &str, state: JobState, reason: &str, out: &mut Output) {
        let Some(job) = self.table.get_mut(id) else { return };
        job.set_state(state);
        job.reason = reason.to_owned();
        job.ended_unix_ms = millis(now);
        out.log(PART, format!("job={id} state={} reason=\"{reason}\"", view::job_state(state)));
        self.why.remove(id);
        self.backoff.forget_job(id);
        self.touch(id);
        self.table.forget_ended();
        self.table.pay(out);
    }

    /// Workers of the cell with what is bound to guarantees and what attempts take.
    fn fleet(&self, now: Duration, around: &Surroundings<'_>) -> fleet::Fleet {
        let is_drained =
            |worker: &str, rack: &str, zone: &str| around.rules.is_drained(worker, rack, zone);
        let mut fleet = around.registry.fleet(now, &self.options.region, is_drained);
        self.bindings.mark(&mut fleet);
        for attempt in self.attempts.values() {
            let Some(job) = self.table.get(&attempt.job) else { continue };
            let shape = job.shape.unwrap_or_default();
            for seat in attempt.seats.values().filter(|seat| seat.settled.is_none()) {
                let tasks = seat.placement.tasks;
                let own = attempt.is_guaranteed;
                fleet.take(&seat.worker, &job.organisation, &shape, tasks, own);
            }
        }
        fleet
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

    fn tick_attempt(
        &mut self,
        now: Duration,
        id: &str,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let patience = self.options.lease + self.options.silence;
        let late = |since: Duration| now.saturating_sub(since) > patience;
        if attempt.waits_for_lead() && self.is_lead_restarted(attempt, around) {
            self.settle(id, "the lead has restarted", out);
            return;
        }
        match attempt.phase {
            Phase::Holding { until } if now >= until => {
                self.settle(id, "not every agent granted its hold in time", out);
            }
            Phase::Decided { since } if late(since) => {
                self.settle(id, "the lead did not answer the decision", out);
            }
            Phase::Running { heard }
                if late(heard) && !self.is_lead_unreachable(now, id, around) =>
            {
                self.settle(id, "the lead has been silent", out);
            }
            Phase::Adopted { since }
                if late(since) && !self.is_lead_unreachable(now, id, around) =>
            {
                self.settle(id, "its planner was replaced", out);
            }
            Phase::Settling => self.settle_gone(now, id, around, out),
            _ => {}
        }
    }

    /// Whether another life of the lead has announced itself: it knows nothing of the gang.
    fn is_lead_restarted(&self, attempt: &Attempt, around: &Surroundings<'_>) -> bool {
        let lead = attempt.lead().and_then(|seat| seat.placement.agent.as_ref());
        lead.is_some_and(|lead| {
            let known = around.registry.get(&lead.name);
            known.is_some_and(|known| known.peer.generation > lead.generation)
        })
    }

    /// Whether the lead's agent is silent, but not yet taken as gone.
    ///
    /// Guards a healthy gang against a short cut of the network: to bar it would throw its work
    /// away, while its accelerators are out of reach in any case.
    fn is_lead_unreachable(&self, now: Duration, id: &str, around: &Surroundings<'_>) -> bool {
        let lead = self.attempts.get(id).and_then(Attempt::lead);
        let Some(lead) = lead.and_then(|seat| seat.placement.agent.as_ref()) else { return false };
        let agent = around.registry.get(&lead.name);
        agent.is_some_and(|agent| !around.registry.is_heard(now, agent))
    }

    /// Repeats the bar at agents that have not answered; those that are gone will not.
    fn settle_gone(
        &mut self,
        now: Duration,
        id: &str,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        for seat in attempt.seats.values_mut().filter(|seat| seat.settled.is_none()) {
            let Some(agent) = &seat.placement.agent else { continue };
            if around.registry.is_gone(agent) {
                seat.settled = Some(TaskState::TaskUnknown);
            }
        }
        self.send_bars(id, out);
        self.close_settled(now, id, out);
    }

    fn send_bars(&self, id: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get(id) else { return };
        for seat in attempt.seats.values().filter(|seat| seat.settled.is_none()) {
            self.send_bar(id, seat.placement.agent.as_ref(), out);
        }
    }

    fn send_bar(&self, attempt: &str, agent: Option<&Peer>, out: &mut Output) {
        let Some(agent) = agent else { return };
        let bar = Bar { attempt: attempt.to_owned(), epoch: Some(self.epoch.clone()) };
        out.send(agent, frame::Body::Bar(bar));
    }

    /// Begins to find out what became of an attempt, by barring it everywhere.
    fn settle(&mut self, id: &str, reason: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.phase != Phase::Settling {
            attempt.phase = Phase::Settling;
            attempt.reason = reason.to_owned();
            out.log(PART, format!("attempt={id} settling reason=\"{reason}\""));
            self.send_bars(id, out);
        }
    }

    fn close_settled(&mut self, now: Duration, id: &str, out: &mut Output) {
        let Some(fate) = self.attempts.get(id).and_then(Attempt::fate) else { return };
        let Some(attempt) = self.attempts.remove(id) else { return };
        for worker in &attempt.refused_by {
            self.backoff.refused(now, worker);
        }
        let Some(job) = self.table.get_mut(&attempt.job) else { return };
        let reason = attempt.reason.clone();
        let may_repeat = job.idempotent || fate == Fate::NotRun;
        job.may_have_run |= fate != Fate::NotRun;
        let (state, reason) = match (fate, job.cancel, may_repeat) {
            (_, true, _) => (JobState::JobCancelled, cancelled(job.may_have_run).to_owned()),
            (_, false, true) => (JobState::JobWaiting, reason),
            (Fate::Unknown, false, false) => (JobState::JobUnknown, reason),
            (_, false, false) => (JobState::JobInterrupted, reason),
        };
        if state == JobState::JobWaiting {
            let counts = fate != Fate::NotRun && !attempt.is_evicted;
            self.requeue(now, &attempt.job, &reason, counts);
        } else {
            self.end(now, &attempt.job, state, &reason, out);
        }
    }

    fn requeue(&mut self, now: Duration, id: &str, reason: &str, counts: bool) {
        let Some(job) = self.table.get_mut(id) else { return };
        job.set_state(JobState::JobWaiting);
        if !counts {
            job.attempts = job.attempts.saturating_sub(1);
        }
        self.why.insert(id.to_owned(), format!("waits again: {reason}"));
        self.backoff.delay_job(now, id);
        self.touch(id);
    }

    /// Ends waiting jobs that may not be tried any more, and starts those that fit.
    fn schedule(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
        if !std::mem::take(&mut self.needs_schedule) {
            return;
        }
        self.end_hopeless(now, around, out);
        let running = candidates::running(now, &self.table, &self.attempts, &self.estimates);
        let outcome = pass::pass(pass::Options {
            rules: around.rules,
            fleet: self.fleet(now, around),
            waiting: candidates::waiting(now, &self.table, &self.backoff, &self.estimates),
            running: &running,
            avoid: &self.backoff.left_out(now),
            mechanisms: pass::Mechanisms::default(),
        });
        self.why.extend(outcome.why);
        for start in outcome.starts {
            self.start(now, &start, around, out);
        }
    }

    /// Workers that fail every task they start, and get nothing for a while.
    pub fn aside(&self, now: Duration) -> Vec<&id::Worker> {
        self.backoff.aside(now)
    }

    fn note_failure(&mut self, now: Duration, attempt: &Attempt, culprit: &str, out: &mut Output) {
        let Some(seat) = attempt.seats.get(culprit) else { return };
        if let Some(time) = self.backoff.failed(now, &seat.worker, &attempt.job) {
            out.log(
                PART,
                format!(
                    "worker={} set aside for={time:?} reason=\"fails every task\"",
                    seat.worker
                ),
            );
        }
    }

    fn end_hopeless(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
        let waiting = self.table.values().filter(|job| job.state() == JobState::JobWaiting);
        let ends: Vec<_> = waiting
            .filter_map(|job| Some((job.id.clone(), candidates::hopeless(now, job, around.rules)?)))
            .collect();
        for (id, (state, reason)) in ends {
            self.end(now, &id, state, &reason, out);
        }
    }

    /// Records an attempt and asks each agent for its hold.
    fn start(
        &mut self,
        now: Duration,
        start: &pass::Start,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let Some(job) = self.table.get(&start.job).cloned() else { return };
        let (outcome, is_guaranteed) = (&start.place, start.is_guaranteed);
        let number = job.attempts + 1;
        let id = format!("{}/{}.{}.{:x}", job.id, self.epoch.term, self.table.change(), number);
        let mut seats = BTreeMap::new();
        for seat in &outcome.seats {
            let Some(agent) = around.registry.agent_of_worker(&seat.worker) else { return };
            let agent = agent.peer.clone();
            let name = agent.name.clone();
            let worker = seat.worker.clone();
            let placement =
                Placement { agent: Some(agent), tasks: seat.tasks, worker: worker.clone() };
            seats.insert(name, Seat { placement, worker, is_granted: false, settled: None });
        }
        let workers: Vec<&str> = outcome.seats.iter().map(|seat| seat.worker.as_str()).collect();
        out.log(
            PART,
            format!(
                "place job={} attempt={id} choice={} workers={} guaranteed={is_guaranteed} \
                 reason=best-fit runner_up={}",
                job.id,
                outcome.group,
                workers.join(","),
                if outcome.runner_up.is_empty() { "none" } else { &outcome.runner_up },
            ),
        );
        let placements = seats.values().map(|seat| seat.placement.clone()).collect();
        if let Some(job) = self.table.get_mut(&job.id) {
            job.set_state(JobState::JobStarting);
            job.reason.clear();
            job.attempts = number;
            job.attempt = Some(sapphire_wire::Attempt {
                id: id.clone(),
                placements,
                guaranteed: is_guaranteed,
            });
        }
        self.touch(&job.id);
        let attempt = Attempt {
            job: job.id.clone(),
            is_guaranteed,
            phase: Phase::Holding { until: now + self.options.hold },
            seats,
            change: self.table.change(),
            may_have_started: false,
            reason: String::new(),
            is_evicted: false,
            refused_by: Vec::new(),
        };
        self.attempts.insert(id.clone(), attempt);
        self.send_holds(&id, &job, out);
    }

    fn send_holds(&self, id: &str, job: &Job, out: &mut Output) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let lead = attempt.lead().and_then(|seat| seat.placement.agent.clone());
        for seat in attempt.seats.values() {
            let Some(agent) = &seat.placement.agent else { continue };
            let hold = Hold {
                attempt: id.to_owned(),
                epoch: Some(self.epoch.clone()),
                organisation: job.organisation.clone(),
                shape: job.shape,
                tasks: seat.placement.tasks,
                guaranteed: attempt.is_guaranteed,
                lead: lead.clone(),
                ttl_ms: millis(self.options.hold),
                command: job.command.clone(),
            };
            out.send(agent, frame::Body::Hold(hold));
        }
    }

    /// Takes an agent's word on a hold.
    pub fn hold_reply(
        &mut self,
        now: Duration,
        from: &Peer,
        reply: &HoldReply,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let hold = self.options.hold;
        let Some(attempt) = self.attempts.get_mut(&reply.attempt) else { return };
        let Phase::Holding { until } = attempt.phase else { return };
        let Some(seat) = attempt.seats.get_mut(&from.name) else { return };
        match reply.state() {
            HoldState::HoldGranted => {
                seat.is_granted = true;
                self.decide_held(now, out);
            }
            HoldState::HoldEvicting => {
                let grace = around.rules.reclaim().grace;
                attempt.phase = Phase::Holding { until: until.max(now + grace + hold) };
            }
            HoldState::HoldRefused => {
                attempt.refused_by.push(seat.worker.clone());
                let reason = format!("{} refused: {}", from.name, reply.reason);
                self.settle(&reply.attempt, &reason, out);
            }
        }
    }

    /// Tells the lead of each gang that is held everywhere and recorded to start it.
    ///
    /// Guards against a planner that dies between the decision and its record: a successor
    /// that did not know of the attempt could start the job a second time. A job that may
    /// repeat is started without the record while the store is out.
    fn decide_held(&mut self, now: Duration, out: &mut Output) {
        let written = self.table.written();
        let is_failing = self.table.is_failing();
        for (id, attempt) in &mut self.attempts {
            let Phase::Holding { .. } = attempt.phase else { continue };
            let may_repeat = self.table.get(&attempt.job).is_some_and(|job| job.idempotent);
            let is_recorded = attempt.change <= written || (is_failing && may_repeat);
            if !attempt.is_held() || !is_recorded {
                continue;
            }
            let Some(lead) = attempt.lead().and_then(|seat| seat.placement.agent.clone()) else {
                continue;
            };
            let members = attempt.seats.values().filter_map(|seat| seat.placement.agent.clone());
            let decide = Decide {
                attempt: id.clone(),
                epoch: Some(self.epoch.clone()),
                members: members.collect(),
            };
            attempt.phase = Phase::Decided { since: now };
            attempt.may_have_started = true;
            out.log(PART, format!("decide attempt={id} lead={}", lead.name));
            out.send(&lead, frame::Body::Decide(decide));
        }
    }

    /// Takes a lead's word on its gang. The attempt is barred, which tells the lead to forget
    /// it, only after the outcome is kept: until then the lead's memory is the only record.
    pub fn report(&mut self, now: Duration, from: &Peer, report: &Report, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&report.attempt) else {
            self.unknown_report(now, from, report, out);
            return;
        };
        if attempt.phase != Phase::Settling || report.state() != GangState::GangRunning {
            self.report_known(now, report, out);
        }
    }

    fn report_known(&mut self, now: Duration, report: &Report, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&report.attempt) else { return };
        let job = attempt.job.clone();
        match report.state() {
            GangState::GangRunning => {
                let is_first = !matches!(attempt.phase, Phase::Running { .. });
                attempt.phase = Phase::Running { heard: now };
                attempt.may_have_started = true;
                if is_first {
                    self.note_running(now, &job, &report.attempt, out);
                }
            }
            GangState::GangDone => {
                if let Some(attempt) = self.attempts.remove(&report.attempt) {
                    self.backoff.succeeded(attempt.seats.values().map(|seat| &seat.worker));
                }
                if let Some(job) = self.table.get(&job) {
                    self.estimates.observe(job, candidates::ran(now, job));
                }
                self.end(now, &job, JobState::JobDone, "", out);
            }
            GangState::GangFailed | GangState::GangStopped => {
                self.failed(now, &report.attempt, report, out);
            }
        }
    }

    /// A lead speaks of an attempt that is not under way here: one whose end is known, or one
    /// that an earlier planner started while the store was out.
    fn unknown_report(&mut self, now: Duration, from: &Peer, report: &Report, out: &mut Output) {
        let id = report.attempt.split('/').next().unwrap_or_default().to_owned();
        let Some(job) = self.table.get_mut(&id) else {
            self.acknowledge(from, &report.attempt, out);
            return;
        };
        let is_last = job.attempt.as_ref().is_some_and(|last| last.id == report.attempt);
        if job.state() == JobState::JobUnknown && is_last {
            self.found_again(now, &id, report, out);
            return;
        }
        if job.idempotent && !view::is_ended(job.state()) {
            job.may_have_run = true;
            if report.state() == GangState::GangDone {
                self.drop_attempts(&id, out);
                self.done_elsewhere(now, &id, &report.attempt, out);
            }
        }
        self.acknowledge(from, &report.attempt, out);
    }

    /// The lead of a job whose fate was unknown can be heard again: the job is what it says.
    fn found_again(&mut self, now: Duration, id: &str, report: &Report, out: &mut Output) {
        let Some(job) = self.table.get_mut(id) else { return };
        let recorded = job.attempt.clone().unwrap_or_default();
        out.log(PART, format!("job={id} found again attempt={}", recorded.id));
        job.set_state(JobState::JobRunning);
        job.reason.clear();
        job.ended_unix_ms = 0;
        self.touch(id);
        self.adopt_attempt(now, id, &recorded);
        self.report_known(now, report, out);
    }

    fn done_elsewhere(&mut self, now: Duration, id: &str, attempt: &str, out: &mut Output) {
        if let Some(job) = self.table.get_mut(id) {
            let id = attempt.to_owned();
            job.attempt = Some(sapphire_wire::Attempt { id, ..Default::default() });
        }
        self.end(now, id, JobState::JobDone, "", out);
    }

    /// Bars what is under way for a job that has ended by another attempt.
    fn drop_attempts(&mut self, job: &str, out: &mut Output) {
        let own = self.attempts.iter().filter(|(_, attempt)| attempt.job == job);
        let own: Vec<id::Attempt> = own.map(|(id, _)| id.clone()).collect();
        for id in own {
            self.send_bars(&id, out);
            self.attempts.remove(&id);
        }
    }

    fn acknowledge(&self, from: &Peer, attempt: &str, out: &mut Output) {
        let job = attempt.split('/').next().unwrap_or_default();
        if self.table.is_kept(job) {
            self.send_bar(attempt, Some(from), out);
        }
    }

    fn note_running(&mut self, now: Duration, id: &str, attempt: &str, out: &mut Output) {
        let Some(job) = self.table.get_mut(id) else { return };
        if job.state() != JobState::JobRunning {
            job.set_state(JobState::JobRunning);
            job.may_have_run = true;
            job.started_unix_ms = millis(now);
            out.log(PART, format!("job={id} state=running attempt={attempt}"));
            self.touch(id);
            self.why.remove(id);
        }
    }

    fn failed(&mut self, now: Duration, id: &str, report: &Report, out: &mut Output) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let Some(job) = self.table.get_mut(&attempt.job) else { return };
        job.exit_code = report.exit_code;
        job.may_have_run = true;
        let is_failure = report.state() == GangState::GangFailed;
        out.log(
            PART,
            format!(
                "attempt={id} ended failed={is_failure} evicted={} reason=\"{}\"",
                report.evicted, report.reason
            ),
        );
        let (is_cancelled, is_idempotent) = (job.cancel, job.idempotent);
        if is_failure {
            self.note_failure(now, &attempt, &report.culprit, out);
        } else if let Some(seat) = attempt.seats.get(&report.culprit) {
            self.backoff.lost(now, &seat.worker);
        }
        if is_cancelled {
            self.end(now, &attempt.job, JobState::JobCancelled, cancelled(true), out);
        } else if is_idempotent {
            self.requeue(now, &attempt.job, &report.reason, !report.evicted);
        } else {
            let state = if is_failure { JobState::JobFailed } else { JobState::JobInterrupted };
            self.end(now, &attempt.job, state, &report.reason, out);
        }
    }

    /// Takes an agent's word on an attempt that is being settled.
    pub fn bar_reply(&mut self, now: Duration, from: &Peer, reply: &BarReply, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&reply.attempt) else { return };
        let Some(seat) = attempt.seats.get_mut(&from.name) else { return };
        let is_same_life =
            seat.placement.agent.as_ref().is_some_and(|agent| peer::is_same_life(agent, from));
        let state = if is_same_life { reply.state() } else { TaskState::TaskUnknown };
        if attempt.phase == Phase::Settling && state != TaskState::TaskRunning {
            seat.settled = Some(state);
            self.close_settled(now, &reply.attempt, out);
        }
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
