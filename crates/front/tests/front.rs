//! Tests of an entry's state machine, driven event by event.

mod configuration;
mod entry;
mod harness;
mod memory;
mod withdrawals;
