//! Small stand-ins of the platform, for development and tests only; never shipped.
//!
//! Each serves HTTP/1.1 on one address: the key-value service, a worker and a minion.

pub mod jobs_platform;
pub mod minion;
pub mod serve;
pub mod store;
pub mod worker;
