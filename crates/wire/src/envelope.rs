//! Encoding and decoding of frames.

use std::fmt;

use bytes::Bytes;
use prost::Message as _;
use sapphire_schema::wire::{Frame, Peer, frame};

/// Largest size of a frame that is accepted, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Reason why bytes can't be decoded as a frame.
#[derive(Debug, PartialEq)]
pub enum Error {
    /// The frame is larger than [`MAX_BYTES`]; its size in bytes.
    TooLarge(usize),
    /// The bytes are not an encoded frame; the decoder's message.
    Malformed(String),
    /// The frame has no sender or no body.
    Incomplete,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLarge(bytes) => write!(f, "frame of {bytes} bytes exceeds {MAX_BYTES} bytes"),
            Error::Malformed(detail) => write!(f, "frame is malformed: {detail}"),
            Error::Incomplete => write!(f, "frame has no sender or no body"),
        }
    }
}

impl std::error::Error for Error {}

/// Frame that has a sender and a body.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Sender.
    pub from: Peer,
    /// Generation of the receiver, as far as the sender knows it; 0 if unknown.
    pub to_generation: u64,
    /// Message.
    pub body: frame::Body,
}

impl Envelope {
    /// Encodes the envelope as a frame.
    pub fn encode(self) -> Vec<u8> {
        let frame = Frame {
            from: Some(self.from),
            to_generation: self.to_generation,
            body: Some(self.body),
        };
        frame.encode_to_vec()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// If the frame is too large, malformed, or has no sender or no body.
    pub fn decode(bytes: Bytes) -> Result<Self, Error> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let frame = Frame::decode(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
        match (frame.from, frame.body) {
            (Some(from), Some(body)) => {
                Ok(Envelope { from, to_generation: frame.to_generation, body })
            }
            _ => Err(Error::Incomplete),
        }
    }
}
