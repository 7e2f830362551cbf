//! Tests of the planner, told event by event.

mod harness;
mod progress;
mod supply;
mod terms;
mod urgent;
