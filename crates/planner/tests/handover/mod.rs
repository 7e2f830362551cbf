//! Tests of starts that may still be carried out after the processes that know of them are lost.

mod clocks;
mod isolated;
pub(crate) mod random;
mod record;
mod settled;
mod verdicts;
pub(crate) mod world;

use sapphire_jobs::{Ending, Step};
use sapphire_planner::keys;

use crate::harness::{resources, step};
use world::{Outcome, World};

/// Time for which a start may be carried out after it was sent, and some time in which the task is to
/// be placed again.
const LONG_ENOUGH: u64 = 32_000;
/// Time after an order by which the record that contains it has been written to a healthy store.
const RECORDED: u64 = 1_000;
/// Time after a start was sent in which a run that was started late may go on without an agent: the
/// time in which it may be carried out, and the longest lease.
const MAX_LATE_RUN: u64 = 22_000;

/// Which processes are lost.
#[derive(Clone, Copy, PartialEq)]
enum Lost {
    Both,
    Agent,
    Planner,
}

/// Returns a world in which the start of job `j`, a step of one task, has been sent to the first of
/// the returned workers, whose minion does not answer.
pub(crate) fn ordered() -> (World, String) {
    let mut world = World::new(&["a", "b"]);
    let worker = order(&mut world, &step(1, false));
    (world, worker)
}

/// Submits job `j` and waits until its start may have been sent. Returns the worker; an empty name
/// if no start has been sent.
pub(crate) fn order(world: &mut World, step: &Step) -> String {
    world.agents.values_mut().for_each(|agent| agent.is_mute = true);
    world.submit("j", step);
    world.run_until_sent("j", 3_000);
    let worker = world.sent.first().map_or(String::new(), |sent| sent.worker.clone());
    for (_, agent) in world.agents.iter_mut().filter(|(name, _)| **name != worker) {
        agent.is_mute = false;
    }
    worker
}

/// Loses processes. The agent returns after 100 ms, and the minion drains by then, so that the task
/// can be placed on the other worker only. A successor takes over at once.
fn lose(world: &mut World, worker: &str, lost: Lost) {
    if lost != Lost::Agent {
        world.lose_planner();
    }
    if lost != Lost::Planner {
        world.lose_agent(worker);
    }
    if let Some(agent) = world.agents.get_mut(worker) {
        agent.is_draining = true;
        agent.is_mute = false;
    }
    world.run(100);
    if lost != Lost::Planner {
        world.start_agent(worker);
    }
    if lost != Lost::Agent {
        world.take_over();
    }
}

/// Asserts that no start conflicts with one that may still be carried out, and that the job is placed
/// by the end.
fn assert_no_conflict(world: &mut World, id: &str) {
    let from = world.now;
    world.run(LONG_ENOUGH);
    assert!(world.conflicts.is_empty(), "{:#?}\n{}", world.conflicts, world.history.join("\n"));
    assert!(world.done.contains(id), "{id} waits since {from}\n{}", world.history.join("\n"));
}

/// Runs the order of events in which processes are lost some time after a start was sent, while
/// writes of the record have this outcome.
fn lose_after(time: u64, lost: Lost, outcome: Outcome) {
    let (mut world, worker) = ordered();
    world.record_outcome = outcome;
    world.run(time);
    lose(&mut world, &worker, lost);
    world.record_outcome = Outcome::Answered(10);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: planner and agent are lost as the order is received.
#[test]
fn both_lost_with_the_answer() {
    lose_after(0, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: planner and agent are lost 20 ms after the order.
#[test]
fn both_lost_after_20_ms() {
    lose_after(20, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: planner and agent are lost 50 ms after the order.
#[test]
fn both_lost_after_50_ms() {
    lose_after(50, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: planner and agent are lost 100 ms after the order.
#[test]
fn both_lost_after_100_ms() {
    lose_after(100, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: planner and agent are lost 200 ms after the order.
#[test]
fn both_lost_after_200_ms() {
    lose_after(200, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: planner and agent are lost after the record was written.
#[test]
fn both_lost_after_the_record_was_written() {
    lose_after(RECORDED, Lost::Both, Outcome::Answered(10));
}

/// Guards against a task that runs twice: only the agent is lost, at once and later.
#[test]
fn agent_lost_while_the_planner_lives() {
    for time in [0, 20, 100, 200] {
        lose_after(time, Lost::Agent, Outcome::Lost);
    }
}

/// Guards against a task that runs twice: only the planner is lost, at once and later.
#[test]
fn planner_lost_while_the_agent_lives() {
    for time in [0, 20, 100, 200] {
        lose_after(time, Lost::Planner, Outcome::Lost);
    }
}

/// Guards against a task that runs twice: the record is on its way to a slow store.
#[test]
fn both_lost_while_the_store_is_slow() {
    lose_after(600, Lost::Both, Outcome::Answered(900));
}

/// Guards against a task that runs twice: the store has not answered any write of the record.
#[test]
fn both_lost_while_the_store_is_away() {
    lose_after(2_000, Lost::Both, Outcome::Lost);
}

/// Guards against a task that runs twice: the store has refused every write of the record.
#[test]
fn both_lost_while_the_store_refuses() {
    lose_after(2_000, Lost::Both, Outcome::Refused);
}

/// Guards against a task that runs twice: the record was written, but the answer was lost.
#[test]
fn both_lost_after_an_unanswered_write() {
    lose_after(600, Lost::Both, Outcome::Unanswered);
}

/// Guards against a task that runs twice: an earlier term has left no record at all.
#[test]
fn both_lost_and_no_record_of_an_earlier_term() {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    lose(&mut world, &worker, Lost::Both);
    world.restart_term(|world| {
        world.items.remove(keys::UNANSWERED);
    });
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: the record cannot be decoded.
#[test]
fn both_lost_and_the_record_cannot_be_decoded() {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    lose(&mut world, &worker, Lost::Both);
    world.restart_term(|world| {
        world.write(keys::UNANSWERED, vec![0xff; 4]);
    });
    assert_no_conflict(&mut world, "j");
}

/// Loses planner and agent after the record was written; the successor's wall clock differs.
fn lose_with_skew(skew: i64) {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    world.skew = skew;
    lose(&mut world, &worker, Lost::Both);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: the times in the record are an hour behind the clock of the
/// successor.
#[test]
fn both_lost_and_the_record_is_an_hour_behind() {
    lose_with_skew(3_600_000);
}

/// Guards against a task that waits for an hour: the times in the record are ahead of the clock of
/// the successor.
#[test]
fn both_lost_and_the_record_is_an_hour_ahead() {
    lose_with_skew(-3_600_000);
}

/// Loses planner and agent, and the successor right after it has taken over. Agents return under the
/// third planner.
fn lose_two_planners(time: u64) {
    let (mut world, worker) = ordered();
    world.run(time);
    world.lose_planner();
    world.lose_agent(&worker);
    world.agents.get_mut(&worker).expect("it was ordered").is_draining = true;
    world.take_over();
    world.run(100);
    world.lose_planner();
    world.start_agent(&worker);
    world.take_over();
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: the record is of two terms ago.
#[test]
fn record_of_two_terms_ago() {
    lose_two_planners(RECORDED);
}

/// Guards against a task that runs twice: no term has written a record before it was lost.
#[test]
fn two_planners_lost_without_a_record() {
    lose_two_planners(100);
}

/// Guards against a task that runs twice: each of two successors is lost right after it has served
/// the agent's next process.
#[test]
fn two_successors_lost_after_the_agent_has_reported() {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    lose(&mut world, &worker, Lost::Both);
    for _ in 0..2 {
        world.run(100);
        world.lose_planner();
        world.run(50);
        world.take_over();
    }
    assert_no_conflict(&mut world, "j");
}

/// Loses all processes after a task that takes a whole worker was ordered, and submits another job
/// once the first is cancelled. The minions live on.
fn lose_all(first: &Step, second: &Step, time: u64) {
    let mut world = World::new(&["a"]);
    order(&mut world, first);
    world.run(time);
    world.write(&keys::cancel("j"), Vec::new());
    world.lose_planner();
    world.lose_agent("a");
    world.agents.get_mut("a").expect("the only one").is_mute = false;
    world.run(300);
    world.start_agent("a");
    world.take_over();
    world.run(500);
    world.submit("k", second);
    assert_no_conflict(&mut world, "k");
}

fn whole_worker() -> Step {
    Step { room: Some(resources(8).times(8).message()), ..step(1, false) }
}

/// Guards against an overloaded worker (rule LIMIT): all processes are lost, and another job gets
/// the resources of a start that may still be carried out.
#[test]
fn all_processes_lost_and_the_resources_of_a_start() {
    lose_all(&whole_worker(), &whole_worker(), 100);
}

/// Guards against the same with a record that was written.
#[test]
fn all_processes_lost_and_the_resources_of_a_recorded_start() {
    lose_all(&whole_worker(), &whole_worker(), RECORDED);
}

/// Loses all processes after the first tasks of a step were ordered that may have one task on a
/// worker.
fn lose_all_of_a_limited_step(time: u64) {
    let limited = Step { per_worker: 1, ..step(3, false) };
    let mut world = World::new(&["a", "b"]);
    order(&mut world, &limited);
    world.run(time);
    world.lose_planner();
    for name in ["a", "b"] {
        world.lose_agent(name);
        world.agents.get_mut(name).expect("it is known").is_mute = false;
    }
    world.run(300);
    for name in ["a", "b"] {
        world.start_agent(name);
    }
    world.take_over();
    assert_no_conflict(&mut world, "j");
}

/// Guards against more tasks of a step on a worker than its job allows, and a task that runs twice:
/// all processes are lost.
#[test]
fn all_processes_lost_and_the_limit_of_a_step() {
    lose_all_of_a_limited_step(100);
}

/// Guards against the same with a record that was written.
#[test]
fn all_processes_lost_and_the_limit_of_a_recorded_step() {
    lose_all_of_a_limited_step(RECORDED);
}

/// Orders a start by a planner that is past its lease while the store is away for all entries, and
/// loses processes some time later.
fn lose_past_lease(lost: Lost, time: u64) {
    let mut world = World::new(&["a", "b"]);
    world.entries = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"].to_vec();
    world.run(500);
    world.is_store_away = true;
    world.expire_lease(1_000);
    world.run(2_000);
    let worker = order(&mut world, &step(1, false));
    world.run(time);
    lose(&mut world, &worker, lost);
    world.is_store_away = false;
    world.restart_term(|_| {});
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: a planner past its lease orders a start in an outage of the
/// store, and is lost together with the agent.
#[test]
fn both_lost_past_the_lease_in_an_outage() {
    lose_past_lease(Lost::Both, 1_000);
}

/// Guards against the same while the agent lives.
#[test]
fn planner_lost_past_the_lease_in_an_outage() {
    lose_past_lease(Lost::Planner, 1_000);
}

/// Loses the planner and all agents after one member of a gang was started and the other was not
/// answered.
fn lose_half_answered_gang(time: u64) {
    let gang = Step { per_worker: 1, ..step(2, true) };
    let mut world = World::new(&["a", "b", "c"]);
    world.agents.get_mut("b").expect("it is known").is_mute = true;
    world.agents.get_mut("c").expect("it is known").is_draining = true;
    // Each agent's next poll reports its minion.
    world.run(1_000);
    world.submit("j", &gang);
    world.run_until_sent("j", 3_000);
    assert_eq!(world.orders_of("j"), 2, "one on a, one on b");
    world.run(time);
    world.lose_planner();
    for name in ["a", "b"] {
        world.lose_agent(name);
    }
    let b = world.agents.get_mut("b").expect("it is known");
    (b.is_mute, b.is_draining) = (false, true);
    world.agents.get_mut("c").expect("it is known").is_draining = false;
    world.run(100);
    for name in ["a", "b"] {
        world.start_agent(name);
    }
    world.take_over();
    assert_no_conflict(&mut world, "j");
}

/// Guards against a member of a gang that runs twice: its start had no answer, that of the other
/// member had one.
#[test]
fn both_lost_with_a_half_answered_gang() {
    lose_half_answered_gang(100);
}

/// Guards against the same with a record that was written.
#[test]
fn both_lost_with_a_half_answered_gang_that_was_recorded() {
    lose_half_answered_gang(RECORDED);
}

/// Loses planner and agent right after a run was ordered again under its number.
fn lose_repeated(outcome: Outcome) {
    let mut world = World::new(&["a", "b"]);
    let worker = order(&mut world, &step(1, false));
    world.record_outcome = outcome;
    world.run(350);
    world.restart_minion(&worker);
    let before = world.orders_of("j");
    let is_repeated = |world: &World| world.orders_of("j") > before;
    for _ in 0..200 {
        if is_repeated(&world) {
            break;
        }
        world.run(10);
    }
    // Without a record the run must not be ordered.
    let may_repeat = outcome != Outcome::Lost;
    assert_eq!(is_repeated(&world), may_repeat, "{}", world.history.join("\n"));
    world.run(50);
    lose(&mut world, &worker, Lost::Both);
    world.record_outcome = Outcome::Answered(10);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: a run was ordered again, and both processes are lost.
#[test]
fn both_lost_after_a_repeated_run() {
    lose_repeated(Outcome::Answered(10));
}

/// Guards against the same while the store is away.
#[test]
fn both_lost_after_a_repeated_run_that_was_not_recorded() {
    lose_repeated(Outcome::Lost);
}

/// Loses planner and agent, and the agent does not return.
fn lose_for_good(time: u64) {
    let (mut world, worker) = ordered();
    world.run(time);
    world.lose_planner();
    world.lose_agent(&worker);
    world.take_over();
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: the agent does not return, and the successor waits for the
/// lease of its minion only.
#[test]
fn both_lost_and_the_agent_does_not_return() {
    lose_for_good(0);
}

/// Guards against the same with a record that was written.
#[test]
fn both_lost_after_the_record_was_written_and_the_agent_does_not_return() {
    lose_for_good(RECORDED);
}

/// Guards against a task that runs twice: its first attempt had no answer, its second one had. A second
/// later its agent is gone for good, and planners are lost 3 and 12 s after that. Before the attempt can't
/// be carried out any more, the minion starts again under its name, carries it out and runs the task until
/// the longest lease ends, while nobody is there who could list it.
#[test]
fn a_next_incarnation_without_an_agent_runs_the_first_attempt() {
    let (mut world, worker) = ordered();
    let sent_at = world.now;
    world.run(300);
    world.answer(&worker);
    world.run(1_000);
    let gone_at = world.now;
    world.lose_agent(&worker);
    let lose_planner_at = |world: &mut World, time: u64| {
        world.run(gone_at + time - world.now);
        world.lose_planner();
        world.run(500);
        world.take_over();
    };
    lose_planner_at(&mut world, 3_000);
    world.run(sent_at + 11_700 - world.now);
    world.begin_late(&worker, "j");
    lose_planner_at(&mut world, 12_000);
    assert_no_conflict(&mut world, "j");
    let restarted_at = world.starts.last().map_or(0, |(at, ..)| *at);
    assert!(restarted_at >= sent_at + 11_700 + 10_000, "{} ms", restarted_at - sent_at);
}

/// Guards against a task that runs twice: its start and a later one of another task have no answer, and
/// their agent is gone. The minion's next incarnation carries out both, and the later one prolongs the lease
/// of all that runs there.
#[test]
fn a_later_start_prolongs_the_lease_of_an_earlier_one() {
    let (mut world, worker) = ordered();
    let sent_at = world.now;
    world.run(300);
    world.answer(&worker);
    for (name, agent) in &mut world.agents {
        (agent.is_mute, agent.is_draining) = (*name == worker, *name != worker);
    }
    world.run(900);
    world.submit("k", &step(1, false));
    world.run_until_sent("k", 1_000);
    let later_sent_at = world.now;
    assert!(later_sent_at >= sent_at + 1_200);
    world.run(300);
    world.lose_agent(&worker);
    for agent in world.agents.values_mut() {
        (agent.is_mute, agent.is_draining) = (false, false);
    }
    world.run(sent_at + 11_700 - world.now);
    world.begin_late(&worker, "j");
    world.run(later_sent_at + 11_700 - world.now);
    world.begin_another_late(&worker, "k");
    assert_no_conflict(&mut world, "j");
}

/// Loses processes some time after the second attempt of a start was answered; the first had no
/// answer. The successor adopts the run, which then ends with the minion's incarnation.
fn lose_answered_on_second_attempt(time: u64, lost: Lost, outcome: Outcome) {
    let (mut world, worker) = ordered();
    world.record_outcome = outcome;
    world.run(500);
    world.answer(&worker);
    world.run(time);
    lose(&mut world, &worker, lost);
    world.record_outcome = Outcome::Answered(10);
    world.run(200);
    world.restart_minion(&worker);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: an earlier attempt of the start of an adopted run had no
/// answer, and both processes that know of it are lost.
#[test]
fn both_lost_with_an_unanswered_attempt_of_an_adopted_run() {
    lose_answered_on_second_attempt(50, Lost::Both, Outcome::Lost);
}

/// Guards against the same while one of the two processes lives.
#[test]
fn one_lost_with_an_unanswered_attempt_of_an_adopted_run() {
    lose_answered_on_second_attempt(50, Lost::Agent, Outcome::Lost);
    lose_answered_on_second_attempt(50, Lost::Planner, Outcome::Lost);
}

/// Guards against a task that runs twice: the latest record was written just before its start.
#[test]
fn both_lost_with_a_record_of_an_earlier_start_only() {
    let mut world = World::new(&["a", "b"]);
    world.agents.values_mut().for_each(|agent| agent.is_mute = true);
    world.submit("i", &step(1, false));
    world.run(170);
    let worker = order(&mut world, &step(1, false));
    world.run(100);
    world.lose_planner();
    for name in ["a", "b"] {
        world.lose_agent(name);
        world.agents.get_mut(name).expect("it is known").is_mute = false;
    }
    world.agents.get_mut(&worker).expect("it was ordered").is_draining = true;
    world.run(100);
    for name in ["a", "b"] {
        world.start_agent(name);
    }
    world.take_over();
    assert_no_conflict(&mut world, "j");
}

/// Guards against a long-running task that runs twice: planner and agent are lost.
#[test]
fn both_lost_with_a_long_running_task() {
    let mut world = World::new(&["a", "b"]);
    let worker = order(&mut world, &Step { is_long_running: true, ..step(1, false) });
    world.run(100);
    lose(&mut world, &worker, Lost::Both);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: an earlier attempt of the start of an adopted run had no
/// answer, and the record was written.
#[test]
fn both_lost_with_a_recorded_attempt_of_an_adopted_run() {
    lose_answered_on_second_attempt(RECORDED, Lost::Both, Outcome::Answered(10));
}

/// Loses the planner, and the agent once its first poll has reached the successor. That poll reports
/// the start as outstanding.
fn lose_after_first_poll(time: u64) {
    let (mut world, worker) = ordered();
    world.run(time);
    world.lose_planner();
    world.take_over();
    world.run(10);
    world.lose_agent(&worker);
    let agent = world.agents.get_mut(&worker).expect("it was ordered");
    (agent.is_mute, agent.is_draining) = (false, true);
    world.run(100);
    world.start_agent(&worker);
    assert_no_conflict(&mut world, "j");
}

/// Guards against a task that runs twice: an agent is lost right after it has reported to the
/// successor that a start is outstanding.
#[test]
fn agent_lost_after_its_first_poll_to_the_successor() {
    lose_after_first_poll(100);
}

/// Guards against the same with a record that was written.
#[test]
fn agent_lost_after_its_first_poll_to_the_successor_with_a_record() {
    lose_after_first_poll(RECORDED);
}

/// Guards against tasks that wait without need: the planner is lost while no start is outstanding,
/// and all agents live.
#[test]
fn a_successor_places_at_once_while_all_agents_live() {
    let mut world = World::new(&["a", "b"]);
    world.lose_planner();
    world.run(100);
    world.take_over();
    world.run(100);
    world.submit("j", &step(1, false));
    world.run(1_000);
    assert_eq!(world.orders_of("j"), 1, "{}", world.history.join("\n"));
}

/// Loses planner and agent of a start that may be missing from the record. The agent's next process
/// reports to the successor and is lost for good, so that no list shows what the start has come to.
/// The next incarnation of the minion may carry it out until it expires, and then run the task for
/// the longest lease.
fn lose_agent_again(is_recorded: bool) {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    if !is_recorded {
        world.items.retain(|key, _| !key.starts_with(keys::UNANSWERED));
    }
    lose(&mut world, &worker, Lost::Both);
    world.run(1_000);
    world.lose_agent(&worker);
    let before = world.orders_of("j");
    world.run(MAX_LATE_RUN - 1_100);
    assert_eq!(world.orders_of("j"), before, "{}", world.history.join("\n"));
    world.run(5_000);
    assert_eq!(world.orders_of("j"), before + 1, "{}", world.history.join("\n"));
}

/// Guards against a task that runs twice: an agent is lost for good after it has reported to the
/// successor.
#[test]
fn agent_lost_for_good_after_it_has_reported_with_a_record() {
    lose_agent_again(true);
}

/// Guards against the same while the successor waits for starts that the record may lack.
#[test]
fn agent_lost_for_good_after_it_has_reported_without_a_record() {
    lose_agent_again(false);
}

/// Guards against a task that waits for a start on a worker that is gone for good, anew with each of
/// several planners.
#[test]
fn planners_lost_one_after_the_other_while_a_start_expires() {
    /// Time after the loss in which the agent may send the start, in which it may be carried out, and
    /// in which its run may go on.
    const LONGEST: u64 = 6_420 + 12_300 + 10_500;
    /// Longest time between the latest record of the ages and the next planner.
    const RECORD_AGE: u64 = 2_100;
    const PLANNERS: u64 = 3;
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    let limit = world.now + LONGEST + PLANNERS * RECORD_AGE;
    world.lose_agent(&worker);
    for _ in 0..PLANNERS {
        world.lose_planner();
        world.take_over();
        world.run(10_000);
    }
    assert_eq!(world.orders_of("j"), 1, "{}", world.history.join("\n"));
    world.run(limit - world.now);
    assert_eq!(world.orders_of("j"), 2, "{}", world.history.join("\n"));
    assert!(world.conflicts.is_empty(), "{:#?}\n{}", world.conflicts, world.history.join("\n"));
}

/// Guards against the same with an agent that returns and is lost again under each planner.
#[test]
fn planners_and_an_agent_lost_one_after_the_other_while_a_start_expires() {
    let (mut world, worker) = ordered();
    world.run(RECORDED);
    for _ in 0..3 {
        world.lose_planner();
        world.lose_agent(&worker);
        world.run(100);
        world.agents.get_mut(&worker).expect("it was ordered").is_draining = true;
        world.start_agent(&worker);
        world.take_over();
        world.run(6_900);
    }
    assert_eq!(world.orders_of("j"), 2, "{}", world.history.join("\n"));
    assert!(world.conflicts.is_empty(), "{:#?}\n{}", world.conflicts, world.history.join("\n"));
}

/// Loses all processes after a gang was placed and its starts were recorded, but not sent. Returns the
/// world in which the agents are back and the next planner has taken over.
fn only_recorded(gang: &Step) -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.run(1_000);
    world.record_outcome = Outcome::Unanswered;
    world.submit("j", gang);
    world.run(100);
    assert_eq!(world.orders_of("j"), 0, "{}", world.history.join("\n"));
    world.lose_planner();
    for name in ["a", "b", "c"] {
        world.lose_agent(name);
    }
    world.run(500);
    world.record_outcome = Outcome::Answered(10);
    for name in ["a", "b", "c"] {
        world.start_agent(name);
    }
    world.take_over();
    world
}

/// Guards against a gang that waits until its starts expire, which a lost planner recorded and never
/// sent, although all their workers are in contact.
#[test]
fn a_gang_whose_starts_were_only_recorded_starts_again() {
    for gang in [step(2, true), Step { wants_one_rack: true, per_worker: 1, ..step(3, true) }] {
        let mut world = only_recorded(&gang);
        let begun = world.now;
        world.run_until_sent("j", 30_000);
        let waited = world.now - begun;
        assert!(waited <= 1_500, "{waited} ms\n{}", world.history.join("\n"));
        assert_no_conflict(&mut world, "j");
    }
}

/// Guards against members of a run with different checkpoints: a planner that was lost may have ordered
/// the run with a checkpoint that its successor doesn't know.
#[test]
fn a_gang_with_checkpoints_is_not_repeated() {
    let mut world = only_recorded(&Step { checkpoints: true, ..step(2, true) });
    let begun = world.now;
    world.run_until_sent("j", 30_000);
    assert!(world.now - begun >= 12_000, "{}", world.history.join("\n"));
    assert_no_conflict(&mut world, "j");
}

/// Guards against a run that a successor orders again although its minion won't start it: an earlier
/// planner has seen its end. Each attempt may have no answer and holds up the task for 12 s more.
#[test]
fn a_run_that_has_ended_is_not_repeated_by_a_successor() {
    let (mut world, worker) = ordered();
    world.run(500);
    world.answer(&worker);
    world.run(500);
    world.end_runs(&worker, "j", Ending::Stopped);
    world.run(1_500);
    let before = world.orders_of("j");
    world.lose_planner();
    world.lose_agent(&worker);
    world.run(100);
    world.start_agent(&worker);
    world.take_over();
    world.run(5_000);
    assert_eq!(world.orders_of("j"), before, "{}", world.history.join("\n"));
    assert_no_conflict(&mut world, "j");
}
