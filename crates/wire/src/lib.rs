//! Messages between processes: encoding, decoding and helpers for their parts.

pub mod envelope;
pub mod epoch;
pub mod id;
pub mod peer;
pub mod resource;

pub use sapphire_schema::wire::*;
