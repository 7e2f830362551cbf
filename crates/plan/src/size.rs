//! Sizes of jobs in accelerators.

use sapphire_wire::Job;

/// Number of accelerators that all tasks of a job's gang need together.
pub fn accelerators(job: &Job) -> u32 {
    job.shape.as_ref().map_or(0, |shape| shape.accelerators.saturating_mul(shape.tasks))
}
