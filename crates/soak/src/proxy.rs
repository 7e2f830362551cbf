//! A loopback proxy whose connections can be delayed, silenced and reset.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
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
}

const DELAY: Duration = Duration::from_millis(120);
/// How often a silenced connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// The proxy.
pub(crate) struct Proxy {
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Listens at an address for a server at another one.
    pub(crate) fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let mode = Arc::new(AtomicU8::new(Mode::Pass as u8));
        let shared = mode.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let pairs =
                    [(client.try_clone(), upstream.try_clone()), (Ok(upstream), Ok(client))];
                for pair in pairs {
                    if let (Ok(from), Ok(to)) = pair {
                        let mode = shared.clone();
                        thread::spawn(move || copy(from, to, &mode));
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

fn copy(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8) {
    let mut chunk = [0; 16 << 10];
    let is = |wanted: Mode| mode.load(Ordering::Relaxed) == wanted as u8;
    while let Ok(count) = from.read(&mut chunk) {
        while is(Mode::Silence) {
            thread::sleep(LOOK);
        }
        if is(Mode::Delay) {
            thread::sleep(DELAY);
        }
        if count == 0 || is(Mode::Reset) || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    // The other direction notices; a socket that is closed already can't be shut down.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
