//! An entry's interface for callers.

use crate::{entry, interface::Interface};

fn start() -> Interface {
    let entry = entry::start();
    let get = |path: &str| {
        format!("GET {path} HTTP/1.1\r\nHost: soak.example\r\nX-Key: k\r\n\r\n").into_bytes()
    };
    Interface {
        daemon: entry.daemon,
        address: entry.callers,
        post: "POST /q/5c0e7a21d94b36f8",
        body: 1 << 20,
        largest: 1 << 20,
        expanding: [br#"{"spec":"","steps":["#, b"{},"],
        ordinary: get("/q/"),
        held: get("/q/withheld"),
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
