//! Writes of jobs and cancellations to the store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::task::JobId;
use sapphire_plan::admit;
use sapphire_planner::keys;
use sapphire_store::call::{Call, Condition, Item, Put, Reply};

use crate::{
    answer::{self, Answer},
    effect::Effect,
    event::{Caller, Operation},
    machine::Machine,
    options,
    state::writes::{Payload, Target, Write},
};

impl Machine {
    /// Enqueues a write. The caller is answered when it is durable or has been abandoned.
    pub(crate) fn enqueue_write(
        &mut self,
        now: Duration,
        caller: Caller,
        id: &str,
        payload: Payload,
        timeout: Duration,
    ) {
        let is_cancel = !matches!(payload, Payload::Job(_));
        let timeout = timeout.mul_f64(options::WRITE_TIMEOUT_SHARE);
        let deadline = now + timeout.min(options::WRITE_TIMEOUT);
        // While an earlier attempt that got no answer may still be applied, the outcome of this one
        // must not be reported as "not done".
        let unresolved = self.writes.unresolved.get(&Target::new(id, is_cancel));
        let may_be_applied = unresolved.is_some_and(|until| now < *until);
        let writes = if is_cancel { &mut self.writes.cancels } else { &mut self.writes.jobs };
        let write = writes.entry(id.to_owned()).or_insert_with(|| Write {
            payload,
            callers: Vec::new(),
            deadline,
            is_in_flight: false,
            retry_at: now,
            may_be_applied,
        });
        write.callers.push(caller);
    }

    /// Whether an earlier attempt to write a job may still be applied.
    pub(crate) fn is_unresolved(&self, now: Duration, id: &str) -> bool {
        let is_pending = self.writes.jobs.contains_key(id);
        let until = self.writes.unresolved.get(&Target::new(id, false));
        is_pending || until.is_some_and(|until| now < *until)
    }

    /// Whether the cancellation of a job that may not exist may be written.
    ///
    /// Guards against a client that fills the store, and the memory of planners, with cancellations of jobs
    /// that don't exist.
    pub(crate) fn may_write_tombstone(&mut self, now: Duration) -> bool {
        let writes = &mut self.writes;
        while writes.tombstones.front().is_some_and(|at| now >= *at + self.options.retention) {
            writes.tombstones.pop_front();
        }
        let is_tombstone = |write: &&Write| matches!(write.payload, Payload::Tombstone);
        let pending = writes.cancels.values().filter(is_tombstone).count();
        writes.tombstones.len() + pending < self.options.max_tombstones
    }

    pub(crate) fn drive_writes(&mut self, now: Duration) {
        self.expire_writes(now);
        let is_due = |write: &Write| !write.is_in_flight && now >= write.retry_at;
        while self.writes.in_flight < options::MAX_WRITES_IN_FLIGHT {
            let due: Vec<JobId> = (self.writes.jobs.iter())
                .filter(|(_, write)| is_due(write))
                .take(options::MAX_JOBS_PER_WRITE)
                .map(|(id, _)| id.clone())
                .collect();
            if due.is_empty() {
                break;
            }
            self.send_jobs(due);
        }
        let due: Vec<JobId> = (self.writes.cancels.iter())
            .filter(|(_, write)| is_due(write))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let write = self.writes.cancels.get(&id);
            let is_tombstone = write.is_some_and(|it| matches!(it.payload, Payload::Tombstone));
            if !is_tombstone || self.writes.in_flight < options::MAX_WRITES_IN_FLIGHT {
                self.send_cancel(id);
            }
        }
    }

    /// Sends a write of jobs, on condition that none of them is stored or was cancelled before.
    ///
    /// Guards against a job that runs although its cancellation was acknowledged: this entry read its
    /// submission only after that, or the store carries out the write late.
    fn send_jobs(&mut self, ids: Vec<JobId>) {
        let mut conditions = Vec::new();
        let mut puts = Vec::new();
        for id in &ids {
            let Some(write) = self.writes.jobs.get_mut(id) else { continue };
            write.is_in_flight = true;
            let Payload::Job(job) = &write.payload else { continue };
            let key = keys::job(id);
            conditions.push(Condition { key: key.clone(), revision: 0 });
            conditions.push(Condition { key: keys::cancel(id), revision: 0 });
            puts.push(Put { key, value: Bytes::from(job.encode_to_vec()), lease: None });
        }
        self.writes.in_flight += 1;
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.effects.push(Effect::Store(Operation::Submit(ids), call));
    }

    fn send_cancel(&mut self, id: JobId) {
        let Some(write) = self.writes.cancels.get_mut(&id) else { return };
        write.is_in_flight = true;
        self.writes.in_flight += 1;
        let key = keys::cancel(&id);
        let mut conditions = vec![Condition { key: key.clone(), revision: 0 }];
        let is_tombstone = matches!(write.payload, Payload::Tombstone);
        if is_tombstone {
            conditions.push(Condition { key: keys::job(&id), revision: 0 });
        }
        let puts = vec![Put { key, value: Bytes::from_static(b"1"), lease: None }];
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        let operation = if is_tombstone { Operation::Tombstone(id) } else { Operation::Cancel(id) };
        self.effects.push(Effect::Store(operation, call));
    }

    /// Handles the reply to a write.
    pub(crate) fn write_ended(&mut self, now: Duration, operation: &Operation, reply: Reply) {
        self.writes.in_flight = self.writes.in_flight.saturating_sub(1);
        let ids = match operation {
            Operation::Submit(ids) => ids.clone(),
            Operation::Cancel(id) | Operation::Tombstone(id) => vec![id.clone()],
            _ => return,
        };
        match reply {
            Reply::Committed(_) => {
                for id in ids {
                    self.complete_write(now, operation, &id);
                }
            }
            Reply::Refused(items) => {
                for id in ids {
                    self.write_refused(now, operation, &id, &items);
                }
            }
            reply => {
                let may_be_applied = !matches!(reply, Reply::NotDone(_));
                for id in ids {
                    if let Some(write) = self.writes.by_kind(operation).get_mut(&id) {
                        write.is_in_flight = false;
                        write.retry_at = now + options::WRITE_RETRY;
                        write.may_be_applied |= may_be_applied;
                    }
                }
            }
        }
    }

    /// Handles a write that the store refused, given the records of the jobs in it: one of them was
    /// written already, by an earlier attempt of this entry or by another entry.
    fn write_refused(&mut self, now: Duration, operation: &Operation, id: &str, items: &[Item]) {
        let exists = |key: &str| items.iter().any(|item| item.key == key && item.value.is_some());
        let (is_stored, is_cancelled) = (exists(&keys::job(id)), exists(&keys::cancel(id)));
        match operation {
            Operation::Submit(_) if is_stored => self.complete_write(now, operation, id),
            Operation::Submit(_) if is_cancelled => self.reject_cancelled(id),
            Operation::Tombstone(_) if is_stored && is_cancelled => {
                self.complete_write(now, &Operation::Cancel(id.to_owned()), id);
            }
            Operation::Cancel(_) | Operation::Tombstone(_) if is_cancelled => {
                self.complete_write(now, operation, id);
            }
            _ => {
                let Some(write) = self.writes.by_kind(operation).get_mut(id) else { return };
                write.is_in_flight = false;
                write.retry_at = now;
                if matches!(operation, Operation::Tombstone(_)) && is_stored {
                    write.payload = Payload::Cancel;
                }
            }
        }
    }

    /// Rejects a job whose cancellation is stored and which is not: no write of it can be applied.
    fn reject_cancelled(&mut self, id: &str) {
        self.writes.unresolved.remove(&Target::new(id, false));
        let Some(write) = self.writes.jobs.remove(id) else { return };
        self.log(format!("job={id} rejected: {}", answer::CANCELLED));
        let answer = Answer::NotDone { reason: answer::CANCELLED, after: admit::MAX_RETRY_AFTER };
        for caller in write.callers {
            self.answer(caller, answer.clone());
        }
    }

    /// Answers the callers of a write whose record is stored. What is known of a cancelled job is shown
    /// by the call that was carried out, which may be an earlier one of the same write.
    fn complete_write(&mut self, now: Duration, operation: &Operation, id: &str) {
        let is_cancel = !matches!(operation, Operation::Submit(_));
        self.writes.unresolved.remove(&Target::new(id, is_cancel));
        let Some(write) = self.writes.by_kind(operation).remove(id) else { return };
        let answer = match (operation, write.payload) {
            (_, Payload::Job(job)) => {
                self.log(format!("job={id} accepted queue={} term={}", job.queue, job.term));
                self.view.add_job(*job);
                Answer::Accepted
            }
            (Operation::Tombstone(_), _) => {
                self.log(format!("job={id} does not exist; its cancellation is durable"));
                self.writes.tombstones.push_back(now);
                // A caller whose submission this entry is still writing has withdrawn it.
                if self.is_unresolved(now, id) { Answer::Cancelled } else { Answer::NoJob }
            }
            _ => {
                self.log(format!("job={id} cancellation is durable"));
                self.view.add_cancellation(id);
                Answer::Cancelled
            }
        };
        for caller in write.callers {
            self.answer(caller, answer.clone());
        }
    }

    /// Abandons writes whose deadline has passed and answers their callers. A write that was never
    /// sent, or that the store rejected each time, is certainly not applied; any other may be.
    fn expire_writes(&mut self, now: Duration) {
        let mut answers = Vec::new();
        let is_unreachable = self.reach.is_unreachable(now);
        let writes = &mut self.writes;
        for (is_cancel, map) in [(false, &mut writes.jobs), (true, &mut writes.cancels)] {
            map.retain(|id, write| {
                // Waiting is useless while the store is unreachable, unless an earlier attempt may
                // be applied: then only the store knows the outcome.
                if now < write.deadline
                    && (write.is_in_flight || write.may_be_applied || !is_unreachable)
                {
                    return true;
                }
                let may_be_applied = write.may_be_applied || write.is_in_flight;
                if may_be_applied && matches!(write.payload, Payload::Tombstone) {
                    writes.tombstones.push_back(now);
                }
                answers.push((
                    id.clone(),
                    is_cancel,
                    may_be_applied,
                    std::mem::take(&mut write.callers),
                ));
                false
            });
        }
        self.writes.unresolved.retain(|_, until| now < *until);
        for (id, is_cancel, may_be_applied, callers) in answers {
            if may_be_applied {
                let until = now + options::WRITE_RESOLUTION_TIME;
                // Counts from the latest attempt, since each one may be applied that late.
                self.writes.unresolved.insert(Target::new(&id, is_cancel), until);
            }
            self.log(format!(
                "job={id} cancel={is_cancel} write abandoned, unsure={may_be_applied}"
            ));
            let after = self.retry_after(now);
            let answer = if may_be_applied {
                Answer::Unknown { after }
            } else {
                Answer::NotDone { reason: "the store can't be reached", after }
            };
            for caller in callers {
                self.answer(caller, answer.clone());
            }
        }
    }
}
