//! Client of the platform's key-value service.
//!
//! [`writer`] and [`lease`] are state machines without input and output of their own; [`http`]
//! implements the protocol of one such service.

pub mod call;
pub mod http;
pub mod lease;
pub mod writer;
