//! Tests of the event loop over the loopback interface.

mod fuzz;
mod hub;
