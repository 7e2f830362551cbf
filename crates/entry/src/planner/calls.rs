//! Callers' calls: jobs handed in, cancelled, listed and explained.

use std::time::Duration;

use sapphire_wire::{Job, JobCall, JobReply, JobState, Peer, frame, job_call};

use crate::{admission, effect::Output, view};

use super::{PART, Planner, Surroundings, cancelled, millis, refused};

impl Planner {
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
    pub(super) fn submit(
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

    pub(super) fn admit(
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

    pub(super) fn explain(&self, id: &str) -> JobReply {
        let mut reply = self.table.found(id);
        for job in &mut reply.jobs {
            if let Some(why) = self.why.get(&job.id).filter(|_| job.reason.is_empty()) {
                job.reason = why.clone();
            }
        }
        reply
    }

    pub(super) fn list(&self, organisation: &str) -> JobReply {
        let is_wanted = |job: &&Job| organisation.is_empty() || job.organisation == organisation;
        let jobs = self.table.values().filter(is_wanted).cloned().collect();
        JobReply { jobs, ..JobReply::default() }
    }

    pub(super) fn cancel(
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

    pub(super) fn end(
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
        out.log(PART, format!("job={id} state={} reason=\"{reason}\"", view::job_state(state)));
        self.why.remove(id);
        self.backoff.forget_job(id);
        self.touch(id);
        self.table.forget_ended();
        self.table.pay(out);
    }
}
