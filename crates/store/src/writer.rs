//! One key with one writer: batches changes into few writes and settles lost answers.
//!
//! Changes are numbered by the caller. At most one write is under way; it carries every change
//! up to a number, so calls grow slower than changes.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;

use crate::call::{Call, Reply, Revision, Value};

/// Number of a change; a write covers all up to its own.
pub type Change = u64;

/// Write identifiers remembered, to recognise an own write whose answer was lost.
const WRITES_KEPT: usize = 32;
/// Wait after the first failed write.
const BACKOFF_START: Duration = Duration::from_millis(100);
/// Longest wait between failed writes.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// What a reply means.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All changes up to this number are kept.
    Written(Change),
    /// The store did not answer; the write is repeated.
    Retry,
    /// Another process wrote the key; it stands like this.
    Lost(Value),
}

#[derive(Clone, Debug)]
struct Flight {
    change: Change,
}

/// Writer of one key.
#[derive(Clone, Debug)]
pub struct Writer {
    key: String,
    /// Prefix that makes write identifiers unique to this process's life.
    prefix: String,
    revision: Revision,
    flight: Option<Flight>,
    sent: VecDeque<(String, Change)>,
    written: Change,
    count: u64,
    failures: u32,
    retry_at: Duration,
}

impl Writer {
    /// Starts from a key's revision as read.
    pub fn new(key: &str, prefix: &str, revision: Revision) -> Self {
        Writer {
            key: key.to_owned(),
            prefix: prefix.to_owned(),
            revision,
            flight: None,
            sent: VecDeque::new(),
            written: 0,
            count: 0,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Number up to which all changes are kept.
    pub fn written(&self) -> Change {
        self.written
    }

    /// Whether the last write got no answer.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the next write, if there is something to write and none is under way. `encode`
    /// is given the write's identifier, which the value must carry.
    pub fn poll(
        &mut self,
        now: Duration,
        change: Change,
        encode: impl FnOnce(&str) -> Bytes,
    ) -> Option<Call> {
        if self.flight.is_some() || change <= self.written || now < self.retry_at {
            return None;
        }
        self.count += 1;
        let write = format!("{}-{}", self.prefix, self.count);
        let value = encode(&write);
        self.sent.push_back((write, change));
        if self.sent.len() > WRITES_KEPT {
            self.sent.pop_front();
        }
        self.flight = Some(Flight { change });
        Some(Call::Put { key: self.key.clone(), expected: self.revision, value, lease: None })
    }

    /// Takes the reply to the write under way. `write_of` reads the identifier that a value
    /// carries.
    ///
    /// Guards against a write that took effect while its answer was lost: the repeated write
    /// then meets a conflict, and the value there carries the identifier of the lost one. It is
    /// taken as written; nothing is written twice and the key is not thought lost.
    pub fn reply(
        &mut self,
        now: Duration,
        reply: Reply,
        write_of: impl FnOnce(&Value) -> String,
    ) -> Outcome {
        let flight = self.flight.take();
        match (reply, flight) {
            (Reply::Written(revision), Some(flight)) => self.landed(revision, flight.change),
            (Reply::Conflict(value), _) => {
                let write = write_of(&value);
                let own = self.sent.iter().find(|(sent, _)| *sent == write);
                match own.map(|(_, change)| *change) {
                    Some(change) => self.landed(value.revision, change),
                    None => Outcome::Lost(value),
                }
            }
            _ => {
                self.failures += 1;
                let backoff = BACKOFF_START * 2_u32.saturating_pow(self.failures.min(8) - 1);
                self.retry_at = now + backoff.min(BACKOFF_MAX);
                Outcome::Retry
            }
        }
    }

    fn landed(&mut self, revision: Revision, change: Change) -> Outcome {
        self.revision = revision;
        self.written = self.written.max(change);
        self.failures = 0;
        self.retry_at = Duration::ZERO;
        Outcome::Written(self.written)
    }
}
