//! Jobs of a cell, stored by their planner as one document.

use std::{
    collections::{BTreeMap, btree_map},
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use sapphire_store::{
    call::{Call, Reply, Revision, Value},
    writer,
};
use sapphire_wire::{CallState, Cell, Job, JobReply, Peer, frame, id, peer};

use crate::{effect::Output, view};

/// Maximum number of ended jobs that are kept for callers that ask again.
const ENDED_KEPT: usize = 1_000;
/// Largest cell document in bytes; the store accepts values of up to one megabyte.
const MAX_DOCUMENT: usize = 900 * 1024;

/// Reply that is delayed until a change has been stored.
struct PendingReply {
    change: writer::Change,
    to: Peer,
    reply: JobReply,
}

/// Jobs by identifier, the changes that are not stored yet, and the callers that wait for them.
pub struct JobTable {
    jobs: BTreeMap<id::Job, Job>,
    /// Number of the latest change of each job.
    changes: BTreeMap<id::Job, writer::Change>,
    change: writer::Change,
    writer: writer::Writer,
    pending_replies: Vec<PendingReply>,
    waiters: BTreeMap<id::Job, BTreeMap<(id::Process, u64), Peer>>,
}

impl JobTable {
    /// Creates an empty table for a document of the given revision. The first write is due at once.
    pub fn new(key: &str, prefix: &str, revision: Revision) -> Self {
        JobTable {
            jobs: BTreeMap::new(),
            changes: BTreeMap::new(),
            change: 1,
            writer: writer::Writer::new(key, prefix, revision),
            pending_replies: Vec::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// All jobs by identifier.
    pub fn jobs(&self) -> &BTreeMap<id::Job, Job> {
        &self.jobs
    }

    /// The job of this identifier.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The job of this identifier, for modification; the caller must call
    /// [`JobTable::mark_changed`] afterwards.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// All jobs in the order of their identifiers.
    pub fn values(&self) -> btree_map::Values<'_, id::Job, Job> {
        self.jobs.values()
    }

    /// Adds a job from the stored document.
    pub fn adopt(&mut self, job: Job) {
        self.jobs.insert(job.id.clone(), job);
    }

    /// Adds a new job, which is to be stored.
    pub fn insert(&mut self, job: Job) {
        let id = job.id.clone();
        self.jobs.insert(id.clone(), job);
        self.mark_changed(&id);
    }

    /// Records that a job was changed.
    pub fn mark_changed(&mut self, id: &str) {
        self.mark_document_changed();
        self.changes.insert(id.to_owned(), self.change);
    }

    /// Records that another part of the document was changed.
    pub fn mark_document_changed(&mut self) {
        self.change += 1;
    }

    /// Number of the latest change.
    pub fn latest_change(&self) -> writer::Change {
        self.change
    }

    /// Number up to which all changes have been stored.
    pub fn stored_change(&self) -> writer::Change {
        self.writer.written()
    }

    /// Whether the last write to the store failed or got no reply.
    pub fn is_failing(&self) -> bool {
        self.writer.is_failing()
    }

    fn change_of(&self, id: &str) -> writer::Change {
        self.changes.get(id).copied().unwrap_or(0)
    }

    /// Whether the current state of a job has been stored.
    pub fn is_stored(&self, id: &str) -> bool {
        self.change_of(id) <= self.stored_change()
    }

    /// Next write to the store, if one is due. `head` creates the document without its jobs.
    pub fn poll(&mut self, now: Duration, head: impl FnOnce() -> Cell) -> Option<Call> {
        let jobs = &self.jobs;
        self.writer.poll(now, self.change, |write| {
            let jobs = jobs.values().cloned().collect();
            let cell = Cell { jobs, write: write.to_owned(), ..head() };
            Bytes::from(cell.encode_to_vec())
        })
    }

    /// Handles the reply to a write.
    pub fn handle_write_reply(&mut self, now: Duration, reply: Reply) -> writer::Outcome {
        let write_of = |value: &Value| {
            Cell::decode(value.bytes.clone()).map(|cell| cell.write).unwrap_or_default()
        };
        self.writer.reply(now, reply, write_of)
    }

    /// Reply with the current state of one job.
    pub fn job_reply(&self, id: &str) -> JobReply {
        let jobs: Vec<Job> = self.jobs.get(id).cloned().into_iter().collect();
        let state = if jobs.is_empty() { CallState::CallNotFound } else { CallState::CallOk };
        let mut reply = JobReply { jobs, ..JobReply::default() };
        reply.set_state(state);
        reply
    }

    /// Reply with the state of one job once that state is stored: returned now, or sent later by
    /// [`JobTable::send_due_replies`].
    pub fn when_stored(&mut self, from: &Peer, call: u64, id: &str) -> Option<JobReply> {
        let reply = JobReply { call, ..self.job_reply(id) };
        if self.is_stored(id) {
            return Some(reply);
        }
        let is_same = |p: &PendingReply| p.reply.call == call && peer::is_same_process(&p.to, from);
        if !self.pending_replies.iter().any(is_same) {
            self.pending_replies.push(PendingReply {
                change: self.change_of(id),
                to: from.clone(),
                reply,
            });
        }
        None
    }

    /// Reply with the state of one job once it has ended: returned now, or sent later by
    /// [`JobTable::send_due_replies`].
    pub fn when_ended(&mut self, from: &Peer, call: u64, id: &str) -> Option<JobReply> {
        let Some(job) = self.jobs.get(id) else { return Some(self.job_reply(id)) };
        if view::is_ended(job.state()) {
            return self.when_stored(from, call, id);
        }
        let waiters = self.waiters.entry(id.to_owned()).or_default();
        waiters.insert((from.name.clone(), call), from.clone());
        None
    }

    /// Sends the replies whose changes have been stored, and those that wait for a job that has
    /// ended.
    pub fn send_due_replies(&mut self, out: &mut Output) {
        let stored_change = self.stored_change();
        let (due, pending_replies): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_replies)
            .into_iter()
            .partition(|pending| pending.change <= stored_change);
        self.pending_replies = pending_replies;
        for pending in due {
            let job = pending.reply.jobs.first().and_then(|job| self.jobs.get(&job.id)).cloned();
            let jobs = job.map_or(pending.reply.jobs, |job| vec![job]);
            out.send(&pending.to, frame::Body::JobReply(JobReply { jobs, ..pending.reply }));
        }
        let ended = self.waiters.keys().filter(|id| self.can_report_end(id));
        let ended: Vec<id::Job> = ended.cloned().collect();
        for id in ended {
            for ((_, call), to) in self.waiters.remove(&id).unwrap_or_default() {
                let reply = JobReply { call, ..self.job_reply(&id) };
                out.send(&to, frame::Body::JobReply(reply));
            }
        }
    }

    /// Whether callers may be sent the end of a job: it has ended and this has been stored. While
    /// the store is unavailable, the planner's own state, backed by the coordinator's memory, is
    /// sufficient.
    fn can_report_end(&self, id: &str) -> bool {
        let is_ended = self.jobs.get(id).is_some_and(|job| view::is_ended(job.state()));
        is_ended && (self.is_failing() || self.is_stored(id))
    }

    /// Removes the oldest ended jobs beyond the limit, and a quarter of the ended jobs when the
    /// document is too large.
    pub fn remove_ended(&mut self) {
        let mut ended: Vec<(u64, id::Job)> = self
            .jobs
            .values()
            .filter(|job| view::is_ended(job.state()) && !self.waiters.contains_key(&job.id))
            .map(|job| (job.ended_unix_ms, job.id.clone()))
            .collect();
        ended.sort();
        let bytes: usize = self.jobs.values().map(|job| job.encoded_len() + 4).sum();
        let by_count = ended.len().saturating_sub(ENDED_KEPT);
        let by_size = if bytes > MAX_DOCUMENT { ended.len().div_ceil(4) } else { 0 };
        for (_, id) in ended.into_iter().take(by_count.max(by_size)) {
            self.jobs.remove(&id);
            self.changes.remove(&id);
        }
    }
}
