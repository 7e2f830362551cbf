//! Fake key-value store in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use sapphire_store::call::{Call, Condition, Item, Lease, Put, Reply, Revision, Value};

#[derive(Clone, Debug, Default)]
struct Entry {
    value: Value,
    lease: Option<Lease>,
}

/// Store. The caller passes the current time with each call.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<Lease, (Duration, Duration)>,
    /// Changes in order, each with its time, for watches of prefixes.
    history: VecDeque<(Duration, Item)>,
    /// Time for which changes are kept; `None` for ever.
    history_age: Option<Duration>,
    /// Whether a key's removal with its lease has a revision of its own; set by the first watch of
    /// a prefix.
    counts_removals: bool,
    /// Latest revision whose change has been dropped from the history.
    compacted: Revision,
    /// Number of calls by kind.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Store {
    /// Store that keeps its history for a limited time.
    pub fn with_history(age: Duration) -> Self {
        Store { history_age: Some(age), ..Store::default() }
    }

    /// Carries out a call. A watch returns `None` until there is a later change.
    pub fn call(&mut self, now: Duration, call: &Call) -> Option<Reply> {
        self.expire_leases(now);
        self.drop_history(now);
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
                self.put(now, key, *expected, value, *lease)
            }
            Call::Scan { prefix, .. } => {
                self.count("scan");
                self.scan(prefix)
            }
            Call::WatchPrefix { prefix, after, wait } => {
                self.counts_removals = true;
                let reply = self.changes(prefix, *after);
                let is_empty = matches!(&reply, Reply::Changes { items, .. } if items.is_empty());
                if is_empty && *wait > Duration::from_millis(1) {
                    return None;
                }
                reply
            }
            Call::Commit { conditions, puts, removes } => {
                self.count("commit");
                self.commit(now, conditions, puts, removes)
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
                    Some((expires_at, ttl)) => {
                        *expires_at = now + *ttl;
                        Reply::Leased(*lease)
                    }
                    None => Reply::Lapsed,
                }
            }
            Call::Revoke { lease } => {
                self.count("lease");
                self.drop_lease(now, *lease);
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

    fn put(
        &mut self,
        now: Duration,
        key: &str,
        expected: Revision,
        value: &Bytes,
        lease: Option<Lease>,
    ) -> Reply {
        let current = self.value(key);
        let is_leased = lease.is_none_or(|lease| self.leases.contains_key(&lease));
        if current.revision != expected || !is_leased {
            return Reply::Conflict(current);
        }
        self.revision += 1;
        self.set(now, key, value, lease);
        Reply::Written(self.revision)
    }

    fn set(&mut self, now: Duration, key: &str, bytes: &Bytes, lease: Option<Lease>) {
        let value = Value { revision: self.revision, bytes: bytes.clone() };
        self.entries.insert(key.to_owned(), Entry { value, lease });
        self.history.push_back((now, self.item(key)));
    }

    fn item(&self, key: &str) -> Item {
        let found = self.entries.get(key).map(|entry| &entry.value);
        Item {
            key: key.to_owned(),
            value: found.map(|value| value.bytes.clone()),
            revision: found.map_or(0, |value| value.revision),
        }
    }

    fn scan(&self, prefix: &str) -> Reply {
        let keys = self.entries.keys().filter(|key| key.starts_with(prefix));
        let items = keys.map(|key| self.item(key)).collect();
        Reply::Items { items, has_more: false, revision: self.revision }
    }

    fn changes(&self, prefix: &str, after: Revision) -> Reply {
        if after < self.compacted {
            return Reply::HistoryGone;
        }
        let is_later = |item: &&Item| item.revision > after && item.key.starts_with(prefix);
        let items = self.history.iter().map(|(_, item)| item).filter(is_later).cloned().collect();
        Reply::Changes { items, revision: self.revision }
    }

    fn commit(
        &mut self,
        now: Duration,
        conditions: &[Condition],
        puts: &[Put],
        removes: &[String],
    ) -> Reply {
        let is_met =
            |condition: &Condition| self.value(&condition.key).revision == condition.revision;
        if !conditions.iter().all(is_met) {
            let items = conditions.iter().map(|condition| self.item(&condition.key));
            return Reply::Refused(items.collect());
        }
        if puts.iter().filter_map(|put| put.lease).any(|lease| !self.leases.contains_key(&lease)) {
            return Reply::Lapsed;
        }
        if !puts.is_empty() || !removes.is_empty() {
            self.revision += 1;
        }
        for put in puts {
            self.set(now, &put.key, &put.value, put.lease);
        }
        for key in removes {
            self.remove(now, key);
        }
        Reply::Committed(self.revision)
    }

    fn remove(&mut self, now: Duration, key: &str) {
        if self.entries.remove(key).is_some() {
            let item = Item { key: key.to_owned(), value: None, revision: self.revision };
            self.history.push_back((now, item));
        }
    }

    fn drop_history(&mut self, now: Duration) {
        let Some(age) = self.history_age else { return };
        while let Some((_, item)) = self.history.pop_front_if(|(at, _)| *at + age < now) {
            self.compacted = self.compacted.max(item.revision);
        }
    }

    /// Drops the history of changes.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    fn expire_leases(&mut self, now: Duration) {
        let expired: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.drop_lease(now, lease);
        }
    }

    fn drop_lease(&mut self, now: Duration, lease: Lease) {
        self.leases.remove(&lease);
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease == Some(lease));
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += u64::from(self.counts_removals);
            self.remove(now, &key);
        }
    }
}
