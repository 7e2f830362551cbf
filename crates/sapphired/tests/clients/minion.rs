//! An agent's interface for its minion.

use serde_json::json;

use crate::{agent, interface::Interface};

fn start() -> Interface {
    let agent = agent::start();
    let heartbeat = json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "labels": ["a", "r1"], "call_seq": 1, "born": 1,
        "capacity": { "cpu": 8_000, "mem_mb": 8_000, "gpu": 4 },
    })
    .to_string();
    let request = format!(
        "PUT /instances/m0 HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{heartbeat}",
        heartbeat.len()
    )
    .into_bytes();
    Interface {
        daemon: agent.daemon,
        address: agent.minion,
        post: "PUT /instances/m0",
        body: 4 << 20,
        largest: 4 << 20,
        expanding: [
            br#"{"service":"desk","address":"","zone":"","state":"ready","call_seq":1,"labels":["#,
            br#""","#,
        ],
        ordinary: request.clone(),
        held: request,
    }
}

/// Guards against memory that is taken for bodies because they are announced.
#[test]
fn announced_bodies() {
    start().withstand_announced_bodies();
}

/// Guards against memory that grows with a body whose length is not announced.
#[test]
fn unannounced_bodies() {
    start().withstand_unannounced_bodies();
}

/// Guards against memory that decoded bodies take, which is many times their length.
#[test]
fn expanding_bodies() {
    start().withstand_expanding_bodies();
}

/// Guards against memory that grows with a head that never ends.
#[test]
fn heads() {
    start().withstand_heads();
}

/// Guards against memory that grows with what follows a request before its answer.
#[test]
fn bytes_behind_requests() {
    start().withstand_bytes_behind_requests();
}

/// Guards against memory that grows with answers that nobody reads.
#[test]
fn unread_answers() {
    start().withstand_unread_answers();
}

/// Guards against a process that runs out of descriptors.
#[test]
fn connections() {
    start().withstand_connections();
}

/// Guards against limits that a single request within them meets.
#[test]
fn largest_bodies() {
    start().serve_largest_bodies();
}
