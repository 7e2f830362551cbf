//! Durations and amounts of work of a job, computed from its steps.

use std::time::Duration;

use sapphire_schema::jobs::{Job, Step};

use crate::resources::Resources;

/// Duration of the critical path: the longest chain of steps that depend on one another, given
/// the duration of each step.
pub fn critical_path(steps: &[Step], mut time: impl FnMut(&Step) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let predecessors = step.after.iter().filter_map(|index| ends.get(*index as usize));
        let start = predecessors.max().copied().unwrap_or_default();
        ends.push(start + time(step));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Run time that the caller declared for each task of a step.
pub fn declared(step: &Step) -> Duration {
    Duration::from_millis(step.estimate_ms)
}

/// Maximum objective of a job; a hundred years. Settings of queues are not bounded otherwise, and a
/// duration can't hold each multiple of another one.
const MAX_OBJECTIVE: Duration = Duration::from_secs(100 * 365 * 86_400);

/// A multiple of the duration of a critical path, and a time that is added to it.
pub fn scaled(critical_path: Duration, slack: f64, target_latency: Duration) -> Duration {
    let multiple = Duration::try_from_secs_f64(critical_path.as_secs_f64() * slack.max(0.0));
    multiple.unwrap_or(MAX_OBJECTIVE).saturating_add(target_latency).min(MAX_OBJECTIVE)
}

/// Time from a job's acceptance within which it is to complete, given the duration of its
/// critical path.
pub fn objective(job: &Job, critical_path: Duration) -> Duration {
    let slack = f64::from(job.slack_milli) / 1_000.0;
    scaled(critical_path, slack, Duration::from_millis(job.target_latency_ms))
}

/// Accelerators that the initial steps of a job take at the same time.
pub fn initial_accelerators(steps: &[Step]) -> u64 {
    let first = steps.iter().filter(|step| step.after.is_empty());
    let accelerators =
        |step: &Step| Resources::read(step.room.as_ref()).accelerators * u64::from(step.tasks);
    first.map(accelerators).sum()
}

/// Work of all tasks of a job in processor seconds, by the declared run times.
pub fn work(steps: &[Step]) -> f64 {
    let step_work = |step: &Step| {
        let resources = Resources::read(step.room.as_ref());
        resources.weight() * f64::from(step.tasks) * declared(step).as_secs_f64()
    };
    steps.iter().map(step_work).sum()
}
