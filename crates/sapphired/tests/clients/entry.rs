//! An entry on the users' platform, with a stand-in of the store.

use std::net::SocketAddr;

use crate::{
    daemon::{self, Daemon},
    store,
};

/// An entry and the addresses of its interfaces.
pub struct Entry {
    pub daemon: Daemon,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub internal: SocketAddr,
    pub metrics: SocketAddr,
}

/// Starts an entry.
pub fn start() -> Entry {
    start_on(start_store())
}

/// Starts a store, and returns its address.
pub fn start_store() -> SocketAddr {
    let address = daemon::address();
    store::serve(address);
    address
}

/// Starts an entry on a store.
pub fn start_on(store: SocketAddr) -> Entry {
    let [callers, ready, internal, metrics] = std::array::from_fn(|_| daemon::address());
    let settings = format!(
        "platform: kv\nname: e0\nregion: r\nzone: z\naddress: \"{internal}\"\n\
         callers: \"{callers}\"\nready: \"{ready}\"\nmetrics: \"{metrics}\"\n\
         store: \"{store}\"\nentries: [\"{internal}\"]\n{}",
        Daemon::limits()
    );
    let daemon = Daemon::start("entry", &settings, vec![callers, ready, internal, metrics]);
    Entry { daemon, callers, ready, internal, metrics }
}
