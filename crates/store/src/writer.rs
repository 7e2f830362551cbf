//! Writer of a key that only one process writes: batches changes and resolves writes without an
//! answer.
//!
//! The caller numbers the changes. At most one write is outstanding and carries all changes up to a
//! number, so that there are fewer calls than changes under load.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;

use crate::call::{Call, Reply, Revision, Value};

/// Number of a change; a write includes all changes up to its number.
pub type Change = u64;

/// Number of identifiers remembered to recognise own writes whose answers were lost.
const MAX_REMEMBERED_WRITES: usize = 32;
/// Delay before the first retry of a failed write.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Effect of a reply on the key.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All changes up to this number are stored.
    Written(Change),
    /// The write failed or got no answer and will be retried.
    Retry,
    /// Another process has written the key; its current state.
    Lost(Value),
}

#[derive(Clone, Debug)]
struct InFlight {
    change: Change,
}

/// State machine that writes one key.
#[derive(Clone, Debug)]
pub struct Writer {
    key: String,
    /// Prefix of write identifiers, unique to this process and different after a restart.
    prefix: String,
    revision: Revision,
    in_flight: Option<InFlight>,
    sent: VecDeque<(String, Change)>,
    written: Change,
    write_count: u64,
    failures: u32,
    retry_at: Duration,
}

impl Writer {
    /// Creates a writer from the revision that the key had when it was read.
    pub fn new(key: &str, prefix: &str, revision: Revision) -> Self {
        Writer {
            key: key.to_owned(),
            prefix: prefix.to_owned(),
            revision,
            in_flight: None,
            sent: VecDeque::new(),
            written: 0,
            write_count: 0,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Number up to which all changes are stored.
    pub fn written(&self) -> Change {
        self.written
    }

    /// Whether the last write failed or got no answer.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the next write, if there are unwritten changes and no write is outstanding. `encode`
    /// builds the value from the identifier of the write, which the value must contain.
    pub fn poll(
        &mut self,
        now: Duration,
        change: Change,
        encode: impl FnOnce(&str) -> Bytes,
    ) -> Option<Call> {
        if self.in_flight.is_some() || change <= self.written || now < self.retry_at {
            return None;
        }
        self.write_count += 1;
        let write = format!("{}-{}", self.prefix, self.write_count);
        let value = encode(&write);
        self.sent.push_back((write, change));
        if self.sent.len() > MAX_REMEMBERED_WRITES {
            self.sent.pop_front();
        }
        self.in_flight = Some(InFlight { change });
        Some(Call::Put { key: self.key.clone(), expected: self.revision, value, lease: None })
    }

    /// Handles the reply to the outstanding write. `write_of` extracts the write identifier from a
    /// value.
    ///
    /// Guards against a write that took effect while its answer was lost: the retry then meets a
    /// conflict, and the stored value contains the identifier of the first write. That write counts
    /// as successful, so nothing is written twice and the conflict is not attributed to
    /// another process.
    pub fn reply(
        &mut self,
        now: Duration,
        reply: Reply,
        write_of: impl FnOnce(&Value) -> String,
    ) -> Outcome {
        let in_flight = self.in_flight.take();
        match (reply, in_flight) {
            (Reply::Written(revision), Some(write)) => self.record_written(revision, write.change),
            (Reply::Conflict(value), _) => {
                let write = write_of(&value);
                let own = self.sent.iter().find(|(sent, _)| *sent == write);
                match own.map(|(_, change)| *change) {
                    Some(change) => self.record_written(value.revision, change),
                    None => Outcome::Lost(value),
                }
            }
            _ => {
                self.failures += 1;
                let backoff = MIN_BACKOFF * 2_u32.saturating_pow(self.failures.min(8) - 1);
                self.retry_at = now + backoff.min(MAX_BACKOFF);
                Outcome::Retry
            }
        }
    }

    fn record_written(&mut self, revision: Revision, change: Change) -> Outcome {
        self.revision = revision;
        self.written = self.written.max(change);
        self.failures = 0;
        self.retry_at = Duration::ZERO;
        Outcome::Written(self.written)
    }
}
