//! A minion: 8 slots, 64 connections. It echoes what it is asked, after a while.
//!
//! `GET /echo?ms=5` waits 5 ms; `GET /count` tells how many requests it has served. More
//! requests at once than slots get 503, so a caller that trusts no slot count is caught.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::serve::{self, Call, Reply};

/// Requests served at once.
const SLOTS: u64 = 8;

#[derive(Default)]
struct Counts {
    running: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

/// Serves a minion.
///
/// # Errors
/// When the address can't be listened on.
pub fn serve(address: &str) -> eyre::Result<()> {
    let counts = Arc::new(Counts::default());
    serve::serve(address, move |call| handle(&call, &counts))
}

fn handle(call: &Call, counts: &Counts) -> Reply {
    if call.path == "/count" {
        let value = json!({
            "served": counts.served.load(Ordering::SeqCst),
            "refused": counts.refused.load(Ordering::SeqCst),
        });
        return Reply::new(200, value.to_string());
    }
    if counts.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
        counts.running.fetch_sub(1, Ordering::SeqCst);
        counts.refused.fetch_add(1, Ordering::SeqCst);
        return Reply::new(503, "more requests than slots");
    }
    thread::sleep(Duration::from_millis(call.number("ms").unwrap_or(0)));
    counts.served.fetch_add(1, Ordering::SeqCst);
    counts.running.fetch_sub(1, Ordering::SeqCst);
    let body =
        if call.body.is_empty() { call.path.clone().into_bytes() } else { call.body.clone() };
    Reply { headers: vec![("X-Echo-Method", call.method.to_string())], ..Reply::new(200, body) }
}
