//! The jobs of a cell, kept in the store as one document by their planner.

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

/// Ended jobs kept for callers that come back, at most.
const ENDED_KEPT: usize = 1_000;
/// Largest cell document, in bytes; the store holds values up to a megabyte.
const MAX_DOCUMENT: usize = 900 * 1024;

/// A reply that waits until a change is kept.
struct Owed {
    change: writer::Change,
    to: Peer,
    reply: JobReply,
}

/// Jobs by identifier, the changes not yet kept, and the callers that wait for them.
pub struct JobTable {
    jobs: BTreeMap<id::Job, Job>,
    /// Change with which each job was last altered.
    changes: BTreeMap<id::Job, writer::Change>,
    change: writer::Change,
    writer: writer::Writer,
    owed: Vec<Owed>,
    waiters: BTreeMap<id::Job, BTreeMap<(id::Process, u64), Peer>>,
}

impl JobTable {
    /// An empty table on top of a document's revision. The first write is due at once.
    pub fn new(key: &str, prefix: &str, revision: Revision) -> Self {
        JobTable {
            jobs: BTreeMap::new(),
            changes: BTreeMap::new(),
            change: 1,
            writer: writer::Writer::new(key, prefix, revision),
            owed: Vec::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// All jobs.
    pub fn jobs(&self) -> &BTreeMap<id::Job, Job> {
        &self.jobs
    }

    /// One job.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// One job, to change; [`JobTable::touch`] is to follow.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// All jobs in the order of their identifiers.
    pub fn values(&self) -> btree_map::Values<'_, id::Job, Job> {
        self.jobs.values()
    }

    /// Adds a job as the document held it.
    pub fn adopt(&mut self, job: Job) {
        self.jobs.insert(job.id.clone(), job);
    }

    /// Adds a new job, to be kept.
    pub fn insert(&mut self, job: Job) {
        let id = job.id.clone();
        self.jobs.insert(id.clone(), job);
        self.touch(&id);
    }

    /// Notes that a job was altered.
    pub fn touch(&mut self, id: &str) {
        self.bump();
        self.changes.insert(id.to_owned(), self.change);
    }

    /// Notes that something else in the document was altered.
    pub fn bump(&mut self) {
        self.change += 1;
    }

    /// Number of the latest change.
    pub fn change(&self) -> writer::Change {
        self.change
    }

    /// Number up to which all changes are kept.
    pub fn written(&self) -> writer::Change {
        self.writer.written()
    }

    /// Whether the store has not answered the last write.
    pub fn is_failing(&self) -> bool {
        self.writer.is_failing()
    }

    fn change_of(&self, id: &str) -> writer::Change {
        self.changes.get(id).copied().unwrap_or(0)
    }

    /// Whether the store keeps a job as it stands.
    pub fn is_kept(&self, id: &str) -> bool {
        self.change_of(id) <= self.written()
    }

    /// Next write, if one is due. `head` is the document without its jobs.
    pub fn poll(&mut self, now: Duration, head: impl FnOnce() -> Cell) -> Option<Call> {
        let jobs = &self.jobs;
        self.writer.poll(now, self.change, |write| {
            let jobs = jobs.values().cloned().collect();
            let cell = Cell { jobs, write: write.to_owned(), ..head() };
            Bytes::from(cell.encode_to_vec())
        })
    }

    /// Takes the answer to a write.
    pub fn reply(&mut self, now: Duration, reply: Reply) -> writer::Outcome {
        let write_of = |value: &Value| {
            Cell::decode(value.bytes.clone()).map(|cell| cell.write).unwrap_or_default()
        };
        self.writer.reply(now, reply, write_of)
    }

    /// The reply about one job.
    pub fn found(&self, id: &str) -> JobReply {
        let jobs: Vec<Job> = self.jobs.get(id).cloned().into_iter().collect();
        let state = if jobs.is_empty() { CallState::CallNotFound } else { CallState::CallOk };
        let mut reply = JobReply { jobs, ..JobReply::default() };
        reply.set_state(state);
        reply
    }

    /// The reply about one job once it is kept as it stands: now, or from [`JobTable::pay`].
    pub fn owe(&mut self, from: &Peer, call: u64, id: &str) -> Option<JobReply> {
        let reply = JobReply { call, ..self.found(id) };
        if self.is_kept(id) {
            return Some(reply);
        }
        let is_same =
            |owed: &Owed| owed.reply.call == call && peer::is_same_process(&owed.to, from);
        if !self.owed.iter().any(is_same) {
            self.owed.push(Owed { change: self.change_of(id), to: from.clone(), reply });
        }
        None
    }

    /// The reply about one job once it has ended: now, or from [`JobTable::pay`].
    pub fn wait(&mut self, from: &Peer, call: u64, id: &str) -> Option<JobReply> {
        let Some(job) = self.jobs.get(id) else { return Some(self.found(id)) };
        if view::is_ended(job.state()) {
            return self.owe(from, call, id);
        }
        let waiters = self.waiters.entry(id.to_owned()).or_default();
        waiters.insert((from.name.clone(), call), from.clone());
        None
    }

    /// Sends the replies that are due.
    pub fn pay(&mut self, out: &mut Output) {
        let written = self.written();
        let (due, owed): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.owed).into_iter().partition(|owed| owed.change <= written);
        self.owed = owed;
        for owed in due {
            let job = owed.reply.jobs.first().and_then(|job| self.jobs.get(&job.id)).cloned();
            let jobs = job.map_or(owed.reply.jobs, |job| vec![job]);
            out.send(&owed.to, frame::Body::JobReply(JobReply { jobs, ..owed.reply }));
        }
        let ended = self.waiters.keys().filter(|id| self.has_ended_for_good(id));
        let ended: Vec<id::Job> = ended.cloned().collect();
        for id in ended {
            for ((_, call), to) in self.waiters.remove(&id).unwrap_or_default() {
                let reply = JobReply { call, ..self.found(&id) };
                out.send(&to, frame::Body::JobReply(reply));
            }
        }
    }

    /// Whether a job has ended and that is kept; while the store is out the planner's word, and
    /// the lead's memory behind it, must do.
    fn has_ended_for_good(&self, id: &str) -> bool {
        let is_ended = self.jobs.get(id).is_some_and(|job| view::is_ended(job.state()));
        is_ended && (self.is_failing() || self.is_kept(id))
    }

    /// Drops the oldest ended jobs beyond what is kept, and more when the document is too large.
    pub fn forget_ended(&mut self) {
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
