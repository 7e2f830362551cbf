//! Connections that callers have opened to this process.

use std::time::Duration;

use crate::{
    message::{Limits, Request, Response},
    parse::{self, Parsed},
    stream::{Fill, Stream},
    transfer::Transfer,
};

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a request or for the rest of one.
    Reading,
    /// A request has been passed on and has no response yet.
    Answering { keep_alive: bool },
    /// The response is being written.
    Writing { keep_alive: bool },
}

/// Result of an event on a connection.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing to do before the next event.
    Wait,
    /// A complete request.
    Request(Request),
    /// The caller closed the connection before its request was answered.
    Disconnected,
    /// The connection is to be closed.
    Close,
}

/// Connection of a caller; serves one request at a time.
pub(crate) struct Connection {
    pub(crate) stream: Stream,
    pub(crate) listener: usize,
    pub(crate) phase: Phase,
    limits: Limits,
    /// Time at which the present phase times out; none while a request is being served.
    pub(crate) deadline: Option<Duration>,
    /// Progress of the response that is being written.
    transfer: Transfer,
    /// Least length of the present request in bytes, as far as it is known.
    min_length: usize,
    chunked: parse::ChunkedBody,
    has_ended: bool,
}

impl Connection {
    pub(crate) fn new(stream: Stream, listener: usize, limits: Limits, now: Duration) -> Self {
        let deadline = Some(now + limits.idle_timeout);
        let phase = Phase::Reading;
        Connection {
            stream,
            listener,
            phase,
            limits,
            deadline,
            transfer: Transfer::new(now),
            min_length: 0,
            chunked: parse::ChunkedBody::default(),
            has_ended: false,
        }
    }

    /// Continues after the socket has become readable.
    pub(crate) fn readable(&mut self, now: Duration) -> Step {
        let was_empty = self.stream.input.is_empty();
        let max_input = self.limits.head_bytes + self.limits.body_bytes;
        match self.stream.fill(max_input) {
            Fill::Failed => return self.closed_by_caller(),
            Fill::Ended => self.has_ended = true,
            Fill::Open => {}
        }
        if self.phase != Phase::Reading {
            return if self.has_ended { self.closed_by_caller() } else { Step::Wait };
        }
        if was_empty && !self.stream.input.is_empty() {
            self.deadline = Some(now + self.limits.request_timeout);
        }
        self.parse(now)
    }

    fn closed_by_caller(&self) -> Step {
        if matches!(self.phase, Phase::Answering { .. }) { Step::Disconnected } else { Step::Close }
    }

    fn parse(&mut self, now: Duration) -> Step {
        if self.stream.input.len() < self.min_length || self.stream.input.is_empty() {
            return if self.has_ended { Step::Close } else { Step::Wait };
        }
        let bounds = parse::Bounds { head: self.limits.head_bytes, body: self.limits.body_bytes };
        match parse::request(&self.stream.input, bounds, &mut self.chunked) {
            Parsed::Partial(min_length) => {
                self.min_length = min_length;
                if self.has_ended { Step::Close } else { Step::Wait }
            }
            Parsed::Complete { message, used, keep_alive } => {
                self.stream.consume(used);
                self.min_length = 0;
                self.chunked = parse::ChunkedBody::default();
                self.phase = Phase::Answering { keep_alive: keep_alive && !self.has_ended };
                self.deadline = None;
                Step::Request(message)
            }
            Parsed::Bad(status) => {
                self.stream.input.clear();
                self.chunked = parse::ChunkedBody::default();
                self.phase = Phase::Answering { keep_alive: false };
                let response = Response::new(status, "");
                self.answer(&response, now)
            }
        }
    }

    /// Closes the connection after the response to the outstanding request.
    pub(crate) fn close_after_answer(&mut self) {
        if let Phase::Answering { keep_alive } = &mut self.phase {
            *keep_alive = false;
        }
    }

    /// Sends the response to the outstanding request.
    pub(crate) fn answer(&mut self, response: &Response, now: Duration) -> Step {
        let Phase::Answering { keep_alive } = self.phase else { return Step::Wait };
        self.stream.push(&parse::write_response(response, keep_alive));
        self.phase = Phase::Writing { keep_alive };
        self.transfer = Transfer::new(now + self.limits.request_timeout);
        self.writable(now)
    }

    /// Continues after the socket has become writable.
    pub(crate) fn writable(&mut self, now: Duration) -> Step {
        let Phase::Writing { keep_alive } = self.phase else { return Step::Wait };
        let before = self.stream.unwritten();
        match self.stream.flush() {
            Err(_) => Step::Close,
            Ok(false) => {
                self.deadline = Some(self.transfer.extend(before - self.stream.unwritten()));
                Step::Wait
            }
            Ok(true) if keep_alive => {
                self.phase = Phase::Reading;
                let has_more = !self.stream.input.is_empty();
                let time =
                    if has_more { self.limits.request_timeout } else { self.limits.idle_timeout };
                self.deadline = Some(now + time);
                self.parse(now)
            }
            Ok(true) => Step::Close,
        }
    }
}
