//! The state machines of entries and agents together in virtual time, over a fake network, a
//! fake store and fake workers, with seeded faults. Development only; never shipped.
//!
//! [`world`] runs the machines, [`check`] holds what must always be true, [`chaos`] makes
//! seeded runs of load and faults.

pub mod chaos;
pub mod check;
pub mod jobs;
pub mod store;
pub mod worker;
pub mod world;
