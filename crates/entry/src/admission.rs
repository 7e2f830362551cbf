//! Whether a cell accepts a job.

use std::time::Duration;

use sapphire_plan::{fleet, place, size};
use sapphire_rules::file;
use sapphire_wire::{Job, JobState};

use crate::{job_table::JobTable, view};

/// When a caller refused for a full queue, or a store that is out, may come back.
pub const RETRY: Duration = Duration::from_secs(5);

/// What admission looks at.
pub struct Options<'a> {
    /// Rules in force.
    pub rules: &'a file::File,
    /// All workers of the cell, with what is bound and nothing taken.
    pub fleet: &'a fleet::Fleet,
    /// Jobs of the cell.
    pub table: &'a JobTable,
    /// Jobs that the cell may hold, ended ones left out.
    pub max_jobs: usize,
}

/// Why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Reason in words.
    pub reason: String,
    /// When to come back, where that helps.
    pub retry: Option<Duration>,
}

fn never(reason: impl Into<String>) -> Error {
    Error { reason: reason.into(), retry: None }
}

fn later(reason: impl Into<String>) -> Error {
    Error { reason: reason.into(), retry: Some(RETRY) }
}

/// Accepts a job, or says why not.
///
/// # Errors
/// When its organisation is not in the rules, it can never run here, or there is no place for it
/// now.
pub fn admit(job: &Job, options: &Options<'_>) -> Result<(), Error> {
    let name = &job.organisation;
    if options.rules.organisation(name).is_none() {
        return Err(never(format!("organisation `{name}` is not in the rules")));
    }
    if options.table.is_failing() {
        return Err(later("the store does not answer, so the job can't be kept"));
    }
    check_size(job, options)?;
    let is_waiting = |job: &&Job| job.state() == JobState::JobWaiting;
    let waiting = options.table.values().filter(is_waiting);
    let own = waiting.filter(|other| other.organisation == *name).count();
    let limit = options.rules.queue(name) as usize;
    if own >= limit {
        return Err(later(format!("{own} jobs of `{name}` wait; the limit is {limit}")));
    }
    let live = options.table.values().filter(|job| !view::is_ended(job.state())).count();
    if live >= options.max_jobs {
        return Err(later("the cell holds as many jobs as it may"));
    }
    Ok(())
}

fn check_size(job: &Job, options: &Options<'_>) -> Result<(), Error> {
    let shape = job.shape.unwrap_or_default();
    if !options.fleet.could_hold(&shape) {
        let reason = "no set of workers here can ever hold this shape";
        let knows_none = options.fleet.workers.is_empty();
        return Err(if knows_none { later(reason) } else { never(reason) });
    }
    let quota = options.rules.quota(&job.organisation).unwrap_or(u32::MAX);
    let guaranteed = place::Options::guaranteed(&job.organisation, &shape);
    let is_guaranteed = || place::place(options.fleet, &guaranteed).is_some();
    if size::accelerators(job) > quota && !is_guaranteed() {
        let reason = format!("larger than its organisation's guarantee and quota of {quota}");
        return Err(never(reason));
    }
    Ok(())
}
