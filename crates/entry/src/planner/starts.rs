//! Which jobs start, and the holds and the decision that start them.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{fleet, pass};
use sapphire_wire::{
    Decide, Hold, HoldReply, HoldState, Job, JobState, Peer, Placement, frame, id,
};

use crate::{
    attempt::{Attempt, Phase, Seat},
    candidates,
    effect::Output,
};

use super::{PART, Planner, Surroundings, millis};

impl Planner {
    /// Workers of the cell with what is bound to guarantees and what attempts take.
    pub(super) fn fleet(&self, now: Duration, around: &Surroundings<'_>) -> fleet::Fleet {
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
                fleet.allocate(&seat.worker, &job.organisation, &shape, tasks, own);
            }
        }
        fleet
    }

    /// Ends waiting jobs that may not be tried any more, and starts those that fit.
    pub(super) fn schedule(&mut self, now: Duration, around: &Surroundings<'_>, out: &mut Output) {
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

    pub(super) fn note_failure(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        culprit: &str,
        out: &mut Output,
    ) {
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

    pub(super) fn end_hopeless(
        &mut self,
        now: Duration,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) {
        let waiting = self.table.values().filter(|job| job.state() == JobState::JobWaiting);
        let ends: Vec<_> = waiting
            .filter_map(|job| Some((job.id.clone(), candidates::hopeless(now, job, around.rules)?)))
            .collect();
        for (id, (state, reason)) in ends {
            self.end(now, &id, state, &reason, out);
        }
    }

    /// Records an attempt and asks each agent for its hold.
    pub(super) fn start(
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
        for seat in &outcome.assignments {
            let Some(agent) = around.registry.agent_of_worker(&seat.worker) else { return };
            let agent = agent.peer.clone();
            let name = agent.name.clone();
            let worker = seat.worker.clone();
            let placement =
                Placement { agent: Some(agent), tasks: seat.tasks, worker: worker.clone() };
            seats.insert(name, Seat { placement, worker, is_granted: false, settled: None });
        }
        let workers: Vec<&str> =
            outcome.assignments.iter().map(|seat| seat.worker.as_str()).collect();
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

    pub(super) fn send_holds(&self, id: &str, job: &Job, out: &mut Output) {
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
    pub(super) fn decide_held(&mut self, now: Duration, out: &mut Output) {
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
}
