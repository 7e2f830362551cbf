//! Learns the persistent speed of workers from runs.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    Ending, Step, length,
    task::{GroupKey, JobId, RunNumber, Task},
};
use sapphire_plan::{
    estimate::Estimate,
    pace,
    speed::{self, Belief},
};

use crate::{
    event::Moment,
    group::{Group, Pace},
    planner::{Planner, estimate_kind},
    table::Entry,
    worker::{Phase, Run},
};

/// Progress, in per cent, from which on a run in progress shows the speed of its workers. Each run is
/// observed once: an early observation is available sooner, a late one is more accurate.
const OBSERVED_PERCENT: u32 = 20;
/// Progress, in per cent, that is needed to infer a run time at all.
const MIN_PERCENT: u32 = 10;
/// Maximum number of other tasks of a step that a run is compared with. Bounds the cost; more of them
/// would hardly improve the median.
const MAX_COMPARED: usize = 64;

/// Counters of the learning, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Workers that are not at the reference speed.
    pub unequal_workers: usize,
    /// Observations in this term.
    pub observations: u64,
    /// Records written in this term.
    pub writes: u64,
}

impl Planner {
    /// Returns the counters of the learning of speeds. Returns `None` if it is off.
    pub fn speeds_status(&self) -> Option<Status> {
        self.speeds.is_enabled().then(|| Status {
            unequal_workers: self.speed_state.unequal_workers,
            observations: self.speeds.observations(),
            writes: self.speed_state.writes,
        })
    }

    /// Learns from runs in progress, once enough of each has been seen.
    pub(crate) fn learn_speeds_of_running(&mut self) {
        if !self.speeds.is_enabled() {
            return;
        }
        let mut observed: BTreeMap<(JobId, GroupKey), (RunNumber, Duration)> = BTreeMap::new();
        for (task, run) in self.workers.values().flat_map(|worker| &worker.runs) {
            if run.phase != Phase::Running {
                continue;
            }
            let run_time = run.paced_run_time(OBSERVED_PERCENT, None);
            let Some((run_time, key)) = run_time.zip(self.unlearned_key(task, run.number)) else {
                continue;
            };
            observed.entry((task.job.clone(), key)).or_insert((run.number, run_time));
        }
        for ((job, key), (number, run_time)) in observed {
            self.learn_speed(&job, &key, number, run_time);
        }
    }

    /// Learns from a run that has ended, unless it was learned from before.
    pub(crate) fn learn_speed_at_end(
        &mut self,
        now: Moment,
        task: &Task,
        number: RunNumber,
        ending: Ending,
        run: Option<&Run>,
    ) {
        let Some(run) = run.filter(|_| self.speeds.is_enabled()) else { return };
        let end = (ending == Ending::Done).then_some(now.steady);
        let run_time = run.paced_run_time(MIN_PERCENT, end);
        let Some(key) = self.unlearned_key(task, number) else { return };
        if let Some(run_time) = run_time {
            self.learn_speed(&task.job, &key, number, run_time);
        }
    }

    /// Returns the key of a task's group if nothing has been learned from this run.
    fn unlearned_key(&self, task: &Task, number: RunNumber) -> Option<GroupKey> {
        let entry = self.table.entries.get(&task.job)?;
        let key = GroupKey::of(task, entry.step(task.step)?.is_gang);
        let group = entry.groups.get(&key)?;
        let is_learned = group.pace.is_some_and(|pace| pace.run == number);
        (group.run == number && !is_learned).then_some(key)
    }

    /// Learns the speed of workers from the run time of a group's run.
    ///
    /// A run away from its data is left out, since the factor by which it is slower there is only
    /// assumed, and so is an incomplete gang, whose slowest member may be gone.
    fn learn_speed(&mut self, job: &str, key: &GroupKey, number: RunNumber, run_time: Duration) {
        let Some(entry) = self.table.entries.get(job) else { return };
        let Some(step) = entry.step(key.step) else { return };
        let Some(group) = entry.groups.get(key) else { return };
        let Some(active) = group.active() else { return };
        let is_incomplete = step.is_gang && active.unfinished.len() < step.tasks as usize;
        if step.is_long_running || active.is_remote || is_incomplete || run_time.is_zero() {
            return;
        }
        let names: Vec<&str> = active.unfinished.values().map(String::as_str).collect();
        let belief = self.speeds.belief(&names);
        if let Some(expected) = self.reference_estimate(entry, step, key, group) {
            let ratio = run_time.as_secs_f64() / expected.centre.as_secs_f64();
            self.speeds.observe(&names, ratio, expected.spread);
        }
        let kind = estimate_kind(entry, step);
        self.speed_state.history.record(kind, length::declared(step), run_time, belief);
        let pace = pace_of(number, run_time, belief);
        let entry = self.table.entries.get_mut(job).expect("looked up above");
        entry.groups.get_mut(key).expect("looked up above").pace = Some(pace);
    }

    /// Returns the run time to expect at the reference speed, from an earlier run of the same group,
    /// other tasks of the step, or other jobs of the kind, whichever is the most precise.
    fn reference_estimate(
        &self,
        entry: &Entry,
        step: &Step,
        key: &GroupKey,
        group: &Group,
    ) -> Option<Estimate> {
        let estimate =
            |log: f64, spread: f64| Estimate { centre: Duration::from_secs_f64(log.exp()), spread };
        let earlier =
            group.pace.map(|pace| estimate(pace.log, pace.spread.hypot(pace::SAME_TASK_SPREAD)));
        let first = GroupKey { index: 0, ..*key };
        let others = entry.groups.range(first..GroupKey { index: u32::MAX, ..*key });
        let times: Vec<(f64, f64)> = (others.filter(|(other, _)| *other != key && !step.is_gang))
            .filter_map(|(other, group)| self.pace(entry, other, group))
            .map(|pace| (pace.log, pace.spread))
            .take(MAX_COMPARED)
            .collect();
        let of_step = (!times.is_empty()).then(|| speed::median(times));
        let of_step = of_step.map(|(log, spread)| estimate(log, spread));
        let kind = estimate_kind(entry, step);
        let of_kind = self.speed_state.history.expected(kind, length::declared(step));
        let estimates: Vec<Estimate> = earlier.into_iter().chain(of_step).chain(of_kind).collect();
        pace::narrowest(&estimates)
    }

    /// Returns the run time of a task that belongs to no gang: of a run that was learned from, or as
    /// inferred from its run in progress.
    fn pace(&self, entry: &Entry, key: &GroupKey, group: &Group) -> Option<Pace> {
        let in_progress = || {
            let active = group.active().filter(|active| !active.is_remote)?;
            let name = active.unfinished.get(&key.index)?;
            let task = Task {
                job: entry.job.id.clone(),
                occurrence: key.occurrence,
                step: key.step,
                index: key.index,
            };
            let run = self.workers.get(name)?.runs.get(&task)?;
            let run_time = run.paced_run_time(MIN_PERCENT, None)?;
            let belief = self.speeds.belief(&[name]);
            (!run_time.is_zero()).then(|| pace_of(group.run, run_time, belief))
        };
        group.pace.or_else(in_progress)
    }
}

/// Returns the pace of a run on workers of which `belief` is known.
fn pace_of(run: RunNumber, run_time: Duration, belief: Belief) -> Pace {
    Pace { run, log: run_time.as_secs_f64().ln() - belief.mean, spread: belief.spread }
}
