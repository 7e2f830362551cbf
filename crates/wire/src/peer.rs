//! Identity of a process.

use sapphire_schema::wire::Peer;

use crate::id;

/// Builds a peer from its parts.
pub fn new(name: &str, address: &str, generation: id::Generation) -> Peer {
    Peer { name: name.to_owned(), address: address.to_owned(), generation }
}

/// Whether both are the same life of the same process.
pub fn is_same_life(left: &Peer, right: &Peer) -> bool {
    left.name == right.name && left.generation == right.generation
}
