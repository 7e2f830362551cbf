//! Tests of the limit of stops: claims that are held, and capacity that is kept for urgent work.

use sapphire_jobs::{Job, Notice, Step};
use sapphire_plan::stops;
use sapphire_planner::{event::Event, options::Options};

use super::{Minions, full_workers_at, urgent};
use crate::harness::{self, Fixture, START, TERM, job, resources, step};

fn limit_stops(fixture: &mut Fixture) {
    let stops = Some(stops::Options { limit: 0.15 });
    fixture.planner.set_options(Options { stops, ..harness::options() });
}

/// Returns a planner that limits stops, and workers full of small tasks that are far from their end.
fn limited(names: &[&str]) -> (Fixture, Minions) {
    let (mut fixture, minions) = full_workers_at(names, Some(5));
    limit_stops(&mut fixture);
    (fixture, minions)
}

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

fn running(fixture: &Fixture, id: &str) -> usize {
    let workers = fixture.planner.workers().values();
    workers.flat_map(|worker| worker.runs.keys()).filter(|task| task.job == id).count()
}

fn claimed_worker(fixture: &Fixture, id: &str) -> Option<String> {
    let mut groups = fixture.planner.table().entries[id].groups.values();
    Some(groups.find_map(|group| group.claim.clone())?.assignments[0].0.clone())
}

/// Submits an urgent job that needs a whole worker, and lets the planner order stops for it. Returns
/// the worker that is claimed.
fn claim(fixture: &mut Fixture) -> String {
    let whole = Job { accepted_ms: fixture.now, ..urgent("whole", 64) };
    submit(fixture, whole);
    fixture.advance(100);
    claimed_worker(fixture, "whole").expect("a worker is claimed")
}

/// Guards against resources that stay claimed, and work that stays stopped, for a job that was
/// cancelled while its stops were under way.
#[test]
fn stopped_work_is_placed_again_if_the_urgent_job_is_cancelled() {
    let names = ["w1", "w2"];
    let (mut fixture, mut minions) = limited(&names);
    claim(&mut fixture);
    let cancelled = vec!["whole".to_owned()];
    fixture.handle(Event::Notice(Notice { cancelled, ..Notice::default() }));
    for _ in 0..4 {
        minions.answer_all(&mut fixture, &names);
    }
    assert_eq!((claimed_worker(&fixture, "whole"), running(&fixture, "small")), (None, 16));
}

/// Guards against an urgent job that waits for a claim on a worker that is lost.
#[test]
fn a_claim_on_a_lost_worker_is_dropped_and_decided_again() {
    let (mut fixture, mut minions) = limited(&["w1", "w2"]);
    let lost = claim(&mut fixture);
    let other = if lost == "w1" { "w2" } else { "w1" };
    for _ in 0..30 {
        minions.answer_all(&mut fixture, &[other]);
    }
    assert!(fixture.log.iter().any(|line| line.contains("drops its claim")));
    assert_eq!(fixture.worker_of("whole"), other);
}

/// Guards against work that is done twice, or an urgent job that waits for its stop, if the work
/// completes before the order to stop it arrives.
#[test]
fn work_that_ends_before_its_stop_makes_room_and_is_not_repeated() {
    let names = ["w1", "w2"];
    let (mut fixture, mut minions) = limited(&names);
    minions.is_too_late = true;
    let worker = claim(&mut fixture);
    minions.answer_all(&mut fixture, &names);
    assert_eq!((fixture.worker_of("whole"), running(&fixture, "small")), (worker, 8));
}

/// Guards against released resources that another urgent job takes because it goes first: as much
/// work would be stopped once more.
#[test]
fn a_claim_is_held_against_more_pressing_urgent_work() {
    let names = ["w1", "w2", "w3"];
    let (mut fixture, mut minions) = limited(&names);
    let claimed = claim(&mut fixture);
    let second = Job { accepted_ms: fixture.now, slack_milli: 1_500, ..urgent("second", 64) };
    submit(&mut fixture, second);
    for _ in 0..5 {
        minions.answer_all(&mut fixture, &names);
    }
    assert_eq!((fixture.worker_of("whole"), minions.stopped), (claimed, 16));
    assert_ne!(fixture.worker_of("second"), "");
}

/// Guards against a claim that is given up, with stops elsewhere, because stops take longer than
/// expected.
#[test]
fn a_claim_whose_stops_are_late_is_renewed_for_the_same_places() {
    let names = ["w1", "w2"];
    let (mut fixture, mut minions) = limited(&names);
    let claimed = claim(&mut fixture);
    fixture.advance(800);
    assert_eq!(claimed_worker(&fixture, "whole"), Some(claimed.clone()));
    for _ in 0..3 {
        minions.answer_all(&mut fixture, &names);
    }
    assert_eq!((fixture.worker_of("whole"), minions.stopped), (claimed, 8));
}

/// Returns how many members of a gang that fills four workers start at once, `after` ms after urgent
/// work that needed one worker.
fn started_after_urgent_work(slack_milli: u32, after: u64) -> usize {
    let mut fixture = Fixture::new(Vec::new());
    limit_stops(&mut fixture);
    let names = ["w1", "w2", "w3", "w4"];
    names.iter().for_each(|name| fixture.join(name, Vec::new(), Vec::new()));
    submit(&mut fixture, Job { accepted_ms: START, ..urgent("whole", 64) });
    let cancelled = vec!["whole".to_owned()];
    fixture.handle(Event::Notice(Notice { cancelled, ..Notice::default() }));
    let mut minions = Minions::default();
    for _ in 0..after / 100 {
        minions.answer_all(&mut fixture, &names);
    }
    let room = Some(resources(8).message());
    let small = Step { room, estimate_ms: 20_000, ..step(32, true) };
    let queue = "batch".to_owned();
    submit(&mut fixture, Job { queue, priority: 2, slack_milli, ..job("small", TERM, small) });
    fixture.advance(50);
    running(&fixture, "small")
}

/// Guards against work that is stopped a moment after its start: capacity for the urgent work that
/// is likely to arrive is kept free, until it has not arrived for a while.
#[test]
fn work_with_slack_leaves_room_while_urgent_work_keeps_arriving() {
    assert_eq!(started_after_urgent_work(3_000, 500), 0);
    assert_eq!(started_after_urgent_work(3_000, 30_000), 32, "the kept capacity is released");
}

/// Guards against work that is late because capacity is kept for urgent work.
#[test]
fn work_without_slack_does_not_wait_for_urgent_work() {
    assert_eq!(started_after_urgent_work(1_050, 500), 32);
}
