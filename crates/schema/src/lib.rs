//! Messages, stored records and settings, generated from the Protocol Buffers schema in `proto/`.
//!
//! The generated code is committed. `tests/schema.rs` generates it again and fails if it differs;
//! with `SAPPHIRE_WRITE_SCHEMA=1` in the environment, that test writes the generated code.

/// Messages between entries and agents, and the records of the rules and of a cell in the store.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/wire.rs"]
pub mod wire;

/// Settings of the two roles of `sapphired`: entry and agent.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

/// Jobs that consist of steps and tasks: their records in the store, and messages about them.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jobs.rs"]
pub mod jobs;
