//! Identity of a process as a communication peer.

use sapphire_schema::wire::Peer;

use crate::id;

/// Creates a peer from its parts.
pub fn new(name: &str, address: &str, generation: id::Generation) -> Peer {
    Peer { name: name.to_owned(), address: address.to_owned(), generation }
}

/// Whether both peers are the same process, without a restart in between.
pub fn is_same_process(left: &Peer, right: &Peer) -> bool {
    left.name == right.name && left.generation == right.generation
}
