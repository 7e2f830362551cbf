//! What becomes of attempts: those that lapse, are barred, settled, or tried again.

use std::time::Duration;

use sapphire_wire::{Bar, BarReply, JobState, Peer, TaskState, frame, id, peer};

use crate::{
    attempt::{Attempt, Fate, Phase},
    effect::Output,
};

use super::{PART, Planner, Surroundings, cancelled};

impl Planner {
    pub(super) fn tick_attempt(
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
    pub(super) fn is_lead_restarted(&self, attempt: &Attempt, around: &Surroundings<'_>) -> bool {
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
    pub(super) fn is_lead_unreachable(
        &self,
        now: Duration,
        id: &str,
        around: &Surroundings<'_>,
    ) -> bool {
        let lead = self.attempts.get(id).and_then(Attempt::lead);
        let Some(lead) = lead.and_then(|seat| seat.placement.agent.as_ref()) else { return false };
        let agent = around.registry.get(&lead.name);
        agent.is_some_and(|agent| !around.registry.is_heard(now, agent))
    }

    /// Repeats the bar at agents that have not answered; those that are gone will not.
    pub(super) fn settle_gone(
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

    pub(super) fn send_bars(&self, id: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get(id) else { return };
        for seat in attempt.seats.values().filter(|seat| seat.settled.is_none()) {
            self.send_bar(id, seat.placement.agent.as_ref(), out);
        }
    }

    pub(super) fn send_bar(&self, attempt: &str, agent: Option<&Peer>, out: &mut Output) {
        let Some(agent) = agent else { return };
        let bar = Bar { attempt: attempt.to_owned(), epoch: Some(self.epoch.clone()) };
        out.send(agent, frame::Body::Bar(bar));
    }

    /// Begins to find out what became of an attempt, by barring it everywhere.
    pub(super) fn settle(&mut self, id: &str, reason: &str, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.phase != Phase::Settling {
            attempt.phase = Phase::Settling;
            attempt.reason = reason.to_owned();
            out.log(PART, format!("attempt={id} settling reason=\"{reason}\""));
            self.send_bars(id, out);
        }
    }

    pub(super) fn close_settled(&mut self, now: Duration, id: &str, out: &mut Output) {
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

    pub(super) fn requeue(&mut self, now: Duration, id: &str, reason: &str, counts: bool) {
        let Some(job) = self.table.get_mut(id) else { return };
        job.set_state(JobState::JobWaiting);
        if !counts {
            job.attempts = job.attempts.saturating_sub(1);
        }
        self.why.insert(id.to_owned(), format!("waits again: {reason}"));
        self.backoff.delay_job(now, id);
        self.touch(id);
    }

    /// Bars what is under way for a job that has ended by another attempt.
    pub(super) fn drop_attempts(&mut self, job: &str, out: &mut Output) {
        let own = self.attempts.iter().filter(|(_, attempt)| attempt.job == job);
        let own: Vec<id::Attempt> = own.map(|(id, _)| id.clone()).collect();
        for id in own {
            self.send_bars(&id, out);
            self.attempts.remove(&id);
        }
    }

    /// Takes an agent's word on an attempt that is being settled.
    pub fn bar_reply(&mut self, now: Duration, from: &Peer, reply: &BarReply, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&reply.attempt) else { return };
        let Some(seat) = attempt.seats.get_mut(&from.name) else { return };
        let is_same_life =
            seat.placement.agent.as_ref().is_some_and(|agent| peer::is_same_process(agent, from));
        let state = if is_same_life { reply.state() } else { TaskState::TaskUnknown };
        if attempt.phase == Phase::Settling && state != TaskState::TaskRunning {
            seat.settled = Some(state);
            self.close_settled(now, &reply.attempt, out);
        }
    }
}
