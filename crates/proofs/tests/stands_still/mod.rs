//! Days whose load falls to little before the end: guards against jobs that stand still although
//! there is capacity for them, once the faults are over.

use std::time::Duration;

use sapphire_proofs::jobs::{
    days, load,
    simulation::{
        Simulation,
        idle::{self, Measure},
        options::Options,
        standstill,
    },
};

use crate::jobs::secs;

/// Simulates a scenario with each seed. Panics with the jobs that stood still and the other
/// violations.
fn assert_nothing_stands_still(scenario: &str, seeds: &[u64]) {
    let scenario = days::scenario(scenario).expect("the scenario is known");
    let mut failures = Vec::new();
    for seed in seeds {
        let sim = days::simulate(scenario, *seed, days::GRACE);
        failures.extend(sim.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
        failures.extend(sim.standstills.iter().map(|it| format!("seed {seed}: {it:?}")));
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", scenario.name);
}

/// Guards against a standstill after a quiet day, which would be the fault of the scenario itself.
#[test]
fn nothing_stands_still_without_faults() {
    assert_nothing_stands_still("none", &[1, 2, 3]);
}

/// Guards against gangs that wait for a rack without workers on which they were slow or failed.
#[test]
fn nothing_stands_still_after_slow_minions() {
    assert_nothing_stands_still("slow", &[1, 2, 194]);
}

/// Guards against gangs that wait for one rack while the free workers are on several.
#[test]
fn nothing_stands_still_after_late_orders() {
    assert_nothing_stands_still("late", &[1, 2, 209]);
}

/// Guards against the same gangs when late orders have delayed their runs as well.
#[test]
fn nothing_stands_still_after_slow_minions_and_late_orders() {
    assert_nothing_stands_still("slow-late", &[1, 2, 90]);
}

/// Guards against gangs that avoid workers on every rack after several stopped runs.
#[test]
fn nothing_stands_still_after_slow_minions_and_lost_stops() {
    assert_nothing_stands_still("slow-lost-stops", &[1, 2, 128]);
}

/// Guards against gangs that wait for one rack while a worker of it is excluded after failures.
#[test]
fn nothing_stands_still_after_slow_and_failing_minions() {
    assert_nothing_stands_still("slow-failing", &[8, 9, 10]);
}

/// Guards against groups that wait for starts whose worker is gone and will not answer.
#[test]
fn nothing_stands_still_after_workers_are_replaced() {
    assert_nothing_stands_still("slow-replaced", &[16, 17, 18]);
}

/// Guards against gangs that avoid workers on several racks after a take-over.
#[test]
fn nothing_stands_still_after_a_takeover() {
    assert_nothing_stands_still("slow-takeover", &[1, 2, 106]);
}

/// Guards against gangs that wait for one rack after runs that planners of several terms ordered.
#[test]
fn nothing_stands_still_after_takeovers_in_series() {
    assert_nothing_stands_still("late-takeovers", &[1, 2, 232]);
}

/// Guards against gangs that wait for one rack after agents were killed and paused.
#[test]
fn nothing_stands_still_after_agents_were_away() {
    assert_nothing_stands_still("late-agents", &[1, 2, 223]);
}

/// Guards against gangs that wait for workers they don't avoid while nearly all workers are free.
#[test]
fn nothing_stands_still_after_trouble_of_the_store() {
    assert_nothing_stands_still("slow-store", &[8, 9, 10]);
}

/// Guards against groups that wait for starts on a worker that is gone, once more with each term.
#[test]
fn nothing_stands_still_after_all_faults() {
    assert_nothing_stands_still("all", &[1, 2, 3]);
}

/// Guards against a check that sees nothing: without entries, everything ends with its lease.
#[test]
fn jobs_that_no_planner_starts_again_stand_still() {
    let arrivals = load::draw(&days::GANGS, 1, secs(6.0), 2.0);
    let mut sim = Simulation::new(Options::new(&days::GANGS, arrivals, 1));
    sim.check_standstills_from(Duration::ZERO);
    sim.run_until(secs(6.0));
    assert!(sim.standstills.is_empty(), "{:?}", sim.standstills);
    for entry in 0..sim.entries() {
        sim.kill_entry(entry, secs(60.0));
    }
    sim.run_until(secs(20.0));
    assert!(!sim.standstills.is_empty());
    for it in &sim.standstills {
        assert!(it.since >= secs(6.0) && it.length >= standstill::LIMIT, "{it:?}");
    }
}

/// Guards against starts after a job was shown complete: its tasks were done on a mute minion, and
/// their next runs were ordered meanwhile.
#[test]
fn mute_minions_and_lost_planners_break_no_promise() {
    assert_nothing_stands_still("mute", &[1, 25, 104, 1102]);
}

/// Guards against the same starts when they are carried out late or repeated.
#[test]
fn mute_minions_and_late_orders_break_no_promise() {
    assert_nothing_stands_still("mute-late", &[188, 292, 520]);
}

/// Guards against the same starts when agents are lost as well.
#[test]
fn mute_minions_and_lost_agents_break_no_promise() {
    assert_nothing_stands_still("mute-agents", &[1, 212]);
}

/// Simulates scenarios with each seed. Panics with the jobs that were idle for longer than allowed by a
/// measure, and why.
fn assert_none_idle(scenarios: &[&str], seeds: &[u64], measure: impl Fn(&Simulation) -> &Measure) {
    let mut failures = Vec::new();
    for name in scenarios {
        let scenario = days::scenario(name).expect("the scenario is known");
        for seed in seeds {
            let sim = days::simulate(scenario, *seed, days::GRACE);
            for it in measure(&sim).longest().values().filter(|it| it.length >= idle::LIMIT) {
                let (length, since) = (it.length.as_secs_f64(), it.since.as_secs_f64());
                failures.push(format!(
                    "{name} {seed}: job {} is idle for {length:.1} s from {since:.1} s: {}",
                    it.job,
                    it.reason()
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Simulates scenarios with each seed. Panics with the unanswered starts that counted for longer than
/// the platform allows, those that counted again, and the violations.
fn assert_starts_expire(scenarios: &[&str], seeds: &[u64]) {
    assert_starts_expire_on(scenarios, seeds, |scenario| scenario);
}

/// The same with minions of which no incarnation carries out calls for an earlier one.
fn assert_starts_expire_within_incarnations(scenarios: &[&str], seeds: &[u64]) {
    assert_starts_expire_on(scenarios, seeds, days::Scenario::with_calls_of_one_incarnation);
}

fn assert_starts_expire_on(
    scenarios: &[&str],
    seeds: &[u64],
    change: fn(days::Scenario) -> days::Scenario,
) {
    let mut failures = Vec::new();
    for name in scenarios {
        let scenario = change(days::scenario(name).expect("the scenario is known"));
        for seed in seeds {
            let sim = days::simulate(scenario, *seed, days::GRACE);
            let long = sim.unanswered.longest().iter();
            for (minion, wait) in long.filter(|(minion, wait)| wait.length > minion.limit()) {
                failures.push(format!("{name} {seed}: minion {minion:?}: {wait:?}"));
            }
            let again = sim.unanswered.again().iter();
            failures.extend(again.map(|it| format!("{name} {seed}: counts again: {it:?}")));
            failures.extend(sim.violations.iter().map(|it| format!("{name} {seed}: {it}")));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against starts on VMs that are gone which count for longer than it takes to read that in the
/// inventory, since another VM has no minion.
#[test]
fn starts_on_vms_that_are_gone_expire_beside_vacant_ones() {
    let scenarios = ["departures", "departures-takeovers", "departures-rapid"];
    assert_starts_expire(&scenarios, &[1, 8, 23]);
}

/// Guards against starts that count again under a successor although a planner has settled them.
#[test]
fn settled_starts_do_not_count_again() {
    assert_starts_expire(&["departures-takeovers"], &[4, 7]);
    assert_starts_expire(&["departures-rapid"], &[2, 3, 15]);
}

/// Guards against starts that count again, or for longer than the platform allows, where they end with the
/// leases of the incarnation that they were sent to.
#[test]
fn starts_expire_within_incarnations() {
    let departures = ["departures", "departures-takeovers", "departures-rapid"];
    assert_starts_expire_within_incarnations(&departures, &[1, 2, 3, 4, 7, 8, 15, 23]);
    assert_starts_expire_within_incarnations(&["absences", "all"], &[1, 2, 9]);
    assert_starts_expire_within_incarnations(&["mute-late", "mute-agents"], &[1, 13]);
    assert_starts_expire_within_incarnations(&["suspicions", "late-agents"], &[1, 14]);
}

/// Guards against starts on VMs without a minion which count on although they can't be carried out any
/// more and nothing of them can be running.
#[test]
fn starts_on_vacant_vms_expire() {
    assert_starts_expire(&["absences"], &[1, 9, 40]);
}

/// Guards against starts that count for longer than the platform allows in whatever trouble.
#[test]
fn unanswered_starts_expire_after_all_faults() {
    let scenarios = ["late", "late-takeovers", "late-agents", "all", "mute-all", "agent-takeovers"];
    assert_starts_expire(&scenarios, &[1, 2]);
}

/// Guards against jobs that wait beside spare capacity while VMs are taken away one after the other.
#[test]
fn no_job_is_idle_for_long_while_vms_leave_in_series() {
    let scenarios = ["departures", "departures-takeovers"];
    assert_none_idle(&scenarios, &[8, 32, 35], |sim| &sim.idle.calm);
}

/// Guards against a measure that sees nothing: without entries, everything ends with its lease.
#[test]
fn jobs_without_a_planner_are_idle() {
    let arrivals = load::draw(&days::GANGS, 1, secs(6.0), 2.0);
    let mut sim = Simulation::new(Options::new(&days::GANGS, arrivals, 1));
    sim.measure_idle_times();
    sim.run_until(secs(6.0));
    assert!(sim.idle.all.longest().values().all(|it| it.length < idle::LIMIT));
    for entry in 0..sim.entries() {
        sim.kill_entry(entry, secs(60.0));
    }
    sim.run_until(secs(20.0));
    let longest = sim.idle.all.longest();
    assert!(longest["no planner"].length >= secs(6.0), "{longest:?}");
    // Nothing counts while entries are away.
    assert!(sim.idle.full.longest().values().all(|it| it.length < idle::LIMIT));
}

/// Guards against jobs that wait beside spare capacity on a day without faults.
#[test]
fn no_job_is_idle_for_long_without_faults() {
    assert_none_idle(&["none"], &[1, 2, 3, 66], |sim| &sim.idle.calm);
}

/// Guards against the same while the service is full, but has capacity for the job twice over.
#[test]
fn no_job_is_idle_for_long_in_a_full_service() {
    assert_none_idle(&["none"], &[13, 28, 66], |sim| &sim.idle.full);
}

/// Guards against jobs that wait after changes of planners whose workers all report.
#[test]
fn no_job_is_idle_for_long_after_changes_of_planners() {
    assert_none_idle(&["takeovers", "slow-takeover"], &[1, 2, 3, 4, 5], |sim| &sim.idle.calm);
}

/// Guards against jobs that wait after changes of planners for workers that are gone.
#[test]
fn no_job_is_idle_for_long_after_workers_are_gone_with_their_planner() {
    assert_none_idle(&["gone-takeover", "gone-takeovers"], &[1, 2, 3, 4, 5], |sim| &sim.idle.calm);
}

/// Guards against jobs that wait after a change of planners for a worker that is cut off and does not
/// run them.
#[test]
fn no_job_is_idle_for_long_after_workers_are_cut_off_with_their_planner() {
    assert_none_idle(&["cut-takeover"], &[1, 2, 3, 4, 5], |sim| &sim.idle.calm);
}

/// Guards against the same after several changes of planners.
#[test]
fn no_job_is_idle_for_long_after_workers_are_cut_off_with_several_planners() {
    assert_none_idle(&["cut-takeovers"], &[1, 2, 3, 4, 5], |sim| &sim.idle.calm);
}

/// Guards against the same with workers whose agents are lost.
#[test]
fn no_job_is_idle_for_long_after_agents_are_lost_with_several_planners() {
    assert_none_idle(&["agent-takeovers"], &[1, 2, 3, 4, 5], |sim| &sim.idle.calm);
}

/// Guards against the same with workers whose minions are mute.
#[test]
fn no_job_is_idle_for_long_after_minions_are_mute_with_their_planner() {
    assert_none_idle(&["mute", "mute-store"], &[1, 2, 3, 7, 8], |sim| &sim.idle.calm);
}

/// Guards against jobs that wait for starts which had no answer.
#[test]
fn no_job_is_idle_for_long_after_late_orders() {
    let scenarios = ["late", "late-takeovers", "late-agents"];
    assert_none_idle(&scenarios, &[6, 15, 38], |sim| &sim.idle.calm);
}
