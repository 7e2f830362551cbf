//! The entry's state.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::JobId;
use sapphire_planner::{event::Moment, keys};
use sapphire_store::call::{Call, Reply};

use crate::{
    answer::Answer,
    effect::Effect,
    event::{Caller, Event, Operation},
    options::{self, Options},
    reach::{Reach, Way},
    state::{freshness::Freshness, leadership::Leadership, reads::Reads, writes::Writes},
    view::View,
};

/// Why a job is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    State,
    Cancel,
    /// Whether a job that is to be turned away was taken in by an earlier try.
    TurnAway {
        reason: &'static str,
        after: Duration,
    },
}

/// A caller that waits for a look-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lookup {
    pub(crate) caller: Caller,
    pub(crate) wanted: Wanted,
    pub(crate) deadline: Duration,
}

/// A read for a look-up that is sent again.
#[derive(Clone, Debug)]
pub(crate) struct Retry {
    pub(crate) id: JobId,
    pub(crate) at: Duration,
    pub(crate) operation: Operation,
    pub(crate) call: Call,
}

/// The entry.
pub struct Machine {
    pub(crate) options: Options,
    pub(crate) fresh: Freshness,
    pub(crate) view: View,
    pub(crate) reach: Reach,
    pub(crate) leader: Leadership,
    pub(crate) writes: Writes,
    pub(crate) lookups: BTreeMap<JobId, Vec<Lookup>>,
    /// Reads for look-ups that had no answer.
    pub(crate) retries: Vec<Retry>,
    pub(crate) reads: Reads,
    /// Other entries.
    pub(crate) entries: Vec<String>,
    pub(crate) is_planning: bool,
    pub(crate) stale_since: Option<Duration>,
    pub(crate) is_leaving: bool,
    /// Shortest time in which the store has answered.
    pub(crate) store_time: Duration,
    pub(crate) out: Vec<Effect>,
}

impl Machine {
    /// An entry that knows of nothing.
    pub fn new(options: Options) -> Self {
        Machine {
            fresh: Freshness::default(),
            view: View::default(),
            reach: Reach::default(),
            leader: Leadership::new(&options),
            writes: Writes::default(),
            lookups: BTreeMap::new(),
            retries: Vec::new(),
            reads: Reads::default(),
            entries: options.entries.clone(),
            is_planning: false,
            stale_since: None,
            is_leaving: false,
            store_time: Duration::MAX,
            out: Vec::new(),
            options,
        }
    }

    /// Takes an event; returns what is to be done.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let steady = now.steady;
        match event {
            Event::Request(caller, request) => {
                self.request(steady, now.unix, caller, *request);
            }
            Event::Left(caller) => self.reads.left(caller),
            Event::Store { operation, sent, reply } => {
                self.stored(steady, operation, sent, reply);
            }
            Event::Feed { sent, feed } => self.fed(steady, sent, feed),
            Event::Lead(lead) => self.follow(lead),
            Event::Terminate => {
                self.is_leaving = true;
                self.leave();
            }
            Event::Tick => self.probe(steady),
        }
        self.give_up_lookups(steady);
        self.drive_retries(steady);
        self.drive_reads(steady);
        self.drive_freshness(steady);
        self.drive_writes(steady);
        self.drive_leader(steady);
        std::mem::take(&mut self.out)
    }

    /// Takes over a changed bound.
    pub fn set_revocation(&mut self, revocation: Duration) {
        self.options.revocation = revocation;
    }

    fn stored(&mut self, now: Duration, operation: Operation, sent: Duration, reply: Reply) {
        if matches!(operation, Operation::Catalog | Operation::Proof) {
            self.store_time = self.store_time.min(now.saturating_sub(sent));
        }
        match operation {
            Operation::Catalog => self.catalog_read(now, sent, reply),
            Operation::Proof => self.proof_read(now, sent, reply),
            Operation::CatalogWatch => self.catalog_changed(now, reply),
            Operation::Lead => self.lead_read(now, reply),
            Operation::LeadWatch => self.lead_changed(now, reply),
            Operation::Hold => self.hold_answered(now, sent, reply),
            Operation::Submit(_) | Operation::Cancel(_) => self.written(now, &operation, reply),
            Operation::LookUp(id) => self.looked_up(now, id, reply),
            Operation::LookUpProgress(id) => self.progress_looked_up(now, id, reply),
            Operation::LookUpCancel(id) => self.cancel_looked_up(now, id, reply),
            Operation::Probe | Operation::Release => {}
        }
    }

    fn probe(&mut self, now: Duration) {
        if self.reach.is_probe_due(now) {
            let call = Call::Get { key: keys::FLEET.to_owned() };
            self.out.push(Effect::Store(Operation::Probe, call));
        }
    }

    /// The way that a call to the store takes. Watches and probes go straight: a watch through
    /// another entry would hold a connection there.
    pub fn way(&mut self, is_straight_only: bool) -> Way {
        if is_straight_only {
            return Way::Straight;
        }
        let own = &self.options.address;
        let others: Vec<String> =
            self.entries.iter().filter(|entry| *entry != own).cloned().collect();
        self.reach.way(&others)
    }

    /// Notes how a call to the store ended that was no watch.
    pub fn note_call(&mut self, now: Duration, way: &Way, is_answered: bool) -> Vec<Effect> {
        self.reach.note_any(now, is_answered);
        if let Way::Through(entry) = way {
            self.reach.note_through(entry, is_answered);
        }
        if *way == Way::Straight && self.reach.note(now, is_answered) {
            let verb = if is_answered { "reached again" } else { "lost; asking through entries" };
            self.log(format!("store {verb}"));
        }
        std::mem::take(&mut self.out)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self, now: Duration) -> bool {
        let most = self.options.revocation.min(options::READY_PROOF);
        let has_proof = self.fresh.age(now).is_some_and(|age| age < most);
        !self.is_leaving && has_proof && self.view.is_fed()
    }

    /// Whether anybody waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.writes.len() == 0 && self.lookups.is_empty() && self.reads.is_empty()
    }

    pub(crate) fn answer(&mut self, caller: Caller, answer: Answer) {
        self.out.push(Effect::Answer(caller, answer));
    }

    pub(crate) fn log(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }
}
