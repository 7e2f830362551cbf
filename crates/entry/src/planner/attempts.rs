//! Attempts that time out, are invalidated, resolved, or followed by another attempt.

use std::time::Duration;

use sapphire_wire::{Bar, BarReply, JobState, Peer, TaskState, frame, id, peer};

use crate::{
    attempt::{Attempt, Outcome, Phase},
    effect::Output,
};

use super::{Context, LOG_PART, Planner, cancel_reason};

impl Planner {
    /// Checks the timeouts of an attempt.
    pub(super) fn tick_attempt(
        &mut self,
        now: Duration,
        id: &str,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let timeout = self.options.lease + self.options.silence_timeout;
        let is_overdue = |since: Duration| now.saturating_sub(since) > timeout;
        if attempt.awaits_coordinator() && self.has_coordinator_restarted(attempt, context) {
            self.resolve(id, "the lead has restarted", out);
            return;
        }
        match attempt.phase {
            Phase::Holding { until } if now >= until => {
                self.resolve(id, "not every agent granted its hold in time", out);
            }
            Phase::Decided { since } if is_overdue(since) => {
                self.resolve(id, "the lead did not answer the decision", out);
            }
            Phase::Running { last_report }
                if is_overdue(last_report)
                    && !self.is_coordinator_unreachable(now, id, context) =>
            {
                self.resolve(id, "the lead has been silent", out);
            }
            Phase::Adopted { since }
                if is_overdue(since) && !self.is_coordinator_unreachable(now, id, context) =>
            {
                self.resolve(id, "its planner was replaced", out);
            }
            Phase::Resolving => self.continue_resolving(now, id, context, out),
            _ => {}
        }
    }

    /// Whether another process of the coordinator's agent has announced itself, which does not know
    /// the gang.
    pub(super) fn has_coordinator_restarted(
        &self,
        attempt: &Attempt,
        context: &Context<'_>,
    ) -> bool {
        let coordinator =
            attempt.coordinator().and_then(|assignment| assignment.placement.agent.as_ref());
        coordinator.is_some_and(|coordinator| {
            let current = context.registry.get(&coordinator.name);
            current.is_some_and(|current| current.peer.generation > coordinator.generation)
        })
    }

    /// Whether the coordinator's agent is silent, but not yet declared lost.
    ///
    /// Guards a healthy gang against a short network partition: invalidating it would discard its
    /// work, while its accelerators are out of reach in any case.
    pub(super) fn is_coordinator_unreachable(
        &self,
        now: Duration,
        id: &str,
        context: &Context<'_>,
    ) -> bool {
        let assignment = self.attempts.get(id).and_then(Attempt::coordinator);
        let Some(peer) = assignment.and_then(|a| a.placement.agent.as_ref()) else { return false };
        let agent = context.registry.get(&peer.name);
        agent.is_some_and(|agent| !context.registry.is_reachable(now, agent))
    }

    /// Repeats the request to invalidate an attempt at agents that have not replied. The final
    /// state at an agent that was declared lost is unknown, since it will not reply.
    pub(super) fn continue_resolving(
        &mut self,
        now: Duration,
        id: &str,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        for assignment in
            attempt.assignments.values_mut().filter(|assignment| assignment.final_state.is_none())
        {
            let Some(agent) = &assignment.placement.agent else { continue };
            if context.registry.is_lost(agent) {
                assignment.final_state = Some(TaskState::TaskUnknown);
            }
        }
        self.send_invalidations(id, out);
        self.finish_resolved(now, id, out);
    }

    /// Requests the invalidation of an attempt at all agents whose final state is not known.
    pub(super) fn send_invalidations(&self, id: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get(id) else { return };
        for assignment in
            attempt.assignments.values().filter(|assignment| assignment.final_state.is_none())
        {
            self.send_invalidation(id, assignment.placement.agent.as_ref(), out);
        }
    }

    /// Requests the invalidation of an attempt at one agent.
    pub(super) fn send_invalidation(&self, attempt: &str, agent: Option<&Peer>, out: &mut Output) {
        let Some(agent) = agent else { return };
        let bar = Bar { attempt: attempt.to_owned(), epoch: Some(self.epoch.clone()) };
        out.send(agent, frame::Body::Bar(bar));
    }

    /// Begins to resolve the outcome of an attempt by invalidating it at all its agents.
    pub(super) fn resolve(&mut self, id: &str, reason: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.phase != Phase::Resolving {
            attempt.phase = Phase::Resolving;
            attempt.reason = reason.to_owned();
            out.log(LOG_PART, format!("attempt={id} resolving outcome reason=\"{reason}\""));
            self.send_invalidations(id, out);
        }
    }

    /// Ends an attempt whose outcome is resolved: its job waits for another attempt or ends.
    pub(super) fn finish_resolved(&mut self, now: Duration, id: &str, out: &mut Output) {
        let Some(outcome) = self.attempts.get(id).and_then(Attempt::outcome) else { return };
        let Some(attempt) = self.attempts.remove(id) else { return };
        for worker in &attempt.refused_by {
            self.backoff.hold_refused(now, worker);
        }
        let Some(job) = self.table.get_mut(&attempt.job) else { return };
        let reason = attempt.reason.clone();
        let may_repeat = job.idempotent || outcome == Outcome::NotRun;
        job.may_have_run |= outcome != Outcome::NotRun;
        let (state, reason) = match (outcome, job.cancel, may_repeat) {
            (_, true, _) => (JobState::JobCancelled, cancel_reason(job.may_have_run).to_owned()),
            (_, false, true) => (JobState::JobWaiting, reason),
            (Outcome::Unknown, false, false) => (JobState::JobUnknown, reason),
            (_, false, false) => (JobState::JobInterrupted, reason),
        };
        if state == JobState::JobWaiting {
            let counts_as_attempt = outcome != Outcome::NotRun && !attempt.is_evicted;
            self.requeue(now, &attempt.job, &reason, counts_as_attempt);
        } else {
            self.end_job(now, &attempt.job, state, &reason, out);
        }
    }

    /// Puts a job back to waiting. `counts_as_attempt` is false for an attempt that did not run or
    /// was evicted.
    pub(super) fn requeue(
        &mut self,
        now: Duration,
        id: &str,
        reason: &str,
        counts_as_attempt: bool,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        job.set_state(JobState::JobWaiting);
        if !counts_as_attempt {
            job.attempts = job.attempts.saturating_sub(1);
        }
        self.wait_reasons.insert(id.to_owned(), format!("waits again: {reason}"));
        self.backoff.delay_job(now, id);
        self.mark_changed(id);
    }

    /// Invalidates the attempts of a job that another attempt has completed.
    pub(super) fn invalidate_attempts(&mut self, job: &str, out: &mut Output) {
        let own = self.attempts.iter().filter(|(_, attempt)| attempt.job == job);
        let own: Vec<id::Attempt> = own.map(|(id, _)| id.clone()).collect();
        for id in own {
            self.send_invalidations(&id, out);
            self.attempts.remove(&id);
        }
    }

    /// Handles an agent's reply about an attempt whose outcome is being resolved.
    pub fn handle_invalidation_reply(
        &mut self,
        now: Duration,
        from: &Peer,
        reply: &BarReply,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.get_mut(&reply.attempt) else { return };
        let Some(assignment) = attempt.assignments.get_mut(&from.name) else { return };
        let is_same_process = assignment
            .placement
            .agent
            .as_ref()
            .is_some_and(|agent| peer::is_same_process(agent, from));
        let state = if is_same_process { reply.state() } else { TaskState::TaskUnknown };
        if attempt.phase == Phase::Resolving && state != TaskState::TaskRunning {
            assignment.final_state = Some(state);
            self.finish_resolved(now, &reply.attempt, out);
        }
    }
}
