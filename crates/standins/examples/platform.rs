//! Runs a stand-in platform on loopback: a key-value service, workers and minions.

use std::{net::Ipv4Addr, thread};

use sapphire_standins::{minion, store, worker};

/// Stand-in platform for development. Serves until the process is killed.
#[derive(argh::FromArgs)]
struct Args {
    /// port of the key-value service
    #[argh(option)]
    store: Option<u16>,
    /// port of a worker; may be given more than once
    #[argh(option)]
    worker: Vec<u16>,
    /// port of a minion; may be given more than once
    #[argh(option)]
    minion: Vec<u16>,
}

fn address(port: u16) -> String {
    format!("{}:{port}", Ipv4Addr::LOCALHOST)
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    if let Some(port) = args.store {
        store::Store::serve(&address(port))?;
    }
    for port in args.worker {
        worker::Worker::serve(&address(port))?;
    }
    for port in args.minion {
        minion::serve(&address(port))?;
    }
    loop {
        thread::park();
    }
}
