//! Leases of workers: what withholds one, and for how long.

use std::time::Duration;

use crate::{
    event::Moment,
    lease::{Obstacle, Withheld},
    options,
    planner::Planner,
    worker::Worker,
};

/// Time for which a lease is withheld before that is logged. Sessions that begin take a shorter time.
const LINE_DELAY: Duration = Duration::from_millis(500);
/// Part of a lease below which the rest of one is short.
const SHORT_SHARE: u32 = 2;
/// Least time by which an answer that is sent at once has to extend a lease.
const LEAST_GAIN: Duration = Duration::from_millis(500);

impl Planner {
    /// Returns why a worker is granted no lease, if so.
    ///
    /// Guards against a task that runs twice: a successor would count with an earlier end of all that
    /// runs there, or with nothing there if the stored list lacks the worker.
    pub(crate) fn lease_obstacle(&self, now: Moment, name: &str) -> Option<Obstacle> {
        let worker = self.workers.get(name)?;
        let minion = worker.incarnation.as_ref();
        if !worker.is_fenced {
            Some(Obstacle::Unfenced)
        } else if worker.absence.is_some() {
            Some(Obstacle::Absent)
        } else if now.steady >= worker.listed_at + options::LIST_TIMEOUT {
            Some(Obstacle::Unlisted)
        } else if self.gains_nothing(worker, name) {
            Some(Obstacle::Silent)
        } else if !minion.is_some_and(|minion| self.startup.is_recorded(name, &minion.id)) {
            Some(Obstacle::Unrecorded)
        } else {
            None
        }
    }

    /// Returns the longest lease that a worker may be granted for its latest poll.
    ///
    /// Guards against runs that lapse on a worker that polls, since the store takes long to write that it
    /// is not silent any more.
    pub(crate) fn lease_left(&self, worker: &Worker, name: &str) -> Duration {
        let Some(end) = self.startup.recorded_lease_end(name) else { return self.options.lease };
        let left = end.saturating_sub(worker.last_contact + options::TIMING_MARGIN);
        let left = left - left * self.options.clock_drift_milli / 1_000;
        left.min(self.options.lease)
    }

    /// Returns whether a recorded end of its leases leaves none for a worker that it doesn't have already.
    fn gains_nothing(&self, worker: &Worker, name: &str) -> bool {
        let left = self.lease_left(worker, name);
        let is_later = self.lease_until(worker, name) > worker.lease_expires_at;
        left < self.options.lease && (left.is_zero() || !is_later)
    }

    /// Returns the time at which that lease would certainly be over.
    fn lease_until(&self, worker: &Worker, name: &str) -> Duration {
        worker.last_contact + self.options.expiry_of(self.lease_left(worker, name))
    }

    /// Returns whether the poll of a worker with runs is to be answered at once, since little is left of its
    /// lease and a longer one can be granted.
    ///
    /// Guards against runs that lapse on a worker that is back after a silence, and whose poll is lost
    /// before it is answered.
    pub(crate) fn is_grant_due(&self, now: Moment, name: &str, worker: &Worker) -> bool {
        let is_short =
            worker.lease_expires_at < now.steady + self.options.lease_expiry() / SHORT_SHARE;
        if !is_short || worker.runs.is_empty() || self.lease_obstacle(now, name).is_some() {
            return false;
        }
        self.lease_until(worker, name) >= worker.lease_expires_at + LEAST_GAIN
    }

    /// Records whether a worker with runs was granted a lease, and logs when it has been withheld for
    /// long.
    pub(crate) fn record_grant(&mut self, now: Moment, name: &str, obstacle: Option<Obstacle>) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let since = worker.withheld.map_or(now.steady, |withheld| withheld.since);
        let lasted = now.steady.saturating_sub(since);
        let summary = &mut self.lease_summary;
        let line = match (obstacle, worker.withheld) {
            (Some(_), None) if worker.runs.is_empty() => None,
            (Some(obstacle), earlier) => {
                if earlier.is_none_or(|earlier| earlier.obstacle != obstacle) {
                    summary.add(obstacle);
                }
                summary.longest = summary.longest.max(lasted);
                let was_logged = earlier.is_some_and(|earlier| earlier.is_logged);
                let is_logged = was_logged || lasted >= LINE_DELAY;
                worker.withheld = Some(Withheld { obstacle, since, is_logged });
                (is_logged && !was_logged).then(|| {
                    let left = worker.lease_expires_at.saturating_sub(now.steady).as_millis();
                    let (runs, ages) = (worker.runs.len(), worker.ages(now.steady));
                    format!(
                        "worker={name} polls and is granted no lease: runs={runs} limit_ms={left}{ages}"
                    )
                })
            }
            (None, Some(earlier)) => {
                summary.longest = summary.longest.max(lasted);
                worker.withheld = None;
                let reason = earlier.obstacle.name();
                let lasted = lasted.as_millis();
                earlier.is_logged.then(|| {
                    format!(
                        "worker={name} is granted a lease again: withheld={reason} withheld_ms={lasted}"
                    )
                })
            }
            (None, None) => None,
        };
        if let Some(line) = line {
            self.log(line);
        }
    }
}
