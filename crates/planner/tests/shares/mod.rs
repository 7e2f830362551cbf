//! Tests of the shares of organisations in the planner.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{Ending, Job, Notice, Running, Step, Usage, Usages};
use sapphire_plan::share;
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Item, Reply};

use crate::harness::{Fixture, START, TERM, ended, fleet, item, job, no_starts, options, step};

/// Returns a planner with shares that has read the given records and has one worker of eight tasks.
fn sharing(mut items: Vec<Item>) -> Fixture {
    items.extend([fleet(3, &[]), no_starts(3)]);
    let mut fixture = Fixture::reading();
    let shares = Some(share::Options { window: Duration::from_secs(30) });
    fixture.planner.set_options(sapphire_planner::options::Options { shares, ..options() });
    fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
    fixture.reply(Reply::Committed(60));
    fixture.join("w1", Vec::new(), Vec::new());
    fixture
}

fn submit(fixture: &mut Fixture, id: &str, organisation: &str) {
    let step = Step { estimate_ms: 20_000, ..step(8, true) };
    let job = Job { organisation: organisation.to_owned(), ..job(id, TERM, step) };
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Lets the worker's runs go on for some seconds.
fn run_for(fixture: &mut Fixture, seconds: u64) {
    for _ in 0..seconds * 2 {
        fixture.advance(500);
        let runs = fixture.planner.workers()["w1"].runs.clone();
        // As the expected run time has it, so that no run is taken for slow.
        let percent = u32::try_from((fixture.now - START) / 200).expect("it is small");
        let running =
            |(task, run): (&sapphire_jobs::task::Task, &sapphire_planner::worker::Run)| Running {
                run: Some(task.run(run.number)),
                percent,
                ..Running::default()
            };
        fixture.poll("w1", runs.iter().map(running).collect(), Vec::new());
    }
}

/// Returns the writes of the record.
fn writes(fixture: &Fixture) -> Vec<Call> {
    let writes = fixture.calls.iter().filter(|(operation, _)| *operation == Operation::Shares);
    writes.map(|(_, call)| call.clone()).collect()
}

fn record(organisation: &str, unix_ms: u64) -> Item {
    let usage = Usage { organisation: organisation.to_owned(), milli_seconds: 20_000 };
    item(keys::SHARES.to_owned(), Usages { usages: vec![usage], unix_ms }.encode_to_vec())
}

/// A large organisation occupies all workers and has more work waiting, when a small one submits a
/// job. It goes next although it came last, and nothing is stopped for it. Neither organisation is
/// configured: usage is counted as before if one is removed from the configuration.
#[test]
fn a_small_organisation_goes_next_and_stops_nothing() {
    let mut fixture = sharing(Vec::new());
    submit(&mut fixture, "large1", "large");
    submit(&mut fixture, "large2", "large");
    run_for(&mut fixture, 6);
    submit(&mut fixture, "small", "");
    run_for(&mut fixture, 2);
    assert!(fixture.log.iter().any(|line| line.contains("\"large\" is above its share")));
    assert_eq!((fixture.worker_of("large1"), fixture.stops().len()), ("w1".to_owned(), 0));
    let runs = fixture.planner.workers()["w1"].runs.clone();
    let ends = runs
        .iter()
        .zip(1..)
        .map(|((task, run), number)| ended(number, task.run(run.number), Ending::Done));
    fixture.poll("w1", Vec::new(), ends.collect());
    assert_eq!((fixture.worker_of("small"), fixture.worker_of("large2")), ("w1".into(), "".into()));
}

/// Guards against a change of planner after which the large organisation begins at zero again, and
/// against a record that is written too often or over a newer one.
#[test]
fn usage_survives_a_change_of_planner() {
    let mut fixture = sharing(Vec::new());
    submit(&mut fixture, "large1", "large");
    run_for(&mut fixture, 12);
    let [Call::Commit { puts, conditions, .. }] = &writes(&fixture)[..] else {
        panic!("the first write has had no reply")
    };
    assert_eq!((conditions[0].key.as_str(), conditions[1].revision), (keys::LEAD, 0));
    let stored =
        Item { key: keys::SHARES.to_owned(), value: Some(puts[0].value.clone()), revision: 9 };
    let lead = Item { key: keys::LEAD.to_owned(), value: None, revision: TERM };
    let refused = Reply::Refused(vec![lead, stored.clone()]);
    fixture.handle(Event::Store(Operation::Shares, refused));
    run_for(&mut fixture, 6);
    let Some(Call::Commit { conditions, puts, .. }) = writes(&fixture).pop() else {
        panic!("there was a second write")
    };
    assert_eq!(conditions[1].revision, 9, "the stored revision is adopted");
    let mut successor = sharing(vec![Item { value: Some(puts[0].value.clone()), ..stored }]);
    submit(&mut successor, "large2", "large");
    submit(&mut successor, "small", "small");
    successor.advance(500);
    assert!(successor.log.iter().any(|line| line.contains("\"large\" is above its share")));
}

/// Guards against a planner that can't begin because of the record, and against old usage that is
/// counted as if it were recent.
#[test]
fn an_unreadable_or_old_record_counts_as_no_usage() {
    let unreadable = item(keys::SHARES.to_owned(), Bytes::from_static(b"\xff").to_vec());
    for (record, is_logged) in [(unreadable, true), (record("large", 0), false)] {
        let mut fixture = sharing(vec![record]);
        submit(&mut fixture, "large1", "large");
        submit(&mut fixture, "small", "small");
        fixture.advance(500);
        assert_eq!(fixture.worker_of("large1"), "w1");
        let has = |text: &str| fixture.log.iter().any(|line| line.contains(text));
        assert_eq!((has("usage of organisations can't be"), has("above its")), (is_logged, false));
    }
}

/// Without the setting nothing is counted, reported or written, whatever the store contains.
#[test]
fn without_the_setting_nothing_is_counted_or_written() {
    let mut fixture = Fixture::new(vec![record("large", 100_000)]);
    fixture.join("w1", Vec::new(), Vec::new());
    submit(&mut fixture, "large1", "large");
    submit(&mut fixture, "small", "small");
    run_for(&mut fixture, 8);
    fixture.feed("e2", 0);
    assert!(writes(&fixture).is_empty() && fixture.planner.load().above_share == 0);
    let supplies = &fixture.feeds.last().expect("it is answered").supplies;
    assert!(!supplies.is_empty() && supplies.iter().all(|it| it.above_share.is_empty()));
}

/// Entries are told the backlog of the large organisation only, while the small one has work.
#[test]
fn the_feed_lists_the_backlog_of_organisations_above_their_share() {
    let mut fixture = sharing(vec![record("large", 100_000)]);
    submit(&mut fixture, "large1", "large");
    submit(&mut fixture, "large2", "large");
    run_for(&mut fixture, 6);
    fixture.feed("e2", 0);
    assert_eq!(fixture.feeds.last().expect("it is answered").supplies[0].above_share, []);
    submit(&mut fixture, "small", "small");
    run_for(&mut fixture, 2);
    fixture.feed("e3", 0);
    insta::assert_debug_snapshot!(fixture.feeds.last().expect("it is answered").supplies);
}
