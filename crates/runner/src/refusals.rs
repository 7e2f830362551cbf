//! Runs that were reported to the planner as refused, kept while orders to start them may arrive.

use std::collections::BTreeMap;

use sapphire_jobs::task::{RunNumber, Task};

/// A run that was refused.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    number: RunNumber,
    /// Sequence of the first poll that reports the refusal.
    reported_in: u64,
}

/// Refused runs by task.
///
/// Guards against a task that runs twice: the planner may answer two concurrent polls with the same
/// start. When the first attempt is refused, the planner starts the task elsewhere, and the second
/// answer would start it here as well. The answer to a poll that reports the refusal was written
/// with knowledge of it, so a refusal is kept until no earlier poll is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    by_task: BTreeMap<Task, Refusal>,
}

impl Refusals {
    /// Records that a run was refused, which polls from sequence `reported_in` on report.
    pub(crate) fn record(&mut self, task: Task, number: RunNumber, reported_in: u64) {
        let known = self.by_task.get(&task).is_some_and(|refusal| refusal.number > number);
        if !known {
            self.by_task.insert(task, Refusal { number, reported_in });
        }
    }

    /// Whether this run or a later one of the task was refused.
    pub(crate) fn covers(&self, task: &Task, number: RunNumber) -> bool {
        self.by_task.get(task).is_some_and(|refusal| refusal.number >= number)
    }

    /// Removes the refusals that every poll in flight reports; `oldest` is the lowest sequence of
    /// these polls.
    pub(crate) fn prune(&mut self, oldest: u64) {
        self.by_task.retain(|_, refusal| refusal.reported_in > oldest);
    }

    /// Removes all refusals. Called at the end of a session, whose orders are invalid from then on.
    pub(crate) fn clear(&mut self) {
        self.by_task.clear();
    }
}
