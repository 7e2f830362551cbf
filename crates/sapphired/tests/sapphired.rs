//! Tests with real processes, which are killed, paused and drained. They wait for the expected
//! state and never for a fixed time.

mod fleet;
mod platform;
mod processes;
