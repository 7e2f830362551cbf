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
    estimate::{Estimate, Seen},
    pace::{self, Verdict},
};

use crate::{
    event::Moment,
    group::{Group, Shown},
    planner::{Planner, estimate_kind},
    table::Entry,
    worker::{Cause, Phase, Run},
};

/// Number of successive lists without progress after which a run counts as stalled. One of them may
/// be old.
const STILL_LISTS: u32 = 2;
/// Interval between two checks of all runs. Lists arrive at longer intervals, so that a check at
/// each tick would see the same lists again.
const INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of a report; an older one says nothing about the present.
const REPORT_AGE: Duration = Duration::from_millis(900);

/// Run time of one task as inferred from its run; without a worker if the task has ended.
#[derive(Clone, Copy, Debug)]
struct Time<'a> {
    worker: Option<&'a str>,
    whole: Duration,
}

/// Run times of the tasks of each step, by job and step.
type Times<'a> = BTreeMap<(&'a str, u32), Vec<Time<'a>>>;

/// Result of the check of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The run makes no progress.
    Still { is_hopeless: bool },
    /// The run is slow: its total run time at the present pace, and the expected one.
    Slow { whole: Duration, expected: Estimate, is_hopeless: bool },
    /// The run is at the expected speed.
    None,
}

impl Planner {
    /// Checks the progress of all runs.
    ///
    /// Guards against a minion that reports to be healthy while its tasks are stalled or very slow:
    /// such a task would keep its resources, its caller would wait, and new tasks would be placed
    /// on the same worker.
    pub(crate) fn watch_progress(&mut self, now: Moment) {
        if now.steady < self.last_watch + INTERVAL {
            return;
        }
        self.last_watch = now.steady;
        let times = self.times();
        let seen: Vec<(String, u32, Seen)> = (times.iter())
            .filter_map(|((job, step), times)| Some(((*job).to_owned(), *step, seen(times, None)?)))
            .collect();
        let faults = self.faults(now, &times);
        self.note_seen(seen);
        // A run at the expected speed shows that its worker is healthy, so it is considered before
        // the slow runs.
        for (name, _, _) in faults.iter().filter(|(.., fault)| *fault == Fault::None) {
            self.suspects.at_speed(name, now.steady);
        }
        for (name, task, fault) in faults {
            self.heed(now, &name, &task, fault);
        }
    }

    /// Collects the run times of the tasks of each step, from runs that have ended and from those
    /// in progress.
    fn times(&self) -> Times<'_> {
        let mut times = Times::new();
        for (name, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some(whole) = self.whole_near(task, run) else { continue };
                let of_step = times.entry((&task.job, task.step)).or_default();
                of_step.push(Time { worker: Some(name), whole });
            }
        }
        for (id, entry) in
            self.table.open.iter().filter_map(|id| self.table.entries.get_key_value(id))
        {
            for (key, group) in entry.groups.iter().filter(|(_, group)| group.active().is_none()) {
                let Some(shown) = group.known() else { continue };
                let time = Time { worker: None, whole: shown.whole };
                times.entry((id, key.step)).or_default().push(time);
            }
        }
        times
    }

    /// Returns the total run time near the data, as inferred from a run.
    pub(crate) fn whole_near(&self, task: &Task, run: &Run) -> Option<Duration> {
        let (_, _, group) = self.group_of(task)?;
        Some(run.whole()? / self.factor(group))
    }

    fn group_of(&self, task: &Task) -> Option<(&Entry, &Step, &Group)> {
        let entry = self.table.entries.get(&task.job)?;
        let step = entry.step(task.step)?;
        let group = entry.groups.get(&GroupKey::of(task, step.is_gang))?;
        Some((entry, step, group))
    }

    /// Returns the factor by which a group is slower where it runs.
    fn factor(&self, group: &Group) -> u32 {
        let is_far = group.active().is_some_and(|active| active.is_far);
        if is_far { self.options.remote_factor.max(1) } else { 1 }
    }

    /// Replaces the observed run times of the steps of open jobs.
    fn note_seen(&mut self, seen: Vec<(String, u32, Seen)>) {
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get_mut(id) else { continue };
            entry.seen.clear();
            entry.seen.resize(entry.job.steps.len(), None);
        }
        for (job, step, seen) in seen {
            let entry = self.table.entries.get_mut(&job);
            let known = entry.and_then(|entry| entry.seen.get_mut(step as usize));
            if let Some(known) = known {
                *known = Some(seen);
            }
        }
    }

    fn faults(&self, now: Moment, times: &Times<'_>) -> Vec<(WorkerName, Task, Fault)> {
        let mut faults = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.is_fenced || now.steady > worker.heard + REPORT_AGE {
                continue;
            }
            for (task, run) in &worker.runs {
                if let Some(fault) = self.fault(now, name, task, run, times) {
                    faults.push((name.clone(), task.clone(), fault));
                }
            }
        }
        faults
    }

    /// Checks a run. Returns `None` while nothing can be said of it yet.
    fn fault(
        &self,
        now: Moment,
        name: &str,
        task: &Task,
        run: &Run,
        times: &Times<'_>,
    ) -> Option<Fault> {
        if run.phase != Phase::Running || run.percent >= 100 {
            return None;
        }
        let (entry, step, group) = self.group_of(task)?;
        if step.is_long_running {
            return None;
        }
        let factor = self.factor(group);
        let expected = self.expect(entry, task.step) * factor;
        if is_still(run, run.moved, now.steady, expected) {
            let since = run.moved.max(self.whole_since(task, step, group)?);
            if !is_still(run, since, now.steady, expected) {
                return None;
            }
            let still = now.steady.saturating_sub(since);
            let is_hopeless = pace::is_worth_restarting(still, run.unsaved_time());
            return Some(Fault::Still { is_hopeless });
        }
        let track = run.track?;
        let whole = track.present(run.moved, run.percent)? / factor;
        let others = self.others(entry, step, group, name, task, times);
        let own = track.best().map(|best| same_task(best / factor));
        match pace::judge(whole, own, &others) {
            (Verdict::Unknown, _) => None,
            (Verdict::Sound, _) => Some(Fault::None),
            (Verdict::Slow, expected) => {
                let left = 1.0 - f64::from(run.percent.min(100)) / 100.0;
                let here = (whole * factor).mul_f64(left);
                let share = if step.checkpoints { left } else { 1.0 };
                let elsewhere = expected.centre.mul_f64(share);
                // A run that is back on a worker that it was moved off has no better place.
                let is_back = group.avoid.iter().any(|worker| worker == name);
                let is_hopeless = !is_back && pace::is_worth_moving(here, elsewhere);
                Some(Fault::Slow { whole, expected, is_hopeless })
            }
        }
    }

    /// Returns the time since which all members of a gang's run have been running. Returns `None`
    /// while one has not started: the others make no progress without it.
    fn whole_since(&self, task: &Task, step: &Step, group: &Group) -> Option<Duration> {
        if !step.is_gang {
            return Some(Duration::ZERO);
        }
        let began = |(index, name): (&u32, &WorkerName)| {
            let member = Task { index: *index, ..task.clone() };
            let run = self.workers.get(name)?.runs.get(&member)?;
            run.is_started.then_some(run.began)
        };
        let seats = group.active()?.left.iter();
        seats.map(began).try_fold(Duration::ZERO, |latest, began| Some(latest.max(began?)))
    }

    /// Returns the run times to expect from earlier runs of the same task, from tasks of the same
    /// step on other workers, and from other jobs of the same kind. A declared time alone gives no
    /// evidence against a worker.
    fn others(
        &self,
        entry: &Entry,
        step: &Step,
        group: &Group,
        name: &str,
        task: &Task,
        times: &Times<'_>,
    ) -> Vec<Estimate> {
        let is_elsewhere = |shown: &&Shown| shown.worker != name;
        let earlier = group.known().filter(is_elsewhere);
        let mut others: Vec<Estimate> =
            earlier.map(|shown| same_task(shown.whole)).into_iter().collect();
        let of_step = times.get(&(task.job.as_str(), task.step)).filter(|_| !step.is_gang);
        if let Some(seen) = of_step.and_then(|times| seen(times, Some(name))) {
            others.push(Estimate::of_siblings(seen));
        }
        let kind = estimate_kind(entry, step);
        if self.estimates.knows_kind(kind) {
            let declared = sapphire_jobs::length::declared(step);
            others.push(self.estimates.estimate_kind(kind, declared));
        }
        others
    }

    /// Reacts to the result of a check.
    fn heed(&mut self, now: Moment, name: &str, task: &Task, fault: Fault) {
        let policy = self.options.policy;
        match fault {
            Fault::None => {}
            Fault::Still { is_hopeless } if policy.move_still => {
                self.suspects.stands_still(name, now.steady);
                if is_hopeless {
                    self.move_away(now, name, task, Cause::Still, "stands still");
                }
            }
            // Other work on this worker is at the expected speed, so the task is long rather than
            // the worker slow.
            Fault::Slow { .. } if self.suspects.is_at_speed(name, now.steady) => {}
            Fault::Slow { whole, expected, is_hopeless } if policy.move_slow => {
                self.suspects.slowed(name, now.steady);
                if is_hopeless {
                    let why = format!(
                        "is far too slow (whole_ms={} expected_ms={} spread={:.2})",
                        whole.as_millis(),
                        expected.centre.as_millis(),
                        expected.spread
                    );
                    self.move_away(now, name, task, Cause::Slow, &why);
                }
            }
            Fault::Still { .. } | Fault::Slow { .. } => {}
        }
    }

    fn move_away(&mut self, now: Moment, name: &str, task: &Task, cause: Cause, why: &str) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step) else { return };
        let is_gang = step.is_gang;
        let key = GroupKey::of(task, is_gang);
        let Some(group) = entry.groups.get_mut(&key) else { return };
        if group.active().is_none_or(|active| active.is_stopping) {
            return;
        }
        // Any of a gang's workers may be the slow one, since all members run at its pace.
        let mut workers: BTreeSet<WorkerName> = match group.active() {
            Some(active) if is_gang => active.left.values().cloned().collect(),
            _ => BTreeSet::new(),
        };
        workers.retain(|worker| !self.suspects.is_at_speed(worker, now.steady));
        if workers.is_empty() {
            workers.insert(name.to_owned());
        }
        group.avoid.extend(workers);
        self.log(format!("task={task} worker={name} {why}; stopped to go elsewhere"));
        self.stop_group(now.steady, &task.job, &key, &cause);
    }
}

/// Returns the estimate for another run of the same task.
fn same_task(centre: Duration) -> Estimate {
    Estimate { centre, spread: pace::SAME_TASK }
}

/// Returns the median run time of a step, not counting the worker `without`. Several runs on one
/// worker count as one, the shortest: otherwise a slow worker would outweigh the others.
fn seen(times: &[Time<'_>], without: Option<&str>) -> Option<Seen> {
    let mut by_worker: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut all: Vec<Duration> = Vec::new();
    for time in times.iter().filter(|time| time.worker.is_none() || time.worker != without) {
        match time.worker {
            None => all.push(time.whole),
            Some(worker) => {
                let least = by_worker.entry(worker).or_insert(time.whole);
                *least = time.whole.min(*least);
            }
        }
    }
    all.extend(by_worker.into_values());
    all.sort_unstable();
    let median = *all.get(all.len().checked_sub(1)? / 2)?;
    Some(Seen { median, count: u32::try_from(all.len()).unwrap_or(u32::MAX) })
}

/// Returns whether a run that should have made progress since a time has made none.
fn is_still(run: &Run, since: Duration, now: Duration, expected: Duration) -> bool {
    let limit = pace::still_after(run.track.and_then(|track| track.best()), expected);
    run.still >= STILL_LISTS && now > since + limit
}
