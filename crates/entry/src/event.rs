//! What happens to an entry.

use sapphire_store::call;
use sapphire_wire::envelope;

use crate::api;

/// Identifier of a caller's call, given by the HTTP edge.
pub type Caller = u64;
/// Identifier of a call to the store, given by the machine.
pub type Operation = u64;

/// One input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Frame(Box<envelope::Envelope>),
    /// Time has passed; to be given at least once per heartbeat interval.
    Tick,
    /// The store answered, or failed to.
    Store(Operation, call::Reply),
    /// A caller asks for something.
    Http(Caller, api::Request),
    /// A caller has left; its answer is not wanted any more.
    CallerLeft(Caller),
    /// The operator or platform asks for a graceful shutdown.
    Drain,
}
