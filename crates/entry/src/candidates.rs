//! What a scheduling pass is given: jobs that may start, gangs that run, jobs without hope.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{estimate::Estimates, pass, place};
use sapphire_rules::file;
use sapphire_wire::{Job, JobState, id};

use crate::{attempt::Attempt, backoff::Backoff, job_table::JobTable};

/// Waiting jobs that may start: kept by the store, and not refused a moment ago. While the store
/// is out one that may repeat may start again unrecorded.
pub fn waiting<'a>(
    now: Duration,
    table: &'a JobTable,
    backoff: &Backoff,
    estimates: &Estimates,
) -> Vec<pass::Waiting<'a>> {
    let may_start = |job: &&Job| {
        let may_repeat = table.is_failing() && job.idempotent && job.attempt.is_some();
        (table.is_kept(&job.id) || may_repeat) && !backoff.is_delayed(&job.id)
    };
    let waiting = table.values().filter(|job| job.state() == JobState::JobWaiting);
    let waiting = waiting.filter(may_start).map(|job| pass::Waiting {
        job,
        waited: now.saturating_sub(Duration::from_millis(job.submitted_unix_ms)),
        expected: estimates.expect(job),
    });
    waiting.collect()
}

/// Gangs that run or are about to.
pub fn running(
    now: Duration,
    table: &JobTable,
    attempts: &BTreeMap<id::Attempt, Attempt>,
    estimates: &Estimates,
) -> Vec<pass::Running> {
    let running = attempts.values().filter_map(|attempt| {
        let job = table.get(&attempt.job)?;
        let seats = attempt.seats.values().filter(|seat| seat.settled.is_none());
        let seats = seats.map(|seat| place::Assignment {
            worker: seat.worker.clone(),
            tasks: seat.placement.tasks,
        });
        Some(pass::Running {
            organisation: job.organisation.clone(),
            shape: job.shape.unwrap_or_default(),
            assignments: seats.collect(),
            is_guaranteed: attempt.is_guaranteed,
            remaining: Estimates::remaining(estimates.expect(job), ran(now, job)),
        })
    });
    running.collect()
}

/// How long a job has run in its present attempt.
pub fn ran(now: Duration, job: &Job) -> Duration {
    match job.state() {
        JobState::JobRunning => now.saturating_sub(Duration::from_millis(job.started_unix_ms)),
        _ => Duration::ZERO,
    }
}

/// Why a waiting job may not be tried any more, if so.
pub fn hopeless(now: Duration, job: &Job, rules: &file::File) -> Option<(JobState, String)> {
    if job.deadline_unix_ms > 0 && now >= Duration::from_millis(job.deadline_unix_ms) {
        let (state, reason) = match (job.may_have_run, job.started_unix_ms) {
            (false, _) => (JobState::JobNotRun, "its deadline passed before it ran"),
            (true, 0) => (JobState::JobUnknown, "its deadline passed; it may have run"),
            _ => (JobState::JobInterrupted, "its deadline passed before it ran whole"),
        };
        return Some((state, reason.to_owned()));
    }
    let limit = rules.attempts(&job.organisation);
    let has_failed = job.exit_code != 0;
    let state = if has_failed { JobState::JobFailed } else { JobState::JobInterrupted };
    (job.attempts >= limit).then(|| (state, format!("{limit} attempts were made")))
}
