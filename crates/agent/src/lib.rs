//! Agent that runs beside each worker and minion, as a pure state machine.
//!
//! The agent is the only authority over its worker's accelerators and its minion's slots. All
//! input, including the current time, arrives as [`event::Event`]s; all output leaves as
//! [`effect::Effect`]s. The crate performs no I/O.

pub mod contact;
pub mod effect;
pub mod event;
pub mod gang;
pub mod ledger;
pub mod machine;
pub mod member;
pub mod options;
pub mod planner;
pub mod slots;
