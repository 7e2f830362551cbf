//! Non-blocking socket with input and output buffers.

use std::io::{self, Read as _, Write as _};

use mio::net::TcpStream;

/// Bytes read by one system call.
const CHUNK: usize = 16 << 10;
/// Capacity in bytes above which an empty buffer is freed.
const MAX_RETAINED_CAPACITY: usize = 16 << 10;

/// Result of reading once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fill {
    /// This number of bytes was added to the input.
    Bytes(usize),
    /// Nothing is available before the next event.
    Blocked,
    /// The peer has closed its sending side.
    Ended,
    /// The connection has failed.
    Failed,
}

/// Socket with its buffers.
pub(crate) struct Stream {
    pub(crate) socket: TcpStream,
    /// Bytes that have been read but not parsed.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written.
    written: usize,
}

impl Stream {
    pub(crate) fn new(socket: TcpStream) -> Self {
        // Without TCP_NODELAY small messages wait up to 40 ms for the acknowledgement of earlier
        // ones. A socket that does not accept the option still works.
        let _ = socket.set_nodelay(true);
        Stream { socket, input: Vec::new(), output: Vec::new(), written: 0 }
    }

    /// Reads available bytes, at most [`CHUNK`].
    pub(crate) fn fill(&mut self) -> Fill {
        let mut chunk = [0; CHUNK];
        loop {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Fill::Ended,
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    return Fill::Bytes(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Fill::Blocked,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fill::Failed,
            }
        }
    }

    /// Frees the input buffer if it is empty and large.
    pub(crate) fn shrink(&mut self) {
        if self.input.is_empty() && self.input.capacity() > MAX_RETAINED_CAPACITY {
            self.input = Vec::new();
        }
    }

    /// Memory in bytes that both buffers take.
    pub(crate) fn memory(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Buffer of what is to be written; bytes may be appended.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Number of bytes that are still to be written.
    pub(crate) fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much as the socket accepts; returns whether all has been written.
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
        if self.output.capacity() > MAX_RETAINED_CAPACITY {
            self.output = Vec::new();
        }
        Ok(true)
    }
}
