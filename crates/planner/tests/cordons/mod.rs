//! Tests of cordoned zones, in which nothing is started. Each worker is in a zone of its own, `z-`
//! and its name.

use prost::Message as _;
use sapphire_jobs::{
    Ending, Job, Notice, Poll, Rejection, Running, Step, Verdict, resources::Resources,
};
use sapphire_planner::{event::Event, keys, options::Options};
use sapphire_store::call::Reply;

use crate::harness::{
    Fixture, START, TERM, ended, fleet, item, job, ms, no_starts, options, resources, run, step,
};

/// Time after its cordon from which on nothing may be started in a zone, in ms.
const DEADLINE: u64 = 5_000;

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Returns a planner with idle workers of these names.
fn idle(names: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(vec![fleet(1, names)]);
    for name in names {
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture
}

/// Guards against a start in a cordoned zone, and against work that waits although another zone has
/// idle workers.
#[test]
fn nothing_is_placed_in_a_cordoned_zone() {
    let mut fixture = idle(&["a", "b"]);
    fixture.cordon(&["z-a"]);
    submit(&mut fixture, job("j", TERM, step(3, false)));
    assert_eq!(fixture.worker_of("j"), "b");
    assert_eq!(fixture.starts().len(), 3);
    let placed = &fixture.planner.workers()["a"].runs;
    assert!(placed.is_empty(), "{placed:?}");
}

/// Guards against a zone that stays closed, and against a job that waits without a reason in the
/// log.
#[test]
fn a_zone_is_used_again_once_its_cordon_is_gone() {
    let mut fixture = idle(&["a"]);
    fixture.cordon(&["z-a"]);
    submit(&mut fixture, job("j", TERM, step(1, false)));
    fixture.advance(400);
    assert_eq!(fixture.starts(), Vec::new());
    let waits = fixture.log.iter().filter(|line| line.contains("free workers are cordoned"));
    assert_eq!(waits.count(), 1, "one line for the job: {:?}", fixture.log);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.cordon(&[]);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), vec![run("j", 0, 1_001)]);
    let lines: Vec<&String> =
        fixture.log.iter().filter(|line| line.starts_with("zone=z-a")).collect();
    assert_eq!(
        lines,
        [
            "zone=z-a is cordoned: workers=1 runs=0 released_claims=0",
            "zone=z-a is no longer cordoned"
        ]
    );
}

/// Guards against a successor that starts tasks in a zone that was cordoned before its term.
#[test]
fn no_order_is_given_before_the_cordons_are_known() {
    let mut fixture = Fixture::reading_without_cordons();
    fixture.reply(Reply::Items {
        items: vec![
            fleet(1, &["a"]),
            no_starts(1),
            item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        ],
        has_more: false,
        revision: 40,
    });
    fixture.reply(Reply::Committed(60));
    fixture.join("a", Vec::new(), Vec::new());
    fixture.advance(1_000);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), Vec::new());
    assert!(fixture.unread_cordons > 0);
    fixture.list_cordons(&["z-a"]);
    fixture.advance(500);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts(), Vec::new());
    fixture.cordon(&[]);
    fixture.poll("a", Vec::new(), Vec::new());
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against work that is stopped because of a cordon: a successor adopts what runs in the
/// zone.
#[test]
fn what_runs_in_a_cordoned_zone_goes_on() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    fixture.cordon(&["z-a"]);
    let running =
        |percent| vec![Running { run: Some(run("j", 0, 1)), percent, ..Running::default() }];
    fixture.join("a", running(1), Vec::new());
    for round in 1..10 {
        fixture.advance(300);
        fixture.poll("a", running(round * 10), Vec::new());
    }
    assert_eq!(fixture.stops(), Vec::new());
    assert_eq!(fixture.worker_of("j"), "a");
}

/// Guards against a start that was ordered before the cordon and is sent after it: the agent learns
/// of the cordon at once, refuses the start, and the task goes to another zone.
#[test]
fn an_ordered_start_goes_elsewhere() {
    let mut fixture = idle(&["a", "b"]);
    submit(&mut fixture, job("j", TERM, step(1, false)));
    let name = fixture.worker_of("j");
    let other = if name == "a" { "b" } else { "a" };
    let pending = vec![run("j", 0, 1_001)];
    fixture.report(&name, Poll { pending: pending.clone(), ..Poll::default() });
    let answers = fixture.orders.len();
    fixture.cordon(if name == "a" { &["z-a"] } else { &["z-b"] });
    let (_, orders) = &fixture.orders[answers];
    assert!(orders.is_cordoned, "the poll that waits is answered at once");
    let verdict = Verdict { run: pending.first().cloned(), rejection: Rejection::Cordoned.into() };
    fixture.report(&name, Poll { verdicts: vec![verdict], ..Poll::default() });
    assert_eq!(fixture.worker_of("j"), other);
}

/// Guards against a start that waits in a poll while the zone is cordoned: with the order, the agent
/// learns that it must not carry it out.
#[test]
fn an_order_in_a_cordoned_zone_says_so() {
    let mut fixture = idle(&["a"]);
    submit(&mut fixture, job("j", TERM, step(1, false)));
    fixture.cordon(&["z-a"]);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(700);
    let late = fixture.orders.iter().rev().find(|(_, orders)| !orders.starts.is_empty());
    let (_, orders) = late.expect("the order is repeated until it is refused");
    assert!(orders.is_cordoned);
}

/// Guards against a gang of which a part runs: one of its members is refused in a cordoned zone, so
/// that the others are stopped, and the whole gang starts in the other zones.
#[test]
fn a_gang_that_is_ordered_in_part_starts_whole_elsewhere() {
    let mut fixture = idle(&["a", "b", "c"]);
    let whole = Step { room: Some(resources(8).times(8).message()), ..step(2, true) };
    submit(&mut fixture, job("j", TERM, whole));
    let names: Vec<String> = (fixture.planner.workers().iter())
        .filter(|(_, worker)| !worker.runs.is_empty())
        .map(|(name, _)| name.clone())
        .collect();
    assert_eq!(names, ["a", "c"]);
    let member = |name: &str, fixture: &Fixture| {
        let (task, run) = fixture.planner.workers()[name].runs.first_key_value().expect("placed");
        task.run(run.number)
    };
    let (refused, other) = (member("a", &fixture), member("c", &fixture));
    fixture.cordon(&["z-a"]);
    let running = || vec![Running { run: Some(other.clone()), ..Running::default() }];
    fixture.poll("c", running(), Vec::new());
    let verdict = Verdict { run: Some(refused), rejection: Rejection::Cordoned.into() };
    fixture.report("a", Poll { verdicts: vec![verdict], ..Poll::default() });
    fixture.poll("c", running(), Vec::new());
    assert_eq!(fixture.stops().first(), Some(&other));
    fixture.poll("c", Vec::new(), vec![ended(1, other.clone(), Ending::Stopped)]);
    fixture.poll("b", Vec::new(), Vec::new());
    fixture.advance(400);
    let placed = |name: &str| fixture.planner.workers()[name].runs.len();
    assert_eq!((placed("a"), placed("b"), placed("c")), (0, 1, 1));
}

/// Guards against a long-running task that is restarted in a cordoned zone.
#[test]
fn a_long_running_task_is_restarted_elsewhere() {
    let mut fixture = idle(&["a", "b"]);
    submit(&mut fixture, job("j", TERM, Step { is_long_running: true, ..step(1, false) }));
    let name = fixture.worker_of("j");
    let other = if name == "a" { "b" } else { "a" };
    let running = Running { run: Some(run("j", 0, 1_001)), ..Running::default() };
    fixture.poll(&name, vec![running], Vec::new());
    fixture.cordon(if name == "a" { &["z-a"] } else { &["z-b"] });
    fixture.poll(&name, Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Faulty)]);
    fixture.poll(other, Vec::new(), Vec::new());
    fixture.advance(400);
    assert_eq!(fixture.worker_of("j"), other);
}

/// Guards against urgent work that waits for resources in a zone in which nothing may be started:
/// its claim there is dropped, and it has work stopped elsewhere.
#[test]
fn urgent_work_claims_resources_elsewhere() {
    let mut fixture = idle(&["a", "b"]);
    let full = Step { room: Some(resources(64).message()), ..step(2, false) };
    submit(&mut fixture, job("low", TERM, full.clone()));
    let running = |name: &str, fixture: &Fixture| {
        let (task, run) = fixture.planner.workers()[name].runs.first_key_value().expect("placed");
        let percent = u32::try_from((fixture.now - START) / 400).unwrap_or(0);
        Running { run: Some(task.run(run.number)), percent, ..Running::default() }
    };
    let urgent = Job {
        queue: "urgent".to_owned(),
        priority: 0,
        ..job("urgent", TERM, Step { tasks: 1, estimate_ms: 1_000, ..full })
    };
    for _ in 0..5 {
        for name in ["a", "b"] {
            let report = vec![running(name, &fixture)];
            fixture.poll(name, report, Vec::new());
        }
        fixture.advance(100);
    }
    submit(&mut fixture, urgent);
    let claimed = |fixture: &Fixture| {
        let groups = &fixture.planner.table().entries["urgent"].groups;
        let claim = groups.values().next().and_then(|group| group.claim.clone());
        claim.and_then(|claim| claim.assignments.first().map(|(name, _)| name.clone()))
    };
    let first = claimed(&fixture).expect("it has work stopped");
    let other = if first == "a" { "b" } else { "a" };
    fixture.cordon(if first == "a" { &["z-a"] } else { &["z-b"] });
    fixture.advance(100);
    assert_eq!(claimed(&fixture).as_deref(), Some(other));
}

/// Guards against cordons that are missed when the store has dropped its history.
#[test]
fn the_list_is_read_again_when_the_history_is_gone() {
    let mut fixture = idle(&["a"]);
    fixture.cordoned = Some(vec!["z-a"]);
    fixture
        .handle(Event::Store(sapphire_planner::event::Operation::CordonWatch, Reply::HistoryGone));
    assert_eq!(fixture.planner.cordoned_zones(), 1);
}

/// Guards against cordons that are missed while the watch is silent: the list is read at intervals
/// in any case.
#[test]
fn a_cordon_that_no_watch_reports_is_found() {
    let mut fixture = idle(&["a"]);
    fixture.cordoned = Some(vec!["z-a"]);
    fixture.advance(2_000);
    assert_eq!(fixture.planner.cordoned_zones(), 1);
}

/// Guards against a start in a zone whose cordon this planner can't know, since the store answers
/// other processes only. The agents may send starts until shortly before the deadline, and not
/// longer.
#[test]
fn starts_end_when_the_list_is_too_old() {
    // Only the list limits the time for starts.
    let options = Options { cancel_deadline: ms(60_000), ..options() };
    let mut fixture = Fixture::with_options(options, vec![fleet(1, &["a"]), no_starts(1)]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.cordoned = None;
    fixture.advance(1_600);
    let unknown_since = fixture.now - 1_600;
    let mut last_window = u64::MAX;
    while fixture.now < unknown_since + DEADLINE {
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.advance(700);
        let (_, orders) = fixture.orders.last().expect("the poll was answered");
        assert!(fixture.now + orders.starts_ms <= unknown_since + DEADLINE + 700);
        assert!(orders.starts_ms <= last_window);
        last_window = orders.starts_ms;
    }
    assert_eq!(last_window, 0);
    submit(&mut fixture, job("j", TERM, step(1, false)));
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(300);
    assert_eq!(fixture.starts(), Vec::new());
    fixture.list_cordons(&[]);
    fixture.poll("a", Vec::new(), Vec::new());
    fixture.advance(300);
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against cordons on later pages of a long list that are ignored, and against a list that
/// takes effect before it is complete.
#[test]
fn a_list_of_several_pages_is_read_whole() {
    let mut fixture = idle(&["a", "b"]);
    fixture.cordoned = None;
    fixture.advance(2_000);
    assert_eq!(fixture.unread_cordons, 1);
    fixture.cordon_page(&["z-a"], true);
    assert_eq!(fixture.planner.cordoned_zones(), 0);
    assert_eq!(fixture.unread_cordons, 2, "the next page is requested");
    fixture.cordon_page(&["z-b"], false);
    assert_eq!(fixture.planner.cordoned_zones(), 2);
}

/// Guards against one invalid record that hides the others: a key that names no zone is ignored, a
/// value that can't be decoded is not needed, and the log says so once.
#[test]
fn invalid_cordons_are_logged_and_the_others_hold() {
    let mut fixture = idle(&["a", "b", "c"]);
    let bad = item("cordons/z-b".to_owned(), b"bad".to_vec());
    fixture.bad_cordons = vec![item("cordons/".to_owned(), b"{}".to_vec()), bad];
    fixture.cordon(&["z-a"]);
    fixture.advance(4_000);
    assert_eq!(fixture.planner.cordoned_zones(), 2);
    let lines: Vec<&String> =
        fixture.log.iter().filter(|line| line.starts_with("cordon key")).collect();
    assert_eq!(
        lines,
        [
            "cordon key=cordons/ ignored, but invalid: invalid",
            "cordon key=cordons/z-b in force, but invalid: invalid"
        ]
    );
}

/// Guards against a zone that counts as open because its cordon was lifted and set again within a
/// second, and against a cordon of a zone without workers that disturbs the others.
#[test]
fn cordons_follow_each_other_quickly() {
    let mut fixture = idle(&["a", "b"]);
    for zones in [&["z-a", "nowhere"][..], &[], &["z-a"], &["z-b"], &["z-a", "z-b"], &["z-a"]] {
        fixture.cordon(zones);
        fixture.advance(150);
        assert_eq!(fixture.planner.cordoned_zones(), zones.len());
    }
    submit(&mut fixture, job("j", TERM, step(1, false)));
    assert_eq!(fixture.worker_of("j"), "b");
}

/// Guards against jobs that are rejected as too large while the workers that could hold them are
/// cordoned for a time, and against a backlog that counts on these workers.
#[test]
fn cordoned_workers_count_for_what_may_run_later_only() {
    let mut fixture = idle(&["a", "b"]);
    for _ in 0..12 {
        fixture.advance(500);
        fixture.poll("a", Vec::new(), Vec::new());
        fixture.poll("b", Vec::new(), Vec::new());
    }
    let drain = |fixture: &mut Fixture| {
        fixture.advance(600);
        fixture.feed("e2", 0);
        let feed = fixture.feeds.last().expect("a feed").clone();
        let supply = feed.supplies.first().cloned().expect("a supply");
        let largest = Resources::read(supply.largest.as_ref());
        (largest, supply.backlogs.first().map_or(0, |backlog| backlog.drain_ms))
    };
    let heavy = Step { room: Some(resources(64).message()), ..step(4, false) };
    submit(&mut fixture, job("j", TERM, heavy));
    let (largest, before) = drain(&mut fixture);
    fixture.cordon(&["z-a"]);
    for name in ["a", "b"] {
        fixture.poll(name, Vec::new(), Vec::new());
    }
    let (still_largest, after) = drain(&mut fixture);
    assert_eq!(largest, still_largest);
    assert!(after > before, "{before} ms before, {after} ms with half of the workers");
}
