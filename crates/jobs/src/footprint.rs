//! Memory that a planner keeps for accepted jobs, as it is reckoned for limits. Not below what is
//! taken: a test of the planner's process measures it.

use sapphire_schema::jobs::Step;

/// Bytes for a job, beside its record.
const JOB: u64 = 2_048;
/// Bytes for a step, beside its texts and lists.
const STEP: u64 = 256;
/// Bytes for a group of a due occurrence: a gang, or a task that is not part of one.
pub const GROUP: u64 = 512;
/// Bytes for a run, beside its group.
pub const RUN: u64 = 4_096;

/// Fraction of the memory for jobs that is left to their runs.
const RUNS_PART: u64 = 3;

/// Division of the memory that a planner has for accepted jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Bytes for jobs, without their runs.
    pub jobs: u64,
    /// Most runs at a time.
    pub runs: u64,
}

impl Budget {
    /// Divides `memory` bytes.
    pub fn new(memory: u64) -> Self {
        let runs = memory / RUNS_PART;
        Budget { jobs: memory - runs, runs: runs / RUN }
    }

    /// Returns the bytes that one job may take, so that others find room beside it.
    pub fn largest_job(&self) -> u64 {
        self.jobs / 8 * 7
    }

    /// Returns the most tasks that a job may have in one occurrence.
    pub fn largest_tasks(&self) -> u64 {
        self.largest_job().saturating_sub(RECORD_MARGIN) / GROUP
    }
}

/// Bytes that the record of a large job may take beside its groups.
const RECORD_MARGIN: u64 = 128 << 10;

/// Returns the bytes that are kept for a job whatever is due of it.
pub fn record(spec: &str, steps: &[Step]) -> u64 {
    let of_step = |step: &Step| {
        let texts = step.label.len() + step.near_rack.len() + step.image.len();
        STEP + (texts + step.after.len() * size_of::<u32>()) as u64
    };
    JOB + spec.len() as u64 + steps.iter().map(of_step).sum::<u64>()
}

/// Returns the number of groups of an occurrence.
pub fn groups(steps: &[Step]) -> u64 {
    steps.iter().map(|step| if step.is_gang { 1 } else { u64::from(step.tasks) }).sum()
}

/// Returns the bytes that are kept for an occurrence that is due.
pub fn occurrence(steps: &[Step]) -> u64 {
    groups(steps).saturating_mul(GROUP)
}
