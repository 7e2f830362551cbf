//! Runs that stand still or are far slower than they should be.

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
};

use crate::{
    event::Moment,
    group::{Group, Shown},
    planner::{Planner, estimate_kind},
    table::Entry,
    worker::{Cause, Phase, Run},
};

/// Lists in a row without progress that count as standing still. One may be old.
const STILL_LISTS: u32 = 2;
/// Time between two looks at all runs. Lists come at longer intervals, so that a look at each tick
/// would see the same lists again.
const INTERVAL: Duration = Duration::from_millis(250);
/// A report older than this says nothing of the present.
const REPORT_AGE: Duration = Duration::from_millis(900);

/// How long one task takes, as its run shows; without a worker when it has ended.
#[derive(Clone, Copy, Debug)]
struct Time<'a> {
    worker: Option<&'a str>,
    whole: Duration,
}

/// How long the tasks of each step take, by job and step.
type Times<'a> = BTreeMap<(&'a str, u32), Vec<Time<'a>>>;

/// What is wrong with a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It makes no progress.
    Still { is_hopeless: bool },
    /// It is slow: its whole time at this pace, and what was expected.
    Slow { whole: Duration, expected: Estimate, is_hopeless: bool },
    /// It is as fast as it should be.
    None,
}

impl Planner {
    /// Looks at the progress of all that runs.
    ///
    /// Guards against a minion that says it is well while its tasks stand still or crawl: such a
    /// task would hold its room, its caller would wait, and new tasks would follow it there.
    pub(crate) fn watch_progress(&mut self, now: Moment) {
        if now.steady < self.last_watch + INTERVAL {
            return;
        }
        self.last_watch = now.steady;
        let times = self.times();
        let seen: Vec<(String, u32, Sample)> = (times.iter())
            .filter_map(|((job, step), times)| Some(((*job).to_owned(), *step, seen(times, None)?)))
            .collect();
        let faults = self.faults(now, &times);
        self.note_seen(seen);
        // What is sound on a worker shows that the worker is, so it counts before what is slow.
        for (name, _, _) in faults.iter().filter(|(.., fault)| *fault == Fault::None) {
            self.suspects.at_speed(name, now.steady);
        }
        for (name, task, fault) in faults {
            self.heed(now, &name, &task, fault);
        }
    }

    /// How long the tasks of each step take, as those that have ended and those that run show.
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

    /// How long a whole run takes near its data, as this one shows.
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

    /// How many times longer a group takes where it runs.
    fn factor(&self, group: &Group) -> u32 {
        let is_far = group.active().is_some_and(|active| active.is_far);
        if is_far { self.options.remote_factor.max(1) } else { 1 }
    }

    /// Replaces what was seen of the steps of open jobs.
    fn note_seen(&mut self, seen: Vec<(String, u32, Sample)>) {
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

    /// What is wrong with a run; nothing when that can't be told yet.
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
            (Verdict::Normal, _) => Some(Fault::None),
            (Verdict::Slow, expected) => {
                let left = 1.0 - f64::from(run.percent.min(100)) / 100.0;
                let here = (whole * factor).mul_f64(left);
                let share = if step.checkpoints { left } else { 1.0 };
                let elsewhere = expected.centre.mul_f64(share);
                // One that is back where it was moved off has no better place.
                let is_back = group.avoid.iter().any(|worker| worker == name);
                let is_hopeless = !is_back && pace::is_worth_moving(here, elsewhere);
                Some(Fault::Slow { whole, expected, is_hopeless })
            }
        }
    }

    /// Since when all members of a run have been there; none while one has not started, without
    /// which the others make no progress.
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

    /// What the same task's earlier runs, its siblings on other workers and other jobs of its kind
    /// let expect. A declared time alone says nothing of a worker.
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
            others.push(Estimate::of_same_step(seen));
        }
        let kind = estimate_kind(entry, step);
        if self.estimates.knows_kind(kind) {
            let declared = sapphire_jobs::length::declared(step);
            others.push(self.estimates.estimate_kind(kind, declared));
        }
        others
    }

    /// Does what a fault calls for.
    fn heed(&mut self, now: Moment, name: &str, task: &Task, fault: Fault) {
        let policy = self.options.policy;
        match fault {
            Fault::None => {}
            Fault::Still { is_hopeless } if policy.move_still => {
                self.suspects.stalled(name, now.steady);
                if is_hopeless {
                    self.move_away(now, name, task, Cause::Still, "stands still");
                }
            }
            // Other work there is at speed, so the task is long rather than the worker slow.
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
        // Any of a gang's workers may be the slow one, since all members go at its pace.
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

/// The same task elsewhere, or earlier.
fn same_task(centre: Duration) -> Estimate {
    Estimate { centre, spread: pace::SAME_TASK_SPREAD }
}

/// The median of a step's times, without those of one worker. Several on one worker count as one,
/// the shortest: a slow worker would outweigh the others.
fn seen(times: &[Time<'_>], without: Option<&str>) -> Option<Sample> {
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
    Some(Sample { median, count: u32::try_from(all.len()).unwrap_or(u32::MAX) })
}

/// Whether a run that should have made progress since a time has made none.
fn is_still(run: &Run, since: Duration, now: Duration, expected: Duration) -> bool {
    let limit = pace::stall_timeout(run.track.and_then(|track| track.best()), expected);
    run.still >= STILL_LISTS && now > since + limit
}
