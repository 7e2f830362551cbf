//! An agent's metrics.

use crate::{agent, interface::Interface};

fn start() -> Interface {
    let agent = agent::start();
    let read = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
    Interface {
        daemon: agent.daemon,
        address: agent.metrics,
        post: "POST /metrics",
        body: 1 << 20,
        largest: 0,
        expanding: [b"", b"x"],
        ordinary: read.clone(),
        held: read,
    }
}

tests! {
    announced_bodies: withstand_announced_bodies,
    unannounced_bodies: withstand_unannounced_bodies,
    heads: withstand_heads,
    bytes_behind_requests: withstand_bytes_behind_requests,
    unread_answers: withstand_unread_answers,
    connections: withstand_connections,
}
