//! Connections that callers have opened.

use std::time::Duration;

use crate::{
    message::{Limits, Request, Response},
    parse::{self, Parsed},
    stream::{Fill, Stream},
    transfer::Transfer,
};

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a request, or for the rest of one.
    Reading,
    /// A request has been handed out and is not answered yet.
    Answering { keeps: bool },
    /// The answer is being written.
    Writing { keeps: bool },
}

/// What a connection has come to.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing to do until the next event.
    Wait,
    /// A whole request.
    Request(Request),
    /// The caller left while its request was being served.
    Left,
    /// To be closed.
    Close,
}

/// One connection.
pub(crate) struct Connection {
    pub(crate) stream: Stream,
    pub(crate) listener: usize,
    pub(crate) phase: Phase,
    limits: Limits,
    /// When the present phase runs out; none while a request is being served.
    pub(crate) deadline: Option<Duration>,
    /// The answer that is being written.
    answer: Transfer,
    /// Bytes that the present request has at least.
    least: usize,
    chunks: parse::Chunks,
    has_ended: bool,
}

impl Connection {
    pub(crate) fn new(stream: Stream, listener: usize, limits: Limits, now: Duration) -> Self {
        let deadline = Some(now + limits.idle_time);
        let phase = Phase::Reading;
        Connection {
            stream,
            listener,
            phase,
            limits,
            deadline,
            answer: Transfer::new(now),
            least: 0,
            chunks: parse::Chunks::default(),
            has_ended: false,
        }
    }

    /// Reads what has come.
    pub(crate) fn readable(&mut self, now: Duration) -> Step {
        let was_empty = self.stream.input.is_empty();
        let most = self.limits.head_bytes + self.limits.body_bytes;
        match self.stream.fill(most) {
            Fill::Failed => return self.lost(),
            Fill::Ended => self.has_ended = true,
            Fill::Open => {}
        }
        if self.phase != Phase::Reading {
            return if self.has_ended { self.lost() } else { Step::Wait };
        }
        if was_empty && !self.stream.input.is_empty() {
            self.deadline = Some(now + self.limits.request_time);
        }
        self.parse(now)
    }

    fn lost(&self) -> Step {
        if matches!(self.phase, Phase::Answering { .. }) { Step::Left } else { Step::Close }
    }

    fn parse(&mut self, now: Duration) -> Step {
        if self.stream.input.len() < self.least || self.stream.input.is_empty() {
            return if self.has_ended { Step::Close } else { Step::Wait };
        }
        let bounds = parse::Bounds { head: self.limits.head_bytes, body: self.limits.body_bytes };
        match parse::request(&self.stream.input, bounds, &mut self.chunks) {
            Parsed::Partial(least) => {
                self.least = least;
                if self.has_ended { Step::Close } else { Step::Wait }
            }
            Parsed::Whole { message, used, keeps } => {
                self.stream.consume(used);
                self.least = 0;
                self.chunks = parse::Chunks::default();
                self.phase = Phase::Answering { keeps: keeps && !self.has_ended };
                self.deadline = None;
                Step::Request(message)
            }
            Parsed::Bad(status) => {
                self.stream.input.clear();
                self.chunks = parse::Chunks::default();
                self.phase = Phase::Answering { keeps: false };
                let response = Response::new(status, "");
                self.answer(&response, now)
            }
        }
    }

    /// Ends the connection with the answer to the request at hand.
    pub(crate) fn close_after_answer(&mut self) {
        if let Phase::Answering { keeps } = &mut self.phase {
            *keeps = false;
        }
    }

    /// Sends the answer to the request at hand.
    pub(crate) fn answer(&mut self, response: &Response, now: Duration) -> Step {
        let Phase::Answering { keeps } = self.phase else { return Step::Wait };
        self.stream.push(&parse::write_response(response, keeps));
        self.phase = Phase::Writing { keeps };
        self.answer = Transfer::new(now + self.limits.request_time);
        self.writable(now)
    }

    /// Goes on writing.
    pub(crate) fn writable(&mut self, now: Duration) -> Step {
        let Phase::Writing { keeps } = self.phase else { return Step::Wait };
        let before = self.stream.unwritten();
        match self.stream.flush() {
            Err(_) => Step::Close,
            Ok(false) => {
                self.deadline = Some(self.answer.pass(before - self.stream.unwritten()));
                Step::Wait
            }
            Ok(true) if keeps => {
                self.phase = Phase::Reading;
                let has_more = !self.stream.input.is_empty();
                let time = if has_more { self.limits.request_time } else { self.limits.idle_time };
                self.deadline = Some(now + time);
                self.parse(now)
            }
            Ok(true) => Step::Close,
        }
    }
}
