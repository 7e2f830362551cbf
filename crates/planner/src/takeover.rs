//! Logs what a planner waits for before it places work: the workers of the earlier term, and how long
//! it waits for them at most.

use std::time::Duration;

use sapphire_jobs::task::WorkerName;

use crate::{
    event::Moment,
    lines::{self, REPEAT_INTERVAL},
    options,
    planner::Planner,
    wait::Reason,
    worker::Worker,
};

impl Planner {
    /// Logs which workers the inherited jobs wait for: at the start of the term, when half of the
    /// workers are accounted for, and at intervals.
    pub(crate) fn follow_takeover(&mut self, now: Moment) {
        let count = self.startup.unaccounted.len();
        let is_due = self
            .startup
            .unaccounted_logged
            .is_none_or(|(earlier, at)| count * 2 <= earlier || now.steady >= at + REPEAT_INTERVAL);
        if count == 0 || !self.startup.is_serving() || !is_due {
            return;
        }
        let open = self.table.open.iter().filter_map(|id| self.table.entries.get(id));
        let due = open.flat_map(|entry| entry.due_groups().map(move |(key, _)| (entry, key)));
        let groups = due.filter(|(entry, key)| self.is_held(entry, key)).count();
        if groups == 0 {
            return;
        }
        self.startup.unaccounted_logged = Some((count, now.steady));
        let began = self.startup.began;
        self.log(format!(
            "term={} take-over waits for workers={} count={count} groups={} waited_ms={} limit_ms={}",
            self.term,
            lines::describe(&self.unaccounted_workers()),
            groups,
            now.steady.saturating_sub(began).as_millis(),
            self.recovery_deadline().saturating_sub(began).as_millis()
        ));
    }

    /// Returns the time from which on all workers of the earlier term that have not reported are lost.
    pub(crate) fn recovery_deadline(&self) -> Duration {
        self.startup.unaccounted.values().copied().max().unwrap_or(self.startup.began)
    }

    /// Returns the workers of the earlier term that have not been accounted for.
    fn unaccounted_workers(&self) -> Vec<WorkerName> {
        self.startup.unaccounted.keys().cloned().collect()
    }

    /// Returns whether what became of a start that expires at `until` is known of a worker.
    pub(crate) fn is_shown(worker: &Worker, until: Duration) -> bool {
        let is_listed = worker.is_fenced && worker.listed_at + options::TIMING_MARGIN >= until;
        worker.is_vacant || is_listed
    }

    /// Returns the workers because of which no group may be tried for a reason.
    pub(crate) fn workers_of_obstacle(&self, now: Moment, reason: Reason) -> Vec<WorkerName> {
        let until = self.handover.missing_until.filter(|_| self.startup.is_recovered());
        match (reason, until) {
            (Reason::Takeover, _) | (Reason::Handover, None) => self.unaccounted_workers(),
            (Reason::Handover, Some(until)) if now.steady >= until => {
                let unknown = |worker: &Worker| !Self::is_shown(worker, until);
                let workers = self.workers.iter().filter(|(_, worker)| unknown(worker));
                workers.map(|(name, _)| name.clone()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the time until which no group may be tried for a reason; `None` without a limit.
    pub(crate) fn obstacle_end(&self, reason: Reason) -> Option<Duration> {
        match reason {
            Reason::Takeover => Some(self.recovery_deadline()),
            Reason::Handover => {
                let until = self.handover.missing_until.unwrap_or_else(|| {
                    let recovered_at = self.startup.recovered_at;
                    let recovered_at = recovered_at.unwrap_or_else(|| self.recovery_deadline());
                    recovered_at + options::START_EXPIRY
                });
                Some(until + self.options.longest_lease_expiry())
            }
            // The planner gives up after this time.
            Reason::Lease | Reason::Store => {
                Some(self.lease_expires_at.saturating_add(options::MAX_STORE_OUTAGE))
            }
            _ => None,
        }
    }
}
