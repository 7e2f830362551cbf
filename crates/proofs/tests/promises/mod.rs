//! Bounds that the brief gives in seconds, in virtual time.

use std::time::Duration;

use sapphire_proofs::chaos;

use crate::stories;

const SECOND: Duration = Duration::from_secs(1);

/// Every process there is, by the revision in force.
fn revisions(world: &sapphire_proofs::world::World) -> Vec<u64> {
    let entries = world.entries.values().filter_map(|p| p.machine.as_ref());
    let entries = entries.map(|machine| machine.rulebook().revision());
    let agents = world.agents.values().filter_map(|guarded| guarded.process.machine.as_ref());
    entries.chain(agents.map(|machine| machine.applied().rules)).collect()
}

/// An operator's file is accepted. Within three seconds every process has it in force, also when
/// the store goes down the moment after it has answered.
#[test]
fn accepted_rules_are_in_force_within_three_seconds_though_the_store_goes_down() {
    let mut world = stories::world();
    let caller = world.apply("e1", 1, &chaos::RULES.replace("grace=1s", "grace=2s"));
    assert!(world.run_until_answer(caller, SECOND));
    world.store_faults.is_down = true;
    world.run(SECOND * 3);
    assert_eq!(revisions(&world), vec![2; 8]);
}

/// A process that starts while the store is down takes the rules from its peers, before it says
/// that it is ready.
#[test]
fn a_process_that_starts_in_an_outage_takes_the_rules_from_its_peers() {
    let mut world = stories::world();
    world.store_faults.is_down = true;
    let planner = world.planner("norte").expect("settled");
    let other = if planner == "e1" { "e2" } else { "e1" };
    world.kill_entry(other);
    world.kill_agent("a4");
    world.run(SECOND);
    world.start_entry(other);
    world.start_agent("a4");
    let early = world.call(other, "GET", "/readyz");
    world.run(SECOND * 3);
    let late = world.call(other, "GET", "/readyz");
    let status = |caller| world.answer(caller).map(|(status, _)| status);
    assert_eq!((status(early), status(late)), (Some(503), Some(200)));
    assert_eq!(revisions(&world), vec![1; 8]);
}

/// A guaranteed gang is submitted while borrowers hold everything. It starts within the grace
/// period and 2.7 s, in each of many worlds.
#[test]
fn a_guaranteed_gang_starts_within_grace_and_2_7_seconds() {
    for deaf in [false, true] {
        let mut world = stories::world();
        for key in ["1", "2", "3", "4", "5", "6"] {
            world.submit("e1", &stories::borrower(key, 8, 1, "run"));
        }
        world.run(SECOND * 2);
        for guarded in world.agents.values_mut() {
            guarded.worker.is_deaf = deaf;
        }
        world.submit("e1", &stories::gang("dossier", "run", true));
        world.run(SECOND + Duration::from_millis(2_700));
        assert!(world.check.has_started("norte.review.dossier"), "deaf: {deaf}");
    }
}

/// The planner alone loses the store, so its key lapses and another entry takes over, while the
/// first goes on as in an outage: two planners at once. Agents follow the later term, so the
/// first hears no more of a gang that runs, takes its lead as silent and bars it. The agents
/// refuse that, or the gang's work would be lost. When the store is back the first steps down.
#[test]
fn of_two_planners_at_once_agents_follow_the_later() {
    let mut world = stories::world();
    let old = world.planner("norte").expect("settled");
    let new = if old == "e1" { "e2" } else { "e1" };
    world.submit(new, &stories::gang("dossier", "sleep 25000ms", false));
    world.run(SECOND);
    world.store_faults.cut_off.push(old.clone());
    world.network.cuts.push(("e1".into(), "e2".into()));
    world.run(SECOND * 6);
    let plans = |world: &sapphire_proofs::world::World, name: &str| {
        world.entries[name].machine.as_ref().is_some_and(|m| m.planner().is_some())
    };
    assert!(plans(&world, &old) && plans(&world, new), "both plan");
    let caller = stories::wait(&mut world, new, "norte.review.dossier");
    world.submit(&old, &stories::borrower("stale", 8, 3, "sleep 100ms"));
    world.run(SECOND * 14);
    world.network.cuts.clear();
    world.store_faults.cut_off.clear();
    world.run_until_answer(caller, SECOND * 20);
    let (_, job) = world.answer(caller).expect("the job ends");
    assert_eq!(job["state"], "done", "{job}");
    world.run(SECOND * 5);
    assert!(!plans(&world, &old) && plans(&world, new), "one steps down");
}

/// An agent announces that it leaves. Three seconds later no entry gives it anything new,
/// though it is the only one with room.
#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    let mut world = stories::world();
    for name in ["a1", "a2", "a4", "a5", "a6"] {
        world.kill_agent(name);
    }
    world.run(SECOND * 12);
    world.submit("e1", &stories::borrower("long", 1, 1, "sleep 60000ms"));
    world.run(SECOND * 2);
    world.drain("a3");
    world.run(SECOND * 3);
    let request = world.request("e1", "reading", true);
    world.submit("e1", &stories::borrower("late", 1, 1, "sleep 100ms"));
    world.run(SECOND * 10);
    assert_eq!(world.answer(request).map(|(status, _)| status), Some(503));
    assert!(!world.check.has_started("norte.archive.late"));
    assert!(world.check.has_started("norte.archive.long"));
    assert_eq!(world.agents["a3"].worker.in_use(), 1, "the task was interrupted");
}

/// An entry is asked to shut down with a caller waiting. It is not ready at once, and it exits
/// only after the caller has its answer.
#[test]
fn an_entry_that_leaves_answers_its_callers_first() {
    let mut world = stories::world();
    world.submit("e1", &stories::gang("dossier", "sleep 5000ms", false));
    world.run(SECOND);
    let caller = stories::wait(&mut world, "e1", "norte.review.dossier");
    let request = world.request("e1", "reading", false);
    world.drain("e1");
    let ready = world.call("e1", "GET", "/readyz");
    assert_eq!(world.answer(ready).map(|(status, _)| status), Some(503));
    world.run(SECOND * 15);
    assert_eq!(world.answer(request).map(|(status, _)| status), Some(200));
    let (_, job) = world.answer(caller).expect("answered before it exits");
    assert_eq!(job["state"], "done");
    assert!(world.entries["e1"].machine.is_none(), "it exits");
}

/// A worker is killed at each moment of a gang's life: before it is held, while it is held, as
/// it starts, as it runs and as it ends. The observer asserts at each step that the gang is
/// whole or gone; here the job must end in every case.
#[test]
fn a_member_killed_at_each_moment_leaves_no_part_of_a_gang() {
    for victim in ["a2", "a3"] {
        for moment in 0..40 {
            let mut world = stories::world();
            world.submit("e1", &stories::gang("dossier", "sleep 300ms", true));
            world.run(Duration::from_millis(moment * 10));
            world.kill_vm(victim);
            let caller = stories::wait(&mut world, "e1", "norte.review.dossier");
            world.run(SECOND * 10);
            world.start_agent(victim);
            assert!(world.run_until_answer(caller, SECOND * 40), "{victim} at {moment}");
            let (_, job) = world.answer(caller).expect("just answered");
            assert_eq!(job["state"], "done", "{victim} at {moment}: {job}");
        }
    }
}

/// A worker fails every task that it starts, and is the first choice for many. It is set aside
/// after three jobs, the others run them, and no job ends as failed.
#[test]
fn a_worker_that_fails_every_task_costs_no_job() {
    let mut world = stories::world();
    world.agents.get_mut("a1").expect("made above").worker.is_broken = true;
    let keys: Vec<String> = (0..20).map(|number| format!("job-{number}")).collect();
    for key in &keys {
        world.submit("e1", &stories::borrower(key, 4, 1, "sleep 500ms"));
        world.run(SECOND);
    }
    world.run(SECOND * 20);
    for key in &keys {
        let caller = world.call("e1", "GET", &format!("/v1/jobs/norte.archive.{key}"));
        let (_, job) = world.answer(caller).expect("the planner answers at once");
        assert_eq!(job["state"], "done", "{job}");
    }
    let caller = world.call("e1", "GET", "/v1/workers");
    let (_, workers) = world.answer(caller).expect("answered at once");
    let aside = workers["workers"].as_array().expect("a list").iter();
    let aside: Vec<_> = aside.filter(|w| w["set_aside"] == true).map(|w| &w["name"]).collect();
    assert_eq!(aside, ["w1"]);
}

/// Every agent is killed and started again at once. The entries hear them all again within a
/// time-out, and the store sees no more calls than before.
#[test]
fn a_mass_restart_is_no_stampede_on_the_store() {
    let mut world = stories::world();
    let calls =
        |world: &sapphire_proofs::world::World| -> u64 { world.store.counts.values().sum() };
    let before = calls(&world);
    world.run(SECOND * 4);
    let usual = calls(&world) - before;
    for name in ["a1", "a2", "a3", "a4", "a5", "a6"] {
        world.kill_agent(name);
        world.start_agent(name);
    }
    let before = calls(&world);
    world.run(SECOND * 4);
    let after = calls(&world) - before;
    assert!(after <= usual + 2, "{usual} calls in 4 s before, {after} after");
    let caller = world.call("e1", "GET", "/v1/workers");
    let (_, workers) = world.answer(caller).expect("answered at once");
    let workers = workers["workers"].as_array().expect("a list").clone();
    assert!(workers.len() == 6 && workers.iter().all(|worker| worker["heard"] == true));
}

/// The network between the planner and a running gang is cut for eight seconds. The gang must
/// not notice: hours of its work would be lost to a cut that is over in seconds.
#[test]
fn a_short_cut_stops_no_gang() {
    let mut world = stories::world();
    world.submit("e1", &stories::gang("dossier", "sleep 20000ms", false));
    world.run(SECOND);
    world.network.cuts.push(("e1".into(), "norte-a".into()));
    world.network.cuts.push(("e2".into(), "norte-a".into()));
    world.run(SECOND * 8);
    world.network.cuts.clear();
    let caller = stories::wait(&mut world, "e1", "norte.review.dossier");
    world.run_until_answer(caller, SECOND * 30);
    let (_, job) = world.answer(caller).expect("the job ends");
    assert_eq!(job["state"], "done", "{job}");
}

/// The planner is frozen and wakes up just as another takes over, before the agents have heard
/// of that one. Having heard nobody for seconds it thinks all workers lost and binds guarantees
/// anew, to nothing. Agents that took that for newer refused every guaranteed gang from then on.
#[test]
fn a_planner_that_wakes_as_another_takes_over_unbinds_nothing() {
    for moment in 0..40 {
        let mut world = stories::world();
        let planner = world.planner("norte").expect("settled");
        let other = if planner == "e1" { "e2" } else { "e1" };
        world.pause(&planner, SECOND * 100);
        while world.entries[other].machine.as_ref().is_some_and(|m| m.planner().is_none()) {
            world.run(Duration::from_millis(10));
        }
        world.run(Duration::from_millis(moment * 10));
        world.pause(&planner, Duration::ZERO);
        world.submit(other, &stories::gang("dossier", "sleep 100ms", false));
        let caller = stories::wait(&mut world, other, "norte.review.dossier");
        assert!(world.run_until_answer(caller, SECOND * 10), "at {moment}");
        let (_, job) = world.answer(caller).expect("just answered");
        assert_eq!(job["state"], "done", "at {moment}: {job}");
    }
}

/// A job that must not repeat is accepted; then the store goes down before the attempt is
/// recorded, and the planner dies. Had it started the gang, its successor would find a job that
/// waits, and start it a second time: a farmer billed twice. The observer asserts that.
#[test]
fn a_gang_is_not_started_before_its_attempt_is_recorded() {
    let mut world = stories::world();
    let old = world.planner("norte").expect("settled");
    let new = if old == "e1" { "e2" } else { "e1" };
    let writes = world.store.counts["put"];
    let caller = world.submit(new, &stories::gang("bill", "sleep 9000ms", false));
    while world.answer(caller).is_none() {
        world.run(Duration::from_millis(10));
        world.store_faults.is_down = world.store.counts["put"] > writes;
    }
    assert_eq!(world.answer(caller).map(|(status, _)| status), Some(201));
    world.store_faults.is_down = true;
    world.run(SECOND / 2);
    world.kill_entry(&old);
    world.store_faults.is_down = false;
    let caller = stories::wait(&mut world, new, "norte.review.bill");
    assert!(world.run_until_answer(caller, SECOND * 30));
    let (_, job) = world.answer(caller).expect("just answered");
    assert_eq!(job["state"], "done", "{job}");
}
