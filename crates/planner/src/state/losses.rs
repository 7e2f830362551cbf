//! Runs that count as ended although their minions have not listed their ends.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::{RunNumber, Task};

use crate::loss::{Evidence, Summary};

/// Time for which such runs are kept, above the longest lease.
const RETENTION: Duration = Duration::from_secs(30);

/// Runs that count as ended although their minions have not listed their ends.
#[derive(Default)]
pub(crate) struct Losses {
    pub(crate) summary: Summary,
    /// The latest of them, with what showed it and when.
    recent: BTreeMap<(Task, RunNumber), (Evidence, Duration)>,
}

impl Losses {
    pub(crate) fn add(&mut self, now: Duration, task: &Task, run: RunNumber, evidence: Evidence) {
        self.summary.add(evidence);
        self.recent.retain(|_, (_, at)| now < *at + RETENTION);
        self.recent.insert((task.clone(), run), (evidence, now));
    }

    /// Takes a run that is listed as running although it counts as ended; returns what showed that it
    /// had ended, and when.
    pub(crate) fn contradict_running(
        &mut self,
        task: &Task,
        run: RunNumber,
    ) -> Option<(Evidence, Duration)> {
        let loss = self.recent.remove(&(task.clone(), run))?;
        self.summary.found_running += 1;
        Some(loss)
    }

    /// Takes a run that is listed as done although it counts as ended; returns what showed that it had
    /// ended, and when.
    pub(crate) fn contradict_done(
        &mut self,
        task: &Task,
        run: RunNumber,
    ) -> Option<(Evidence, Duration)> {
        let loss = self.recent.remove(&(task.clone(), run))?;
        self.summary.found_done += 1;
        Some(loss)
    }
}
