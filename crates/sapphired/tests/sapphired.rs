//! Real processes: killed, frozen, drained. Verdicts wait for what must come, and never for a
//! time to pass.

mod fleet;
mod platform;
mod processes;
