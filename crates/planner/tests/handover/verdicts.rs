//! Tests of verdicts that the minion which they are about contradicts, while planners change.

use prost::Message as _;
use sapphire_jobs::{Ending, Fleet, Step, resources::Resources};
use sapphire_planner::keys;

use super::world::{Inventory, Outcome, World};
use crate::harness::{minion, step};

const OUTCOMES: [Outcome; 4] =
    [Outcome::Answered(10), Outcome::Answered(900), Outcome::Unanswered, Outcome::Lost];
/// Worker that runs a task of another job.
const BUSY: &str = "a";
/// Worker whose minion is found gone wrongly, and joins again.
const RETURNS: &str = "b";
/// Log line on that.
const GONE: &str = "its VM is gone";
/// Time that a task takes, in ms.
const RUN_TIME: u64 = 60_000;
/// Time after the return of a minion in which writes have another outcome.
const FAULTY_WRITES: u64 = 600;
/// Time after the return of a minion until which its planner is lost.
const LONGEST_TERM: u64 = 3_000;

/// Submits a job of a task that takes a whole worker.
fn submit(world: &mut World, id: &str) {
    let room = Resources::read(minion("a").capacity.as_ref()).message();
    world.run_times.insert(id.to_owned(), RUN_TIME);
    world.submit(id, &Step { room: Some(room), estimate_ms: RUN_TIME, ..step(1, false) });
}

/// Returns a world in which one worker has a task, and the others were cut off a moment ago. The inventory
/// lacks the live minion of [`RETURNS`].
fn cut_off(others: &[&str]) -> World {
    let mut world = World::of_one_incarnation(&[&[BUSY], others].concat());
    world.restart_term(|world| world.inventory = Some(Inventory::default()));
    world.run(2_000);
    submit(&mut world, "j");
    world.run(500);
    assert_eq!(world.tasks_on(BUSY).len(), 1);
    others.iter().for_each(|name| world.cut_off(name));
    world.inventory.as_mut().expect("set above").lacks.insert(RETURNS.to_owned());
    world.run(2_500);
    world
}

/// Has a read of the inventory answered between two ticks, just as the lease of the worker ends. From then
/// on, writes of the handover record and of the list of workers have these outcomes.
fn read_at_lease_end(world: &mut World, record: Outcome, fleet: Outcome) {
    let lease_end = world.planned_lease_end(RETURNS).next_multiple_of(10);
    world.inventory.as_mut().expect("there is one").answers_from = lease_end;
    world.run(lease_end - world.now - 10);
    (world.record_outcome, world.fleet_outcome) = (record, fleet);
    world.run(10);
}

/// Guards against a task that runs twice: a minion that was found gone wrongly has joined again and
/// runs a task, and a successor acts on the stored verdict. The planner that it has joined may have read
/// that as well.
#[test]
fn a_minion_that_reports_is_not_gone_for_a_successor() {
    let (mut conflicts, mut given) = (Vec::new(), 0);
    let outcomes = OUTCOMES.iter().flat_map(|it| OUTCOMES.map(|fleet| (*it, fleet)));
    for ((record, fleet), has_read) in outcomes.flat_map(|it| [(it, false), (it, true)]) {
        for term in (0..LONGEST_TERM).step_by(300) {
            let mut world = cut_off(&[RETURNS]);
            read_at_lease_end(&mut world, record, fleet);
            assert!(world.has_logged(GONE), "{:#?}", world.history);
            if has_read {
                world.run(100);
                world.lose_planner();
                world.take_over();
            }
            world.reconnect(RETURNS);
            submit(&mut world, "k");
            world.run(term.min(FAULTY_WRITES));
            let answered = Outcome::Answered(10);
            (world.record_outcome, world.fleet_outcome) = (answered, answered);
            world.run(term.saturating_sub(FAULTY_WRITES));
            world.cut_off(RETURNS);
            world.lose_planner();
            given += world.tasks_on(RETURNS).len();
            world.take_over();
            world.run(500);
            world.end_runs(BUSY, "j", Ending::Done);
            world.run(4_000);
            let case = format!("record {record:?}, list {fleet:?}, read {has_read}, {term} ms");
            conflicts.extend(world.conflicts.iter().map(|found| format!("{case}: {found}")));
        }
    }
    assert!(given > 0, "the worker gets no task");
    assert!(conflicts.is_empty(), "{given} tasks given; {conflicts:#?}");
}

/// Guards against a live minion that is found gone by one read of the inventory since it has reported.
#[test]
fn reads_before_and_after_a_list_do_not_add_up() {
    // The other worker is missed meanwhile, so that the earlier read counts.
    let mut world = cut_off(&[RETURNS, "c"]);
    world.inventory.as_mut().expect("there is one").answers_from = u64::MAX;
    world.run(500);
    world.reconnect(RETURNS);
    world.run(400);
    world.cut_off(RETURNS);
    world.run(2_000);
    read_at_lease_end(&mut world, Outcome::Answered(10), Outcome::Answered(10));
    assert!(!world.has_logged(GONE), "{:#?}", world.history);
}

/// Guards against a successor that waits for a worker which its predecessor has declared lost while it
/// waited for another one.
#[test]
fn a_worker_that_is_lost_during_a_takeover_leaves_the_list() {
    let mut world = World::of_one_incarnation(&["a", "b", "c"]);
    world.cut_off("c");
    world.lose_planner();
    world.take_over();
    world.run(1_000);
    world.cut_off("b");
    world.run(13_000);
    assert!(world.has_logged("worker=b silent, lease expired; declared lost"));
    assert!(world.has_logged("worker=c no contact since the term began; declared lost"));
    let stored = world.items[keys::FLEET].value.clone().expect("the list is stored");
    let fleet = Fleet::decode(stored).expect("the list is valid");
    let names: Vec<&str> = fleet.members.iter().map(|member| member.name.as_str()).collect();
    assert_eq!(names, ["a"]);
}
