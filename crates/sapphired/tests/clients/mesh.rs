//! The message socket of the product's own entry, at which other processes reach it.

use crate::{
    crowd::{HOLDERS, SENDERS, Script},
    http,
};

/// Greeting of a peer that sends messages.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
/// Size of the largest message, in bytes.
const MESSAGE: u64 = 16 << 20;
/// Bytes that one client sends of a message.
const PART: usize = 4 << 20;

fn script(name: &'static str, length: u64, sent: usize) -> Script {
    let opening = [&GREETING[..], &length.to_be_bytes()].concat();
    Script::from_bytes(name, &opening, b"x", sent)
}

/// Guards against memory that is taken for messages that are never completed.
#[test]
fn unfinished_messages() {
    let (mut entry, address) = http::start_entry();
    let scripts = [
        script("above the limit", 1 << 40, PART),
        script("within the limit", MESSAGE, PART),
        Script::from_bytes("no greeting", b"", b"x", PART),
    ];
    entry.withstand_at(address, SENDERS, &scripts);
}

/// Guards against a process that runs out of descriptors for connections that send no message.
#[test]
fn silent_peers() {
    let (mut entry, address) = http::start_entry();
    let scripts = [
        Script::from_bytes("greeting only", &GREETING, b"", 0),
        Script::from_bytes("nothing", b"", b"", 0),
    ];
    entry.withstand_at(address, HOLDERS, &scripts);
}
