//! Checks that no job stands still although there is capacity for it, as far as callers and minions
//! can tell.

use std::time::Duration;

use sapphire_jobs::{
    State,
    resources::Resources,
    task::{JobId, Task},
};

use super::{Action, Simulation};
use crate::jobs::{load::Arrival, minion::Minion};

/// Interval of the check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a job may stand still.
pub const LIMIT: Duration = Duration::from_secs(3);

/// Job that had nothing running for longer than [`LIMIT`] although it could run.
#[derive(Clone, Debug)]
pub struct Standstill {
    /// The job.
    pub job: JobId,
    /// When it began, from the start of the load.
    pub since: Duration,
    /// How long it has lasted so far.
    pub length: Duration,
}

impl Simulation {
    /// Checks from this time after the start of the load on that no job stands still.
    pub fn check_standstills_from(&mut self, time: Duration) {
        self.at(self.load_start + time, Action::CheckStandstills);
    }

    pub(super) fn check_standstills(&mut self) {
        self.after(CHECK_INTERVAL, Action::CheckStandstills);
        let usable = |minion: &&Minion| minion.is_up && !minion.incarnation.is_draining;
        let minions: Vec<&Minion> = self.minions.iter().filter(usable).collect();
        let capacities = minions.iter().map(|minion| capacity(minion));
        let total = capacities.fold(Resources::default(), Resources::plus);
        let in_use = minions.iter().map(|minion| self.in_use(minion));
        let in_use = in_use.fold(Resources::default(), Resources::plus);
        let free: Vec<Resources> =
            minions.iter().map(|minion| capacity(minion).minus(self.in_use(minion))).collect();
        let is_half_free = total.count_fitting(in_use.plus(in_use)) > 0;
        let standing: Vec<JobId> = self
            .arrivals
            .iter()
            .filter(|arrival| is_half_free && self.stands_still(arrival, &free))
            .map(|arrival| arrival.job.id.clone())
            .collect();
        self.standing_since.retain(|job, _| standing.contains(job));
        for job in standing {
            let since = *self.standing_since.entry(job.clone()).or_insert(self.now);
            let length = self.now - since;
            if length < LIMIT {
                continue;
            }
            let since = since.saturating_sub(self.load_start);
            let is_same = |known: &&mut Standstill| known.job == job && known.since == since;
            if let Some(known) = self.standstills.iter_mut().find(is_same) {
                known.length = length;
            } else {
                self.log_line(&format!("job={job} has stood still since {}", since.as_secs_f64()));
                self.standstills.push(Standstill { job, since, length });
            }
        }
    }

    pub(super) fn in_use(&self, minion: &Minion) -> Resources {
        let tasks = minion.active.keys();
        let truths = tasks.filter_map(|task| self.truth.get(&(task.job.clone(), task.step)));
        truths.fold(Resources::default(), |sum, truth| sum.plus(truth.resources))
    }

    /// Whether a job that its caller waits for has nothing running while a group of it is due for
    /// which there is capacity twice over.
    pub(super) fn stands_still(&self, arrival: &Arrival, free: &[Resources]) -> bool {
        let id = &arrival.job.id;
        let is_over = [State::Complete, State::Failed, State::Cancelled]
            .iter()
            .any(|state| self.reported.contains_key(&(id.clone(), (*state).into())));
        if is_over || arrival.cancel_after.is_some() || !self.accepted.contains_key(id) {
            return false;
        }
        let is_running =
            |minion: &Minion| minion.is_up && minion.active.keys().any(|task| task.job == *id);
        let has_attempts =
            |(task, count): (&Task, &u32)| task.job != *id || *count < arrival.job.max_attempts;
        if self.minions.iter().any(is_running) || !self.failures.iter().all(has_attempts) {
            return false;
        }
        let mut steps = arrival.job.steps.iter().enumerate();
        steps.any(|(number, step)| {
            let unfinished = self.unfinished(id, number as u32, step.tasks);
            let is_due = step.after.iter().all(|earlier| {
                let tasks = arrival.job.steps[*earlier as usize].tasks;
                self.unfinished(id, *earlier, tasks) == 0
            });
            let members = if step.is_gang { step.tasks } else { 1 };
            let resources = Resources::read(step.room.as_ref());
            let limit = if step.per_worker > 0 { step.per_worker * 2 } else { members * 2 };
            let fitting = free.iter().map(|free| free.count_fitting(resources).min(limit));
            unfinished > 0 && is_due && fitting.sum::<u32>() >= members * 2
        })
    }

    /// Number of a step's tasks that have no run that ended as done and that counts or may still.
    fn unfinished(&self, job: &JobId, step: u32, tasks: u32) -> u32 {
        let is_done = |index: &u32| {
            let task = Task { job: job.clone(), occurrence: 0, step, index: *index };
            self.completions.get(&task).into_iter().flatten().any(|it| {
                let minion = &self.minions[it.agent];
                let is_listed = minion.is_up && minion.incarnation.born_ms == it.born_ms;
                it.is_acknowledged || is_listed
            })
        };
        tasks - (0..tasks).filter(is_done).count() as u32
    }
}

pub(super) fn capacity(minion: &Minion) -> Resources {
    Resources::read(minion.incarnation.capacity.as_ref())
}
