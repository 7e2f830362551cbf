//! Handover record: unanswered starts that a planner leaves to its successor.

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::UnansweredStarts;
use sapphire_store::call::{Call, Condition, Put, Reply, Revision};

use crate::{
    effect::Effect,
    event::{Moment, Operation},
    keys, options,
    planner::Planner,
    worker::Run,
};

impl Planner {
    /// Writes the starts that may still be carried out to the store if there are changes.
    ///
    /// Guards against a task that runs twice: only an agent and the planner know of its start, and
    /// the processes of both may be lost before the start expires.
    pub(crate) fn write_unanswered(&mut self, now: Moment) {
        let is_busy = self.handover.is_writing || now.steady < self.handover.next_write;
        let is_dirty = self.handover.is_outdated || self.unanswered.is_dirty();
        if is_busy || !self.startup.is_serving() || !is_dirty {
            return;
        }
        self.handover.is_outdated = false;
        self.handover.last_write = now.steady;
        self.handover.is_writing = true;
        self.handover.next_write = now.steady + options::WRITE_DELAY;
        let conditions = vec![
            Condition { key: keys::LEAD.to_owned(), revision: self.term },
            Condition { key: keys::UNANSWERED.to_owned(), revision: self.handover.revision },
        ];
        let value = Bytes::from(self.unanswered.record(now, &self.workers).encode_to_vec());
        let puts = vec![Put { key: keys::UNANSWERED.to_owned(), value, lease: None }];
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.effects.push(Effect::Store(Operation::Unanswered, call));
    }

    /// Has the record written if it lacks a start that was ordered some time ago and is not known to
    /// be answered.
    pub(crate) fn check_ordered(&mut self, now: Moment) {
        let last_write = self.handover.last_write;
        let is_missing = |run: &Run| {
            let due = run.began + options::ANSWER_DELAY;
            !run.is_started && now.steady >= due && last_write < due
        };
        let mut runs = self.workers.values().flat_map(|worker| worker.runs.values());
        self.handover.is_outdated |= runs.any(is_missing);
    }

    /// Returns whether the record contains a start that was not known to be answered.
    pub(crate) fn is_recorded(&self, run: &Run) -> bool {
        !run.is_started && self.handover.last_write >= run.began
    }

    /// Handles the reply to a write of the handover record.
    pub(crate) fn unanswered_written(&mut self, now: Moment, reply: Reply) {
        self.handover.is_writing = false;
        if let Reply::Committed(revision) = reply {
            self.handover.revision = revision;
            return;
        }
        self.unanswered.invalidate_record();
        self.handover.is_outdated = true;
        if let Reply::Refused(items) = reply {
            // An earlier write of this term, whose reply was lost, has been carried out.
            if !self.is_deposed_by(&items) {
                let found = items.iter().find(|item| item.key == keys::UNANSWERED);
                self.handover.revision = found.map_or(0, |item| item.revision);
            }
        } else {
            self.handover.next_write = now.steady + options::WRITE_DELAY;
        }
    }

    /// Loads the handover record of the previous planner.
    pub(crate) fn load_unanswered(&mut self, now: Moment, value: &Bytes, revision: Revision) {
        self.handover.revision = revision;
        match UnansweredStarts::decode(&value[..]) {
            Ok(starts) => self.unanswered.restore(now, starts, &self.workers),
            Err(error) => self.log(format!("unanswered starts can't be decoded: {error}")),
        }
    }
}
