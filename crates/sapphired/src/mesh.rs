//! Messages between processes over nng: one listening socket, and one dialling socket for each
//! peer.
//!
//! Messages may be lost while a peer is unreachable; the state machines repeat those that matter.

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

/// Messages that are queued for a peer that is not connected.
const SEND_BUFFER_MESSAGES: i32 = 512;
/// First delay before a connection is retried; nng doubles it up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before a connection is retried.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Time without a message to a peer after which its connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

struct Link {
    socket: Socket,
    last_used: Instant,
}

/// Outcome of [`Mesh::send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Queued for sending, with its size in bytes.
    Queued(usize),
    /// Dropped: the address is invalid, or the peer is unreachable and its queue is full.
    Dropped,
}

/// Outgoing connections to other processes, by address.
#[derive(Default)]
pub struct Mesh {
    links: BTreeMap<id::Address, Link>,
}

impl Mesh {
    /// Sends a message, after opening a connection if there is none. Never blocks.
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
            self.links.insert(address.to_owned(), Link { socket, last_used: Instant::now() });
        }
        let link = self.links.get_mut(address)?;
        link.last_used = Instant::now();
        Some(&link.socket)
    }

    /// Closes connections that have not been used for [`IDLE_TIMEOUT`].
    pub fn close_idle(&mut self) {
        self.links.retain(|_, link| link.last_used.elapsed() < IDLE_TIMEOUT);
    }
}

fn dial(address: &str) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
    socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// Listens at an address and sends an event for each message that arrives, made by `event`.
///
/// # Errors
/// When the address can't be listened on.
pub fn listen<E: Send + 'static>(
    address: &str,
    events: Sender<E>,
    event: impl Fn(envelope::Envelope) -> E + Send + 'static,
) -> eyre::Result<()> {
    let socket = Socket::new(Protocol::Pull0).wrap_err("cannot create the listening socket")?;
    socket
        .set_opt::<RecvMaxSize>(envelope::MAX_BYTES)
        .wrap_err("cannot create the listening socket")?;
    socket
        .listen(&format!("tcp://{address}"))
        .wrap_err_with(|| format!("cannot listen at {address}"))?;
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
