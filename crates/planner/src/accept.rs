//! Jobs and cancellations as they come to the table.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::{Job, State, Step, resources::Resources};

use crate::{event::Moment, planner::Planner, table::Entry, worker::Cause};

impl Planner {
    /// Takes a job from an entry, which tells of what it writes at once, or again to the next
    /// planner.
    pub(crate) fn told(&mut self, now: Moment, job: Job) {
        let is_new = job.term == self.term;
        let handed_in = if is_new { now.steady } else { handed_in(now, &job) };
        self.accept(now, job, handed_in);
    }

    /// Takes a job from its record, written by an entry in this term or an earlier one.
    pub(crate) fn accept(&mut self, now: Moment, job: Job, handed_in: Duration) {
        let id = job.id.clone();
        let is_inherited = job.term < self.term;
        let mut entry = Entry::new(Arc::new(job), is_inherited, handed_in);
        entry.materialise(now);
        if !self.table.insert(entry) {
            return;
        }
        self.needs_pass = true;
        self.fit_job(&id);
        self.log_accepted(&id);
        if self.early_cancels.remove(&id) {
            self.cancel(now, &id);
        }
    }

    fn log_accepted(&mut self, id: &str) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let steps: Vec<String> = entry.job.steps.iter().map(describe).collect();
        let (terms, objective) = (self.terms(entry), self.objective(entry).as_millis());
        let text = format!(
            "job={id} queue={} organisation={} priority={} objective_ms={objective} steps=[{}]",
            entry.job.queue,
            entry.job.organisation,
            terms.priority,
            steps.join(" ")
        );
        self.log(text);
    }

    /// Takes a cancellation.
    pub(crate) fn cancel(&mut self, now: Moment, id: &str) {
        let Some(entry) = self.table.entries.get_mut(id) else {
            self.early_cancels.insert(id.to_owned());
            return;
        };
        if entry.is_over() {
            return;
        }
        entry.state = State::Cancelled;
        entry.ended = Some(now.steady);
        entry.dirty = None;
        self.table.open.remove(id);
        self.table.show(id, State::Cancelled);
        self.stop_job(now.steady, id, &Cause::Cancelled);
        self.needs_pass = true;
        self.log(format!("job={id} cancelled"));
    }
}

/// When a job was handed in by its record, as a time of the steady clock.
///
/// Clocks of day differ between machines and may jump, so this is for jobs of which it is not known
/// otherwise.
pub(crate) fn handed_in(now: Moment, job: &Job) -> Duration {
    let age = now.unix.saturating_sub(Duration::from_millis(job.accepted_ms));
    now.steady.saturating_sub(age)
}

/// A step in one word: tasks, room of each, declared time and what it asks for.
fn describe(step: &Step) -> String {
    let room = Resources::read(step.room.as_ref());
    let mut text = format!(
        "{}x{}m/{}MiB/{}a/{}ms",
        step.tasks, room.millicores, room.memory_mib, room.accelerators, step.estimate_ms
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
