//! Follows open jobs of which a task is due and that have nothing at work, whatever the reason: the
//! task waits, is placed and has not begun, or is not examined at all.

use std::time::Duration;

use sapphire_jobs::task::JobId;

use crate::{event::Moment, lines::REPEAT_INTERVAL, planner::Planner, table::Entry};

/// Interval between two searches.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a job is logged. No job may have nothing running for longer while there is room
/// for it.
const LOGGED_STANDSTILL: Duration = Duration::from_secs(3);

impl Entry {
    /// Returns whether a task is due and none has begun.
    fn stands_still(&self) -> bool {
        let mut active = self.groups.values().filter_map(|group| group.active());
        let mut open = self.groups.iter().filter(|(_, group)| !group.is_final());
        !active.any(|active| active.began.is_some()) && open.any(|(key, _)| self.is_unblocked(key))
    }
}

impl Planner {
    /// Follows the jobs that have nothing at work. Those that are found by the first search of a term
    /// count from the beginning of the term.
    pub(crate) fn follow_standstills(&mut self, now: Moment) {
        let state = &mut self.standstills;
        if state.searched_at.is_some_and(|at| now.steady < at + SEARCH_INTERVAL)
            || !self.startup.is_serving()
        {
            return;
        }
        let first = if state.searched_at.is_none() { self.startup.began } else { now.steady };
        let open = self.table.open.iter().filter_map(|id| self.table.entries.get(id));
        let earlier = &state.since;
        let since = open.filter(|entry| entry.stands_still()).map(|entry| {
            let id = &entry.job.id;
            (id.clone(), earlier.get(id).copied().unwrap_or(first))
        });
        state.since = since.collect();
        state.searched_at = Some(now.steady);
        self.log_standstills(now);
    }

    /// Logs the job that has had nothing at work for longest, and the number of those like it.
    fn log_standstills(&mut self, now: Moment) {
        let state = &mut self.standstills;
        let is_long = |since: Duration| now.steady >= since + LOGGED_STANDSTILL;
        let jobs = state.since.values().filter(|since| is_long(**since)).count();
        if jobs == 0 || state.logged_at.is_some_and(|at| now.steady < at + REPEAT_INTERVAL) {
            return;
        }
        let oldest: Option<(&JobId, &Duration)> =
            state.since.iter().min_by_key(|(_, since)| **since);
        let Some((job, since)) = oldest else { return };
        let waited = now.steady.saturating_sub(*since).as_millis();
        let age = self.table.entries.get(job).map(|entry| Self::age(entry, now).as_millis());
        let age = age.unwrap_or_default();
        let text =
            format!("job={job} has nothing at work waited_ms={waited} age_ms={age} jobs={jobs}");
        state.logged_at = Some(now.steady);
        self.log(text);
    }
}
