//! Entry process, as a pure state machine.
//!
//! An entry accepts calls of callers and operators, routes requests to minions, and may plan the
//! jobs of its region's cell. A cell consists of the workers of one region and the jobs that run on
//! them. All input, including the current time, arrives as [`event::Event`]s; all output leaves as
//! [`effect::Effect`]s. The crate performs no I/O.

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
