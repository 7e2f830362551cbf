//! An agent on the users' platform, without a minion.

use std::net::SocketAddr;

use crate::daemon::{self, Daemon};

/// An agent and the addresses of its interfaces.
pub struct Agent {
    pub daemon: Daemon,
    pub minion: SocketAddr,
    pub internal: SocketAddr,
    pub metrics: SocketAddr,
}

/// Starts an agent.
pub fn start() -> Agent {
    let [minion, internal, metrics, entry] = std::array::from_fn(|_| daemon::address());
    let settings = format!(
        "platform: kv\nname: a0\nregion: r\nzone: z\naddress: \"{internal}\"\n\
         minion: \"{minion}\"\nmetrics: \"{metrics}\"\nentries: [\"{entry}\"]\n{}",
        Daemon::limits()
    );
    let daemon = Daemon::start("agent", &settings, vec![minion, internal, metrics]);
    Agent { daemon, minion, internal, metrics }
}
