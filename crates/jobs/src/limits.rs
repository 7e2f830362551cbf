//! Limits that each accepted job keeps. Without them, sums of run times could overflow and the tasks
//! could exceed the memory.

use std::time::Duration;

use sapphire_schema::jobs::{Schedule, Step};

use crate::length;

/// Longest specification of a job's work, in bytes.
const MAX_SPEC_BYTES: usize = 64 << 10;
/// Most tasks of one job, and most tasks of a repeated job that are due at once.
const MAX_TASKS: u64 = 100_000;
/// Longest declared run time of a task: ten years, so that sums of run times don't overflow.
const MAX_ESTIMATE: Duration = Duration::from_secs(10 * 365 * 86_400);

/// First error in a job that was submitted at a Unix time, if any.
pub fn fault(
    spec: &str,
    steps: &[Step],
    schedule: Option<&Schedule>,
    submitted: Duration,
) -> Option<String> {
    if spec.len() > MAX_SPEC_BYTES {
        return Some(format!("spec is longer than {MAX_SPEC_BYTES} bytes"));
    }
    if steps.is_empty() {
        return Some("steps: at least one is needed".to_owned());
    }
    let tasks: u64 = steps.iter().map(|step| u64::from(step.tasks)).sum();
    if tasks > MAX_TASKS {
        return Some(format!("steps: more than {MAX_TASKS} tasks"));
    }
    let at_once = schedule.map_or(1, |schedule| due_at_once(schedule, submitted));
    if tasks.saturating_mul(at_once) > MAX_TASKS {
        return Some(format!("repeat_count: more than {MAX_TASKS} tasks are due at once"));
    }
    steps.iter().enumerate().find_map(|(index, step)| step_fault(index, step))
}

/// Number of occurrences that are due at the same time as the first, or are due already.
fn due_at_once(schedule: &Schedule, submitted: Duration) -> u64 {
    let submitted_ms = u64::try_from(submitted.as_millis()).unwrap_or(u64::MAX);
    let all = u64::from(schedule.times);
    let late_ms = submitted_ms.saturating_sub(schedule.first_ms);
    late_ms
        .checked_div(schedule.interval_ms)
        .map_or(all, |missed| all.min(missed.saturating_add(1)))
}

fn step_fault(index: usize, step: &Step) -> Option<String> {
    if step.tasks == 0 {
        return Some(format!("steps[{index}]: at least one task is needed"));
    }
    if length::declared(step) > MAX_ESTIMATE {
        return Some(format!("steps[{index}]: estimate_ms is above ten years"));
    }
    let is_earlier = |other: &u32| (*other as usize) < index;
    let invalid = step.after.iter().find(|other| !is_earlier(other))?;
    Some(format!("steps[{index}]: waits for step {invalid}, which is not an earlier one"))
}
