//! HTTP/1.1 server and client on one event loop, without a thread per connection.
//!
//! [`hub::Hub`] owns all sockets of a process. Every call has a timeout, after which the hub waits
//! only for a response that keeps arriving, and every connection has limits, so that a peer that
//! stops responding costs one connection and never blocks the process.

mod body;
pub mod call;
pub mod clock;
pub mod hub;
pub mod message;
mod outbound;
mod parse;
mod reader;
mod server;
mod stream;
mod transfer;
pub mod turned_away;
