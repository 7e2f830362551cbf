//! Callers that cancel jobs, and checks that nothing is started or runs on after that.

use std::time::Duration;

use sapphire_jobs::task::{RunNumber, Task};

use super::{CALLER_TIMEOUT, Pending, REQUEST_DELAY, Soak};
use crate::{conditions::millis, fleet::ENTRIES};

/// Calm time after which a cancellation counts as acknowledged.
const ACKNOWLEDGEMENT_BOUND: Duration = Duration::from_secs(5);
/// Time after a disturbance from which on a machine is in touch.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(4);

impl Soak {
    /// Sends the submissions again that are due, also of jobs that have ended or were cancelled.
    /// What is answered doesn't matter.
    pub(super) fn send_duplicates(&mut self, now: Duration) {
        for (id, job) in &mut self.jobs {
            if job.duplicate_at.is_some_and(|at| now >= at) {
                job.duplicate_at = None;
                let request = job.submission(id).with("Host", "soak.example").with("X-Key", "k");
                let target = self.net.callers((job.entry + 1) % ENTRIES);
                let call = self.hub.call(target, &request, CALLER_TIMEOUT);
                self.pending.insert(call, Pending::Duplicate);
            }
        }
    }

    /// Handles the response to a request that cancels a job; 0 stands for none.
    pub(super) fn handle_cancellation(&mut self, now: Duration, id: &str, status: u16) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.next_request_at = now + REQUEST_DELAY;
        if status == 410 || (200..300).contains(&status) {
            job.cancelled_at = Some(now);
            if job.is_withdrawn() {
                job.end_withdrawal(now);
            }
            self.write_log(&format!("{id} is cancelled, {status}"));
        } else {
            job.entry = (job.entry + 1) % ENTRIES;
        }
    }

    /// Returns from when on the cancellation of a job counts as acknowledged.
    fn cancelled_from(&self, id: &str) -> Option<Duration> {
        let job = self.jobs.get(id)?;
        let sent = job.cancel_sent_at?.max(self.disturbed_until + CONTACT_TIME);
        Some(job.cancelled_at.unwrap_or(sent + ACKNOWLEDGEMENT_BOUND))
    }

    /// Returns whether an order to start a task of a job came too late after its cancellation.
    pub(super) fn is_started_late(&self, agent: usize, id: &str, received_at: Duration) -> bool {
        let is_in_touch = received_at >= self.agents_disturbed[agent] + CONTACT_TIME;
        let bound = millis(self.options.conditions.bounds.cancel);
        let is_late = |from: Duration| received_at > from + bound;
        is_in_touch && self.cancelled_from(id).is_some_and(is_late)
    }

    /// Checks that no task of a cancelled job runs on.
    pub(super) fn watch_cancelled(&mut self, now: Duration) {
        let bounds = self.options.conditions.bounds;
        let (cancel, stop) = (millis(bounds.cancel), millis(bounds.stop));
        let mut overdue: Vec<(usize, Task, RunNumber, Duration)> = Vec::new();
        for (agent, minion) in self.minions.iter().enumerate().filter(|(_, minion)| minion.is_up) {
            for (task, active) in &minion.active {
                let Some(from) = self.cancelled_from(&task.job) else { continue };
                let from = from.max(self.disturbed_until + CONTACT_TIME);
                let is_late_start = active.started_at > from + cancel;
                let start = if is_late_start { active.started_at + CONTACT_TIME } else { from };
                if now > start + cancel + stop {
                    overdue.push((agent, task.clone(), active.number, now - from));
                }
            }
        }
        for (agent, task, number, time) in overdue {
            if self.overdue.insert((task.clone(), number)) {
                self.break_promise(format!(
                    "{task} run {number} runs on m{agent} {time:?} after its job was cancelled"
                ));
            }
        }
    }

    /// Returns whether what happens after the last cancellation has been checked.
    pub(super) fn cancellations_are_over(&self, now: Duration) -> bool {
        let twice = millis(self.options.conditions.bounds.cancel) * 2;
        let is_over = |id| self.cancelled_from(id).is_none_or(|from| now > from + twice);
        self.jobs.keys().all(|id| is_over(id))
    }
}
