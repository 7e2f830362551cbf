//! Entries that ask for news.

use std::{collections::BTreeMap, time::Duration};

use crate::event::Asker;

/// Entries that are silent for so long are not named to agents any more.
const FORGET: Duration = Duration::from_secs(10);

/// An entry that asks.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    pub(crate) address: String,
    pub(crate) heard: Duration,
    /// When the store last answered it, at the latest.
    pub(crate) store_reached: Option<Duration>,
    pub(crate) held: Option<(Asker, u64)>,
    pub(crate) told: Told,
}

/// Time after which the list of entries is told again although it is the same: the answer that
/// told it may have been lost.
const TELL_AGAIN: Duration = Duration::from_secs(5);

/// What one process was last told of the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Told {
    version: u64,
    at: Duration,
}

/// Addresses of the entries heard of lately.
#[derive(Default)]
pub(crate) struct Addresses {
    list: Vec<String>,
    /// Grows with each change of the list.
    version: u64,
}

impl Addresses {
    /// The list, for a process that does not know it; nothing for one that was told of it lately.
    /// It grows with the entries, and each message to each agent and entry would carry it.
    pub(crate) fn news(&self, now: Duration, told: &mut Told) -> Vec<String> {
        if told.version == self.version && now < told.at + TELL_AGAIN {
            return Vec::new();
        }
        *told = Told { version: self.version, at: now };
        self.list.clone()
    }
}

/// Entries that ask for news.
#[derive(Default)]
pub(crate) struct Feeds {
    pub(crate) readers: BTreeMap<String, Reader>,
    pub(crate) addresses: Addresses,
}

impl Feeds {
    /// Notes which entries were heard of lately.
    pub(crate) fn refresh(&mut self, now: Duration) {
        let recent = self.readers.values().filter(|reader| now < reader.heard + FORGET);
        let list: Vec<String> = recent.map(|reader| reader.address.clone()).collect();
        if list != self.addresses.list {
            self.addresses = Addresses { list, version: self.addresses.version + 1 };
        }
    }

    /// Drops the poll of a reader that has left.
    pub(crate) fn left(&mut self, asker: Asker) {
        for reader in self.readers.values_mut() {
            reader.held.take_if(|(held, _)| *held == asker);
        }
    }
}
