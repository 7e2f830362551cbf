//! Tests of runs that are placed and have not begun: none stays so for longer than it has to.

use sapphire_jobs::{Ending, Incarnation, Notice, Poll, Run, Running, Step};
use sapphire_planner::event::{Event, Operation};
use sapphire_store::call::Reply;

use crate::harness::{Fixture, TERM, ended, job, minion, run, step};

/// Longest time in ms for which due work may have nothing running beside idle workers.
const LIMIT: u64 = 3_000;
/// Interval of the polls, in ms.
const POLL_INTERVAL: u64 = 250;
/// Time after which each test ends.
const END: u64 = 60_000;

/// Answers the writes of the handover record.
fn answer_records(fixture: &mut Fixture) {
    let is_record = |operation: &Operation| matches!(operation, Operation::Unanswered(_));
    while let Some(at) = fixture.calls.iter().position(|(operation, _)| is_record(operation)) {
        let (operation, _) = fixture.calls.remove(at);
        fixture.handle(Event::Store(operation, Reply::Committed(70)));
    }
}

/// Reports a worker whose minion carries out all orders at once.
fn report(fixture: &mut Fixture, name: &str) {
    let (starts, stops) = (fixture.starts(), fixture.stops());
    let runs = fixture.planner.workers().get(name).into_iter().flat_map(|worker| &worker.runs);
    let runs = runs.map(|(task, run)| task.run(run.number));
    let (stopped, others): (Vec<Run>, Vec<Run>) = runs.partition(|run| stops.contains(run));
    let running = |run: Run| Running { run: Some(run), ..Running::default() };
    let running = others.into_iter().filter(|run| starts.contains(run)).map(running).collect();
    let number = fixture.sequence[name];
    let ended = |run: Run| ended(number, run, Ending::Stopped);
    let ended = stopped.into_iter().map(ended).collect();
    fixture.report(name, Poll { running, ended, ..Poll::default() });
}

/// Submits a job to three workers while the store is slow, so that its starts are placed and their
/// orders wait for the handover record. Returns the worker of its first task.
fn placed(step: Step) -> (Fixture, String) {
    let mut fixture = Fixture::new(Vec::new());
    for name in ["a", "b", "c"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    fixture.answers_records = false;
    let notice = Notice { jobs: vec![job("j", TERM, step)], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    let first = fixture.worker_of("j");
    assert_ne!(first, "", "it is placed");
    assert!(fixture.starts().is_empty(), "no order is sent before the record is written");
    (fixture, first)
}

/// Lets the others report for a time.
fn advance(fixture: &mut Fixture, without: &str, time: u64) {
    for _ in 0..time / POLL_INTERVAL {
        for name in ["a", "b", "c"].into_iter().filter(|name| *name != without) {
            report(fixture, name);
        }
        fixture.advance(POLL_INTERVAL);
    }
}

/// Returns the time after which all tasks of the job run on other workers than `lost`.
fn goes_on_after(fixture: &mut Fixture, lost: &str, tasks: usize) -> u64 {
    let since = fixture.now;
    while fixture.now < since + END {
        advance(fixture, lost, POLL_INTERVAL);
        answer_records(fixture);
        let others = fixture.planner.workers().iter().filter(|(name, _)| *name != lost);
        let runs = others.flat_map(|(_, worker)| worker.runs.iter());
        let running = runs.filter(|(task, run)| task.job == "j" && run.is_started);
        if running.count() == tasks {
            return fixture.now - since;
        }
    }
    END
}

/// Guards against a task that waits for the lease and for late starts of a worker that vanished before
/// the order was sent there.
#[test]
fn a_task_whose_order_was_not_sent_does_not_wait_for_a_lost_worker() {
    let (mut fixture, lost) = placed(step(1, false));
    // The polls that were waiting are answered without a start.
    fixture.advance(700);
    answer_records(&mut fixture);
    let took = goes_on_after(&mut fixture, &lost, 1);
    assert!(took < LIMIT, "goes on after {took} ms");
}

/// Guards against a gang that waits for one member whose order was never sent.
#[test]
fn a_gang_with_an_order_that_was_not_sent_does_not_wait_for_a_lost_worker() {
    let (mut fixture, lost) = placed(Step { per_worker: 1, ..step(2, true) });
    fixture.advance(700);
    answer_records(&mut fixture);
    let took = goes_on_after(&mut fixture, &lost, 2);
    assert!(took < LIMIT, "goes on after {took} ms");
}

/// Guards against a task that waits for a minion that hung before the order was sent there, while its
/// agent goes on polling.
#[test]
fn a_task_whose_order_was_not_sent_does_not_wait_for_a_minion_that_hangs() {
    let (mut fixture, hanging) = placed(step(1, false));
    let (lists, since) = (fixture.sequence[&hanging], fixture.now);
    let mut took = END;
    while fixture.now < since + END {
        let age = fixture.now - since;
        let report = Poll { list_age_ms: age, ..Poll::default() };
        fixture.report_list(&hanging, lists, report);
        advance(&mut fixture, &hanging, POLL_INTERVAL);
        if fixture.now >= since + 2_250 {
            answer_records(&mut fixture);
        }
        let place = fixture.worker_of("j");
        if !place.is_empty() && place != hanging {
            took = fixture.now - since;
            break;
        }
    }
    assert!(took < LIMIT, "goes on after {took} ms");
}

/// Guards against a gang that waits for late starts of an agent that was restarted before it had
/// received any order.
#[test]
fn a_gang_with_orders_that_were_not_sent_does_not_wait_after_its_agents_have_restarted() {
    let (mut fixture, _) = placed(Step { per_worker: 1, ..step(3, true) });
    fixture.advance(700);
    answer_records(&mut fixture);
    for name in ["a", "b", "c"] {
        fixture.restart_agent(name);
        fixture.poll(name, Vec::new(), Vec::new());
    }
    let took = goes_on_after(&mut fixture, "none", 3);
    assert!(took < LIMIT, "goes on after {took} ms");
}

/// Guards against a run that is believed to go on for ever on a minion that hangs: its agent has been
/// restarted since, and polls in a session that the minion has never acknowledged.
#[test]
fn a_run_on_a_minion_that_hangs_is_lost_with_its_lease_after_its_agent_has_restarted() {
    let mut fixture = Fixture::new(Vec::new());
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    let hanging = fixture.worker_of("j");
    let other = if hanging == "a" { "b" } else { "a" };
    report(&mut fixture, &hanging);
    fixture.restart_agent(&hanging);
    let since = fixture.now;
    while fixture.now < since + END && fixture.worker_of("j") != other {
        // No list of the minion has reached this process of the agent.
        let incarnation = Some(Incarnation { is_silent: true, ..minion(&hanging) });
        fixture.tokens.remove(&hanging);
        fixture.report_list(&hanging, 0, Poll { incarnation, ..Poll::default() });
        report(&mut fixture, other);
        fixture.advance(POLL_INTERVAL);
    }
    let took = fixture.now - since;
    assert!(took < 7_500, "lost after {took} ms");
}

/// Guards against a run that is lost as that of a minion that hangs, although its agent is back in time: the
/// first list of a session takes a poll that the planner holds.
#[test]
fn a_worker_whose_agent_is_back_before_the_lease_ends_has_time_for_a_list() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    report(&mut fixture, "a");
    let since = fixture.now;
    let has_run = |fixture: &Fixture| {
        fixture.planner.workers().get("a").is_some_and(|worker| !worker.runs.is_empty())
    };
    fixture.advance(5_870);
    fixture.restart_agent("a");
    fixture.tokens.remove("a");
    let incarnation = Some(minion("a"));
    fixture.report_list("a", 0, Poll { incarnation, ..Poll::default() });
    while fixture.now < since + 6_750 {
        fixture.advance(50);
        assert!(has_run(&fixture), "lost after {} ms", fixture.now - since);
    }
    fixture.advance(600);
    assert!(!has_run(&fixture), "its minion sends no list");
}

/// Guards against runs that lapse although their agent is in contact: it reports changes so often that
/// the planner answers each of its polls only when the next one arrives.
#[test]
fn an_agent_that_reports_often_keeps_its_lease() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("a", Vec::new(), Vec::new());
    let step = Step { estimate_ms: 60_000, ..step(1, false) };
    let notice = Notice { jobs: vec![job("j", TERM, step)], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    report(&mut fixture, "a");
    fixture.advance(700);
    let (since, mut seen) = (fixture.now, fixture.orders.len());
    let mut granted_at = since;
    while fixture.now < since + 6_000 {
        report(&mut fixture, "a");
        fixture.advance(150);
        if fixture.orders[seen..].iter().any(|(_, orders)| orders.lease_ms > 0) {
            granted_at = fixture.now;
        }
        seen = fixture.orders.len();
        let waited = fixture.now - granted_at;
        assert!(waited < 1_000, "no lease is granted for {waited} ms");
    }
    assert!(fixture.stops().is_empty());
}

/// Guards against a group that stays ordered for ever: its minion lists a later run of the task, which
/// takes the place of the ordered one.
#[test]
fn a_later_run_that_is_listed_ends_the_one_that_was_ordered() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    assert_eq!(fixture.starts(), vec![run("j", 0, 1)]);
    // The terms were counted anew, and a start of an earlier term is carried out late.
    let running = vec![Running { run: Some(run("j", 0, 1_001)), ..Running::default() }];
    fixture.poll("a", running, Vec::new());
    fixture.advance(POLL_INTERVAL);
    fixture.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Lapsed)]);
    let since = fixture.now;
    while fixture.now < since + END && fixture.starts().len() < 2 {
        report(&mut fixture, "a");
        fixture.advance(POLL_INTERVAL);
    }
    let took = fixture.now - since;
    assert!(took < LIMIT, "goes on after {took} ms");
}

/// Guards against runs that are lost, and a worker that is of no use until then, since its agent was started
/// again after its clock had been set back: it seems to be an earlier process.
#[test]
fn a_worker_goes_on_when_its_agent_restarts_with_an_earlier_clock() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.generations.insert("a".to_owned(), 10);
    fixture.join("a", Vec::new(), Vec::new());
    let step = Step { estimate_ms: 60_000, ..step(1, false) };
    let notice = Notice { jobs: vec![job("j", TERM, step)], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    let start = run("j", 0, 1);
    let running = || vec![Running { run: Some(start.clone()), ..Running::default() }];
    fixture.poll("a", running(), Vec::new());
    fixture.generations.insert("a".to_owned(), 9);
    fixture.tokens.remove("a");
    let since = fixture.now;
    while fixture.now < since + END && !fixture.log[2..].iter().any(|it| it.ends_with("running=1"))
    {
        fixture.poll("a", running(), Vec::new());
        fixture.advance(POLL_INTERVAL);
    }
    let took = fixture.now - since;
    assert!(took < LIMIT, "fenced after {took} ms");
    assert!(!fixture.log.iter().any(|line| line.contains("declared lost")));
}

/// Guards against delayed polls of an agent's earlier process that take the place of the present one, which
/// is cut off for a moment: they may name another minion.
#[test]
fn delayed_polls_of_an_earlier_process_change_nothing() {
    let mut fixture = Fixture::new(Vec::new());
    fixture.generations.insert("a".to_owned(), 10);
    fixture.join("a", Vec::new(), Vec::new());
    let before = fixture.planner.workers()["a"].clone();
    fixture.advance(2_000);
    fixture.generations.insert("a".to_owned(), 9);
    for _ in 0..2 {
        let incarnation = Some(Incarnation { id: "other".to_owned(), ..minion("a") });
        fixture.report("a", Poll { incarnation, ..Poll::default() });
    }
    let after = &fixture.planner.workers()["a"];
    assert_eq!((after.token, &after.incarnation), (before.token, &before.incarnation));
}

/// Guards against a gang that waits for a start which its agent has never received: the agent was cut off for
/// longer than the lease, and reports that it has no such start when it is back.
#[test]
fn a_gang_does_not_wait_for_a_start_that_its_agent_did_not_receive() {
    let mut fixture = Fixture::new(Vec::new());
    for name in ["a", "b", "c"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    let gang = Step { per_worker: 1, ..step(2, true) };
    let notice = Notice { jobs: vec![job("j", TERM, gang)], ..Notice::default() };
    fixture.handle(Event::Notice(notice));
    let cut_off = fixture.worker_of("j");
    assert_eq!(fixture.starts().len(), 2, "the orders are sent");
    advance(&mut fixture, &cut_off, 8_000);
    assert!(!fixture.planner.workers().contains_key(&cut_off));
    let since = fixture.now;
    let begun = |fixture: &Fixture| {
        let runs = fixture.planner.workers().values().flat_map(|worker| worker.runs.values());
        runs.filter(|run| run.is_started).count()
    };
    while fixture.now < since + END && begun(&fixture) < 2 {
        advance(&mut fixture, "none", POLL_INTERVAL);
    }
    let took = fixture.now - since;
    assert!(took < LIMIT, "goes on after {took} ms");
}
