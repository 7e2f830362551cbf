//! Inputs of the entry's state machine.

use sapphire_store::call;
use sapphire_wire::envelope;

use crate::api;

/// Identifier of a caller's call, assigned by the HTTP server.
pub type Caller = u64;
/// Identifier of a call to the store, assigned by the state machine.
pub type Operation = u64;

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Frame(Box<envelope::Envelope>),
    /// Time has passed; must be given at least once per heartbeat interval.
    Tick,
    /// The store replied, or the call to it failed.
    Store(Operation, call::Reply),
    /// A caller sent an HTTP request.
    Http(Caller, api::Request),
    /// A caller has disconnected; its answer is no longer needed.
    CallerLeft(Caller),
    /// The operator or the platform requests a graceful shutdown.
    Drain,
}
