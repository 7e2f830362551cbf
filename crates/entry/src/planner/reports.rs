//! Reports of coordinators on their gangs.

use std::time::Duration;

use sapphire_wire::{GangState, JobState, Peer, Report};

use crate::{attempt::Phase, candidates, effect::Output, view};

use super::{LOG_PART, Planner, cancel_reason, millis};

impl Planner {
    /// Handles a coordinator's report. The attempt is invalidated, upon which the coordinator
    /// forgets it, only after the outcome has been stored: until then the coordinator's memory is
    /// the only record.
    pub fn handle_report(&mut self, now: Duration, from: &Peer, report: &Report, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&report.attempt) else {
            self.report_unknown_attempt(now, from, report, out);
            return;
        };
        if attempt.phase != Phase::Resolving || report.state() != GangState::GangRunning {
            self.apply_report(now, report, out);
        }
    }

    /// Updates an attempt and its job according to a coordinator's report.
    pub(super) fn apply_report(&mut self, now: Duration, report: &Report, out: &mut Output) {
        let Some(attempt) = self.attempts.get_mut(&report.attempt) else { return };
        let job = attempt.job.clone();
        match report.state() {
            GangState::GangRunning => {
                let is_first = !matches!(attempt.phase, Phase::Running { .. });
                attempt.phase = Phase::Running { last_report: now };
                attempt.may_have_started = true;
                if is_first {
                    self.mark_running(now, &job, &report.attempt, out);
                }
            }
            GangState::GangDone => {
                if let Some(attempt) = self.attempts.remove(&report.attempt) {
                    self.backoff.job_succeeded(
                        attempt.assignments.values().map(|assignment| &assignment.worker),
                    );
                }
                if let Some(job) = self.table.get(&job) {
                    self.estimates.observe(job, candidates::run_time(now, job));
                }
                self.end_job(now, &job, JobState::JobDone, "", out);
            }
            GangState::GangFailed | GangState::GangStopped => {
                self.handle_gang_failure(now, &report.attempt, report, out);
            }
        }
    }

    /// Handles a report on an attempt that is not in progress here: its end is already known, or an
    /// earlier planner started it while the store was unavailable.
    pub(super) fn report_unknown_attempt(
        &mut self,
        now: Duration,
        from: &Peer,
        report: &Report,
        out: &mut Output,
    ) {
        let id = report.attempt.split('/').next().unwrap_or_default().to_owned();
        let Some(job) = self.table.get_mut(&id) else {
            self.acknowledge(from, &report.attempt, out);
            return;
        };
        let is_last = job.attempt.as_ref().is_some_and(|last| last.id == report.attempt);
        if job.state() == JobState::JobUnknown && is_last {
            self.resume_reported(now, &id, report, out);
            return;
        }
        if job.idempotent && !view::is_ended(job.state()) {
            job.may_have_run = true;
            if report.state() == GangState::GangDone {
                self.invalidate_attempts(&id, out);
                self.end_done_by_earlier_planner(now, &id, &report.attempt, out);
            }
        }
        self.acknowledge(from, &report.attempt, out);
    }

    /// Handles a coordinator's report on a job whose outcome was unknown: the job takes the
    /// reported state.
    pub(super) fn resume_reported(
        &mut self,
        now: Duration,
        id: &str,
        report: &Report,
        out: &mut Output,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        let recorded = job.attempt.clone().unwrap_or_default();
        out.log(LOG_PART, format!("job={id} reported again attempt={}", recorded.id));
        job.set_state(JobState::JobRunning);
        job.reason.clear();
        job.ended_unix_ms = 0;
        self.mark_changed(id);
        self.adopt_attempt(now, id, &recorded);
        self.apply_report(now, report, out);
    }

    /// Ends a job that was completed by an attempt of an earlier planner.
    pub(super) fn end_done_by_earlier_planner(
        &mut self,
        now: Duration,
        id: &str,
        attempt: &str,
        out: &mut Output,
    ) {
        if let Some(job) = self.table.get_mut(id) {
            let id = attempt.to_owned();
            job.attempt = Some(sapphire_wire::Attempt { id, ..Default::default() });
        }
        self.end_job(now, id, JobState::JobDone, "", out);
    }

    /// Allows a coordinator to forget an attempt once its job has been stored.
    pub(super) fn acknowledge(&self, from: &Peer, attempt: &str, out: &mut Output) {
        let job = attempt.split('/').next().unwrap_or_default();
        if self.table.is_stored(job) {
            self.send_invalidation(attempt, Some(from), out);
        }
    }

    /// Records that a job's gang has started.
    pub(super) fn mark_running(
        &mut self,
        now: Duration,
        id: &str,
        attempt: &str,
        out: &mut Output,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        if job.state() != JobState::JobRunning {
            job.set_state(JobState::JobRunning);
            job.may_have_run = true;
            job.started_unix_ms = millis(now);
            out.log(LOG_PART, format!("job={id} state=running attempt={attempt}"));
            self.mark_changed(id);
            self.wait_reasons.remove(id);
        }
    }

    /// Handles the end of a gang that did not complete.
    pub(super) fn handle_gang_failure(
        &mut self,
        now: Duration,
        id: &str,
        report: &Report,
        out: &mut Output,
    ) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let Some(job) = self.table.get_mut(&attempt.job) else { return };
        job.exit_code = report.exit_code;
        job.may_have_run = true;
        let is_failure = report.state() == GangState::GangFailed;
        out.log(
            LOG_PART,
            format!(
                "attempt={id} ended failed={is_failure} evicted={} reason=\"{}\"",
                report.evicted, report.reason
            ),
        );
        let (is_cancelled, is_idempotent) = (job.cancel, job.idempotent);
        if is_failure {
            self.record_task_failure(now, &attempt, &report.culprit, out);
        } else if let Some(assignment) = attempt.assignments.get(&report.culprit) {
            self.backoff.task_lost(now, &assignment.worker);
        }
        if is_cancelled {
            self.end_job(now, &attempt.job, JobState::JobCancelled, cancel_reason(true), out);
        } else if is_idempotent {
            self.requeue(now, &attempt.job, &report.reason, !report.evicted);
        } else {
            let state = if is_failure { JobState::JobFailed } else { JobState::JobInterrupted };
            self.end_job(now, &attempt.job, state, &report.reason, out);
        }
    }
}
