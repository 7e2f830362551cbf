//! Consequences of the end of a run for its group and its job.

use std::time::Duration;

use sapphire_jobs::{
    Ending, State, length,
    task::{GroupKey, JobId, RunNumber, Task, WorkerName},
};

use crate::{
    event::Moment,
    group::{Group, Observation, Phase},
    pass,
    planner::{Planner, estimate_kind},
    state::run_log::Row,
    table::Urgency,
    worker::{Cause, Phase as RunPhase, Run},
};

impl Planner {
    /// Handles the end of a run. Returns the change of the job's progress, if any, that must be
    /// durable before the end may be acknowledged. The same end may be reported several times.
    pub(crate) fn run_ended(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        number: RunNumber,
        ending: Ending,
        checkpoint: &str,
    ) -> Option<(JobId, u64)> {
        let change = self.end_run(now, name, task, number, ending, checkpoint);
        let row = Row { task: task.clone(), number, worker: name.to_owned() };
        self.run_log.end(row, change.clone());
        change
    }

    fn end_run(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        number: RunNumber,
        ending: Ending,
        checkpoint: &str,
    ) -> Option<(JobId, u64)> {
        let removed = self.remove_run(name, task, number);
        let run_time = removed.as_ref().and_then(|run| match ending {
            Ending::Done => {
                run.completed_run_time(now.steady).map(|time| self.reference_time(task, name, time))
            }
            _ => self.local_run_time(task, run),
        });
        self.learn_speed_at_end(now, task, number, ending, removed.as_ref());
        let stop = removed.as_ref().and_then(|run| run.stop.as_ref());
        let is_suspect = stop.is_some_and(|stop| stop.cause == Cause::Slow);
        self.needs_pass = true;
        self.log_end(now, name, &task.run(number), ending, checkpoint, removed.as_ref());
        self.table.add_known(now, &task.job, task.occurrence);
        let entry = self.table.entries.get(&task.job)?;
        let step = entry.step(task.step)?;
        let (is_over, is_long) = (entry.is_over(), step.is_long_running);
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = entry.groups.get(&key) else {
            // What its end has come to may not be durable yet, such as that of another member of its gang.
            return Some((task.job.clone(), entry.last_critical_change));
        };
        let (is_final, is_current) = (group.is_final(), group.run == number);
        self.keep_checkpoint(now, task, &key, checkpoint);
        match ending {
            Ending::Done if !is_final && !is_long => {
                self.count_done(now);
                self.learn_run_time(name, task, &key, number, run_time);
                return self.group_done(now, &task.job, &key, number);
            }
            Ending::Faulty if !is_over => self.record_failure(now, name, task, &key, number),
            _ => {}
        }
        if let Some(run_time) = run_time.filter(|_| is_current) {
            let observation =
                Observation { is_suspect, ..Observation::healthy(run_time, name, number) };
            self.record_observation(task, &key, observation);
        }
        // May make the job fail, which has to be durable too.
        self.member_ended(now, task, &key, number);
        let last_critical_change = self.table.entries.get(&task.job)?.last_critical_change;
        Some((task.job.clone(), last_critical_change))
    }

    /// Returns the reference run time of a task, given that of its run on a worker. A gang runs at
    /// the pace of its slowest member.
    fn reference_time(&self, task: &Task, name: &str, run_time: Duration) -> Duration {
        let own = self.slowness(name);
        let group = self.group_of(task).and_then(|(_, _, group)| group.active());
        let slowness = group.map_or(own, |active| self.active_slowness(active).max(own));
        slowness.reference_time(run_time)
    }

    /// Keeps the checkpoint that a run had saved when it ended.
    fn keep_checkpoint(&mut self, now: Moment, task: &Task, key: &GroupKey, checkpoint: &str) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let is_over = entry.is_over();
        let Some(group) = entry.groups.get_mut(key) else { return };
        if checkpoint.is_empty() || group.is_final() {
            return;
        }
        checkpoint.clone_into(&mut group.checkpoint);
        if self.options.policy.keep_checkpoints && !is_over {
            entry.record_change(now.steady, Urgency::Deferred);
        }
    }

    /// Learns the run time from a run that succeeded, unless it ran where it is slower.
    fn learn_run_time(
        &mut self,
        name: &str,
        task: &Task,
        key: &GroupKey,
        number: RunNumber,
        run_time: Option<Duration>,
    ) {
        self.suspects.succeeded(name);
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step).cloned() else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        let is_current = group.run == number;
        let is_near = group.active().is_some_and(|active| is_current && !active.is_remote);
        let Some(run_time) = run_time.filter(|_| is_near) else { return };
        group.record_observation(Observation::healthy(run_time, name, number));
        let kind = estimate_kind(entry, &step);
        self.estimates.observe_kind(kind, length::declared(&step), run_time);
    }

    /// Counts a run that failed by its own fault, once.
    ///
    /// Runs that this planner did not order count as well: if a failure were forgotten, the task
    /// would start more often than its queue allows.
    fn record_failure(
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
        entry.record_change(now.steady, Urgency::Soon);
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
        removed: Option<&Run>,
    ) {
        let (task, number) = (Task::read(run), run.run);
        let mut text =
            format!("task={task} run={number} worker={name} ended={}", ending.as_str_name());
        if let Some(removed) = removed {
            let has_saved = ending == Ending::Stopped && !checkpoint.is_empty();
            let is_kept = ending == Ending::Done || has_saved;
            let healthy = self.healthy_run_time(&task).unwrap_or_default();
            let lost = if is_kept { 0.0 } else { removed.unsaved_work(now.steady, healthy) };
            let ran = match removed.phase {
                RunPhase::Ordered => 0,
                _ => now.steady.saturating_sub(removed.began).as_millis(),
            };
            text += &format!(
                " ran_ms={ran} cores={:.1} lost_core_s={lost:.1}",
                removed.resources.weight()
            );
            if let Some(stop) = &removed.stop {
                text += &format!(" cause={}", stop.cause);
            }
        }
        self.log(text);
    }

    /// Returns the expected run time of a task on a healthy worker near its data.
    fn healthy_run_time(&self, task: &Task) -> Option<Duration> {
        Some(self.expected_run_time(self.table.entries.get(&task.job)?, task.step))
    }

    /// Records that a run will not be started again by its minion.
    pub(crate) fn close_run(&mut self, task: &Task, number: RunNumber) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let is_gang = entry.step(task.step).is_some_and(|step| step.is_gang);
        if let Some(group) = entry.groups.get_mut(&GroupKey::of(task, is_gang)) {
            group.closed_run = group.closed_run.max(number);
        }
        self.handover.is_outdated |= self.unanswered.is_any();
    }

    /// Removes a run from its worker.
    fn remove_run(&mut self, name: &str, task: &Task, number: RunNumber) -> Option<Run> {
        let worker = self.workers.get_mut(name)?;
        worker.runs.get(task).filter(|run| run.number == number)?;
        let run = worker.runs.remove(task)?;
        self.handover.is_outdated |= self.is_recorded(&run);
        Some(run)
    }

    /// Records the run time of a group as inferred from a run that was not completed.
    fn record_observation(&mut self, task: &Task, key: &GroupKey, observation: Observation) {
        let entry = self.table.entries.get_mut(&task.job);
        if let Some(group) = entry.and_then(|entry| entry.groups.get_mut(key)) {
            group.record_observation(observation);
        }
    }

    /// Records that a run of a group has succeeded, and stops a later run. Returns the change that must
    /// be durable.
    ///
    /// Guards against a start after its job was shown complete, and against a run that goes on for
    /// nobody: the end of a run may be listed after its worker was declared lost and the group was
    /// placed elsewhere.
    fn group_done(
        &mut self,
        now: Moment,
        id: &str,
        key: &GroupKey,
        number: RunNumber,
    ) -> Option<(JobId, u64)> {
        let group = self.table.entries.get(id)?.groups.get(key)?;
        if group.run != number && group.active().is_some() {
            let (step, later) = (key.step, group.run);
            self.log(format!("job={id} step={step} run={number} is done; run={later} is stopped"));
            self.stop_group(now.steady, id, key, &Cause::Superseded);
        }
        self.stop_others(now.steady, id, key, number);
        let entry = self.table.entries.get_mut(id)?;
        let group = entry.groups.get_mut(key)?;
        group.phase = Phase::Done;
        group.claim = None;
        let is_complete = !entry.is_over() && entry.is_all_done();
        if is_complete {
            entry.state = State::Complete;
            entry.ended = Some(now.steady);
        }
        let urgency = if is_complete { Urgency::Immediate } else { Urgency::Soon };
        let change = entry.record_change(now.steady, urgency);
        self.table.drop_completed(id);
        if is_complete {
            self.table.open.remove(id);
            self.log_done(now, id);
        }
        Some((id.to_owned(), change))
    }

    /// Stops the runs of a group that is done which its state doesn't name. The members of the run that
    /// is done end by themselves.
    fn stop_others(&mut self, now: Duration, id: &str, key: &GroupKey, number: RunNumber) {
        let step = self.table.entries.get(id).and_then(|entry| entry.step(key.step));
        let members = step.filter(|step| step.is_gang).map(|step| step.tasks);
        let tasks = pass::group_tasks(id, key, members.unwrap_or(1));
        let is_other = |run: &Run| members.is_none() || run.number != number;
        let mut stops = Vec::new();
        for (name, worker) in &self.workers {
            let runs = worker.runs.range(&tasks.start..&tasks.end);
            let others = runs.filter(|(_, run)| is_other(run));
            stops.extend(others.map(|(task, run)| (name.clone(), task.clone(), run.number)));
        }
        for (worker, task, number) in stops {
            self.stop(now, &worker, &task, number, &Cause::Superseded);
        }
    }

    /// Logs the completion of a job.
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
    fn member_ended(&mut self, now: Moment, task: &Task, key: &GroupKey, number: RunNumber) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        if group.run != number && group.active().is_some() {
            return;
        }
        let Some(active) = group.active_mut() else {
            self.group_run_ended(now, &task.job, key);
            return;
        };
        active.unfinished.remove(&task.index);
        if active.unfinished.is_empty() {
            group.ended_run = group.ended_run.max(number);
            group.phase = Phase::Waiting;
            group.waiting_since = now.steady;
            self.group_run_ended(now, &task.job, key);
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
        group.closed_run = group.closed_run.max(number);
        self.handover.is_outdated |= self.unanswered.is_any();
        let Some(active) = group.active() else { return };
        let unfinished: Vec<(u32, WorkerName)> =
            active.unfinished.iter().map(|(index, worker)| (*index, worker.clone())).collect();
        for (index, worker) in unfinished {
            let task =
                Task { job: id.to_owned(), occurrence: key.occurrence, step: key.step, index };
            self.stop(now, &worker, &task, number, cause);
        }
    }

    /// Handles the end of the last task of a group's run: the group waits again, or its job has
    /// failed.
    fn group_run_ended(&mut self, now: Moment, id: &str, key: &GroupKey) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let limit = self.queue_settings(entry).max_attempts;
        let entry = self.table.entries.get_mut(id).expect("looked up above");
        let is_long = entry.step(key.step).is_some_and(|step| step.is_long_running);
        let is_over = entry.is_over();
        let Some(group) = entry.groups.get_mut(key) else { return };
        let is_open = group.phase == Phase::Waiting;
        if !group.is_exhausted(limit) || is_long || is_over || !is_open {
            return;
        }
        let failed = group.failed_runs.len();
        group.phase = Phase::Failed;
        entry.state = State::Failed;
        entry.ended = Some(now.steady);
        entry.record_change(now.steady, Urgency::Immediate);
        self.table.open.remove(id);
        self.log(format!("job={id} step={} failed {failed} times; job fails", key.step));
        self.stop_job(now.steady, id, &Cause::JobFailed);
    }

    /// Fails the inherited jobs of which a group has failed as often as it may.
    ///
    /// Guards against a task that starts more often than its queue allows: the earlier planner stored
    /// the last failure, and was lost before it stored that the job had failed.
    pub(crate) fn fail_exhausted(&mut self, now: Moment) {
        let mut waiting = Vec::new();
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            let has_failed =
                |group: &Group| group.phase == Phase::Waiting && !group.failed_runs.is_empty();
            let is_known = |key: &GroupKey| !self.is_held(entry, key);
            let groups =
                entry.groups.iter().filter(|(key, group)| has_failed(group) && is_known(key));
            waiting.extend(groups.map(|(key, _)| (id.clone(), *key)));
        }
        for (id, key) in waiting {
            self.group_run_ended(now, &id, &key);
        }
    }

    /// Records a checkpoint that a run has saved, so that a later run continues from it even if the
    /// end of this run is never reported.
    ///
    /// Guards against work of many seconds that is done again: when a worker loses power, its
    /// checkpoint is known only from the worker's lists.
    pub(crate) fn record_checkpoint(
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
            entry.record_change(now.steady, Urgency::Deferred);
        }
    }

    /// Records that a minion runs a task.
    pub(crate) fn run_began(&mut self, now: Moment, task: &Task, number: RunNumber) {
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
            self.table.report_state(&task.job, State::Active);
        }
    }
}
