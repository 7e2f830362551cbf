//! What is known of the speed of each worker.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Options, Slowness,
    evidence::{Evidence, Record},
    grid::{self, SIZE, Values},
    groups::Groups,
    prior,
};

/// Least spread of an observation; tasks of one step differ by about this much.
const MIN_SPREAD: f64 = 0.3;
/// Share of observations that no persistent speed explains: tasks that are several times longer than
/// expected, and workers that are slow for some seconds.
const OUTLIER_SHARE: f64 = 0.08;
/// Density of such observations, which are spread over a factor of about 50.
const OUTLIER_DENSITY: f64 = 0.25;
/// Weight of the latest observation in the mean square error.
const ERROR_WEIGHT: f64 = 0.02;
/// Greatest square error, in deviations, that is taken into account.
const MAX_SQUARE_ERROR: f64 = 9.0;
/// Mean square error that is explained by the expected share of outliers.
const NORMAL_SQUARE_ERROR: f64 = 1.3;
/// Share of evidence that is kept if a worker's minion has been replaced.
const KEPT_SHARE: f32 = 0.5;
/// Observations for which the workers have to seem unequal before they count as unequal, as a share
/// of their number. Guards against early estimates of run times, which one long task can make wrong.
const CONFIRMING_SHARE: usize = 2;
/// Logarithm of the likelihood ratio from which on the workers count as unequal: a part for any
/// `unequal_from`, and one that is divided by its logarithm, since a small difference is easily seen
/// by chance. Equal workers reach it for that long on at most one day in a thousand.
const UNEQUAL_LOG: (f64, f64) = (3.0, 1.9);
/// The same below which they count as equal again.
const EQUAL_LOG: f64 = 5.0;
/// Share of `unequal_from`, as a logarithm, below which workers count as equal again.
const EQUAL_SHARE: f64 = 0.75;
/// Workers of the fastest and of the slowest group, as a share of all, that are compared.
const COMPARED_SHARE: usize = 10;
/// Deviation of the slowness of equal workers, as a share of the logarithm of `unequal_from`.
const EQUAL_DEVIATION_SHARE: f64 = 0.2;
/// Workers that an update of the common distribution takes for each observation. Bounds the mean
/// cost of an observation.
const WORKERS_PER_OBSERVATION: usize = 8;
/// Steps of the improvement of the common distribution in one update.
const IMPROVEMENTS: usize = 4;

/// The logarithm of the slowness of a group of workers as far as known, also while the workers count
/// as equal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Mean of the natural logarithm of the slowness.
    pub mean: f64,
    /// Standard deviation of that logarithm.
    pub spread: f64,
}

impl Belief {
    /// Workers that are known to be at the reference speed.
    pub const REFERENCE: Belief = Belief { mean: 0.0, spread: 0.0 };

    /// Returns the run time at the reference speed, given the one on these workers.
    pub fn reference_time(&self, run_time: Duration) -> Duration {
        run_time.div_f64(self.mean.exp())
    }
}

#[derive(Clone, Debug)]
struct Worker {
    evidence: Evidence,
    /// Logarithm of its slowness, before the mean of all workers is subtracted.
    log: f64,
}

/// What is known of the speed of each worker.
#[derive(Clone, Debug)]
pub struct Speeds {
    options: Options,
    /// Slowness of workers that is given rather than learned.
    given: BTreeMap<String, Slowness>,
    workers: BTreeMap<String, Worker>,
    prior: Values,
    groups: Groups,
    /// Mean logarithm of slowness of the workers.
    offset: f64,
    is_unequal: bool,
    /// Logarithm of the likelihood ratio of unequal and of equal workers.
    log_ratio: f64,
    /// Number of observations since which the workers seem unequal; `None` if they seem equal.
    seems_unequal_for: Option<usize>,
    observations: u64,
    /// Number of observations since the latest update of the common distribution.
    pending: usize,
    /// Mean square error of the observations, in deviations.
    square_error: f64,
}

impl Default for Speeds {
    fn default() -> Self {
        Speeds::new(Options::default())
    }
}

impl Speeds {
    /// Returns what is known before any observation.
    pub fn new(options: Options) -> Self {
        Speeds {
            options,
            given: BTreeMap::new(),
            workers: BTreeMap::new(),
            prior: prior::base(),
            groups: Groups::new(&prior::base()),
            offset: 0.0,
            is_unequal: false,
            log_ratio: 0.0,
            seems_unequal_for: None,
            observations: 0,
            pending: 0,
            square_error: NORMAL_SQUARE_ERROR,
        }
    }

    /// Returns the given slowness of workers; others are at the reference speed, and nothing is
    /// learned.
    pub fn given(slowness: impl IntoIterator<Item = (String, Slowness)>) -> Self {
        Speeds { given: slowness.into_iter().collect(), ..Speeds::default() }
    }

    /// Learns from a run of a task, or of a gang, on the given workers. `ratio` is its run time as a
    /// multiple of the one expected at the reference speed, `spread` the standard deviation of its
    /// logarithm for other reasons than the speed of the workers.
    pub fn observe(&mut self, workers: &[&str], ratio: f64, spread: f64) {
        let is_valid = ratio > 0.0 && ratio.is_finite() && spread.is_finite();
        if self.options.unequal_from.is_none() || workers.is_empty() || !is_valid {
            return;
        }
        let observed = ratio.ln();
        let cumulative: Vec<Values> =
            workers.iter().map(|worker| grid::cumulative(&self.posterior(worker))).collect();
        let slowest = cumulative.iter().fold([1.0; SIZE], |all, one| grid::product(&all, one));
        let (mean, variance) = grid::moments(&grid::differences(&slowest));
        let scale = (self.square_error / NORMAL_SQUARE_ERROR).max(1.0).sqrt();
        let deviation = spread.max(MIN_SPREAD);
        let square_error = (observed - mean).powi(2) / (variance + deviation.powi(2));
        let density = density(observed, deviation * scale);
        for (worker, others) in workers.iter().zip(without_each(&cumulative)) {
            let log = log_likelihood(&density, &others);
            let known = self.workers.entry((*worker).to_owned()).or_insert_with(|| Worker {
                evidence: Evidence::default(),
                log: self.groups.log(&self.prior),
            });
            known.evidence.add(&log);
            known.log = self.groups.log(&posterior(&self.prior, &known.evidence));
        }
        self.square_error +=
            ERROR_WEIGHT * (square_error.min(MAX_SQUARE_ERROR) - self.square_error);
        self.observations += 1;
        self.pending += 1;
        if self.pending * WORKERS_PER_OBSERVATION >= self.workers.len() {
            self.update();
        }
    }

    /// Returns the slowness of a worker: that of the reference while the workers count as equal.
    pub fn slowness(&self, worker: &str) -> Slowness {
        if !self.is_unequal {
            return self.given.get(worker).copied().unwrap_or_default();
        }
        let known = self.workers.get(worker).map(|worker| worker.log);
        let log = known.unwrap_or_else(|| grid::moments(&self.prior).0);
        Slowness::new((log - self.offset).exp())
    }

    /// Returns what is known of the slowness of a run on the given workers.
    pub fn belief(&self, workers: &[&str]) -> Belief {
        let slowest = workers.iter().fold([1.0; SIZE], |all, worker| {
            grid::product(&all, &grid::cumulative(&self.posterior(worker)))
        });
        let (mean, variance) = grid::moments(&grid::differences(&slowest));
        Belief { mean: mean - self.offset, spread: variance.sqrt() }
    }

    /// Drops what is known of a worker, since it is another machine now.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Reduces the weight of what is known of a worker, since its minion has been replaced.
    pub fn weaken(&mut self, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.evidence.weaken(KEPT_SHARE);
            worker.log = self.groups.log(&posterior(&self.prior, &worker.evidence));
        }
    }

    /// Returns what is known of a worker, to be stored.
    pub fn record(&self, worker: &str) -> Option<Record> {
        self.workers.get(worker).map(|worker| worker.evidence.record(self.offset))
    }

    /// Adds what earlier planners have stored; `was_unequal` if the workers counted as unequal.
    pub fn restore<'a>(
        &mut self,
        records: impl IntoIterator<Item = (&'a str, Record)>,
        was_unequal: bool,
    ) {
        if self.options.unequal_from.is_none() {
            return;
        }
        for (worker, record) in records {
            let worker_state = Worker { evidence: Evidence::restored(record), log: 0.0 };
            self.workers.insert(worker.to_owned(), worker_state);
        }
        (0..RESTORE_UPDATES).for_each(|_| self.update());
        // Whether the workers are still unequal is judged by the distribution that has been learned
        // anew.
        self.is_unequal = was_unequal;
        self.update();
    }

    /// Replaces the options. What is known is kept unless the learning is switched off.
    pub fn set_options(&mut self, options: Options) {
        if options.unequal_from.is_none() {
            *self = Speeds::new(options);
        }
        self.options = options;
    }

    /// Returns whether speeds are learned.
    pub fn is_enabled(&self) -> bool {
        self.options.unequal_from.is_some()
    }

    /// Returns whether the workers count as unequal.
    pub fn is_unequal(&self) -> bool {
        self.is_unequal
    }

    /// Returns the logarithm of the likelihood ratio of unequal and of equal workers.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Returns the number of observations.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    fn posterior(&self, worker: &str) -> Values {
        let known = self.workers.get(worker);
        known.map_or(self.prior, |worker| posterior(&self.prior, &worker.evidence))
    }

    /// Updates what depends on all workers.
    fn update(&mut self) {
        let observations = std::mem::take(&mut self.pending);
        let (Some(unequal_from), false) = (self.options.unequal_from, self.workers.is_empty())
        else {
            self.is_unequal = false;
            return;
        };
        let likelihoods: Vec<Values> =
            self.workers.values().map(|worker| worker.evidence.likelihood()).collect();
        for _ in 0..IMPROVEMENTS {
            self.prior = prior::improve(&self.prior, &likelihoods);
        }
        self.groups = Groups::new(&self.prior);
        for (worker, likelihood) in self.workers.values_mut().zip(&likelihoods) {
            let posterior = grid::normalised(grid::product(&self.prior, likelihood));
            worker.log = self.groups.log(&posterior);
        }
        let mut logs: Vec<f64> = self.workers.values().map(|worker| worker.log).collect();
        self.offset = logs.iter().sum::<f64>() / logs.len() as f64;
        logs.sort_unstable_by(f64::total_cmp);
        let compared = (logs.len() / COMPARED_SHARE).max(1);
        let mean = |logs: &[f64]| logs.iter().sum::<f64>() / logs.len() as f64;
        let difference = mean(&logs[logs.len() - compared..]) - mean(&logs[..compared]);
        let threshold = unequal_from.ln();
        let deviation = threshold * EQUAL_DEVIATION_SHARE;
        self.log_ratio = prior::log_ratio(&self.prior, &likelihoods, deviation);
        self.is_unequal = if self.is_unequal {
            self.seems_unequal_for = None;
            self.log_ratio >= EQUAL_LOG && difference >= threshold * EQUAL_SHARE
        } else {
            let seems_unequal = self.log_ratio >= UNEQUAL_LOG.0 + UNEQUAL_LOG.1 / threshold
                && difference >= threshold;
            let earlier = self.seems_unequal_for.map_or(0, |earlier| earlier + observations);
            self.seems_unequal_for = seems_unequal.then_some(earlier);
            seems_unequal && earlier >= self.workers.len() / CONFIRMING_SHARE
        };
    }
}

/// Number of updates after records have been restored, from which the common distribution is learned
/// anew.
const RESTORE_UPDATES: usize = 8;

fn posterior(prior: &Values, evidence: &Evidence) -> Values {
    grid::normalised(grid::product(prior, &evidence.likelihood()))
}

/// Returns the density of an observation for each slowness of the slowest worker.
fn density(observed: f64, deviation: f64) -> Values {
    grid::points().map(|point| {
        let peak = 1.0 / (deviation * std::f64::consts::TAU.sqrt());
        let normal = peak * (-((observed - point) / deviation).powi(2) / 2.0).exp();
        (1.0 - OUTLIER_SHARE) * normal + OUTLIER_SHARE * OUTLIER_DENSITY
    })
}

/// Returns, for each worker, the cumulative distribution of the slowest of the others.
fn without_each(cumulative: &[Values]) -> Vec<Values> {
    let mut others = vec![[1.0; SIZE]; cumulative.len()];
    let mut before = [1.0; SIZE];
    for (at, one) in cumulative.iter().enumerate() {
        others[at] = before;
        before = grid::product(&before, one);
    }
    let mut after = [1.0; SIZE];
    for (at, one) in cumulative.iter().enumerate().rev() {
        others[at] = grid::product(&others[at], &after);
        after = grid::product(&after, one);
    }
    others
}

/// Returns the log-likelihood of each slowness of a worker, given the density for the slowest worker
/// and the cumulative distribution of the slowest of the others.
fn log_likelihood(density: &Values, others: &Values) -> Values {
    let probabilities = grid::differences(others);
    let mut slower = 0.0;
    let mut log = [0.0; SIZE];
    for at in (0..SIZE).rev() {
        log[at] = (others[at] * density[at] + slower).max(f64::MIN_POSITIVE).ln();
        slower += probabilities[at] * density[at];
    }
    log
}
