//! Entries with which an agent exchanges messages.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{Peer, id, peer};

/// Entries that are not in the settings are removed after this many silence timeouts without a
/// message.
const FORGET_AFTER_TIMEOUTS: u32 = 20;

/// An entry.
#[derive(Clone, Debug)]
pub struct Contact {
    /// Name and address; the generation is 0 until the first message arrives.
    pub peer: Peer,
    /// Region of the entry; empty until the first message arrives.
    pub region: String,
    /// Time of the last message from it, or of the first mention by another process.
    pub last_contact: Duration,
    /// Whether the next message to it must be an announcement: it asked for one or has not received
    /// one yet.
    pub needs_announcement: bool,
}

/// All known entries by address.
#[derive(Debug)]
pub struct Contacts {
    seeds: Vec<id::Address>,
    known: BTreeMap<id::Address, Contact>,
}

impl Contacts {
    /// Creates the list from the entries named in the settings.
    pub fn new(now: Duration, seeds: &[id::Address]) -> Self {
        let mut contacts = Contacts { seeds: seeds.to_vec(), known: BTreeMap::new() };
        for address in seeds {
            contacts.add(now, &peer::new("", address, 0));
        }
        contacts
    }

    /// Adds an entry that another process named, unless it is already known.
    pub fn add(&mut self, now: Duration, peer: &Peer) {
        let region = String::new();
        let contact =
            Contact { peer: peer.clone(), region, last_contact: now, needs_announcement: true };
        self.known.entry(peer.address.clone()).or_insert(contact);
    }

    /// Records a message from an entry. An entry with a new generation does not know this agent yet
    /// and needs an announcement.
    pub fn record_message(&mut self, now: Duration, peer: &Peer, region: &str) {
        self.add(now, peer);
        if let Some(contact) = self.known.get_mut(&peer.address) {
            contact.last_contact = now;
            contact.region = region.to_owned();
            contact.needs_announcement |= !peer::is_same_process(&contact.peer, peer);
            contact.peer = peer.clone();
        }
    }

    /// Records that an entry asked for an announcement.
    pub fn request_announcement(&mut self, address: &str) {
        if let Some(contact) = self.known.get_mut(address) {
            contact.needs_announcement = true;
        }
    }

    /// All entries, for sending to them. The caller resets `needs_announcement` when it announces.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Contact> {
        self.known.values_mut()
    }

    /// Removes entries that have been silent for a long time, unless the settings name them.
    pub fn forget_silent(&mut self, now: Duration, silence_timeout: Duration) {
        let seeds = &self.seeds;
        self.known.retain(|address, contact| {
            seeds.contains(address)
                || now.saturating_sub(contact.last_contact)
                    <= silence_timeout * FORGET_AFTER_TIMEOUTS
        });
    }
}
