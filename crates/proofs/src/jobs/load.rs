//! Jobs as the users' sites see them: rates, sizes and run times fitted to their tables.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::{Job, Step, resources::Resources};

use super::minion::Truth;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Queue, also its name.
    pub name: &'static str,
    /// 0 goes first.
    pub priority: u32,
    /// Jobs a second.
    pub rate: f64,
    /// What a job is worth within its objective, and late.
    pub worth: (f64, f64),
    /// Mean tasks of a step, and most.
    pub width: (f64, f64),
    /// Mean run time in seconds, relative spread, most.
    pub work: (f64, f64, f64),
    /// What a task takes beside accelerators.
    pub room: Resources,
    /// Accelerators of a task, drawn evenly.
    pub accelerators: &'static [u64],
    /// Share of steps that want one rack, among gangs.
    pub tight: f64,
    /// Share of jobs that save their progress.
    pub saves: f64,
    /// Error of the declared run time, relative.
    pub error: f64,
    /// Objective in chains, and added.
    pub slack: (f64, f64),
    /// Runs of a task.
    pub attempts: u32,
    /// Share of runs that fail by themselves, of jobs that always fail.
    pub faults: (f64, f64),
    /// Share of jobs that are cancelled.
    pub cancelled: f64,
}

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Kinds of request.
    pub kinds: &'static [Kind],
    /// Workers by region.
    pub workers: &'static [usize],
    /// Workers a rack.
    pub rack: usize,
    /// What a worker has.
    pub capacity: Resources,
    /// Kind that comes in bursts, how much, for how long.
    pub burst: (usize, f64, f64),
}

/// A job that will come, with what it really is.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the start of the load.
    pub at: Duration,
    /// Kind, by index.
    pub kind: usize,
    /// As it is handed in.
    pub job: Job,
    /// What the tasks of each step are.
    pub truth: Vec<Truth>,
    /// When its caller cancels it, after it was handed in.
    pub cancel_after: Option<Duration>,
}

/// Draws the jobs of a day.
pub fn draw(site: &Site, seed: u64, length: Duration, scale: f64) -> Vec<Arrival> {
    draw_declared(site, seed, length, scale, None)
}

/// Draws the jobs of a day whose declared times are off by a factor of up to `exp(error)`; by as
/// much as is usual at the site when none is given.
pub fn draw_declared(
    site: &Site,
    seed: u64,
    length: Duration,
    scale: f64,
    error: Option<f64>,
) -> Vec<Arrival> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let burst_at = rng.random_range(2.0..12.0);
    let mut arrivals = Vec::new();
    for (index, kind) in site.kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let is_burst =
                index == site.burst.0 && (burst_at..burst_at + site.burst.2).contains(&at);
            let rate = kind.rate * scale * if is_burst { site.burst.1 } else { 1.0 };
            at += -rng.random_range(1e-9..1.0_f64).ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            arrivals.push(arrival(&mut rng, index, kind, at, error));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job.id = format!("{number:016x}");
        arrival.job.organisation = format!("o{}", number % 4);
    }
    arrivals
}

/// A draw around a mean, with a long tail upwards.
fn spread(rng: &mut Pcg32, mean: f64, spread: f64, most: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0_f64)).sum::<f64>() - 6.0;
    (mean * (normal * spread - spread * spread / 2.0).exp()).min(most)
}

fn arrival(rng: &mut Pcg32, index: usize, kind: &Kind, at: f64, error: Option<f64>) -> Arrival {
    let width = spread(rng, kind.width.0, 0.8, kind.width.1).round().max(1.0) as u32;
    let accelerators = kind.accelerators[rng.random_range(0..kind.accelerators.len())];
    let work = Duration::from_secs_f64(spread(rng, kind.work.0, kind.work.1, kind.work.2));
    let is_gang = width > 1 && accelerators < 8 && kind.accelerators.len() > 1;
    let room = Resources { accelerators, ..kind.room };
    // One draw in either case, so that the same jobs come whatever their error is.
    let off = rng.random_range(-1.0..1.0_f64);
    let declared = match error {
        Some(error) => work.mul_f64((off * error).exp()),
        None => work.mul_f64(1.0 + off * kind.error),
    };
    let truth = Truth {
        work,
        always_fails: rng.random_bool(kind.faults.1),
        fail_share: kind.faults.0,
        members: if is_gang { width } else { 1 },
        wants_one_rack: is_gang && rng.random_bool(kind.tight),
        checkpoints: rng.random_bool(kind.saves),
        room,
    };
    let step = Step {
        tasks: width,
        room: Some(room.message()),
        estimate_ms: declared.as_millis() as u64,
        is_gang,
        wants_one_rack: truth.wants_one_rack,
        checkpoints: truth.checkpoints,
        ..Step::default()
    };
    let is_cancelled = rng.random_bool(kind.cancelled);
    let after = Duration::from_secs_f64(rng.random_range(0.5..8.0));
    let job = Job {
        queue: kind.name.to_owned(),
        spec: "run".to_owned(),
        steps: vec![step],
        service: "desk".to_owned(),
        priority: kind.priority,
        max_attempts: kind.attempts,
        slack_milli: (kind.slack.0 * 1_000.0) as u32,
        target_latency_ms: (kind.slack.1 * 1_000.0) as u64,
        ..Job::default()
    };
    Arrival {
        at: Duration::from_secs_f64(at),
        kind: index,
        job,
        truth: vec![truth],
        cancel_after: is_cancelled.then_some(after),
    }
}
