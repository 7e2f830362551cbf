//! Body of a message, in each framing.

use bytes::Bytes;

use crate::parse::Bounds;

/// Largest number of headers behind the last chunk.
const MAX_TRAILERS: usize = 64;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk of the chunked transfer encoding.
    Chunked,
    /// By the end of the connection; only for a response.
    UntilClose,
}

/// Part of the body that comes next.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// The rest of a body with a known length.
    Rest(usize),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The rest of a chunk.
    Chunk(usize),
    /// The line break behind a chunk.
    ChunkEnd,
    /// The headers behind the last chunk.
    Trailer,
    /// Everything up to the end of the connection.
    UntilClose,
}

/// Body that is being received. Takes its bytes out of the input as they arrive, so that the input
/// never holds more than one line.
#[derive(Debug)]
pub(crate) struct Body {
    bytes: Vec<u8>,
    part: Part,
    bounds: Bounds,
}

impl Body {
    /// Starts to receive a body.
    ///
    /// # Errors
    /// The status code that fits, if the announced length exceeds the limit.
    pub(crate) fn new(framing: Framing, bounds: Bounds) -> Result<Self, u16> {
        let part = match framing {
            Framing::Length(length) if length > bounds.body => return Err(413),
            Framing::Length(length) => Part::Rest(length),
            Framing::Chunked => Part::ChunkSize,
            Framing::UntilClose => Part::UntilClose,
        };
        Ok(Body { bytes: Vec::new(), part, bounds })
    }

    /// Moves the available bytes of the body out of the input; returns whether the body is complete.
    /// `has_ended` tells whether the peer has closed its side.
    ///
    /// # Errors
    /// The status code that fits, if the body is malformed or exceeds the limit.
    pub(crate) fn read(&mut self, input: &mut Vec<u8>, has_ended: bool) -> Result<bool, u16> {
        let mut used = 0;
        let outcome = self.read_parts(input, &mut used, has_ended);
        input.drain(..used);
        outcome
    }

    fn read_parts(&mut self, input: &[u8], used: &mut usize, has_ended: bool) -> Result<bool, u16> {
        loop {
            let rest = &input[*used..];
            match self.part {
                Part::Rest(left) => {
                    let taken = self.take(rest, left);
                    *used += taken;
                    self.part = Part::Rest(left - taken);
                    return Ok(left == taken);
                }
                Part::UntilClose => {
                    if rest.len() > self.bounds.body - self.bytes.len() {
                        return Err(413);
                    }
                    *used += self.take(rest, usize::MAX);
                    return Ok(has_ended);
                }
                Part::ChunkSize => {
                    let (length, size) = match httparse::parse_chunk_size(rest) {
                        Ok(httparse::Status::Complete(line)) => line,
                        Ok(httparse::Status::Partial) if rest.len() <= self.bounds.head => {
                            return Ok(false);
                        }
                        _ => return Err(400),
                    };
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > self.bounds.body - self.bytes.len() {
                        return Err(413);
                    }
                    *used += length;
                    self.part = if size == 0 { Part::Trailer } else { Part::Chunk(size) };
                }
                Part::Chunk(left) => {
                    let taken = self.take(rest, left);
                    *used += taken;
                    if taken < left {
                        self.part = Part::Chunk(left - taken);
                        return Ok(false);
                    }
                    self.part = Part::ChunkEnd;
                }
                Part::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        *used += 2;
                        self.part = Part::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(400),
                },
                Part::Trailer => {
                    let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
                    return match httparse::parse_headers(rest, &mut headers) {
                        Ok(httparse::Status::Complete((length, _))) => {
                            *used += length;
                            Ok(true)
                        }
                        Ok(httparse::Status::Partial) if rest.len() <= self.bounds.head => {
                            Ok(false)
                        }
                        _ => Err(400),
                    };
                }
            }
        }
    }

    /// Appends up to `most` bytes; returns how many.
    ///
    /// The capacity at most doubles and never exceeds what may still come, so that a body takes as
    /// much memory as has arrived, whatever length was announced.
    fn take(&mut self, rest: &[u8], most: usize) -> usize {
        let taken = &rest[..rest.len().min(most)];
        let expected = most.min(self.bounds.body - self.bytes.len());
        if self.bytes.capacity() - self.bytes.len() < taken.len() {
            self.bytes.reserve_exact(self.bytes.len().max(taken.len()).min(expected));
        }
        self.bytes.extend_from_slice(taken);
        taken.len()
    }

    /// Memory in bytes that the received part takes.
    pub(crate) fn memory(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the complete body.
    pub(crate) fn finish(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}
