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

use sapphire_proofs::jobs::{
    days,
    simulation::{
        bounds,
        idle::{self, Idle},
        standstill::Standstill,
        unanswered::{Again, Minion, Wait},
    },
};

const THREADS: usize = 2;
/// Idle times below this are not printed.
const SHORT: Duration = Duration::from_millis(500);

/// Longest idle times by the planner's reason.
type Longest = BTreeMap<&'static str, Idle>;

/// Simulates days whose load falls to little, counts those on which a job stands still after the
/// faults, and measures for how long due jobs have nothing running although capacity is spare, by the
/// planner's reason: at all, after 4 s without faults, when 3 s are allowed, and then however full the service is.
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
    /// print the idle times of each day on which one is longer than allowed
    #[argh(switch)]
    days: bool,
    /// no incarnation of a minion carries out calls for an earlier one
    #[argh(switch)]
    one_incarnation: bool,
    /// name of the set of bounds in time, or `all` for those of the deployments
    #[argh(option, default = "\"default\".to_owned()")]
    bounds: String,
    /// print the whole log of each day that fails
    #[argh(switch)]
    story: bool,
}

/// Result of one day.
struct Day {
    standstills: Vec<Standstill>,
    all: Longest,
    calm: Longest,
    full: Longest,
    /// Longest time for which an unanswered start counted, by what was known of its minion.
    unanswered: BTreeMap<Minion, Wait>,
    /// Starts that counted again after a planner had settled them.
    again: Vec<Again>,
    violations: Vec<String>,
    log: Vec<String>,
}

fn simulate(scenario: days::Scenario, seed: u64, args: &Args) -> Day {
    let scenario =
        if args.one_incarnation { scenario.with_calls_of_one_incarnation() } else { scenario };
    let mut sim = days::simulate(scenario, seed, Duration::from_secs_f64(args.grace));
    let figures = &sim.idle;
    let (all, calm, full) = (figures.all.longest(), figures.calm.longest(), figures.full.longest());
    let unanswered = sim.unanswered.longest().clone();
    let expires = unanswered.iter().all(|(minion, wait)| wait.length <= minion.limit());
    let again = sim.unanswered.again().to_vec();
    let is_settled = again.is_empty();
    let is_sound = sim.standstills.is_empty() && sim.violations.is_empty() && expires && is_settled;
    let is_told = args.story && !(is_sound && calm.values().all(|it| it.length < idle::LIMIT));
    let log = if is_told { std::mem::take(&mut sim.log) } else { Vec::new() };
    Day {
        standstills: sim.standstills,
        all,
        calm,
        full,
        unanswered,
        again,
        violations: sim.violations,
        log,
    }
}

/// Prints for each reason the longest idle time of all days, its seed, and the number of days on which
/// one was longer than allowed.
fn report_idle(title: &str, results: &BTreeMap<u64, Day>, measure: impl Fn(&Day) -> &Longest) {
    let mut reasons: BTreeMap<&str, (Duration, u64, usize)> = BTreeMap::new();
    for (seed, day) in results {
        for (reason, it) in measure(day) {
            let (longest, its_seed, broken) = reasons.entry(reason).or_default();
            if it.length > *longest {
                (*longest, *its_seed) = (it.length, *seed);
            }
            *broken += usize::from(it.length >= idle::LIMIT);
        }
    }
    let is_broken = |day: &&Day| measure(day).values().any(|it| it.length >= idle::LIMIT);
    let broken = results.values().filter(is_broken).count();
    println!("  {title}: days with 3 s or more {broken}");
    for (reason, (longest, seed, broken)) in reasons {
        if longest < SHORT {
            continue;
        }
        let longest = longest.as_secs_f64();
        println!("    {reason:<24} longest {longest:>5.1} s (seed {seed}), days {broken}");
    }
}

/// Prints for each state of a minion the longest time for which an unanswered start counted, its seed,
/// and the number of days on which one counted for longer than allowed.
fn report_unanswered(results: &BTreeMap<u64, Day>) {
    for minion in [Minion::Listed, Minion::Absent, Minion::Gone] {
        let waits =
            results.iter().filter_map(|(seed, day)| Some((seed, day.unanswered.get(&minion)?)));
        let is_over = |(_, wait): &(&u64, &Wait)| wait.length > minion.limit();
        let over = waits.clone().filter(is_over).count();
        if let Some((seed, wait)) = waits.max_by_key(|(_, wait)| wait.length) {
            println!(
                "  unanswered start, minion {minion:?}: longest {:.1} s (seed {seed}), of {:.1} s allowed; \
                 days with more {over}",
                wait.length.as_secs_f64(),
                minion.limit().as_secs_f64()
            );
        }
    }
}

fn report(scenario: days::Scenario, results: &BTreeMap<u64, Day>, args: &Args) {
    let standing = results.values().filter(|day| !day.standstills.is_empty()).count();
    let broken = results.values().filter(|day| !day.violations.is_empty()).count();
    println!(
        "{} {}: days {}, with a standstill {standing}, with another violation {broken}",
        scenario.name,
        scenario.bounds().name,
        results.len()
    );
    report_idle("idle beside spare capacity", results, |day| &day.all);
    report_idle("of that after 4 s without faults", results, |day| &day.calm);
    report_idle("the same however full the service is", results, |day| &day.full);
    report_unanswered(results);
    let again: Vec<usize> = results.values().map(|day| day.again.len()).collect();
    let days = again.iter().filter(|count| **count > 0).count();
    println!("  starts that counted again: {}, on {days} days", again.iter().sum::<usize>());
    for (seed, day) in results {
        for (reason, it) in day.calm.iter().filter(|_| args.days) {
            let (since, length) = (it.since.as_secs_f64(), it.length.as_secs_f64());
            if it.length >= idle::LIMIT {
                println!(
                    "  seed {seed}: job {} is idle from {since:.1} s for {length:.1} s: {reason}",
                    it.job
                );
            }
        }
        for Standstill { job, since, length } in &day.standstills {
            let (since, length) = (since.as_secs_f64(), length.as_secs_f64());
            println!("  seed {seed}: job {job} stands still from {since:.1} s for {length:.1} s");
        }
        let unanswered = day.unanswered.iter().filter(|_| args.days);
        for (minion, wait) in unanswered.filter(|(minion, wait)| wait.length > minion.limit()) {
            println!("  seed {seed}: unanswered start, minion {minion:?}: {wait:?}");
        }
        for again in day.again.iter().filter(|_| args.days) {
            println!("  seed {seed}: counted again: {again:?}");
        }
        day.violations.iter().for_each(|violation| println!("  seed {seed}: {violation}"));
        day.log.iter().for_each(|line| println!("    {line}"));
    }
}

fn main() {
    let args: Args = argh::from_env();
    let is_selected =
        |it: &&days::Scenario| args.scenario == "all-scenarios" || it.name == args.scenario;
    let scenarios = days::SCENARIOS.iter().filter(is_selected);
    let sets = bounds::selected(&args.bounds);
    for (scenario, set) in scenarios.flat_map(|it| sets.iter().map(move |set| (*it, *set))) {
        let scenario = scenario.with_bounds(set);
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
        report(scenario, &results.into_inner().expect("no thread panics"), &args);
    }
}
