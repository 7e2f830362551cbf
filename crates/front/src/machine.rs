//! The state machine of an entry: dispatches events and store replies to the other modules.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::JobId;
use sapphire_planner::{event::Moment, keys};
use sapphire_store::call::{Call, Reply};

use crate::{
    answer::Answer,
    effect::Effect,
    event::{Caller, Event, Operation},
    options::{self, Options},
    reach::{Reachability, Way},
    state::{freshness::Freshness, leadership::Leadership, reads::Reads, writes::Writes},
    view::View,
};

/// Why a job is looked up in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The caller requested the job's state.
    State,
    /// The caller requested its cancellation, which is refused if the job doesn't exist.
    Cancel,
    /// The job is to be rejected, unless an earlier attempt of its caller was accepted.
    Reject { reason: &'static str, after: Duration },
}

/// A caller that waits for the result of a look-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lookup {
    pub(crate) caller: Caller,
    pub(crate) purpose: Purpose,
    /// When the look-up is abandoned.
    pub(crate) deadline: Duration,
}

/// A failed read for a look-up that is to be sent again.
#[derive(Clone, Debug)]
pub(crate) struct Retry {
    pub(crate) id: JobId,
    /// When it is due.
    pub(crate) at: Duration,
    pub(crate) operation: Operation,
    pub(crate) call: Call,
}

/// The state machine of an entry.
pub struct Machine {
    pub(crate) options: Options,
    pub(crate) freshness: Freshness,
    pub(crate) view: View,
    pub(crate) reach: Reachability,
    pub(crate) leadership: Leadership,
    pub(crate) writes: Writes,
    /// Callers that wait for look-ups, by job.
    pub(crate) lookups: BTreeMap<JobId, Vec<Lookup>>,
    /// Reads for look-ups that failed.
    pub(crate) retries: Vec<Retry>,
    pub(crate) reads: Reads,
    /// Latest time at which a caller was told to return that was rejected by share, by service and
    /// organisation.
    pub(crate) returns: BTreeMap<(String, String), Duration>,
    /// Addresses of all known entries.
    pub(crate) entries: Vec<String>,
    /// This entry is the leader and runs the planner.
    pub(crate) is_planning: bool,
    /// When this entry, still planning, found the lease on the leader key expired.
    pub(crate) stale_since: Option<Duration>,
    /// The process has been asked to terminate.
    pub(crate) is_terminating: bool,
    /// Shortest time from sending a read of the configuration or a freshness check to its reply,
    /// whether it succeeded or failed.
    pub(crate) min_store_latency: Duration,
    /// Effects collected for the next return value.
    pub(crate) effects: Vec<Effect>,
}

impl Machine {
    /// Creates an entry that knows neither jobs nor a configuration.
    pub fn new(options: Options) -> Self {
        Machine {
            freshness: Freshness::default(),
            view: View::default(),
            reach: Reachability::default(),
            leadership: Leadership::new(&options),
            writes: Writes::default(),
            lookups: BTreeMap::new(),
            retries: Vec::new(),
            reads: Reads::default(),
            returns: BTreeMap::new(),
            entries: options.entries.clone(),
            is_planning: false,
            stale_since: None,
            is_terminating: false,
            min_store_latency: Duration::MAX,
            effects: Vec::new(),
            options,
        }
    }

    /// Handles an event; returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let steady = now.steady;
        match event {
            Event::Request(caller, request) => {
                self.request(steady, now.unix, caller, *request);
            }
            Event::Disconnected(caller) => self.reads.remove_caller(caller),
            Event::Store { operation, sent, reply } => {
                self.store_replied(steady, operation, sent, reply);
            }
            Event::Feed { sent, feed } => self.feed_received(steady, sent, feed),
            Event::LeaderRefused(address) => self.leader_refused(&address),
            Event::Leader(leader) => self.follow(leader),
            Event::Terminate => {
                self.is_terminating = true;
                self.terminate();
            }
            Event::Tick => self.probe(steady),
        }
        self.expire_lookups(steady);
        self.drive_retries(steady);
        self.drive_reads(steady);
        self.drive_freshness(steady);
        self.drive_writes(steady);
        self.drive_leader(steady);
        std::mem::take(&mut self.effects)
    }

    /// Changes the time within which a revoked caller key must stop being served.
    pub fn set_revocation(&mut self, revocation: Duration) {
        self.options.revocation = revocation;
    }

    fn store_replied(&mut self, now: Duration, operation: Operation, sent: Duration, reply: Reply) {
        if matches!(operation, Operation::Catalog | Operation::Freshness) {
            self.min_store_latency = self.min_store_latency.min(now.saturating_sub(sent));
        }
        match operation {
            Operation::Catalog => self.catalog_read(now, sent, reply),
            Operation::Freshness => self.freshness_checked(now, sent, reply),
            Operation::CatalogWatch => self.catalog_changed(now, reply),
            Operation::Leader => self.leader_read(now, reply),
            Operation::LeaderWatch => self.leader_changed(now, reply),
            Operation::LeaderLease => self.lease_replied(now, sent, reply),
            Operation::Submit(_) | Operation::Cancel(_) | Operation::Tombstone(_) => {
                self.write_ended(now, &operation, reply);
            }
            Operation::LookUp(id) => self.job_looked_up(now, id, reply),
            Operation::LookUpProgress(id) => self.progress_looked_up(now, id, reply),
            Operation::LookUpCancel(id) => self.cancel_looked_up(now, id, reply),
            Operation::Probe | Operation::LeaderRelease => {}
        }
    }

    fn probe(&mut self, now: Duration) {
        if self.reach.is_probe_due(now) {
            let call = Call::Get { key: keys::FLEET.to_owned() };
            self.effects.push(Effect::Store(Operation::Probe, call));
        }
    }

    /// Chooses the way of the next call to the store. Watches and probes are always direct: a
    /// relayed watch would occupy a connection of the relaying entry.
    pub fn way(&mut self, is_direct_only: bool) -> Way {
        if is_direct_only {
            return Way::Straight;
        }
        let own = &self.options.address;
        let others: Vec<String> =
            self.entries.iter().filter(|entry| *entry != own).cloned().collect();
        self.reach.way(&others)
    }

    /// Records whether a call to the store that was not a watch got an answer.
    pub fn record_call(&mut self, now: Duration, way: &Way, is_answered: bool) -> Vec<Effect> {
        self.reach.record_any(now, is_answered);
        if let Way::Through(entry) = way {
            self.reach.record_relayed(entry, is_answered);
        }
        if *way == Way::Straight && self.reach.record_direct(now, is_answered) {
            let change = if is_answered {
                "answers direct calls again"
            } else {
                "does not answer direct calls; relaying calls through other entries, if any"
            };
            self.log(format!("store {change}"));
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether callers should be directed to this entry.
    pub fn is_ready(&self, now: Duration) -> bool {
        let max_age = self.options.revocation.min(options::READY_MAX_AGE);
        let is_verified = self.freshness.age(now).is_some_and(|age| age < max_age);
        !self.is_terminating && is_verified && self.view.has_feed()
    }

    /// Whether no caller waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.writes.len() == 0 && self.lookups.is_empty() && self.reads.is_empty()
    }

    pub(crate) fn answer(&mut self, caller: Caller, answer: Answer) {
        self.effects.push(Effect::Answer(caller, answer));
    }

    pub(crate) fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }
}
