//! Client of the platform's key-value service.
//!
//! [`writer`] and [`lease`] are pure state machines; [`http`] is the one module that knows the
//! service's protocol.

pub mod call;
pub mod http;
pub mod lease;
pub mod writer;
