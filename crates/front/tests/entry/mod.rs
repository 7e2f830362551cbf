//! What callers are answered, and when.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use prost::Message as _;
use sapphire_front::{
    answer::{Action, Answer, Handin},
    event::{Event, Operation},
    reach::Way,
};
use sapphire_jobs::{
    Backlog, Feed, Lead, Row, Schedule, State, Step, Supply, resources::Resources,
};
use sapphire_store::call::{Item, Reply, Value};

use crate::harness::{Bench, is_refused, ms, submit};

/// A candidate's review is postponed for good: the caller is told that there is no such job. Only
/// a read of the store that can't be stale proves that.
#[test]
fn a_job_is_said_not_to_exist_only_after_a_read() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", Action::Read), None);
    bench.store(1_150, 1_100, Operation::LookUp("1".to_owned()), Reply::Value(Value::default()));
    assert_eq!(bench.answer(), Some(Answer::NoJob));
    assert_eq!(bench.ask(1_200, "/q/2", "k", Action::Read), None);
    let unknown = Reply::Unavailable("no answer".to_owned());
    bench.store(1_250, 1_200, Operation::LookUp("2".to_owned()), unknown);
    assert_eq!(bench.answer(), None, "it is asked again");
    bench.tell(9_000, Event::Tick);
    assert!(is_refused(bench.answer().as_ref()));
}

#[test]
fn a_job_is_accepted_when_it_is_durable() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", submit()), None);
    bench.store(1_150, 1_100, Operation::Submit(vec!["1".to_owned()]), Reply::Committed(8));
    assert_eq!(bench.answer(), Some(Answer::Accepted));
    let state = bench.ask(1_200, "/q/1", "k", Action::Read);
    assert_eq!(state, Some(Answer::State(State::Queued)));
    assert_eq!(bench.ask(1_200, "/q/", "k", Action::Read), Some(Answer::Pending(1)));
}

/// A farmer is billed twice. The same request comes again, through another entry, after its
/// first try was accepted: the key is there, and the job is the same one.
#[test]
fn the_same_job_again_is_the_same_job() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", submit()), None);
    let there = Item { key: "s/in/job/1".to_owned(), value: Some(Bytes::from("x")), revision: 5 };
    bench.store(1_150, 1_100, Operation::Submit(vec!["1".to_owned()]), Reply::Refused(vec![there]));
    assert_eq!(bench.answer(), Some(Answer::Accepted));
}

/// A caller is told "not run" of a job that runs. A write without an answer may have been carried
/// out, or may be later: the caller is told that it is not known, and may ask again.
#[test]
fn a_write_without_an_answer_is_never_called_not_done() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", submit()), None);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    bench.store(1_500, 1_100, operation(), Reply::Unavailable("no answer".to_owned()));
    bench.store(1_700, 1_600, operation(), Reply::NotDone("busy".to_owned()));
    bench.tell(4_000, Event::Tick);
    assert!(matches!(bench.answer(), Some(Answer::Unknown { .. })), "{:?}", bench.answer());
}

/// The store turns every try away: nothing was done, which the caller is told, with a time to
/// come back.
#[test]
fn a_write_that_was_turned_away_is_not_done() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", submit()), None);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    bench.store(1_200, 1_100, operation(), Reply::NotDone("busy".to_owned()));
    bench.store(1_300, 1_260, operation(), Reply::NotDone("busy".to_owned()));
    bench.tell(1_301, Event::Tick);
    assert_eq!(bench.answer(), None);
    bench.store(2_200, 2_100, operation(), Reply::NotDone("busy".to_owned()));
    bench.tell(2_210, Event::Tick);
    assert!(is_refused(bench.answer().as_ref()), "{:?}", bench.answer());
}

/// Callers wait out their time for nothing while the store is away. Once it has answered no call
/// for a while, they are told at once when to come back.
#[test]
fn callers_are_told_at_once_while_the_store_is_away() {
    let mut bench = Bench::configured(1_000);
    for time in [1_100, 1_500, 1_900] {
        bench.machine.note_call(ms(time), &Way::Straight, false);
    }
    let answer = bench.ask(2_000, "/q/1", "k", submit());
    assert!(is_refused(answer.as_ref()), "{answer:?}");
    bench.machine.note_call(ms(2_100), &Way::Straight, true);
    assert_eq!(bench.ask(2_200, "/q/2", "k", submit()), None);
}

/// `complete` is shown as the planner's feed says, and older news changes nothing.
#[test]
fn older_news_of_a_job_changes_nothing() {
    let mut bench = Bench::configured(1_000);
    let feed = |term, version, state: State| {
        let row = Row { job: "1".to_owned(), queue: "q".to_owned(), state: state.into() };
        let feed = Feed { term, version, rows: vec![row], ..Feed::default() };
        Some(Box::new(feed))
    };
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: feed(2, 9, State::Complete) });
    bench.tell(1_200, Event::Feed { sent: ms(1_000), feed: feed(1, 99, State::Active) });
    bench.tell(1_300, Event::Feed { sent: ms(1_000), feed: feed(2, 8, State::Active) });
    let state = bench.ask(1_400, "/q/1", "k", Action::Read);
    assert_eq!(state, Some(Answer::State(State::Complete)));
}

#[test]
fn jobs_that_cannot_be_are_refused_with_the_reason() {
    let mut bench = Bench::configured(1_000);
    let of = |steps: Vec<Step>| {
        Action::Submit(Ok(Handin { spec: String::new(), steps, schedule: None }))
    };
    let malformed = |bench: &mut Bench, action| match bench.ask(1_100, "/q/1", "k", action) {
        Some(Answer::Malformed(reason)) => reason,
        other => panic!("{other:?}"),
    };
    let after = Step { tasks: 1, after: vec![0], ..Step::default() };
    let reasons = [
        malformed(&mut bench, of(Vec::new())),
        malformed(&mut bench, of(vec![Step::default()])),
        malformed(&mut bench, of(vec![after])),
        malformed(&mut bench, of(vec![Step { tasks: u32::MAX, ..Step::default() }])),
        malformed(&mut bench, Action::Submit(Err("EOF at line 1".to_owned()))),
    ];
    insta::assert_snapshot!(reasons.join("\n"));
}

fn row(term: u64, version: u64, state: State) -> Option<Box<Feed>> {
    let row = Row { job: "1".to_owned(), queue: "q".to_owned(), state: state.into() };
    Some(Box::new(Feed { term, version, rows: vec![row], ..Feed::default() }))
}

/// A caller learns of the end of its job a quarter of a second late, each time. It asks when the
/// last task ends, is told that the job runs, since the end is not durable yet, and asks again
/// only later. Now it is told as soon as the end is known, or shortly that the job still runs.
#[test]
fn a_caller_who_asks_at_the_end_of_its_job_learns_of_it() {
    let mut bench = Bench::configured(1_000);
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: row(2, 9, State::Active) });
    assert_eq!(bench.ask(2_000, "/q/1", "k", Action::Read), None);
    bench.tell(2_090, Event::Feed { sent: ms(2_000), feed: row(2, 10, State::Complete) });
    assert_eq!(bench.answer(), Some(Answer::State(State::Complete)));
}

/// A job that goes on is shown as running within the time that its caller can spare.
#[test]
fn a_caller_whose_job_goes_on_is_told_soon() {
    let mut bench = Bench::configured(1_000);
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: row(2, 9, State::Active) });
    assert_eq!(bench.ask(2_000, "/q/1", "k", Action::Read), None);
    bench.tell(2_140, Event::Tick);
    assert_eq!(bench.answer(), None);
    bench.tell(2_150, Event::Tick);
    assert_eq!(bench.answer(), Some(Answer::State(State::Active)));
}

/// An entry that is told to end cuts off the callers that still wait for a job's end.
#[test]
fn callers_who_wait_for_an_end_are_answered_before_the_entry_ends() {
    let mut bench = Bench::configured(1_000);
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: row(2, 9, State::Active) });
    assert_eq!(bench.ask(2_000, "/q/1", "k", Action::Read), None);
    bench.tell(2_010, Event::Terminate);
    assert_eq!(bench.answer(), Some(Answer::State(State::Active)));
    assert!(bench.machine.is_idle());
}

/// A caller is told "not run" of a job that runs. Its first try got no answer from the store, and
/// it was told that this is not known. It asks again while the store is away: nothing was sent
/// this time, but the first try may still be carried out, so it is not known now either.
#[test]
fn a_second_try_is_not_called_not_done_while_the_first_may_be_carried_out() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", submit()), None);
    let operation = Operation::Submit(vec!["1".to_owned()]);
    bench.store(1_500, 1_100, operation, Reply::Unavailable("no answer".to_owned()));
    for time in [1_500, 1_900, 2_150] {
        bench.machine.note_call(ms(time), &Way::Straight, false);
    }
    bench.tell(2_200, Event::Tick);
    assert!(matches!(bench.answer(), Some(Answer::Unknown { .. })), "{:?}", bench.answer());
    let other = bench.ask(2_250, "/q/2", "k", submit());
    assert!(is_refused(other.as_ref()), "{other:?}");
    assert_eq!(bench.ask(2_300, "/q/1", "k", submit()), None);
    let operation = Operation::Submit(vec!["1".to_owned()]);
    bench.store(3_340, 3_300, operation, Reply::NotDone("busy".to_owned()));
    bench.tell(3_360, Event::Tick);
    assert!(matches!(bench.answer(), Some(Answer::Unknown { .. })), "{:?}", bench.answer());
}

/// Callers at an entry that is cut off from the store wait a second or two for each acceptance.
/// Its calls went through the other entries in turn, and each time that one came up which was
/// cut off as well, the call waited out its time. The entry that answered last is asked first.
#[test]
fn calls_go_through_the_entry_that_answered_last() {
    let mut bench = Bench::configured(1_000);
    let feed = Feed {
        term: 2,
        version: 1,
        entries: ["a:1", "b:1", "c:1"].map(str::to_owned).to_vec(),
        ..Feed::default()
    };
    bench.tell(1_050, Event::Feed { sent: ms(1_040), feed: Some(Box::new(feed)) });
    bench.machine.note_call(ms(1_100), &Way::Straight, false);
    let good = Way::Through("b:1".to_owned());
    let mut tried = 0;
    loop {
        let way = bench.machine.way(false);
        bench.machine.note_call(ms(1_200), &way, way == good);
        tried += 1;
        if way == good {
            break;
        }
        assert!(tried < 3, "an entry was tried twice before all others");
    }
    for _ in 0..5 {
        assert_eq!(bench.machine.way(false), good);
        bench.machine.note_call(ms(1_300), &good, true);
    }
    bench.machine.note_call(ms(1_400), &good, false);
    assert_ne!(bench.machine.way(false), good);
}

/// Callers at an entry that is cut off alone wait a second before they try another one, which
/// would serve them at once. While the store is away for all, each try in vain is one less.
#[test]
fn callers_of_an_entry_that_is_cut_off_alone_are_sent_on_at_once() {
    let cut_off = |feed_at: u64| {
        let mut bench = Bench::configured(1_000);
        let feed = Feed { term: 1, version: 2, ..Feed::default() };
        bench.tell(feed_at, Event::Feed { sent: ms(feed_at), feed: Some(Box::new(feed)) });
        for time in [3_100, 3_500, 3_900] {
            bench.machine.note_call(ms(time), &Way::Straight, false);
        }
        bench.ask(4_000, "/q/1", "k", submit())
    };
    assert_matches!(cut_off(1_500), Some(Answer::NotDone { after: Duration::ZERO, .. }));
    assert_matches!(cut_off(3_900), Some(Answer::NotDone { after, .. }) if !after.is_zero());
}

/// Callers are sent to an entry that can't serve them. It is cut off, but calls itself ready for
/// as long as the keys that it knows may be served.
#[test]
fn an_entry_without_news_is_not_ready() {
    let bench = Bench::configured(1_000);
    assert!(bench.machine.is_ready(ms(3_900)));
    assert!(!bench.machine.is_ready(ms(4_100)));
}

fn supply(drain_ms: u64) -> Option<Box<Feed>> {
    let largest = Resources { millicores: 64_000, memory_mib: 262_144, accelerators: 8 };
    let supply = Supply {
        service: "s".to_owned(),
        largest: Some(largest.message()),
        backlogs: vec![Backlog { priority: 0, drain_ms }],
    };
    let feed = Feed { term: 1, version: 2, supplies: vec![supply], ..Feed::default() };
    Some(Box::new(feed))
}

fn submit_step(accelerators: u64, estimate_ms: u64) -> Action {
    let room = Resources { millicores: 1_000, memory_mib: 1_000, accelerators };
    let step = Step { tasks: 1, room: Some(room.message()), estimate_ms, ..Step::default() };
    Action::Submit(Ok(Handin { spec: String::new(), steps: vec![step], schedule: None }))
}

/// A job that no worker can hold was taken in and waited for ever; its caller asked again and
/// again. It is turned away at once, but only after a read: an earlier try, whose answer was
/// lost, may have brought it in.
#[test]
fn a_job_that_no_worker_can_hold_is_turned_away_unless_it_is_in() {
    let mut bench = Bench::configured(1_000);
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: supply(0) });
    let looked_up = |id: &str| Operation::LookUp(id.to_owned());
    assert_eq!(bench.ask(1_200, "/q/1", "k", submit_step(9, 1_000)), None);
    bench.store(1_210, 1_200, looked_up("1"), Reply::Value(Value::default()));
    assert_matches!(bench.answer(), Some(Answer::NotDone { after, .. }) if after >= ms(1_000));
    assert_eq!(bench.ask(1_300, "/q/2", "k", submit_step(9, 1_000)), None);
    let there = Value { revision: 5, bytes: Bytes::from("x") };
    bench.store(1_310, 1_300, looked_up("2"), Reply::Value(there));
    assert_eq!(bench.answer(), Some(Answer::Accepted));
    assert_eq!(bench.ask(1_400, "/q/3", "k", submit_step(8, 1_000)), None);
    assert_eq!(bench.calls.last(), Some(&Operation::Submit(vec!["3".to_owned()])));
}

/// What is known of the workers is as old as the planner's last news: with none for seconds,
/// nothing is turned away for it.
#[test]
fn nothing_is_turned_away_by_old_news_of_the_workers() {
    let mut bench = Bench::configured(1_000);
    bench.tell(1_100, Event::Feed { sent: ms(1_050), feed: supply(0) });
    assert_eq!(bench.ask(4_500, "/q/1", "k", submit_step(9, 1_000)), None);
    assert_eq!(bench.calls.last(), Some(&Operation::Submit(vec!["1".to_owned()])));
}

/// After a loss of power the jobs wait for over a second until somebody plans. The planner's key is
/// held by the life before of one of the entries that have just started, and it lapses only later.
/// That entry knows that its earlier life has ended, and gives the key back.
#[test]
fn an_entry_gives_back_the_key_of_its_earlier_life() {
    let read = |name: &str, address: &str, generation: u64| {
        let mut bench = Bench::configured(1_000);
        let lead = Lead { name: name.to_owned(), address: address.to_owned(), term: 0, generation };
        let value = Some(Bytes::from(lead.encode_to_vec()));
        let item = Item { key: "lead".to_owned(), value, revision: 40 };
        let reply = Reply::Items { items: vec![item], has_more: false, revision: 41 };
        bench.store(1_020, 1_010, Operation::Lead, reply);
        bench.calls.contains(&Operation::Release)
    };
    assert!(read("e", "e:1", 7));
    assert!(!read("e", "e:1", 1), "it is its own life");
    assert!(!read("f", "f:1", 7), "another entry holds it");
    assert!(!read("e", "e:9", 7), "another machine has the name");
}

/// Guards against a store that turns calls away and is asked for the same job thousands of times.
#[test]
fn a_look_up_that_is_turned_away_is_sent_again_after_a_pause() {
    let mut bench = Bench::configured(1_000);
    assert_eq!(bench.ask(1_100, "/q/1", "k", Action::Read), None);
    let look_up = || Operation::LookUp("1".to_owned());
    let mut answered = 0;
    for time in 1_100..1_200 {
        let sent = bench.calls.iter().filter(|call| **call == look_up()).count();
        assert!(sent < 4, "{sent} times by {time} ms");
        if sent > answered {
            answered = sent;
            bench.store(time, time, look_up(), Reply::NotDone("busy".to_owned()));
        } else {
            bench.tell(time, Event::Tick);
        }
    }
    bench.store(1_300, 1_290, look_up(), Reply::Value(Value::default()));
    assert_eq!(bench.answer(), Some(Answer::NoJob));
}

/// Guards against reading the planner's key and watching it in turn, without a pause, at a store
/// that keeps no history.
#[test]
fn a_watch_of_the_key_whose_history_is_gone_pauses() {
    let mut bench = Bench::configured(1_000);
    let nobody = |revision| Reply::Items { items: Vec::new(), has_more: false, revision };
    bench.store(1_020, 1_010, Operation::Lead, nobody(40));
    let reads = |bench: &Bench| bench.calls.iter().filter(|it| **it == Operation::Lead).count();
    let before = reads(&bench);
    bench.store(1_030, 1_020, Operation::LeadWatch, Reply::HistoryGone);
    assert_eq!(reads(&bench), before);
    bench.tell(1_400, Event::Tick);
    assert_eq!(reads(&bench), before + 1);
}

/// Guards against a caller that is told "not done" of a job that a later one of its tries, which got
/// no answer either, may still bring in.
#[test]
fn each_try_without_an_answer_may_be_carried_out_for_as_long() {
    let mut bench = Bench::configured(1_000);
    let operation = || Operation::Submit(vec!["1".to_owned()]);
    let unanswered = |bench: &mut Bench, at: u64| {
        bench.store(at, at, Operation::Proof, Reply::Committed(9));
        assert_eq!(bench.ask(at, "/q/1", "k", submit()), None);
        bench.store(at + 500, at, operation(), Reply::Unavailable("no answer".to_owned()));
        bench.tell(at + 1_300, Event::Tick);
        assert_matches!(bench.answer(), Some(Answer::Unknown { .. }));
    };
    unanswered(&mut bench, 2_000);
    unanswered(&mut bench, 15_000);
    bench.store(19_900, 19_900, Operation::Proof, Reply::Committed(9));
    assert_eq!(bench.ask(20_000, "/q/1", "k", submit()), None);
    bench.store(20_400, 20_000, operation(), Reply::NotDone("busy".to_owned()));
    bench.tell(21_300, Event::Tick);
    assert_matches!(bench.answer(), Some(Answer::Unknown { .. }));
}

/// Guards against a second without a planner: an entry that was told to end took the planner's key
/// with a write under way, and kept it until its process ended and the lease lapsed.
#[test]
fn an_entry_that_leaves_gives_back_a_key_that_it_takes_late() {
    let mut bench = Bench::configured(1_000);
    let nobody = Reply::Items { items: Vec::new(), has_more: false, revision: 41 };
    bench.store(1_020, 1_010, Operation::Lead, nobody);
    for time in (1_050..1_300).step_by(10) {
        bench.tell(time, Event::Tick);
    }
    bench.store(1_300, 1_290, Operation::Hold, Reply::Leased(5));
    bench.tell(1_310, Event::Terminate);
    bench.store(1_320, 1_300, Operation::Hold, Reply::Written(70));
    assert_eq!(bench.calls.last(), Some(&Operation::Release));
    assert_eq!(bench.machine.lead(), None);
}

fn submit_steps(steps: Vec<Step>, schedule: Option<Schedule>) -> Action {
    Action::Submit(Ok(Handin { spec: String::new(), steps, schedule }))
}

/// Guards against an entry that ends because the sum of a job's declared times has no number.
#[test]
fn a_job_that_would_take_longer_than_time_lasts_is_refused() {
    let mut bench = Bench::configured(1_000);
    let step = |index: u32| Step {
        tasks: 1,
        estimate_ms: u64::MAX,
        after: index.checked_sub(1).into_iter().collect(),
        ..Step::default()
    };
    let answer = bench.ask(1_100, "/q/1", "k", submit_steps((0..2_000).map(step).collect(), None));
    let Some(Answer::Malformed(reason)) = answer else { panic!("{answer:?}") };
    assert!(reason.contains("steps[0]: estimate_ms"), "{reason}");
}

/// Guards against a planner that fills its memory with occurrences that are all due at once.
#[test]
fn a_job_of_which_too_much_is_due_at_once_is_refused() {
    let mut bench = Bench::configured(1_000);
    let mut ask = |first_ms, interval_ms, times| {
        let schedule = Some(Schedule { first_ms, interval_ms, times });
        let steps = vec![Step { tasks: 1, ..Step::default() }];
        bench.ask(1_100, "/q/1", "k", submit_steps(steps, schedule))
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
