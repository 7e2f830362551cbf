//! A non-blocking socket with its buffers.

use std::io::{self, Read as _, Write as _};

use mio::net::TcpStream;

/// Bytes read by one call.
const CHUNK: usize = 16 << 10;
/// Capacity above which an emptied buffer is given back, in bytes.
const KEPT_CAPACITY: usize = 64 << 10;

/// What reading found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fill {
    /// Nothing more for now.
    Open,
    /// The peer has ended its side.
    Ended,
    /// The connection has failed.
    Failed,
}

/// The socket.
pub(crate) struct Stream {
    pub(crate) socket: TcpStream,
    /// Read and not parsed yet.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// How much of `output` has been written.
    written: usize,
}

impl Stream {
    pub(crate) fn new(socket: TcpStream) -> Self {
        // Without it small messages wait for the acknowledgement of earlier ones, up to 40 ms.
        // A socket that refuses the option still works.
        let _ = socket.set_nodelay(true);
        Stream { socket, input: Vec::new(), output: Vec::new(), written: 0 }
    }

    /// Reads all there is, up to `most` bytes waiting to be parsed.
    pub(crate) fn fill(&mut self, most: usize) -> Fill {
        let mut chunk = [0; CHUNK];
        while self.input.len() <= most {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Fill::Ended,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Fill::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fill::Failed,
            }
        }
        Fill::Open
    }

    /// Takes parsed bytes out of the input.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() && self.input.capacity() > KEPT_CAPACITY {
            self.input = Vec::new();
        }
    }

    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Bytes that are still to be written.
    pub(crate) fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what it can; true when nothing is left.
    pub(crate) fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.output.len() {
            match self.socket.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > KEPT_CAPACITY {
            self.output = Vec::new();
        }
        Ok(true)
    }
}
