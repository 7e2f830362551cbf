//! Generates jobs like those of the users' sites: arrival rates, sizes and run times are fitted to
//! their tables.

use std::{collections::BTreeSet, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::{Job, Step, resources::Resources};

use super::{conditions::Conditions, minion::Truth};

/// Kind of job.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name, which is also that of its queue.
    pub name: &'static str,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Jobs per second.
    pub rate: f64,
    /// Value of a job that is served within its objective, and of one that is late.
    pub value: (f64, f64),
    /// Number of tasks of a step: mean and maximum.
    pub width: (f64, f64),
    /// Run time of a task: mean in seconds, relative spread, maximum in seconds.
    pub run_time: (f64, f64, f64),
    /// Resources of a task; the accelerators are drawn from `accelerators`.
    pub resources: Resources,
    /// Possible numbers of accelerators of a task, all equally likely.
    pub accelerators: &'static [u64],
    /// Share of the gangs that are to run on one rack.
    pub one_rack_share: f64,
    /// Share of the jobs whose tasks write checkpoints.
    pub checkpoint_share: f64,
    /// Maximum relative error of the declared run time.
    pub estimate_error: f64,
    /// Objective: multiple of the critical path, and seconds added to it.
    pub slack: (f64, f64),
    /// Maximum number of runs of a task.
    pub max_attempts: u32,
    /// Share of the runs that fail through their own fault, and share of the jobs that always fail.
    pub failure_shares: (f64, f64),
    /// Share of the jobs that their callers cancel.
    pub cancelled_share: f64,
}

/// Deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Kinds of job.
    pub kinds: &'static [Kind],
    /// Number of workers in each region.
    pub workers: &'static [usize],
    /// Number of workers in a rack.
    pub workers_per_rack: usize,
    /// Resources of a worker.
    pub capacity: Resources,
    /// Burst: index of the kind, factor on its rate, duration in seconds.
    pub burst: (usize, f64, f64),
    /// Speeds of the workers, organisations, and what holds for the tasks of all kinds.
    pub conditions: Conditions,
}

/// Worker of a site.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// Its region.
    pub region: usize,
    /// Its number within the region.
    pub index: usize,
    /// Its run times as multiples of the reference run time.
    pub slowness: f64,
}

impl Site {
    /// Workers of all regions; the slowest ones only if `has_slow`.
    pub fn fleet(&self, has_slow: bool) -> Vec<Worker> {
        let places = self.workers.iter().enumerate();
        places
            .flat_map(|(region, count)| (0..*count).map(move |index| (region, index)))
            .enumerate()
            .filter(|(number, _)| has_slow || !self.conditions.is_slow(*number))
            .map(|(number, (region, index))| Worker {
                region,
                index,
                slowness: self.conditions.slowness_of(number),
            })
            .collect()
    }
}

/// Job that will be submitted, with its actual behaviour.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is submitted, from the start of the load.
    pub at: Duration,
    /// Index of its kind in [`Site::kinds`].
    pub kind: usize,
    /// The job as it is submitted.
    pub job: Job,
    /// Actual behaviour of the tasks, by step.
    pub truth: Vec<Truth>,
    /// Time from submission after which its caller cancels it.
    pub cancel_after: Option<Duration>,
}

/// Draws the jobs of one run.
pub fn draw(site: &Site, seed: u64, length: Duration, scale: f64) -> Vec<Arrival> {
    draw_declared(site, seed, length, scale, None)
}

/// Draws the jobs of one run whose declared run times are wrong by a factor of up to `exp(error)`;
/// without `error`, by as much as is usual at the site.
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
            arrivals.push(arrival(&mut rng, site, index, at, error));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job.id = format!("{number:016x}");
        arrival.job.organisation = format!("o{}", number % site.conditions.organisations as usize);
    }
    if site.conditions.demand_exponent.is_some() {
        draw_organisations(site, seed, &mut arrivals);
    }
    arrivals
}

/// Draws the jobs of one run to which a further organisation adds jobs of its own: `factor` times the
/// mean number of the others. The jobs of the others are those of [`draw`].
pub fn draw_with_greedy(
    site: &Site,
    seed: u64,
    length: Duration,
    scale: f64,
    factor: f64,
) -> Vec<Arrival> {
    let mut arrivals = draw(site, seed, length, scale);
    let greedy_scale = scale * factor / f64::from(site.conditions.organisations);
    for mut arrival in draw(site, !seed, length, greedy_scale) {
        arrival.job.id = format!("f{}", &arrival.job.id[1..]);
        arrival.job.organisation = greedy_organisation(site);
        arrivals.push(arrival);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Name of the organisation that [`draw_with_greedy`] adds.
pub fn greedy_organisation(site: &Site) -> String {
    format!("o{}", site.conditions.organisations)
}

/// Distributes the jobs over the organisations, independently of everything else that is drawn.
fn draw_organisations(site: &Site, seed: u64, arrivals: &mut [Arrival]) {
    let weights = site.conditions.weights();
    let total: f64 = weights.iter().sum();
    let mut rng = Pcg32::seed_from_u64(seed.rotate_left(32));
    for arrival in arrivals {
        let mut left = rng.random_range(0.0..total);
        let rank = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        arrival.job.organisation = format!("o{}", rank.unwrap_or(weights.len() - 1));
    }
}

/// Draws from an approximately log-normal distribution, cut off at `max`.
fn spread(rng: &mut Pcg32, mean: f64, spread: f64, max: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0_f64)).sum::<f64>() - 6.0;
    (mean * (normal * spread - spread * spread / 2.0).exp()).min(max)
}

fn arrival(rng: &mut Pcg32, site: &Site, index: usize, at: f64, error: Option<f64>) -> Arrival {
    let kind = &site.kinds[index];
    let width = spread(rng, kind.width.0, 0.8, kind.width.1).round().max(1.0) as u32;
    let accelerators = kind.accelerators[rng.random_range(0..kind.accelerators.len())];
    let work =
        Duration::from_secs_f64(spread(rng, kind.run_time.0, kind.run_time.1, kind.run_time.2));
    let is_gang = width > 1 && accelerators < 8 && kind.accelerators.len() > 1;
    let resources = Resources { accelerators, ..kind.resources };
    // One draw in either case, so that the error changes nothing else about the jobs.
    let deviation = rng.random_range(-1.0..1.0_f64);
    let declared = match error {
        Some(error) => work.mul_f64((deviation * error).exp()),
        None => work.mul_f64(1.0 + deviation * kind.estimate_error),
    };
    let mut truth = Truth {
        work,
        long_tasks: BTreeSet::new(),
        long_factor: site.conditions.long_tasks.1,
        always_fails: rng.random_bool(kind.failure_shares.1),
        fail_share: kind.failure_shares.0,
        members: if is_gang { width } else { 1 },
        wants_one_rack: is_gang && rng.random_bool(kind.one_rack_share),
        checkpoints: rng.random_bool(kind.checkpoint_share),
        resources,
    };
    let step = Step {
        tasks: width,
        room: Some(resources.message()),
        estimate_ms: declared.as_millis() as u64,
        is_gang,
        wants_one_rack: truth.wants_one_rack,
        checkpoints: truth.checkpoints,
        ..Step::default()
    };
    // The members of a gang run at one pace, so that it counts as one task.
    let long_share = site.conditions.long_tasks.0;
    if long_share > 0.0 && is_gang {
        truth.long_tasks =
            if rng.random_bool(long_share) { (0..width).collect() } else { [].into() };
    } else if long_share > 0.0 {
        truth.long_tasks = (0..width).filter(|_| rng.random_bool(long_share)).collect();
    }
    let is_cancelled = rng.random_bool(kind.cancelled_share);
    let after = Duration::from_secs_f64(rng.random_range(0.5..8.0));
    let job = Job {
        queue: kind.name.to_owned(),
        spec: "run".to_owned(),
        steps: vec![step],
        service: "desk".to_owned(),
        priority: kind.priority,
        max_attempts: kind.max_attempts,
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
