//! Other entries.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{EntryBeat, Epoch, Peer, epoch, id, peer};

/// Time-outs of silence after which an entry that the settings don't name is forgotten.
const FORGET_AFTER: u32 = 20;

/// An entry of another region gets one heartbeat in so many: traffic between regions is paid
/// for by volume, and new rules are sent at once in any case.
const FAR_EVERY: u32 = 4;

/// One entry, as last heard.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Its address; generation 0 until it has been heard.
    pub peer: Peer,
    /// What it last told.
    pub beat: EntryBeat,
    /// When it was last heard; none when it never was.
    pub heard: Option<Duration>,
    /// When another process named it.
    pub learned: Duration,
}

/// Other entries by address.
#[derive(Debug)]
pub struct Peers {
    me: Peer,
    region: String,
    seeds: Vec<id::Address>,
    silence: Duration,
    known: BTreeMap<id::Address, Entry>,
}

impl Peers {
    /// Starts with the entries of the settings.
    pub fn new(me: &Peer, region: &str, seeds: &[id::Address], silence: Duration) -> Self {
        let known = BTreeMap::new();
        let region = region.to_owned();
        let mut peers = Peers { me: me.clone(), region, seeds: seeds.to_vec(), silence, known };
        for address in seeds {
            peers.learn(Duration::ZERO, &peer::new("", address, 0));
        }
        peers
    }

    fn learn(&mut self, now: Duration, peer: &Peer) {
        if peer.address != self.me.address {
            let entry = Entry { peer: peer.clone(), learned: now, ..Entry::default() };
            self.known.entry(peer.address.clone()).or_insert(entry);
        }
    }

    /// Takes a heartbeat.
    pub fn hear(&mut self, now: Duration, from: &Peer, beat: EntryBeat) {
        for peer in &beat.entries {
            self.learn(now, peer);
        }
        let entry = Entry { peer: from.clone(), beat, heard: Some(now), learned: now };
        self.known.insert(from.address.clone(), entry);
    }

    fn is_heard(&self, now: Duration, entry: &Entry) -> bool {
        let rate = if self.is_far(entry) { FAR_EVERY } else { 1 };
        let patience = self.silence * rate;
        entry.heard.is_some_and(|heard| now.saturating_sub(heard) <= patience)
    }

    /// Whether an entry is known to be in another region.
    fn is_far(&self, entry: &Entry) -> bool {
        !entry.beat.region.is_empty() && entry.beat.region != self.region
    }

    /// Entries that get this heartbeat, of those sent so far: all of the own region, others
    /// less often.
    pub fn due(&self, beats: u32) -> impl Iterator<Item = &Entry> {
        let is_far_due = beats.is_multiple_of(FAR_EVERY);
        self.known.values().filter(move |entry| is_far_due || !self.is_far(entry))
    }

    /// Entries heard lately.
    pub fn heard(&self, now: Duration) -> impl Iterator<Item = &Entry> {
        self.known.values().filter(move |entry| self.is_heard(now, entry))
    }

    /// The planner of a region's cell among the entries heard lately: the highest epoch.
    pub fn planner(&self, now: Duration, region: &str) -> Option<(&Peer, &Epoch)> {
        let plans = |entry: &&Entry| entry.beat.region == region;
        let planners = self.heard(now).filter(plans).filter_map(|entry| {
            let epoch = entry.beat.planner.as_ref()?;
            Some((&entry.peer, epoch))
        });
        planners.max_by(|left, right| epoch::compare(left.1, right.1))
    }

    /// Forgets entries that have long been silent, unless the settings name them.
    pub fn forget_silent(&mut self, now: Duration) {
        let limit = self.silence * FORGET_AFTER;
        let seeds = &self.seeds;
        self.known.retain(|address, entry| {
            let last = entry.heard.unwrap_or(entry.learned);
            let is_recent = now.saturating_sub(last) <= limit;
            is_recent || seeds.contains(address)
        });
    }
}
