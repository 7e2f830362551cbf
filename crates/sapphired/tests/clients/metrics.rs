//! An entry's metrics.

use crate::{entry, interface::Interface};

fn start() -> Interface {
    let entry = entry::start();
    let read = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
    Interface {
        daemon: entry.daemon,
        address: entry.metrics,
        post: "POST /metrics",
        body: 1 << 20,
        largest: 0,
        expanding: [b"", b"x"],
        ordinary: read.clone(),
        held: read,
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
