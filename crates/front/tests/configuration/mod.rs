//! The configuration in force: how it is proven, watched and read.

use bytes::Bytes;
use sapphire_front::{
    answer::{Action, Answer},
    event::{Event, Operation},
};
use sapphire_jobs::Feed;
use sapphire_store::call::{Call, Item, Reply, Value};

use crate::harness::{Bench, CONFIG, REVOCATION, is_refused, ms, submit};

/// Someone whose key was taken away goes on being served. The entry is cut off from the store and
/// from the planner, so it never hears of the change; it has to stop by itself before the bound.
#[test]
fn a_key_is_served_only_with_a_young_proof() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/", "k", Action::Read), Some(Answer::Pending(0)));
    assert_eq!(bench.ask(5_500, "/q/", "k", Action::Read), Some(Answer::Pending(0)));
    let late = bench.ask(1_000 + REVOCATION, "/q/", "k", Action::Read);
    assert!(is_refused(late.as_ref()), "{late:?}");
}

/// The proof's age counts from when it was asked for. An answer that was held up for four
/// seconds proves nothing of the time since.
#[test]
fn a_proof_that_comes_late_is_old() {
    let mut bench = Bench::configured(1_000);
    bench.store(6_500, 2_000, Operation::Proof, Reply::Committed(9));
    let answer = bench.ask(6_900, "/q/", "k", Action::Read);
    assert!(is_refused(answer.as_ref()), "{answer:?}");
}

/// A caller who was served under the newest configuration is refused as by an older one: a copy
/// that was under way for long arrives after the newer one.
#[test]
fn the_configuration_never_goes_back() {
    let mut bench = Bench::configured(1_000);
    bench.config(1_200, 1_200, 9, "k new");
    bench.config(1_300, 1_100, 7, "k");
    let older = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision: 8 };
    let changes = Reply::Changes { items: vec![older], revision: 8 };
    bench.store(1_400, 1_000, Operation::CatalogWatch, changes);
    assert_eq!(bench.ask(1_500, "/q/", "new", Action::Read), Some(Answer::Pending(0)));
}

#[test]
fn an_unknown_key_or_queue_is_told_only_when_the_configuration_is_recent() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/", "other", Action::Read), Some(Answer::NoKey));
    assert_eq!(bench.ask(1_100, "/x/", "k", Action::Read), Some(Answer::NoQueue));
    assert!(is_refused(bench.ask(3_500, "/q/", "other", Action::Read).as_ref()));
    assert!(is_refused(bench.ask(3_500, "/x/", "k", Action::Read).as_ref()));
}

/// Callers are refused for a moment after each change of the configuration, everywhere. A watch
/// brings the change before the next proof, and the proof of the one before was thrown away.
/// What was the newest then is older than the one now in force, so the proof still holds, and
/// runs out when it would have.
#[test]
fn a_new_configuration_keeps_the_proof_of_the_one_before() {
    let mut bench = Bench::configured(1_000);
    let item = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision: 8 };
    let changes = Reply::Changes { items: vec![item], revision: 8 };
    bench.store(1_500, 1_400, Operation::CatalogWatch, changes);
    assert_eq!(bench.ask(1_501, "/q/1", "k", submit()), None);
    let late = bench.ask(1_000 + REVOCATION - 300, "/q/2", "k", submit());
    assert!(is_refused(late.as_ref()), "{late:?}");
}

/// Revisions from which the configuration has been watched, in order.
fn watched_from(bench: &Bench) -> Vec<u64> {
    let watches = bench.sent.iter().filter_map(|call| match call {
        Call::WatchPrefix { prefix, after, .. } if prefix == CONFIG => Some(*after),
        _ => None,
    });
    watches.collect()
}

/// Guards against a watch that asks for history which the store has dropped since the
/// configuration was written.
#[test]
fn a_watch_of_the_configuration_goes_on_from_where_the_last_one_ended() {
    let mut bench = Bench::configured(1_000);
    let nothing = Reply::Changes { items: Vec::new(), revision: 90 };
    bench.store(26_000, 1_000, Operation::CatalogWatch, nothing);
    assert_eq!(watched_from(&bench).last(), Some(&90));
}

/// Guards against a watch that is turned down and sent again before it is known from where it can
/// go on.
#[test]
fn a_watch_whose_history_is_gone_waits_until_it_can_go_on() {
    let mut bench = Bench::configured(1_000);
    let before = watched_from(&bench).len();
    for time in (2_000..2_200).step_by(10) {
        bench.store(time, time, Operation::CatalogWatch, Reply::HistoryGone);
    }
    assert_eq!(watched_from(&bench).len(), before);
}

/// Guards against reading the whole configuration each time that the store has dropped the history
/// after it, though it is the same.
#[test]
fn a_proof_tells_from_where_a_watch_can_go_on() {
    let mut bench = Bench::configured(1_000);
    let reads = |bench: &Bench| bench.calls.iter().filter(|it| **it == Operation::Catalog).count();
    let before = reads(&bench);
    bench.store(2_000, 1_900, Operation::CatalogWatch, Reply::HistoryGone);
    assert_eq!(bench.calls.last(), Some(&Operation::Proof));
    bench.store(2_010, 2_000, Operation::Proof, Reply::Committed(90));
    assert_eq!(watched_from(&bench).last(), Some(&90));
    assert_eq!(reads(&bench), before);
}

fn count(bench: &Bench, operation: &Operation) -> usize {
    bench.calls.iter().filter(|call| *call == operation).count()
}

/// News from a planner that has proven a revision of the configuration.
fn proven(version: u64, config_revision: u64) -> Option<Box<Feed>> {
    Some(Box::new(Feed { term: 1, version, config_revision, ..Feed::default() }))
}

fn changed(revision: u64) -> Reply {
    let item = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision };
    Reply::Changes { items: vec![item], revision }
}

/// Guards against a large configuration that fills a link two or three times at once: by a watch,
/// by a read, and by a proof of the one before, whose refusal brings the new one.
#[test]
fn a_change_that_a_watch_is_bringing_is_not_fetched_as_well() {
    let mut bench = Bench::configured(1_000);
    let (reads, proofs) = (count(&bench, &Operation::Catalog), count(&bench, &Operation::Proof));
    bench.tell(3_000, Event::Feed { sent: ms(2_990), feed: proven(2, 9) });
    for time in (3_050..3_450).step_by(50) {
        bench.tell(time, Event::Tick);
    }
    bench.store(3_450, 1_000, Operation::CatalogWatch, changed(9));
    bench.tell(3_600, Event::Tick);
    assert_eq!(count(&bench, &Operation::Catalog), reads);
    assert!(count(&bench, &Operation::Proof) <= proofs + 1, "the new one may be proven");
}

/// Guards against a change that is missed because the watch for it has gone silent.
#[test]
fn a_change_that_a_watch_does_not_bring_is_read() {
    let mut bench = Bench::configured(1_000);
    let reads = count(&bench, &Operation::Catalog);
    bench.tell(1_500, Event::Feed { sent: ms(1_490), feed: proven(2, 9) });
    for time in (1_550..2_050).step_by(50) {
        bench.tell(time, Event::Tick);
    }
    assert_eq!(count(&bench, &Operation::Catalog), reads + 1);
    bench.config(2_100, 2_000, 9, "k");
    bench.tell(2_400, Event::Tick);
    assert_eq!(count(&bench, &Operation::Catalog), reads + 1);
}

/// Guards against a configuration that can't be read and is fetched again several times a second.
#[test]
fn a_configuration_that_cannot_be_read_is_fetched_seldom() {
    let mut bench = Bench::configured(1_000);
    let calls = |bench: &Bench| count(bench, &Operation::Catalog) + count(bench, &Operation::Proof);
    let before = calls(&bench);
    let value = Some(Bytes::from_static(&[0xff]));
    let item = || Item { key: CONFIG.to_owned(), value: value.clone(), revision: 9 };
    bench.store(1_500, 1_400, Operation::Proof, Reply::Refused(vec![item()]));
    let mut answered = calls(&bench);
    for time in (1_550..5_550).step_by(50) {
        bench.tell(time, Event::Tick);
        if calls(&bench) > answered {
            answered = calls(&bench);
            let (operation, reply) = match bench.calls.last() {
                Some(Operation::Proof) => (Operation::Proof, Reply::Refused(vec![item()])),
                _ => {
                    let bytes = value.clone().expect("it has one");
                    (Operation::Catalog, Reply::Value(Value { revision: 9, bytes }))
                }
            };
            bench.store(time, time, operation, reply);
        }
    }
    assert!(calls(&bench) <= before + 2, "{} calls in 4 s", calls(&bench) - before);
}
