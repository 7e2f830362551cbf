//! Messages between processes over nng: one listening socket, one dialling socket a peer.
//!
//! Messages may be lost when a peer is away; the state machines repeat what matters.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use crossbeam_channel::Sender;
use eyre::WrapErr as _;
use nng::{
    Protocol, Socket,
    options::{Options as _, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize},
};
use sapphire_wire::{envelope, id};

use crate::runtime;

/// Messages kept for a peer that is not connected.
const SEND_BUFFER: i32 = 512;
const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_secs(1);
/// A peer not spoken to for this long is disconnected.
const IDLE: Duration = Duration::from_secs(60);

struct Link {
    socket: Socket,
    used: Instant,
}

/// What became of a message handed to [`Mesh::send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// On its way; this many bytes.
    Queued(usize),
    /// Dropped: the peer is away and its buffer is full.
    Dropped,
}

/// Connections to other processes.
#[derive(Default)]
pub struct Mesh {
    links: BTreeMap<id::Address, Link>,
}

impl Mesh {
    /// Sends a message, connecting first if need be. Never waits.
    pub fn send(&mut self, address: &str, envelope: envelope::Envelope) -> Sent {
        let Some(socket) = self.socket(address) else { return Sent::Dropped };
        let bytes = envelope.encode();
        let size = bytes.len();
        match socket.try_send(&bytes[..]) {
            Ok(()) => Sent::Queued(size),
            Err(_) => Sent::Dropped,
        }
    }

    fn socket(&mut self, address: &str) -> Option<&Socket> {
        if !self.links.contains_key(address) {
            let socket = dial(address).ok()?;
            self.links.insert(address.to_owned(), Link { socket, used: Instant::now() });
        }
        let link = self.links.get_mut(address)?;
        link.used = Instant::now();
        Some(&link.socket)
    }

    /// Closes connections that have not been used for long.
    pub fn close_idle(&mut self) {
        self.links.retain(|_, link| link.used.elapsed() < IDLE);
    }
}

fn dial(address: &str) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// Listens at an address and hands each message to `event`.
///
/// # Errors
/// When the address can't be listened on.
pub fn listen<E: Send + 'static>(
    address: &str,
    events: Sender<E>,
    event: impl Fn(envelope::Envelope) -> E + Send + 'static,
) -> eyre::Result<()> {
    let socket = Socket::new(Protocol::Pull0).wrap_err("socket")?;
    socket.set_opt::<RecvMaxSize>(envelope::MAX_BYTES).wrap_err("socket")?;
    socket.listen(&format!("tcp://{address}")).wrap_err_with(|| format!("listen {address}"))?;
    runtime::spawn("mesh", move || {
        while let Ok(message) = socket.recv() {
            match envelope::Envelope::decode(Bytes::copy_from_slice(&message)) {
                Ok(envelope) => {
                    if events.send(event(envelope)).is_err() {
                        return;
                    }
                }
                Err(error) => log::warn!(target: "sapphire", "edge: bad frame error=\"{error}\""),
            }
        }
    })
}
