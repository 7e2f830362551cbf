//! Jobs and cancellations on their way into the store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::task::JobId;
use sapphire_planner::keys;
use sapphire_store::call::{Call, Condition, Put, Reply};

use crate::{
    answer::Answer,
    effect::Effect,
    event::{Caller, Operation},
    machine::Machine,
    options,
    state::writes::{Subject, What, Write},
};

impl Machine {
    /// Has something written; the caller is answered when it is durable, or given up.
    pub(crate) fn write(
        &mut self,
        now: Duration,
        caller: Caller,
        id: &str,
        what: What,
        patience: Duration,
    ) {
        let is_cancel = matches!(what, What::Cancel);
        let patience = patience.mul_f64(options::HELD_SHARE);
        let deadline = now + patience.min(options::WRITE_PATIENCE);
        // Guards against a caller that is told "not done" of its second try while the first,
        // which got no answer, may still be carried out.
        let unsettled = self.writes.unsettled.get(&Subject::new(id, is_cancel));
        let is_unsure = unsettled.is_some_and(|until| now < *until);
        let writes = if is_cancel { &mut self.writes.cancels } else { &mut self.writes.jobs };
        let write = writes.entry(id.to_owned()).or_insert_with(|| Write {
            what,
            callers: Vec::new(),
            deadline,
            is_sent: false,
            retry_at: now,
            is_unsure,
        });
        write.callers.push(caller);
    }

    /// Whether an earlier try of a job may still be carried out.
    pub(crate) fn is_unsettled(&self, now: Duration, id: &str) -> bool {
        let is_under_way = self.writes.jobs.contains_key(id);
        let until = self.writes.unsettled.get(&Subject::new(id, false));
        is_under_way || until.is_some_and(|until| now < *until)
    }

    pub(crate) fn drive_writes(&mut self, now: Duration) {
        self.give_up_writes(now);
        let is_due = |write: &Write| !write.is_sent && now >= write.retry_at;
        while self.writes.under_way < options::WRITES {
            let due: Vec<JobId> = (self.writes.jobs.iter())
                .filter(|(_, write)| is_due(write))
                .take(options::WRITE_JOBS)
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
            self.send_cancel(id);
        }
    }

    fn send_jobs(&mut self, ids: Vec<JobId>) {
        let mut conditions = Vec::new();
        let mut puts = Vec::new();
        for id in &ids {
            let Some(write) = self.writes.jobs.get_mut(id) else { continue };
            write.is_sent = true;
            let What::Job(job) = &write.what else { continue };
            let key = keys::job(id);
            conditions.push(Condition { key: key.clone(), revision: 0 });
            puts.push(Put { key, value: Bytes::from(job.encode_to_vec()), lease: None });
        }
        self.writes.under_way += 1;
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.out.push(Effect::Store(Operation::Submit(ids), call));
    }

    fn send_cancel(&mut self, id: JobId) {
        if let Some(write) = self.writes.cancels.get_mut(&id) {
            write.is_sent = true;
        }
        self.writes.under_way += 1;
        let key = keys::cancel(&id);
        let conditions = vec![Condition { key: key.clone(), revision: 0 }];
        let puts = vec![Put { key, value: Bytes::from_static(b"1"), lease: None }];
        let call = Call::Commit { conditions, puts, removes: Vec::new() };
        self.out.push(Effect::Store(Operation::Cancel(id), call));
    }

    /// Takes the answer to a write.
    pub(crate) fn written(&mut self, now: Duration, operation: &Operation, reply: Reply) {
        self.writes.under_way = self.writes.under_way.saturating_sub(1);
        let ids = match operation {
            Operation::Submit(ids) => ids.clone(),
            Operation::Cancel(id) => vec![id.clone()],
            _ => return,
        };
        match reply {
            Reply::Committed(_) => {
                for id in ids {
                    self.write_done(operation, &id);
                }
            }
            Reply::Refused(items) => {
                // Written before: by an earlier try of this entry, or through another one.
                for id in ids {
                    let is_there = |key: &str| {
                        items.iter().any(|item| item.key == key && item.value.is_some())
                    };
                    if is_there(&keys::job(&id)) || is_there(&keys::cancel(&id)) {
                        self.write_done(operation, &id);
                    } else if let Some(write) = self.writes.of(operation).get_mut(&id) {
                        write.is_sent = false;
                        write.retry_at = now;
                    }
                }
            }
            reply => {
                let is_unsure = !matches!(reply, Reply::NotDone(_));
                for id in ids {
                    if let Some(write) = self.writes.of(operation).get_mut(&id) {
                        write.is_sent = false;
                        write.retry_at = now + options::WRITE_RETRY;
                        write.is_unsure |= is_unsure;
                    }
                }
            }
        }
    }

    fn write_done(&mut self, operation: &Operation, id: &str) {
        let is_cancel = matches!(operation, Operation::Cancel(_));
        self.writes.unsettled.remove(&Subject::new(id, is_cancel));
        let Some(write) = self.writes.of(operation).remove(id) else { return };
        let answer = match write.what {
            What::Job(job) => {
                self.log(format!("job={id} accepted queue={} term={}", job.queue, job.term));
                self.view.written(*job);
                Answer::Accepted
            }
            What::Cancel => {
                self.log(format!("job={id} cancellation is durable"));
                self.view.cancelled(id);
                Answer::Cancelled
            }
        };
        for caller in write.callers {
            self.answer(caller, answer.clone());
        }
    }

    /// Answers callers whose write has taken too long. One that was never sent, or was refused
    /// by the store each time, is certainly not carried out; any other may be.
    fn give_up_writes(&mut self, now: Duration) {
        let mut answers = Vec::new();
        let is_away = self.reach.is_away(now);
        let writes = &mut self.writes;
        for (is_cancel, map) in [(false, &mut writes.jobs), (true, &mut writes.cancels)] {
            map.retain(|id, write| {
                // Nothing is gained by waiting while the store can't be reached in any way, unless
                // an earlier try may be carried out: only the store can tell what came of it.
                if now < write.deadline && (write.is_sent || write.is_unsure || !is_away) {
                    return true;
                }
                let is_unsure = write.is_unsure || write.is_sent;
                answers.push((
                    id.clone(),
                    is_cancel,
                    is_unsure,
                    std::mem::take(&mut write.callers),
                ));
                false
            });
        }
        self.writes.unsettled.retain(|_, until| now < *until);
        for (id, is_cancel, is_unsure, callers) in answers {
            if is_unsure {
                let until = now + options::UNSETTLED;
                // Counts from the latest try: each may be carried out as late.
                self.writes.unsettled.insert(Subject::new(&id, is_cancel), until);
            }
            self.log(format!("job={id} cancel={is_cancel} given up, unsure={is_unsure}"));
            let after = self.come_again(now);
            let answer = if is_unsure {
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
