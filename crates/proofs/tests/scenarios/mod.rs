//! Snapshots of the trace of one scenario for each kind of failure.

use std::time::Duration;

use sapphire_proofs::{chaos, simulation::Simulation};
use serde_json::{Value, json};

const SECOND: Duration = Duration::from_secs(1);

/// Parts of routine lines, which are left out of the snapshots.
const ROUTINE: [&str; 7] = [
    "agent: hold ",
    "agent: ended ",
    "agent: decided",
    "agent: start ",
    "in force ",
    "bound version",
    "follows planner",
];

/// Two entries and two racks with rules in force; only what follows is recorded.
pub fn simulation() -> Simulation {
    let mut sim = Simulation::region(1, 2);
    sim.bootstrap(chaos::RULES);
    sim.is_recording = true;
    sim
}

/// Gang that occupies two workers of one rack, within the guarantee of `review`.
pub fn gang(key: &str, command: &str, idempotent: bool) -> Value {
    json!({
        "organisation": "review",
        "shape": { "accelerators": 8, "tasks": 2, "adjacency": "rack" },
        "command": command,
        "idempotent": idempotent,
        "key": key,
    })
}

/// Job of an organisation without a guarantee, which therefore borrows.
pub fn borrower(key: &str, accelerators: u32, tasks: u32, command: &str) -> Value {
    json!({
        "organisation": "archive",
        "shape": { "accelerators": accelerators, "tasks": tasks, "adjacency": "rack" },
        "command": command,
        "idempotent": true,
        "key": key,
    })
}

/// The trace so far, without routine lines.
pub fn text(sim: &Simulation) -> String {
    let is_routine = |line: &&String| ROUTINE.iter().any(|part| line.contains(part));
    let lines = sim.trace.iter().filter(|line| !is_routine(line));
    lines.map(|line| format!("{line}\n")).collect()
}

/// Makes a caller wait for the end of a job.
pub fn wait(sim: &mut Simulation, at: &str, job: &str) -> u64 {
    sim.call(at, "GET", &format!("/v1/jobs/{job}?wait=60s"))
}

/// One VM of a running gang is lost. Guards against a gang that goes on without a member: the other
/// task stops within a lease, and the idempotent job runs again, complete, elsewhere.
#[test]
fn a_vm_of_a_gang_is_lost() {
    let mut sim = simulation();
    sim.submit("e1", &gang("dossier", "sleep 4000ms", true));
    let caller = wait(&mut sim, "e1", "norte.review.dossier");
    sim.run(SECOND);
    sim.kill_vm("a3");
    sim.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&sim));
}

/// The same loss with a job that is not idempotent: it is not run again, and its caller is told
/// that it was interrupted.
#[test]
fn a_vm_of_a_gang_that_must_not_repeat_is_lost() {
    let mut sim = simulation();
    sim.submit("e1", &gang("bill", "sleep 4000ms", false));
    let caller = wait(&mut sim, "e1", "norte.review.bill");
    sim.run(SECOND);
    sim.kill_vm("a3");
    sim.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&sim));
}

/// The entry that plans is killed while a gang runs. The gang is not affected; the other entry
/// takes over and receives the gang's state from its coordinator, and a caller there gets its
/// answer.
#[test]
fn the_planner_is_killed() {
    let mut sim = simulation();
    sim.submit("e1", &gang("dossier", "sleep 8000ms", false));
    sim.run(SECOND);
    let planner = sim.planner("norte").expect("an entry plans");
    let other = if planner == "e1" { "e2" } else { "e1" };
    sim.kill_entry(&planner);
    sim.run(SECOND * 5);
    let caller = wait(&mut sim, other, "norte.review.dossier");
    sim.run_until_answer(caller, SECOND * 20);
    insta::assert_snapshot!(text(&sim));
}

/// The planner is paused for longer than its lease, another takes over, and the first one resumes
/// and acts as if it were still the planner. Its writes and reservations are refused, and the gang
/// runs once.
#[test]
fn the_planner_is_paused_past_its_lease() {
    let mut sim = simulation();
    let planner = sim.planner("norte").expect("an entry plans");
    let other = if planner == "e1" { "e2" } else { "e1" };
    sim.pause(&planner, SECOND * 8);
    sim.run(SECOND * 5);
    sim.submit(other, &gang("dossier", "sleep 6000ms", false));
    let caller = wait(&mut sim, other, "norte.review.dossier");
    sim.run_until_answer(caller, SECOND * 30);
    sim.run(SECOND);
    insta::assert_snapshot!(text(&sim));
}

/// The store goes down while a gang runs. The gang and service requests go on. A new job is
/// rejected at once as not run, with a time to retry after; when the store is back, the job is
/// accepted.
#[test]
fn the_store_is_down() {
    let mut sim = simulation();
    sim.submit("e1", &gang("running", "sleep 9000ms", false));
    sim.run(SECOND);
    sim.store_faults.is_down = true;
    sim.record("simulation: the store is down");
    sim.submit("e1", &borrower("caught", 4, 1, "sleep 500ms"));
    sim.run(SECOND * 3);
    sim.submit("e1", &borrower("refused", 4, 1, "sleep 500ms"));
    sim.request("e2", "reading-1", false);
    sim.run(SECOND * 10);
    sim.store_faults.is_down = false;
    sim.record("simulation: the store is back");
    sim.run(SECOND * 5);
    sim.submit("e1", &borrower("refused", 4, 1, "sleep 500ms"));
    sim.run(SECOND * 4);
    for job in ["norte.review.running", "norte.archive.caught", "norte.archive.refused"] {
        sim.call("e2", "GET", &format!("/v1/jobs/{job}"));
        sim.run(SECOND);
    }
    insta::assert_snapshot!(text(&sim));
}

/// Writes to the store take effect and their answers are lost. A job and a rule file are each
/// accepted once, and the callers are told so.
#[test]
fn answers_of_the_store_are_lost() {
    let mut sim = simulation();
    sim.store_faults.lost_answers = 1_000;
    sim.submit("e1", &borrower("once", 4, 1, "sleep 500ms"));
    sim.run(SECOND / 2);
    sim.store_faults.lost_answers = 0;
    let caller = wait(&mut sim, "e2", "norte.archive.once");
    sim.run_until_answer(caller, SECOND * 20);
    sim.store_faults.lost_answers = 1_000;
    let caller = sim.apply("e1", 1, &chaos::RULES.replace("1s", "2s"));
    sim.run(SECOND / 100);
    sim.store_faults.lost_answers = 0;
    sim.run_until_answer(caller, SECOND * 10);
    insta::assert_snapshot!(text(&sim));
}

/// Two operators change the rules at the same time at two entries. One wins; the other is told
/// the revision it lost to, and nothing of its file is in force.
#[test]
fn two_operators_race() {
    let mut sim = simulation();
    sim.apply("e1", 1, &chaos::RULES.replace("grace=1s", "grace=2s"));
    sim.apply("e2", 1, &chaos::RULES.replace("grace=1s", "grace=3s"));
    sim.run(SECOND * 3);
    insta::assert_snapshot!(text(&sim));
}

/// Borrowers occupy guaranteed accelerators, and the workers of a zone ignore requests to stop. The
/// guaranteed gang still starts: the lease of a borrower's tasks is not renewed and expires.
#[test]
fn a_borrower_that_ignores_stops_is_reclaimed() {
    let mut sim = simulation();
    for key in ["one", "two", "three", "four", "five", "six"] {
        sim.submit("e1", &borrower(key, 8, 1, "run"));
    }
    sim.run(SECOND * 2);
    for name in ["a1", "a2", "a3"] {
        sim.agents.get_mut(name).expect("the agent exists").worker.ignores_stops = true;
    }
    sim.record("simulation: the workers of norte-a ignore requests to stop");
    sim.submit("e1", &gang("dossier", "sleep 1000ms", false));
    let caller = wait(&mut sim, "e1", "norte.review.dossier");
    sim.run_until_answer(caller, SECOND * 20);
    insta::assert_snapshot!(text(&sim));
}

/// The zones are partitioned while a gang runs in one and the planner is in the other. The gang is
/// complete and goes on; the planner can't know that and reports the state as unknown, not as "not
/// run". When the zones are connected again, the coordinator reports to it and the job ends as
/// done.
#[test]
fn the_zones_lose_each_other() {
    let mut sim = simulation();
    let planner = sim.planner("norte").expect("an entry plans");
    let zone = if planner == "e1" { "norte-b" } else { "norte-a" };
    let shape = json!({ "accelerators": 8, "tasks": 2, "adjacency": "rack" });
    let far = json!({ "organisation": "archive", "shape": shape, "command": "sleep 30000ms",
        "idempotent": false, "key": "far" });
    sim.submit(&planner, &far);
    sim.run(SECOND * 2);
    sim.network.partitions.push(("norte-a".into(), "norte-b".into()));
    sim.record(&format!("simulation: the zones are cut; the planner is not in {zone}"));
    sim.run(SECOND * 25);
    sim.network.partitions.clear();
    sim.record("simulation: the zones are connected again");
    sim.run(SECOND * 10);
    sim.call(&planner, "GET", "/v1/jobs/norte.archive.far");
    sim.run(SECOND);
    insta::assert_snapshot!(text(&sim));
}

/// The agent that coordinates a gang is killed and restarted without its earlier state. The worker
/// stops the earlier process's tasks, the other member's lease expires, and the job runs again.
#[test]
fn the_coordinator_is_restarted() {
    let mut sim = simulation();
    sim.submit("e1", &gang("dossier", "sleep 3000ms", true));
    let caller = wait(&mut sim, "e1", "norte.review.dossier");
    sim.run(SECOND);
    sim.kill_agent("a2");
    sim.run(SECOND / 2);
    sim.start_agent("a2");
    sim.run_until_answer(caller, SECOND * 40);
    insta::assert_snapshot!(text(&sim));
}

/// An agent drains while a gang and a service request run on it. Neither is interrupted, it gets no
/// new work, and it exits when both have ended.
#[test]
fn an_agent_drains() {
    let mut sim = simulation();
    sim.submit("e1", &gang("dossier", "sleep 4000ms", false));
    sim.run(SECOND);
    sim.request("e1", "reading-1", false);
    sim.run(SECOND / 50);
    sim.drain("a3");
    sim.run(SECOND);
    sim.submit("e1", &borrower("later", 8, 3, "sleep 100ms"));
    let caller = wait(&mut sim, "e1", "norte.review.dossier");
    sim.run_until_answer(caller, SECOND * 20);
    sim.run(SECOND * 2);
    insta::assert_snapshot!(text(&sim));
}

/// Jobs that can never run, a job of an unknown organisation, and reused idempotency keys: each
/// gets its answer at once, with the reason.
#[test]
fn impossible_jobs_are_rejected() {
    let mut sim = simulation();
    sim.submit("e1", &borrower("too-wide", 8, 4, "run"));
    let mut nobody = borrower("nobody", 1, 1, "run");
    nobody["organisation"] = json!("nobody");
    sim.submit("e1", &nobody);
    let mut beyond = borrower("beyond", 8, 3, "run");
    beyond["organisation"] = json!("lenders");
    sim.submit("e1", &beyond);
    sim.submit("e1", &borrower("same", 1, 1, "sleep 100ms"));
    sim.run(SECOND);
    sim.submit("e2", &borrower("same", 1, 1, "sleep 100ms"));
    sim.submit("e2", &borrower("same", 2, 1, "sleep 100ms"));
    sim.run(SECOND);
    insta::assert_snapshot!(text(&sim));
}

/// Two hundred jobs are submitted and all are cancelled at once. Each caller is told what
/// became of its own; nothing goes on running.
#[test]
fn a_wave_of_cancellations() {
    let mut sim = simulation();
    sim.is_recording = false;
    let jobs: Vec<String> = (0..200).map(|index| format!("wave-{index}")).collect();
    for job in &jobs {
        sim.submit("e1", &borrower(job, 2, 1, "run"));
    }
    sim.run(SECOND * 3);
    let ids = jobs.iter().map(|job| format!("/v1/jobs/norte.archive.{job}"));
    let callers: Vec<u64> = ids.map(|path| sim.call("e2", "DELETE", &path)).collect();
    sim.run(SECOND * 6);
    let mut counts = std::collections::BTreeMap::new();
    for job in &jobs {
        let caller = sim.call("e2", "GET", &format!("/v1/jobs/norte.archive.{job}"));
        sim.run(SECOND / 20);
        let (_, job) = sim.answer(caller).expect("the planner answers at once");
        let key = format!("{} {}", job["state"], job["reason"]);
        *counts.entry(key).or_insert(0) += 1;
    }
    assert!(callers.iter().all(|caller| sim.answer(*caller).is_some()));
    let in_use: u32 = sim.agents.values().map(|host| host.worker.in_use()).sum();
    insta::assert_debug_snapshot!((counts, in_use));
}
