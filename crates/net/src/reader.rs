//! Reader of the messages that arrive on one connection.

use bytes::Bytes;

use crate::{
    body::Body,
    message::{Request, Response},
    parse::{self, Bounds, Head},
};

/// Result of reading on.
#[derive(Debug)]
pub(crate) enum Progress<T> {
    /// The message is incomplete.
    Incomplete,
    /// The message is complete.
    Complete {
        /// The message.
        message: T,
        /// Whether the connection can be used for another message.
        keep_alive: bool,
    },
    /// The bytes are not an acceptable message; the status code that fits the fault.
    Malformed(u16),
}

/// Message whose head is complete.
struct Begun<T> {
    message: T,
    keep_alive: bool,
    /// Length of its head in bytes.
    head: usize,
    body: Body,
    /// Whether the peer waits for a response with status 100 before it sends the body.
    awaits_continue: bool,
}

/// Parses a head at the start of the input, if it is complete.
type ParseHead<T> = fn(&[u8], Bounds) -> Result<Option<Head<T>>, u16>;

/// Reads one message after the other.
pub(crate) struct Reader<T> {
    bounds: Bounds,
    parse_head: ParseHead<T>,
    add_body: fn(&mut T, Bytes),
    begun: Option<Begun<T>>,
}

impl Reader<Request> {
    /// Creates a reader of requests.
    pub(crate) fn requests(bounds: Bounds) -> Self {
        let add_body = |request: &mut Request, body| request.body = body;
        Reader { bounds, parse_head: parse::request_head, add_body, begun: None }
    }
}

impl Reader<Response> {
    /// Creates a reader of responses.
    pub(crate) fn responses(bounds: Bounds) -> Self {
        let add_body = |response: &mut Response, body| response.body = body;
        Reader { bounds, parse_head: parse::response_head, add_body, begun: None }
    }
}

impl<T> Reader<T> {
    /// Reads on from the input and removes what has been read. `has_ended` tells whether the peer
    /// has closed its side.
    pub(crate) fn read(&mut self, input: &mut Vec<u8>, has_ended: bool) -> Progress<T> {
        match self.read_message(input, has_ended) {
            Ok(None) => Progress::Incomplete,
            Ok(Some(Begun { mut message, keep_alive, body, .. })) => {
                (self.add_body)(&mut message, body.finish());
                Progress::Complete { message, keep_alive }
            }
            Err(status) => {
                self.begun = None;
                Progress::Malformed(status)
            }
        }
    }

    fn read_message(
        &mut self,
        input: &mut Vec<u8>,
        has_ended: bool,
    ) -> Result<Option<Begun<T>>, u16> {
        let mut begun = match self.begun.take() {
            Some(begun) => begun,
            None => {
                let Some(head) = (self.parse_head)(input, self.bounds)? else { return Ok(None) };
                let body = Body::new(head.framing, self.bounds)?;
                input.drain(..head.length);
                Begun {
                    message: head.message,
                    keep_alive: head.keep_alive,
                    head: head.length,
                    body,
                    awaits_continue: head.awaits_continue,
                }
            }
        };
        if begun.body.read(input, has_ended)? {
            return Ok(Some(begun));
        }
        begun.awaits_continue &= begun.body.memory() == 0;
        self.begun = Some(begun);
        Ok(None)
    }

    /// Whether a head has been read whose body is incomplete.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether the peer waits for permission to send the body; true at most once for each message.
    pub(crate) fn take_awaits_continue(&mut self) -> bool {
        self.begun.as_mut().is_some_and(|begun| std::mem::take(&mut begun.awaits_continue))
    }

    /// Changes the size in bytes of the largest body, from the next message on.
    pub(crate) fn set_body_limit(&mut self, body_bytes: usize) {
        self.bounds.body = body_bytes;
    }

    /// Drops an incomplete message.
    pub(crate) fn reset(&mut self) {
        self.begun = None;
    }

    /// Memory in bytes that an incomplete message takes.
    pub(crate) fn memory(&self) -> usize {
        self.begun.as_ref().map_or(0, |begun| begun.head + begun.body.memory())
    }
}
