//! A TCP proxy on loopback whose connections can be delayed, silenced, cut one way and reset.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What the proxy does with the bytes that it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards them at once.
    Pass,
    /// Forwards them later.
    Delay,
    /// Holds them back in both directions; connections stay open.
    Silence,
    /// Closes the connection on which they arrive.
    Reset,
    /// Holds back what clients send.
    CutRequests,
    /// Holds back what the server sends.
    CutAnswers,
    /// Forwards what the server sends later, by this time.
    SlowAnswers(Duration),
    /// Discards what the server sends, and from then on all that it sends on that connection.
    LoseAnswers,
}

/// Connections that a mode holds for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    All,
    /// Those that were there when the mode was set.
    Existing,
}

/// Mode of a proxy's connections, which are numbered from 0.
struct State {
    mode: Mode,
    /// Number from which on connections are in `Mode::Pass`.
    limit: u64,
    connections: u64,
}

impl State {
    fn mode(state: &Mutex<State>, number: u64) -> Mode {
        let state = state.lock().expect("no thread panics while holding the lock");
        if number < state.limit { state.mode } else { Mode::Pass }
    }
}

/// Time by which [`Mode::Delay`] delays each chunk.
const DELAY: Duration = Duration::from_millis(120);
/// Interval at which a connection whose bytes are held back checks the mode again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without data after which what a server sends is another answer.
const ANSWER_GAP: Duration = Duration::from_millis(50);

/// Largest chunk that is read and forwarded at a time, in bytes.
const CHUNK_BYTES: usize = 4 << 10;

/// A link of limited rate, which all connections of a proxy share.
struct Link {
    /// Bytes per second.
    rate: u32,
    /// When the link has carried all bytes that were sent over it so far.
    free_at: Mutex<Instant>,
}

impl Link {
    /// Waits until the link has carried `bytes` more bytes.
    fn transmit(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / f64::from(self.rate));
        let until = {
            let mut free_at = self.free_at.lock().expect("no thread panics while holding the lock");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// A proxy for one server.
pub(crate) struct Proxy {
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Listens on `listen` and forwards connections to `server`. With a `rate`, clients together
    /// receive at most that many bytes per second.
    pub(crate) fn start(
        listen: SocketAddr,
        server: SocketAddr,
        rate: Option<u32>,
    ) -> io::Result<Self> {
        Proxy::start_replacing(listen, server, rate, Vec::new())
    }

    /// As [`Proxy::start`]; in what is forwarded, the first of each pair is replaced by the second,
    /// which has the same length. A chunk that ends inside of one is not replaced.
    pub(crate) fn start_replacing(
        listen: SocketAddr,
        server: SocketAddr,
        rate: Option<u32>,
        replacements: Vec<(Vec<u8>, Vec<u8>)>,
    ) -> io::Result<Self> {
        let replacements: Arc<[_]> = replacements.into();
        let listener = TcpListener::bind(listen)?;
        let link = rate.map(|rate| Arc::new(Link { rate, free_at: Mutex::new(Instant::now()) }));
        let state = State { mode: Mode::Pass, limit: u64::MAX, connections: 0 };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let number = {
                    let mut state = shared.lock().expect("no thread panics while holding the lock");
                    state.connections += 1;
                    state.connections - 1
                };
                let pairs = [
                    (client.try_clone(), upstream.try_clone(), None, Mode::CutRequests),
                    (Ok(upstream), Ok(client), link.clone(), Mode::CutAnswers),
                ];
                for pair in pairs {
                    if let (Ok(from), Ok(to), link, cut) = pair {
                        let (state, replacements) = (shared.clone(), replacements.clone());
                        thread::spawn(move || {
                            let mode = || State::mode(&state, number);
                            forward(from, to, mode, link.as_deref(), cut, &replacements);
                        });
                    }
                }
            }
        });
        Ok(Proxy { state })
    }

    /// Sets the mode of all connections, present and future.
    pub(crate) fn set(&self, mode: Mode) {
        self.set_within(Scope::All, mode);
    }

    /// Sets the mode of some connections; the others pass. Setting the same mode again has no effect.
    pub(crate) fn set_within(&self, scope: Scope, mode: Mode) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        if state.mode != mode {
            state.mode = mode;
            state.limit = if scope == Scope::All { u64::MAX } else { state.connections };
        }
    }
}

/// Forwards one direction of a connection until it ends; `cut` is the mode that holds back this
/// direction only.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: impl Fn() -> Mode,
    link: Option<&Link>,
    cut: Mode,
    replacements: &[(Vec<u8>, Vec<u8>)],
) {
    let mut chunk = [0; CHUNK_BYTES];
    let is_mode = |wanted: Mode| mode() == wanted;
    let is_answer = cut == Mode::CutAnswers;
    let mut is_lost = false;
    let mut forwarded_at = Instant::now();
    while let Ok(count) = from.read(&mut chunk) {
        while is_mode(Mode::Silence) || is_mode(cut) {
            thread::sleep(CHECK_INTERVAL);
        }
        if is_mode(Mode::Delay) {
            thread::sleep(DELAY);
        }
        is_lost |= is_answer && is_mode(Mode::LoseAnswers);
        if is_lost && count > 0 {
            continue;
        }
        if let (Mode::SlowAnswers(delay), true) = (mode(), is_answer)
            && forwarded_at.elapsed() > ANSWER_GAP
        {
            thread::sleep(delay);
        }
        forwarded_at = Instant::now();
        if let Some(link) = link {
            link.transmit(count);
        }
        for (old, new) in replacements {
            replace(&mut chunk[..count], old, new);
        }
        if count == 0 || is_mode(Mode::Reset) || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    // This ends the other direction too. Shutting down a socket that is closed already fails.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Replaces all occurrences of `old` by `new`, which has the same length.
fn replace(chunk: &mut [u8], old: &[u8], new: &[u8]) {
    let mut at = 0;
    while at + old.len() <= chunk.len() {
        if chunk[at..].starts_with(old) {
            chunk[at..at + new.len()].copy_from_slice(new);
        }
        at += 1;
    }
}
