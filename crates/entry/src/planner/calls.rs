//! Callers' calls about jobs: submission, cancellation, listing and explanation.

use std::time::Duration;

use sapphire_wire::{Job, JobCall, JobReply, JobState, Peer, frame, job_call};

use crate::{admission, effect::Output, view};

use super::{Context, LOG_PART, Planner, cancel_reason, millis, refused_reply};

impl Planner {
    /// Handles a call that an entry forwards for its caller.
    pub fn handle_call(
        &mut self,
        now: Duration,
        from: &Peer,
        call: JobCall,
        context: &Context<'_>,
        out: &mut Output,
    ) {
        let number = call.call;
        let reply = match call.body {
            Some(job_call::Body::Submit(job)) => self.submit(now, from, number, job, context),
            Some(job_call::Body::Cancel(id)) => self.cancel(now, from, number, &id, out),
            Some(job_call::Body::Wait(wait)) => self.table.when_ended(from, number, &wait.job),
            Some(job_call::Body::Get(id)) => Some(self.table.job_reply(&id)),
            Some(job_call::Body::Explain(id)) => Some(self.explain(&id)),
            Some(job_call::Body::List(organisation)) => Some(self.list(&organisation)),
            None => None,
        };
        if let Some(reply) = reply {
            let reply = JobReply { call: number, ..reply };
            out.send(from, frame::Body::JobReply(reply));
        }
    }

    /// Accepts a job, with a reply once it has been stored, or refuses it at once with the reason.
    /// A repeated submission, because a reply was lost or another entry was tried, finds the job of
    /// the first one.
    pub(super) fn submit(
        &mut self,
        now: Duration,
        from: &Peer,
        call: u64,
        mut job: Job,
        context: &Context<'_>,
    ) -> Option<JobReply> {
        if let Some(existing) = self.table.get(&job.id).cloned() {
            let is_same = existing.organisation == job.organisation
                && existing.shape == job.shape
                && existing.command == job.command;
            if !is_same {
                return Some(refused_reply("the idempotency key was used for another job", None));
            }
            return self.table.when_stored(from, call, &existing.id);
        }
        if let Err(error) = self.admit(&job, context, now) {
            return Some(refused_reply(&error.reason, error.retry_after));
        }
        job.submitted_unix_ms = millis(now);
        if job.deadline_unix_ms > 0 {
            job.deadline_unix_ms = job.deadline_unix_ms.saturating_add(millis(now));
        }
        job.set_state(JobState::JobWaiting);
        let id = job.id.clone();
        self.table.insert(job);
        self.needs_pass = true;
        self.table.when_stored(from, call, &id)
    }

    /// Checks whether the cell accepts a job.
    pub(super) fn admit(
        &self,
        job: &Job,
        context: &Context<'_>,
        now: Duration,
    ) -> Result<(), admission::Error> {
        let mut fleet = context.registry.fleet(now, &self.options.region, |_, _, _| false);
        self.bindings.mark_bound(&mut fleet);
        let options = admission::Options {
            rules: context.rules,
            fleet: &fleet,
            table: &self.table,
            max_jobs: self.options.max_jobs,
        };
        admission::admit(job, &options)
    }

    /// Replies with a job and, while it waits, the reason for that.
    pub(super) fn explain(&self, id: &str) -> JobReply {
        let mut reply = self.table.job_reply(id);
        for job in &mut reply.jobs {
            if let Some(why) = self.wait_reasons.get(&job.id).filter(|_| job.reason.is_empty()) {
                job.reason = why.clone();
            }
        }
        reply
    }

    /// Replies with the jobs of an organisation, or all jobs if the name is empty.
    pub(super) fn list(&self, organisation: &str) -> JobReply {
        let is_wanted = |job: &&Job| organisation.is_empty() || job.organisation == organisation;
        let jobs = self.table.values().filter(is_wanted).cloned().collect();
        JobReply { jobs, ..JobReply::default() }
    }

    /// Cancels a job. The reply is sent once the change has been stored.
    pub(super) fn cancel(
        &mut self,
        now: Duration,
        from: &Peer,
        call: u64,
        id: &str,
        out: &mut Output,
    ) -> Option<JobReply> {
        let Some(job) = self.table.get_mut(id) else { return Some(self.table.job_reply(id)) };
        match job.state() {
            JobState::JobWaiting => {
                job.cancel = true;
                let reason = cancel_reason(job.may_have_run);
                self.end_job(now, id, JobState::JobCancelled, reason, out);
            }
            JobState::JobStarting | JobState::JobRunning if !job.cancel => {
                job.cancel = true;
                let attempt = job.attempt.as_ref().map(|attempt| attempt.id.clone());
                self.mark_changed(id);
                if let Some(attempt) = attempt {
                    self.resolve(&attempt, "cancelled", out);
                }
            }
            _ => {}
        }
        self.table.when_stored(from, call, id)
    }

    /// Puts a job into a final state.
    pub(super) fn end_job(
        &mut self,
        now: Duration,
        id: &str,
        state: JobState,
        reason: &str,
        out: &mut Output,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        job.set_state(state);
        job.reason = reason.to_owned();
        job.ended_unix_ms = millis(now);
        out.log(LOG_PART, format!("job={id} state={} reason=\"{reason}\"", view::job_state(state)));
        self.wait_reasons.remove(id);
        self.backoff.end_delay(id);
        self.mark_changed(id);
        self.table.remove_ended();
        self.table.send_due_replies(out);
    }
}
