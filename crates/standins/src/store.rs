//! Stand-in of the key-value service: compare-and-swap, leases, watches, call counts, faults.
//!
//! `PUT /faults` sets the faults from a JSON object: `{"down": true}` closes connections without a
//! response, `{"slow_ms": 200}` delays each request, `{"lose_answers": 3}` processes the next three
//! writes but doesn't answer them. `GET /counts` returns the number of calls of each kind and the
//! size of each value in bytes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use tiny_http::Method;

use crate::serve::{self, Call, Reply};

/// Time after which a watch is answered although the value has not changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the largest value that can be written.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Default)]
struct Entry {
    revision: u64,
    value: Vec<u8>,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Clone, Default)]
struct Faults {
    down: bool,
    slow: Duration,
    lose_answers: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    faults: Faults,
    counts: BTreeMap<&'static str, u64>,
}

impl State {
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        self.entries.retain(|_, entry| entry.lease != Some(id));
        existed
    }

    fn entry(&self, key: &str) -> Entry {
        self.entries.get(key).cloned().unwrap_or_default()
    }

    fn count_call(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }
}

/// The key-value service; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store that listens on an address, and returns at once.
    ///
    /// # Errors
    /// Returns an error if the process can't listen on the address.
    pub fn serve(address: &str) -> eyre::Result<()> {
        let store = Store::default();
        serve::serve(address, move |call| store.handle(&call))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while holding the lock")
    }

    fn handle(&self, call: &Call) -> Reply {
        let path = call.path.clone();
        if let Some(reply) = self.handle_control(call) {
            return reply;
        }
        let faults = self.lock().faults.clone();
        if faults.down {
            return Reply { is_lost: true, ..Reply::default() };
        }
        thread::sleep(faults.slow);
        let reply = if let Some(key) = path.strip_prefix("/kv/") {
            self.handle_key(call, key)
        } else if let Some(id) = path.strip_prefix("/leases") {
            self.handle_lease(call, id.trim_start_matches('/'))
        } else {
            Reply::new(404, "no such path")
        };
        self.drop_answer(call, reply)
    }

    /// Drops the response to a write that was processed, if the faults require it.
    fn drop_answer(&self, call: &Call, reply: Reply) -> Reply {
        let mut state = self.lock();
        if call.method == Method::Put
            && call.path.starts_with("/kv/")
            && state.faults.lose_answers > 0
        {
            state.faults.lose_answers -= 1;
            return Reply { is_lost: true, ..reply };
        }
        reply
    }

    fn handle_control(&self, call: &Call) -> Option<Reply> {
        match (&call.method, call.path.as_str()) {
            (Method::Put, "/faults") => {
                let value = call.json();
                let mut state = self.lock();
                state.faults = Faults {
                    down: value["down"].as_bool().unwrap_or(false),
                    slow: Duration::from_millis(value["slow_ms"].as_u64().unwrap_or(0)),
                    lose_answers: value["lose_answers"].as_u64().unwrap_or(0),
                };
                drop(state);
                self.shared.1.notify_all();
                Some(Reply::new(200, "set"))
            }
            (Method::Get, "/counts") => {
                let state = self.lock();
                let sizes: BTreeMap<_, _> =
                    state.entries.iter().map(|(key, entry)| (key, entry.value.len())).collect();
                let value = json!({ "calls": state.counts, "bytes": sizes });
                Some(Reply::new(200, value.to_string()))
            }
            _ => None,
        }
    }

    fn handle_key(&self, call: &Call, key: &str) -> Reply {
        match (&call.method, call.number("above")) {
            (Method::Get, None) => {
                let mut state = self.lock();
                state.count_call("get");
                state.expire_leases();
                entry_reply(200, &state.entry(key))
            }
            (Method::Get, Some(above)) => self.watch(key, above),
            (Method::Put, _) => self.put(call, key),
            _ => Reply::new(405, "no such method"),
        }
    }

    fn watch(&self, key: &str, above: u64) -> Reply {
        let deadline = Instant::now() + WATCH_TIMEOUT;
        let mut state = self.lock();
        state.count_call("watch");
        loop {
            state.expire_leases();
            if state.faults.down {
                return Reply { is_lost: true, ..Reply::default() };
            }
            let entry = state.entry(key);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if entry.revision > above || remaining.is_zero() {
                return entry_reply(200, &entry);
            }
            let (next, _) = self
                .shared
                .1
                .wait_timeout(state, remaining)
                .expect("no thread panics while holding the lock");
            state = next;
        }
    }

    fn put(&self, call: &Call, key: &str) -> Reply {
        let mut state = self.lock();
        state.count_call("put");
        state.expire_leases();
        let expected = call.header("if-match").unwrap_or(0);
        let lease = call.header("x-lease");
        let current = state.entry(key);
        let is_lease_valid = lease.is_none_or(|lease| state.leases.contains_key(&lease));
        if current.revision != expected || !is_lease_valid {
            return entry_reply(409, &current);
        }
        if call.body.len() > MAX_VALUE_BYTES {
            return Reply::new(413, "the value is larger than a megabyte");
        }
        state.revision += 1;
        let entry = Entry { revision: state.revision, value: call.body.clone(), lease };
        let reply = entry_reply(200, &Entry { value: Vec::new(), ..entry.clone() });
        state.entries.insert(key.to_owned(), entry);
        drop(state);
        self.shared.1.notify_all();
        reply
    }

    fn handle_lease(&self, call: &Call, id: &str) -> Reply {
        let mut state = self.lock();
        state.count_call("lease");
        state.expire_leases();
        if call.method == Method::Post {
            let ttl = Duration::from_millis(call.number("ttl_ms").unwrap_or(1_000));
            state.revision += 1;
            let id = state.revision;
            state.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
            return Reply::new(200, id.to_string());
        }
        let id = id.parse().unwrap_or(0);
        if call.method == Method::Delete {
            let existed = state.remove_lease(id);
            drop(state);
            self.shared.1.notify_all();
            return Reply::new(if existed { 200 } else { 404 }, id.to_string());
        }
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = Instant::now() + lease.ttl;
                Reply::new(200, id.to_string())
            }
            None => Reply::new(404, "no such lease"),
        }
    }
}

fn entry_reply(status: u16, entry: &Entry) -> Reply {
    Reply {
        headers: vec![("X-Revision", entry.revision.to_string())],
        ..Reply::new(status, entry.value.clone())
    }
}
