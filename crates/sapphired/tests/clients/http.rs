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
