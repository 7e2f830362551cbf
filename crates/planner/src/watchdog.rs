//! Detects runs that are stalled or far too slow, and moves them to other workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Step,
    task::{GroupKey, Task, WorkerName},
};
use sapphire_plan::{
    estimate::{Estimate, Sample},
    pace::{self, Verdict},
    speed::Slowness,
};

use crate::{
    event::Moment,
    group::{Group, Observation},
    pass,
    planner::{Planner, estimate_kind},
    table::Entry,
    worker::{Cause, Phase, Run},
};

/// Number of successive lists without progress after which a run counts as stalled. One of them may
/// be old.
const STALLED_LISTS: u32 = 2;
/// Interval between two checks of all runs. Lists arrive at longer intervals, so that a check at
/// each tick would see the same lists again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of a report; an older one says nothing about the present.
const MAX_REPORT_AGE: Duration = Duration::from_millis(900);

/// Run time of one task as inferred from its run; without a worker if the task has ended.
#[derive(Clone, Copy, Debug)]
struct RunTime<'a> {
    worker: Option<&'a str>,
    total: Duration,
}

/// Run times of the tasks of each step, by job and step.
type RunTimes<'a> = BTreeMap<(&'a str, u32), Vec<RunTime<'a>>>;

/// Result of the check of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Finding {
    /// The run makes no progress.
    Stalled { should_move: bool },
    /// The run is slow: its total run time at the present pace, and the expected one.
    Slow { total: Duration, expected: Estimate, should_move: bool },
    /// The run is at the expected speed.
    Normal,
}

impl Planner {
    /// Checks the progress of all runs.
    ///
    /// Guards against a minion that reports to be healthy while its tasks are stalled or very slow:
    /// such a task would keep its resources, its caller would wait, and new tasks would be placed
    /// on the same worker.
    pub(crate) fn watch_progress(&mut self, now: Moment) {
        if now.steady < self.last_check + CHECK_INTERVAL {
            return;
        }
        self.last_check = now.steady;
        let run_times = self.run_times();
        let samples: Vec<(String, u32, Sample)> = (run_times.iter())
            .filter_map(|((job, step), all)| Some(((*job).to_owned(), *step, median(all, None)?)))
            .collect();
        let findings = self.check_runs(now, &run_times);
        self.learn_speeds_of_running();
        self.record_samples(samples);
        // A run at the expected speed shows that its worker is healthy, so it is considered before
        // the slow runs.
        for (name, _, _) in findings.iter().filter(|(.., finding)| *finding == Finding::Normal) {
            self.suspects.at_speed(name, now.steady);
        }
        for (name, task, finding) in findings {
            self.react(now, &name, &task, finding);
        }
    }

    /// Collects the run times of the tasks of each step, from runs that have ended and from those
    /// in progress.
    fn run_times(&self) -> RunTimes<'_> {
        let mut run_times = RunTimes::new();
        for (name, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some(total) = self.local_run_time(task, run) else { continue };
                let of_step = run_times.entry((&task.job, task.step)).or_default();
                of_step.push(RunTime { worker: Some(name), total });
            }
        }
        for (id, entry) in
            self.table.open.iter().filter_map(|id| self.table.entries.get_key_value(id))
        {
            for (key, group) in entry.groups.iter().filter(|(_, group)| group.active().is_none()) {
                let Some(observed) = group.reliable_observation() else { continue };
                let time = RunTime { worker: None, total: observed.run_time };
                run_times.entry((id, key.step)).or_default().push(time);
            }
        }
        run_times
    }

    /// Returns the total run time near the data at the reference speed, as inferred from a run.
    pub(crate) fn local_run_time(&self, task: &Task, run: &Run) -> Option<Duration> {
        let (_, _, group) = self.group_of(task)?;
        Some(self.usual_time(group, run.total_run_time()?))
    }

    /// Returns the job, the step and the group of a task.
    pub(crate) fn group_of(&self, task: &Task) -> Option<(&Entry, &Step, &Group)> {
        let entry = self.table.entries.get(&task.job)?;
        let step = entry.step(task.step)?;
        let group = entry.groups.get(&GroupKey::of(task, step.is_gang))?;
        Some((entry, step, group))
    }

    /// Returns the factor by which a group is slower where it runs.
    fn slowdown(&self, group: &Group) -> u32 {
        let is_remote = group.active().is_some_and(|active| active.is_remote);
        if is_remote { self.options.remote_factor.max(1) } else { 1 }
    }

    /// Returns the lasting slowness of the workers that a group runs on.
    fn group_speed(&self, group: &Group) -> Slowness {
        group.active().map(|active| self.active_slowness(active)).unwrap_or_default()
    }

    /// Returns the run time of a group where it runs, given that near its data at the reference
    /// speed.
    fn time_here(&self, group: &Group, usual: Duration) -> Duration {
        self.group_speed(group).run_time(usual * self.slowdown(group))
    }

    /// Returns the run time of a group near its data at the reference speed, given that where it
    /// runs.
    fn usual_time(&self, group: &Group, here: Duration) -> Duration {
        self.group_speed(group).reference_time(here / self.slowdown(group))
    }

    /// Replaces the observed run times of the steps of open jobs.
    fn record_samples(&mut self, samples: Vec<(String, u32, Sample)>) {
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get_mut(id) else { continue };
            entry.step_samples.clear();
            entry.step_samples.resize(entry.job.steps.len(), None);
        }
        for (job, step, sample) in samples {
            let entry = self.table.entries.get_mut(&job);
            let slot = entry.and_then(|entry| entry.step_samples.get_mut(step as usize));
            if let Some(slot) = slot {
                *slot = Some(sample);
            }
        }
    }

    /// Checks all runs of which there is a recent report.
    fn check_runs(
        &self,
        now: Moment,
        run_times: &RunTimes<'_>,
    ) -> Vec<(WorkerName, Task, Finding)> {
        let mut findings = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.is_fenced || now.steady > worker.last_contact + MAX_REPORT_AGE {
                continue;
            }
            for (task, run) in &worker.runs {
                if let Some(finding) = self.check_run(now, name, task, run, run_times) {
                    findings.push((name.clone(), task.clone(), finding));
                }
            }
        }
        findings
    }

    /// Checks a run. Returns `None` while nothing can be said of it yet.
    fn check_run(
        &self,
        now: Moment,
        name: &str,
        task: &Task,
        run: &Run,
        run_times: &RunTimes<'_>,
    ) -> Option<Finding> {
        if run.phase != Phase::Running || run.percent >= 100 {
            return None;
        }
        let (entry, step, group) = self.group_of(task)?;
        if step.is_long_running {
            return None;
        }
        let expected = self.time_here(group, self.expected_run_time(entry, task.step));
        if is_stalled(run, run.last_progress, now.steady, expected) {
            let since = run.last_progress.max(self.all_running_since(task, step, group)?);
            if !is_stalled(run, since, now.steady, expected) {
                return None;
            }
            let stalled = now.steady.saturating_sub(since);
            let should_move = pace::is_worth_restarting(stalled, run.unsaved_time());
            return Some(Finding::Stalled { should_move });
        }
        let track = run.track?;
        let total = self.usual_time(group, track.present(run.last_progress, run.percent)?);
        let comparisons = self.comparisons(entry, step, group, name, task, run_times);
        let own = track.best().map(|best| same_task(self.usual_time(group, best)));
        match pace::judge(total, own, &comparisons) {
            (Verdict::Unknown, _) => None,
            (Verdict::Normal, _) => Some(Finding::Normal),
            (Verdict::Slow, expected) => {
                let left = 1.0 - f64::from(run.percent.min(100)) / 100.0;
                let here = self.time_here(group, total).mul_f64(left);
                let share = if step.checkpoints { left } else { 1.0 };
                // It may be moved to a worker that is lastingly as slow as its own.
                let elsewhere = self.group_speed(group).run_time(expected.centre).mul_f64(share);
                // A run that is back on a worker that it was moved off has no better place.
                let is_back = group.avoid.iter().any(|worker| worker == name);
                let should_move = !is_back && pace::is_worth_moving(here, elsewhere);
                Some(Finding::Slow { total, expected, should_move })
            }
        }
    }

    /// Returns the time since which all members of a gang's run have been running. Returns `None`
    /// while one has not started: the others make no progress without it.
    fn all_running_since(&self, task: &Task, step: &Step, group: &Group) -> Option<Duration> {
        if !step.is_gang {
            return Some(Duration::ZERO);
        }
        let began = |(index, name): (&u32, &WorkerName)| {
            let member = Task { index: *index, ..task.clone() };
            let run = self.workers.get(name)?.runs.get(&member)?;
            run.is_started.then_some(run.began)
        };
        let members = group.active()?.unfinished.iter();
        members.map(began).try_fold(Duration::ZERO, |latest, began| Some(latest.max(began?)))
    }

    /// Returns the run times to expect from earlier runs of the same task, from tasks of the same
    /// step on other workers, and from other jobs of the same kind. A declared time alone gives no
    /// evidence against a worker.
    fn comparisons(
        &self,
        entry: &Entry,
        step: &Step,
        group: &Group,
        name: &str,
        task: &Task,
        run_times: &RunTimes<'_>,
    ) -> Vec<Estimate> {
        let is_elsewhere = |observed: &&Observation| observed.worker != name;
        let earlier = group.reliable_observation().filter(is_elsewhere);
        let mut comparisons: Vec<Estimate> =
            earlier.map(|observed| same_task(observed.run_time)).into_iter().collect();
        let of_step = run_times.get(&(task.job.as_str(), task.step)).filter(|_| !step.is_gang);
        if let Some(sample) = of_step.and_then(|run_times| median(run_times, Some(name))) {
            comparisons.push(Estimate::of_same_step(sample));
        }
        let kind = estimate_kind(entry, step);
        if self.estimates.knows_kind(kind) {
            let declared = sapphire_jobs::length::declared(step);
            comparisons.push(self.estimates.estimate_kind(kind, declared));
        }
        comparisons
    }

    /// Reacts to the result of a check.
    fn react(&mut self, now: Moment, name: &str, task: &Task, finding: Finding) {
        let policy = self.options.policy;
        match finding {
            Finding::Normal => {}
            Finding::Stalled { should_move } if policy.move_still => {
                self.suspects.stalled(name, now.steady);
                if should_move {
                    self.move_away(now, name, task, Cause::Stalled, "is stalled");
                }
            }
            // Other work on this worker is at the expected speed, so the task is long rather than
            // the worker slow.
            Finding::Slow { .. } if self.suspects.is_at_speed(name, now.steady) => {}
            Finding::Slow { total, expected, should_move } if policy.move_slow => {
                self.suspects.slowed(name, now.steady);
                if should_move {
                    let why = format!(
                        "is far too slow (whole_ms={} expected_ms={} spread={:.2})",
                        total.as_millis(),
                        expected.centre.as_millis(),
                        expected.spread
                    );
                    self.move_away(now, name, task, Cause::Slow, &why);
                }
            }
            Finding::Stalled { .. } | Finding::Slow { .. } => {}
        }
    }

    /// Stops a group because of a faulty run, so that it starts on other workers. Does so later if an
    /// earlier start of it may still be carried out: until then it could not start elsewhere, and
    /// nothing of it would run.
    fn move_away(&mut self, now: Moment, name: &str, task: &Task, cause: Cause, why: &str) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step) else { return };
        let is_gang = step.is_gang;
        let key = GroupKey::of(task, is_gang);
        let tasks = pass::group_tasks(&task.job, &key, if is_gang { step.tasks } else { 1 });
        let expires_at = self.unanswered.expires_at(&tasks.start..&tasks.end);
        let Some(group) = entry.groups.get_mut(&key) else { return };
        let Some(active) = group.active_mut().filter(|active| !active.is_stopping) else { return };
        let left = expires_at.unwrap_or_default().saturating_sub(now.steady);
        if left > self.options.stop_timeout {
            if !std::mem::replace(&mut active.is_move_deferred, true) {
                let limit_ms = left.as_millis();
                self.log(format!(
                    "task={task} worker={name} {why}; moved once its earlier start has expired, \
                     limit_ms={limit_ms}"
                ));
            }
            return;
        }
        // Any of a gang's workers may be the slow one, since all members run at its pace.
        let mut workers: BTreeSet<WorkerName> = match group.active() {
            Some(active) if is_gang => active.unfinished.values().cloned().collect(),
            _ => BTreeSet::new(),
        };
        workers.retain(|worker| !self.suspects.is_at_speed(worker, now.steady));
        if workers.is_empty() {
            workers.insert(name.to_owned());
        }
        group.avoid.extend(workers);
        self.log(format!("task={task} worker={name} {why}; stopped to be moved to another worker"));
        self.stop_group(now.steady, &task.job, &key, &cause);
    }
}

/// Returns the estimate for another run of the same task.
fn same_task(centre: Duration) -> Estimate {
    Estimate { centre, spread: pace::SAME_TASK_SPREAD }
}

/// Returns the median run time of a step, not counting the worker `without`. Several runs on one
/// worker count as one, the shortest: otherwise a slow worker would outweigh the others.
fn median(run_times: &[RunTime<'_>], without: Option<&str>) -> Option<Sample> {
    let mut by_worker: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut all: Vec<Duration> = Vec::new();
    for time in run_times.iter().filter(|time| time.worker.is_none() || time.worker != without) {
        match time.worker {
            None => all.push(time.total),
            Some(worker) => {
                let least = by_worker.entry(worker).or_insert(time.total);
                *least = time.total.min(*least);
            }
        }
    }
    all.extend(by_worker.into_values());
    all.sort_unstable();
    let median = *all.get(all.len().checked_sub(1)? / 2)?;
    Some(Sample { median, count: u32::try_from(all.len()).unwrap_or(u32::MAX) })
}

/// Returns whether a run that should have made progress since a time has made none.
fn is_stalled(run: &Run, since: Duration, now: Duration, expected: Duration) -> bool {
    let limit = pace::stall_timeout(run.track.and_then(|track| track.best()), expected);
    run.stalled_lists >= STALLED_LISTS && now > since + limit
}
