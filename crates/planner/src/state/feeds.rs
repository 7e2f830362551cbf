//! Entries that poll for changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_plan::quorum::Report;

use crate::{event::Requester, state::startup::Startup};

/// Time without a poll after which an entry is no longer listed to agents and entries.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry that polls for changes.
#[derive(Clone, Debug)]
pub(crate) struct Subscriber {
    pub(crate) address: String,
    pub(crate) last_contact: Duration,
    /// Time at which the store last replied to the entry, as far as known.
    pub(crate) store_reached: Option<Duration>,
    pub(crate) long_poll: Option<(Requester, u64)>,
    pub(crate) delivery: Delivery,
}

/// Interval after which an unchanged list of entries is sent again, since the message that carried
/// it may have been lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// The list of entries that a process was last sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Delivery {
    version: u64,
    sent_at: Duration,
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
    pub(crate) fn update_for(&self, now: Duration, delivery: &mut Delivery) -> Vec<String> {
        if delivery.version == self.version && now < delivery.sent_at + RESEND_INTERVAL {
            return Vec::new();
        }
        *delivery = Delivery { version: self.version, sent_at: now };
        self.list.clone()
    }
}

/// Entries that poll for changes.
#[derive(Default)]
pub(crate) struct Feeds {
    pub(crate) subscribers: BTreeMap<String, Subscriber>,
    pub(crate) addresses: Addresses,
    /// Addresses of the other entries that were known when the term began.
    pub(crate) expected: BTreeSet<String>,
}

impl Feeds {
    /// Returns the number of other entries that should be polling, and the latest poll of each that
    /// has polled. `own` is the name of the entry that plans.
    pub(crate) fn reports(
        &self,
        now: Duration,
        own: &str,
        startup: &Startup,
    ) -> (usize, Vec<Report>) {
        let is_recent = |at: Duration| now < at + SUBSCRIBER_TIMEOUT;
        let others: Vec<&Subscriber> = (self.subscribers.iter())
            .filter(|(name, subscriber)| *name != own && is_recent(subscriber.last_contact))
            .map(|(_, subscriber)| subscriber)
            .collect();
        let mut addresses: BTreeSet<&str> =
            others.iter().map(|subscriber| subscriber.address.as_str()).collect();
        if is_recent(startup.began()) {
            addresses.extend(self.expected.iter().map(String::as_str));
        }
        let report = |subscriber: &&Subscriber| Report {
            received_at: subscriber.last_contact,
            store_answered_at: subscriber.store_reached,
        };
        (addresses.len(), others.iter().map(report).collect())
    }

    /// Updates the list of entries that have polled recently.
    pub(crate) fn refresh(&mut self, now: Duration) {
        let recent = self
            .subscribers
            .values()
            .filter(|subscriber| now < subscriber.last_contact + SUBSCRIBER_TIMEOUT);
        let list: Vec<String> = recent.map(|subscriber| subscriber.address.clone()).collect();
        if list != self.addresses.list {
            self.addresses = Addresses { list, version: self.addresses.version + 1 };
        }
    }

    /// Drops the poll of a subscriber that has disconnected.
    pub(crate) fn disconnected(&mut self, requester: Requester) {
        for subscriber in self.subscribers.values_mut() {
            subscriber.long_poll.take_if(|(waiting, _)| *waiting == requester);
        }
    }
}
