//! Entries that an agent speaks to.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{Peer, id, peer};

/// Silence, in time-outs, after which an entry that is not in the settings is forgotten.
const FORGET_AFTER: u32 = 20;

/// One entry.
#[derive(Clone, Debug)]
pub struct Contact {
    /// Entry; generation 0 until it has been heard.
    pub peer: Peer,
    /// Its region; empty until it has been heard.
    pub region: String,
    /// When it was last heard.
    pub heard: Duration,
    /// It asked for an announcement, or was never sent one.
    pub wants_announcement: bool,
}

/// All entries known, by address.
#[derive(Debug)]
pub struct Contacts {
    seeds: Vec<id::Address>,
    known: BTreeMap<id::Address, Contact>,
}

impl Contacts {
    /// Starts with the entries of the settings.
    pub fn new(now: Duration, seeds: &[id::Address]) -> Self {
        let mut contacts = Contacts { seeds: seeds.to_vec(), known: BTreeMap::new() };
        for address in seeds {
            contacts.learn(now, &peer::new("", address, 0));
        }
        contacts
    }

    /// Adds an entry that another process named.
    pub fn learn(&mut self, now: Duration, peer: &Peer) {
        let region = String::new();
        let contact = Contact { peer: peer.clone(), region, heard: now, wants_announcement: true };
        self.known.entry(peer.address.clone()).or_insert(contact);
    }

    /// Notes a message of an entry. An entry in a new life knows nothing of this agent.
    pub fn hear(&mut self, now: Duration, peer: &Peer, region: &str) {
        self.learn(now, peer);
        if let Some(contact) = self.known.get_mut(&peer.address) {
            contact.heard = now;
            contact.region = region.to_owned();
            contact.wants_announcement |= !peer::is_same_process(&contact.peer, peer);
            contact.peer = peer.clone();
        }
    }

    /// Marks that an entry asked for an announcement.
    pub fn want(&mut self, address: &str) {
        if let Some(contact) = self.known.get_mut(address) {
            contact.wants_announcement = true;
        }
    }

    /// Entries to speak to now; the announcement wish is taken by the caller.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Contact> {
        self.known.values_mut()
    }

    /// Forgets entries that have long been silent, unless the settings name them.
    pub fn forget_silent(&mut self, now: Duration, silence: Duration) {
        let seeds = &self.seeds;
        self.known.retain(|address, contact| {
            seeds.contains(address) || now.saturating_sub(contact.heard) <= silence * FORGET_AFTER
        });
    }
}
