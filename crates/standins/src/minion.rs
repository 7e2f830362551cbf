//! Stand-in of a minion with 8 slots and 64 connections, which echoes each request after a delay.
//!
//! `GET /echo?ms=5` is answered after 5 ms. `GET /count` returns how many requests were served and
//! how many refused. Requests that exceed the slots wait for a free one; those that exceed the
//! connections get 503.

use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use serde_json::json;

use crate::serve::{self, Call, Reply};

/// Requests that are served concurrently.
const SLOTS: u64 = 8;
/// Requests that are accepted at a time, including those that wait for a slot.
const MAX_CONNECTIONS: u64 = 64;

#[derive(Default)]
struct Counts {
    accepted: u64,
    running: u64,
    served: u64,
    refused: u64,
}

#[derive(Default)]
struct Minion {
    counts: Mutex<Counts>,
    slot_released: Condvar,
}

/// Starts a minion that listens on an address, and returns at once.
///
/// # Errors
/// Returns an error if the process can't listen on the address.
pub fn serve(address: &str) -> eyre::Result<()> {
    let minion = Arc::new(Minion::default());
    serve::serve(address, move |call| minion.handle(&call))
}

impl Minion {
    fn handle(&self, call: &Call) -> Reply {
        if call.path == "/count" {
            let counts = self.counts.lock().expect("no thread panics while holding the lock");
            let value = json!({ "served": counts.served, "refused": counts.refused });
            return Reply::new(200, value.to_string());
        }
        if !self.acquire_slot() {
            return Reply::new(503, "more requests than connections");
        }
        thread::sleep(Duration::from_millis(call.number("ms").unwrap_or(0)));
        self.release_slot();
        let is_empty = call.body.is_empty();
        let body = if is_empty { call.path.clone().into_bytes() } else { call.body.clone() };
        Reply { headers: vec![("X-Echo-Method", call.method.to_string())], ..Reply::new(200, body) }
    }

    fn acquire_slot(&self) -> bool {
        let mut counts = self.counts.lock().expect("no thread panics while holding the lock");
        if counts.accepted >= MAX_CONNECTIONS {
            counts.refused += 1;
            return false;
        }
        counts.accepted += 1;
        while counts.running >= SLOTS {
            counts =
                self.slot_released.wait(counts).expect("no thread panics while holding the lock");
        }
        counts.running += 1;
        true
    }

    fn release_slot(&self) {
        let mut counts = self.counts.lock().expect("no thread panics while holding the lock");
        counts.accepted -= 1;
        counts.running -= 1;
        counts.served += 1;
        drop(counts);
        self.slot_released.notify_one();
    }
}
