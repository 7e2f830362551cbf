//! Generates synthetic load: bursts of small jobs, a stream of medium ones, and large gangs that
//! may run for hours.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use sapphire_wire::{Adjacency, Job, Shape};

use crate::deployment::Deployment;

/// A job and its arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The job, with its declared run time.
    pub job: Job,
    /// When it arrives.
    pub at: Duration,
    /// Actual run time.
    pub run: Duration,
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut Pcg64) -> f64 {
    let (u, v) = (rng.random::<f64>().max(1e-12), rng.random::<f64>());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

/// Draws a run time in seconds from a log-normal distribution, bounded to 5 s and 10 h.
fn log_normal(rng: &mut Pcg64, median_seconds: f64, sigma: f64) -> f64 {
    (median_seconds.ln() + sigma * normal(rng)).exp().clamp(5.0, 36_000.0)
}

fn shape(accelerators: u32, tasks: u32, adjacency: Adjacency) -> Shape {
    Shape { accelerators, tasks, adjacency: adjacency as i32, ..Shape::default() }
}

/// Generator of one load.
struct Generator<'a> {
    deployment: &'a Deployment,
    rng: Pcg64,
    arrivals: Vec<Arrival>,
    /// Accelerator time of all arrivals so far, in seconds.
    accelerator_s: f64,
}

impl Generator<'_> {
    /// Draws an organisation by its share of the load and returns its index.
    fn organisation(&mut self) -> usize {
        let mut remaining = self.rng.random::<f64>();
        for (index, (_, share, _)) in self.deployment.organisations.iter().enumerate() {
            remaining -= share;
            if remaining < 0.0 {
                return index;
            }
        }
        0
    }

    /// Adds a job that arrives at `at` seconds. The median and sigma are those of its run time;
    /// the declared run time differs by the organisation's factor and a random error.
    fn add(&mut self, at: f64, organisation: usize, shape: Shape, median: f64, sigma: f64) {
        let run = log_normal(&mut self.rng, median, sigma);
        let (name, _, bias) = self.deployment.organisations[organisation];
        let error = 10_f64.powf(0.4 * normal(&mut self.rng)).clamp(0.1, 10.0);
        let declared = (run * bias * error).max(1.0);
        self.accelerator_s += run * f64::from(shape.accelerators * shape.tasks);
        let job = Job {
            id: format!("j{:05}", self.arrivals.len()),
            organisation: name.to_owned(),
            shape: Some(shape),
            declared_ms: (declared * 1_000.0) as u64,
            idempotent: true,
            ..Job::default()
        };
        let (at, run) = (Duration::from_secs_f64(at), Duration::from_secs_f64(run));
        self.arrivals.push(Arrival { job, at, run });
    }

    /// Adds a burst of small jobs of one organisation, which arrive within a minute.
    fn burst(&mut self, at: f64) {
        let organisation = self.organisation();
        for _ in 0..self.rng.random_range(8..30) {
            let delay = self.rng.random::<f64>() * 60.0;
            let accelerators = [1, 1, 2, 4][self.rng.random_range(0..4)];
            let small = shape(accelerators, 1, Adjacency::Worker);
            self.add(at + delay, organisation, small, 240.0, 1.0);
        }
    }

    /// Adds a medium job.
    fn medium(&mut self, at: f64) {
        let organisation = self.organisation();
        let medium = match self.rng.random_range(0..3) {
            0 => shape(4, 2, Adjacency::Worker),
            1 => shape(8, 1, Adjacency::Worker),
            _ => shape(4, 2, Adjacency::Rack),
        };
        self.add(at, organisation, medium, 900.0, 1.0);
    }

    /// Adds a gang of whole workers; most gangs of the largest guaranteed shape come from the first
    /// organisation.
    fn large(&mut self, at: f64) {
        let organisation = if self.rng.random::<f64>() < 0.5 { 0 } else { self.organisation() };
        let largest = self.deployment.largest;
        let tasks = if organisation == 0 { largest.tasks } else { self.rng.random_range(2..=3) };
        self.add(at, organisation, Shape { tasks, ..largest }, 2_700.0, 0.8);
    }
}

/// Generates jobs that arrive over `time` and together need the share `utilisation` of the fleet's
/// accelerator time.
pub fn generate(
    deployment: &Deployment,
    seed: u64,
    time: Duration,
    utilisation: f64,
) -> Vec<Arrival> {
    let rng = Pcg64::seed_from_u64(seed);
    let mut generator = Generator { deployment, rng, arrivals: Vec::new(), accelerator_s: 0.0 };
    let capacity: u32 = deployment.fleet.workers.values().map(|w| w.capacity.accelerators).sum();
    let wanted = f64::from(capacity) * time.as_secs_f64() * utilisation;
    while generator.accelerator_s < wanted {
        let at = generator.rng.random::<f64>() * time.as_secs_f64();
        match generator.rng.random_range(0..10) {
            0..=1 => generator.burst(at),
            2..=7 => generator.medium(at),
            _ => generator.large(at),
        }
    }
    let mut arrivals = generator.arrivals;
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job.id = format!("j{index:05}");
        arrival.job.submitted_unix_ms = arrival.at.as_millis() as u64;
    }
    arrivals
}
