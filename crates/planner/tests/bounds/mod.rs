//! Tests of the bounds on waits: work that is due starts soon while most of the capacity is free.

use std::collections::{BTreeMap, BTreeSet};

use sapphire_jobs::{Ending, Incarnation, Job, Notice, Poll, Running, Step};
use sapphire_plan::stops;
use sapphire_planner::{event::Event, options::Options};

use crate::harness::{self, Fixture, START, TERM, ended, job, minion, resources, run, step};

/// Longest time in ms for which due work may wait while there is capacity for it twice over and under
/// half of the capacity is in use.
const WAIT_LIMIT: u64 = 3_000;
/// Interval of the polls, in ms.
const POLL_INTERVAL: u64 = 250;

fn of(accelerators: u64, estimate_ms: u64, step: Step) -> Step {
    Step { room: Some(resources(accelerators).message()), estimate_ms, ..step }
}

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Reports a worker in a rack; its minion runs all that was ordered.
fn report(fixture: &mut Fixture, name: &str, rack: &str) {
    let percent = u32::try_from(fixture.now / 300 % 100).expect("a percentage");
    let running = fixture.planner.workers().get(name).into_iter().flat_map(|worker| &worker.runs);
    let running = running.map(|(task, run)| Running {
        run: Some(task.run(run.number)),
        percent,
        ..Running::default()
    });
    let running = running.collect();
    let incarnation = Some(Incarnation { rack: rack.to_owned(), ..minion(name) });
    fixture.report(name, Poll { running, incarnation, ..Poll::default() });
}

/// Advances the time while the workers report; each is given with its rack.
fn advance(fixture: &mut Fixture, workers: &[(String, String)], time: u64) {
    for _ in 0..time / POLL_INTERVAL {
        for (name, rack) in workers {
            report(fixture, name, rack);
        }
        fixture.advance(POLL_INTERVAL);
    }
}

/// Returns a planner with some workers in each of some racks.
fn with_racks(racks: usize, workers: usize) -> (Fixture, Vec<(String, String)>) {
    let name = |rack: usize, worker: usize| (format!("w{rack}-{worker}"), format!("r{rack}"));
    let all: Vec<(String, String)> =
        (0..racks).flat_map(|rack| (0..workers).map(move |worker| name(rack, worker))).collect();
    let mut fixture = Fixture::new(Vec::new());
    for (name, rack) in &all {
        let incarnation = || Some(Incarnation { rack: rack.clone(), ..minion(name) });
        fixture.join(name, Vec::new(), Vec::new());
        fixture.report(name, Poll { incarnation: incarnation(), ..Poll::default() });
    }
    advance(&mut fixture, &all, 1_000);
    (fixture, all)
}

/// Returns the number of tasks that are placed on each worker.
fn placed(fixture: &Fixture) -> BTreeMap<String, usize> {
    let workers = fixture.planner.workers().iter();
    workers.map(|(name, worker)| (name.clone(), worker.runs.len())).collect()
}

/// Guards against a gang that has nothing running for eight expected run times while all but one
/// worker of each rack is idle: it waits for a rack of its own.
#[test]
fn a_gang_does_not_wait_for_one_rack() {
    let (mut fixture, workers) = with_racks(3, 3);
    for rack in ["r0", "r1", "r2"] {
        let small = Step { is_long_running: true, near_rack: rack.to_owned(), ..step(1, false) };
        submit(&mut fixture, job(rack, TERM, small));
    }
    advance(&mut fixture, &workers, 1_000);
    let busy = placed(&fixture).into_values().filter(|count| *count > 0).count();
    assert_eq!(busy, 3, "one worker of each rack is in use");
    let gang = Step { wants_one_rack: true, checkpoints: true, ..step(3, true) };
    submit(&mut fixture, job("gang", TERM, of(64, 2_000, gang)));
    advance(&mut fixture, &workers, WAIT_LIMIT);
    assert_ne!(fixture.worker_of("gang"), "", "it waits for one rack");
}

/// Guards against a task that waits until its slack is used up while two workers are idle that are
/// reserved for urgent work, of which there is none.
#[test]
fn a_task_does_not_wait_beside_workers_that_are_reserved_for_urgent_work() {
    let (mut fixture, workers) = with_racks(1, 10);
    let small = Step { is_long_running: true, per_worker: 1, ..step(8, false) };
    submit(&mut fixture, job("small", TERM, small));
    advance(&mut fixture, &workers, 1_000);
    let idle = placed(&fixture).into_values().filter(|count| *count == 0).count();
    assert_eq!(idle, 2, "two workers are idle");
    submit(&mut fixture, job("whole", TERM, of(64, 20_000, step(1, false))));
    advance(&mut fixture, &workers, WAIT_LIMIT);
    assert_ne!(fixture.worker_of("whole"), "", "it waits beside idle workers");
}

/// Guards against a task that never starts although two of eight workers are idle: it is so late that
/// it leaves room for urgent work, which keeps arriving.
#[test]
fn a_late_task_does_not_wait_beside_room_for_urgent_work() {
    let (mut fixture, workers) = with_racks(1, 8);
    let stops = Some(stops::Options { limit: 0.15 });
    fixture.planner.set_options(Options { stops, ..harness::options() });
    let small = Step { is_long_running: true, per_worker: 1, ..step(6, false) };
    submit(&mut fixture, job("small", TERM, small));
    advance(&mut fixture, &workers, 1_000);
    let idle = placed(&fixture).into_values().filter(|count| *count == 0).count();
    assert_eq!(idle, 2, "two workers are idle");
    let late = Job { accepted_ms: 1, ..job("late", TERM - 1, of(64, 2_000, step(1, false))) };
    for second in 0..WAIT_LIMIT / 1_000 {
        let id = format!("urgent{second}");
        let urgent = job(&id, TERM, of(64, 8_000, step(1, false)));
        let urgent = Job { queue: "urgent".to_owned(), priority: 0, ..urgent };
        // Cancelled at once, so that it takes no resources.
        fixture.handle(Event::Notice(Notice { jobs: vec![urgent], cancelled: vec![id] }));
        if second == 0 {
            submit(&mut fixture, late.clone());
        }
        advance(&mut fixture, &workers, 1_000);
    }
    assert_ne!(fixture.worker_of("late"), "", "it waits beside idle workers");
}

/// Guards against a task that waits while three of four workers are idle, because they are reserved
/// for a gang that can only start when a run on the fourth has ended.
#[test]
fn a_task_does_not_wait_for_a_reservation_of_idle_workers() {
    let (mut fixture, workers) = with_racks(1, 4);
    submit(&mut fixture, job("long", TERM, of(40, 30_000, step(1, false))));
    advance(&mut fixture, &workers, 500);
    submit(&mut fixture, job("gang", TERM, of(64, 30_000, step(4, true))));
    advance(&mut fixture, &workers, 500);
    submit(&mut fixture, job("small", TERM, of(32, 60_000, step(1, false))));
    advance(&mut fixture, &workers, WAIT_LIMIT);
    assert_eq!(fixture.worker_of("gang"), "", "the gang needs all workers");
    assert_ne!(fixture.worker_of("small"), "", "it waits beside idle workers");
}

/// Guards against a job that waits while nothing runs at all, because tasks of another job have failed
/// on all workers.
#[test]
fn a_job_does_not_wait_because_all_workers_are_excluded() {
    let (mut fixture, workers) = with_racks(1, 2);
    submit(&mut fixture, job("bad", TERM, Step { per_worker: 2, ..step(4, false) }));
    advance(&mut fixture, &workers, 500);
    for (name, _) in &workers {
        let runs = fixture.planner.workers()[name].runs.iter();
        let ends = runs
            .zip(1..)
            .map(|((task, run), number)| ended(number, task.run(run.number), Ending::Faulty));
        let ends: Vec<_> = ends.collect();
        assert_eq!(ends.len(), 2);
        fixture.poll(name, Vec::new(), ends);
    }
    submit(&mut fixture, job("good", TERM, step(1, false)));
    advance(&mut fixture, &workers, WAIT_LIMIT);
    assert_ne!(fixture.worker_of("good"), "", "all workers are excluded");
}

/// Guards against a task that never runs: its minion hangs and answers no start, while the agent
/// beside it goes on polling. After the longest delay of a call and the longest lease nothing of the
/// run can be left.
#[test]
fn a_start_does_not_wait_for_ever_for_a_minion_that_hangs() {
    const DELAY: u64 = 12_300;
    let mut fixture = Fixture::new(Vec::new());
    for name in ["a", "b"] {
        fixture.join(name, Vec::new(), Vec::new());
    }
    submit(&mut fixture, job("j", TERM, step(1, false)));
    let first = fixture.worker_of("j");
    let other = if first == "a" { "b" } else { "a" };
    let start = run("j", 0, 1_001);
    let lists = fixture.sequence[&first];
    let token = fixture.tokens[&first];
    let limit = DELAY + 10_500 + WAIT_LIMIT;
    for _ in 0..limit / POLL_INTERVAL {
        let sequence = fixture.sequence.get_mut(&first).expect("it has joined");
        *sequence += 1;
        let is_stopped = fixture.stops().contains(&start);
        let outstanding = vec![start.clone()];
        let (pending, stopping) =
            if is_stopped { (Vec::new(), outstanding) } else { (outstanding, Vec::new()) };
        let poll = Poll {
            agent: first.clone(),
            address: format!("{first}:1"),
            generation: 1,
            sequence: fixture.sequence[&first],
            lists,
            list_age_ms: fixture.now.saturating_sub(START),
            incarnation: Some(Incarnation { is_silent: true, ..minion(&first) }),
            fenced_token: token,
            pending,
            stopping,
            ..Poll::default()
        };
        fixture.requester += 1;
        let requester = fixture.requester;
        fixture.handle(Event::Poll(requester, Box::new(poll)));
        report(&mut fixture, other, "r");
        fixture.advance(POLL_INTERVAL);
    }
    assert_eq!(fixture.worker_of("j"), other, "it is left to a minion that hangs");
}

/// Lets a worker run a task and its minion then send no list for a time, while its agent polls. Returns
/// the time after which the run counts as lost, if it does.
fn lost_after_silence(time: u64) -> Option<u64> {
    let mut fixture = Fixture::new(Vec::new());
    fixture.join("a", Vec::new(), Vec::new());
    submit(&mut fixture, job("j", TERM, step(1, false)));
    let start = run("j", 0, 1_001);
    let running = vec![Running { run: Some(start), ..Running::default() }];
    fixture.poll("a", running.clone(), Vec::new());
    let (lists, since) = (fixture.sequence["a"], fixture.now);
    while fixture.now < since + time {
        let age = fixture.now - since;
        let report = Poll { running: running.clone(), list_age_ms: age, ..Poll::default() };
        fixture.report_list("a", lists, report);
        fixture.advance(POLL_INTERVAL);
        if fixture.log.iter().any(|line| line.contains("minion hangs")) {
            return Some(fixture.now - since);
        }
    }
    None
}

/// Guards against work that is lost with each short silence of a minion, of the length that the
/// platform's disruptions have.
#[test]
fn a_minion_that_is_silent_for_a_few_seconds_keeps_its_runs() {
    assert_eq!(lost_after_silence(10_000), None);
}

/// Guards against a run that is believed to go on for ever on a minion that hangs.
#[test]
fn a_run_on_a_minion_that_hangs_is_lost_with_its_lease() {
    let lost = lost_after_silence(20_000).expect("it is lost");
    assert!((11_000..12_500).contains(&lost), "lost after {lost} ms");
}

/// Guards against a gang that starts on several racks, where it is slower, at the moment at which the
/// step before it is done: the time for which that step ran is no wait for a better place.
#[test]
fn a_gang_of_a_later_step_waits_for_one_rack_for_a_while() {
    let (mut fixture, workers) = with_racks(3, 3);
    for rack in ["r0", "r1", "r2"] {
        let small = Step { is_long_running: true, near_rack: rack.to_owned(), ..step(1, false) };
        submit(&mut fixture, job(rack, TERM, small));
    }
    let gang = Step { wants_one_rack: true, after: vec![0], ..of(64, 2_000, step(3, true)) };
    let steps = vec![step(1, false), gang];
    submit(&mut fixture, Job { steps, ..job("j", TERM, step(1, false)) });
    advance(&mut fixture, &workers, 3_000);
    let first = fixture.worker_of("j");
    let end = ended(1, run("j", 0, 1), Ending::Done);
    let (_, rack) = workers.iter().find(|(name, _)| *name == first).expect("it has started");
    let incarnation = Some(Incarnation { rack: rack.clone(), ..minion(&first) });
    fixture.report(&first, Poll { incarnation, ended: vec![end], ..Poll::default() });
    advance(&mut fixture, &workers, 500);
    let racks: BTreeSet<&str> = (workers.iter())
        .filter(|(name, _)| fixture.planner.workers()[name].runs.keys().any(|task| task.job == "j"))
        .map(|(_, rack)| rack.as_str())
        .collect();
    assert_eq!(racks, BTreeSet::new(), "it has waited for 500 ms at most");
}
