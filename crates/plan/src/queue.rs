//! Order of waiting jobs, and what an organisation may still start.

use std::collections::BTreeMap;

use sapphire_rules::file;
use sapphire_wire::{Job, JobState, id};

/// Sorts waiting jobs: urgent first, then by the organisation's priority, then by arrival.
pub fn order<'a>(jobs: impl Iterator<Item = &'a Job>, rules: &file::File) -> Vec<&'a Job> {
    let mut waiting: Vec<&Job> = jobs.filter(|job| job.state() == JobState::JobWaiting).collect();
    let priority = |job: &Job| rules.organisation(&job.organisation).map_or(0, |o| o.priority);
    waiting.sort_by_key(|job| {
        (!job.urgent, std::cmp::Reverse(priority(job)), job.submitted_unix_ms, job.id.clone())
    });
    waiting
}

/// Accelerators of a whole gang.
pub fn accelerators(job: &Job) -> u32 {
    job.shape.as_ref().map_or(0, |shape| shape.accelerators.saturating_mul(shape.tasks))
}

/// Accelerators that each organisation borrows, from its live gangs.
pub fn borrowed<'a>(jobs: impl Iterator<Item = &'a Job>) -> BTreeMap<id::Organisation, u32> {
    let mut borrowed = BTreeMap::new();
    for job in jobs {
        let is_live = matches!(job.state(), JobState::JobStarting | JobState::JobRunning);
        let borrows = job.attempt.as_ref().is_some_and(|attempt| !attempt.guaranteed);
        if is_live && borrows {
            *borrowed.entry(job.organisation.clone()).or_default() += accelerators(job);
        }
    }
    borrowed
}
