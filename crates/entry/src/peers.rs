//! Other entries known to this entry.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{EntryBeat, Epoch, Peer, epoch, id, peer};

/// Entries that are not in the settings are removed after this many silence timeouts without a
/// message.
const FORGET_AFTER_TIMEOUTS: u32 = 20;

/// Entries of other regions get only every n-th heartbeat, since traffic between regions is charged
/// by volume. New rules are sent at once in any case.
const REMOTE_HEARTBEAT_INTERVAL: u32 = 4;

/// An entry, with its last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Name and address; the generation is 0 until the first heartbeat arrives.
    pub peer: Peer,
    /// Its last heartbeat.
    pub heartbeat: EntryBeat,
    /// When the last heartbeat arrived; `None` before the first.
    pub last_contact: Option<Duration>,
    /// When it was added to the list or its last heartbeat arrived; zero if the settings name it
    /// and none has arrived.
    pub added: Duration,
}

/// Other entries by address.
#[derive(Debug)]
pub struct Peers {
    identity: Peer,
    region: String,
    seeds: Vec<id::Address>,
    silence_timeout: Duration,
    known: BTreeMap<id::Address, Entry>,
}

impl Peers {
    /// Creates the list from the entries named in the settings.
    pub fn new(
        identity: &Peer,
        region: &str,
        seeds: &[id::Address],
        silence_timeout: Duration,
    ) -> Self {
        let known = BTreeMap::new();
        let region = region.to_owned();
        let mut peers = Peers {
            identity: identity.clone(),
            region,
            seeds: seeds.to_vec(),
            silence_timeout,
            known,
        };
        for address in seeds {
            peers.add(Duration::ZERO, &peer::new("", address, 0));
        }
        peers
    }

    fn add(&mut self, now: Duration, peer: &Peer) {
        if peer.address != self.identity.address {
            let entry = Entry { peer: peer.clone(), added: now, ..Entry::default() };
            self.known.entry(peer.address.clone()).or_insert(entry);
        }
    }

    /// Records a heartbeat and adds the entries that it names.
    pub fn record_heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: EntryBeat) {
        for peer in &heartbeat.entries {
            self.add(now, peer);
        }
        let entry = Entry { peer: from.clone(), heartbeat, last_contact: Some(now), added: now };
        self.known.insert(from.address.clone(), entry);
    }

    fn is_reachable(&self, now: Duration, entry: &Entry) -> bool {
        let factor = if self.is_remote(entry) { REMOTE_HEARTBEAT_INTERVAL } else { 1 };
        let timeout = self.silence_timeout * factor;
        entry.last_contact.is_some_and(|last_contact| now.saturating_sub(last_contact) <= timeout)
    }

    /// Whether an entry is known to be in another region.
    fn is_remote(&self, entry: &Entry) -> bool {
        !entry.heartbeat.region.is_empty() && entry.heartbeat.region != self.region
    }

    /// Entries to which the next heartbeat is sent, given the number sent so far: all of the same
    /// region, and those of other regions at a lower rate.
    pub fn heartbeat_due(&self, heartbeats_sent: u32) -> impl Iterator<Item = &Entry> {
        let is_remote_due = heartbeats_sent.is_multiple_of(REMOTE_HEARTBEAT_INTERVAL);
        self.known.values().filter(move |entry| is_remote_due || !self.is_remote(entry))
    }

    /// Entries that have sent a heartbeat recently.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = &Entry> {
        self.known.values().filter(move |entry| self.is_reachable(now, entry))
    }

    /// Planner of a region's cell among the reachable entries: the one with the highest epoch.
    pub fn planner(&self, now: Duration, region: &str) -> Option<(&Peer, &Epoch)> {
        let is_in_region = |entry: &&Entry| entry.heartbeat.region == region;
        let planners = self.reachable(now).filter(is_in_region).filter_map(|entry| {
            let epoch = entry.heartbeat.planner.as_ref()?;
            Some((&entry.peer, epoch))
        });
        planners.max_by(|left, right| epoch::compare(left.1, right.1))
    }

    /// Removes entries that have been silent for a long time, unless the settings name them.
    pub fn forget_silent(&mut self, now: Duration) {
        let limit = self.silence_timeout * FORGET_AFTER_TIMEOUTS;
        let seeds = &self.seeds;
        self.known.retain(|address, entry| {
            let last = entry.last_contact.unwrap_or(entry.added);
            let is_recent = now.saturating_sub(last) <= limit;
            is_recent || seeds.contains(address)
        });
    }
}
