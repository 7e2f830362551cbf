//! Tests of an entry, told event by event.

mod entry;
