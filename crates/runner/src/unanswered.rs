//! Unanswered starts, which the minion may still carry out.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    LateCall, Run, Unanswered,
    task::{RunNumber, Task},
};

use crate::{event::Ticket, options};

/// One attempt to start a run.
#[derive(Clone, Debug)]
struct Attempt {
    /// Name of the minion that it was sent to.
    minion: String,
    /// Start time of the incarnation that it was sent to.
    born_ms: u64,
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
/// invalidates such a start, but only the incarnation that received it knows of it. Where calls outlive
/// incarnations, the next one under the same name may carry the start out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    minion: String,
    born_ms: u64,
    /// Whether an incarnation may carry out what was sent to an earlier one of the same name, as far as
    /// the planner has said.
    calls_outlive_incarnations: bool,
    attempts: BTreeMap<Ticket, Attempt>,
}

impl Starts {
    /// Sets the name of the minion and the start time of its incarnation.
    pub(crate) fn set_minion(&mut self, minion: &str, born_ms: u64) {
        minion.clone_into(&mut self.minion);
        self.born_ms = born_ms;
    }

    /// Sets whether an incarnation may carry out what was sent to an earlier one of the same name.
    pub(crate) fn set_outliving(&mut self, calls_outlive_incarnations: bool) {
        self.calls_outlive_incarnations = calls_outlive_incarnations;
    }

    /// Records an attempt that is being sent.
    pub(crate) fn sent(&mut self, now: Duration, ticket: Ticket, task: &Task, number: RunNumber) {
        let attempt = Attempt {
            minion: self.minion.clone(),
            born_ms: self.born_ms,
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

    /// Removes the abandoned attempts of incarnations all leases of which are over, unless a next one may
    /// carry them out.
    pub(crate) fn lapse(&mut self) {
        if !self.calls_outlive_incarnations {
            self.attempts.retain(|_, attempt| !attempt.is_abandoned);
        }
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

    /// Returns the attempts that the present incarnation of the minion may carry out.
    fn present(&self) -> impl Iterator<Item = &Attempt> {
        let is_present =
            |attempt: &&Attempt| self.calls_outlive_incarnations || attempt.born_ms == self.born_ms;
        self.of_name().filter(is_present)
    }

    /// Returns the attempts that were sent to the present name of the minion.
    fn of_name(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|attempt| attempt.minion == self.minion)
    }

    /// Returns a start that the present incarnation, which was not running before `born_after`, has
    /// carried out although it was sent to an earlier one. `runs` are those that it lists.
    pub(crate) fn find_late_call<'a>(
        &self,
        born_after: Duration,
        runs: impl Iterator<Item = &'a Run>,
    ) -> Option<LateCall> {
        let is_of = |attempt: &Attempt, run: &Run| attempt.task.run(attempt.number) == *run;
        let is_earlier = |it: &Attempt| it.born_ms != self.born_ms && it.sent_at < born_after;
        let sent_to = |run: &&Run| {
            let mut attempts = self.of_name().filter(|attempt| is_of(attempt, run)).peekable();
            let first = attempts.peek().map(|attempt| attempt.born_ms);
            first.filter(|_| attempts.all(is_earlier))
        };
        let found = runs.filter_map(|run| Some((run, sent_to(&run)?))).next();
        found.map(|(run, sent_to_ms)| LateCall {
            minion: self.minion.clone(),
            run: Some(run.clone()),
            sent_to_ms,
            born_ms: self.born_ms,
        })
    }

    /// Returns the runs whose start a minion of the present name may still carry out, with the
    /// incarnation that it was sent to and the age of the latest attempt.
    ///
    /// The latest attempt may be one whose answer is still waited for. It counts unless the run is
    /// `pending`, that is, unless the poll reports its order as outstanding. If it is never
    /// answered, and this process is lost, the planner has to wait until it expires.
    pub(crate) fn report(&mut self, now: Duration, pending: &[Run]) -> Vec<Unanswered> {
        self.attempts.retain(|_, attempt| now < attempt.sent_at + options::MAX_CALL_DELAY);
        let key = |it: &'_ Attempt| (it.task.clone(), it.number, it.born_ms);
        let mut latest: BTreeMap<(Task, RunNumber, u64), Duration> = BTreeMap::new();
        for attempt in self.of_name().filter(|attempt| attempt.is_abandoned) {
            let known = latest.entry(key(attempt)).or_default();
            *known = attempt.sent_at.max(*known);
        }
        let is_pending = |it: &Attempt| pending.contains(&it.task.run(it.number));
        for attempt in self.of_name().filter(|attempt| !is_pending(attempt)) {
            if let Some(known) = latest.get_mut(&key(attempt)) {
                *known = attempt.sent_at.max(*known);
            }
        }
        let row = |((task, number, born_ms), sent_at): ((Task, RunNumber, u64), Duration)| {
            let run: Run = task.run(number);
            let age = now.saturating_sub(sent_at).as_millis();
            let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            Unanswered { run: Some(run), age_ms, born_ms }
        };
        latest.into_iter().map(row).collect()
    }
}
