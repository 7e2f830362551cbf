//! Starts that no process knows of, since the planner and the agent that know of them are lost:
//! `cargo run --release --package sapphire-proofs --example lost_starts -- --scenario at-100`.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::State;
use sapphire_proofs::jobs::{
    load::{self, Arrival},
    simulation::{
        Simulation,
        bounds::{self, Bounds},
        options::Options,
    },
    sites,
};

/// Time from which all orders are late, and until which jobs are submitted, in seconds.
const LATE_FROM: f64 = 3.0;
const LOAD_END: f64 = 13.0;
/// Time until which orders may be late, in seconds.
const LATE_UNTIL: f64 = 40.0;
/// Time by which every late order has been carried out, and longest run, in seconds.
const RESOLVED: f64 = 52.0;
const END: f64 = 85.0;
/// Time for which agents are paused while their minions restart: below the lease.
const AWAY: f64 = 4.0;
const THREADS: usize = 2;

/// Simulates days on which processes are lost just after a start was ordered, and counts those that
/// break a promise.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "73000")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "50")]
    seeds: u64,
    /// name of the scenario, or `all-scenarios`
    #[argh(option, default = "\"at-100\".to_owned()")]
    scenario: String,
    /// load, as a multiple of the usual one
    #[argh(option, default = "1.0")]
    load: f64,
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

/// Processes that are lost, besides the minions that restart.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// The planner and the agent of the start, after these times since the order.
    Both(f64, f64),
    Planner(f64),
    Agent(f64),
    /// The planner and the agent; another planner is killed after this further time.
    Twice(f64, f64),
    /// All entries and all agents.
    All(f64),
    /// The planner's region is cut off, and its agents and that of the start are killed.
    Region(f64),
    /// None. The agent is paused while the start expires, from this time for the next one, and the
    /// minion restarts meanwhile.
    Paused(f64, f64),
}

/// Trouble of the store around the order.
#[derive(Clone, Copy)]
enum Store {
    Fine,
    Down,
    DownForPlanner,
    Refusing,
    Mute,
    Slow(u64),
}

/// What happens on a day.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    loss: Loss,
    store: Store,
    /// Time from the beginning of the store's trouble to the order, in seconds.
    lead: f64,
    /// Time from the order until the trouble of the store is over, in seconds.
    restored: f64,
    /// Time after which the agent of the start is there again, in seconds.
    agent_restart: f64,
    /// Whether the minion of the start drains and its agent is paused while it restarts.
    is_forced: bool,
}

const fn scenario(name: &'static str, loss: Loss) -> Scenario {
    Scenario {
        name,
        loss,
        store: Store::Fine,
        lead: 0.0,
        restored: 0.0,
        agent_restart: 0.1,
        is_forced: true,
    }
}

const fn stored(name: &'static str, store: Store, restored: f64) -> Scenario {
    let loss = Loss::Both(0.4, 0.4);
    Scenario { store, lead: 0.012, restored, ..scenario(name, loss) }
}

const SCENARIOS: &[Scenario] = &[
    scenario("at-0", Loss::Both(0.0, 0.0)),
    scenario("at-20", Loss::Both(0.02, 0.02)),
    scenario("at-50", Loss::Both(0.05, 0.05)),
    scenario("at-100", Loss::Both(0.1, 0.1)),
    scenario("at-200", Loss::Both(0.2, 0.2)),
    scenario("at-400", Loss::Both(0.4, 0.4)),
    scenario("agent-first", Loss::Both(0.15, 0.1)),
    scenario("planner-first", Loss::Both(0.1, 0.15)),
    scenario("planner-only", Loss::Planner(0.1)),
    scenario("agent-only", Loss::Agent(0.1)),
    stored("down-1500", Store::Down, 1.5),
    stored("down-6000", Store::Down, 6.0),
    Scenario { lead: 0.3, ..stored("down-before-1500", Store::Down, 1.5) },
    Scenario { lead: 0.3, ..stored("planner-down-before-1500", Store::DownForPlanner, 1.5) },
    Scenario { lead: 0.3, ..stored("slow-900-before", Store::Slow(900), 1.5) },
    stored("planner-down-1500", Store::DownForPlanner, 1.5),
    stored("planner-down-6000", Store::DownForPlanner, 6.0),
    stored("refusing-1500", Store::Refusing, 1.5),
    stored("refusing-6000", Store::Refusing, 6.0),
    stored("mute-1500", Store::Mute, 1.5),
    stored("mute-6000", Store::Mute, 6.0),
    stored("slow-300", Store::Slow(300), 6.0),
    stored("slow-900", Store::Slow(900), 6.0),
    scenario("twice", Loss::Twice(0.1, 0.6)),
    scenario("all", Loss::All(0.1)),
    Scenario { is_forced: false, ..scenario("all-plain", Loss::All(0.1)) },
    Scenario { is_forced: false, ..scenario("plain", Loss::Both(0.1, 0.1)) },
    scenario("cut-off", Loss::Region(0.1)),
    Scenario { is_forced: false, ..scenario("paused", Loss::Paused(9.0, 4.0)) },
    Scenario { agent_restart: 5.0, ..scenario("agent-away-5000", Loss::Both(0.1, 0.1)) },
    Scenario { agent_restart: 14.0, ..scenario("agent-away-14000", Loss::Both(0.1, 0.1)) },
    Scenario { agent_restart: 14.0, ..scenario("agent-away-14000-at-400", Loss::Both(0.4, 0.4)) },
    Scenario { agent_restart: 14.0, ..scenario("agent-away-14000-only", Loss::Agent(0.1)) },
];

fn secs(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}

/// Draws the jobs of one day; some steps limit the number of their tasks on one worker.
fn draw(seed: u64, load: f64) -> Vec<Arrival> {
    let mut arrivals = load::draw(&sites::ATLANTICA, seed, secs(LOAD_END), load);
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
    for arrival in &mut arrivals {
        for step in &mut arrival.job.steps {
            let max = rng.random_range(1..=4);
            // With such a limit, there might be no placement for a wider gang.
            if step.tasks > 1 && (!step.is_gang || step.tasks <= 4) && max < 4 {
                step.per_worker = max;
            }
        }
    }
    arrivals
}

fn simulation(
    seed: u64,
    arrivals: &[Arrival],
    one_incarnation: bool,
    set: &'static Bounds,
) -> Simulation {
    let options = Options::new(&sites::ATLANTICA, arrivals.to_vec(), seed)
        .calls_outlive_incarnations(!one_incarnation)
        .bounds(set);
    let mut sim = Simulation::new(options);
    sim.late_orders = 0.6;
    sim
}

/// Runs until the planner orders a start; returns the time and the agent.
fn await_order(sim: &mut Simulation, from: f64, until: f64) -> Option<(f64, usize)> {
    let seen = sim.log.len();
    let mut time = from;
    while time <= until {
        time += 0.01;
        sim.run_until(secs(time));
        let orders = |line: &String| {
            let (_, rest) = line.split_once("plan: worker=a")?;
            let (agent, orders) = rest.split_once(" orders start=")?;
            let agent: usize = agent.parse().ok()?;
            (!orders.starts_with(' ')).then_some(agent)
        };
        if let Some(agent) = sim.log[seen..].iter().find_map(orders) {
            return Some((time, agent));
        }
    }
    None
}

fn set_store(sim: &mut Simulation, store: Store, planner: usize, is_on: bool) {
    match store {
        Store::Fine => {}
        Store::Down => sim.set_store_up(!is_on),
        Store::DownForPlanner => sim.set_store_reachable(planner, !is_on),
        Store::Refusing => sim.set_store_refusing(is_on),
        Store::Mute => sim.set_store_mute(is_on),
        Store::Slow(latency) => {
            sim.set_store_latency(Duration::from_millis(if is_on { latency } else { 0 }));
        }
    }
}

/// Loses the processes; returns the time at which the last one is lost.
fn lose(sim: &mut Simulation, it: Scenario, order: f64, agent: usize, seed: u64) -> f64 {
    let kill_planner = |sim: &mut Simulation| {
        let planner = sim.planner_entry().unwrap_or_default();
        sim.kill_entry(planner, secs(1.0));
    };
    let kill_agent = |sim: &mut Simulation| sim.kill_agent(agent, secs(it.agent_restart));
    let run = |sim: &mut Simulation, after: f64| sim.run_until(secs(order + after));
    match it.loss {
        Loss::Both(planner_at, agent_at) if agent_at < planner_at => {
            run(sim, agent_at);
            kill_agent(sim);
            run(sim, planner_at);
            kill_planner(sim);
            order + planner_at
        }
        Loss::Both(planner_at, agent_at) => {
            run(sim, planner_at);
            kill_planner(sim);
            run(sim, agent_at);
            kill_agent(sim);
            order + agent_at
        }
        Loss::Planner(at) => {
            run(sim, at);
            kill_planner(sim);
            order + at
        }
        Loss::Agent(at) => {
            run(sim, at);
            kill_agent(sim);
            order + at
        }
        Loss::Twice(at, then) => {
            run(sim, at);
            kill_planner(sim);
            kill_agent(sim);
            // The second planner may take over only later.
            let mut time = order + at + then;
            sim.run_until(secs(time));
            while sim.planner_entry().is_none() && time < order + at + 4.0 {
                time += 0.05;
                sim.run_until(secs(time));
            }
            if let Some(planner) = sim.planner_entry() {
                sim.kill_entry(planner, secs(1.0));
            }
            time
        }
        Loss::All(at) => {
            run(sim, at);
            let restart = |other: u64| secs(0.3 + 0.1 * ((seed + other) % 8) as f64);
            for entry in 0..sim.entries() {
                sim.kill_entry(entry, restart(3 * entry as u64));
            }
            for agent in 0..sim.agents() {
                sim.kill_agent(agent, restart(5 * agent as u64));
            }
            order + at
        }
        Loss::Region(at) => {
            run(sim, at);
            let region = sim.region_of(sim.planner_entry().unwrap_or_default());
            sim.set_region_partitioned(region, true);
            for other in 0..sim.agents() {
                if other == agent || sim.region_of_agent(other) == region {
                    sim.kill_agent(other, secs(0.1));
                }
            }
            order + at
        }
        Loss::Paused(at, time) => {
            run(sim, 0.5);
            sim.drain_minion(agent, secs(60.0));
            run(sim, at);
            sim.pause_agent(agent, secs(time));
            run(sim, at + 0.5);
            sim.crash_minion(agent);
            run(sim, at + time);
            order + at + time
        }
    }
}

/// Injects the faults of a scenario. Returns whether a start was ordered.
fn inject(sim: &mut Simulation, it: Scenario, seed: u64, first_order: f64) -> bool {
    let mut from = LATE_FROM;
    sim.run_until(secs(LATE_FROM));
    sim.late_orders = 1.0;
    let mut planner = 0;
    if !matches!(it.store, Store::Fine) {
        from = (first_order - it.lead).max(LATE_FROM);
        sim.run_until(secs(from));
        planner = sim.planner_entry().unwrap_or_default();
        set_store(sim, it.store, planner, true);
    }
    // Without the store, no further job is accepted.
    let until = if matches!(it.store, Store::Fine) { LOAD_END } else { from + 1.0 };
    let Some((order, agent)) = await_order(sim, from, until) else {
        set_store(sim, it.store, planner, false);
        return false;
    };
    let mut lost = lose(sim, it, order, agent, seed);
    let agents = match it.loss {
        Loss::All(_) => (0..sim.agents()).collect(),
        Loss::Region(_) => {
            let region = sim.region_of(sim.planner_entry().unwrap_or_default());
            let is_hit = |other: &usize| *other == agent || sim.region_of_agent(*other) == region;
            (0..sim.agents()).filter(is_hit).collect()
        }
        _ => vec![agent],
    };
    if it.is_forced {
        // The successor places the task on another worker.
        sim.drain_minion(agent, secs(30.0));
    }
    sim.late_orders = 0.0;
    if it.restored > 0.0 {
        // Nobody takes over meanwhile.
        lost = lost.max(order + it.restored);
        sim.run_until(secs(lost));
        set_store(sim, it.store, planner, false);
    }
    sim.run_until(secs(lost + 1.3));
    if matches!(it.loss, Loss::Paused(..)) {
        return true;
    }
    if it.is_forced {
        agents.iter().for_each(|agent| sim.pause_agent(*agent, secs(AWAY)));
    }
    // A long poll in flight would bring the next incarnation a token.
    sim.run_until(secs(lost + 1.9));
    agents.iter().for_each(|agent| sim.crash_minion(*agent));
    if matches!(it.loss, Loss::Region(_)) {
        sim.run_until(secs(lost + 6.0));
        (0..sim.entries()).for_each(|region| sim.set_region_partitioned(region, false));
    }
    sim.run_until(secs(lost + 8.9));
    true
}

/// Checks that no invariant was violated, every accepted job has ended and no task is running.
fn verify(sim: &Simulation, arrivals: &[Arrival]) -> Result<(), String> {
    if let Some(violation) = sim.violations.first() {
        return Err(violation.clone());
    }
    for arrival in arrivals.iter().filter(|arrival| sim.is_accepted(&arrival.job.id)) {
        let id = &arrival.job.id;
        let ends = [State::Complete, State::Failed, State::Cancelled];
        let is_over = ends.iter().any(|state| sim.reported_at(id, *state).is_some());
        if !is_over && arrival.cancel_after.is_none() {
            return Err(format!("{id} never ended"));
        }
    }
    for agent in 0..sim.agents() {
        let running = sim.running(agent);
        if !running.is_empty() {
            return Err(format!("m{agent} still runs tasks: {running:?}"));
        }
    }
    Ok(())
}

/// Result of one day.
struct Day {
    has_order: bool,
    failure: Option<String>,
    is_broken: bool,
    /// Times from the submission of jobs to their first start.
    waits: Vec<f64>,
    log: Vec<String>,
}

fn simulate(it: Scenario, seed: u64, set: &'static Bounds, args: &Args) -> Day {
    let (load, story) = (args.load, args.story);
    let arrivals = draw(seed, load);
    let mut first_order = LATE_FROM;
    if !matches!(it.store, Store::Fine) {
        let mut sim = simulation(seed, &arrivals, args.one_incarnation, set);
        sim.run_until(secs(LATE_FROM));
        sim.late_orders = 1.0;
        first_order =
            await_order(&mut sim, LATE_FROM, LOAD_END).map_or(LATE_FROM, |(time, _)| time);
    }
    let mut sim = simulation(seed, &arrivals, args.one_incarnation, set);
    let has_order = inject(&mut sim, it, seed, first_order);
    sim.run_until(secs(LATE_UNTIL));
    sim.late_orders = 0.0;
    sim.run_until(secs(RESOLVED));
    for time in RESOLVED as u32..END as u32 {
        if sim.violations.is_empty() && verify(&sim, &arrivals).is_err() {
            sim.run_until(secs(f64::from(time)));
        }
    }
    let failure = verify(&sim, &arrivals).err();
    let waits = arrivals.iter().filter_map(|arrival| {
        Some(sim.started(&arrival.job.id)?.saturating_sub(arrival.at).as_secs_f64())
    });
    let waits = waits.collect();
    let is_broken = !sim.violations.is_empty();
    let log = if story && failure.is_some() { std::mem::take(&mut sim.log) } else { Vec::new() };
    Day { has_order, failure, is_broken, waits, log }
}

fn report(it: Scenario, set: &Bounds, days: &BTreeMap<u64, Day>) {
    let count = |is_counted: fn(&Day) -> bool| days.values().filter(|day| is_counted(day)).count();
    let broken = count(|day| day.is_broken);
    let unfinished = count(|day| day.failure.is_some() && !day.is_broken);
    let waits: Vec<f64> = days.values().flat_map(|day| day.waits.iter().copied()).collect();
    println!(
        "{} {}: days {}, with an order {}, broken {broken}, not done {unfinished}, mean wait {:.3} s",
        it.name,
        set.name,
        days.len(),
        count(|day| day.has_order),
        waits.iter().sum::<f64>() / waits.len().max(1) as f64,
    );
    for (seed, day) in days {
        if let Some(failure) = &day.failure {
            println!("  seed {seed}: {failure}");
            day.log.iter().for_each(|line| println!("    {line}"));
        }
    }
}

fn main() {
    let args: Args = argh::from_env();
    let is_selected = |it: &&Scenario| args.scenario == "all-scenarios" || it.name == args.scenario;
    let selected: Vec<Scenario> = SCENARIOS.iter().filter(is_selected).copied().collect();
    if selected.is_empty() {
        let names: Vec<&str> = SCENARIOS.iter().map(|it| it.name).collect();
        eprintln!("no such scenario; there are: {}", names.join(" "));
    }
    let sets = bounds::selected(&args.bounds);
    for (it, set) in selected.iter().flat_map(|it| sets.iter().map(move |set| (*it, *set))) {
        let next = AtomicU64::new(args.first);
        let days = Mutex::new(BTreeMap::new());
        thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= args.first + args.seeds {
                            break;
                        }
                        let day = simulate(it, seed, set, &args);
                        days.lock().expect("no thread panics").insert(seed, day);
                    }
                });
            }
        });
        report(it, set, &days.into_inner().expect("no thread panics"));
    }
}
