//! Entries that poll for changes.

use std::{collections::BTreeMap, time::Duration};

use crate::event::Asker;

/// Time without a poll after which an entry is no longer listed to agents and entries.
const FORGET: Duration = Duration::from_secs(10);

/// An entry that polls for changes.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    pub(crate) address: String,
    pub(crate) heard: Duration,
    /// Time at which the store last replied to the entry, as far as known.
    pub(crate) store_reached: Option<Duration>,
    pub(crate) held: Option<(Asker, u64)>,
    pub(crate) told: Told,
}

/// Interval after which an unchanged list of entries is sent again, since the message that carried
/// it may have been lost.
const TELL_AGAIN: Duration = Duration::from_secs(5);

/// The list of entries that a process was last sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Told {
    version: u64,
    at: Duration,
}

/// Addresses of the entries that have polled recently.
#[derive(Default)]
pub(crate) struct Addresses {
    list: Vec<String>,
    /// Incremented with each change of the list.
    version: u64,
}

impl Addresses {
    /// Returns the list if the process lacks it, or was sent it long ago; otherwise an empty list.
    /// The list grows with the number of entries, so that it must not be part of every message to
    /// every agent and entry.
    pub(crate) fn news(&self, now: Duration, told: &mut Told) -> Vec<String> {
        if told.version == self.version && now < told.at + TELL_AGAIN {
            return Vec::new();
        }
        *told = Told { version: self.version, at: now };
        self.list.clone()
    }
}

/// Entries that poll for changes.
#[derive(Default)]
pub(crate) struct Feeds {
    pub(crate) readers: BTreeMap<String, Reader>,
    pub(crate) addresses: Addresses,
}

impl Feeds {
    /// Updates the list of entries that have polled recently.
    pub(crate) fn refresh(&mut self, now: Duration) {
        let recent = self.readers.values().filter(|reader| now < reader.heard + FORGET);
        let list: Vec<String> = recent.map(|reader| reader.address.clone()).collect();
        if list != self.addresses.list {
            self.addresses = Addresses { list, version: self.addresses.version + 1 };
        }
    }

    /// Drops the poll of a subscriber that has disconnected.
    pub(crate) fn left(&mut self, asker: Asker) {
        for reader in self.readers.values_mut() {
            reader.held.take_if(|(held, _)| *held == asker);
        }
    }
}
