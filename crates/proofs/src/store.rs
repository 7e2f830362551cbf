//! Fake key-value service in virtual time.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use sapphire_store::call::{Call, Lease, Reply, Revision, Value};

#[derive(Clone, Debug, Default)]
struct Entry {
    value: Value,
    lease: Option<Lease>,
}

/// The service. Time is given with each call.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<Lease, (Duration, Duration)>,
    /// Calls by kind.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Store {
    /// Carries out a call. A watch returns none until its key has a later revision.
    pub fn call(&mut self, now: Duration, call: &Call) -> Option<Reply> {
        self.lapse(now);
        Some(match call {
            Call::Get { key } => {
                self.count("get");
                Reply::Value(self.value(key))
            }
            Call::Watch { key, above } => {
                let value = self.value(key);
                if value.revision <= *above {
                    return None;
                }
                Reply::Value(value)
            }
            Call::Put { key, expected, value, lease } => {
                self.count("put");
                self.put(key, *expected, value, *lease)
            }
            Call::Grant { ttl } => {
                self.count("lease");
                self.revision += 1;
                self.leases.insert(self.revision, (now + *ttl, *ttl));
                Reply::Leased(self.revision)
            }
            Call::Keep { lease } => {
                self.count("lease");
                match self.leases.get_mut(lease) {
                    Some((until, ttl)) => {
                        *until = now + *ttl;
                        Reply::Leased(*lease)
                    }
                    None => Reply::Lapsed,
                }
            }
            Call::Revoke { lease } => {
                self.count("lease");
                self.drop_lease(*lease);
                Reply::Leased(*lease)
            }
        })
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn value(&self, key: &str) -> Value {
        self.entries.get(key).map(|entry| entry.value.clone()).unwrap_or_default()
    }

    fn put(&mut self, key: &str, expected: Revision, value: &Bytes, lease: Option<Lease>) -> Reply {
        let current = self.value(key);
        let is_leased = lease.is_none_or(|lease| self.leases.contains_key(&lease));
        if current.revision != expected || !is_leased {
            return Reply::Conflict(current);
        }
        self.revision += 1;
        let value = Value { revision: self.revision, bytes: value.clone() };
        self.entries.insert(key.to_owned(), Entry { value, lease });
        Reply::Written(self.revision)
    }

    fn lapse(&mut self, now: Duration) {
        let lapsed: Vec<Lease> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.drop_lease(lease);
        }
    }

    fn drop_lease(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        self.entries.retain(|_, entry| entry.lease != Some(lease));
    }
}
