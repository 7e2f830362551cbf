//! Connections that this process has opened.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    call::{CallId, Failure},
    clock,
    message::Response,
    parse::{self, Parsed},
    stream::{Fill, Stream},
};

/// Bounds of what is taken from a server.
const BOUNDS: parse::Bounds = parse::Bounds { head: 16 << 10, body: 16 << 20 };

/// Rate below which an answer is given up, in bytes a second.
const LEAST_RATE: f64 = 16_384.0;
/// Longest pause in the middle of an answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// A call that waits for a connection or for its answer.
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) bytes: Bytes,
    /// When it is given up.
    pub(crate) deadline: Duration,
    /// Bytes of its answer so far.
    received: usize,
    /// When it is given up if nothing of its answer comes.
    unanswered: Duration,
}

impl Call {
    pub(crate) fn new(id: CallId, bytes: Bytes, deadline: Duration) -> Self {
        Call { id, bytes, deadline, received: 0, unanswered: deadline }
    }

    /// Notes that more of the answer has come.
    ///
    /// Guards against a large answer on a slow link that is given up, thrown away and asked for
    /// again for ever: what arrives buys time, up to a pause that is too long.
    fn progress(&mut self, bytes: usize, now: Duration) {
        self.received += bytes;
        let bought = Duration::from_secs_f64(self.received as f64 / LEAST_RATE);
        let deadline = (self.unanswered + bought).min(now + LONGEST_PAUSE);
        self.deadline = self.deadline.max(deadline);
    }
}

/// What a connection has come to.
pub(crate) enum Step {
    /// Nothing to do until the next event.
    Wait,
    /// The call has been answered; the connection may be used again if it `keeps`.
    Answered { call: CallId, response: Response, keeps: bool },
    /// The connection is of no use any more.
    Broken { call: Option<CallId>, failure: Failure },
}

/// One connection.
pub(crate) struct Connection {
    pub(crate) stream: Stream,
    pub(crate) target: SocketAddr,
    pub(crate) call: Option<Call>,
    /// When it became idle.
    pub(crate) idle_since: Duration,
    is_connected: bool,
    least: usize,
}

impl Connection {
    pub(crate) fn new(stream: Stream, target: SocketAddr) -> Self {
        Connection {
            stream,
            target,
            call: None,
            idle_since: Duration::ZERO,
            is_connected: false,
            least: 0,
        }
    }

    /// Takes a call.
    pub(crate) fn send(&mut self, call: Call) -> Step {
        self.stream.push(&call.bytes);
        self.call = Some(call);
        self.least = 0;
        if self.is_connected { self.write() } else { Step::Wait }
    }

    /// Goes on after the socket has become writable or readable.
    pub(crate) fn ready(&mut self, is_readable: bool) -> Step {
        if !self.is_connected {
            match self.stream.socket.take_error() {
                Ok(None) => {}
                Ok(Some(error)) | Err(error) => return self.broken(Failure::of(&error)),
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
            Err(error) => self.broken(Failure::of(&error)),
        }
    }

    fn read(&mut self) -> Step {
        let before = self.stream.input.len();
        let fill = self.stream.fill(BOUNDS.head + BOUNDS.body);
        if let Some(call) = &mut self.call {
            call.progress(self.stream.input.len() - before, clock::now());
        }
        if fill == Fill::Failed {
            return self.broken(Failure::Closed);
        }
        let has_ended = fill == Fill::Ended;
        if self.call.is_none() || (self.stream.input.len() < self.least && !has_ended) {
            return if has_ended { self.broken(Failure::Closed) } else { Step::Wait };
        }
        match parse::response(&self.stream.input, BOUNDS, has_ended) {
            Parsed::Partial(_) if has_ended => self.broken(Failure::Closed),
            Parsed::Partial(least) => {
                self.least = least;
                Step::Wait
            }
            Parsed::Whole { message, used, keeps } => {
                self.stream.consume(used);
                let call = self.call.take().expect("checked above").id;
                Step::Answered { call, response: message, keeps }
            }
            Parsed::Bad(_) => self.broken(Failure::Malformed),
        }
    }

    fn broken(&mut self, failure: Failure) -> Step {
        Step::Broken { call: self.call.take().map(|call| call.id), failure }
    }
}
