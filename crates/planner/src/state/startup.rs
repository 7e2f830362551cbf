//! State of the start of a term.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Expiry, Fleet, Member,
    remote_clock::RemoteClock,
    task::{JobId, WorkerName},
};
use sapphire_store::call::{Item, Revision};

use crate::unanswered::in_ms;

/// Phase of the start of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Reading,
    Recording,
    Serving,
}

/// Run time of a task that was completed under an earlier planner.
pub(crate) struct Sample {
    /// Unix time at which its job was accepted, in ms.
    pub(crate) accepted_ms: u64,
    pub(crate) job: JobId,
    pub(crate) step: u32,
    pub(crate) took: Duration,
}

/// State of the start of a term.
pub(crate) struct Startup {
    pub(crate) phase: Phase,
    pub(crate) began: Duration,
    /// Records that were read, except those of jobs.
    pub(crate) items: Vec<Item>,
    /// Last key of the pages that were read.
    pub(crate) after: String,
    /// Cancellations that were read, with their revisions.
    pub(crate) cancelled: BTreeMap<JobId, Revision>,
    /// Jobs that were left out, and have to be read again since earlier planners may have started them.
    pub(crate) begun: BTreeSet<JobId>,
    /// Run times of tasks that were completed under earlier planners.
    pub(crate) done: Vec<Sample>,
    /// Revision of the store at the first page; `None` before that page has arrived.
    pub(crate) first_revision: Option<Revision>,
    /// Time at which a page that got no reply is read again.
    pub(crate) retry_at: Option<Duration>,
    /// Ordinal number of this term, counted over all planners.
    pub(crate) term_number: u32,
    pub(crate) fleet_revision: Revision,
    /// Workers that the stored list should contain.
    pub(crate) members: BTreeMap<WorkerName, Member>,
    /// Workers that the stored list is known to contain, with the identifiers of their minions.
    pub(crate) recorded: BTreeMap<WorkerName, String>,
    /// The same of the list that is being written.
    pub(crate) recording: BTreeMap<WorkerName, String>,
    /// Workers that earlier planners gave tasks to and that have not been accounted for yet, with the
    /// time at which all that may run there is over.
    pub(crate) unaccounted: BTreeMap<WorkerName, Duration>,
    /// Those of them that have not been granted a lease for a while, with the first term of that time.
    pub(crate) silent: BTreeMap<WorkerName, Revision>,
    /// Workers that the stored list is to call silent, with the time at which all their leases are over.
    pub(crate) leases: BTreeMap<WorkerName, Duration>,
    /// A minion has carried out a call that was meant for an earlier incarnation of it, in this term or an
    /// earlier one.
    pub(crate) calls_outlive_incarnations: bool,
    /// Workers that the stored list may call silent, with the time at which all their leases are over as a
    /// successor would reckon at the earliest.
    pub(crate) recorded_silent: BTreeMap<WorkerName, Duration>,
    /// The same of the list that is being written.
    pub(crate) recording_silent: BTreeMap<WorkerName, Duration>,
    /// Terms that this entry has seen, each with a time at which it had begun.
    pub(crate) seen_terms: BTreeMap<Revision, Duration>,
    /// Clocks of the planners of terms, as far as this entry has heard of them.
    pub(crate) clocks: BTreeMap<Revision, RemoteClock>,
    /// Time of the latest search for inherited groups that can't go on.
    pub(crate) groups_checked_at: Duration,
    /// Time at which the agents of workers that have not reported were last asked to poll.
    pub(crate) asked_at: Duration,
    /// Time since which the planner serves.
    pub(crate) served_at: Option<Duration>,
    /// Their number in the latest log line, with the time of that line.
    pub(crate) unaccounted_logged: Option<(usize, Duration)>,
    /// The stored list of workers is out of date.
    pub(crate) is_fleet_dirty: bool,
    pub(crate) is_writing_fleet: bool,
    /// Time since which all orders of earlier planners are accounted for.
    pub(crate) recovered_at: Option<Duration>,
    /// The log of runs has all runs that earlier planners have ordered.
    pub(crate) are_runs_logged: bool,
    /// Workers were declared lost while starts of earlier terms may still have been carried out there
    /// without being known.
    pub(crate) has_lost_workers: bool,
}

impl Startup {
    pub(crate) fn new(now: Duration) -> Self {
        Startup {
            phase: Phase::Reading,
            began: now,
            items: Vec::new(),
            after: String::new(),
            cancelled: BTreeMap::new(),
            begun: BTreeSet::new(),
            done: Vec::new(),
            first_revision: None,
            retry_at: None,
            term_number: 0,
            fleet_revision: 0,
            members: BTreeMap::new(),
            recorded: BTreeMap::new(),
            recording: BTreeMap::new(),
            unaccounted: BTreeMap::new(),
            silent: BTreeMap::new(),
            leases: BTreeMap::new(),
            calls_outlive_incarnations: false,
            recorded_silent: BTreeMap::new(),
            recording_silent: BTreeMap::new(),
            seen_terms: BTreeMap::new(),
            clocks: BTreeMap::new(),
            groups_checked_at: Duration::ZERO,
            asked_at: now,
            served_at: None,
            unaccounted_logged: None,
            is_fleet_dirty: true,
            is_writing_fleet: false,
            recovered_at: None,
            are_runs_logged: false,
            has_lost_workers: false,
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns the time at which the term began.
    pub(crate) fn began(&self) -> Duration {
        self.began
    }

    pub(crate) fn is_recovered(&self) -> bool {
        self.recovered_at.is_some()
    }

    /// Returns whether a successor would know that it has to account for a worker with this minion,
    /// also if the list that is being written takes effect.
    pub(crate) fn is_recorded(&self, worker: &str, minion: &str) -> bool {
        let is_in = |list: &BTreeMap<WorkerName, String>| {
            list.get(worker).is_some_and(|recorded| recorded == minion)
        };
        is_in(&self.recorded) && (!self.is_writing_fleet || is_in(&self.recording))
    }

    /// Returns the time at which a successor would reckon, at the earliest, that all leases of a worker are
    /// over, if the stored list may call it silent, also if the list that is being written takes effect.
    pub(crate) fn recorded_lease_end(&self, worker: &str) -> Option<Duration> {
        let recording = self.recording_silent.get(worker).filter(|_| self.is_writing_fleet);
        self.recorded_silent.get(worker).into_iter().chain(recording).min().copied()
    }

    /// Returns the list of workers in the form in which it is stored in a term.
    pub(crate) fn fleet(&self, now: Duration, term: Revision) -> Fleet {
        let silent_since = |name: &WorkerName| {
            self.unaccounted.get(name).and_then(|_| self.silent.get(name)).copied().unwrap_or(0)
        };
        let lease = |name: &WorkerName| {
            let until = *self.leases.get(name)?;
            let clock_ms = u64::try_from(until.as_millis()).unwrap_or(u64::MAX);
            Some(Expiry { term, clock_ms, left_ms: in_ms(until) - in_ms(now) })
        };
        let member = |(name, member): (&WorkerName, &Member)| Member {
            silent_since: silent_since(name),
            lease: lease(name),
            ..member.clone()
        };
        Fleet {
            terms: self.term_number,
            members: self.members.iter().map(member).collect(),
            calls_outlive_incarnations: self.calls_outlive_incarnations,
        }
    }
}
