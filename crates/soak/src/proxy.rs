//! A loopback proxy whose connections can be delayed, silenced, cut one way and reset.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// What the proxy does to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Nothing.
    Pass,
    /// Everything takes longer.
    Delay,
    /// Nothing passes, and nobody is told.
    Silence,
    /// Connections are ended.
    Reset,
    /// Nothing gets to the server.
    CutRequests,
    /// Nothing comes back from the server.
    CutAnswers,
}

const DELAY: Duration = Duration::from_millis(120);
/// How often a silenced connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// Bytes that a limited link carries at a time.
const SLICE: usize = 4 << 10;

/// A link that carries so many bytes a second, for all connections together.
struct Link {
    rate: u32,
    free_at: Mutex<Instant>,
}

impl Link {
    /// Waits until the link has carried so many bytes more.
    fn carry(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / f64::from(self.rate));
        let until = {
            let mut free_at = self.free_at.lock().expect("no thread panics while it holds this");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// The proxy.
pub(crate) struct Proxy {
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Listens at an address for a server at another one. Clients get so many bytes a second from
    /// it, or as many as they can take.
    pub(crate) fn start(
        listen: SocketAddr,
        server: SocketAddr,
        rate: Option<u32>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let link = rate.map(|rate| Arc::new(Link { rate, free_at: Mutex::new(Instant::now()) }));
        let mode = Arc::new(AtomicU8::new(Mode::Pass as u8));
        let shared = mode.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let pairs = [
                    (client.try_clone(), upstream.try_clone(), None, Mode::CutRequests),
                    (Ok(upstream), Ok(client), link.clone(), Mode::CutAnswers),
                ];
                for pair in pairs {
                    if let (Ok(from), Ok(to), link, cut) = pair {
                        let mode = shared.clone();
                        thread::spawn(move || copy(from, to, &mode, link.as_deref(), cut));
                    }
                }
            }
        });
        Ok(Proxy { mode })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, link: Option<&Link>, cut: Mode) {
    let mut chunk = [0; SLICE];
    let is = |wanted: Mode| mode.load(Ordering::Relaxed) == wanted as u8;
    while let Ok(count) = from.read(&mut chunk) {
        while is(Mode::Silence) || is(cut) {
            thread::sleep(LOOK);
        }
        if is(Mode::Delay) {
            thread::sleep(DELAY);
        }
        if let Some(link) = link {
            link.carry(count);
        }
        if count == 0 || is(Mode::Reset) || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    // The other direction notices; a socket that is closed already can't be shut down.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
