//! Tests of the planner, told event by event.

mod harness;
mod progress;
mod terms;
mod urgent;
