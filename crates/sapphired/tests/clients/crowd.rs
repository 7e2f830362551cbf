//! A crowd of clients: each sends a fixed text and then repeats another one, never reads, and
//! connects again if it is disconnected.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::daemon::Daemon;

/// Clients of a crowd that sends.
pub const SENDERS: usize = 96;
/// Clients of a crowd that only keeps connections.
pub const HOLDERS: usize = 192;
/// Size in bytes to which a short filler is repeated.
const MIN_FILLER: usize = 64 << 10;
/// Times that one client connects.
const ATTEMPTS: u32 = 3;
/// Rounds in which no client can send before the crowd counts as blocked.
const MAX_BLOCKED_ROUNDS: u32 = 25;
const BLOCKED_PAUSE: Duration = Duration::from_millis(20);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Script {
    /// Name in failures.
    pub name: &'static str,
    /// Sent first.
    pub opening: Vec<u8>,
    /// Sent again and again behind the opening.
    pub filler: Vec<u8>,
    /// Bytes of filler that are sent on one connection.
    pub length: usize,
}

impl Script {
    /// Creates a script from texts.
    pub fn new(name: &'static str, opening: &str, filler: &str, length: usize) -> Self {
        Script::from_bytes(name, opening.as_bytes(), filler.as_bytes(), length)
    }

    /// Creates a script from bytes. A short filler is repeated, so that few writes send it.
    pub fn from_bytes(name: &'static str, opening: &[u8], filler: &[u8], length: usize) -> Self {
        let times = MIN_FILLER.div_ceil(filler.len().max(1));
        Script { name, opening: opening.to_vec(), filler: filler.repeat(times), length }
    }

    /// Bytes to send after the first `sent`; empty at the end.
    fn rest(&self, sent: usize) -> &[u8] {
        let Some(filled) = sent.checked_sub(self.opening.len()) else {
            return &self.opening[sent..];
        };
        if self.filler.is_empty() || filled >= self.length {
            return &[];
        }
        let rest = &self.filler[filled % self.filler.len()..];
        &rest[..rest.len().min(self.length - filled)]
    }
}

struct Client {
    socket: Option<TcpStream>,
    sent: usize,
    attempts: u32,
}

/// Connected clients.
pub struct Crowd {
    address: SocketAddr,
    clients: Vec<Client>,
}

impl Crowd {
    /// Connects clients and has them send the script until each has sent all of it, can't send more
    /// or has been disconnected too often.
    pub fn send(daemon: &mut Daemon, address: SocketAddr, size: usize, script: &Script) -> Self {
        let client = |_| Client { socket: None, sent: 0, attempts: 0 };
        let mut crowd = Crowd { address, clients: (0..size).map(client).collect() };
        let mut blocked = 0;
        while blocked < MAX_BLOCKED_ROUNDS && daemon.is_alive() {
            let mut progress = 0;
            for client in &mut crowd.clients {
                progress += client.advance(crowd.address, script);
            }
            daemon.measure();
            if progress > 0 {
                blocked = 0;
            } else if crowd.clients.iter().all(|client| client.is_done(script)) {
                break;
            } else {
                blocked += 1;
                thread::sleep(BLOCKED_PAUSE);
            }
        }
        crowd
    }
}

impl Client {
    /// Sends until the connection takes no more; returns the number of steps that were possible.
    fn advance(&mut self, address: SocketAddr, script: &Script) -> usize {
        let mut steps = 0;
        if self.socket.is_none() && self.attempts < ATTEMPTS {
            self.attempts += 1;
            self.sent = 0;
            self.socket = connect(address).ok();
            steps += 1;
        }
        let Some(socket) = &mut self.socket else { return steps };
        loop {
            let rest = script.rest(self.sent);
            if rest.is_empty() {
                return steps;
            }
            match socket.write(rest) {
                Ok(count) => {
                    self.sent += count;
                    steps += 1;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return steps,
                Err(_) => {
                    self.socket = None;
                    return steps;
                }
            }
        }
    }

    fn is_done(&self, script: &Script) -> bool {
        match self.socket {
            Some(_) => script.rest(self.sent).is_empty(),
            None => self.attempts == ATTEMPTS,
        }
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
