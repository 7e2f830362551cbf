//! An entry's interface for other processes of the system.

use prost::Message as _;
use sapphire_jobs::Relay;

use crate::{entry, interface::Interface, store};

fn start() -> Interface {
    let entry = entry::start();
    let relay = Relay {
        method: "GET".to_owned(),
        target: format!("/kv-key?key={}", store::WITHHELD),
        ..Relay::default()
    }
    .encode_to_vec();
    let head =
        format!("POST /relay HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", relay.len());
    Interface {
        daemon: entry.daemon,
        address: entry.internal,
        post: "POST /poll",
        body: 8 << 20,
        largest: 8 << 20,
        expanding: [b"", b"\x3a\x00"],
        ordinary: b"GET /lead HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
        held: [head.into_bytes(), relay].concat(),
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
