//! Tests of starts that end with the leases of the incarnation that they were sent to.

use crate::{
    handover::{order, world::World},
    harness::step,
};

/// Time after the latest poll of a worker at which its lease has certainly expired.
const LEASE: u64 = 6_420;
/// Time within which a task starts once nothing holds it up.
const PROMPT: u64 = 500;
/// Time after a start was sent for which it counts where calls outlive incarnations.
const OUTLIVING: u64 = 12_000 + 10_200;

/// Returns a world in which the start of job `j` has had no answer, and the worker that it was sent to.
fn ordered() -> (World, String) {
    let mut world = World::of_one_incarnation(&["a", "b", "c"]);
    let worker = order(&mut world, &step(1, false));
    world.run(500);
    (world, worker)
}

/// Runs until the start of job `j` has been sent again, and returns the time of that.
fn sent_again(world: &mut World) -> u64 {
    let until = world.now + 60_000;
    while world.starts.len() < 2 && world.now < until {
        world.run(10);
    }
    let history = || world.history.join("\n");
    assert!(world.conflicts.is_empty(), "{:#?}\n{}", world.conflicts, history());
    world.starts.get(1).map(|(at, ..)| *at).unwrap_or_else(|| panic!("{}", history()))
}

fn assert_sent_after_lease(world: &mut World, worker: &str) {
    let (until, heard_at) = (world.lease_until(worker), world.heard_at(worker));
    let at = sent_again(world);
    let is_due = at >= until && at < heard_at + LEASE + PROMPT;
    assert!(is_due, "{} ms\n{}", at - heard_at, world.history.join("\n"));
}

/// Guards against a job that stands still for 22.8 s after one of its starts had no answer and the worker
/// is gone, although nothing can run there once its lease is over.
#[test]
fn a_start_on_a_worker_that_is_gone_ends_with_the_lease() {
    let (mut world, worker) = ordered();
    world.lose_worker(&worker);
    assert_sent_after_lease(&mut world, &worker);
}

/// Guards against the same wait, counted again by each planner.
#[test]
fn planners_in_series_wait_once_for_the_lease_of_a_silent_worker() {
    for apart in [1_400, 1_700, 2_500, 3_500] {
        let (mut world, worker) = ordered();
        world.lose_worker(&worker);
        world.run(apart);
        for _ in 0..2 {
            world.lose_planner();
            world.run(300);
            world.take_over();
            world.run(apart.min(1_500));
        }
        assert_sent_after_lease(&mut world, &worker);
    }
}

/// Guards against a task that runs twice: a minion whose agent is lost carries the start out late.
#[test]
fn a_late_start_of_the_same_incarnation_is_waited_for() {
    for late in [100, 2_000, 5_900] {
        for is_planner_lost in [false, true] {
            let (mut world, worker) = ordered();
            world.run_times.insert("j".to_owned(), 60_000);
            world.lose_agent(&worker);
            world.run(late);
            world.begin_open(&worker);
            if is_planner_lost {
                world.lose_planner();
                world.take_over();
            }
            let until = world.lease_until(&worker);
            assert!(sent_again(&mut world) >= until, "{}", world.history.join("\n"));
        }
    }
}

/// Guards against a start that counts for 12 s although the incarnation is over that it was sent to.
#[test]
fn a_start_for_an_earlier_incarnation_holds_up_nothing() {
    let (mut world, worker) = ordered();
    world.restart_minion(&worker);
    world.agents.get_mut(&worker).expect("it was ordered").is_mute = false;
    let from = world.now;
    assert!(sent_again(&mut world) < from + 2_000, "{}", world.history.join("\n"));
}

/// Guards against a start that counts again once the agent of a worker is back whose lease was over.
#[test]
fn a_start_does_not_count_again_when_its_agent_is_back() {
    let (mut world, worker) = ordered();
    world.cut_off(&worker);
    assert_sent_after_lease(&mut world, &worker);
    world.run(2_500);
    world.reconnect(&worker);
    for _ in 0..20 {
        world.run(50);
        assert_eq!(world.open_starts(), 0, "{}", world.history.join("\n"));
    }
}

/// Guards against a task that runs twice on a platform that is worse than its protocol says: a minion
/// has carried out a start for an earlier incarnation, so that the next such start is waited for.
#[test]
fn late_calls_that_were_found_are_reckoned_with() {
    for changes in 0..3 {
        let mut world = World::of_one_incarnation(&["a", "b", "c"]);
        world.find_late_call("c");
        world.run(1_000);
        for _ in 0..changes {
            // Only the record tells the successor of it.
            world.lose_agent("c");
            world.lose_planner();
            world.take_over();
            world.run(500);
        }
        let worker = order(&mut world, &step(1, false));
        world.run(300);
        let sent_at = world.now;
        world.lose_agent(&worker);
        world.run(8_000);
        world.begin_open(&worker);
        let waited = sent_again(&mut world) - sent_at;
        assert!(waited >= OUTLIVING, "{waited} ms\n{}", world.history.join("\n"));
    }
}

/// Guards against starts on a worker whose minion was replaced by one of another name that a successor
/// counts again, since they were still in the record.
#[test]
fn starts_for_a_replaced_minion_leave_the_record() {
    let (mut world, worker) = ordered();
    world.run(1_000);
    assert_eq!(world.open_starts(), 1, "{}", world.history.join("\n"));
    world.replace_minion(&worker);
    for _ in 0..200 {
        world.run(10);
        let is_over = world.open_starts() == 0;
        let is_left = is_over && world.starts.len() < 2 && world.recorded_jobs().contains("j");
        assert!(!is_left, "{}: {}", world.now, world.history.join("\n"));
    }
}
