//! How long a job takes at best, and how much work it is.

use std::time::Duration;

use sapphire_schema::jobs::{Job, Step};

use crate::room::Room;

/// The longest chain of steps that wait for one another, given how long each step takes.
pub fn chain(steps: &[Step], mut time: impl FnMut(&Step) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let earlier = step.after.iter().filter_map(|index| ends.get(*index as usize));
        let start = earlier.max().copied().unwrap_or_default();
        ends.push(start + time(step));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Declared run time of a step's tasks.
pub fn declared(step: &Step) -> Duration {
    Duration::from_millis(step.estimate_ms)
}

/// Time within which a job's caller wants it to be complete, from its acceptance.
pub fn objective(job: &Job, chain: Duration) -> Duration {
    let slack = f64::from(job.slack_milli) / 1_000.0;
    chain.mul_f64(slack) + Duration::from_millis(job.target_latency_ms)
}

/// Work of a whole job in processor seconds, as declared.
pub fn work(steps: &[Step]) -> f64 {
    let of = |step: &Step| {
        let room = Room::read(step.room.as_ref());
        room.weight() * f64::from(step.tasks) * declared(step).as_secs_f64()
    };
    steps.iter().map(of).sum()
}
