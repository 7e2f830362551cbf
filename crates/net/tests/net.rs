//! Tests of the event loop over loopback.

mod fuzz;
mod hub;
