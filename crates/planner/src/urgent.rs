//! Resources for urgent groups: which work is stopped for them, and which they wait for instead.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    assignment::{Assignment, Demand, Reach},
    preempt::{self, Choice},
    rank,
    tradeoff::{self, Limits},
    wait, waves,
};

use crate::{
    event::Moment,
    group::{Claim, Group},
    planner::{PASS_INTERVAL, Planner},
    pool::Pool,
    table::step_groups,
    worker::Cause,
};

/// Time from a decision to the start of a task, together with the time from its end until its
/// caller sees it.
pub(crate) const OVERHEAD: Duration = Duration::from_millis(300);
/// Time from the end of a run until the planner knows of it: two messages between regions and the
/// interval of the minion's lists.
pub(crate) const END_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of stopped groups that are named in one log line; the others are logged when they
/// end.
const MAX_LOGGED_STOPS: usize = 8;

/// An urgent group that finds no free resources.
pub(crate) struct Urgent<'a> {
    /// The group's job.
    pub(crate) id: &'a str,
    pub(crate) key: &'a GroupKey,
    pub(crate) demand: &'a Demand,
    pub(crate) reach: Reach,
    /// The job is within its organisation's guarantee.
    pub(crate) is_guaranteed: bool,
}

impl Urgent<'_> {
    /// Returns the group as the search for work to stop needs it.
    pub(crate) fn to_plan(&self) -> preempt::Urgent<'_> {
        preempt::Urgent {
            demand: self.demand,
            reach: self.reach,
            is_guaranteed: self.is_guaranteed,
        }
    }
}

impl Planner {
    /// Stops the cheapest groups that release resources for an urgent one, or waits for them to end
    /// by themselves if that is soon enough.
    pub(crate) fn free_resources(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) {
        self.look_up_candidates(now, pool, guaranteed);
        self.load.searches += 1;
        let Some((job, limit)) = self.wait_parameters(now, urgent) else { return };
        let limits = Limits { wait: limit, stop: self.options.stop_timeout };
        let Pool { places, candidates, .. } = &*pool;
        let choice = tradeoff::weigh(places, candidates, urgent.to_plan(), &job, limits);
        if let Some(choice) = choice {
            self.claim(now, pool, urgent, choice, false);
        }
    }

    /// Returns whether more tasks of an urgent step must run at the same time for the job to be
    /// complete in time.
    pub(crate) fn needs_more_tasks(&self, now: Moment, id: &str, key: &GroupKey) -> bool {
        if !self.options.policy.limit_urgent {
            return true;
        }
        let Some(entry) = self.table.entries.get(id) else { return false };
        let groups = || entry.groups.range(step_groups(key.occurrence, key.step));
        let is_served = |group: &Group| group.active().is_some() || group.claim.is_some();
        let served = groups().filter(|(_, group)| is_served(group)).count();
        let tasks = entry.unfinished_tasks(key.occurrence, key.step);
        let each = self.awaited_run_time(entry, key.step);
        let later =
            entry.remaining_path(|step| self.awaited_run_time(entry, step)).saturating_sub(each);
        let spent = Self::age(entry, now) + OVERHEAD + later;
        let objective = self.objective(entry);
        let useful = objective * rank::USEFUL_OBJECTIVES;
        let needed = waves::needed(tasks, each, objective.saturating_sub(spent))
            .or_else(|| waves::needed(tasks, each, useful.saturating_sub(spent)));
        needed.is_some_and(|needed| served < needed as usize)
    }

    /// Stops the work that is in the way now, without waiting again. Used when work that should
    /// have ended by itself has not, or when released resources were taken by groups that go first.
    ///
    /// Guards against an urgent group that never starts: if it waited anew each time, the resources
    /// released by earlier stops would go to others, and as much work would be stopped again
    /// elsewhere.
    pub(crate) fn force_resources(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) {
        self.look_up_candidates(now, pool, guaranteed);
        self.load.searches += 1;
        // Free resources need no stop, so the place that was chosen first is usually kept.
        let stop = self.options.stop_timeout;
        let wait = (!self.is_last_chance(now, urgent)).then_some(Duration::ZERO);
        let Pool { places, candidates, .. } = &*pool;
        let choice = tradeoff::choose(places, candidates, urgent.to_plan(), wait, stop);
        if let Some(choice) = choice {
            self.claim(now, pool, urgent, choice, true);
        }
    }

    /// Returns whether an urgent group that waits once more, for work that should have ended by now,
    /// can't end in time any more.
    fn is_last_chance(&self, now: Moment, urgent: &Urgent<'_>) -> bool {
        let Some(entry) = self.table.entries.get(urgent.id) else { return true };
        let round = self.options.stop_timeout + END_REPORT_DELAY + PASS_INTERVAL;
        let run_time = entry.remaining_path(|step| self.awaited_run_time(entry, step));
        let end = Self::age(entry, now) + round * 2 + OVERHEAD + run_time;
        urgent.is_guaranteed || end > self.objective(entry)
    }

    /// Claims resources for an urgent group, and stops the work that occupies them.
    fn claim(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        urgent: &Urgent<'_>,
        choice: Choice,
        is_forced: bool,
    ) {
        let Urgent { id, key, demand, .. } = *urgent;
        let Choice { wait, stops, assignments, cost, .. } = choice;
        let assignment =
            |seat: &Assignment| (pool.places[seat.place].worker.to_string(), seat.tasks);
        let assignments = assignments.iter().map(assignment).collect();
        let until = now.steady + wait.max(self.options.stop_timeout) + END_REPORT_DELAY;
        let claim = Claim { until, assignments, renewals: 0 };
        pool.apply_claim(&claim, demand);
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        if let Some(group) = entry.groups.get_mut(key) {
            group.claim = Some(Box::new(claim));
        }
        let mut stopped = Vec::new();
        for at in stops {
            pool.candidates[at].is_stopping = true;
            stopped.push(pool.candidate(at));
        }
        let names: Vec<String> = stopped.iter().take(MAX_LOGGED_STOPS).map(describe).collect();
        self.log(format!(
            "job={id} step={} index={} waits_ms={} forced={is_forced} stops={} first={} cost={cost:.0}",
            key.step,
            key.index,
            wait.as_millis(),
            stopped.len(),
            names.join(",")
        ));
        self.count_stopped(now, &stopped);
        for (job, key) in stopped {
            self.stop_group(now.steady, &job, &key, &Cause::Urgent((*id).to_owned()));
        }
    }

    /// Returns the parameters that decide how long an urgent group waits for work to end by itself,
    /// and the maximum of that wait.
    pub(crate) fn wait_parameters(
        &self,
        now: Moment,
        urgent: &Urgent<'_>,
    ) -> Option<(wait::Job, Duration)> {
        let entry = self.table.entries.get(urgent.id)?;
        let settings = self.queue_settings(entry);
        let age = Self::age(entry, now);
        let job = wait::Job {
            age,
            expected: self.estimate(entry, urgent.key.step),
            overhead: OVERHEAD,
            slack: settings.slack,
            latency: settings.target_latency,
        };
        let limit = if urgent.is_guaranteed {
            // Work that does not end within the wait is stopped after it.
            let noticed = END_REPORT_DELAY + PASS_INTERVAL;
            let stopped = self.options.stop_timeout + OVERHEAD;
            self.options.reclaim_deadline.saturating_sub(age + noticed + stopped)
        } else {
            preempt::LONGEST_WAIT
        };
        let limit = if self.options.policy.weigh_waits { limit } else { Duration::ZERO };
        Some((job, limit))
    }
}

/// Formats the key of a group for the log.
fn describe((job, key): &(JobId, GroupKey)) -> String {
    format!("{job}/{}/{}/{}", key.occurrence, key.step, key.index)
}
