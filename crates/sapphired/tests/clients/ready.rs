//! An entry's readiness check.

use crate::{entry, interface::Interface};

fn start() -> Interface {
    let entry = entry::start();
    let check = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
    Interface {
        daemon: entry.daemon,
        address: entry.ready,
        post: "POST /readyz",
        body: 1 << 20,
        largest: 0,
        expanding: [b"", b"x"],
        ordinary: check.clone(),
        held: check,
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
