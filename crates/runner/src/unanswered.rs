//! Starts without an answer, which may still be carried out.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    Run, Unanswered,
    task::{RunNumber, Task},
};

use crate::{event::Ticket, options};

/// One try of a start.
#[derive(Clone, Debug)]
struct Try {
    task: Task,
    number: RunNumber,
    sent: Duration,
    /// Nobody waits for its answer any more.
    is_given_up: bool,
}

/// Tries of starts that were meant for minions of one name.
///
/// Guards against a task that runs twice: whatever has barred such a start, a stop that was
/// answered, a later run or a token, is known to one life of the minion only. The next life under
/// the same name may carry it out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    minion: String,
    tries: BTreeMap<Ticket, Try>,
}

impl Starts {
    /// Begins with a minion; calls that name another one are turned away.
    pub(crate) fn meet(&mut self, minion: &str) {
        if self.minion != minion {
            self.tries.clear();
            minion.clone_into(&mut self.minion);
        }
    }

    /// A start is sent.
    pub(crate) fn sent(&mut self, now: Duration, ticket: Ticket, task: &Task, number: RunNumber) {
        let sent = Try { task: task.clone(), number, sent: now, is_given_up: false };
        self.tries.insert(ticket, sent);
    }

    /// A call was answered, and won't be carried out later.
    pub(crate) fn answered(&mut self, ticket: Ticket) {
        self.tries.remove(&ticket);
    }

    /// A call has had no answer in time.
    pub(crate) fn give_up(&mut self, ticket: Ticket) {
        if let Some(sent) = self.tries.get_mut(&ticket) {
            sent.is_given_up = true;
        }
    }

    /// Nobody waits for answers to what was sent so far.
    pub(crate) fn give_up_all(&mut self) {
        self.tries.values_mut().for_each(|sent| sent.is_given_up = true);
    }

    /// Whether something may still be carried out.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        let is_open = |sent: &Try| sent.is_given_up && now < sent.sent + options::LATEST_CALL;
        self.tries.values().any(is_open)
    }

    /// Runs whose start may still be carried out, with the age of their latest try.
    pub(crate) fn report(&mut self, now: Duration) -> Vec<Unanswered> {
        self.tries.retain(|_, sent| now < sent.sent + options::LATEST_CALL);
        let mut latest: BTreeMap<(&Task, RunNumber), Duration> = BTreeMap::new();
        for sent in self.tries.values().filter(|sent| sent.is_given_up) {
            let known = latest.entry((&sent.task, sent.number)).or_default();
            *known = sent.sent.max(*known);
        }
        let row = |((task, number), sent): ((&Task, RunNumber), Duration)| {
            let run: Run = task.run(number);
            let age = now.saturating_sub(sent).as_millis();
            Unanswered { run: Some(run), age_ms: u64::try_from(age).unwrap_or(u64::MAX) }
        };
        latest.into_iter().map(row).collect()
    }
}
