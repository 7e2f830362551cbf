//! Tests of the event loop over loopback.

mod hub;
