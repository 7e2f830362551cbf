//! Sizes of jobs.

use sapphire_wire::Job;

/// Accelerators of a whole gang.
pub fn accelerators(job: &Job) -> u32 {
    job.shape.as_ref().map_or(0, |shape| shape.accelerators.saturating_mul(shape.tasks))
}
