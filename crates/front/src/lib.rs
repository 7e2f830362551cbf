//! Front of an entry: serves callers, keeps a view of the jobs and of the configuration, and takes
//! part in the election of the leader, the entry that plans. Does no I/O and reads no clock.
//!
//! [`machine::Machine`] takes events and returns effects; each private module adds the methods for
//! one of its responsibilities.

pub mod answer;
mod callers;
pub mod effect;
pub mod event;
mod freshness;
mod leader;
pub mod machine;
pub mod options;
pub mod reach;
mod reads;
mod state;
pub mod view;
mod writes;
