//! The interface of the product's own entry for callers and operators.

use std::net::SocketAddr;

use sapphire_standins::store::Store;

use crate::{
    daemon::{self, Daemon},
    interface::Interface,
};

fn start() -> Interface {
    start_entry().0
}

/// Starts an entry; returns its interface for callers and the address for other processes.
pub fn start_entry() -> (Interface, SocketAddr) {
    let [internal, http, store] = std::array::from_fn(|_| daemon::address());
    Store::serve(&store.to_string()).expect("the address is free");
    let settings = format!(
        "name: e1\nregion: norte\nzone: norte-a\naddress: \"{internal}\"\nhttp: \"{http}\"\n\
         store: \"{store}\"\n{}",
        Daemon::limits()
    );
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes();
    let interface = Interface {
        daemon: Daemon::start("entry", &settings, vec![internal, http]),
        address: http,
        post: "POST /v1/rules/check",
        body: 1 << 20,
        largest: 1 << 20,
        expanding: [b"", b"x\n"],
        ordinary: get("/healthz"),
        held: get("/v1/services/review/held"),
    };
    (interface, internal)
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
