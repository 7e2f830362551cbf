//! Minions that live on and resemble minions that have ended, and the time that tasks of minions that have crashed take:
//! `cargo run --release --package sapphire-proofs --example suspicions -- --scenario refusing`.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use sapphire_proofs::jobs::{
    days,
    simulation::{bounds, suspicions::Crash},
};

const THREADS: usize = 2;
/// Scenarios of `all-scenarios`.
const SCENARIOS: &[&str] = &[
    "refusing",
    "refusing-takeovers",
    "refusing-agents",
    "refusing-store",
    "lingering",
    "lingering-takeovers",
    "lingering-agents",
    "lingering-unlisted",
    "inventory-old",
    "inventory-lacking",
    "inventory-takeovers",
    "inventory-agents",
    "refused-starts",
    "refused-starts-late",
    "suspicions",
    "crashes",
    "held-up-agents",
    "held-up-planners",
    "held-up-links",
    "slow-fleet-writes",
    "held-up",
    "held-up-agents-suspicions",
    "held-up-planners-suspicions",
    "held-up-links-suspicions",
    "slow-fleet-writes-suspicions",
];

/// Simulates days on which live minions resemble minions that have ended; counts those that break a promise and the
/// evidence that was wrong, and measures how long tasks of minions that have crashed take until they run again.
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
    /// no incarnation of a minion carries out calls for an earlier one
    #[argh(switch)]
    one_incarnation: bool,
    /// name of the set of bounds in time, or `all` for those of the deployments
    #[argh(option, default = "\"default\".to_owned()")]
    bounds: String,
    /// print the whole log of each day that breaks a promise
    #[argh(switch)]
    story: bool,
}

/// Result of one day.
struct Day {
    violations: Vec<String>,
    starts_after_disruptions: Vec<String>,
    /// Number of runs that were listed after they had counted as ended, by evidence.
    wrong: BTreeMap<String, usize>,
    recoveries: Vec<(Crash, Duration)>,
    log: Vec<String>,
}

/// Returns the evidence in a line that contradicts it.
fn wrong_evidence(line: &str) -> Option<&str> {
    line.contains("is listed as running, but counted as ended").then_some(())?;
    line.split_once("evidence=")?.1.split_whitespace().next()
}

fn simulate(scenario: days::Scenario, seed: u64, args: &Args) -> Day {
    let scenario =
        if args.one_incarnation { scenario.with_calls_of_one_incarnation() } else { scenario };
    let mut sim = days::simulate(scenario, seed, days::GRACE);
    let mut wrong = BTreeMap::new();
    for evidence in sim.log.iter().filter_map(|line| wrong_evidence(line)) {
        *wrong.entry(evidence.to_owned()).or_default() += 1;
    }
    let is_told = args.story && !sim.violations.is_empty();
    let log = if is_told { std::mem::take(&mut sim.log) } else { Vec::new() };
    Day {
        violations: sim.violations,
        starts_after_disruptions: sim.starts_after_disruptions,
        wrong,
        recoveries: sim.recoveries,
        log,
    }
}

fn report(name: &str, results: &BTreeMap<u64, Day>) {
    let count = |text: &str| {
        let is_hit = |day: &&Day| day.violations.iter().any(|it| it.contains(text));
        results.values().filter(is_hit).count()
    };
    let broken = results.values().filter(|day| !day.violations.is_empty()).count();
    println!(
        "{name}: days {}, broken {broken}; with runs at once {}, with a start after an end {}, after one that was only \
         listed in calm time {}",
        results.len(),
        count("runs twice at once"),
        count("starts after a run had ended done"),
        count("listed in calm time"),
    );
    let disrupted = results.values().filter(|day| !day.starts_after_disruptions.is_empty()).count();
    println!("  with such a start, but a disruption soon after the end counted: days {disrupted}");
    let mut wrong: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (evidence, runs) in results.values().flat_map(|day| &day.wrong) {
        let (days, sum) = wrong.entry(evidence).or_default();
        (*days, *sum) = (*days + 1, *sum + runs);
    }
    for (evidence, (days, runs)) in wrong {
        println!("  wrong evidence={evidence}: days {days}, runs {runs}");
    }
    for crash in [Crash::Minion, Crash::Worker] {
        let recoveries = results.values().flat_map(|day| &day.recoveries);
        let mut times: Vec<Duration> =
            recoveries.filter(|(kind, _)| *kind == crash).map(|(_, time)| *time).collect();
        times.sort();
        if let Some(max) = times.last() {
            let at = |share: usize| times[(times.len() - 1) * share / 100].as_secs_f64();
            println!(
                "  crash of {crash:?}: tasks {}, run again after p50 {:.2} s, p90 {:.2} s, max {:.2} s",
                times.len(),
                at(50),
                at(90),
                max.as_secs_f64()
            );
        }
    }
    for (seed, day) in results {
        day.violations.iter().for_each(|violation| println!("  seed {seed}: {violation}"));
        day.starts_after_disruptions.iter().for_each(|start| println!("  seed {seed}: {start}"));
        day.log.iter().for_each(|line| println!("    {line}"));
    }
}

fn main() {
    let args: Args = argh::from_env();
    let is_selected =
        |it: &&&str| args.scenario == "all-scenarios" || **it == args.scenario.as_str();
    let names = SCENARIOS.iter().filter(is_selected);
    let sets = bounds::selected(&args.bounds);
    for (name, set) in names.flat_map(|name| sets.iter().map(move |set| (name, *set))) {
        let scenario = days::scenario(name).expect("the scenario is known").with_bounds(set);
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
        report(&format!("{name} {}", set.name), &results.into_inner().expect("no thread panics"));
    }
}
