//! Feeds to entries: states of jobs, addresses of other entries, and the age of the configuration.

use std::time::Duration;

use sapphire_jobs::{Feed, FeedPoll, Row};

use crate::{
    effect::Effect,
    event::{Moment, Requester},
    options,
    planner::Planner,
    state::feeds::{Delivery, Feeds, Subscriber},
};

impl Planner {
    /// Returns whether another entry has reached the store after `since`.
    pub fn is_store_reached(&self, since: Duration) -> bool {
        let reached = |at: Duration| at > since;
        self.feeds
            .subscribers
            .values()
            .any(|subscriber| subscriber.store_reached.is_some_and(reached))
    }

    /// Handles an entry's poll. It is answered when there are changes or when it has waited long
    /// enough.
    pub(crate) fn handle_feed_poll(&mut self, now: Moment, requester: Requester, poll: FeedPoll) {
        let term = self.term;
        let subscriber = self.feeds.subscribers.entry(poll.entry).or_insert_with(|| Subscriber {
            address: poll.address.clone(),
            last_contact: now.steady,
            store_reached: None,
            long_poll: None,
            delivery: Delivery::default(),
        });
        subscriber.address = poll.address;
        subscriber.last_contact = now.steady;
        let reached = now.steady.checked_sub(Duration::from_millis(poll.store_age_ms));
        subscriber.store_reached = subscriber.store_reached.max(reached);
        let known = if poll.term == term { poll.version } else { 0 };
        if let Some((earlier, _)) = subscriber.long_poll.replace((requester, known)) {
            self.effects.push(Effect::Decline(earlier));
        }
        self.feeds.refresh(now.steady);
    }

    /// Answers the polls of entries for which there are changes, and those that have waited long
    /// enough.
    pub(crate) fn answer_feeds(&mut self, now: Moment) {
        if !self.startup.is_serving() {
            return;
        }
        let version = self.table.version;
        // While the lease is in doubt, what the entries report of the store must be recent.
        let is_in_doubt = now.steady + options::LEASE_DOUBT >= self.lease_expires_at;
        let timeout = if is_in_doubt { options::DOUBT_FEED_TIMEOUT } else { options::FEED_TIMEOUT };
        let mut due = Vec::new();
        let Feeds { subscribers, addresses, .. } = &mut self.feeds;
        for subscriber in subscribers.values_mut() {
            let is_over = now.steady >= subscriber.last_contact + timeout;
            let long_poll = subscriber.long_poll.take_if(|(_, known)| *known < version || is_over);
            let Some((requester, known)) = long_poll else { continue };
            if known == 0 {
                subscriber.delivery = Delivery::default();
            }
            due.push((
                requester,
                known,
                addresses.update_for(now.steady, &mut subscriber.delivery),
            ));
        }
        for (requester, known, entries) in due {
            let feed = Feed { entries, ..self.feed(now, known) };
            self.effects.push(Effect::Feed(requester, Box::new(feed)));
        }
    }

    /// Returns the changes since the version `known`; everything if that is 0.
    fn feed(&self, now: Moment, known: u64) -> Feed {
        let known = if known < self.table.forgotten { 0 } else { known };
        let changed = self.table.entries.iter().filter(|(_, entry)| entry.version > known);
        let rows = changed.map(|(id, entry)| Row {
            job: id.clone(),
            queue: entry.job.queue.clone(),
            state: entry.reported_state.into(),
        });
        let gone = self.table.removed.iter().filter(|(version, _)| *version > known);
        let age = |at: Duration| now.steady.saturating_sub(at).as_millis();
        let (config_revision, config_age_ms) =
            self.verified_catalog.map_or((0, 0), |(revision, at)| {
                (revision, u64::try_from(age(at)).unwrap_or(u64::MAX))
            });
        Feed {
            term: self.term,
            version: self.table.version,
            is_whole: known == 0,
            rows: rows.collect(),
            gone: gone.map(|(_, id)| id.clone()).collect(),
            entries: Vec::new(),
            config_revision,
            config_age_ms,
            supplies: self.supplies.clone(),
            clock_ms: u64::try_from(now.steady.as_millis()).unwrap_or(u64::MAX),
            memory: Some(self.table.account.left()),
        }
    }

    /// Drops the poll of a requester that has disconnected.
    pub(crate) fn disconnected(&mut self, requester: Requester) {
        self.feeds.disconnected(requester);
        for worker in self.workers.values_mut() {
            worker.long_poll.take_if(|long_poll| long_poll.requester == requester);
        }
    }
}
