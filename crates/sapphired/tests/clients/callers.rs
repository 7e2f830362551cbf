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
