//! Who plans: this entry, while it holds the planner's key, or another.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{FeedPoll, Lead};
use sapphire_planner::{keys, options as planner};
use sapphire_store::{
    call::{Call, Condition, Item, Reply, Revision},
    lease,
};

use crate::{effect::Effect, event::Operation, machine::Machine, options};

/// Longest time by which it waits for its distance to the store: an entry next to the store goes
/// first, since a planner there makes each end durable a trip between regions (40 ms) sooner.
const DISTANCE: Duration = Duration::from_millis(80);
/// A pause of the process after which it does not trust its memory as a planner any more.
const FROZEN: Duration = Duration::from_millis(900);

impl Machine {
    pub(crate) fn drive_leader(&mut self, now: Duration) {
        self.notice_freeze(now);
        self.drive_lead_reads(now);
        self.drive_hold(now);
        self.drive_feed(now);
    }

    /// Guards against a planner that was paused and goes on as if no time had passed: another
    /// may have taken over, and everything it believes of workers is out of date.
    fn notice_freeze(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.leader.last_tick);
        let is_first = self.leader.last_tick.is_zero();
        self.leader.last_tick = now;
        if self.is_planning && !is_first && paused >= FROZEN {
            self.log(format!("paused for {} ms; plans no more", paused.as_millis()));
            self.resign();
        }
    }

    fn drive_lead_reads(&mut self, now: Duration) {
        let leader = &mut self.leader;
        if !leader.is_watching && leader.watched > 0 && now >= leader.watch_at {
            leader.is_watching = true;
            let prefix = keys::LEAD.to_owned();
            let (after, wait) = (leader.watched, options::WATCH_WAIT);
            let call = Call::WatchPrefix { prefix, after, wait };
            self.out.push(Effect::Store(Operation::LeadWatch, call));
        }
        let is_unsure = leader.watched == 0 || !self.view.is_fresh(now);
        if is_unsure && !self.is_planning && !leader.is_reading && now >= leader.read_at {
            leader.is_reading = true;
            let call = Call::Scan {
                prefix: keys::LEAD.to_owned(),
                after: String::new(),
                may_be_stale: false,
            };
            self.out.push(Effect::Store(Operation::Lead, call));
        }
    }

    pub(crate) fn lead_read(&mut self, now: Duration, reply: Reply) {
        self.leader.is_reading = false;
        self.leader.read_at = now + options::LEAD_READ;
        if let Reply::Items { items, revision, .. } = reply {
            let held = items.into_iter().find(|item| item.key == keys::LEAD);
            match held {
                Some(item) => self.lead_item(now, &item),
                None => self.vacant(now),
            }
            self.leader.watched = self.leader.watched.max(revision);
        }
    }

    pub(crate) fn lead_changed(&mut self, now: Duration, reply: Reply) {
        self.leader.is_watching = false;
        match reply {
            Reply::Changes { items, revision } => {
                self.leader.watched = self.leader.watched.max(revision);
                for item in items.iter().filter(|item| item.key == keys::LEAD) {
                    self.lead_item(now, item);
                }
            }
            Reply::HistoryGone => {
                self.leader.watched = 0;
                self.leader.read_at = now + options::WATCH_RETRY;
            }
            _ => self.leader.watch_at = now + options::WATCH_RETRY,
        }
    }

    fn lead_item(&mut self, now: Duration, item: &Item) {
        let Some(value) = &item.value else {
            self.vacant(now);
            return;
        };
        match Lead::decode(&value[..]) {
            Ok(lead) => self.follow(Lead { term: item.revision, ..lead }),
            Err(error) => self.log(format!("the planner's key can't be read: {error}")),
        }
    }

    /// Whether the holder of the planner's key was this entry before its process started. Name and
    /// address are one machine's, on which only one process can listen.
    fn is_earlier_life(&self, lead: &Lead) -> bool {
        lead.name == self.options.name
            && lead.address == self.options.address
            && lead.generation != self.options.generation
    }

    /// Frees the key that an earlier life of this entry holds.
    ///
    /// Guards against a second without a planner after each loss of power: the lease of a life
    /// that has ended runs on, up to 1.3 s, though its successor knows that nobody plans.
    fn give_back(&mut self, term: Revision) {
        if self.leader.given_back == term {
            return;
        }
        self.leader.given_back = term;
        self.log(format!("term={term} was held by an earlier life of this entry; given back"));
        let conditions = vec![Condition { key: keys::LEAD.to_owned(), revision: term }];
        let removes = vec![keys::LEAD.to_owned()];
        let call = Call::Commit { conditions, puts: Vec::new(), removes };
        self.out.push(Effect::Store(Operation::Release, call));
    }

    fn vacant(&mut self, now: Duration) {
        if self.leader.vacant.is_none() {
            self.leader.vacant = Some(now);
            self.log("nobody holds the planner's key".to_owned());
        }
    }

    /// Follows whoever has the highest term.
    pub(crate) fn follow(&mut self, lead: Lead) {
        let known = self.leader.lead.as_ref().map_or(0, |lead| lead.term);
        if lead.term < known {
            return;
        }
        if self.is_earlier_life(&lead) {
            self.give_back(lead.term);
            return;
        }
        if lead.term > known {
            self.log(format!("term={} planner={} at {}", lead.term, lead.name, lead.address));
            self.leader.vacant = None;
            self.leader.is_polling = false;
            self.view.tell_again();
            let is_other =
                lead.name != self.options.name || lead.generation != self.options.generation;
            if self.is_planning && is_other {
                self.resign();
            }
            self.leader.lead = Some(lead);
        }
    }

    /// Who plans, as far as is known.
    pub fn lead(&self) -> Option<&Lead> {
        self.leader.lead.as_ref()
    }

    fn drive_hold(&mut self, now: Duration) {
        let distance = self.store_time.min(DISTANCE);
        let leader = &mut self.leader;
        let may_take = !leader.is_leaving
            && leader.vacant.is_some_and(|vacant| now >= vacant + leader.stagger + distance);
        if let Some(call) = leader.holder.poll(now, may_take) {
            leader.hold_sent = now;
            self.out.push(Effect::Store(Operation::Hold, call));
        }
    }

    pub(crate) fn hold_answered(&mut self, now: Duration, sent: Duration, reply: Reply) {
        if matches!(reply, Reply::Conflict(_)) {
            self.leader.vacant = None;
            self.leader.read_at = now;
            self.leader.watched = 0;
        }
        match self.leader.holder.reply(now, sent, reply) {
            lease::Outcome::Same => {}
            // The write was under way when the process was told to end.
            lease::Outcome::Taken(_) if self.leader.is_leaving => self.resign(),
            lease::Outcome::Taken(term) => {
                self.leader.vacant = None;
                let lead = Lead {
                    name: self.options.name.clone(),
                    address: self.options.address.clone(),
                    term,
                    generation: self.options.generation,
                };
                self.is_planning = true;
                self.log(format!("term={term} begins here"));
                self.follow(lead);
                self.out.push(Effect::Plan(term));
            }
            lease::Outcome::Lapsed => {
                self.log("the planner's key has lapsed".to_owned());
                self.resign();
                self.vacant(now);
            }
        }
    }

    /// Gives up planning and the key.
    pub(crate) fn resign(&mut self) {
        if let Some(call) = self.leader.holder.release() {
            self.out.push(Effect::Store(Operation::Release, call));
            let value = Lead {
                name: self.options.name.clone(),
                address: self.options.address.clone(),
                term: 0,
                generation: self.options.generation,
            };
            let value = Bytes::from(value.encode_to_vec());
            self.leader.holder = lease::Holder::new(keys::LEAD, value, self.options.lead_lease);
        }
        if self.is_planning {
            self.is_planning = false;
            self.out.push(Effect::Resign);
        }
    }

    /// Another planner's write has been met.
    pub fn deposed(&mut self, now: Duration) -> Vec<Effect> {
        self.leader.watched = 0;
        self.leader.read_at = now;
        self.resign();
        std::mem::take(&mut self.out)
    }

    /// Whether a planner whose key could not be renewed in time is to stop: at once when others
    /// reach the store, since one of them has the key then or soon will; otherwise after a while.
    pub fn check_outage(
        &mut self,
        now: Duration,
        is_store_reached: impl FnOnce(Duration) -> bool,
    ) -> Vec<Effect> {
        if !self.is_planning || !self.leader.holder.is_stale(now) {
            self.stale_since = None;
            return Vec::new();
        }
        let since = *self.stale_since.get_or_insert(now);
        if is_store_reached(since) || now >= since + planner::MAX_STORE_OUTAGE {
            self.log("the planner's key can't be renewed; plans no more".to_owned());
            self.stale_since = None;
            self.resign();
        }
        std::mem::take(&mut self.out)
    }

    /// The process ends: the key is handed back at once, so that nobody waits for it to lapse.
    pub(crate) fn leave(&mut self) {
        self.leader.is_leaving = true;
        self.resign();
    }

    fn drive_feed(&mut self, now: Duration) {
        let Some(lead) = &self.leader.lead else {
            self.ask_lead(now);
            return;
        };
        if !self.leader.is_polling && now >= self.leader.ask_at {
            self.leader.is_polling = true;
            let (term, version) = self.view.position();
            let poll = FeedPoll {
                entry: self.options.name.clone(),
                address: self.options.address.clone(),
                term,
                version,
                store_age_ms: u64::try_from(self.reach.age(now).as_millis()).unwrap_or(u64::MAX),
            };
            let address = lead.address.clone();
            self.out.push(Effect::Feed { address, poll });
        }
        if let Some(lead) = &self.leader.lead
            && let Some(notice) = self.view.notice(now)
        {
            let address = lead.address.clone();
            self.out.push(Effect::Notice { address, notice: Box::new(notice) });
        }
        if !self.view.is_fresh(now) {
            self.ask_lead(now);
        }
    }

    fn ask_lead(&mut self, now: Duration) {
        if now < self.leader.ask_at || self.entries.is_empty() {
            return;
        }
        self.leader.ask_at = now + options::LEAD_PAUSE;
        self.leader.next_entry += 1;
        let address = self.entries[self.leader.next_entry % self.entries.len()].clone();
        if address != self.options.address {
            self.out.push(Effect::AskLead { address });
        }
    }

    pub(crate) fn fed(
        &mut self,
        now: Duration,
        sent: Duration,
        feed: Option<Box<sapphire_jobs::Feed>>,
    ) {
        self.leader.is_polling = false;
        let Some(feed) = feed else {
            self.leader.ask_at = now + options::LEAD_PAUSE;
            return;
        };
        if feed.term < self.leader.lead.as_ref().map_or(0, |lead| lead.term) {
            return;
        }
        if !feed.entries.is_empty() {
            self.entries.clone_from(&feed.entries);
            self.entries.extend(self.options.entries.iter().cloned());
        }
        let age = Duration::from_millis(feed.config_age_ms);
        self.relayed_proof(now, sent, feed.config_revision, age);
        self.view.feed(sent, *feed);
    }
}
