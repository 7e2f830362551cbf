//! Messages and settings, generated from the schema in `proto/`.
//!
//! The generated code is committed. `tests/schema/fresh.rs` regenerates and compares it;
//! run that test with `SAPPHIRE_WRITE_SCHEMA=1` to write it anew.

/// Messages between processes, and what the store holds.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/wire.rs"]
pub mod wire;

/// Settings of the daemon's two roles.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

/// Jobs of steps and tasks: their records in the store, and messages about them.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jobs.rs"]
pub mod jobs;
