//! Rules in force in this process, and changes to them.

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
/// Maximum number of earlier rule files kept with the current one.
const HISTORY_KEPT: usize = 50;
/// Largest rules document in bytes; the store accepts values of up to one megabyte.
const MAX_DOCUMENT: usize = 900 * 1024;
/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Change of the rules that is being written to the store.
#[derive(Debug)]
struct Pending {
    caller: event::Caller,
    ruleset: Ruleset,
    /// The write got no reply, and the key is read to find out whether it took effect.
    is_resolving: bool,
}

/// Rules in force, and the revision of their key in the store.
#[derive(Debug)]
pub struct Rulebook {
    current: Ruleset,
    file: file::File,
    store_revision: Revision,
    is_known: bool,
    has_store_replied: bool,
    pending: Option<Pending>,
    is_call_pending: bool,
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
            has_store_replied: false,
            pending: None,
            is_call_pending: false,
            retry_at: Duration::ZERO,
            writes: 0,
        }
    }
}

impl Rulebook {
    /// Parsed rules in force.
    pub fn file(&self) -> &file::File {
        &self.file
    }

    /// Document in force.
    pub fn ruleset(&self) -> &Ruleset {
        &self.current
    }

    /// Revision in force; 0 before any file was accepted.
    pub fn revision(&self) -> id::Revision {
        self.current.revision
    }

    /// Whether the store or another entry has reported which rules are in force. Until then this
    /// process makes no decisions, since it would otherwise act on empty rules after its start.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Puts a document in force if it is newer; returns whether it was.
    pub fn apply_if_newer(&mut self, ruleset: Ruleset) -> bool {
        if ruleset.revision <= self.current.revision {
            return false;
        }
        let Ok(file) = file::File::parse(&ruleset.text) else { return false };
        self.current = ruleset;
        self.file = file;
        self.is_known = true;
        true
    }

    /// Next call to the store, if one is due: a read first, then watches.
    pub fn poll(&mut self, now: Duration) -> Option<Call> {
        if self.is_call_pending || now < self.retry_at {
            return None;
        }
        self.is_call_pending = true;
        let key = KEY.to_owned();
        if !self.has_store_replied {
            return Some(Call::Get { key });
        }
        Some(Call::Watch { key, above: self.store_revision })
    }

    /// Handles the reply to a read or watch; returns whether newer rules are in force.
    pub fn handle_watch_reply(&mut self, now: Duration, reply: Reply) -> bool {
        self.is_call_pending = false;
        match reply {
            Reply::Value(value) => {
                self.has_store_replied = true;
                self.is_known = true;
                self.adopt(&value)
            }
            _ => {
                self.retry_at = now + RETRY_DELAY;
                false
            }
        }
    }

    /// Applies a value that was read from the store; returns whether newer rules are in force.
    fn adopt(&mut self, value: &Value) -> bool {
        if value.revision < self.store_revision {
            return false;
        }
        self.store_revision = value.revision;
        Ruleset::decode(value.bytes.clone()).is_ok_and(|ruleset| self.apply_if_newer(ruleset))
    }

    /// Begins to put a rule file in force.
    ///
    /// # Errors
    /// The answer for the caller: findings in the file, an outdated revision, a change in progress,
    /// or a store that has not been reached yet.
    pub fn apply(
        &mut self,
        now: Duration,
        caller: event::Caller,
        apply: &api::Apply,
        prefix: &str,
    ) -> Result<Call, Answer> {
        file::File::parse(&apply.text).map_err(|findings| findings_answer(&findings))?;
        if !self.has_store_replied {
            let reason = "the store has not been reached yet; the rules are unchanged";
            let answer = Answer::failure(503, Account::NotRun, reason);
            return Err(answer.retry_after(Duration::from_secs(2)));
        }
        if apply.expected != self.current.revision {
            return Err(self.conflict_answer(&apply.text));
        }
        if self.pending.is_some() {
            let reason = "another change is under way; the rules are unchanged";
            let answer = Answer::failure(409, Account::NotRun, reason);
            return Err(answer.retry_after(Duration::from_secs(1)));
        }
        self.writes += 1;
        let ruleset = self.successor(now, apply, format!("{prefix}-{}", self.writes));
        let value = Bytes::from(ruleset.encode_to_vec());
        self.pending = Some(Pending { caller, ruleset, is_resolving: false });
        let key = KEY.to_owned();
        Ok(Call::Put { key, expected: self.store_revision, value, lease: None })
    }

    /// Creates the document that follows the current one, with as much history as fits.
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

    /// Handles the reply to a write, or to the read that resolves one. Returns the next call, or
    /// the caller's answer.
    ///
    /// Guards against a write that took effect although its reply was lost. The answer is
    /// "accepted" only if the document's write identifier or its history contains the write, and
    /// "not accepted" only after the key has changed without it.
    pub fn handle_write_reply(
        &mut self,
        reply: Reply,
    ) -> (Option<Call>, Option<(event::Caller, Answer)>) {
        let Some(mut pending) = self.pending.take() else { return (None, None) };
        match reply {
            Reply::Written(revision) => {
                self.store_revision = self.store_revision.max(revision);
                let ruleset = pending.ruleset.clone();
                self.apply_if_newer(ruleset);
                (None, Some((pending.caller, accepted_answer(&pending.ruleset))))
            }
            Reply::Conflict(value) | Reply::Value(value) => {
                let is_own = contains_write(&value, &pending.ruleset);
                let is_unchanged = value.revision == self.store_revision;
                self.adopt(&value);
                let answer = if is_own {
                    accepted_answer(&pending.ruleset)
                } else if is_unchanged && pending.is_resolving {
                    let reason = "the store did not answer; the rules are unchanged so far, but \
                                  the write may still arrive: compare `rules show`";
                    Answer::failure(504, Account::Unknown, reason)
                } else {
                    self.conflict_answer(&pending.ruleset.text)
                };
                (None, Some((pending.caller, answer)))
            }
            _ if pending.is_resolving => {
                let reason = "the store did not answer; the file may or may not be accepted: \
                              compare `rules show` when the store is back";
                let answer = Answer::failure(504, Account::Unknown, reason);
                (None, Some((pending.caller, answer)))
            }
            _ => {
                pending.is_resolving = true;
                self.pending = Some(pending);
                (Some(Call::Get { key: KEY.to_owned() }), None)
            }
        }
    }

    /// Answer to an operator whose file was made from an outdated revision.
    fn conflict_answer(&self, text: &str) -> Answer {
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

/// Whether the stored document, or its history, is the result of this write.
fn contains_write(value: &Value, ruleset: &Ruleset) -> bool {
    let Ok(stored) = Ruleset::decode(value.bytes.clone()) else { return false };
    let is_past = |past: &Past| {
        past.revision == ruleset.revision
            && past.author == ruleset.author
            && past.accepted_unix_ms == ruleset.accepted_unix_ms
            && past.text == ruleset.text
    };
    stored.write == ruleset.write || stored.history.iter().any(is_past)
}

/// Answer to an operator whose file was accepted.
fn accepted_answer(ruleset: &Ruleset) -> Answer {
    Answer::json(200, &json!({ "account": "done", "revision": ruleset.revision }))
}

/// Answer to a rule file with errors.
pub fn findings_answer(findings: &[finding::Finding]) -> Answer {
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
