//! Measures how long no tasks are placed when the planner is lost: killed, paused, or cut off from
//! the store.

use std::time::Duration;

use sapphire_proofs::jobs::{
    load,
    simulation::{Simulation, options::Options},
    sites,
};

/// When the planner is lost, from the start of the load.
const LOST_AT: Duration = Duration::from_secs(8);
const SEEDS: u64 = 50;

/// Fault of the entry that plans.
type Fault = fn(&mut Simulation, usize);

/// Time until a planner has collected what runs where and starts tasks again; zero when the first
/// planner never stopped.
fn gap(seed: u64, inject: Fault) -> Duration {
    let arrivals = load::draw(&sites::ATLANTICA, seed, Duration::from_secs(16), 1.0);
    let mut sim = Simulation::new(Options::new(&sites::ATLANTICA, arrivals, seed));
    sim.run_until(LOST_AT);
    let planner = sim.planner_entry().expect("an entry plans");
    inject(&mut sim, planner);
    sim.run_until(LOST_AT + Duration::from_secs(12));
    let is_ready = |line: &&String| line.contains("knows what earlier orders");
    let times = sim.log.iter().filter(is_ready).filter_map(|line| line.split(' ').next());
    let mut times = times.filter_map(|time| time.parse::<f64>().ok());
    let after = times.find(|time| *time > LOST_AT.as_secs_f64());
    after.map_or(Duration::ZERO, |time| Duration::from_secs_f64(time - LOST_AT.as_secs_f64()))
}

fn main() {
    let faults: [(&str, Fault); 3] = [
        ("killed", |sim, planner| sim.kill_entry(planner, Duration::from_secs(3))),
        ("frozen for 4 s", |sim, planner| sim.pause_entry(planner, Duration::from_secs(4))),
        ("cut off from the store", |sim, planner| sim.set_store_reachable(planner, false)),
    ];
    for (name, inject) in faults {
        let mut gaps: Vec<Duration> = (1..=SEEDS).map(|seed| gap(seed, inject)).collect();
        gaps.sort_unstable();
        let (median, worst) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
        println!("{name}: p50 {} ms, worst {} ms", median.as_millis(), worst.as_millis());
    }
}
