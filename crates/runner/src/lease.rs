//! Notices when the planner grants no lease although the minion runs tasks, and when a lease is over.

use std::time::Duration;

use crate::{
    machine::{Machine, Minion},
    options,
};

/// Time without a lease in the planner's answers before that is logged.
const LINE_DELAY: Duration = Duration::from_millis(500);

/// What was noticed about the lease of the minion.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Watch {
    /// Time of the first answer without a lease since the latest with one.
    withheld_since: Option<Duration>,
    /// That was logged.
    is_logged: bool,
    /// End of the lease that was last logged as over.
    over_until: Duration,
    /// Time before which the minion is not asked again for a list after the end of its lease.
    next_request: Duration,
}

impl Minion {
    /// Returns whether there are runs, or ends that the planner has not acknowledged.
    fn is_in_use(&self) -> bool {
        !(self.running.is_empty() && self.started.is_empty() && self.ended.is_empty())
    }

    /// Describes what is running and has ended there, and how old that is, for a log line.
    fn describe(&self, now: Duration) -> String {
        let listed = now.saturating_sub(self.list_received_at).as_millis();
        let answered = now.saturating_sub(self.last_answer).as_millis();
        format!(
            "running={} unreported_ends={} listed_ms_ago={listed} answered_ms_ago={answered}",
            self.running.len() + self.started.len(),
            self.ended.len()
        )
    }
}

impl Machine {
    /// Records whether an answer of the planner granted a lease.
    pub(crate) fn record_grant(&mut self, now: Duration, is_granted: bool) {
        let watch = &mut self.lease_watch;
        if is_granted {
            (watch.withheld_since, watch.is_logged) = (None, false);
            return;
        }
        let since = *watch.withheld_since.get_or_insert(now);
        let Some(minion) = self.minion.as_ref().filter(|minion| minion.is_in_use()) else { return };
        if watch.is_logged || now < since + LINE_DELAY {
            return;
        }
        watch.is_logged = true;
        let left = self.session.lease_until.saturating_sub(now).as_millis();
        let lasted = now.saturating_sub(since).as_millis();
        let text = minion.describe(now);
        self.log(format!(
            "the planner grants no lease: withheld_ms={lasted} limit_ms={left} {text}"
        ));
    }

    /// Logs once that the lease is over while the minion has runs, or ends that the planner has not
    /// acknowledged.
    pub(crate) fn watch_lease(&mut self, now: Duration) {
        let until = self.session.lease_until;
        if now < until || until <= self.lease_watch.over_until {
            return;
        }
        let Some(minion) = self.minion.as_ref().filter(|minion| minion.is_in_use()) else { return };
        self.lease_watch.over_until = until;
        let text = minion.describe(now);
        let polled = self.polls.iter().map(|poll| poll.sent_at).min();
        let waiting = polled.map_or(0, |sent_at| now.saturating_sub(sent_at).as_millis());
        let over = now.saturating_sub(until).as_millis();
        let failed = self.failed_polls;
        self.log(format!(
            "the lease is over: over_ms={over} {text} poll_waits_ms={waiting} failed_polls={failed}"
        ));
    }

    /// Returns whether the minion is to be asked at once what its runs have come to, since its lease has
    /// ended and no list shows it.
    ///
    /// Guards against a task that runs again although it is done: the planner takes the lease for over a
    /// moment later, and a minion that hung or refused connections until then may answer again.
    pub(crate) fn awaits_last_list(&mut self, now: Duration) -> bool {
        let drift = self.options.longest_lease * options::CLOCK_DRIFT_MILLI / 1_000;
        let over_at = self.session.lease_until + drift;
        let is_time = now >= over_at && now < over_at + options::LAST_LIST_TIME;
        let is_unknown = |minion: &Minion| minion.is_in_use() && minion.list_requested_at < over_at;
        let is_due = now >= self.lease_watch.next_request;
        if !is_time || !is_due || !self.minion.as_ref().is_some_and(is_unknown) {
            return false;
        }
        self.lease_watch.next_request = now + options::LIST_DELAY;
        true
    }
}
