//! Adds jobs and cancellations to the job table.

use std::{sync::Arc, time::Duration};

use prost::Message as _;
use sapphire_jobs::{Job, State, Step, limits, resources::Resources};
use sapphire_store::call::Revision;

use crate::{event::Moment, planner::Planner, table::Entry, worker::Cause};

impl Planner {
    /// Accepts a job of which an entry has notified the planner. Entries send a notice as soon as
    /// the job is written to the store, and send it again to the next planner.
    pub(crate) fn accept_notified(&mut self, now: Moment, job: Job) {
        let is_new = job.term == self.term;
        let submitted = if is_new { now.steady } else { submission_time(now, &job) };
        self.accept(now, job, submitted);
    }

    /// Accepts a job from its record, which an entry wrote in this term or an earlier one.
    pub(crate) fn accept(&mut self, now: Moment, job: Job, submitted: Duration) {
        let id = job.id.clone();
        let is_inherited = job.term < self.term;
        let entry = Entry::new(Arc::new(job), is_inherited, submitted);
        if !self.table.insert(entry) {
            return;
        }
        let due = self.table.add_occurrences_of(now, vec![id.clone()]);
        self.log_held(&due);
        self.needs_pass = true;
        self.update_step_capacity(&id);
        self.observe_arrival(now, &id);
        self.log_accepted(&id);
        if let Some(tombstone) = self.tombstones.by_job.remove(&id) {
            self.cancel(now, &id, tombstone.revision);
        }
    }

    /// Logs an accepted job.
    fn log_accepted(&mut self, id: &str) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let steps: Vec<String> = entry.job.steps.iter().map(describe).collect();
        let (settings, objective) = (self.queue_settings(entry), self.objective(entry).as_millis());
        let text = format!(
            "job={id} queue={} organisation={} priority={} objective_ms={objective} steps=[{}]",
            entry.job.queue,
            entry.job.organisation,
            settings.priority,
            steps.join(" ")
        );
        self.log(text);
    }

    /// Cancels a job, given the revision of the record of its cancellation, or 0 if that was not read. A
    /// job that is not known yet is cancelled as soon as it is accepted.
    pub(crate) fn cancel(&mut self, now: Moment, id: &str, revision: Revision) {
        let Some(entry) = self.table.entries.get_mut(id) else {
            self.tombstones.add(now.steady, id, revision);
            return;
        };
        if entry.is_over() {
            return;
        }
        entry.state = State::Cancelled;
        entry.ended = Some(now.steady);
        entry.dirty = None;
        self.table.open.remove(id);
        self.table.report_state(id, State::Cancelled);
        self.stop_job(now.steady, id, &Cause::Cancelled);
        self.table.drop_groups(now.steady, id);
        self.needs_pass = true;
        self.log(format!("job={id} cancelled"));
    }
}

/// Decodes the record of a job.
///
/// Guards against a record that no entry has written: it could name more tasks than the memory holds,
/// steps that wait for themselves, or run times whose sum overflows.
///
/// # Errors
/// The value is no record, or is that of another job, or exceeds the limits of a job.
pub(crate) fn read_record(id: &str, value: &[u8]) -> Result<Job, String> {
    let job = Job::decode(value).map_err(|error| error.to_string())?;
    if job.id != id {
        return Err("it is the record of another job".to_owned());
    }
    let accepted = Duration::from_millis(job.accepted_ms);
    match limits::fault(&job.spec, &job.steps, job.schedule.as_ref(), accepted) {
        Some(fault) => Err(fault),
        None => Ok(job),
    }
}

/// Converts the submission time in a job's record to a time of the steady clock.
///
/// Wall clocks differ between machines and may jump, so this is used only for jobs whose submission
/// time is not known otherwise.
pub(crate) fn submission_time(now: Moment, job: &Job) -> Duration {
    let age = now.unix.saturating_sub(Duration::from_millis(job.accepted_ms));
    now.steady.saturating_sub(age)
}

/// Describes a step in one word for the log: number of tasks, resources of each, declared run time
/// and requirements.
fn describe(step: &Step) -> String {
    let resources = Resources::read(step.room.as_ref());
    let mut text = format!(
        "{}x{}m/{}MiB/{}a/{}ms",
        step.tasks,
        resources.millicores,
        resources.memory_mib,
        resources.accelerators,
        step.estimate_ms
    );
    let flags = [
        (step.is_gang, "gang"),
        (step.wants_one_rack, "one-rack"),
        (step.checkpoints, "saves"),
        (step.is_long_running, "lasts"),
        (step.allows_copies, "copies"),
        (step.is_filler, "fills"),
    ];
    for (_, flag) in flags.iter().filter(|(is_set, _)| *is_set) {
        text.push(',');
        text.push_str(flag);
    }
    for (name, value) in [("label", &step.label), ("near", &step.near_rack)] {
        if !value.is_empty() {
            text.push_str(&format!(",{name}={value}"));
        }
    }
    for (name, value) in [("per-worker", step.per_worker), ("away", step.max_unavailable)] {
        if value > 0 {
            text.push_str(&format!(",{name}={value}"));
        }
    }
    if !step.after.is_empty() {
        text.push_str(&format!(",after={:?}", step.after));
    }
    text
}
