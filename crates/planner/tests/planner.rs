//! Tests of the planner, told event by event.

mod terms;
