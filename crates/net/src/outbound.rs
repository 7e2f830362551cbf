//! Connections that this process has opened.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    call::{CallId, Failure},
    clock,
    message::Response,
    parse::{self, Parsed},
    stream::{Fill, Stream},
    transfer::Transfer,
};

/// Bounds of what is taken from a server.
const BOUNDS: parse::Bounds = parse::Bounds { head: 16 << 10, body: 16 << 20 };

/// Longest pause in the middle of an answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// A call that waits for a connection or for its answer.
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) bytes: Bytes,
    /// When it is given up.
    pub(crate) deadline: Duration,
    answer: Transfer,
}

impl Call {
    pub(crate) fn new(id: CallId, bytes: Bytes, deadline: Duration) -> Self {
        Call { id, bytes, deadline, answer: Transfer::new(deadline) }
    }

    /// Notes that more of the answer has come. A long poll that was given time to wait for its
    /// answer is not given it for a pause in the middle.
    fn progress(&mut self, bytes: usize, now: Duration) {
        self.deadline = self.answer.pass(bytes).min(now + LONGEST_PAUSE);
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
    chunks: parse::Chunks,
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
            chunks: parse::Chunks::default(),
        }
    }

    /// Takes a call.
    pub(crate) fn send(&mut self, call: Call) -> Step {
        self.stream.push(&call.bytes);
        self.call = Some(call);
        self.least = 0;
        self.chunks = parse::Chunks::default();
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
        let received = self.stream.input.len() - before;
        if let Some(call) = self.call.as_mut().filter(|_| received > 0) {
            call.progress(received, clock::now());
        }
        if fill == Fill::Failed {
            return self.broken(Failure::Closed);
        }
        let has_ended = fill == Fill::Ended;
        if self.call.is_none() {
            let is_over = has_ended || received > 0;
            return if is_over { self.broken(Failure::Closed) } else { Step::Wait };
        }
        if self.stream.input.len() < self.least && !has_ended {
            return Step::Wait;
        }
        match parse::response(&self.stream.input, BOUNDS, has_ended, &mut self.chunks) {
            Parsed::Partial(_) if has_ended => self.broken(Failure::Closed),
            Parsed::Partial(least) => {
                self.least = least;
                Step::Wait
            }
            Parsed::Whole { message, used, keeps } => {
                self.stream.consume(used);
                let call = self.call.take().expect("checked above").id;
                // What follows answers nothing; on a connection that is kept, the next call
                // would take it for its answer.
                let keeps = keeps && self.stream.input.is_empty();
                Step::Answered { call, response: message, keeps }
            }
            Parsed::Bad(_) => self.broken(Failure::Malformed),
        }
    }

    fn broken(&mut self, failure: Failure) -> Step {
        Step::Broken { call: self.call.take().map(|call| call.id), failure }
    }
}
