//! The ledger of a worker's runs, brought in line with what its minion lists.

use std::time::Duration;

use sapphire_jobs::{
    Ending, LISTED_ENDS, Poll, Rejection,
    resources::Resources,
    task::{GroupKey, Task},
};

use crate::{
    event::Moment,
    group::{Active, Phase as GroupPhase},
    planner::Planner,
    worker::{self, Cause, Phase, Run, Stop},
};

/// Lists in a row without a task, and without its end, after which it counts as lost. The first
/// may have been made before the start was answered.
const ABSENT_LISTS: u32 = 3;
/// Least time without it: above the longest stop, during which its room is taken.
const ABSENT: Duration = Duration::from_millis(1_500);

impl Planner {
    /// Brings the ledger of a worker in line with what its minion lists.
    ///
    /// Guards against a task that was done and starts again: where there are more ends than one
    /// list holds, absence from it shows nothing.
    pub(crate) fn reconcile(&mut self, now: Moment, name: &str, poll: &Poll) {
        for ended in &poll.ended {
            self.listed_end(now, name, ended);
        }
        let is_cut_off = poll.ended.len() >= LISTED_ENDS;
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        if is_cut_off && !worker.is_fenced {
            // Once these ends are noted, the minion lists the others.
            return;
        }
        let is_first = !worker.is_fenced;
        worker.is_fenced = true;
        self.enrol(name, &poll.address);
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let is_new_list = poll.lists != worker.lists;
        worker.lists = poll.lists;
        let age = Duration::from_millis(poll.list_age_ms);
        let listed_at = now.steady.saturating_sub(age);
        let mut outdated = Vec::new();
        for running in &poll.running {
            let Some(run) = &running.run else { continue };
            let task = Task::read(run);
            let worker = self.workers.get_mut(name).expect("the caller has inserted it");
            if worker.listed(&task, running, is_new_list, listed_at) {
                self.began(now, &task, run.run);
                self.note_checkpoint(now, &task, run.run, &running.checkpoint);
            } else if worker.holds_later(&task, run.run) {
                outdated.push((task, running));
            } else {
                self.adopt(now, name, &task, running);
            }
        }
        for verdict in &poll.verdicts {
            let Some(run) = &verdict.run else { continue };
            self.verdict(now, name, &Task::read(run), run.run, verdict.rejection());
        }
        self.receive(name, poll);
        if is_new_list && !is_cut_off {
            self.miss_absent(now, name, poll);
        }
        if is_first {
            self.log(format!("worker={name} fenced, running={}", poll.running.len()));
            self.drop_unlisted(now, name, poll);
        }
        // A later run of the same task keeps its place until its own end is known: replaced, it
        // would never end.
        for (task, running) in outdated {
            let number = running.run.as_ref().map_or(0, |run| run.run);
            if !self.workers.get(name).is_some_and(|worker| worker.holds_later(&task, number)) {
                self.adopt(now, name, &task, running);
            }
        }
        if is_first {
            self.check_settled(now);
            self.needs_pass = true;
        }
    }

    /// Notes which orders the agent has in hand. A stop is another order than the start before it,
    /// which may be in hand for long.
    fn receive(&mut self, name: &str, poll: &Poll) {
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        for (task, run) in &mut worker.runs {
            let in_hand = if run.phase == Phase::Stopping { &poll.stopping } else { &poll.pending };
            let is_it =
                |order: &sapphire_jobs::Run| order.run == run.number && Task::read(order) == *task;
            run.is_received = in_hand.iter().any(is_it);
        }
    }

    /// A task that had started and is missing from lists, without an end, is not there.
    ///
    /// Guards against a group that waits for ever for an end that was lost. Absence says nothing of
    /// a start without an answer, which may still be carried out: its agent has it barred.
    fn miss_absent(&mut self, now: Moment, name: &str, poll: &Poll) {
        let is_listed = |task: &Task, number: u32| {
            let mut runs = poll.running.iter().filter_map(|running| running.run.as_ref());
            runs.any(|run| run.run == number && Task::read(run) == *task)
        };
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let mut lost = Vec::new();
        for (task, run) in worker.runs.iter_mut().filter(|(_, run)| run.is_started) {
            if is_listed(task, run.number) {
                run.absent = 0;
                run.seen = now.steady;
            } else {
                run.absent += 1;
            }
            if run.absent >= ABSENT_LISTS && now.steady >= run.seen + ABSENT {
                lost.push((task.clone(), run.number));
            }
        }
        for (task, number) in lost {
            self.log(format!("task={task} run={number} worker={name} missing from lists; lost"));
            self.ended(now, name, &task, number, Ending::Lost, "");
        }
    }

    /// At the start of a session the list is the whole truth of starts: one that is not there was
    /// made void by the token. It may leave out a task that is being stopped, whose end comes, or
    /// which later lists have to miss for longer than a stop takes.
    fn drop_unlisted(&mut self, now: Moment, name: &str, poll: &Poll) {
        let is_listed = |task: &Task, number: u32| {
            let mut runs = poll.running.iter().filter_map(|running| running.run.as_ref());
            runs.any(|run| run.run == number && Task::read(run) == *task)
        };
        let worker = self.workers.get(name).expect("the caller has inserted it");
        let may_go_on = !worker.is_new_life;
        let is_stopping = |run: &Run| may_go_on && run.is_started && run.phase == Phase::Stopping;
        let missing: Vec<(Task, u32)> = (worker.runs.iter())
            .filter(|(task, run)| !is_listed(task, run.number) && !is_stopping(run))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, number) in missing {
            self.log(format!("task={task} run={number} worker={name} is not there"));
            self.ended(now, name, &task, number, Ending::Lost, "");
        }
    }

    fn listed_end(&mut self, now: Moment, name: &str, ended: &sapphire_jobs::Ended) {
        let worker = self.workers.get(name).expect("the caller has inserted it");
        if ended.number <= worker.noted || worker.ended.contains_key(&ended.number) {
            return;
        }
        let Some(run) = &ended.run else { return };
        let task = Task::read(run);
        let change = self.ended(now, name, &task, run.run, ended.ending(), &ended.checkpoint);
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        worker.ended.insert(ended.number, change);
    }

    fn verdict(&mut self, now: Moment, name: &str, task: &Task, number: u32, rejection: Rejection) {
        let worker = self.workers.get(name).expect("the caller has inserted it");
        let is_known = worker.runs.get(task).is_some_and(|run| run.number == number);
        if !is_known || !worker::is_settled(rejection) {
            return;
        }
        self.log(format!("task={task} run={number} worker={name} refused={rejection:?}"));
        if matches!(rejection, Rejection::Unhealthy | Rejection::NoRoom) {
            self.suspects.failed(name, now.steady);
        }
        self.ended(now, name, task, number, Ending::Lost, "");
    }

    /// Takes over a run that an earlier planner started, or stops one that should not be there.
    fn adopt(&mut self, now: Moment, name: &str, task: &Task, running: &sapphire_jobs::Running) {
        let number = running.run.as_ref().map_or(0, |run| run.run);
        let (room, is_wanted) = self.adoption(now, name, task, number);
        let phase = if is_wanted { Phase::Running } else { Phase::Stopping };
        let worker = self.workers.get_mut(name).expect("the caller has inserted it");
        let mut run = Run::new(number, room, phase, running.percent, now.steady);
        let stop = Stop { cause: Cause::Unwanted, since: now.steady };
        run.stop = (!is_wanted).then_some(stop);
        run.is_started = true;
        worker.runs.insert(task.clone(), run);
        let verb = if is_wanted { "adopted" } else { "not wanted, stopped" };
        self.log(format!("task={task} run={number} worker={name} {verb}"));
        if is_wanted {
            self.began(now, task, number);
        }
    }

    fn adoption(&mut self, now: Moment, name: &str, task: &Task, number: u32) -> (Resources, bool) {
        let Some(job) = self.table.entries.get_mut(&task.job) else {
            return (Resources::default(), false);
        };
        let Some(step) = job.step(task.step).cloned() else { return (Resources::default(), false) };
        let room = Resources::read(step.room.as_ref());
        let is_over = job.is_over();
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = job.groups.get_mut(&key) else { return (room, false) };
        if is_over || group.is_final() || number < group.run || number <= group.ended_run {
            return (room, false);
        }
        match &mut group.phase {
            GroupPhase::Waiting => {
                group.run = number;
                group.claim = None;
                group.phase = GroupPhase::Active(Active {
                    since: now.steady,
                    began: None,
                    left: [(task.index, name.to_owned())].into(),
                    is_stopping: false,
                    is_far: false,
                    checkpoint: group.checkpoint.clone(),
                });
                (room, true)
            }
            GroupPhase::Active(active) if group.run == number => {
                let is_wanted = !active.is_stopping;
                let earlier = active.left.insert(task.index, name.to_owned());
                (room, is_wanted && earlier.is_none_or(|worker| worker == name))
            }
            _ => (room, false),
        }
    }

    pub(crate) fn lose_runs(&mut self, now: Moment, name: &str, why: &str) {
        let Some(worker) = self.workers.get(name) else { return };
        let runs: Vec<(Task, u32)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, number) in runs {
            self.log(format!("task={task} run={number} worker={name} lost: {why}"));
            self.ended(now, name, &task, number, Ending::Lost, "");
        }
    }
}
