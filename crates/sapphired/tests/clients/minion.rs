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

tests! {
    announced_bodies: withstand_announced_bodies,
    unannounced_bodies: withstand_unannounced_bodies,
    expanding_bodies: withstand_expanding_bodies,
    heads: withstand_heads,
    bytes_behind_requests: withstand_bytes_behind_requests,
    unread_answers: withstand_unread_answers,
    connections: withstand_connections,
    largest_bodies: serve_largest_bodies,
}
