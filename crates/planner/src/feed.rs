//! Feeds to entries: states of jobs, addresses of other entries, and the age of the configuration.

use std::time::Duration;

use sapphire_jobs::{Feed, FeedPoll, Row};

use crate::{
    effect::Effect,
    event::{Asker, Moment},
    options,
    planner::Planner,
    state::feeds::{Feeds, Reader, Told},
};

impl Planner {
    /// Returns whether another entry has reached the store after `since`.
    pub fn is_store_reached(&self, since: Duration) -> bool {
        let reached = |at: Duration| at > since;
        self.feeds.readers.values().any(|reader| reader.store_reached.is_some_and(reached))
    }

    pub(crate) fn feed_poll(&mut self, now: Moment, asker: Asker, poll: FeedPoll) {
        let term = self.term;
        let reader = self.feeds.readers.entry(poll.entry).or_insert_with(|| Reader {
            address: poll.address.clone(),
            heard: now.steady,
            store_reached: None,
            held: None,
            told: Told::default(),
        });
        reader.address = poll.address;
        reader.heard = now.steady;
        let reached = now.steady.checked_sub(Duration::from_millis(poll.store_age_ms));
        reader.store_reached = reader.store_reached.max(reached);
        let known = if poll.term == term { poll.version } else { 0 };
        if let Some((earlier, _)) = reader.held.replace((asker, known)) {
            self.out.push(Effect::Decline(earlier));
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
        let mut due = Vec::new();
        let Feeds { readers, addresses } = &mut self.feeds;
        for reader in readers.values_mut() {
            let is_over = now.steady >= reader.heard + options::FEED_HOLD;
            let held = reader.held.take_if(|(_, known)| *known < version || is_over);
            let Some((asker, known)) = held else { continue };
            if known == 0 {
                reader.told = Told::default();
            }
            due.push((asker, known, addresses.news(now.steady, &mut reader.told)));
        }
        for (asker, known, entries) in due {
            let feed = Feed { entries, ..self.feed(now, known) };
            self.out.push(Effect::Feed(asker, Box::new(feed)));
        }
    }

    fn feed(&self, now: Moment, known: u64) -> Feed {
        let news = self.table.entries.iter().filter(|(_, entry)| entry.version > known);
        let rows = news.map(|(id, entry)| Row {
            job: id.clone(),
            queue: entry.job.queue.clone(),
            state: entry.shown.into(),
        });
        let gone = self.table.gone.iter().filter(|(version, _)| *version > known);
        let age = |at: Duration| now.steady.saturating_sub(at).as_millis();
        let (config_revision, config_age_ms) = self.proof.map_or((0, 0), |(revision, at)| {
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
        }
    }

    /// Drops the poll of a requester that has disconnected.
    pub(crate) fn left(&mut self, asker: Asker) {
        self.feeds.left(asker);
        for worker in self.workers.values_mut() {
            worker.held.take_if(|held| held.asker == asker);
        }
    }
}
