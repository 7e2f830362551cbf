//! Finds and logs why runs that were placed have not begun. Their groups do not wait, so that no pass
//! examines them.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId, RunNumber, Task};

use crate::{
    delay::{Delayed, Reason, Summary},
    event::Moment,
    group::Active,
    lines, options,
    planner::Planner,
    worker::{Phase, Run, Worker},
};

/// Time after which a run that has not begun is logged.
const BEGIN_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two searches.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Follows the placed groups that have not begun.
    pub(crate) fn follow_delays(&mut self, now: Moment) {
        if now.steady < self.delays.searched_at + SEARCH_INTERVAL || !self.startup.is_serving() {
            return;
        }
        self.delays.searched_at = now.steady;
        let left_out = self.delays.lines.begin_period(now.steady).unwrap_or(0);
        if left_out > 0 {
            self.log(format!("delays left_out={left_out}"));
        }
        let mut delayed: Vec<_> = self.find_delayed(now).into_iter().collect();
        delayed.sort_by_key(|(_, delayed)| delayed.since);
        let mut earlier = std::mem::take(&mut self.delays.logged);
        let mut summary = Summary::default();
        for (id, delayed) in delayed {
            let reason = delayed.reason;
            summary.add(reason, now.steady.saturating_sub(delayed.since));
            let mut logged = earlier.remove(&id);
            if lines::is_due(now.steady, logged, reason)
                && self.delays.lines.take(lines::is_repeat(logged, reason))
            {
                logged = Some((reason, now.steady));
                self.log_delay(now, &id.0, &id.1, &delayed);
            }
            self.delays.logged.extend(logged.map(|logged| (id, logged)));
        }
        self.delays.summary = summary;
    }

    /// Returns the groups that were placed some time ago and have not begun, and those that were
    /// stopped and have not ended.
    fn find_delayed(&self, now: Moment) -> BTreeMap<(JobId, GroupKey), Delayed> {
        let mut found: BTreeMap<(JobId, GroupKey), Delayed> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.phase != Phase::Running) {
                let Some((key, active)) = self.active_run(name, task, run.number) else { continue };
                let (reason, since) = match &run.stop {
                    Some(stop) => (Reason::Stop, stop.decided_at),
                    None => (self.delay_reason(now, worker, run), active.ordered_at),
                };
                if now.steady >= since + BEGIN_LIMIT {
                    let (run, workers) = (run.number, vec![name.clone()]);
                    let delayed = Delayed { reason, run, since, workers };
                    let known = found.entry((task.job.clone(), key));
                    known.and_modify(|it| it.merge(delayed.clone())).or_insert(delayed);
                }
            }
        }
        found
    }

    /// Returns the group's run that a worker's run belongs to, unless the group has another run.
    fn active_run(
        &self,
        name: &str,
        task: &Task,
        number: RunNumber,
    ) -> Option<(GroupKey, &Active)> {
        let (_, step, group) = self.group_of(task)?;
        let active = group.active().filter(|_| group.run == number)?;
        let is_there = active.unfinished.get(&task.index).is_some_and(|worker| worker == name);
        is_there.then(|| (GroupKey::of(task, step.is_gang), active))
    }

    /// Returns the reason for which an ordered run has not begun.
    fn delay_reason(&self, now: Moment, worker: &Worker, run: &Run) -> Reason {
        let has_poll = worker.long_poll.is_some();
        let limit = if has_poll { options::SILENCE_TIMEOUT } else { options::POLL_TIMEOUT };
        if run.recorded_in > self.handover.durable {
            Reason::Record
        } else if now.steady >= worker.last_contact + limit {
            Reason::Poll
        } else if run.is_received {
            Reason::Unconfirmed
        } else if worker.start_window(now.steady).is_zero() {
            Reason::Session
        } else if self.start_window(now).is_zero() {
            Reason::Window
        } else {
            // An open poll is answered with the order at once.
            Reason::Unreceived
        }
    }

    /// Logs why a group has not begun.
    fn log_delay(&mut self, now: Moment, job: &str, key: &GroupKey, delayed: &Delayed) {
        let Delayed { reason, run, since, workers } = delayed;
        let state = match reason {
            Reason::Stop => "stopped, not ended",
            _ => "placed, not begun",
        };
        self.log(format!(
            "job={job} step={} index={} run={run} {state} reason={} waited_ms={} workers={}",
            key.step,
            key.index,
            reason.name(),
            now.steady.saturating_sub(*since).as_millis(),
            lines::describe(workers)
        ));
    }
}
