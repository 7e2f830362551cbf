//! Consequences of the end of a run for its group and its job.

use std::time::Duration;

use sapphire_jobs::{
    Ending, State, length,
    task::{GroupKey, JobId, RunNumber, Task, WorkerName},
};

use crate::{
    event::Moment,
    group::{Phase, Shown},
    planner::{Planner, estimate_kind},
    table::Haste,
    worker::{Cause, Phase as RunPhase, Run},
};

impl Planner {
    /// Handles the end of a run. Returns the change of the job's progress, if any, that must be
    /// durable before the end may be acknowledged. The same end may be reported several times.
    pub(crate) fn ended(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        number: RunNumber,
        ending: Ending,
        checkpoint: &str,
    ) -> Option<(JobId, u64)> {
        let left = self.leave_ledger(name, task, number);
        let whole = left.as_ref().and_then(|run| match ending {
            Ending::Done => run.whole_when_done(now.steady),
            _ => self.whole_near(task, run),
        });
        let stop = left.as_ref().and_then(|run| run.stop.as_ref());
        let is_doubted = stop.is_some_and(|stop| stop.cause == Cause::Slow);
        self.needs_pass = true;
        self.log_end(now, name, &task.run(number), ending, checkpoint, left.as_ref());
        let entry = self.table.entries.get(&task.job)?;
        let step = entry.step(task.step)?;
        let (is_over, is_long) = (entry.is_over(), step.is_long_running);
        let key = GroupKey::of(task, step.is_gang);
        let group = entry.groups.get(&key)?;
        let (is_final, is_current) = (group.is_final(), group.run == number);
        self.save_checkpoint(now, task, &key, checkpoint);
        match ending {
            Ending::Done if !is_final && !is_long => {
                self.learn_from(name, task, &key, number, whole);
                return self.group_done(now, &task.job, &key);
            }
            Ending::Faulty if !is_over => self.note_fault(now, name, task, &key, number),
            _ => {}
        }
        if let Some(whole) = whole.filter(|_| is_current) {
            let shown = Shown { is_doubted, ..Shown::sound(whole, name, number) };
            self.note_shown(task, &key, shown);
        }
        let vital = self.table.entries.get(&task.job)?.vital;
        self.member_left(now, task, &key, number);
        Some((task.job.clone(), vital))
    }

    /// Keeps the checkpoint that a run had saved when it ended.
    fn save_checkpoint(&mut self, now: Moment, task: &Task, key: &GroupKey, checkpoint: &str) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let is_over = entry.is_over();
        let Some(group) = entry.groups.get_mut(key) else { return };
        if checkpoint.is_empty() || group.is_final() {
            return;
        }
        checkpoint.clone_into(&mut group.checkpoint);
        if self.options.policy.keep_checkpoints && !is_over {
            entry.touch(now.steady, Haste::Patient);
        }
    }

    /// Learns the run time from a run that succeeded, unless it ran where it is slower.
    fn learn_from(
        &mut self,
        name: &str,
        task: &Task,
        key: &GroupKey,
        number: RunNumber,
        whole: Option<Duration>,
    ) {
        self.suspects.succeeded(name);
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step).cloned() else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        let is_current = group.run == number;
        let is_near = group.active().is_some_and(|active| is_current && !active.is_far);
        let Some(whole) = whole.filter(|_| is_near) else { return };
        group.note_shown(Shown::sound(whole, name, number));
        let kind = estimate_kind(entry, &step);
        self.estimates.observe_kind(kind, length::declared(&step), whole);
    }

    /// Counts a run that failed by its own fault, once.
    ///
    /// Runs that this planner did not order count as well: if a failure were forgotten, the task
    /// would start more often than its queue allows.
    fn note_fault(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        key: &GroupKey,
        number: RunNumber,
    ) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        if !group.failed_runs.insert(number) {
            return;
        }
        if group.active().is_none() {
            group.run = group.run.max(number);
        }
        group.avoid.push(name.to_owned());
        self.suspects.failed(name, now.steady);
        entry.touch(now.steady, Haste::Soon);
    }

    /// Logs the end of a run: why it was stopped, how long it ran, and how much of its work is
    /// lost.
    fn log_end(
        &mut self,
        now: Moment,
        name: &str,
        run: &sapphire_jobs::Run,
        ending: Ending,
        checkpoint: &str,
        left: Option<&Run>,
    ) {
        let (task, number) = (Task::read(run), run.run);
        let mut text =
            format!("task={task} run={number} worker={name} ended={}", ending.as_str_name());
        if let Some(left) = left {
            let has_saved = ending == Ending::Stopped && !checkpoint.is_empty();
            let is_kept = ending == Ending::Done || has_saved;
            let sound = self.sound_time(&task).unwrap_or_default();
            let lost = if is_kept { 0.0 } else { left.unsaved(now.steady, sound) };
            let ran = match left.phase {
                RunPhase::Ordered => 0,
                _ => now.steady.saturating_sub(left.began).as_millis(),
            };
            text += &format!(" ran_ms={ran} cores={:.1} lost_core_s={lost:.1}", left.room.weight());
            if let Some(stop) = &left.stop {
                text += &format!(" cause={}", stop.cause);
            }
        }
        self.log(text);
    }

    /// Returns the expected run time of a task on a healthy worker near its data.
    fn sound_time(&self, task: &Task) -> Option<Duration> {
        Some(self.expect(self.table.entries.get(&task.job)?, task.step))
    }

    /// Removes a run from its worker.
    fn leave_ledger(&mut self, name: &str, task: &Task, number: RunNumber) -> Option<Run> {
        let worker = self.workers.get_mut(name)?;
        worker.runs.get(task).filter(|run| run.number == number)?;
        worker.runs.remove(task)
    }

    /// Records the run time of a group as inferred from a run that was not completed.
    fn note_shown(&mut self, task: &Task, key: &GroupKey, shown: Shown) {
        let entry = self.table.entries.get_mut(&task.job);
        if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(key)) {
            group.note_shown(shown);
        }
    }

    fn group_done(&mut self, now: Moment, id: &str, key: &GroupKey) -> Option<(JobId, u64)> {
        let entry = self.table.entries.get_mut(id)?;
        let group = entry.groups.get_mut(key)?;
        group.phase = Phase::Done;
        group.claim = None;
        let is_complete = !entry.is_over() && entry.is_all_done();
        if is_complete {
            entry.state = State::Complete;
            entry.ended = Some(now.steady);
        }
        let haste = if is_complete { Haste::Now } else { Haste::Soon };
        let changes = entry.touch(now.steady, haste);
        if is_complete {
            self.table.open.remove(id);
            self.log_done(now, id);
        }
        Some((id.to_owned(), changes))
    }

    fn log_done(&mut self, now: Moment, id: &str) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let (objective, age) = (self.objective(entry), Self::age(entry, now));
        let is_late = age > objective;
        self.log(format!(
            "job={id} all tasks are done took_ms={} objective_ms={} late={is_late}",
            age.as_millis(),
            objective.as_millis()
        ));
    }

    /// Handles the end of one member of a group's run that did not succeed.
    fn member_left(&mut self, now: Moment, task: &Task, key: &GroupKey, number: RunNumber) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        if group.run != number && group.active().is_some() {
            return;
        }
        let Some(active) = group.active_mut() else {
            self.group_stopped(now, &task.job, key);
            return;
        };
        active.left.remove(&task.index);
        if active.left.is_empty() {
            group.ended_run = group.ended_run.max(number);
            group.phase = Phase::Waiting;
            group.since = now.steady;
            self.group_stopped(now, &task.job, key);
        } else {
            self.stop_group(now.steady, &task.job, key, &Cause::Gang);
        }
    }

    /// Stops the unfinished tasks of a group's run.
    pub(crate) fn stop_group(&mut self, now: Duration, id: &str, key: &GroupKey, cause: &Cause) {
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        let number = group.run;
        let Some(active) = group.active_mut() else { return };
        active.is_stopping = true;
        let left: Vec<(u32, WorkerName)> =
            active.left.iter().map(|(index, worker)| (*index, worker.clone())).collect();
        for (index, worker) in left {
            let task =
                Task { job: id.to_owned(), occurrence: key.occurrence, step: key.step, index };
            self.stop(now, &worker, &task, number, cause);
        }
    }

    /// Handles the end of the last task of a group's run: the group waits again, or its job has
    /// failed.
    fn group_stopped(&mut self, now: Moment, id: &str, key: &GroupKey) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let limit = self.terms(entry).max_attempts;
        let entry = self.table.entries.get_mut(id).expect("looked up above");
        let is_long = entry.step(key.step).is_some_and(|step| step.is_long_running);
        let is_over = entry.is_over();
        let Some(group) = entry.groups.get_mut(key) else { return };
        if !group.is_exhausted(limit) || is_long || is_over || group.active().is_some() {
            return;
        }
        let failed = group.failed_runs.len();
        group.phase = Phase::Failed;
        entry.state = State::Failed;
        entry.ended = Some(now.steady);
        entry.touch(now.steady, Haste::Now);
        self.table.open.remove(id);
        self.log(format!("job={id} step={} failed {failed} times; job fails", key.step));
        self.stop_job(now.steady, id, &Cause::JobFailed);
    }

    /// Records a checkpoint that a run has saved, so that a later run continues from it even if the
    /// end of this run is never reported.
    ///
    /// Guards against work of many seconds that is done again: when a worker loses power, its
    /// checkpoint is known only from the worker's lists.
    pub(crate) fn note_checkpoint(
        &mut self,
        now: Moment,
        task: &Task,
        number: RunNumber,
        checkpoint: &str,
    ) {
        if checkpoint.is_empty() || !self.options.policy.keep_checkpoints {
            return;
        }
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step) else { return };
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = entry.groups.get_mut(&key) else { return };
        let is_current = group.run == number && group.active().is_some();
        if is_current && group.checkpoint != checkpoint {
            checkpoint.clone_into(&mut group.checkpoint);
            entry.touch(now.steady, Haste::Patient);
        }
    }

    /// Records that a minion runs a task.
    pub(crate) fn began(&mut self, now: Moment, task: &Task, number: RunNumber) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step) else { return };
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = entry.groups.get_mut(&key).filter(|group| group.run == number) else {
            return;
        };
        if let Some(active) = group.active_mut() {
            active.began.get_or_insert(now.steady);
        }
        entry.has_begun = true;
        if entry.state == State::Queued {
            entry.state = State::Active;
            self.table.show(&task.job, State::Active);
        }
    }
}
