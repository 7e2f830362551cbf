//! Callers' calls about jobs, which are forwarded to the planner of the job's cell.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{CallState, Job, JobCall, JobReply, Peer, frame, id, job_call};
use serde_json::json;

use crate::{
    answer::{self, Account},
    effect::Output,
    event, view,
};

/// Delay before a call is sent again, since the planner may have been replaced.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a call that does not wait for a job to end.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Submit a job.
    Submit,
    /// Get one job; `true` when the caller waits until it ends.
    Get(bool),
    /// Cancel a job.
    Cancel,
    /// List jobs.
    List,
}

#[derive(Debug)]
struct Pending {
    caller: event::Caller,
    kind: Kind,
    region: String,
    body: job_call::Body,
    deadline: Duration,
    sent: Option<Duration>,
    job: id::Job,
}

/// Calls in flight.
#[derive(Debug, Default)]
pub struct JobCalls {
    pending: BTreeMap<u64, Pending>,
    count: u64,
}

impl JobCalls {
    /// Number of calls in flight.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a call. It is sent at the next [`JobCalls::tick`].
    pub fn add(
        &mut self,
        now: Duration,
        caller: event::Caller,
        kind: Kind,
        region: &str,
        body: job_call::Body,
        wait: Duration,
    ) {
        self.count += 1;
        let job = match &body {
            job_call::Body::Submit(job) => job.id.clone(),
            job_call::Body::Get(id) | job_call::Body::Cancel(id) => id.clone(),
            job_call::Body::Explain(id) => id.clone(),
            job_call::Body::Wait(wait) => wait.job.clone(),
            job_call::Body::List(_) => String::new(),
        };
        let deadline = now + if wait.is_zero() { TIMEOUT } else { wait };
        let region = region.to_owned();
        let pending = Pending { caller, kind, region, body, deadline, sent: None, job };
        self.pending.insert(self.count, pending);
    }

    /// Sends the calls that are due to the planners of their regions, and answers those whose
    /// deadline has passed.
    pub fn tick(
        &mut self,
        now: Duration,
        planner: impl Fn(&str) -> Option<Peer>,
        out: &mut Output,
    ) {
        for (call, pending) in &mut self.pending {
            let is_due = pending.sent.is_none_or(|sent| now.saturating_sub(sent) >= RESEND_DELAY);
            if !is_due || now >= pending.deadline {
                continue;
            }
            if let Some(peer) = planner(&pending.region) {
                pending.sent = Some(now);
                let body = Some(pending.body.clone());
                out.send(&peer, frame::Body::JobCall(JobCall { call: *call, body }));
            }
        }
        let expired = self.pending.extract_if(.., |_, pending| now >= pending.deadline);
        let expired: Vec<Pending> = expired.map(|(_, pending)| pending).collect();
        for pending in expired {
            out.answer(pending.caller, timeout_answer(&pending));
        }
    }

    /// Handles a planner's reply.
    pub fn handle_reply(&mut self, reply: JobReply, out: &mut Output) {
        if reply.state() == CallState::CallNotPlanner {
            return;
        }
        let Some(pending) = self.pending.remove(&reply.call) else { return };
        out.answer(pending.caller, answer_to(&pending, reply));
    }

    /// Drops the calls of a caller that has disconnected.
    pub fn caller_left(&mut self, caller: event::Caller) {
        self.pending.retain(|_, pending| pending.caller != caller);
    }
}

/// Answer to a call that got no reply in time. What was never sent has certainly not taken effect.
fn timeout_answer(pending: &Pending) -> answer::Answer {
    let retry = Duration::from_secs(2);
    let answer = match (pending.kind, pending.sent) {
        (Kind::Get(true), Some(_)) => {
            let value = json!({
                "id": pending.job,
                "state": "pending",
                "is_ended": false,
                "reason": "the job has not ended yet; ask again",
            });
            return answer::Answer::json(202, &value).retry_after(Duration::from_secs(1));
        }
        (Kind::Submit, Some(_)) => {
            let reason = format!(
                "the planner did not answer; the job may or may not be accepted: ask for {}",
                pending.job
            );
            answer::Answer::failure(504, Account::Unknown, &reason)
        }
        (Kind::Submit, None) => {
            let reason = "the region has no planner now; the job was not accepted";
            answer::Answer::failure(503, Account::NotRun, reason)
        }
        (Kind::Cancel, Some(_)) => {
            let reason = "the planner did not answer; the job may or may not be cancelled";
            answer::Answer::failure(504, Account::Unknown, reason)
        }
        _ => {
            let reason = "the region's planner did not answer";
            answer::Answer::failure(503, Account::Unknown, reason)
        }
    };
    answer.with("Sapphire-Job", &pending.job).retry_after(retry)
}

/// Answer to a caller according to the planner's reply.
fn answer_to(pending: &Pending, reply: JobReply) -> answer::Answer {
    let found = reply.jobs.first();
    match (reply.state(), pending.kind, found) {
        (CallState::CallRefused, _, _) => {
            let status = if reply.retry_after_ms > 0 { 503 } else { 422 };
            let answer = answer::Answer::failure(status, Account::NotRun, &reply.reason);
            let wait = Duration::from_millis(reply.retry_after_ms);
            if wait.is_zero() { answer } else { answer.retry_after(wait) }
        }
        (CallState::CallNotFound, _, _) => {
            let reason = "no such job is known; it was never accepted or ended long ago";
            answer::Answer::failure(404, Account::Unknown, reason)
        }
        (_, Kind::List, _) => {
            let jobs: Vec<_> = reply.jobs.iter().map(view::job).collect();
            answer::Answer::json(200, &json!({ "jobs": jobs }))
        }
        (_, kind, Some(job)) => job_answer(kind, job),
        (_, _, None) => {
            answer::Answer::failure(502, Account::Unknown, "the planner's reply has no job")
        }
    }
}

fn job_answer(kind: Kind, job: &Job) -> answer::Answer {
    let status = if kind == Kind::Submit { 201 } else { 200 };
    let answer = answer::Answer::json(status, &view::job(job)).with("Sapphire-Job", &job.id);
    if view::is_ended(job.state()) {
        return answer.with(answer::ACCOUNT, view::job_state(job.state()));
    }
    answer
}
