//! Writes progress of jobs to the store, and handles the replies of the store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::task::JobId;
use sapphire_store::call::{Call, Condition, Item, Put, Reply};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    keys::{self, Key},
    options,
    planner::Planner,
    table::Urgency,
};

/// Maximum number of jobs in one write, given the store's limit of 32 rows.
const MAX_WRITTEN_JOBS: usize = 12;

impl Planner {
    /// Writes progress if some of it is due.
    pub(crate) fn write_progress(&mut self, now: Moment) {
        let is_busy = self.commits.is_writing || now.steady < self.commits.retry_at;
        if is_busy || !self.startup.is_serving() {
            return;
        }
        let mut dirty: Vec<(Urgency, Duration, &JobId)> = (self.table.entries.iter())
            .filter_map(|(id, entry)| entry.dirty.map(|dirty| (dirty.urgency, dirty.due, id)))
            .collect();
        dirty.sort_unstable();
        if !dirty.iter().any(|(_, due, _)| now.steady >= *due) {
            return;
        }
        let jobs: Vec<JobId> =
            dirty.into_iter().take(MAX_WRITTEN_JOBS).map(|(_, _, id)| id.clone()).collect();
        self.commits.is_writing = true;
        let call = self.progress_call(&jobs);
        let numbers = jobs.into_iter().map(|id| {
            let change = self.table.entries.get(&id).map_or(0, |entry| entry.last_change);
            (id, change)
        });
        let operation = Operation::Progress(numbers.collect());
        self.effects.push(Effect::Store(operation, call));
    }

    /// Builds the write, which is conditional on the planner's key and on the latest revision of
    /// each job's progress.
    ///
    /// Guards against a write that is carried out late, after its reply was abandoned: it would
    /// overwrite newer progress, and a task that is done would start again. Also guards against a
    /// planner that has been replaced without knowing it.
    fn progress_call(&self, jobs: &[JobId]) -> Call {
        let mut conditions = vec![Condition { key: keys::LEAD.to_owned(), revision: self.term }];
        let mut puts = Vec::new();
        for id in jobs {
            let Some(entry) = self.table.entries.get(id) else { continue };
            let key = keys::progress(id);
            conditions.push(Condition { key: key.clone(), revision: entry.revision });
            let value = Bytes::from(entry.progress().encode_to_vec());
            puts.push(Put { key, value, lease: None });
        }
        Call::Commit { conditions, puts, removes: Vec::new() }
    }

    /// Handles the reply to a write of progress.
    pub(crate) fn progress_written(&mut self, now: Moment, jobs: Vec<(JobId, u64)>, reply: Reply) {
        self.commits.is_writing = false;
        match reply {
            Reply::Committed(revision) => {
                for (id, change) in jobs {
                    self.progress_committed(now, &id, change, revision);
                }
            }
            Reply::Refused(items) => {
                if !self.is_deposed_by(&items) {
                    self.adopt_revisions(&jobs, &items);
                }
            }
            _ => self.commits.retry_at = now.steady + options::RETRY_DELAY,
        }
    }

    /// Records that a change of a job's progress is durable.
    fn progress_committed(&mut self, now: Moment, id: &str, change: u64, revision: u64) {
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        entry.revision = revision;
        entry.committed_change = entry.committed_change.max(change);
        if entry.committed_change == entry.last_change {
            entry.dirty = None;
        }
        let state = entry.state;
        let is_durable = entry.committed_change == entry.last_change;
        if is_durable && entry.is_over() {
            self.log(format!("job={id} state={} is durable", state.as_str_name()));
            self.table.report_state(id, state);
            self.table.drop_groups(now.steady, id);
        }
    }

    /// Adopts the revisions in the store after a refused write: an earlier write of this term,
    /// whose reply was lost, has been carried out.
    fn adopt_revisions(&mut self, jobs: &[(JobId, u64)], items: &[Item]) {
        for (id, _) in jobs {
            let found = items.iter().find(|item| keys::parse(&item.key) == Key::Progress(id));
            if let Some(entry) = self.table.entries.get_mut(id) {
                entry.revision = found.map_or(0, |item| item.revision);
            }
        }
    }

    /// Removes the records of jobs that ended long ago.
    pub(crate) fn remove_jobs(&mut self, jobs: Vec<JobId>) {
        if jobs.is_empty() {
            return;
        }
        let removes = (jobs.iter())
            .flat_map(|id| [keys::job(id), keys::progress(id), keys::cancel(id)])
            .collect();
        let conditions = vec![Condition { key: keys::LEAD.to_owned(), revision: self.term }];
        for id in &jobs {
            self.table.remove(id);
        }
        let call = Call::Commit { conditions, puts: Vec::new(), removes };
        self.effects.push(Effect::Store(Operation::Forget(jobs), call));
    }

    /// Handles a reply of the store.
    pub(crate) fn handle_reply(&mut self, now: Moment, operation: Operation, reply: Reply) {
        match operation {
            Operation::Scan => self.handle_scan(now, reply),
            Operation::Begun => self.handle_begun(now, reply),
            Operation::Fleet => self.fleet_written(now, reply),
            Operation::Progress(jobs) => self.progress_written(now, jobs, reply),
            Operation::Unanswered(write) => self.unanswered_written(now, write, reply),
            Operation::Speeds(shard) => self.speeds_written(now, shard, reply),
            Operation::Shares => self.shares_written(reply),
            Operation::Intake => self.handle_intake(now, reply),
            Operation::Cordons => self.handle_cordons(now, reply),
            Operation::CordonWatch => self.handle_cordon_watch(now, reply),
            Operation::Tombstones(jobs) => self.tombstones_removed(now, &jobs, reply),
            Operation::Forget(jobs) => {
                if !matches!(reply, Reply::Committed(_)) {
                    // The next planner finds these jobs and removes them.
                    self.log(format!("{} ended jobs were not removed from the store", jobs.len()));
                }
            }
        }
    }
}
