//! What agents report of gangs.

use std::time::Duration;

use sapphire_wire::{GangState, JobState, Peer, Report};

use crate::{attempt::Phase, candidates, effect::Output, view};

use super::{PART, Planner, cancelled, millis};

impl Planner {
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

    pub(super) fn report_known(&mut self, now: Duration, report: &Report, out: &mut Output) {
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
    pub(super) fn unknown_report(
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
    pub(super) fn found_again(
        &mut self,
        now: Duration,
        id: &str,
        report: &Report,
        out: &mut Output,
    ) {
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

    pub(super) fn done_elsewhere(
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
        self.end(now, id, JobState::JobDone, "", out);
    }

    pub(super) fn acknowledge(&self, from: &Peer, attempt: &str, out: &mut Output) {
        let job = attempt.split('/').next().unwrap_or_default();
        if self.table.is_kept(job) {
            self.send_bar(attempt, Some(from), out);
        }
    }

    pub(super) fn note_running(
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
            out.log(PART, format!("job={id} state=running attempt={attempt}"));
            self.touch(id);
            self.why.remove(id);
        }
    }

    pub(super) fn failed(&mut self, now: Duration, id: &str, report: &Report, out: &mut Output) {
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
}
