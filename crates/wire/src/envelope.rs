//! Frames as bytes.

use std::fmt;

use bytes::Bytes;
use prost::Message as _;
use sapphire_schema::wire::{Frame, Peer, frame};

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Why bytes are not a frame.
#[derive(Debug, PartialEq)]
pub enum Error {
    /// More than [`MAX_BYTES`].
    TooLarge(usize),
    /// Not an encoding of a frame.
    Malformed(String),
    /// A frame without a sender or a body.
    Incomplete,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLarge(bytes) => write!(f, "frame of {bytes} bytes is above {MAX_BYTES}"),
            Error::Malformed(detail) => write!(f, "frame is malformed: {detail}"),
            Error::Incomplete => write!(f, "frame has no sender or no body"),
        }
    }
}

impl std::error::Error for Error {}

/// A received frame, known to be complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Sender.
    pub from: Peer,
    /// Generation that the sender believes the receiver has; 0 when it does not know.
    pub to_generation: u64,
    /// Message.
    pub body: frame::Body,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn encode(self) -> Vec<u8> {
        let frame = Frame {
            from: Some(self.from),
            to_generation: self.to_generation,
            body: Some(self.body),
        };
        frame.encode_to_vec()
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    /// When the bytes are too many, are not a frame, or lack the sender or the body.
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
