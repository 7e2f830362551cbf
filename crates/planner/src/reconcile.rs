//! Reconciles the known runs of a worker with the lists of its minion.

use std::time::Duration;

use sapphire_jobs::{
    Ending, LISTED_ENDS, Poll, Rejection,
    resources::Resources,
    task::{GroupKey, RunNumber, Task},
};

use crate::{
    event::Moment,
    group::{Active, Phase as GroupPhase},
    loss::Evidence,
    options,
    planner::Planner,
    state::run_log::Row,
    worker::{self, Cause, Phase, Run, Stop},
};

/// Number of successive lists without a run, and without its end, after which the run counts as
/// lost. The first of them may have been made before the start was answered.
const MISSING_LISTS: u32 = 3;
/// Minimum time without a run in lists after which it counts as lost. Above the longest duration of
/// a stop, during which the task still takes its resources.
const MISSING_TIME: Duration = Duration::from_millis(1_500);

impl Planner {
    /// Reconciles the runs of a worker with the list in a poll.
    ///
    /// Guards against a task that is done and starts again: if there are more ends than fit into
    /// one list, or rows can't be read, absence from the list proves nothing.
    pub(crate) fn reconcile(&mut self, now: Moment, name: &str, poll: &Poll) {
        for ended in &poll.ended {
            self.handle_end(now, name, ended);
        }
        let is_cut_off = poll.is_partial || poll.ended.len() >= LISTED_ENDS;
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        if is_cut_off && !worker.is_fenced {
            // The minion lists the other ends once these are acknowledged, and rows that can't be
            // read count as those of another writer after a while.
            return;
        }
        let is_first = !worker.is_fenced;
        worker.is_fenced = true;
        worker.has_void_orders = false;
        let minion = poll.incarnation.as_ref().map_or("", |minion| minion.id.as_str());
        let age = Duration::from_millis(poll.list_age_ms);
        let listed_at = now.steady.saturating_sub(age);
        self.retract_fate(name, minion, listed_at);
        self.add_member(now, name, &poll.address, minion);
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let is_new_list = poll.lists != worker.list_number;
        worker.list_number = poll.lists;
        worker.listed_at = listed_at;
        let mut outdated = Vec::new();
        for running in &poll.running {
            let Some(run) = running.run.as_ref().filter(|run| self.may_exist(run.run)) else {
                continue;
            };
            let task = Task::read(run);
            let worker = self.workers.get_mut(name).expect("the caller has inserted it");
            let known = worker.runs.get(&task).cloned();
            let is_recorded = known.is_some_and(|run| self.is_recorded(&run));
            self.handover.is_outdated |= is_recorded;
            let worker = self.workers.get_mut(name).expect("the caller has inserted it");
            if worker.update_listed(&task, running, is_new_list, listed_at) {
                self.run_began(now, &task, run.run);
                self.record_checkpoint(now, &task, run.run, &running.checkpoint);
            } else if worker.has_later_run(&task, run.run) {
                outdated.push((task, running));
            } else {
                self.adopt(now, name, &task, running);
            }
        }
        for verdict in &poll.verdicts {
            let Some(run) = &verdict.run else { continue };
            self.handle_verdict(now, name, &Task::read(run), run.run, verdict.rejection());
        }
        self.record_received(name, poll);
        if is_new_list && !is_cut_off {
            self.end_missing_runs(now, name, poll);
        }
        if is_first {
            self.log(format!("worker={name} fenced, running={}", poll.running.len()));
            self.end_unlisted_runs(now, name, poll);
        }
        // A later run of the same task stays until its own end is known: if it were replaced, its
        // end would be ignored.
        for (task, running) in outdated {
            let number = running.run.as_ref().map_or(0, |run| run.run);
            if !self.workers.get(name).is_some_and(|worker| worker.has_later_run(&task, number)) {
                self.adopt(now, name, &task, running);
            }
        }
        if is_first {
            self.check_recovered(now);
            self.needs_pass = true;
        }
    }

    /// Returns whether a run of this number can have been ordered by this planner, or by one of the
    /// terms around its own.
    ///
    /// Guards against another writer's row: the numbers of the runs that follow have to be higher.
    fn may_exist(&self, number: u32) -> bool {
        let terms = self.startup.term_number.saturating_add(options::RUNS_PER_TERM);
        number <= terms.saturating_mul(options::RUNS_PER_TERM)
    }

    /// Records which orders the agent has outstanding. A stop is an order of its own, besides the
    /// start of the same run, which may be outstanding for long.
    fn record_received(&mut self, name: &str, poll: &Poll) {
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        for (task, run) in &mut worker.runs {
            let outstanding =
                if run.phase == Phase::Stopping { &poll.stopping } else { &poll.pending };
            let is_same =
                |order: &sapphire_jobs::Run| order.run == run.number && Task::read(order) == *task;
            run.is_received = outstanding.iter().any(is_same);
        }
    }

    /// Ends runs that had started and are missing from lists without an end.
    ///
    /// Guards against a group that waits forever for an end that was lost. Runs whose start is
    /// unanswered are left alone: such a start may still be carried out, and its agent fences it.
    fn end_missing_runs(&mut self, now: Moment, name: &str, poll: &Poll) {
        let is_listed = |task: &Task, number: u32| {
            let mut runs = poll.running.iter().filter_map(|running| running.run.as_ref());
            runs.any(|run| run.run == number && Task::read(run) == *task)
        };
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let mut lost = Vec::new();
        let list_age = now.steady.saturating_sub(worker.listed_at);
        for (task, run) in worker.runs.iter_mut().filter(|(_, run)| run.is_started) {
            if is_listed(task, run.number) {
                run.missing_lists = 0;
                run.last_listed = now.steady;
            } else {
                run.missing_lists += 1;
            }
            if run.missing_lists >= MISSING_LISTS && now.steady >= run.last_listed + MISSING_TIME {
                let absent = now.steady.saturating_sub(run.last_listed);
                lost.push((task.clone(), run.number, run.missing_lists, absent));
            }
        }
        for (task, number, lists, absent) in lost {
            let text = format!(
                "missing from lists; lost: lists={lists} last_listed_ms_ago={} list_age_ms={}",
                absent.as_millis(),
                list_age.as_millis()
            );
            self.lose_run(now, name, &task, number, Evidence::Missing, &text);
        }
    }

    /// Ends runs that are not in the first list of a session. That list is complete as to starts:
    /// the token has fenced every start that is not in it. It may omit a task that is being
    /// stopped. The end of such a task is still to come, or later lists omit it for longer than a
    /// stop takes.
    fn end_unlisted_runs(&mut self, now: Moment, name: &str, poll: &Poll) {
        let is_listed = |task: &Task, number: u32| {
            let mut runs = poll.running.iter().filter_map(|running| running.run.as_ref());
            runs.any(|run| run.run == number && Task::read(run) == *task)
        };
        let worker = self.workers.get(name).expect("the caller has inserted it");
        let may_go_on = !worker.is_new_incarnation;
        let is_stopping = |run: &Run| may_go_on && run.is_started && run.phase == Phase::Stopping;
        let missing: Vec<(Task, u32)> = (worker.runs.iter())
            .filter(|(task, run)| !is_listed(task, run.number) && !is_stopping(run))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        let list_age = now.steady.saturating_sub(worker.listed_at).as_millis();
        let token = worker.token;
        for (task, number) in missing {
            let text = format!(
                "not in the session's first list; lost: token={token} list_age_ms={list_age}"
            );
            self.lose_run(now, name, &task, number, Evidence::Unlisted, &text);
        }
    }

    /// Handles an end in a list, unless it was handled before.
    fn handle_end(&mut self, now: Moment, name: &str, ended: &sapphire_jobs::Ended) {
        let worker = self.workers.get(name).expect("the caller has inserted it");
        if ended.number <= worker.acknowledged || worker.pending_ends.contains_key(&ended.number) {
            return;
        }
        let Some(run) = &ended.run else { return };
        let mut change = None;
        if self.may_exist(run.run) {
            let task = Task::read(run);
            self.close_run(&task, run.run);
            let (ending, checkpoint) = (ended.ending(), &ended.checkpoint);
            if ending == Ending::Done {
                self.log_late_end(now, name, &task, run.run);
            }
            change = self.run_ended(now, name, &task, run.run, ending, checkpoint);
        }
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        worker.pending_ends.insert(ended.number, change);
    }

    /// Logs that a run is listed as done which counted as ended before.
    fn log_late_end(&mut self, now: Moment, name: &str, task: &Task, number: RunNumber) {
        let Some((evidence, at)) = self.losses.contradict_done(task, number) else { return };
        let age = now.steady.saturating_sub(at).as_millis();
        let group = self.group_of(task).map(|(_, _, group)| group);
        let later = group.filter(|group| group.run != number && group.active().is_some());
        let later = later.map_or_else(String::new, |group| format!(" later_run={}", group.run));
        let evidence = evidence.name();
        self.log(format!(
            "task={task} run={number} worker={name} is listed as done, but counted as ended {age} ms \
             ago: evidence={evidence}{later}"
        ));
    }

    /// Handles the answer to a start: a rejected run counts as lost.
    fn handle_verdict(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        number: u32,
        rejection: Rejection,
    ) {
        let worker = self.workers.get(name).expect("the caller has inserted it");
        let is_known = worker.runs.get(task).is_some_and(|run| run.number == number);
        if !is_known || !worker::is_definite(rejection) {
            return;
        }
        if matches!(rejection, Rejection::Unhealthy | Rejection::NoRoom) {
            self.suspects.failed(name, now.steady);
        }
        self.close_run(task, number);
        let text = format!("refused={rejection:?}");
        self.lose_run(now, name, task, number, Evidence::Refused, &text);
    }

    /// Adopts a run that an earlier planner started, or stops one that should not exist.
    ///
    /// Guards against a group that waits for ever for the end of an earlier run, whose place this
    /// one takes on the worker.
    fn adopt(&mut self, now: Moment, name: &str, task: &Task, running: &sapphire_jobs::Running) {
        let number = running.run.as_ref().map_or(0, |run| run.run);
        let earlier = self.workers.get(name).and_then(|worker| worker.runs.get(task));
        if let Some(earlier) = earlier.map(|run| run.number) {
            let text = format!("a later run is listed; lost: run={number}");
            self.lose_run(now, name, task, earlier, Evidence::Later, &text);
        }
        if let Some((evidence, at)) = self.losses.contradict_running(task, number) {
            let age = now.steady.saturating_sub(at).as_millis();
            self.log(format!(
                "task={task} run={number} worker={name} is listed as running, but counted as ended \
                 {age} ms ago: evidence={}",
                evidence.name()
            ));
        }
        self.table.add_known(now, &task.job, task.occurrence);
        let (resources, is_wanted) = self.adoption(now, name, task, number);
        let phase = if is_wanted { Phase::Running } else { Phase::Stopping };
        let group = self.group_of(task).map(|(_, _, group)| group);
        let has_checkpoint = group.is_some_and(|group| !group.checkpoint.is_empty());
        let is_resumed = has_checkpoint || !running.checkpoint.is_empty();
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let mut run = Run::new(number, resources, phase, running.percent, now.steady);
        let stop = Stop { cause: Cause::Unwanted, decided_at: now.steady };
        run.stop = (!is_wanted).then_some(stop);
        run.is_started = true;
        run.is_resumed = is_resumed;
        worker.runs.insert(task.clone(), run);
        self.run_log.add(Row { task: task.clone(), number, worker: name.to_owned() });
        let verb = if is_wanted { "adopted" } else { "unexpected run; stopped" };
        self.log(format!("task={task} run={number} worker={name} {verb}"));
        if is_wanted {
            self.run_began(now, task, number);
        }
    }

    /// Returns the resources of a run, and whether it is adopted into its group.
    fn adoption(&mut self, now: Moment, name: &str, task: &Task, number: u32) -> (Resources, bool) {
        let Some(job) = self.table.entries.get_mut(&task.job) else {
            return (Resources::default(), false);
        };
        let Some(step) = job.step(task.step).cloned() else { return (Resources::default(), false) };
        let resources = Resources::read(step.room.as_ref());
        let is_over = job.is_over();
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = job.groups.get_mut(&key) else { return (resources, false) };
        let has_ended = number <= group.ended_run || group.failed_runs.contains(&number);
        if is_over || group.is_final() || number < group.run || has_ended {
            return (resources, false);
        }
        match &mut group.phase {
            GroupPhase::Waiting => {
                group.run = number;
                group.claim = None;
                group.phase = GroupPhase::Active(Box::new(Active {
                    ordered_at: now.steady,
                    began: None,
                    unfinished: [(task.index, name.to_owned())].into(),
                    is_stopping: false,
                    is_move_deferred: false,
                    is_remote: false,
                    checkpoint: group.checkpoint.clone(),
                }));
                (resources, true)
            }
            GroupPhase::Active(active) if group.run == number => {
                let is_wanted = !active.is_stopping;
                let earlier = active.unfinished.insert(task.index, name.to_owned());
                (resources, is_wanted && earlier.is_none_or(|worker| worker == name))
            }
            _ => (resources, false),
        }
    }

    /// Ends a run as lost. `text` says what shows that it has ended.
    pub(crate) fn lose_run(
        &mut self,
        now: Moment,
        name: &str,
        task: &Task,
        number: RunNumber,
        evidence: Evidence,
        text: &str,
    ) {
        self.log(format!("task={task} run={number} worker={name} {text}"));
        self.losses.add(now.steady, task, number, evidence);
        self.run_ended(now, name, task, number, Ending::Lost, "");
    }

    /// Ends all runs of a worker as lost.
    pub(crate) fn lose_runs(&mut self, now: Moment, name: &str, evidence: Evidence, why: &str) {
        let Some(worker) = self.workers.get(name) else { return };
        let runs: Vec<(Task, u32)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, number) in runs {
            self.lose_run(now, name, &task, number, evidence, &format!("lost: {why}"));
        }
    }
}
