//! An agent's interface for other processes of the system.

use prost::Message as _;
use sapphire_jobs::Lead;

use crate::{agent, interface::Interface};

fn start() -> Interface {
    let agent = agent::start();
    let lead =
        Lead { name: "e0".to_owned(), address: "127.0.0.1:9".to_owned(), term: 1, generation: 1 }
            .encode_to_vec();
    let head = format!("POST /lead HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", lead.len());
    let announcement = [head.into_bytes(), lead].concat();
    Interface {
        daemon: agent.daemon,
        address: agent.internal,
        post: "POST /lead",
        body: 8 << 20,
        largest: 64 << 10,
        expanding: [b"", b"\x0a\x00"],
        ordinary: announcement.clone(),
        held: announcement,
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
