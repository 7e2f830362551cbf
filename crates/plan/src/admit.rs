//! Admission control: which jobs are rejected when they are submitted.
//!
//! Jobs are rejected during an overload of minutes, and when no worker is large enough for them. If
//! such a job were accepted, it would wait until its result is of no use any more, while its caller
//! learns nothing and can't submit it elsewhere. So it is rejected at once, with the time after
//! which a retry may succeed. A short burst causes no rejections, since the jobs that queue up in
//! it can still complete in time to be of use.

use std::time::Duration;

use sapphire_jobs::resources::Resources;

/// A job that takes longer than this many times its objective is of no use to its caller, as in
/// `rank`.
const USEFUL_OBJECTIVES: u32 = 3;
/// Shortest time after which a caller is told to retry. Backlogs are known to within half a second.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to retry. What is known of the load is out of date
/// after that.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time after which a caller may retry a job that is too large for all workers. A larger worker may
/// join, but seldom sooner than a machine takes to boot.
const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A job that is submitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Resources that one task of each step needs.
    pub task_resources: Vec<Resources>,
    /// Priority. 0 is never rejected because of the load, since it goes before all others.
    pub priority: u32,
    /// Completion objective, computed from the declared run times.
    pub objective: Duration,
    /// Accelerators that the initial steps take at the same time, for the guarantee.
    pub accelerators: u64,
}

/// What is known of the workers that would run the job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Largest amount of each resource that any one of them has.
    pub largest: Resources,
    /// Time that they need for all work that goes before the job.
    pub drain: Duration,
    /// What is known of the job's organisation if it is above its share while others compete.
    pub above_share: Option<AboveShare>,
}

/// Open work of an organisation that is above its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AboveShare {
    /// Time that all workers need for the organisation's work that goes before the job.
    pub drain: Duration,
    /// Share of the workers that the organisation is served at; above 0.
    pub share: f64,
    /// Accelerators of the organisation's guarantee that are not in use.
    pub guarantee_left: u64,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is accepted.
    Accept,
    /// The job is rejected: one of its tasks is too large for every worker.
    TooLarge {
        /// Time after which the caller may retry.
        after: Duration,
    },
    /// The job is rejected: it would complete too late to be of use.
    Full {
        /// Time after which the caller may retry.
        after: Duration,
    },
    /// The job is rejected: its organisation is above its share, and its own backlog would make the
    /// job complete too late to be of use.
    AboveShare {
        /// Time after which the caller may retry.
        after: Duration,
    },
}

/// Returns the time by which the backlog of an organisation above its share makes a job too late to
/// be of use; `None` if it does not.
///
/// An urgent job may be given any workers, so that it is too late only if all workers together need
/// too long for the urgent work of its organisation.
fn excess(job: &Job, above: &AboveShare, useful_time: Duration) -> Option<Duration> {
    let is_guaranteed = job.priority == 0 && job.accelerators <= above.guarantee_left;
    let share = if job.priority == 0 { 1.0 } else { above.share };
    let drain = above.drain.div_f64(share);
    (drain > useful_time && !is_guaranteed).then(|| drain - useful_time)
}

/// Decides whether a job is accepted. If nothing is known of the workers, it is.
pub fn admit(job: &Job, supply: Option<&Supply>) -> Outcome {
    let Some(supply) = supply else { return Outcome::Accept };
    if job.task_resources.iter().any(|task| supply.largest.count_fitting(*task) == 0) {
        return Outcome::TooLarge { after: TOO_LARGE_RETRY_AFTER };
    }
    let useful_time = job.objective * USEFUL_OBJECTIVES;
    let excess = supply.above_share.as_ref().and_then(|above| excess(job, above, useful_time));
    if let Some(excess) = excess {
        // Other organisations' work goes first as well.
        let others = if job.priority == 0 { Duration::ZERO } else { supply.drain };
        let excess = excess.max(others.saturating_sub(useful_time));
        return Outcome::AboveShare { after: excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) };
    }
    if job.priority == 0 || supply.drain <= useful_time {
        return Outcome::Accept;
    }
    Outcome::Full { after: (supply.drain - useful_time).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}
