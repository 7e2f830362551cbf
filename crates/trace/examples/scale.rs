//! Measures the cost of placement against the number of workers that one planner sees:
//! `cargo run --release --package sapphire-trace --example scale`.

use std::time::Instant;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_plan::{fleet::Fleet, place};
use sapphire_trace::{deployment, figures};
use sapphire_wire::{Adjacency, Shape};

/// Numbers of workers.
const SIZES: [usize; 6] = [10, 100, 300, 1_000, 10_000, 38_000];
/// Placements that are timed for each size and shape.
const DECISIONS: usize = 200;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Allocates about 89% of the accelerators: all 8 of four in five workers, and fewer on the others.
fn fill(fleet: &mut Fleet, rng: &mut Pcg64) {
    let names: Vec<String> = fleet.workers.keys().cloned().collect();
    for name in names {
        let allocated = if rng.random::<f64>() < 0.8 { 8 } else { rng.random_range(0..8) };
        let adjacency = Adjacency::Worker as i32;
        let shape = Shape { accelerators: allocated, tasks: 1, adjacency, ..Shape::default() };
        fleet.allocate(&name, "o", &shape, 1, false);
    }
}

/// Median and 99th percentile of the time of a placement, in microseconds.
fn measure(fleet: &Fleet, shape: &Shape, block_shape: &Shape) -> (f64, f64) {
    let mut micros: Vec<f64> = (0..DECISIONS)
        .map(|_| {
            let borrowing = place::Options::borrowing("o", shape);
            let options = place::Options { block_shape: Some(block_shape), ..borrowing };
            let begin = Instant::now();
            std::hint::black_box(place::place(fleet, &options));
            begin.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    (figures::quantile(&mut micros, 0.5), figures::quantile(&mut micros, 0.99))
}

fn main() {
    let mut rng = Pcg64::seed_from_u64(1);
    println!("workers  gang  adjacency  p50_us  p99_us  bytes_per_worker");
    for size in SIZES {
        let before = resident();
        let mut fleet = deployment::workers(size, 64, 256 << 30);
        let bytes = resident().saturating_sub(before) / size as u64;
        fill(&mut fleet, &mut rng);
        for (tasks, adjacency) in
            [(1, Adjacency::Worker), (2, Adjacency::Rack), (256, Adjacency::Zone)]
        {
            let adjacency_code = adjacency as i32;
            let shape =
                Shape { accelerators: 1, tasks, adjacency: adjacency_code, ..Shape::default() };
            let block_shape = Shape { accelerators: 8, tasks: 2, adjacency: 1, ..Shape::default() };
            let (p50, p99) = measure(&fleet, &shape, &block_shape);
            println!("{size:7}  {tasks:4}  {adjacency:?}  {p50:.0}  {p99:.0}  {bytes}");
        }
    }
}
