//! Tests of how the configuration is read, watched and verified to be the newest.

use bytes::Bytes;
use sapphire_front::{
    answer::{Action, Answer},
    event::{Event, Operation},
};
use sapphire_jobs::Feed;
use sapphire_store::call::{Call, Item, Reply, Value};

use crate::harness::{CONFIG, Fixture, REVOCATION, is_refused, ms, submit_one_step};

/// Guards against serving a revoked caller key. An entry that is partitioned from the store and
/// from the leader never learns of the revocation; it has to stop by itself within the revocation
/// time.
#[test]
fn a_key_is_served_only_after_a_recent_freshness_check() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/", "k", Action::Read), Some(Answer::Pending(0)));
    assert_eq!(fixture.request(5_500, "/q/", "k", Action::Read), Some(Answer::Pending(0)));
    let late = fixture.request(1_000 + REVOCATION, "/q/", "k", Action::Read);
    assert!(is_refused(late.as_ref()), "{late:?}");
}

/// The age of a freshness check counts from when it was sent. A reply that was delayed by four
/// seconds says nothing about the time since.
#[test]
fn a_freshness_check_counts_from_when_it_was_sent() {
    let mut fixture = Fixture::configured(1_000);
    fixture.store_reply(6_500, 2_000, Operation::Freshness, Reply::Committed(9));
    let answer = fixture.request(6_900, "/q/", "k", Action::Read);
    assert!(is_refused(answer.as_ref()), "{answer:?}");
}

/// Guards against a caller that is refused under an older configuration after it was served under a
/// newer one: a delayed copy of the older one arrives after the newer one.
#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut fixture = Fixture::configured(1_000);
    fixture.catalog_reply(1_200, 1_200, 9, "k new");
    fixture.catalog_reply(1_300, 1_100, 7, "k");
    let older = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision: 8 };
    let changes = Reply::Changes { items: vec![older], revision: 8 };
    fixture.store_reply(1_400, 1_000, Operation::CatalogWatch, changes);
    assert_eq!(fixture.request(1_500, "/q/", "new", Action::Read), Some(Answer::Pending(0)));
}

#[test]
fn an_unknown_key_or_queue_is_reported_only_when_the_configuration_is_recent() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/", "other", Action::Read), Some(Answer::NoKey));
    assert_eq!(fixture.request(1_100, "/x/", "k", Action::Read), Some(Answer::NoQueue));
    assert!(is_refused(fixture.request(3_500, "/q/", "other", Action::Read).as_ref()));
    assert!(is_refused(fixture.request(3_500, "/x/", "k", Action::Read).as_ref()));
}

/// Guards against callers that all entries refuse for a moment after each change of the
/// configuration. A watch delivers the change before the next freshness check, and the check of the
/// previous configuration was discarded. That check also holds for the new configuration, which did
/// not exist yet at that time, and expires when it would have expired anyway.
#[test]
fn a_new_configuration_keeps_the_freshness_check_of_the_previous_one() {
    let mut fixture = Fixture::configured(1_000);
    let item = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision: 8 };
    let changes = Reply::Changes { items: vec![item], revision: 8 };
    fixture.store_reply(1_500, 1_400, Operation::CatalogWatch, changes);
    assert_eq!(fixture.request(1_501, "/q/1", "k", submit_one_step()), None);
    let late = fixture.request(1_000 + REVOCATION - 300, "/q/2", "k", submit_one_step());
    assert!(is_refused(late.as_ref()), "{late:?}");
}

/// Revisions at which the watches of the configuration have started, in order.
fn watched_from(fixture: &Fixture) -> Vec<u64> {
    let watches = fixture.sent.iter().filter_map(|call| match call {
        Call::WatchPrefix { prefix, after, .. } if prefix == CONFIG => Some(*after),
        _ => None,
    });
    watches.collect()
}

/// Guards against a watch that requests history which the store has dropped since the configuration
/// was written.
#[test]
fn a_watch_of_the_configuration_resumes_where_the_last_one_ended() {
    let mut fixture = Fixture::configured(1_000);
    let nothing = Reply::Changes { items: Vec::new(), revision: 90 };
    fixture.store_reply(26_000, 1_000, Operation::CatalogWatch, nothing);
    assert_eq!(watched_from(&fixture).last(), Some(&90));
}

/// Guards against a watch that is rejected and sent again before a revision is known at which it
/// can resume.
#[test]
fn a_watch_whose_history_is_gone_waits_until_it_can_resume() {
    let mut fixture = Fixture::configured(1_000);
    let before = watched_from(&fixture).len();
    for time in (2_000..2_200).step_by(10) {
        fixture.store_reply(time, time, Operation::CatalogWatch, Reply::HistoryGone);
    }
    assert_eq!(watched_from(&fixture).len(), before);
}

/// Guards against reading the complete, unchanged configuration each time the store has dropped the
/// history after its revision.
#[test]
fn a_freshness_check_finds_the_revision_where_a_watch_can_resume() {
    let mut fixture = Fixture::configured(1_000);
    let reads =
        |fixture: &Fixture| fixture.calls.iter().filter(|it| **it == Operation::Catalog).count();
    let before = reads(&fixture);
    fixture.store_reply(2_000, 1_900, Operation::CatalogWatch, Reply::HistoryGone);
    assert_eq!(fixture.calls.last(), Some(&Operation::Freshness));
    fixture.store_reply(2_010, 2_000, Operation::Freshness, Reply::Committed(90));
    assert_eq!(watched_from(&fixture).last(), Some(&90));
    assert_eq!(reads(&fixture), before);
}

fn count(fixture: &Fixture, operation: &Operation) -> usize {
    fixture.calls.iter().filter(|call| *call == operation).count()
}

/// Feed of a leader that has verified this revision of the configuration.
fn feed_with_check(version: u64, config_revision: u64) -> Option<Box<Feed>> {
    Some(Box::new(Feed { term: 1, version, config_revision, ..Feed::default() }))
}

fn catalog_change(revision: u64) -> Reply {
    let item = Item { key: CONFIG.to_owned(), value: Some(Bytes::from("k")), revision };
    Reply::Changes { items: vec![item], revision }
}

/// Guards against transferring a large configuration two or three times at once: by a watch, by a
/// read, and by a freshness check of the previous one, whose refusal contains the new one.
#[test]
fn a_change_that_a_watch_is_delivering_is_not_read_as_well() {
    let mut fixture = Fixture::configured(1_000);
    let (reads, checks) =
        (count(&fixture, &Operation::Catalog), count(&fixture, &Operation::Freshness));
    fixture.handle(3_000, Event::Feed { sent: ms(2_990), feed: feed_with_check(2, 9) });
    for time in (3_050..3_450).step_by(50) {
        fixture.handle(time, Event::Tick);
    }
    fixture.store_reply(3_450, 1_000, Operation::CatalogWatch, catalog_change(9));
    fixture.handle(3_600, Event::Tick);
    assert_eq!(count(&fixture, &Operation::Catalog), reads);
    assert!(
        count(&fixture, &Operation::Freshness) <= checks + 1,
        "the new one may be checked once"
    );
}

/// Guards against a change that is missed because its watch no longer delivers anything.
#[test]
fn a_change_that_a_watch_does_not_deliver_is_read() {
    let mut fixture = Fixture::configured(1_000);
    let reads = count(&fixture, &Operation::Catalog);
    fixture.handle(1_500, Event::Feed { sent: ms(1_490), feed: feed_with_check(2, 9) });
    for time in (1_550..2_050).step_by(50) {
        fixture.handle(time, Event::Tick);
    }
    assert_eq!(count(&fixture, &Operation::Catalog), reads + 1);
    fixture.catalog_reply(2_100, 2_000, 9, "k");
    fixture.handle(2_400, Event::Tick);
    assert_eq!(count(&fixture, &Operation::Catalog), reads + 1);
}

/// Guards against a configuration that can't be decoded and is read several times a second.
#[test]
fn a_configuration_that_cannot_be_decoded_is_read_rarely() {
    let mut fixture = Fixture::configured(1_000);
    let calls = |it: &Fixture| count(it, &Operation::Catalog) + count(it, &Operation::Freshness);
    let before = calls(&fixture);
    let value = Some(Bytes::from_static(&[0xff]));
    let item = || Item { key: CONFIG.to_owned(), value: value.clone(), revision: 9 };
    fixture.store_reply(1_500, 1_400, Operation::Freshness, Reply::Refused(vec![item()]));
    let mut answered = calls(&fixture);
    for time in (1_550..5_550).step_by(50) {
        fixture.handle(time, Event::Tick);
        if calls(&fixture) > answered {
            answered = calls(&fixture);
            let (operation, reply) = match fixture.calls.last() {
                Some(Operation::Freshness) => (Operation::Freshness, Reply::Refused(vec![item()])),
                _ => {
                    let bytes = value.clone().expect("the item has a value");
                    (Operation::Catalog, Reply::Value(Value { revision: 9, bytes }))
                }
            };
            fixture.store_reply(time, time, operation, reply);
        }
    }
    assert!(calls(&fixture) <= before + 2, "{} calls in 4 s", calls(&fixture) - before);
}
