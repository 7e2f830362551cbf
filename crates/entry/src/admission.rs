//! Decides whether a cell accepts a job.

use std::time::Duration;

use sapphire_plan::{fleet, place, size};
use sapphire_rules::file;
use sapphire_wire::{Job, JobState};

use crate::{job_table::JobTable, view};

/// Time after which a caller may retry that was refused for a temporary reason: the store is
/// unavailable, a limit on the number of jobs is reached, or no worker is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Data that admission is based on.
pub struct Options<'a> {
    /// Rules in force.
    pub rules: &'a file::File,
    /// All workers of the cell, with bound accelerators marked and no resources in use.
    pub fleet: &'a fleet::Fleet,
    /// Jobs of the cell.
    pub table: &'a JobTable,
    /// Maximum number of jobs in the cell that have not ended.
    pub max_jobs: usize,
}

/// Why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Reason as text.
    pub reason: String,
    /// Time after which a retry may succeed, if it ever can.
    pub retry_after: Option<Duration>,
}

/// A refusal that a retry can't change.
fn permanent(reason: impl Into<String>) -> Error {
    Error { reason: reason.into(), retry_after: None }
}

/// A refusal after which a retry may succeed.
fn temporary(reason: impl Into<String>) -> Error {
    Error { reason: reason.into(), retry_after: Some(RETRY_AFTER) }
}

/// Checks whether a job is accepted.
///
/// # Errors
/// When its organisation is not in the rules, the job can never run here, or a limit is reached
/// now.
pub fn admit(job: &Job, options: &Options<'_>) -> Result<(), Error> {
    let name = &job.organisation;
    if options.rules.organisation(name).is_none() {
        return Err(permanent(format!("organisation `{name}` is not in the rules")));
    }
    if options.table.is_failing() {
        return Err(temporary("the store does not answer, so the job can't be kept"));
    }
    check_size(job, options)?;
    let is_waiting = |job: &&Job| job.state() == JobState::JobWaiting;
    let waiting = options.table.values().filter(is_waiting);
    let own = waiting.filter(|other| other.organisation == *name).count();
    let limit = options.rules.queue(name) as usize;
    if own >= limit {
        return Err(temporary(format!("{own} jobs of `{name}` wait; the limit is {limit}")));
    }
    let live = options.table.values().filter(|job| !view::is_ended(job.state())).count();
    if live >= options.max_jobs {
        return Err(temporary("the cell holds as many jobs as it may"));
    }
    Ok(())
}

/// Checks whether the cell can ever run a job of this shape for its organisation.
fn check_size(job: &Job, options: &Options<'_>) -> Result<(), Error> {
    let shape = job.shape.unwrap_or_default();
    if !options.fleet.could_hold(&shape) {
        let reason = "no set of workers here can ever hold this shape";
        let has_no_workers = options.fleet.workers.is_empty();
        return Err(if has_no_workers { temporary(reason) } else { permanent(reason) });
    }
    let quota = options.rules.quota(&job.organisation).unwrap_or(u32::MAX);
    let guaranteed = place::Options::guaranteed(&job.organisation, &shape);
    let is_guaranteed = || place::place(options.fleet, &guaranteed).is_some();
    if size::accelerators(job) > quota && !is_guaranteed() {
        let reason = format!("larger than its organisation's guarantee and quota of {quota}");
        return Err(permanent(reason));
    }
    Ok(())
}
