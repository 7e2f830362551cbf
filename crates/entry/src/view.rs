//! JSON representation of jobs for callers and operators.

use sapphire_wire::{Adjacency, Job, JobState, Shape};
use serde_json::{Value, json};

/// Name of a job's state; for an ended job this is also its account.
pub fn job_state(state: JobState) -> &'static str {
    match state {
        JobState::JobWaiting => "waiting",
        JobState::JobStarting => "starting",
        JobState::JobRunning => "running",
        JobState::JobDone => "done",
        JobState::JobFailed => "failed",
        JobState::JobNotRun => "not-run",
        JobState::JobInterrupted => "interrupted",
        JobState::JobCancelled => "cancelled",
        JobState::JobUnknown => "unknown",
    }
}

/// Whether a job has reached a final state.
pub fn is_ended(state: JobState) -> bool {
    !matches!(state, JobState::JobWaiting | JobState::JobStarting | JobState::JobRunning)
}

fn adjacency(shape: &Shape) -> &'static str {
    match shape.adjacency() {
        Adjacency::Zone => "zone",
        Adjacency::Rack => "rack",
        Adjacency::Worker => "worker",
    }
}

/// JSON of one job.
pub fn job(job: &Job) -> Value {
    let shape = job.shape.unwrap_or_default();
    let attempt = job.attempt.as_ref();
    let agent_names: Vec<_> = attempt
        .map(|attempt| {
            let agents = attempt.placements.iter().filter_map(|p| p.agent.as_ref());
            agents.map(|agent| agent.name.clone()).collect()
        })
        .unwrap_or_default();
    json!({
        "id": job.id,
        "state": job_state(job.state()),
        "is_ended": is_ended(job.state()),
        "reason": job.reason,
        "organisation": job.organisation,
        "shape": {
            "accelerators": shape.accelerators,
            "tasks": shape.tasks,
            "adjacency": adjacency(&shape),
            "processors": shape.processors,
            "memory_bytes": shape.memory_bytes,
        },
        "urgent": job.urgent,
        "idempotent": job.idempotent,
        "attempt": attempt.map(|attempt| attempt.id.clone()),
        "guaranteed": attempt.is_some_and(|attempt| attempt.guaranteed),
        "agents": agent_names,
        "attempts": job.attempts,
        "exit_code": job.exit_code,
        "submitted_unix_ms": job.submitted_unix_ms,
        "started_unix_ms": job.started_unix_ms,
        "ended_unix_ms": job.ended_unix_ms,
    })
}
