//! Input of a scheduling pass: jobs that may start, gangs that run, and jobs that can't be tried
//! again.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{estimate::Estimates, pass, place};
use sapphire_rules::file;
use sapphire_wire::{Job, JobState, id};

use crate::{attempt::Attempt, backoff::Backoff, job_table::JobTable};

/// Waiting jobs that may start: those that are stored and not delayed after a refusal. While the
/// store is unavailable, an idempotent job that has been tried before may start again without a
/// record.
pub fn waiting<'a>(
    now: Duration,
    table: &'a JobTable,
    backoff: &Backoff,
    estimates: &Estimates,
) -> Vec<pass::Waiting<'a>> {
    let may_start = |job: &&Job| {
        let may_repeat = table.is_failing() && job.idempotent && job.attempt.is_some();
        (table.is_stored(&job.id) || may_repeat) && !backoff.is_delayed(&job.id)
    };
    let waiting = table.values().filter(|job| job.state() == JobState::JobWaiting);
    let waiting = waiting.filter(may_start).map(|job| pass::Waiting {
        job,
        waited: now.saturating_sub(Duration::from_millis(job.submitted_unix_ms)),
        expected: estimates.expect(job),
    });
    waiting.collect()
}

/// Gangs that run or are about to start.
pub fn running(
    now: Duration,
    table: &JobTable,
    attempts: &BTreeMap<id::Attempt, Attempt>,
    estimates: &Estimates,
) -> Vec<pass::Running> {
    let running = attempts.values().filter_map(|attempt| {
        let job = table.get(&attempt.job)?;
        let assignments =
            attempt.assignments.values().filter(|assignment| assignment.final_state.is_none());
        let assignments = assignments.map(|assignment| place::Assignment {
            worker: assignment.worker.clone(),
            tasks: assignment.placement.tasks,
        });
        Some(pass::Running {
            organisation: job.organisation.clone(),
            shape: job.shape.unwrap_or_default(),
            assignments: assignments.collect(),
            is_guaranteed: attempt.is_guaranteed,
            remaining: Estimates::remaining(estimates.expect(job), run_time(now, job)),
        })
    });
    running.collect()
}

/// How long a job has been running in its current attempt.
pub fn run_time(now: Duration, job: &Job) -> Duration {
    match job.state() {
        JobState::JobRunning => now.saturating_sub(Duration::from_millis(job.started_unix_ms)),
        _ => Duration::ZERO,
    }
}

/// Final state and reason of a waiting job that can't be tried any more, since its deadline has
/// passed or its attempts are used up.
pub fn ending(now: Duration, job: &Job, rules: &file::File) -> Option<(JobState, String)> {
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
