//! Small stand-ins of the platform, for development and tests only; never shipped.
//!
//! [`store`], [`worker`] and [`minion`] each serve HTTP/1.1 on an address of their own.
//! [`jobs_platform`] translates between the HTTP messages of the jobs platform and the simulated
//! store and minions of the crate `sapphire-proofs`.

pub mod jobs_platform;
pub mod minion;
pub mod serve;
pub mod store;
pub mod worker;
