//! Removes the records of cancellations of jobs that don't exist.

use sapphire_jobs::task::JobId;
use sapphire_store::call::{Call, Condition, Item, Reply};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    keys, options,
    planner::Planner,
};

/// Maximum number of cancellations that one write removes: three rows for each, of the 32 rows that the
/// store accepts.
const MAX_REMOVED: usize = 10;

impl Planner {
    /// Removes cancellations that have barred their jobs for as long as ended jobs are kept.
    pub(crate) fn remove_tombstones(&mut self, now: Moment) {
        let is_busy = self.tombstones.is_removing || now.steady < self.tombstones.remove_at;
        if is_busy || !self.startup.is_serving() {
            return;
        }
        self.tombstones.remove_at = now.steady + options::TOMBSTONE_INTERVAL;
        let retention = self.retention();
        let is_old = |since| now.steady >= since + retention;
        // What no read of the store has shown by now is not there.
        self.tombstones.by_job.retain(|_, it| it.revision > 0 || !is_old(it.since));
        let old: Vec<(JobId, u64)> = (self.tombstones.by_job.iter())
            .filter(|(_, it)| is_old(it.since))
            .map(|(id, it)| (id.clone(), it.revision))
            .take(MAX_REMOVED)
            .collect();
        if old.is_empty() {
            return;
        }
        // A call that is carried out late must not remove a later cancellation of the same job.
        let mut conditions = vec![Condition { key: keys::LEAD.to_owned(), revision: self.term }];
        let mut removes = Vec::new();
        for (id, revision) in &old {
            conditions.push(Condition { key: keys::cancel(id), revision: *revision });
            conditions.push(Condition { key: keys::job(id), revision: 0 });
            removes.push(keys::cancel(id));
        }
        self.tombstones.is_removing = true;
        let operation = Operation::Tombstones(old.into_iter().map(|(id, _)| id).collect());
        let call = Call::Commit { conditions, puts: Vec::new(), removes };
        self.effects.push(Effect::Store(operation, call));
    }

    /// Handles the reply to a removal. One without an answer is sent again.
    pub(crate) fn tombstones_removed(&mut self, now: Moment, ids: &[JobId], reply: Reply) {
        self.tombstones.is_removing = false;
        match reply {
            Reply::Committed(_) => {
                for id in ids {
                    self.tombstones.by_job.remove(id);
                }
                self.log(format!("removed cancellations of {} jobs that don't exist", ids.len()));
            }
            Reply::Refused(items) if !self.is_deposed_by(&items) => {
                for id in ids {
                    self.adopt_tombstone(now, id, &items);
                }
            }
            _ => {}
        }
    }

    /// Adopts what the store has of a cancellation after a refused removal.
    fn adopt_tombstone(&mut self, now: Moment, id: &str, items: &[Item]) {
        let key = keys::cancel(id);
        let item = items.iter().find(|item| item.key == key && item.value.is_some());
        match item {
            Some(item) => self.tombstones.add(now.steady, id, item.revision),
            None => {
                self.tombstones.by_job.remove(id);
            }
        }
    }
}
