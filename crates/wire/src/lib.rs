//! Codec and small helpers for the messages between processes.

pub mod envelope;
pub mod epoch;
pub mod id;
pub mod peer;
pub mod resource;

pub use sapphire_schema::wire::*;
