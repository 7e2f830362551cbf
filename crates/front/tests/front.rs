//! Tests of an entry, told event by event.

mod configuration;
mod entry;
mod harness;
