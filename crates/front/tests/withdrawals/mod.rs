//! Tests of cancellations of jobs that their entry doesn't know, against submissions of the same jobs at
//! other entries.

mod store;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_front::{
    answer::{Action, Answer},
    event::{Event, Operation},
};
use sapphire_planner::keys;
use sapphire_store::call::{Call, Reply};

use self::store::Store;
use crate::harness::{Fixture, MAX_TOMBSTONES, is_refused, submit_one_step};

/// Takes the calls that concern jobs.
fn take_calls(entry: &mut Fixture) -> Vec<(Operation, Call)> {
    let calls = std::mem::take(&mut entry.calls).into_iter().zip(std::mem::take(&mut entry.sent));
    let is_of_job = |operation: &Operation| {
        matches!(
            operation,
            Operation::Submit(_)
                | Operation::Cancel(_)
                | Operation::Tombstone(_)
                | Operation::LookUp(_)
        )
    };
    calls.filter(|(operation, _)| is_of_job(operation)).collect()
}

/// Carries out calls and delivers the replies until there are no further ones.
fn settle(entry: &mut Fixture, now: u64, store: &mut Store) {
    loop {
        let calls = take_calls(entry);
        if calls.is_empty() {
            return;
        }
        for (operation, call) in calls {
            let reply = store.call(&call);
            entry.store_reply(now, now, operation, reply);
        }
    }
}

/// Cancels job 1 at an entry that reaches the store, and returns the answer.
fn cancel(entry: &mut Fixture, now: u64, store: &mut Store) -> Option<Answer> {
    entry.request(now, "/q/1", "k", Action::Cancel);
    settle(entry, now, store);
    entry.last_answer()
}

/// Submits job 1 at an entry that reaches the store, and returns the answer.
fn submit(entry: &mut Fixture, now: u64, store: &mut Store) -> Option<Answer> {
    entry.request(now, "/q/1", "k", submit_one_step());
    settle(entry, now, store);
    entry.last_answer()
}

/// Guards against a job that runs although its cancellation was acknowledged: another entry was paused
/// with the submission unread, or the submission arrives again later.
#[test]
fn a_submission_that_is_read_after_the_cancellation_is_rejected() {
    let (mut store, mut paused, mut other) =
        (Store::default(), Fixture::configured(1_000), Fixture::configured(1_000));
    assert_eq!(cancel(&mut other, 1_100, &mut store), Some(Answer::NoJob));
    for (entry, now) in [(&mut paused, 1_500), (&mut other, 1_600)] {
        let answer = submit(entry, now, &mut store);
        assert!(is_refused(answer.as_ref()), "{answer:?}");
        assert!(!store.contains(&keys::job("1")));
    }
}

/// Guards against the same when the write of the submission is carried out late.
#[test]
fn a_submission_that_is_written_after_the_cancellation_is_rejected() {
    let (mut store, mut first, mut other) =
        (Store::default(), Fixture::configured(1_000), Fixture::configured(1_000));
    first.request(1_100, "/q/1", "k", submit_one_step());
    let (operation, call) = take_calls(&mut first).pop().expect("the job is written");
    let unknown = Reply::Unavailable("no answer".to_owned());
    first.store_reply(1_500, 1_100, operation, unknown);
    assert_eq!(cancel(&mut other, 1_600, &mut store), Some(Answer::NoJob));
    store.call(&call);
    assert!(!store.contains(&keys::job("1")));
    first.handle(1_700, Event::Tick);
    settle(&mut first, 1_700, &mut store);
    assert!(is_refused(first.last_answer().as_ref()), "{:?}", first.last_answer());
}

/// Guards against a cancellation that is lost because the entry doesn't know the job yet.
#[test]
fn a_job_that_another_entry_has_stored_is_cancelled() {
    let (mut store, mut first, mut other) =
        (Store::default(), Fixture::configured(1_000), Fixture::configured(1_000));
    assert_eq!(submit(&mut first, 1_100, &mut store), Some(Answer::Accepted));
    assert_eq!(cancel(&mut other, 1_150, &mut store), Some(Answer::Cancelled));
    assert!(store.contains(&keys::cancel("1")));
    assert_eq!(submit(&mut other, 1_200, &mut store), Some(Answer::Accepted), "one job");
}

/// Guards against an acknowledgement that is given before anything bars the job: the answer of the store
/// is lost.
#[test]
fn a_cancellation_is_acknowledged_only_once_it_is_stored() {
    let mut entry = Fixture::configured(1_000);
    entry.request(1_100, "/q/1", "k", Action::Cancel);
    for (operation, _) in take_calls(&mut entry) {
        entry.store_reply(1_200, 1_100, operation, Reply::Unavailable("none".to_owned()));
    }
    assert_eq!(entry.last_answer(), None);
    entry.handle(9_000, Event::Tick);
    assert!(!matches!(entry.last_answer(), Some(Answer::NoJob | Answer::Cancelled) | None));
}

/// Guards against a repeated cancellation that never ends, and against a job that is shown though nobody
/// may run it.
#[test]
fn a_cancelled_submission_does_not_exist() {
    let (mut store, mut entry) = (Store::default(), Fixture::configured(1_000));
    for now in [1_100, 1_200] {
        assert_eq!(cancel(&mut entry, now, &mut store), Some(Answer::NoJob));
    }
    entry.request(1_300, "/q/1", "k", Action::Read);
    settle(&mut entry, 1_300, &mut store);
    assert_eq!(entry.last_answer(), Some(Answer::NoJob));
    assert!(is_refused(submit(&mut entry, 1_400, &mut store).as_ref()));
    assert_eq!(entry.request(1_500, "/q/", "k", Action::Read), Some(Answer::Pending(0)));
}

/// Guards against jobs that are rejected or never written because one of the same write was cancelled.
#[test]
fn jobs_that_are_written_together_with_a_cancelled_one_are_accepted() {
    let (mut store, mut entry, mut other) =
        (Store::default(), Fixture::configured(1_000), Fixture::configured(1_000));
    assert_eq!(cancel(&mut other, 1_050, &mut store), Some(Answer::NoJob));
    // The first writes are in flight until the other jobs have arrived.
    for id in (2..30).chain([1]) {
        entry.request(1_100, &format!("/q/{id}"), "k", submit_one_step());
    }
    let in_flight = take_calls(&mut entry);
    assert!(in_flight.len() < 28, "{}", in_flight.len());
    for (operation, call) in in_flight {
        let reply = store.call(&call);
        entry.store_reply(1_200, 1_100, operation, reply);
    }
    settle(&mut entry, 1_200, &mut store);
    let accepted = entry.answers.iter().filter(|(_, answer)| *answer == Answer::Accepted).count();
    assert_eq!((accepted, entry.answers.len()), (28, 29));
    assert!(is_refused(entry.last_answer().as_ref()));
}

/// Guards against a write that the store rejects for its number of rows.
#[test]
fn no_write_has_more_rows_than_the_store_accepts() {
    let mut entry = Fixture::configured(1_000);
    for id in 0..100 {
        entry.request(1_100, &format!("/q/{id}"), "k", submit_one_step());
    }
    for round in 0..20 {
        for (operation, call) in take_calls(&mut entry) {
            let Call::Commit { conditions, puts, removes } = call else { panic!("{call:?}") };
            assert!(conditions.len() + puts.len() + removes.len() <= 32);
            entry.store_reply(1_110 + round, 1_100, operation, Reply::Committed(9));
        }
    }
    assert_eq!(entry.answers.len(), 100);
}

/// Guards against a client that fills the store with cancellations of jobs that don't exist, and against
/// jobs that can't be cancelled meanwhile.
#[test]
fn cancellations_of_jobs_that_do_not_exist_are_bounded() {
    let (mut store, mut entry, mut other) =
        (Store::default(), Fixture::configured(1_000), Fixture::configured(1_000));
    assert_eq!(submit(&mut other, 1_050, &mut store), Some(Answer::Accepted));
    let unknown = |entry: &mut Fixture, store: &mut Store, now: u64, first: usize| {
        entry.answers.clear();
        for id in first..first + MAX_TOMBSTONES * 4 {
            entry.store_reply(now, now, Operation::Freshness, Reply::Committed(9));
            entry.request(now, &format!("/q/x{id}"), "k", Action::Cancel);
            if id % 7 == 0 {
                settle(entry, now, store);
            }
        }
        settle(entry, now, store);
        let is =
            |wanted: fn(&Answer) -> bool| entry.answers.iter().filter(|it| wanted(&it.1)).count();
        (is(|it| *it == Answer::NoJob), is(|it| is_refused(Some(it))))
    };
    let (absent, refused) = unknown(&mut entry, &mut store, 1_100, 0);
    assert_eq!((absent, refused), (MAX_TOMBSTONES, MAX_TOMBSTONES * 3));
    assert_eq!(store.count(&keys::cancel("")), MAX_TOMBSTONES);
    assert_eq!(cancel(&mut entry, 1_200, &mut store), Some(Answer::Cancelled));
    // Those of the beginning are gone from the store by now.
    assert_eq!(unknown(&mut entry, &mut store, 110_000, 1_000).0, 0);
    assert_eq!(unknown(&mut entry, &mut store, 125_000, 2_000).0, MAX_TOMBSTONES);
}

/// What callers were told of a job.
#[derive(Debug, Default)]
struct Told {
    is_cancelled: bool,
    /// The job doesn't exist, or was never accepted because it is cancelled.
    is_absent: bool,
}

/// Entries, a store that carries out calls late or not at all, and what callers were told.
struct World {
    rng: Pcg32,
    store: Store,
    entries: Vec<Fixture>,
    /// Calls on their way to the store, with their entry and whether that still waits for the reply.
    calls: Vec<(usize, Operation, Call, bool)>,
    /// Requests that their entry has not read yet.
    unread: Vec<(usize, String, bool)>,
    /// Requests by entry and caller: the job, and whether it cancels.
    requests: BTreeMap<(usize, u64), (String, bool)>,
    told: BTreeMap<String, Told>,
    now: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        World {
            rng: Pcg32::seed_from_u64(seed),
            store: Store::default(),
            entries: (0..3).map(|_| Fixture::configured(1_000)).collect(),
            calls: Vec::new(),
            unread: Vec::new(),
            requests: BTreeMap::new(),
            told: BTreeMap::new(),
            now: 1_000,
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..120);
        let entry = self.rng.random_range(0..self.entries.len());
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let (id, cancels) = (self.rng.random_range(0..4), self.rng.random_bool(0.4));
                self.unread.push((entry, id.to_string(), cancels));
            }
            2 | 3 if !self.unread.is_empty() => self.read_request(),
            4..=6 if !self.calls.is_empty() => self.carry_out(),
            _ => self.entries[entry].handle(self.now, Event::Tick),
        }
        self.collect_calls();
        self.record_answers();
        for (id, told) in &self.told {
            let is_stored = self.store.contains(&keys::job(id));
            let is_barred = self.store.contains(&keys::cancel(id));
            assert!(!told.is_cancelled || !is_stored || is_barred, "{id} runs: {told:?}");
            assert!(!told.is_absent || !is_stored, "{id} exists: {told:?}");
        }
    }

    fn read_request(&mut self) {
        let at = self.rng.random_range(0..self.unread.len());
        let (entry, id, cancels) = self.unread.swap_remove(at);
        let fixture = &mut self.entries[entry];
        fixture.store_reply(self.now, self.now, Operation::Freshness, Reply::Committed(9));
        let action = if cancels { Action::Cancel } else { submit_one_step() };
        self.requests.insert((entry, fixture.caller + 1), (id.clone(), cancels));
        fixture.request(self.now, &format!("/q/{id}"), "k", action);
    }

    /// Carries out a call, or only lets its entry go on without a reply: it may be carried out later.
    fn carry_out(&mut self) {
        let at = self.rng.random_range(0..self.calls.len());
        let (entry, operation, call, is_awaited) = self.calls[at].clone();
        let fixture = &mut self.entries[entry];
        if is_awaited && self.rng.random_bool(0.4) {
            self.calls[at].3 = false;
            let unknown = Reply::Unavailable("no answer".to_owned());
            fixture.store_reply(self.now, self.now, operation, unknown);
            return;
        }
        self.calls.swap_remove(at);
        let reply = self.store.call(&call);
        if is_awaited {
            fixture.store_reply(self.now, self.now, operation, reply);
        }
    }

    fn collect_calls(&mut self) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let calls = take_calls(entry).into_iter();
            self.calls.extend(calls.map(|(operation, call)| (number, operation, call, true)));
        }
    }

    fn record_answers(&mut self) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for (caller, answer) in std::mem::take(&mut entry.answers) {
                let Some((id, cancels)) = self.requests.remove(&(number, caller)) else { continue };
                let told = self.told.entry(id.clone()).or_default();
                match answer {
                    Answer::Cancelled => told.is_cancelled = true,
                    Answer::NoJob => (told.is_cancelled, told.is_absent) = (true, true),
                    Answer::Accepted => {
                        assert!(!cancels && self.store.contains(&keys::job(&id)), "{id}");
                    }
                    Answer::NotDone { reason, .. } if reason.contains("cancelled") => {
                        told.is_absent = true;
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Guards against an acknowledged cancellation that doesn't bar its job, and against answers about the job
/// that aren't true, in any order of requests and calls to the store.
#[test]
fn no_order_of_calls_stores_a_job_whose_cancellation_was_acknowledged() {
    let mut answers = BTreeSet::new();
    for seed in 0..400 {
        let mut world = World::new(seed);
        for _ in 0..200 {
            world.step();
        }
        answers.extend(world.told.values().map(|told| (told.is_cancelled, told.is_absent)));
    }
    assert_eq!(answers.len(), 4, "each outcome occurs: {answers:?}");
}
