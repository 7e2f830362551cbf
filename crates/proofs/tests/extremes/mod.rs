//! Jobs whose fields have the largest and smallest values that a caller may send, beside ordinary ones.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::{Schedule, Step, resources::Resources};
use sapphire_proofs::jobs::{
    load::{self, Arrival},
    minion::Truth,
    simulation::{Simulation, options::Options},
    sites,
};

use crate::jobs::{secs, verify};

const LOAD_DURATION: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(60);
/// Number of extreme jobs of a day.
const JOBS: usize = 12;

/// Draws one of the values, with ordinary ones among them.
fn any<T: Copy>(rng: &mut Pcg32, values: &[T]) -> T {
    values[rng.random_range(0..values.len())]
}

fn draw_resources(rng: &mut Pcg32) -> Resources {
    Resources {
        millicores: any(rng, &[0, 1, 1_000, u32::MAX.into()]),
        memory_mib: any(rng, &[0, 1, 1_000, 1 << 40, u64::MAX]),
        accelerators: any(rng, &[0, 1, 8, u32::MAX.into()]),
    }
}

fn draw_step(rng: &mut Pcg32, index: u32) -> Step {
    Step {
        tasks: any(rng, &[1, 2, 55, 1_000, u32::MAX]),
        room: Some(draw_resources(rng).message()),
        estimate_ms: any(rng, &[0, 1, 500, 7 * 86_400_000, 10 * 365 * 86_400_000, u64::MAX]),
        after: any(rng, &[None, index.checked_sub(1), Some(u32::MAX)]).into_iter().collect(),
        is_gang: rng.random_bool(0.3),
        wants_one_rack: rng.random_bool(0.3),
        checkpoints: rng.random_bool(0.3),
        is_long_running: rng.random_bool(0.2),
        is_filler: rng.random_bool(0.1),
        per_worker: any(rng, &[0, 0, 1, u32::MAX]),
        max_unavailable: any(rng, &[0, 1, u32::MAX]),
        ..Step::default()
    }
}

/// Draws a job that is submitted between the ordinary ones.
fn draw_job(rng: &mut Pcg32, template: &Arrival, number: usize) -> Arrival {
    let mut arrival = template.clone();
    arrival.at = secs(rng.random_range(0.0..10.0));
    arrival.job.id = format!("{:016x}", 0xfe00 + number);
    arrival.job.steps = (0..rng.random_range(1..4)).map(|index| draw_step(rng, index)).collect();
    arrival.job.schedule = rng.random_bool(0.3).then(|| Schedule {
        first_ms: any(rng, &[0, 1_000, u64::MAX]),
        interval_ms: any(rng, &[0, 1, 1_000, u64::MAX]),
        times: any(rng, &[0, 1, 3, u32::MAX]),
    });
    let truth = |step: &Step| Truth {
        resources: Resources::read(step.room.as_ref()),
        members: if step.is_gang { step.tasks } else { 1 },
        work: if step.is_long_running { END } else { template.truth[0].work },
        ..template.truth[0].clone()
    };
    arrival.truth = arrival.job.steps.iter().map(truth).collect();
    arrival.cancel_after = Some(secs(rng.random_range(0.1..25.0)));
    arrival
}

/// Guards against a planner that ends, one after the other, because of a number in an accepted job, and
/// against ordinary jobs that are lost beside it: a job of 55 tasks with the largest memory ended each
/// planner 5 s after the beginning of its term.
#[test]
fn no_number_in_a_job_ends_a_planner() {
    for seed in 0..20 {
        let rng = &mut Pcg32::seed_from_u64(seed);
        let mut arrivals = load::draw(&sites::ATLANTICA, seed, LOAD_DURATION, 0.4);
        let template = arrivals[0].clone();
        arrivals.extend((0..JOBS).map(|number| draw_job(rng, &template, number)));
        let mut sim = Simulation::new(Options::new(&sites::ATLANTICA, arrivals.clone(), seed));
        // Nothing is known of the workers at the beginning of a term, and each job is accepted.
        for takeover in [2.0, 9.0] {
            sim.run_until(secs(takeover));
            if let Some(planner) = sim.planner_entry() {
                sim.kill_entry(planner, secs(1.0));
            }
        }
        sim.run_until(END);
        if let Err(error) = verify(&sim, &arrivals) {
            panic!("seed {seed}: {error}");
        }
    }
}
