//! Election of the leader, the entry that plans: acquires and renews the lease on the leader key,
//! follows the leader that holds it, and polls the leader's feed.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{FeedPoll, Lead, remote_clock::RemoteClock};
use sapphire_planner::{keys, options as planner};
use sapphire_store::{
    call::{Call, Condition, Item, Reply, Revision},
    lease,
};

use crate::{effect::Effect, event::Operation, machine::Machine, options};

/// Longest delay of an acquisition because of the entry's distance to the store. An entry close to
/// the store goes first, since a planner there makes the end of each run durable one trip between
/// regions (40 ms) sooner.
const MAX_DISTANCE_DELAY: Duration = Duration::from_millis(80);
/// Pause of the process after which its state as a planner counts as out of date.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// Number of terms that are remembered. Planners that are lost one after the other count the time of the
/// earlier ones.
const MAX_SEEN_TERMS: usize = 16;

impl Machine {
    pub(crate) fn drive_leader(&mut self, now: Duration) {
        self.resign_after_pause(now);
        self.record_term(now);
        self.drive_leader_reads(now);
        self.drive_lease(now);
        self.drive_feed(now);
    }

    /// Stops planning after the process was paused: another entry may have become the leader
    /// meanwhile, and all that the planner knows of the workers is out of date.
    fn resign_after_pause(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.leadership.last_event);
        let is_first = self.leadership.last_event.is_zero();
        self.leadership.last_event = now;
        if self.is_planning && !is_first && paused >= MAX_PAUSE {
            self.log(format!("paused for {} ms; stops planning", paused.as_millis()));
            self.resign();
        }
    }

    /// Records that the term of the known leader has begun.
    fn record_term(&mut self, now: Duration) {
        let Some(leader) = &self.leadership.leader else { return };
        let seen = &mut self.leadership.seen_terms;
        seen.entry(leader.term).or_insert(now);
        if seen.len() > MAX_SEEN_TERMS {
            seen.pop_first();
        }
    }

    /// Returns the latest terms, each with a time at which it had begun.
    pub fn seen_terms(&self) -> impl Iterator<Item = (Revision, Duration)> {
        self.leadership.seen_terms.iter().map(|(term, at)| (*term, *at))
    }

    /// Returns what is known of the clocks of the latest planners, by term.
    pub fn planner_clocks(&self) -> impl Iterator<Item = (Revision, RemoteClock)> {
        self.leadership.clocks.iter().map(|(term, clock)| (*term, *clock))
    }

    /// Records what a feed tells of its planner's clock.
    fn record_clock(&mut self, now: Duration, feed: &sapphire_jobs::Feed) {
        if feed.clock_ms == 0 {
            return;
        }
        let clocks = &mut self.leadership.clocks;
        clocks.insert(feed.term, RemoteClock::new(Duration::from_millis(feed.clock_ms), now));
        if clocks.len() > MAX_SEEN_TERMS {
            clocks.pop_first();
        }
    }

    fn drive_leader_reads(&mut self, now: Duration) {
        let leadership = &mut self.leadership;
        if !leadership.is_watching && leadership.watch_from > 0 && now >= leadership.watch_at {
            leadership.is_watching = true;
            let prefix = keys::LEAD.to_owned();
            let (after, wait) = (leadership.watch_from, options::WATCH_WAIT);
            let call = Call::WatchPrefix { prefix, after, wait };
            self.effects.push(Effect::Store(Operation::LeaderWatch, call));
        }
        let is_outdated = leadership.watch_from == 0 || !self.view.is_fresh(now);
        if is_outdated && !self.is_planning && !leadership.is_reading && now >= leadership.read_at {
            leadership.is_reading = true;
            let call = Call::Scan {
                prefix: keys::LEAD.to_owned(),
                after: String::new(),
                may_be_stale: false,
            };
            self.effects.push(Effect::Store(Operation::Leader, call));
        }
    }

    pub(crate) fn leader_read(&mut self, now: Duration, reply: Reply) {
        self.leadership.is_reading = false;
        self.leadership.read_at = now + options::LEADER_READ_INTERVAL;
        if let Reply::Items { items, revision, .. } = reply {
            let held = items.into_iter().find(|item| item.key == keys::LEAD);
            match held {
                Some(item) => self.apply_leader_item(now, &item),
                None => self.mark_vacant(now),
            }
            self.leadership.watch_from = self.leadership.watch_from.max(revision);
        }
    }

    pub(crate) fn leader_changed(&mut self, now: Duration, reply: Reply) {
        self.leadership.is_watching = false;
        match reply {
            Reply::Changes { items, revision } => {
                self.leadership.watch_from = self.leadership.watch_from.max(revision);
                for item in items.iter().filter(|item| item.key == keys::LEAD) {
                    self.apply_leader_item(now, item);
                }
            }
            Reply::HistoryGone => {
                self.leadership.watch_from = 0;
                self.leadership.read_at = now + options::WATCH_RETRY;
            }
            _ => self.leadership.watch_at = now + options::WATCH_RETRY,
        }
    }

    fn apply_leader_item(&mut self, now: Duration, item: &Item) {
        let Some(value) = &item.value else {
            self.mark_vacant(now);
            return;
        };
        match Lead::decode(&value[..]) {
            Ok(leader) => self.follow(Lead { term: item.revision, ..leader }),
            Err(error) => self.log(format!("leader key can't be decoded: {error}")),
        }
    }

    /// Whether the holder of the leader key is a previous process of this entry. Name and address
    /// belong to one machine, where only one process at a time can listen at the address.
    fn is_previous_process(&self, leader: &Lead) -> bool {
        leader.name == self.options.name
            && leader.address == self.options.address
            && leader.generation != self.options.generation
    }

    /// Releases the leader key of a leader whose machine refuses connections: nothing listens at
    /// its address, so its process has ended. A machine that is partitioned or without power does
    /// not answer at all.
    ///
    /// Without this, no entry plans until the lease of the process has expired.
    pub(crate) fn leader_refused(&mut self, address: &str) {
        let Some(leader) = &self.leadership.leader else { return };
        if leader.address == address && !self.is_planning {
            self.release_ended(leader.term, "its machine refuses connections");
        }
    }

    /// Releases the leader key whose holder has ended.
    ///
    /// Without this, no entry plans for about a second after each loss of power: the lease of the
    /// process that has ended remains valid for up to 1.3 s.
    fn release_ended(&mut self, term: Revision, why: &str) {
        if self.leadership.released_term == term {
            return;
        }
        self.leadership.released_term = term;
        self.log(format!("the planner of term={term} has ended ({why}); releasing the leader key"));
        let conditions = vec![Condition { key: keys::LEAD.to_owned(), revision: term }];
        let removes = vec![keys::LEAD.to_owned()];
        let call = Call::Commit { conditions, puts: Vec::new(), removes };
        self.effects.push(Effect::Store(Operation::LeaderRelease, call));
    }

    fn mark_vacant(&mut self, now: Duration) {
        if self.leadership.vacant_since.is_none() {
            self.leadership.vacant_since = Some(now);
            self.log("leader key has no holder".to_owned());
        }
    }

    /// Follows the leader with the highest term.
    pub(crate) fn follow(&mut self, leader: Lead) {
        let known = self.leadership.leader.as_ref().map_or(0, |leader| leader.term);
        if leader.term < known {
            return;
        }
        if self.is_previous_process(&leader) {
            self.release_ended(leader.term, "it was a previous process of this entry");
            return;
        }
        if leader.term > known {
            self.log(format!("term={} planner={} at {}", leader.term, leader.name, leader.address));
            self.leadership.vacant_since = None;
            self.leadership.is_polling = false;
            self.view.reset_notices();
            let is_other =
                leader.name != self.options.name || leader.generation != self.options.generation;
            if self.is_planning && is_other {
                self.resign();
            }
            self.leadership.leader = Some(leader);
        }
    }

    /// The latest known leader.
    pub fn leader(&self) -> Option<&Lead> {
        self.leadership.leader.as_ref()
    }

    fn drive_lease(&mut self, now: Duration) {
        let distance = self.min_store_latency.min(MAX_DISTANCE_DELAY);
        let leadership = &mut self.leadership;
        let may_take = !leadership.is_terminating
            && leadership
                .vacant_since
                .is_some_and(|since| now >= since + leadership.stagger + distance);
        if let Some(call) = leadership.holder.poll(now, may_take) {
            leadership.lease_call_sent = now;
            self.effects.push(Effect::Store(Operation::LeaderLease, call));
        }
    }

    pub(crate) fn lease_replied(&mut self, now: Duration, sent: Duration, reply: Reply) {
        if matches!(reply, Reply::Conflict(_)) {
            self.leadership.vacant_since = None;
            self.leadership.read_at = now;
            self.leadership.watch_from = 0;
        }
        match self.leadership.holder.reply(now, sent, reply) {
            lease::Outcome::Unchanged => {}
            // The write was in flight when the process was asked to terminate.
            lease::Outcome::Acquired(_) if self.leadership.is_terminating => self.resign(),
            lease::Outcome::Acquired(term) => {
                self.leadership.vacant_since = None;
                let leader = Lead {
                    name: self.options.name.clone(),
                    address: self.options.address.clone(),
                    term,
                    generation: self.options.generation,
                };
                self.is_planning = true;
                self.log(format!("term={term} begins here"));
                self.follow(leader);
                self.effects.push(Effect::Plan(term));
            }
            lease::Outcome::Lapsed => {
                self.log("lease on the leader key has expired".to_owned());
                self.resign();
                self.mark_vacant(now);
            }
        }
    }

    /// Stops planning and releases the leader key.
    pub(crate) fn resign(&mut self) {
        if let Some(call) = self.leadership.holder.release() {
            self.effects.push(Effect::Store(Operation::LeaderRelease, call));
            let value = Lead {
                name: self.options.name.clone(),
                address: self.options.address.clone(),
                term: 0,
                generation: self.options.generation,
            };
            let value = Bytes::from(value.encode_to_vec());
            self.leadership.holder =
                lease::Holder::new(keys::LEAD, value, self.options.leader_lease);
        }
        if self.is_planning {
            self.is_planning = false;
            self.effects.push(Effect::Resign);
        }
    }

    /// End of the lease on the leader key; zero if this entry does not hold it.
    pub fn lease_expires_at(&self) -> Duration {
        self.leadership.holder.expires_at()
    }

    /// Addresses of the other known entries.
    pub fn other_entries(&self) -> impl Iterator<Item = String> {
        let own = &self.options.address;
        self.entries.iter().filter(move |entry| *entry != own).cloned()
    }

    /// Stops planning because the planner has found a write of a newer leader.
    pub fn deposed(&mut self, now: Duration) -> Vec<Effect> {
        self.leadership.watch_from = 0;
        self.leadership.read_at = now;
        self.resign();
        std::mem::take(&mut self.effects)
    }

    /// Stops planning if the lease on the leader key could not be renewed in time: at once when
    /// other entries reach the store, since one of them holds the key or will soon; otherwise after
    /// [`planner::MAX_STORE_OUTAGE`].
    pub fn check_outage(
        &mut self,
        now: Duration,
        is_store_reached: impl FnOnce(Duration) -> bool,
    ) -> Vec<Effect> {
        if !self.is_planning || !self.leadership.holder.is_stale(now) {
            self.stale_since = None;
            return Vec::new();
        }
        let since = *self.stale_since.get_or_insert(now);
        if is_store_reached(since) || now >= since + planner::MAX_STORE_OUTAGE {
            self.log("lease on the leader key can't be renewed; stops planning".to_owned());
            self.stale_since = None;
            self.resign();
        }
        std::mem::take(&mut self.effects)
    }

    /// Releases the leader key when the process terminates, so that the other entries need not wait
    /// for its lease to expire.
    pub(crate) fn terminate(&mut self) {
        self.leadership.is_terminating = true;
        self.resign();
    }

    fn drive_feed(&mut self, now: Duration) {
        let Some(leader) = &self.leadership.leader else {
            self.query_leader(now);
            return;
        };
        if !self.leadership.is_polling && now >= self.leadership.query_at {
            self.leadership.is_polling = true;
            let (term, version) = self.view.position();
            let poll = FeedPoll {
                entry: self.options.name.clone(),
                address: self.options.address.clone(),
                term,
                version,
                store_age_ms: u64::try_from(self.reach.time_since_direct_answer(now).as_millis())
                    .unwrap_or(u64::MAX),
            };
            let address = leader.address.clone();
            self.effects.push(Effect::Feed { address, poll });
        }
        if let Some(leader) = &self.leadership.leader
            && let Some(notice) = self.view.notice(now)
        {
            let address = leader.address.clone();
            self.effects.push(Effect::Notice { address, notice: Box::new(notice) });
        }
        if !self.view.is_fresh(now) {
            self.query_leader(now);
        }
    }

    fn query_leader(&mut self, now: Duration) {
        if now < self.leadership.query_at || self.entries.is_empty() {
            return;
        }
        self.leadership.query_at = now + options::LEADER_QUERY_DELAY;
        self.leadership.next_entry += 1;
        let address = self.entries[self.leadership.next_entry % self.entries.len()].clone();
        if address != self.options.address {
            self.effects.push(Effect::QueryLeader { address });
        }
    }

    pub(crate) fn feed_received(
        &mut self,
        now: Duration,
        sent: Duration,
        feed: Option<Box<sapphire_jobs::Feed>>,
    ) {
        self.leadership.is_polling = false;
        let Some(feed) = feed else {
            self.leadership.query_at = now + options::LEADER_QUERY_DELAY;
            return;
        };
        self.record_clock(now, &feed);
        if feed.term < self.leadership.leader.as_ref().map_or(0, |leader| leader.term) {
            return;
        }
        if !feed.entries.is_empty() {
            self.entries.clone_from(&feed.entries);
            self.entries.extend(self.options.entries.iter().cloned());
        }
        let age = Duration::from_millis(feed.config_age_ms);
        self.apply_leader_check(now, sent, feed.config_revision, age);
        self.view.apply_feed(sent, *feed);
    }
}
