//! The platform's metadata store, as PROTOCOL.md describes it. Nothing of its history is discarded.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{self, Json},
};

/// Items and bytes of a page of a range.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest value, in bytes.
const VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key and the item, or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// Ends and lengths of leases.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts to serve at an address.
    pub fn start(address: &str) -> io::Result<Store> {
        let store = Store::default();
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = ticker.0.0.lock().unwrap();
                state.expire();
                ticker.0.1.notify_all();
            }
        });
        let served = store.clone();
        http::serve(address, move |request| served.answer(&request))?;
        Ok(store)
    }

    /// Writes a key as an operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.set(key, base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let path = request.path();
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let reply = match (request.method.as_str(), path) {
            ("GET", "/kv-key") => state.key(request.query("key")),
            ("GET", "/kv-range") => state.range(request.query("prefix"), request.query("after")),
            ("GET", "/kv-watch") => {
                let after = request.query("after").parse().unwrap_or(0);
                let wait = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let prefix = request.query("prefix");
                loop {
                    let (count, reply) = state.watch(prefix, after);
                    let now = Instant::now();
                    if count > 0 || now >= until {
                        break reply;
                    }
                    state = self.0.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => state.transaction(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").number().unwrap_or(0).clamp(1_000, 600_000);
                state.next_lease += 1;
                let (id, ttl_time) = (state.next_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                let fields = [("lease", json::number(id)), ("ttl_ms", json::number(ttl))];
                (200, json::object(fields))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        let ttl = ttl.as_millis() as u64;
                        (200, json::object([("ttl_ms", json::number(ttl))]))
                    }
                    None => (404, json::object([])),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(id);
                (200, json::object([]))
            }
            _ => (404, json::object([])),
        };
        drop(state);
        self.0.1.notify_all();
        Some((reply.0, reply.1.to_string()))
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id && id > 0);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn item(key: &str, item: &Item) -> Json {
        json::object([
            ("key", json::text(key)),
            ("value", json::text(&item.value)),
            ("revision", json::number(item.revision)),
            ("created", json::number(item.created)),
            ("lease", json::number(item.lease)),
        ])
    }

    fn key(&self, key: &str) -> (u16, Json) {
        let revision = ("store_revision".to_owned(), json::number(self.revision));
        match self.items.get(key) {
            Some(item) => {
                let Json::Object(mut fields) = Self::item(key, item) else { unreachable!() };
                fields.push(revision);
                (200, Json::Object(fields))
            }
            None => (404, Json::Object(vec![revision])),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in self.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes + item.value.len() > PAGE_BYTES && bytes > 0) {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(Self::item(key, item));
        }
        let fields = [
            ("items", Json::List(items)),
            ("has_more", Json::Bool(has_more)),
            ("store_revision", json::number(self.revision)),
        ];
        (200, json::object(fields))
    }

    fn watch(&self, prefix: &str, after: u64) -> (usize, (u16, Json)) {
        let first = self.history.partition_point(|(revision, _, _)| *revision <= after);
        let changes = self.history[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let events: Vec<Json> = changes
            .map(|(revision, key, item)| match item {
                Some(item) => Self::item(key, item),
                None => json::object([
                    ("key", json::text(key)),
                    ("revision", json::number(*revision)),
                    ("deleted", Json::Bool(true)),
                ]),
            })
            .collect();
        let count = events.len();
        let revision = json::number(self.revision);
        let fields = [("events", Json::List(events)), ("store_revision", revision)];
        (count, (200, json::object(fields)))
    }

    fn transaction(&mut self, body: &Json) -> (u16, Json) {
        let (conditions, puts) = (body.get("expected_rev").list(), body.get("puts").list());
        let removes = body.get("remove").list();
        if conditions.len() + puts.len() + removes.len() > MAX_ENTRIES {
            return (400, json::object([("error", json::text("too many entries"))]));
        }
        for put in puts {
            let bytes = put.get("value").text().len() / 4 * 3;
            if bytes > VALUE_BYTES {
                return (400, json::object([("error", json::text("value too large"))]));
            }
        }
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let is_met = |row: &Json| {
            current(row.get("key").text()) == row.get("revision").number().unwrap_or(0)
        };
        if !conditions.iter().all(is_met) {
            let rows = conditions.iter().map(|row| {
                let key = row.get("key").text();
                let missing =
                    || json::object([("key", json::text(key)), ("revision", json::number(0))]);
                self.items.get(key).map_or_else(missing, |item| Self::item(key, item))
            });
            let rows = Json::List(rows.collect());
            return (412, json::object([("items", rows)]));
        }
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().map(lease_of).any(|lease| lease > 0 && !self.leases.contains_key(&lease)) {
            return (404, json::object([]));
        }
        if !puts.is_empty() || !removes.is_empty() {
            self.revision += 1;
        }
        for put in puts {
            self.set(put.get("key").text(), put.get("value").text().to_owned(), lease_of(put));
        }
        for key in removes {
            self.remove(key.text());
        }
        (200, json::object([("revision", json::number(self.revision))]))
    }
}

/// Encodes bytes in base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}
