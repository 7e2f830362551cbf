//! One interface of a process: what an ordinary client sends there, and the crowds that break its
//! limits.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    crowd::{Crowd, HOLDERS, SENDERS, Script},
    daemon::Daemon,
};

/// Time within which an ordinary request is answered, however busy the machine is.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an ordinary client tries again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that one client sends beyond its limits.
const EXCESS: usize = 4 << 20;
/// Bytes of requests that a client sends without reading the answers.
const UNREAD_REQUESTS: usize = 1 << 20;
/// Size of the largest pieces of a script.
const PIECE: usize = 16 << 10;

/// An interface of a running process.
pub struct Interface {
    /// The process.
    pub daemon: Daemon,
    /// Where it listens.
    pub address: SocketAddr,
    /// Method and target of a request with a body.
    pub post: &'static str,
    /// Body in bytes that the interface accepts, or accepted once.
    pub body: usize,
    /// Largest body in bytes that a client within the limits sends.
    pub largest: usize,
    /// Begin of a body, and what is repeated behind it, that take many times their length once they are
    /// decoded.
    pub expanding: [&'static [u8]; 2],
    /// An ordinary request, which is answered with status 200.
    pub ordinary: Vec<u8>,
    /// A request that is answered late or never; the ordinary one if there is none.
    pub held: Vec<u8>,
}

impl Interface {
    /// Waits until an ordinary request is answered.
    pub fn wait_until_served(&mut self, after: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = exchange(self.address, &self.ordinary);
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            assert!(self.daemon.is_alive(), "{after}: the process has ended");
            assert!(Instant::now() < deadline, "{after}: not served; last answer: {answer:?}");
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Sends scripts one after the other, each by a crowd, and checks the process after each.
    fn withstand(&mut self, size: usize, scripts: &[Script]) {
        self.withstand_at(self.address, size, scripts);
    }

    /// Sends scripts to an address of the same process, and the ordinary requests to its own.
    pub fn withstand_at(&mut self, address: SocketAddr, size: usize, scripts: &[Script]) {
        self.wait_until_served("before the crowd");
        for script in scripts {
            let crowd = Crowd::send(&mut self.daemon, address, size, script);
            self.wait_until_served(script.name);
            self.daemon.check(script.name);
            drop(crowd);
        }
    }

    fn post(&self, headers: &str) -> String {
        format!("{} HTTP/1.1\r\nHost: soak.example\r\n{headers}\r\n", self.post)
    }

    fn text(bytes: &[u8]) -> String {
        String::from_utf8_lossy(bytes).into_owned()
    }

    /// Guards against memory that is taken for bodies because they are announced, by a length or by the
    /// size of a chunk.
    pub fn withstand_announced_bodies(&mut self) {
        let piece = "x".repeat(PIECE);
        let length = |length: &str| self.post(&format!("Content-Length: {length}\r\n"));
        let chunk =
            |size: &str| self.post("Transfer-Encoding: chunked\r\n") + &format!("{size}\r\n");
        let scripts = [
            Script::new("1 GiB announced", &length("1073741824"), &piece, EXCESS),
            Script::new("1 TiB announced", &length("1099511627776"), &piece, PIECE),
            Script::new("2^63 announced", &length("9223372036854775807"), &piece, PIECE),
            Script::new("2^64 announced", &length("18446744073709551616"), &piece, EXCESS),
            Script::new(
                "announced with Expect",
                &self.post("Expect: 100-continue\r\nContent-Length: 1073741824\r\n"),
                &piece,
                EXCESS,
            ),
            Script::new("chunk of 1 GiB", &chunk("40000000"), &piece, EXCESS),
            Script::new("chunk of 2^64", &chunk("ffffffffffffffff"), &piece, EXCESS),
            Script::new(
                "unfinished within the limit",
                &length(&self.body.to_string()),
                &piece,
                self.body - 1,
            ),
            Script::new(
                "unfinished chunk within the limit",
                &chunk(&format!("{:x}", self.body)),
                &piece,
                self.body - 1,
            ),
        ];
        self.withstand(SENDERS, &scripts);
    }

    /// Guards against memory that grows with a body whose length is not announced.
    pub fn withstand_unannounced_bodies(&mut self) {
        let piece = "x".repeat(PIECE);
        let chunked = self.post("Transfer-Encoding: chunked\r\n");
        let chunk = format!("{PIECE:x}\r\n{piece}\r\n");
        let http_1_0 = format!("{} HTTP/1.0\r\n\r\n", self.post);
        let scripts = [
            Script::new("no length", &self.post(""), &piece, EXCESS),
            Script::new("until the end", &http_1_0, &piece, EXCESS),
            Script::new("chunks without end", &chunked, &chunk, EXCESS.max(2 * self.body)),
            Script::new("chunks within the limit", &chunked, &chunk, self.body - PIECE),
            Script::new("chunks of one byte", &chunked, "1\r\nx\r\n", EXCESS),
            Script::new("chunk size without end", &chunked, "0", EXCESS),
            Script::new("chunk extension without end", &(chunked.clone() + "1;"), "x", EXCESS),
            Script::new("trailers without end", &(chunked.clone() + "0\r\n"), "X: y\r\n", EXCESS),
            Script::new("other coding", &self.post("Transfer-Encoding: gzip\r\n"), &piece, EXCESS),
            Script::new(
                "length and chunks",
                &self.post("Content-Length: 1073741824\r\nTransfer-Encoding: chunked\r\n"),
                &chunk,
                EXCESS,
            ),
            Script::new(
                "upgraded",
                &self.post("Connection: upgrade\r\nUpgrade: x\r\n"),
                &piece,
                EXCESS,
            ),
        ];
        self.withstand(SENDERS, &scripts);
    }

    /// Guards against memory that decoded bodies take, which is many times their length.
    pub fn withstand_expanding_bodies(&mut self) {
        let [begin, filler] = self.expanding;
        let length = (self.body - begin.len()) / filler.len() * filler.len();
        let head = self.post(&format!("Content-Length: {}\r\n", begin.len() + length));
        let opening = [head.as_bytes(), begin].concat();
        let script = Script::from_bytes("expanding", &opening, filler, length);
        self.withstand(SENDERS, &[script]);
    }

    /// Guards against memory that grows with a head that never ends.
    pub fn withstand_heads(&mut self) {
        let piece = "x".repeat(PIECE);
        let scripts = [
            Script::new("method without end", "", &piece, EXCESS),
            Script::new("target without end", "GET /", &piece, EXCESS),
            Script::new("header without end", "GET / HTTP/1.1\r\nX: ", &piece, EXCESS),
            Script::new("name without end", "GET / HTTP/1.1\r\n", &piece, EXCESS),
            Script::new("headers without end", "GET / HTTP/1.1\r\n", "X: y\r\n", EXCESS),
            Script::new("empty lines", "", "\r\n", EXCESS),
            Script::new("empty lines of line feeds", "", "\n", EXCESS),
        ];
        self.withstand(SENDERS, &scripts);
    }

    /// Guards against memory that grows with what follows a request before its answer, or a refused one.
    pub fn withstand_bytes_behind_requests(&mut self) {
        let piece = "x".repeat(PIECE);
        let (ordinary, held) = (Self::text(&self.ordinary), Self::text(&self.held));
        let scripts = [
            Script::new("behind a request", &ordinary, &piece, EXCESS),
            Script::new("behind a held request", &held, &piece, EXCESS),
            Script::new("behind a refused request", "BAD\r\n\r\n", &piece, EXCESS),
            Script::new("requests behind a held one", &held, &ordinary, EXCESS),
        ];
        self.withstand(SENDERS, &scripts);
    }

    /// Guards against memory that grows with answers that nobody reads.
    pub fn withstand_unread_answers(&mut self) {
        let ordinary = Self::text(&self.ordinary);
        let unknown = "GET /nothing/here HTTP/1.1\r\nHost: x\r\n\r\n";
        let scripts = [
            Script::new("answers", "", &ordinary, UNREAD_REQUESTS),
            Script::new("refusals", "", unknown, UNREAD_REQUESTS),
        ];
        self.withstand(SENDERS, &scripts);
    }

    /// Guards against a process that runs out of descriptors.
    pub fn withstand_connections(&mut self) {
        let held = Self::text(&self.held);
        let body = self.post(&format!("Content-Length: {}\r\n", self.body)) + "x";
        let scripts = [
            Script::new("silent connections", "", "", 0),
            Script::new("parts of heads", "GET / HTT", "", 0),
            Script::new("parts of bodies", &body, "", 0),
            Script::new("held requests", &held, "", 0),
        ];
        self.withstand(HOLDERS, &scripts);
    }

    /// Guards against limits that a single request within them meets, in each framing.
    pub fn serve_largest_bodies(&mut self) {
        self.wait_until_served("before the request");
        let body = "x".repeat(self.largest);
        let close = "Connection: close\r\n";
        let length = format!("{close}Content-Length: {}\r\n", self.largest);
        let chunked = self.post(&format!("{close}Transfer-Encoding: chunked\r\n"));
        let chunks = |size: usize| {
            let chunk = |part: &[u8]| format!("{:x}\r\n{}\r\n", part.len(), Self::text(part));
            body.as_bytes().chunks(size).map(chunk).collect::<String>() + "0\r\n\r\n"
        };
        let requests = [
            ("by length", self.post(&length) + &body),
            ("one chunk", chunked.clone() + &chunks(self.largest)),
            ("chunks of 16 KiB", chunked.clone() + &chunks(PIECE)),
            ("chunks of 7 bytes", chunked + &chunks(7)),
        ];
        for (name, request) in requests {
            let answer = exchange(self.address, request.as_bytes());
            let status = answer.split(' ').nth(1).unwrap_or_default();
            assert!(!["", "408", "413", "429", "503"].contains(&status), "{name}: {answer:?}");
            self.daemon.check(name);
        }
    }
}

/// Sends a request on a connection of its own and returns the answer up to the end of its head; what
/// has arrived if there is none.
fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut answer = Vec::new();
    if let Ok(mut socket) = TcpStream::connect_timeout(&address, ATTEMPT_TIMEOUT) {
        let _ = socket.set_read_timeout(Some(ATTEMPT_TIMEOUT));
        let _ = socket.set_write_timeout(Some(ATTEMPT_TIMEOUT));
        // The process may refuse the request before it is sent whole.
        let _ = socket.write_all(request);
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = socket.read(&mut chunk) {
            answer.extend_from_slice(&chunk[..count]);
            if answer.windows(4).any(|end| end == b"\r\n\r\n") {
                break;
            }
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}
