//! Tests of the planner, told event by event.

mod harness;
mod intake;
mod progress;
mod reserve;
mod supply;
mod terms;
mod urgent;
