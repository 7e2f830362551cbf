//! Tests of the answers to callers and of the leader election.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use prost::Message as _;
use sapphire_front::{
    answer::{ABOVE_SHARE, Action, Answer, Submission},
    event::{Event, Operation},
    reach::Way,
};
use sapphire_jobs::{
    Backlog, Feed, Lead, OrganisationBacklog, Row, Schedule, State, Step, Supply,
    resources::Resources,
};
use sapphire_planner::keys;
use sapphire_store::call::{Call, Condition, Item, Reply, Value};

use crate::harness::{Fixture, is_refused, ms, submit_one_step};

/// Guards against a caller that drops its work because it is wrongly told that its job does not
/// exist. Only a read of the store that can't be stale shows that.
#[test]
fn a_job_is_reported_missing_only_after_a_read_of_the_store() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", Action::Read), None);
    fixture.store_reply(
        1_150,
        1_100,
        Operation::LookUp("1".to_owned()),
        Reply::Value(Value::default()),
    );
    assert_eq!(fixture.last_answer(), Some(Answer::NoJob));
    assert_eq!(fixture.request(1_200, "/q/2", "k", Action::Read), None);
    let unknown = Reply::Unavailable("no answer".to_owned());
    fixture.store_reply(1_250, 1_200, Operation::LookUp("2".to_owned()), unknown);
    assert_eq!(fixture.last_answer(), None, "the look-up is sent again");
    fixture.handle(9_000, Event::Tick);
    assert!(is_refused(fixture.last_answer().as_ref()));
}

#[test]
fn a_job_is_accepted_when_it_is_durable() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    fixture.store_reply(1_150, 1_100, Operation::Submit(vec!["1".to_owned()]), Reply::Committed(8));
    assert_eq!(fixture.last_answer(), Some(Answer::Accepted));
    let state = fixture.request(1_200, "/q/1", "k", Action::Read);
    assert_eq!(state, Some(Answer::State(State::Queued)));
    assert_eq!(fixture.request(1_200, "/q/", "k", Action::Read), Some(Answer::Pending(1)));
}

/// Guards against carrying out and billing a job twice. A caller repeats its request at another
/// entry after the first try was accepted: the job's key exists in the store, so it is the same
/// job.
#[test]
fn a_job_that_is_submitted_twice_is_accepted_once() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    let there = Item { key: "s/in/job/1".to_owned(), value: Some(Bytes::from("x")), revision: 5 };
    fixture.store_reply(
        1_150,
        1_100,
        Operation::Submit(vec!["1".to_owned()]),
        Reply::Refused(vec![there]),
    );
    assert_eq!(fixture.last_answer(), Some(Answer::Accepted));
}

/// Guards against a caller that is told "not run" of a job that runs. A write without an answer may
/// have been applied, or may be later: the answer is that the outcome is unknown, and the caller
/// may retry.
#[test]
fn a_write_without_an_answer_is_never_reported_as_not_done() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    fixture.store_reply(1_500, 1_100, operation(), Reply::Unavailable("no answer".to_owned()));
    fixture.store_reply(1_700, 1_600, operation(), Reply::NotDone("busy".to_owned()));
    fixture.handle(4_000, Event::Tick);
    assert!(
        matches!(fixture.last_answer(), Some(Answer::Unknown { .. })),
        "{:?}",
        fixture.last_answer()
    );
}

/// The store rejects every try, so nothing was written. The caller is told so, with the time after
/// which to retry.
#[test]
fn a_write_that_the_store_rejects_is_reported_as_not_done() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    fixture.store_reply(1_200, 1_100, operation(), Reply::NotDone("busy".to_owned()));
    fixture.store_reply(1_300, 1_260, operation(), Reply::NotDone("busy".to_owned()));
    fixture.handle(1_301, Event::Tick);
    assert_eq!(fixture.last_answer(), None);
    fixture.store_reply(2_200, 2_100, operation(), Reply::NotDone("busy".to_owned()));
    fixture.handle(2_210, Event::Tick);
    assert!(is_refused(fixture.last_answer().as_ref()), "{:?}", fixture.last_answer());
}

/// Guards against callers that wait in vain until their timeout while the store is unreachable.
/// Once it has answered no call for a while, they are told at once when to retry.
#[test]
fn callers_are_answered_at_once_while_the_store_is_unreachable() {
    let mut fixture = Fixture::configured(1_000);
    for time in [1_100, 1_500, 1_900] {
        fixture.machine.record_call(ms(time), &Way::Straight, false);
    }
    let answer = fixture.request(2_000, "/q/1", "k", submit_one_step());
    assert!(is_refused(answer.as_ref()), "{answer:?}");
    fixture.machine.record_call(ms(2_100), &Way::Straight, true);
    assert_eq!(fixture.request(2_200, "/q/2", "k", submit_one_step()), None);
}

/// Guards against a complete job that is reported as running because an older feed arrives late.
#[test]
fn an_older_feed_changes_nothing() {
    let mut fixture = Fixture::configured(1_000);
    let feed = |term, version, state: State| {
        let row = Row { job: "1".to_owned(), queue: "q".to_owned(), state: state.into() };
        let feed = Feed { term, version, rows: vec![row], ..Feed::default() };
        Some(Box::new(feed))
    };
    fixture.handle(1_100, Event::Feed { sent: ms(1_050), feed: feed(2, 9, State::Complete) });
    fixture.handle(1_200, Event::Feed { sent: ms(1_000), feed: feed(1, 99, State::Active) });
    fixture.handle(1_300, Event::Feed { sent: ms(1_000), feed: feed(2, 8, State::Active) });
    let state = fixture.request(1_400, "/q/1", "k", Action::Read);
    assert_eq!(state, Some(Answer::State(State::Complete)));
}

#[test]
fn invalid_jobs_are_refused_with_the_reason() {
    let mut fixture = Fixture::configured(1_000);
    let with_steps = |steps: Vec<Step>| {
        Action::Submit(Ok(Submission { spec: String::new(), steps, schedule: None }))
    };
    let malformed =
        |fixture: &mut Fixture, action| match fixture.request(1_100, "/q/1", "k", action) {
            Some(Answer::Malformed(reason)) => reason,
            other => panic!("{other:?}"),
        };
    let after = Step { tasks: 1, after: vec![0], ..Step::default() };
    let reasons = [
        malformed(&mut fixture, with_steps(Vec::new())),
        malformed(&mut fixture, with_steps(vec![Step::default()])),
        malformed(&mut fixture, with_steps(vec![after])),
        malformed(&mut fixture, with_steps(vec![Step { tasks: u32::MAX, ..Step::default() }])),
        malformed(&mut fixture, Action::Submit(Err("EOF at line 1".to_owned()))),
    ];
    insta::assert_snapshot!(reasons.join("\n"));
}

fn feed_with_state(term: u64, version: u64, state: State) -> Option<Box<Feed>> {
    let row = Row { job: "1".to_owned(), queue: "q".to_owned(), state: state.into() };
    Some(Box::new(Feed { term, version, rows: vec![row], ..Feed::default() }))
}

/// Guards against callers that learn of the end of their job a quarter of a second late. A caller
/// requests the state when the last task ends, gets `Active` since the end is not durable yet, and
/// asks again only later. So the answer waits briefly for the end to become known.
#[test]
fn a_state_request_waits_for_the_end_of_the_job() {
    let mut fixture = Fixture::configured(1_000);
    fixture
        .handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_with_state(2, 9, State::Active) });
    assert_eq!(fixture.request(2_000, "/q/1", "k", Action::Read), None);
    fixture.handle(
        2_090,
        Event::Feed { sent: ms(2_000), feed: feed_with_state(2, 10, State::Complete) },
    );
    assert_eq!(fixture.last_answer(), Some(Answer::State(State::Complete)));
}

/// The caller of a job that continues is answered within the time allowed for the wait.
#[test]
fn a_state_request_waits_only_briefly_for_a_job_that_continues() {
    let mut fixture = Fixture::configured(1_000);
    fixture
        .handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_with_state(2, 9, State::Active) });
    assert_eq!(fixture.request(2_000, "/q/1", "k", Action::Read), None);
    fixture.handle(2_140, Event::Tick);
    assert_eq!(fixture.last_answer(), None);
    fixture.handle(2_150, Event::Tick);
    assert_eq!(fixture.last_answer(), Some(Answer::State(State::Active)));
}

/// Guards against an entry that terminates without answering the callers that still wait for a
/// job's end.
#[test]
fn waiting_state_requests_are_answered_before_the_entry_terminates() {
    let mut fixture = Fixture::configured(1_000);
    fixture
        .handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_with_state(2, 9, State::Active) });
    assert_eq!(fixture.request(2_000, "/q/1", "k", Action::Read), None);
    fixture.handle(2_010, Event::Terminate);
    assert_eq!(fixture.last_answer(), Some(Answer::State(State::Active)));
    assert!(fixture.machine.is_idle());
}

/// Guards against a caller that is told "not run" of a job that runs. Its first try got no answer
/// from the store, so the outcome was reported as unknown. It retries while the store is
/// unreachable: nothing is sent this time, but the first try may still be applied, so the outcome
/// is still unknown.
#[test]
fn a_retry_is_not_reported_as_not_done_while_the_first_try_may_be_applied() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    let operation = Operation::Submit(vec!["1".to_owned()]);
    fixture.store_reply(1_500, 1_100, operation, Reply::Unavailable("no answer".to_owned()));
    for time in [1_500, 1_900, 2_150] {
        fixture.machine.record_call(ms(time), &Way::Straight, false);
    }
    fixture.handle(2_200, Event::Tick);
    assert!(
        matches!(fixture.last_answer(), Some(Answer::Unknown { .. })),
        "{:?}",
        fixture.last_answer()
    );
    let other = fixture.request(2_250, "/q/2", "k", submit_one_step());
    assert!(is_refused(other.as_ref()), "{other:?}");
    assert_eq!(fixture.request(2_300, "/q/1", "k", submit_one_step()), None);
    let operation = Operation::Submit(vec!["1".to_owned()]);
    fixture.store_reply(3_340, 3_300, operation, Reply::NotDone("busy".to_owned()));
    fixture.handle(3_360, Event::Tick);
    assert!(
        matches!(fixture.last_answer(), Some(Answer::Unknown { .. })),
        "{:?}",
        fixture.last_answer()
    );
}

/// Guards against callers of a partitioned entry that wait a second or two for each acceptance. Its
/// calls were relayed by the other entries in turn, and timed out at each one that was partitioned
/// too. The entry that answered last is preferred.
#[test]
fn calls_are_relayed_by_the_entry_that_answered_last() {
    let mut fixture = Fixture::configured(1_000);
    let feed = Feed {
        term: 2,
        version: 1,
        entries: ["a:1", "b:1", "c:1"].map(str::to_owned).to_vec(),
        ..Feed::default()
    };
    fixture.handle(1_050, Event::Feed { sent: ms(1_040), feed: Some(Box::new(feed)) });
    fixture.machine.record_call(ms(1_100), &Way::Straight, false);
    let good = Way::Through("b:1".to_owned());
    let mut tried = 0;
    loop {
        let way = fixture.machine.way(false);
        fixture.machine.record_call(ms(1_200), &way, way == good);
        tried += 1;
        if way == good {
            break;
        }
        assert!(tried < 3, "an entry was tried twice before all others");
    }
    for _ in 0..5 {
        assert_eq!(fixture.machine.way(false), good);
        fixture.machine.record_call(ms(1_300), &good, true);
    }
    fixture.machine.record_call(ms(1_400), &good, false);
    assert_ne!(fixture.machine.way(false), good);
}

/// Guards against callers of an isolated entry that wait a second before they try another one,
/// which would serve them at once. While the store is unreachable for all entries, they have to
/// wait, since each try in vain uses up one of their tries.
#[test]
fn callers_of_an_isolated_entry_may_retry_elsewhere_at_once() {
    let isolated = |feed_at: u64| {
        let mut fixture = Fixture::configured(1_000);
        let feed = Feed { term: 1, version: 2, ..Feed::default() };
        fixture.handle(feed_at, Event::Feed { sent: ms(feed_at), feed: Some(Box::new(feed)) });
        for time in [3_100, 3_500, 3_900] {
            fixture.machine.record_call(ms(time), &Way::Straight, false);
        }
        fixture.request(4_000, "/q/1", "k", submit_one_step())
    };
    assert_matches!(isolated(1_500), Some(Answer::NotDone { after: Duration::ZERO, .. }));
    assert_matches!(isolated(3_900), Some(Answer::NotDone { after, .. }) if !after.is_zero());
}

/// Guards against callers that are directed to an entry that can't serve them. It is partitioned,
/// but reported itself ready for as long as it may serve the caller keys that it knows.
#[test]
fn an_entry_without_a_recent_freshness_check_is_not_ready() {
    let fixture = Fixture::configured(1_000);
    assert!(fixture.machine.is_ready(ms(3_900)));
    assert!(!fixture.machine.is_ready(ms(4_100)));
}

fn feed_with_supply(drain_ms: u64) -> Option<Box<Feed>> {
    let largest = Resources { millicores: 64_000, memory_mib: 262_144, accelerators: 8 };
    let supply = Supply {
        service: "s".to_owned(),
        largest: Some(largest.message()),
        backlogs: vec![Backlog { priority: 0, drain_ms }],
        above_share: Vec::new(),
    };
    let feed = Feed { term: 1, version: 2, supplies: vec![supply], ..Feed::default() };
    Some(Box::new(feed))
}

fn submit_step(accelerators: u64, estimate_ms: u64) -> Action {
    let room = Resources { millicores: 1_000, memory_mib: 1_000, accelerators };
    let step = Step { tasks: 1, room: Some(room.message()), estimate_ms, ..Step::default() };
    Action::Submit(Ok(Submission { spec: String::new(), steps: vec![step], schedule: None }))
}

/// Guards against accepting a job that fits no worker: it would wait forever while its caller asks
/// again and again. It is rejected, but only after a read of the store: an earlier try, whose
/// answer was lost, may have been accepted.
#[test]
fn a_job_that_fits_no_worker_is_rejected_unless_it_was_accepted_before() {
    let mut fixture = Fixture::configured(1_000);
    fixture.handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_with_supply(0) });
    let looked_up = |id: &str| Operation::LookUp(id.to_owned());
    assert_eq!(fixture.request(1_200, "/q/1", "k", submit_step(9, 1_000)), None);
    fixture.store_reply(1_210, 1_200, looked_up("1"), Reply::Value(Value::default()));
    assert_matches!(fixture.last_answer(), Some(Answer::NotDone { after, .. }) if after >= ms(1_000));
    assert_eq!(fixture.request(1_300, "/q/2", "k", submit_step(9, 1_000)), None);
    let there = Value { revision: 5, bytes: Bytes::from("x") };
    fixture.store_reply(1_310, 1_300, looked_up("2"), Reply::Value(there));
    assert_eq!(fixture.last_answer(), Some(Answer::Accepted));
    assert_eq!(fixture.request(1_400, "/q/3", "k", submit_step(8, 1_000)), None);
    assert_eq!(fixture.calls.last(), Some(&Operation::Submit(vec!["3".to_owned()])));
}

/// The resources of the workers are known from the leader's feed. When the latest feed is seconds
/// old, no job is rejected because of them.
#[test]
fn no_job_is_rejected_because_of_outdated_worker_resources() {
    let mut fixture = Fixture::configured(1_000);
    fixture.handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_with_supply(0) });
    assert_eq!(fixture.request(4_500, "/q/1", "k", submit_step(9, 1_000)), None);
    assert_eq!(fixture.calls.last(), Some(&Operation::Submit(vec!["1".to_owned()])));
}

/// An organisation has a backlog that takes 3 s at its share of the workers, which is too long for its
/// jobs. Its callers are rejected, after a read of the store, and told to return one after another, a
/// served job apart. Another organisation's backlog rejects nothing, and neither does an outdated feed.
#[test]
fn callers_of_an_organisation_above_its_share_return_one_after_another() {
    let feed_of = |organisation: &str, drain_ms: u64| {
        let backlog = vec![Backlog { priority: 1, drain_ms }];
        let row = OrganisationBacklog {
            organisation: organisation.to_owned(),
            share_milli: 250,
            backlogs: backlog.clone(),
            own_priority: backlog,
            job_ms: 500,
            guaranteed_in_use: 1,
        };
        let mut feed = feed_with_supply(0);
        let supply = &mut feed.as_mut().expect("it is set").supplies[0];
        supply.backlogs.extend(row.backlogs.clone());
        supply.above_share.push(row);
        feed
    };
    let mut fixture = Fixture::configured(1_000);
    fixture.handle(1_100, Event::Feed { sent: ms(1_050), feed: feed_of("o", 750) });
    let mut afters = Vec::new();
    for id in ["1", "2", "3"] {
        assert_eq!(
            fixture.request(1_200, &format!("/later/{id}"), "k", submit_step(1, 1_000)),
            None
        );
        let looked_up = Operation::LookUp(id.to_owned());
        fixture.store_reply(1_210, 1_200, looked_up, Reply::Value(Value::default()));
        let Some(Answer::NotDone { after, reason }) = fixture.last_answer() else { panic!("{id}") };
        assert_eq!(reason, ABOVE_SHARE);
        afters.push(after);
    }
    assert_eq!(afters, [ms(3_000), ms(5_000), ms(7_000)]);
    assert_eq!(fixture.request(4_500, "/later/4", "k", submit_step(1, 1_000)), None);
    assert_eq!(fixture.calls.last(), Some(&Operation::Submit(vec!["4".to_owned()])));
    fixture.store_reply(4_510, 4_500, Operation::Submit(vec!["4".to_owned()]), Reply::Committed(8));
    fixture.handle(4_600, Event::Feed { sent: ms(4_550), feed: feed_of("another", 60_000) });
    assert_eq!(fixture.request(4_700, "/later/5", "k", submit_step(1, 1_000)), None);
    assert_eq!(fixture.calls.last(), Some(&Operation::Submit(vec!["5".to_owned()])));
}

/// Guards against jobs that wait for over a second after a loss of power until an entry plans. The
/// leader key is still held by the previous process of an entry that has just started, and its
/// lease expires only later. That entry knows that its previous process has ended, and releases the
/// key.
#[test]
fn an_entry_releases_the_leader_key_of_its_previous_process() {
    let read = |name: &str, address: &str, generation: u64| {
        let mut fixture = Fixture::configured(1_000);
        let lead = Lead { name: name.to_owned(), address: address.to_owned(), term: 0, generation };
        let value = Some(Bytes::from(lead.encode_to_vec()));
        let item = Item { key: "lead".to_owned(), value, revision: 40 };
        let reply = Reply::Items { items: vec![item], has_more: false, revision: 41 };
        fixture.store_reply(1_020, 1_010, Operation::Leader, reply);
        fixture.calls.contains(&Operation::LeaderRelease)
    };
    assert!(read("e", "e:1", 7));
    assert!(!read("e", "e:1", 1), "this process holds it");
    assert!(!read("f", "f:1", 7), "another entry holds it");
    assert!(!read("e", "e:9", 7), "an entry on another machine has the same name");
}

/// Guards against jobs that wait for over a second after the planner's process has been killed: its
/// machine refuses connections, which shows at once that it has ended.
#[test]
fn an_entry_releases_the_leader_key_of_a_process_that_has_ended() {
    let mut fixture = Fixture::configured(1_000);
    let leader = Lead { name: "f".to_owned(), address: "f:1".to_owned(), term: 40, generation: 7 };
    fixture.handle(1_010, Event::Leader(leader));
    fixture.handle(1_020, Event::LeaderRefused("g:1".to_owned()));
    assert!(!fixture.calls.contains(&Operation::LeaderRelease), "an earlier leader's address");
    for _ in 0..3 {
        fixture.handle(1_030, Event::LeaderRefused("f:1".to_owned()));
    }
    let releases = fixture.sent.iter().filter(|call| match call {
        Call::Commit { conditions, removes, .. } => {
            let held = Condition { key: "lead".to_owned(), revision: 40 };
            *conditions == [held] && removes[..] == ["lead".to_owned()]
        }
        _ => false,
    });
    assert_eq!(releases.count(), 1, "only the key of that term");
}

/// Guards against a store that rejects calls and gets thousands of look-ups of the same job.
#[test]
fn a_look_up_that_the_store_rejects_is_sent_again_after_a_delay() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", Action::Read), None);
    let look_up = || Operation::LookUp("1".to_owned());
    let mut answered = 0;
    for time in 1_100..1_200 {
        let sent = fixture.calls.iter().filter(|call| **call == look_up()).count();
        assert!(sent < 4, "{sent} times by {time} ms");
        if sent > answered {
            answered = sent;
            fixture.store_reply(time, time, look_up(), Reply::NotDone("busy".to_owned()));
        } else {
            fixture.handle(time, Event::Tick);
        }
    }
    fixture.store_reply(1_300, 1_290, look_up(), Reply::Value(Value::default()));
    assert_eq!(fixture.last_answer(), Some(Answer::NoJob));
}

/// Guards against reading and watching the leader key in turn, without a delay, at a store that
/// keeps no history.
#[test]
fn a_watch_of_the_leader_key_whose_history_is_gone_restarts_after_a_delay() {
    let mut fixture = Fixture::configured(1_000);
    let nobody = |revision| Reply::Items { items: Vec::new(), has_more: false, revision };
    fixture.store_reply(1_020, 1_010, Operation::Leader, nobody(40));
    let reads =
        |fixture: &Fixture| fixture.calls.iter().filter(|it| **it == Operation::Leader).count();
    let before = reads(&fixture);
    fixture.store_reply(1_030, 1_020, Operation::LeaderWatch, Reply::HistoryGone);
    assert_eq!(reads(&fixture), before);
    fixture.handle(1_400, Event::Tick);
    assert_eq!(reads(&fixture), before + 1);
}

/// Guards against a caller that is told "not done" of a job although a later one of its tries,
/// which got no answer either, may still be applied.
#[test]
fn every_try_without_an_answer_extends_the_time_in_which_it_may_be_applied() {
    let mut fixture = Fixture::configured(1_000);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    let unanswered = |fixture: &mut Fixture, at: u64| {
        fixture.store_reply(at, at, Operation::Freshness, Reply::Committed(9));
        assert_eq!(fixture.request(at, "/q/1", "k", submit_one_step()), None);
        fixture.store_reply(at + 500, at, operation(), Reply::Unavailable("no answer".to_owned()));
        fixture.handle(at + 1_300, Event::Tick);
        assert_matches!(fixture.last_answer(), Some(Answer::Unknown { .. }));
    };
    unanswered(&mut fixture, 2_000);
    unanswered(&mut fixture, 15_000);
    fixture.store_reply(19_900, 19_900, Operation::Freshness, Reply::Committed(9));
    assert_eq!(fixture.request(20_000, "/q/1", "k", submit_one_step()), None);
    fixture.store_reply(20_400, 20_000, operation(), Reply::NotDone("busy".to_owned()));
    fixture.handle(21_300, Event::Tick);
    assert_matches!(fixture.last_answer(), Some(Answer::Unknown { .. }));
}

/// Guards against a second without a planner. An entry that was asked to terminate acquired the
/// leader key with a write that was still in flight, and kept it until its process ended and the
/// lease expired.
#[test]
fn a_terminating_entry_releases_a_leader_key_that_it_acquires_late() {
    let mut fixture = Fixture::configured(1_000);
    let nobody = Reply::Items { items: Vec::new(), has_more: false, revision: 41 };
    fixture.store_reply(1_020, 1_010, Operation::Leader, nobody);
    for time in (1_050..1_300).step_by(10) {
        fixture.handle(time, Event::Tick);
    }
    fixture.store_reply(1_300, 1_290, Operation::LeaderLease, Reply::Leased(5));
    fixture.handle(1_310, Event::Terminate);
    fixture.store_reply(1_320, 1_300, Operation::LeaderLease, Reply::Written(70));
    assert_eq!(fixture.calls.last(), Some(&Operation::LeaderRelease));
    assert_eq!(fixture.machine.leader(), None);
}

fn submit_steps(steps: Vec<Step>, schedule: Option<Schedule>) -> Action {
    Action::Submit(Ok(Submission { spec: String::new(), steps, schedule }))
}

/// Guards against an entry that crashes because the sum of a job's declared run times overflows.
#[test]
fn a_job_whose_total_run_time_would_overflow_is_refused() {
    let mut fixture = Fixture::configured(1_000);
    let step = |index: u32| Step {
        tasks: 1,
        estimate_ms: u64::MAX,
        after: index.checked_sub(1).into_iter().collect(),
        ..Step::default()
    };
    let answer =
        fixture.request(1_100, "/q/1", "k", submit_steps((0..2_000).map(step).collect(), None));
    let Some(Answer::Malformed(reason)) = answer else { panic!("{answer:?}") };
    assert!(reason.contains("steps[0]: estimate_ms"), "{reason}");
}

/// Guards against a planner whose memory fills with occurrences that are all due at once.
#[test]
fn a_job_with_too_many_occurrences_due_at_once_is_refused() {
    let mut fixture = Fixture::configured(1_000);
    let mut ask = |first_ms, interval_ms, times| {
        let schedule = Some(Schedule { first_ms, interval_ms, times });
        let steps = vec![Step { tasks: 1, ..Step::default() }];
        fixture.request(1_100, "/q/1", "k", submit_steps(steps, schedule))
    };
    for (first_ms, interval_ms, times) in [(0, 0, u32::MAX), (u64::MAX, 0, u32::MAX)] {
        let answer = ask(first_ms, interval_ms, times);
        assert!(matches!(answer, Some(Answer::Malformed(_))), "{answer:?}");
    }
    for (first_ms, interval_ms, times) in [(0, 1, u32::MAX), (u64::MAX, 1, 9), (0, 0, 100_000)] {
        let answer = ask(first_ms, interval_ms, times);
        assert!(!matches!(answer, Some(Answer::Malformed(_))), "{answer:?}");
    }
}

/// Returns an entry that has sent the write of job 1, and the operation of that write.
fn submitting() -> (Fixture, Operation) {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_100, "/q/1", "k", submit_one_step()), None);
    let operation = fixture.calls.last().cloned().expect("the job is written");
    (fixture, operation)
}

/// Returns whether the latest call to the store writes the cancellation of job 1.
fn writes_cancellation(fixture: &Fixture) -> bool {
    let Some(Call::Commit { puts, .. }) = fixture.sent.last() else { return false };
    puts.iter().any(|put| put.key == keys::cancel("1"))
}

/// Guards against a job that runs although its caller was told that it doesn't exist: the job is cancelled
/// while its submission is on its way to the store, or has had no answer.
#[test]
fn a_job_that_is_being_submitted_is_cancelled() {
    for is_answered in [false, true] {
        let (mut fixture, operation) = submitting();
        if is_answered {
            fixture.store_reply(1_200, 1_100, operation, Reply::Unavailable("none".to_owned()));
        }
        assert_eq!(fixture.request(1_210, "/q/1", "k", Action::Cancel), None);
        assert!(writes_cancellation(&fixture), "{:?}", fixture.sent.last());
        let cancel = Operation::Cancel("1".to_owned());
        fixture.store_reply(1_230, 1_210, cancel, Reply::Committed(9));
        let caller = fixture.caller;
        assert!(fixture.answers.contains(&(caller, Answer::Cancelled)));
    }
}

/// Guards against the same when the submission comes while the cancellation is on its way to the store, which
/// carries out one or the other first.
#[test]
fn a_job_that_is_submitted_during_its_cancellation_is_rejected_or_cancelled() {
    let exists = |key: String| Item { key, value: Some(Bytes::new()), revision: 9 };
    let (submit, tombstone) =
        (Operation::Submit(vec!["1".to_owned()]), Operation::Tombstone("1".to_owned()));
    for is_stored in [false, true] {
        let mut fixture = Fixture::configured(1_000);
        assert_eq!(fixture.request(1_050, "/q/1", "k", Action::Cancel), None);
        assert!(writes_cancellation(&fixture), "{:?}", fixture.sent.last());
        let canceller = fixture.caller;
        assert_eq!(fixture.request(1_060, "/q/1", "k", submit_one_step()), None);
        let submitter = fixture.caller;
        if is_stored {
            fixture.store_reply(1_070, 1_060, submit.clone(), Reply::Committed(9));
            let refused = Reply::Refused(vec![exists(keys::job("1"))]);
            fixture.store_reply(1_070, 1_050, tombstone.clone(), refused);
            assert!(writes_cancellation(&fixture), "{:?}", fixture.sent.last());
            let cancel = Operation::Cancel("1".to_owned());
            fixture.store_reply(1_090, 1_070, cancel, Reply::Committed(10));
            assert!(fixture.answers.contains(&(submitter, Answer::Accepted)));
        } else {
            fixture.store_reply(1_070, 1_050, tombstone.clone(), Reply::Committed(9));
            let refused = Reply::Refused(vec![exists(keys::cancel("1"))]);
            fixture.store_reply(1_070, 1_060, submit.clone(), refused);
            assert!(is_refused(fixture.last_answer().as_ref()), "{:?}", fixture.answers);
        }
        assert!(fixture.answers.contains(&(canceller, Answer::Cancelled)), "{:?}", fixture.answers);
    }
}

/// Guards against a caller who is told that a job is cancelled which doesn't exist, and against one who is
/// told that it doesn't exist while a submission of it may still be stored.
#[test]
fn a_job_that_was_never_submitted_is_reported_missing_to_who_cancels_it() {
    let mut fixture = Fixture::configured(1_000);
    assert_eq!(fixture.request(1_050, "/q/1", "k", Action::Cancel), None);
    assert!(writes_cancellation(&fixture), "{:?}", fixture.sent.last());
    let tombstone = Operation::Tombstone("1".to_owned());
    fixture.store_reply(1_070, 1_050, tombstone, Reply::Committed(9));
    assert_eq!(fixture.answers.last().map(|(_, answer)| answer.clone()), Some(Answer::NoJob));
}
