//! Jobs that stand still although there is capacity for them:
//! `cargo run --release --package sapphire-proofs --example standstills -- --scenario slow`.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use sapphire_proofs::jobs::{days, simulation::standstill::Standstill};

const THREADS: usize = 2;

/// Simulates days whose load falls to little, and counts those on which a job stands still after
/// the faults.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "50")]
    seeds: u64,
    /// name of the scenario, or `all-scenarios`
    #[argh(option, default = "\"all-scenarios\".to_owned()")]
    scenario: String,
    /// time after the last submission and the last fault from which standstills count, in seconds
    #[argh(option, default = "14.0")]
    grace: f64,
    /// print the whole log of each day that fails
    #[argh(switch)]
    story: bool,
}

/// Result of one day.
struct Day {
    standstills: Vec<Standstill>,
    violations: Vec<String>,
    log: Vec<String>,
}

fn simulate(scenario: days::Scenario, seed: u64, args: &Args) -> Day {
    let mut sim = days::simulate(scenario, seed, Duration::from_secs_f64(args.grace));
    let is_told = args.story && !(sim.standstills.is_empty() && sim.violations.is_empty());
    let log = if is_told { std::mem::take(&mut sim.log) } else { Vec::new() };
    Day { standstills: sim.standstills, violations: sim.violations, log }
}

fn report(scenario: days::Scenario, results: &BTreeMap<u64, Day>) {
    let standing = results.values().filter(|day| !day.standstills.is_empty()).count();
    let broken = results.values().filter(|day| !day.violations.is_empty()).count();
    println!(
        "{}: days {}, with a standstill {standing}, with another violation {broken}",
        scenario.name,
        results.len()
    );
    for (seed, day) in results {
        for Standstill { job, since, length } in &day.standstills {
            let (since, length) = (since.as_secs_f64(), length.as_secs_f64());
            println!("  seed {seed}: job {job} stands still from {since:.1} s for {length:.1} s");
        }
        day.violations.iter().for_each(|violation| println!("  seed {seed}: {violation}"));
        day.log.iter().for_each(|line| println!("    {line}"));
    }
}

fn main() {
    let args: Args = argh::from_env();
    let is_selected =
        |it: &&days::Scenario| args.scenario == "all-scenarios" || it.name == args.scenario;
    for scenario in days::SCENARIOS.iter().filter(is_selected).copied() {
        let next = AtomicU64::new(args.first);
        let results = Mutex::new(BTreeMap::new());
        thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= args.first + args.seeds {
                            break;
                        }
                        let day = simulate(scenario, seed, &args);
                        results.lock().expect("no thread panics").insert(seed, day);
                    }
                });
            }
        });
        report(scenario, &results.into_inner().expect("no thread panics"));
    }
}
