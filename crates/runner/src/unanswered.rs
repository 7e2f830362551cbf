//! Unanswered starts, which the minion may still carry out.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    Run, Unanswered,
    task::{RunNumber, Task},
};

use crate::{event::Ticket, options};

/// One attempt to start a run.
#[derive(Clone, Debug)]
struct Attempt {
    /// Name of the minion that it was sent to.
    minion: String,
    task: Task,
    number: RunNumber,
    sent_at: Duration,
    /// The agent no longer waits for the answer.
    is_abandoned: bool,
}

impl Attempt {
    /// Whether the attempt is abandoned, but the minion may still carry it out.
    fn is_open(&self, now: Duration) -> bool {
        self.is_abandoned && now < self.sent_at + options::MAX_CALL_DELAY
    }
}

/// Attempts to start runs. Those that were sent to a minion of another name than the present one can't
/// be carried out until that name returns: a minion refuses calls that are addressed to another one.
///
/// Guards against a task that runs twice: a stop that was answered, a later run or a token
/// invalidates such a start, but only the incarnation that received it knows of it. The next
/// incarnation under the same name may carry the start out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    minion: String,
    attempts: BTreeMap<Ticket, Attempt>,
}

impl Starts {
    /// Sets the name of the minion.
    pub(crate) fn set_minion(&mut self, minion: &str) {
        minion.clone_into(&mut self.minion);
    }

    /// Records an attempt that is being sent.
    pub(crate) fn sent(&mut self, now: Duration, ticket: Ticket, task: &Task, number: RunNumber) {
        let attempt = Attempt {
            minion: self.minion.clone(),
            task: task.clone(),
            number,
            sent_at: now,
            is_abandoned: false,
        };
        self.attempts.insert(ticket, attempt);
    }

    /// Removes a call that was answered, which therefore won't be carried out later.
    pub(crate) fn answered(&mut self, ticket: Ticket) {
        self.attempts.remove(&ticket);
    }

    /// Marks a call that got no answer before its timeout.
    pub(crate) fn abandon(&mut self, ticket: Ticket) {
        if let Some(attempt) = self.attempts.get_mut(&ticket) {
            attempt.is_abandoned = true;
        }
    }

    /// Marks all attempts so far: their answers are no longer waited for.
    pub(crate) fn abandon_all(&mut self) {
        self.attempts.values_mut().for_each(|attempt| attempt.is_abandoned = true);
    }

    /// Whether the minion may still carry out an abandoned attempt.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        self.present().any(|attempt| attempt.is_open(now))
    }

    /// Whether the minion may still carry out an abandoned attempt to start another run of a task.
    pub(crate) fn has_other_run(&self, now: Duration, task: &Task, number: RunNumber) -> bool {
        let is_other = |it: &Attempt| it.task == *task && it.number != number && it.is_open(now);
        self.present().any(is_other)
    }

    /// Returns the attempts that were sent to the present name of the minion.
    fn present(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|attempt| attempt.minion == self.minion)
    }

    /// Returns the runs whose start may still be carried out, with the age of the latest attempt.
    ///
    /// The latest attempt may be one whose answer is still waited for. It counts unless the run is
    /// `pending`, that is, unless the poll reports its order as outstanding. If it is never
    /// answered, and this process is lost, the planner has to wait until it expires.
    pub(crate) fn report(&mut self, now: Duration, pending: &[Run]) -> Vec<Unanswered> {
        self.attempts.retain(|_, attempt| now < attempt.sent_at + options::MAX_CALL_DELAY);
        let mut latest: BTreeMap<(&Task, RunNumber), Duration> = BTreeMap::new();
        for attempt in self.present().filter(|attempt| attempt.is_abandoned) {
            let known = latest.entry((&attempt.task, attempt.number)).or_default();
            *known = attempt.sent_at.max(*known);
        }
        let is_pending = |it: &Attempt| pending.contains(&it.task.run(it.number));
        for attempt in self.present().filter(|attempt| !is_pending(attempt)) {
            if let Some(known) = latest.get_mut(&(&attempt.task, attempt.number)) {
                *known = attempt.sent_at.max(*known);
            }
        }
        let row = |((task, number), sent_at): ((&Task, RunNumber), Duration)| {
            let run: Run = task.run(number);
            let age = now.saturating_sub(sent_at).as_millis();
            Unanswered { run: Some(run), age_ms: u64::try_from(age).unwrap_or(u64::MAX) }
        };
        latest.into_iter().map(row).collect()
    }
}
