//! Golden files of whole sessions, one for each kind of failure, to be read as stories.

use std::time::Duration;

use sapphire_proofs::{chaos, world::World};
use serde_json::{Value, json};

const SECOND: Duration = Duration::from_secs(1);

/// Lines that say little about the failure.
const CHATTER: [&str; 7] = [
    "agent: hold ",
    "agent: ended ",
    "agent: decided",
    "agent: start ",
    "in force ",
    "bound version",
    "follows planner",
];

/// A settled world of two entries and two racks; only what follows is recorded.
pub fn world() -> World {
    let mut world = World::region(1, 2);
    world.settle(chaos::RULES);
    world.is_recording = true;
    world
}

/// A gang of two whole workers in one rack, on the guarantee of `review`.
pub fn gang(key: &str, command: &str, idempotent: bool) -> Value {
    json!({
        "organisation": "review",
        "shape": { "accelerators": 8, "tasks": 2, "adjacency": "rack" },
        "command": command,
        "idempotent": idempotent,
        "key": key,
    })
}

/// A job of another organisation that borrows.
pub fn borrower(key: &str, accelerators: u32, tasks: u32, command: &str) -> Value {
    json!({
        "organisation": "archive",
        "shape": { "accelerators": accelerators, "tasks": tasks, "adjacency": "rack" },
        "command": command,
        "idempotent": true,
        "key": key,
    })
}

/// The story so far, without chatter.
pub fn text(world: &World) -> String {
    let is_chatter = |line: &&String| CHATTER.iter().any(|chatter| line.contains(chatter));
    let lines = world.story.iter().filter(|line| !is_chatter(line));
    lines.map(|line| format!("{line}\n")).collect()
}

/// Waits for a job as a caller does.
pub fn wait(world: &mut World, at: &str, job: &str) -> u64 {
    world.call(at, "GET", &format!("/v1/jobs/{job}?wait=60s"))
}

/// A gang runs on two workers and one VM is lost. The caller must not see half a job: the other
/// task stops within a lease, and since the job may repeat, it runs again whole elsewhere.
#[test]
fn a_vm_of_a_gang_is_lost() {
    let mut world = world();
    world.submit("e1", &gang("dossier", "sleep 4000ms", true));
    let caller = wait(&mut world, "e1", "norte.review.dossier");
    world.run(SECOND);
    world.kill_vm("a3");
    world.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&world));
}

/// The same loss with a job that must not repeat: it is not run again, and the caller is told
/// that it was interrupted.
#[test]
fn a_vm_of_a_gang_that_must_not_repeat_is_lost() {
    let mut world = world();
    world.submit("e1", &gang("bill", "sleep 4000ms", false));
    let caller = wait(&mut world, "e1", "norte.review.bill");
    world.run(SECOND);
    world.kill_vm("a3");
    world.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&world));
}

/// The entry that plans the cell is killed while a gang runs. The gang does not notice; the
/// other entry takes over, hears from the gang's lead, and the caller there gets its answer.
#[test]
fn the_planner_is_killed() {
    let mut world = world();
    world.submit("e1", &gang("dossier", "sleep 8000ms", false));
    world.run(SECOND);
    let planner = world.planner("norte").expect("settled");
    let other = if planner == "e1" { "e2" } else { "e1" };
    world.kill_entry(&planner);
    world.run(SECOND * 5);
    let caller = wait(&mut world, other, "norte.review.dossier");
    world.run_until_answer(caller, SECOND * 20);
    insta::assert_snapshot!(text(&world));
}

/// The planner is frozen past its lease, another takes over, and the first one wakes up and
/// goes on as if nothing had happened. Its writes and holds are refused; one gang runs, once.
#[test]
fn the_planner_is_frozen_past_its_lease() {
    let mut world = world();
    let planner = world.planner("norte").expect("settled");
    let other = if planner == "e1" { "e2" } else { "e1" };
    world.pause(&planner, SECOND * 8);
    world.run(SECOND * 5);
    world.submit(other, &gang("dossier", "sleep 6000ms", false));
    let caller = wait(&mut world, other, "norte.review.dossier");
    world.run_until_answer(caller, SECOND * 30);
    world.run(SECOND);
    insta::assert_snapshot!(text(&world));
}

/// The store goes down while a gang runs. The gang and requests go on. A new job is turned away
/// at once as not run, with the time to come back; when the store is back it is accepted.
#[test]
fn the_store_is_out() {
    let mut world = world();
    world.submit("e1", &gang("running", "sleep 9000ms", false));
    world.run(SECOND);
    world.store_faults.is_down = true;
    world.tell("world: the store is down");
    world.submit("e1", &borrower("caught", 4, 1, "sleep 500ms"));
    world.run(SECOND * 3);
    world.submit("e1", &borrower("refused", 4, 1, "sleep 500ms"));
    world.request("e2", "reading-1", false);
    world.run(SECOND * 10);
    world.store_faults.is_down = false;
    world.tell("world: the store is back");
    world.run(SECOND * 5);
    world.submit("e1", &borrower("refused", 4, 1, "sleep 500ms"));
    world.run(SECOND * 4);
    for job in ["norte.review.running", "norte.archive.caught", "norte.archive.refused"] {
        world.call("e2", "GET", &format!("/v1/jobs/{job}"));
        world.run(SECOND);
    }
    insta::assert_snapshot!(text(&world));
}

/// Writes to the store take effect and their answers are lost. A job and a rule file are each
/// accepted once, and the callers are told so.
#[test]
fn answers_of_the_store_are_lost() {
    let mut world = world();
    world.store_faults.lost_answers = 1_000;
    world.submit("e1", &borrower("once", 4, 1, "sleep 500ms"));
    world.run(SECOND / 2);
    world.store_faults.lost_answers = 0;
    let caller = wait(&mut world, "e2", "norte.archive.once");
    world.run_until_answer(caller, SECOND * 20);
    world.store_faults.lost_answers = 1_000;
    let caller = world.apply("e1", 1, &chaos::RULES.replace("1s", "2s"));
    world.run(SECOND / 100);
    world.store_faults.lost_answers = 0;
    world.run_until_answer(caller, SECOND * 10);
    insta::assert_snapshot!(text(&world));
}

/// Two operators change the rules at the same time at two entries. One wins; the other is told
/// the revision it lost to, and nothing of its file is in force.
#[test]
fn two_operators_race() {
    let mut world = world();
    world.apply("e1", 1, &chaos::RULES.replace("grace=1s", "grace=2s"));
    world.apply("e2", 1, &chaos::RULES.replace("grace=1s", "grace=3s"));
    world.run(SECOND * 3);
    insta::assert_snapshot!(text(&world));
}

/// Borrowers sit on guaranteed accelerators and one worker ignores every request to stop. The
/// guaranteed gang still starts: the deaf worker's task is not renewed and its lease lapses.
#[test]
fn a_deaf_borrower_is_reclaimed() {
    let mut world = world();
    for key in ["one", "two", "three", "four", "five", "six"] {
        world.submit("e1", &borrower(key, 8, 1, "run"));
    }
    world.run(SECOND * 2);
    for name in ["a1", "a2", "a3"] {
        world.agents.get_mut(name).expect("made above").worker.is_deaf = true;
    }
    world.tell("world: the workers of norte-a are deaf");
    world.submit("e1", &gang("dossier", "sleep 1000ms", false));
    let caller = wait(&mut world, "e1", "norte.review.dossier");
    world.run_until_answer(caller, SECOND * 20);
    insta::assert_snapshot!(text(&world));
}

/// The zones lose each other while a gang runs in one and the planner is in the other. The gang
/// is whole and goes on; the planner can't tell, and says so rather than "not run". When the
/// zones see each other again the lead is heard, and the job ends as what it is: done.
#[test]
fn the_zones_lose_each_other() {
    let mut world = world();
    let planner = world.planner("norte").expect("settled");
    let zone = if planner == "e1" { "norte-b" } else { "norte-a" };
    let shape = json!({ "accelerators": 8, "tasks": 2, "adjacency": "rack" });
    let far = json!({ "organisation": "archive", "shape": shape, "command": "sleep 30000ms",
        "idempotent": false, "key": "far" });
    world.submit(&planner, &far);
    world.run(SECOND * 2);
    world.network.cuts.push(("norte-a".into(), "norte-b".into()));
    world.tell(&format!("world: the zones are cut; the planner is not in {zone}"));
    world.run(SECOND * 25);
    world.network.cuts.clear();
    world.tell("world: the zones see each other again");
    world.run(SECOND * 10);
    world.call(&planner, "GET", "/v1/jobs/norte.archive.far");
    world.run(SECOND);
    insta::assert_snapshot!(text(&world));
}

/// The agent that leads a gang is killed and started again with empty memory. The worker stops
/// what the earlier life started, the other member's lease lapses, and the job runs again.
#[test]
fn the_lead_is_restarted() {
    let mut world = world();
    world.submit("e1", &gang("dossier", "sleep 3000ms", true));
    let caller = wait(&mut world, "e1", "norte.review.dossier");
    world.run(SECOND);
    world.kill_agent("a2");
    world.run(SECOND / 2);
    world.start_agent("a2");
    world.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&world));
}

/// An agent is asked to shut down while a gang and a request run on it. Neither is interrupted,
/// nothing new comes, and it exits when both have ended.
#[test]
fn an_agent_drains() {
    let mut world = world();
    world.submit("e1", &gang("dossier", "sleep 4000ms", false));
    world.run(SECOND);
    world.request("e1", "reading-1", false);
    world.run(SECOND / 50);
    world.drain("a3");
    world.run(SECOND);
    world.submit("e1", &borrower("later", 8, 3, "sleep 100ms"));
    let caller = wait(&mut world, "e1", "norte.review.dossier");
    world.run_until_answer(caller, SECOND * 20);
    world.run(SECOND * 2);
    insta::assert_snapshot!(text(&world));
}

/// Jobs that can never run, jobs of nobody, a job twice: each is answered at once and clearly.
#[test]
fn impossible_jobs_are_turned_away() {
    let mut world = world();
    world.submit("e1", &borrower("too-wide", 8, 4, "run"));
    let mut nobody = borrower("nobody", 1, 1, "run");
    nobody["organisation"] = json!("nobody");
    world.submit("e1", &nobody);
    let mut beyond = borrower("beyond", 8, 3, "run");
    beyond["organisation"] = json!("lenders");
    world.submit("e1", &beyond);
    world.submit("e1", &borrower("same", 1, 1, "sleep 100ms"));
    world.run(SECOND);
    world.submit("e2", &borrower("same", 1, 1, "sleep 100ms"));
    world.submit("e2", &borrower("same", 2, 1, "sleep 100ms"));
    world.run(SECOND);
    insta::assert_snapshot!(text(&world));
}

/// Two hundred jobs are submitted and all are cancelled at once. Each caller is told what
/// became of its own; nothing goes on running.
#[test]
fn a_wave_of_cancellations() {
    let mut world = world();
    world.is_recording = false;
    let jobs: Vec<String> = (0..200).map(|index| format!("wave-{index}")).collect();
    for job in &jobs {
        world.submit("e1", &borrower(job, 2, 1, "run"));
    }
    world.run(SECOND * 3);
    let ids = jobs.iter().map(|job| format!("/v1/jobs/norte.archive.{job}"));
    let callers: Vec<u64> = ids.map(|path| world.call("e2", "DELETE", &path)).collect();
    world.run(SECOND * 6);
    let mut counts = std::collections::BTreeMap::new();
    for job in &jobs {
        let caller = world.call("e2", "GET", &format!("/v1/jobs/norte.archive.{job}"));
        world.run(SECOND / 20);
        let (_, job) = world.answer(caller).expect("the planner answers at once");
        let key = format!("{} {}", job["state"], job["reason"]);
        *counts.entry(key).or_insert(0) += 1;
    }
    assert!(callers.iter().all(|caller| world.answer(*caller).is_some()));
    let in_use: u32 = world.agents.values().map(|guarded| guarded.worker.in_use()).sum();
    insta::assert_debug_snapshot!((counts, in_use));
}
