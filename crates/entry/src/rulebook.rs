//! The rules in force in this process, and how they change.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_rules::{diff, file, finding};
use sapphire_store::call::{Call, Reply, Revision, Value};
use sapphire_wire::{Past, Ruleset, id};
use serde_json::json;

use crate::{
    answer::{Account, Answer},
    api, event,
};

/// Key of the rules in the store.
pub const KEY: &str = "rules";
/// Earlier files kept with the current one.
const HISTORY_KEPT: usize = 50;
/// Largest rules document, in bytes; the store holds values up to a megabyte.
const MAX_DOCUMENT: usize = 900 * 1024;
/// Wait before the store is asked again.
const RETRY: Duration = Duration::from_millis(300);

/// A change on its way into the store.
#[derive(Debug)]
struct Pending {
    caller: event::Caller,
    ruleset: Ruleset,
    /// The write got no answer; the key is read to settle it.
    is_settling: bool,
}

/// Rules in force, and their revision at the store.
#[derive(Debug)]
pub struct Rulebook {
    current: Ruleset,
    file: file::File,
    store_revision: Revision,
    is_known: bool,
    is_store_heard: bool,
    pending: Option<Pending>,
    is_waiting: bool,
    retry_at: Duration,
    writes: u64,
}

impl Default for Rulebook {
    fn default() -> Self {
        Rulebook {
            current: Ruleset::default(),
            file: file::File::default(),
            store_revision: 0,
            is_known: false,
            is_store_heard: false,
            pending: None,
            is_waiting: false,
            retry_at: Duration::ZERO,
            writes: 0,
        }
    }
}

impl Rulebook {
    /// The rules in force.
    pub fn file(&self) -> &file::File {
        &self.file
    }

    /// The document in force.
    pub fn ruleset(&self) -> &Ruleset {
        &self.current
    }

    /// Revision in force; 0 before any file was accepted.
    pub fn revision(&self) -> id::Revision {
        self.current.revision
    }

    /// Whether the store or a peer has told which rules are in force. Until then nothing is
    /// decided: a process that has just started would otherwise act on no rules at all.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Puts a document in force if it is newer; returns whether it was.
    pub fn offer(&mut self, ruleset: Ruleset) -> bool {
        if ruleset.revision <= self.current.revision {
            return false;
        }
        let Ok(file) = file::File::parse(&ruleset.text) else { return false };
        self.current = ruleset;
        self.file = file;
        self.is_known = true;
        true
    }

    /// Next call to the store, if one is due: first a read, then a watch; a write goes before.
    pub fn poll(&mut self, now: Duration) -> Option<Call> {
        if self.is_waiting || now < self.retry_at {
            return None;
        }
        self.is_waiting = true;
        let key = KEY.to_owned();
        if !self.is_store_heard {
            return Some(Call::Get { key });
        }
        Some(Call::Watch { key, above: self.store_revision })
    }

    /// Takes the answer to a read or watch; returns whether newer rules are in force.
    pub fn watched(&mut self, now: Duration, reply: Reply) -> bool {
        self.is_waiting = false;
        match reply {
            Reply::Value(value) => {
                self.is_store_heard = true;
                self.is_known = true;
                self.adopt(&value)
            }
            _ => {
                self.retry_at = now + RETRY;
                false
            }
        }
    }

    fn adopt(&mut self, value: &Value) -> bool {
        if value.revision < self.store_revision {
            return false;
        }
        self.store_revision = value.revision;
        Ruleset::decode(value.bytes.clone()).is_ok_and(|ruleset| self.offer(ruleset))
    }

    /// Begins to put a file in force.
    ///
    /// # Errors
    /// The answer to give at once: findings, a revision that has moved on, no store.
    pub fn apply(
        &mut self,
        now: Duration,
        caller: event::Caller,
        apply: &api::Apply,
        prefix: &str,
    ) -> Result<Call, Answer> {
        file::File::parse(&apply.text).map_err(|findings| refuse_findings(&findings))?;
        if !self.is_store_heard {
            let reason = "the store has not been reached yet; the rules are unchanged";
            let answer = Answer::failure(503, Account::NotRun, reason);
            return Err(answer.retry_after(Duration::from_secs(2)));
        }
        if apply.expected != self.current.revision {
            return Err(self.lost(&apply.text));
        }
        if self.pending.is_some() {
            let reason = "another change is under way; the rules are unchanged";
            let answer = Answer::failure(409, Account::NotRun, reason);
            return Err(answer.retry_after(Duration::from_secs(1)));
        }
        self.writes += 1;
        let ruleset = self.successor(now, apply, format!("{prefix}-{}", self.writes));
        let value = Bytes::from(ruleset.encode_to_vec());
        self.pending = Some(Pending { caller, ruleset, is_settling: false });
        let key = KEY.to_owned();
        Ok(Call::Put { key, expected: self.store_revision, value, lease: None })
    }

    fn successor(&self, now: Duration, apply: &api::Apply, write: String) -> Ruleset {
        let mut history = Vec::new();
        if self.current.revision > 0 {
            history.push(Past {
                revision: self.current.revision,
                author: self.current.author.clone(),
                accepted_unix_ms: self.current.accepted_unix_ms,
                text: self.current.text.clone(),
            });
        }
        history.extend(self.current.history.iter().take(HISTORY_KEPT - 1).cloned());
        let mut ruleset = Ruleset {
            revision: self.current.revision + 1,
            text: apply.text.clone(),
            author: apply.author.clone(),
            accepted_unix_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            write,
            history,
        };
        while ruleset.encoded_len() > MAX_DOCUMENT && ruleset.history.pop().is_some() {}
        ruleset
    }

    /// Takes the answer to a write, or to the read that settles one. Returns the next call, or
    /// the caller's answer.
    ///
    /// Guards against a write that took effect while its answer was lost: the caller is told
    /// "accepted" only after the document's write identifier, or its place in the history,
    /// shows so; and "not accepted" only after the key has moved on without it.
    pub fn written(&mut self, reply: Reply) -> (Option<Call>, Option<(event::Caller, Answer)>) {
        let Some(mut pending) = self.pending.take() else { return (None, None) };
        match reply {
            Reply::Written(revision) => {
                self.store_revision = self.store_revision.max(revision);
                let ruleset = pending.ruleset.clone();
                self.offer(ruleset);
                (None, Some((pending.caller, accepted(&pending.ruleset))))
            }
            Reply::Conflict(value) | Reply::Value(value) => {
                let is_own = holds_write(&value, &pending.ruleset);
                let is_unchanged = value.revision == self.store_revision;
                self.adopt(&value);
                let answer = if is_own {
                    accepted(&pending.ruleset)
                } else if is_unchanged && pending.is_settling {
                    let reason = "the store did not answer; the rules are unchanged so far, but \
                                  the write may still arrive: compare `rules show`";
                    Answer::failure(504, Account::Unknown, reason)
                } else {
                    self.lost(&pending.ruleset.text)
                };
                (None, Some((pending.caller, answer)))
            }
            _ if pending.is_settling => {
                let reason = "the store did not answer; the file may or may not be accepted: \
                              compare `rules show` when the store is back";
                let answer = Answer::failure(504, Account::Unknown, reason);
                (None, Some((pending.caller, answer)))
            }
            _ => {
                pending.is_settling = true;
                self.pending = Some(pending);
                (Some(Call::Get { key: KEY.to_owned() }), None)
            }
        }
    }

    /// The answer to an operator whose change came too late.
    fn lost(&self, text: &str) -> Answer {
        let revision = self.current.revision;
        let name = format!("revision {revision}");
        let value = json!({
            "account": Account::NotRun.to_string(),
            "reason": format!("revision {revision} is in force; the file was made from another"),
            "revision": revision,
            "author": self.current.author,
            "diff": diff::unified(&self.current.text, text, &name, "your file"),
        });
        Answer::json(409, &value)
    }
}

fn holds_write(value: &Value, ruleset: &Ruleset) -> bool {
    let Ok(stored) = Ruleset::decode(value.bytes.clone()) else { return false };
    let is_past = |past: &Past| {
        past.revision == ruleset.revision
            && past.author == ruleset.author
            && past.accepted_unix_ms == ruleset.accepted_unix_ms
            && past.text == ruleset.text
    };
    stored.write == ruleset.write || stored.history.iter().any(is_past)
}

fn accepted(ruleset: &Ruleset) -> Answer {
    Answer::json(200, &json!({ "account": "done", "revision": ruleset.revision }))
}

/// The answer to a file with faults.
pub fn refuse_findings(findings: &[finding::Finding]) -> Answer {
    let list: Vec<_> = findings
        .iter()
        .map(|finding| {
            json!({ "line": finding.line, "column": finding.column, "message": finding.message })
        })
        .collect();
    let value = json!({
        "account": Account::NotRun.to_string(),
        "reason": "the rule file has faults; the rules are unchanged",
        "findings": list,
    });
    Answer::json(422, &value)
}
