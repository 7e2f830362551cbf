//! An entry process, as a pure state machine.
//!
//! An entry takes callers' and operators' calls, routes requests to minions, and may plan the
//! jobs of its region's cell. All input, the time included, comes in as [`event::Event`]s; all
//! output leaves as [`effect::Effect`]s. There is no I/O here.

pub mod admission;
pub mod answer;
pub mod api;
pub mod attempt;
pub mod backoff;
pub mod bindings;
pub mod candidates;
pub mod effect;
pub mod event;
pub mod job_calls;
pub mod job_table;
pub mod machine;
pub mod options;
pub mod overview;
pub mod peers;
pub mod planner;
pub mod registry;
pub mod requests;
pub mod rulebook;
pub mod view;
