//! The agent beside each worker and minion, as a pure state machine.
//!
//! The agent is the one authority on its worker's accelerators and its minion's slots. All
//! input, the time included, comes in as [`event::Event`]s; all output leaves as
//! [`effect::Effect`]s. There is no I/O here.

pub mod contact;
pub mod effect;
pub mod event;
pub mod following;
pub mod gang;
pub mod ledger;
pub mod machine;
pub mod member;
pub mod options;

pub mod slots;
