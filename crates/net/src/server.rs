//! Connections that callers have opened to this process.

use std::{net::Shutdown, time::Duration};

use crate::{
    message::{CONNECTION_BYTES, Limits, Request, Response},
    parse,
    reader::{Progress, Reader},
    stream::{Fill, Stream},
    transfer::Transfer,
};

/// Bytes behind a request that are read before it is answered. Enough to notice that a caller has
/// closed its connection; the rest stays with the system, which stops the caller.
const MAX_BEHIND: usize = 16 << 10;
/// Tells a caller that waits for it to send the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Most reads from one connection in one turn, so that a caller that sends fast doesn't keep the
/// others waiting.
const MAX_READS: usize = 64;

/// Time within which a caller whose request was refused has to close the connection.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a request or for the rest of one.
    Reading,
    /// A request has been passed on and has no response yet.
    Answering { keep_alive: bool },
    /// The response is being written.
    Writing { keep_alive: bool },
    /// A refusal has been written, and what the caller still sends is discarded.
    Draining,
}

/// Result of an event on a connection.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing to do before the next event.
    Wait,
    /// More can be read at once, after the other connections have had their turn.
    Again,
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
    pub(crate) limits: Limits,
    /// Time at which the present phase times out; none while a request is being served.
    pub(crate) deadline: Option<Duration>,
    /// Progress of the response that is being written.
    transfer: Transfer,
    reader: Reader<Request>,
    /// Whether the socket may have bytes that no event announces again.
    is_readable: bool,
    has_ended: bool,
    /// Whether the response to the present request must have no body.
    omits_body: bool,
    /// Memory in bytes that the request takes that has been passed on.
    passed_on: usize,
    /// What the listener has accounted for, of the value of `excess`.
    pub(crate) accounted: usize,
    /// Whether the present response refuses a request that may still be arriving.
    is_refusal: bool,
    /// Bytes that were discarded.
    drained: usize,
    /// Status code of a refusal that has not been counted.
    pub(crate) refused: Option<u16>,
}

impl Connection {
    pub(crate) fn new(stream: Stream, listener: usize, limits: Limits, now: Duration) -> Self {
        let deadline = Some(now + limits.idle_timeout);
        let phase = Phase::Reading;
        let bounds = parse::Bounds { head: limits.head_bytes, body: limits.body_bytes };
        Connection {
            stream,
            listener,
            phase,
            limits,
            deadline,
            transfer: Transfer::new(now),
            reader: Reader::requests(bounds),
            is_readable: false,
            has_ended: false,
            omits_body: false,
            passed_on: 0,
            accounted: 0,
            is_refusal: false,
            drained: 0,
            refused: None,
        }
    }

    /// Changes the size in bytes of the largest body, from the next request on.
    pub(crate) fn set_body_limit(&mut self, body_bytes: usize) {
        self.limits.body_bytes = body_bytes;
        self.reader.set_body_limit(body_bytes);
    }

    /// Continues after the socket has become readable; `is_closed` if the caller has closed its
    /// sending side.
    pub(crate) fn readable(&mut self, is_closed: bool, now: Duration) -> Step {
        self.is_readable = true;
        let step = self.advance(now);
        // The end can't be read while bytes before it are left with the system.
        let is_left = matches!(step, Step::Wait) && self.is_readable;
        if is_closed && is_left { self.closed_by_caller() } else { step }
    }

    fn closed_by_caller(&self) -> Step {
        if matches!(self.phase, Phase::Answering { .. }) { Step::Disconnected } else { Step::Close }
    }

    /// Reads until a request is complete or nothing more is available.
    fn advance(&mut self, now: Duration) -> Step {
        for _ in 0..MAX_READS {
            match self.phase {
                Phase::Reading => {
                    if !self.stream.input.is_empty() {
                        match self.read_request(now) {
                            Step::Wait => {}
                            step => return step,
                        }
                    }
                    if self.has_ended {
                        return Step::Close;
                    }
                }
                Phase::Draining => {
                    self.drained += self.stream.input.len();
                    self.stream.input.clear();
                    if self.drained > self.limits.head_bytes + self.limits.body_bytes {
                        return Step::Close;
                    }
                }
                _ if self.stream.input.len() >= MAX_BEHIND => return Step::Wait,
                _ => {}
            }
            if !self.is_readable {
                return Step::Wait;
            }
            let is_between = self.stream.input.is_empty() && !self.reader.has_begun();
            match self.stream.fill() {
                Fill::Bytes(_) if is_between && self.phase == Phase::Reading => {
                    self.deadline = Some(now + self.limits.request_timeout);
                }
                Fill::Bytes(_) => {}
                Fill::Blocked => self.is_readable = false,
                Fill::Failed => return self.closed_by_caller(),
                Fill::Ended => {
                    self.is_readable = false;
                    self.has_ended = true;
                    if self.phase != Phase::Reading {
                        return self.closed_by_caller();
                    }
                }
            }
        }
        Step::Again
    }

    /// Reads on from the input.
    fn read_request(&mut self, now: Duration) -> Step {
        match self.reader.read(&mut self.stream.input, self.has_ended) {
            Progress::Incomplete => {
                if self.reader.take_awaits_continue() {
                    self.stream.output().extend_from_slice(CONTINUE);
                    // What could not be written is written with the response.
                    if self.stream.flush().is_err() {
                        return Step::Close;
                    }
                }
                Step::Wait
            }
            Progress::Complete { message, keep_alive } => {
                if self.stream.input.is_empty() && self.is_readable {
                    // Shows whether anything follows; no event does if it has arrived already.
                    match self.stream.fill() {
                        Fill::Bytes(_) => {}
                        Fill::Blocked => self.is_readable = false,
                        Fill::Failed => return Step::Close,
                        Fill::Ended => {
                            self.is_readable = false;
                            self.has_ended = true;
                        }
                    }
                }
                self.stream.shrink();
                self.phase = Phase::Answering { keep_alive: keep_alive && !self.has_ended };
                self.omits_body = message.method == "HEAD";
                self.passed_on = message.memory();
                self.deadline = None;
                Step::Request(message)
            }
            Progress::Malformed(status) => self.refuse(status, now),
        }
    }

    /// Refuses the present request, which has not been passed on.
    pub(crate) fn refuse(&mut self, status: u16, now: Duration) -> Step {
        self.refused = Some(status);
        self.is_refusal = true;
        self.reader.reset();
        self.stream.input = Vec::new();
        self.phase = Phase::Answering { keep_alive: false };
        let response = (self.limits.refusal)(status);
        self.answer(&response, now)
    }

    /// Memory in bytes that the connection takes beyond [`CONNECTION_BYTES`].
    pub(crate) fn excess(&self) -> usize {
        let memory = self.stream.memory() + self.reader.memory() + self.passed_on;
        memory.saturating_sub(CONNECTION_BYTES)
    }

    /// Whether a request or a response is being transferred.
    pub(crate) fn is_transferring(&self) -> bool {
        match self.phase {
            Phase::Reading => self.reader.has_begun() || !self.stream.input.is_empty(),
            Phase::Answering { .. } => false,
            Phase::Writing { .. } => true,
            Phase::Draining => false,
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
        self.passed_on = 0;
        parse::write_response(self.stream.output(), response, keep_alive, self.omits_body);
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
                // A request that has arrived already waits until the other connections have had
                // their turn.
                if has_more || self.is_readable { Step::Again } else { Step::Wait }
            }
            Ok(true) if self.is_refusal && !self.has_ended => self.drain(now),
            Ok(true) => Step::Close,
        }
    }

    /// Closes the sending side and discards what still arrives.
    ///
    /// Guards against a refusal that its caller never sees: a connection that is closed with unread
    /// bytes is reset, and the reset overtakes the response.
    fn drain(&mut self, now: Duration) -> Step {
        if self.stream.socket.shutdown(Shutdown::Write).is_err() {
            return Step::Close;
        }
        self.phase = Phase::Draining;
        self.deadline = Some(now + DRAIN_TIMEOUT);
        self.advance(now)
    }
}
