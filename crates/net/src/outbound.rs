//! Connections that this process has opened to servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    call::{CallId, Failure},
    clock,
    message::Response,
    parse,
    reader::{Progress, Reader},
    stream::{Fill, Stream},
    transfer::Transfer,
};

/// Size limits of a response.
const RESPONSE_BOUNDS: parse::Bounds = parse::Bounds { head: 16 << 10, body: 16 << 20 };

/// Longest time without further bytes in the middle of a response.
const MAX_RESPONSE_GAP: Duration = Duration::from_secs(1);

/// Call that waits for a connection or for its response.
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) bytes: Bytes,
    /// Time at which the call times out.
    pub(crate) deadline: Duration,
    response: Transfer,
}

impl Call {
    pub(crate) fn new(id: CallId, bytes: Bytes, deadline: Duration) -> Self {
        Call { id, bytes, deadline, response: Transfer::new(deadline) }
    }

    /// Extends the deadline after a part of the response has arrived. The timeout of a long poll is
    /// meant for the wait until the response begins, so it does not apply to a gap in the middle.
    fn extend_deadline(&mut self, bytes: usize, now: Duration) {
        self.deadline = self.response.extend(bytes).min(now + MAX_RESPONSE_GAP);
    }
}

/// Result of an event on a connection.
pub(crate) enum Step {
    /// Nothing to do before the next event.
    Wait,
    /// The response to the call is complete; the connection can be reused if `keep_alive`.
    Answered { call: CallId, response: Response, keep_alive: bool },
    /// The connection has failed, and with it the outstanding call, if there is one.
    Broken { call: Option<CallId>, failure: Failure },
}

/// Connection to a server; carries one call at a time.
pub(crate) struct Connection {
    pub(crate) stream: Stream,
    pub(crate) target: SocketAddr,
    pub(crate) call: Option<Call>,
    /// Time at which the last call was completed.
    pub(crate) idle_since: Duration,
    is_connected: bool,
    reader: Reader<Response>,
}

impl Connection {
    pub(crate) fn new(stream: Stream, target: SocketAddr) -> Self {
        Connection {
            stream,
            target,
            call: None,
            idle_since: Duration::ZERO,
            is_connected: false,
            reader: Reader::responses(RESPONSE_BOUNDS),
        }
    }

    /// Sends a call, or queues it until the connection is established.
    pub(crate) fn send(&mut self, call: Call) -> Step {
        self.stream.output().extend_from_slice(&call.bytes);
        self.call = Some(call);
        self.reader.reset();
        if self.is_connected { self.write() } else { Step::Wait }
    }

    /// Continues after the socket has become writable or readable.
    pub(crate) fn ready(&mut self, is_readable: bool) -> Step {
        if !self.is_connected {
            match self.stream.socket.take_error() {
                Ok(None) => {}
                Ok(Some(error)) | Err(error) => return self.fail(Failure::of(&error)),
            }
            if self.stream.socket.peer_addr().is_err() {
                return Step::Wait;
            }
            self.is_connected = true;
        }
        match self.write() {
            Step::Wait if is_readable => self.read(),
            step => step,
        }
    }

    fn write(&mut self) -> Step {
        match self.stream.flush() {
            Ok(_) => Step::Wait,
            Err(error) => self.fail(Failure::of(&error)),
        }
    }

    fn read(&mut self) -> Step {
        loop {
            let fill = self.stream.fill();
            let has_ended = fill == Fill::Ended;
            let Some(call) = &mut self.call else {
                let is_unusable = fill != Fill::Blocked;
                return if is_unusable { self.fail(Failure::Closed) } else { Step::Wait };
            };
            match fill {
                Fill::Bytes(count) => call.extend_deadline(count, clock::now()),
                Fill::Blocked => return Step::Wait,
                Fill::Ended => {}
                Fill::Failed => return self.fail(Failure::Closed),
            }
            let id = call.id;
            match self.reader.read(&mut self.stream.input, has_ended) {
                Progress::Incomplete if has_ended => return self.fail(Failure::Closed),
                Progress::Incomplete => {}
                Progress::Complete { message, keep_alive } => {
                    self.call = None;
                    // Further input belongs to no call; if the connection were reused, the next
                    // call would take it for its response. No event follows if the server has
                    // closed the connection already.
                    let is_usable = self.stream.input.is_empty()
                        && !has_ended
                        && self.stream.fill() == Fill::Blocked;
                    let keep_alive = keep_alive && is_usable;
                    self.stream.shrink();
                    return Step::Answered { call: id, response: message, keep_alive };
                }
                Progress::Malformed(_) => return self.fail(Failure::Malformed),
            }
        }
    }

    fn fail(&mut self, failure: Failure) -> Step {
        Step::Broken { call: self.call.take().map(|call| call.id), failure }
    }
}
