//! Start of jobs: scheduling passes, holds, and the decision to start a gang.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{fleet, pass};
use sapphire_wire::{
    Decide, Hold, HoldReply, HoldState, Job, JobState, Peer, Placement, frame, id,
};

use crate::{
    attempt::{Assignment, Attempt, Phase},
    candidates,
    effect::Output,
};

use super::{Context, LOG_PART, Planner, millis};

impl Planner {
    /// Workers of the cell, with the accelerators bound to guarantees and the resources used by
    /// attempts.
    pub(super) fn fleet(&self, now: Duration, context: &Context<'_>) -> fleet::Fleet {
        let is_drained =
            |worker: &str, rack: &str, zone: &str| context.rules.is_drained(worker, rack, zone);
        let mut fleet = context.registry.fleet(now, &self.options.region, is_drained);
        self.bindings.mark_bound(&mut fleet);
        for attempt in self.attempts.values() {
            let Some(job) = self.table.get(&attempt.job) else { continue };
            let shape = job.shape.unwrap_or_default();
            for assignment in
                attempt.assignments.values().filter(|assignment| assignment.final_state.is_none())
            {
                let tasks = assignment.placement.tasks;
                let own = attempt.is_guaranteed;
                fleet.allocate(&assignment.worker, &job.organisation, &shape, tasks, own);
            }
        }
        fleet
    }

    /// Ends waiting jobs that can't be tried again, and starts those that fit.
    pub(super) fn schedule(&mut self, now: Duration, context: &Context<'_>, out: &mut Output) {
        if !std::mem::take(&mut self.needs_pass) {
            return;
        }
        self.end_infeasible(now, context, out);
        let running = candidates::running(now, &self.table, &self.attempts, &self.estimates);
        let outcome = pass::pass(pass::Options {
            rules: context.rules,
            fleet: self.fleet(now, context),
            waiting: candidates::waiting(now, &self.table, &self.backoff, &self.estimates),
            running: &running,
            avoid: &self.backoff.excluded_workers(now),
            mechanisms: pass::Mechanisms::default(),
        });
        self.wait_reasons.extend(outcome.why);
        for start in outcome.starts {
            self.start_attempt(now, &start, context, out);
        }
    }

    /// Quarantined workers: every task that they start fails.
    pub fn quarantined(&self, now: Duration) -> Vec<&id::Worker> {
        self.backoff.quarantined(now)
    }

    /// Records which worker failed a task, and quarantines it if every task fails there.
    pub(super) fn record_task_failure(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        culprit: &str,
        out: &mut Output,
    ) {
        let Some(assignment) = attempt.assignments.get(culprit) else { return };
        if let Some(time) = self.backoff.task_failed(now, &assignment.worker, &attempt.job) {
            out.log(
                LOG_PART,
                format!(
                    "worker={} quarantined for={time:?} reason=\"fails every task\"",
                    assignment.worker
                ),
            );
        }
    }

    /// Ends waiting jobs whose deadline has passed or whose attempts are used up.
    pub(super) fn end_infeasible(
        &mut self,
        now: Duration,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let waiting = self.table.values().filter(|job| job.state() == JobState::JobWaiting);
        let ends: Vec<_> = waiting
            .filter_map(|job| Some((job.id.clone(), candidates::ending(now, job, context.rules)?)))
            .collect();
        for (id, (state, reason)) in ends {
            self.end_job(now, &id, state, &reason, out);
        }
    }

    /// Records an attempt and sends a hold to each of its agents.
    pub(super) fn start_attempt(
        &mut self,
        now: Duration,
        start: &pass::Start,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let Some(job) = self.table.get(&start.job).cloned() else { return };
        let (outcome, is_guaranteed) = (&start.place, start.is_guaranteed);
        let number = job.attempts + 1;
        let id =
            format!("{}/{}.{}.{:x}", job.id, self.epoch.term, self.table.latest_change(), number);
        let mut assignments = BTreeMap::new();
        for assignment in &outcome.assignments {
            let Some(agent) = context.registry.agent_of_worker(&assignment.worker) else { return };
            let agent = agent.peer.clone();
            let name = agent.name.clone();
            let worker = assignment.worker.clone();
            let placement =
                Placement { agent: Some(agent), tasks: assignment.tasks, worker: worker.clone() };
            assignments.insert(
                name,
                Assignment { placement, worker, is_granted: false, final_state: None },
            );
        }
        let workers: Vec<&str> =
            outcome.assignments.iter().map(|assignment| assignment.worker.as_str()).collect();
        out.log(
            LOG_PART,
            format!(
                "place job={} attempt={id} choice={} workers={} guaranteed={is_guaranteed} \
                 reason=best-fit runner_up={}",
                job.id,
                outcome.group,
                workers.join(","),
                if outcome.runner_up.is_empty() { "none" } else { &outcome.runner_up },
            ),
        );
        let placements =
            assignments.values().map(|assignment| assignment.placement.clone()).collect();
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
        self.mark_changed(&job.id);
        let attempt = Attempt {
            job: job.id.clone(),
            is_guaranteed,
            phase: Phase::Holding { until: now + self.options.hold_timeout },
            assignments,
            change: self.table.latest_change(),
            may_have_started: false,
            reason: String::new(),
            is_evicted: false,
            refused_by: Vec::new(),
        };
        self.attempts.insert(id.clone(), attempt);
        self.send_holds(&id, &job, out);
    }

    /// Asks each agent of an attempt to reserve resources.
    pub(super) fn send_holds(&self, id: &str, job: &Job, out: &mut Output) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let coordinator =
            attempt.coordinator().and_then(|assignment| assignment.placement.agent.clone());
        for assignment in attempt.assignments.values() {
            let Some(agent) = &assignment.placement.agent else { continue };
            let hold = Hold {
                attempt: id.to_owned(),
                epoch: Some(self.epoch.clone()),
                organisation: job.organisation.clone(),
                shape: job.shape,
                tasks: assignment.placement.tasks,
                guaranteed: attempt.is_guaranteed,
                lead: coordinator.clone(),
                ttl_ms: millis(self.options.hold_timeout),
                command: job.command.clone(),
            };
            out.send(agent, frame::Body::Hold(hold));
        }
    }

    /// Handles an agent's reply to a hold.
    pub fn handle_hold_reply(
        &mut self,
        now: Duration,
        from: &Peer,
        reply: &HoldReply,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let hold_timeout = self.options.hold_timeout;
        let Some(attempt) = self.attempts.get_mut(&reply.attempt) else { return };
        let Phase::Holding { until } = attempt.phase else { return };
        let Some(assignment) = attempt.assignments.get_mut(&from.name) else { return };
        match reply.state() {
            HoldState::HoldGranted => {
                assignment.is_granted = true;
                self.start_held(now, out);
            }
            HoldState::HoldEvicting => {
                let grace = context.rules.reclaim().grace;
                attempt.phase = Phase::Holding { until: until.max(now + grace + hold_timeout) };
            }
            HoldState::HoldRefused => {
                attempt.refused_by.push(assignment.worker.clone());
                let reason = format!("{} refused: {}", from.name, reply.reason);
                self.resolve(&reply.attempt, &reason, out);
            }
        }
    }

    /// Sends the decision to start to the coordinator of each gang that is held by all its agents
    /// and recorded in the store.
    ///
    /// Guards against a planner that fails between the decision and its record: a successor that
    /// did not know of the attempt could start the job a second time. An idempotent job is started
    /// without the record while the store is unavailable.
    pub(super) fn start_held(&mut self, now: Duration, out: &mut Output) {
        let stored_change = self.table.stored_change();
        let is_failing = self.table.is_failing();
        for (id, attempt) in &mut self.attempts {
            let Phase::Holding { .. } = attempt.phase else { continue };
            let may_repeat = self.table.get(&attempt.job).is_some_and(|job| job.idempotent);
            let is_recorded = attempt.change <= stored_change || (is_failing && may_repeat);
            if !attempt.is_held() || !is_recorded {
                continue;
            }
            let Some(coordinator) =
                attempt.coordinator().and_then(|assignment| assignment.placement.agent.clone())
            else {
                continue;
            };
            let members = attempt
                .assignments
                .values()
                .filter_map(|assignment| assignment.placement.agent.clone());
            let decide = Decide {
                attempt: id.clone(),
                epoch: Some(self.epoch.clone()),
                members: members.collect(),
            };
            attempt.phase = Phase::Decided { since: now };
            attempt.may_have_started = true;
            out.log(
                LOG_PART,
                format!("decision to start sent attempt={id} lead={}", coordinator.name),
            );
            out.send(&coordinator, frame::Body::Decide(decide));
        }
    }
}
