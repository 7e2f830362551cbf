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
