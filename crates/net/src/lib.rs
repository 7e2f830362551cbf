//! HTTP/1.1 server and client on one event loop, without a thread a connection.
//!
//! [`hub::Hub`] owns all sockets of a process. Every call has a time-out, after which only an
//! answer that keeps arriving is waited for, and every connection a bound, so that a peer that
//! goes silent costs one connection and never the process.

pub mod call;
pub mod clock;
pub mod hub;
pub mod message;
mod outbound;
mod parse;
mod server;
mod stream;
mod transfer;
