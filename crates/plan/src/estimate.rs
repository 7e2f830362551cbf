//! Estimates of run times, learned from earlier runs, since declared run times are often far off.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::Job;

/// Weight of the latest observation in the moving averages.
const LATEST_WEIGHT: f64 = 0.2;
/// Number of observations after which the learned run time counts as much as the prior estimate,
/// which is the declared one at first.
const TRUST_COUNT: f64 = 3.0;
/// Run time that is assumed as declared for a job that declares none.
const DEFAULT_DECLARED: Duration = Duration::from_secs(600);
/// Natural logarithm of the maximum estimate in seconds, which is about 15 years.
const MAX_LOG_SECONDS: f64 = 20.0;
/// Minimum estimate.
const MIN_ESTIMATE: Duration = Duration::from_millis(200);

/// Spread of run times around declared ones until a run has been observed: declared times may be off
/// by a factor of two or more in either direction.
const DECLARED_SPREAD: f64 = 0.9;
/// Spread of the run times of tasks of the same step.
const SAME_STEP_SPREAD: f64 = 0.25;

/// An estimated run time with its uncertainty. Run times are taken to be log-normal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Median run time.
    pub centre: Duration,
    /// Standard deviation of the logarithm of the run time.
    pub spread: f64,
}

/// Run times that have been observed for tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Median of the run times.
    pub median: Duration,
    /// Number of run times.
    pub count: u32,
}

impl Estimate {
    /// Estimate from a declared run time alone.
    pub fn declared(centre: Duration) -> Estimate {
        Estimate { centre, spread: DECLARED_SPREAD }
    }

    /// Run time that is seldom exceeded: one standard deviation above the median.
    pub fn upper(&self) -> Duration {
        self.centre.mul_f64(self.spread.exp())
    }

    /// Combines this estimate with the run times observed for other tasks of the same step, each
    /// weighted by the inverse of its variance.
    #[must_use]
    pub fn with_same_step(self, sample: Option<Sample>) -> Estimate {
        let Some(sample) = sample.filter(|sample| sample.count > 0) else { return self };
        let prior_weight = self.spread.powi(-2);
        let sample_weight = f64::from(sample.count) / SAME_STEP_SPREAD.powi(2);
        let prior = self.centre.max(MIN_ESTIMATE).as_secs_f64().ln();
        let median = sample.median.max(MIN_ESTIMATE).as_secs_f64().ln();
        let centre =
            (prior * prior_weight + median * sample_weight) / (prior_weight + sample_weight);
        Estimate {
            centre: Duration::from_secs_f64(centre.exp()),
            spread: (1.0 / (prior_weight + sample_weight) + SAME_STEP_SPREAD.powi(2)).sqrt(),
        }
    }

    /// Estimate from the run times observed for other tasks of the same step alone.
    pub fn of_same_step(sample: Sample) -> Estimate {
        let spread = SAME_STEP_SPREAD * (1.0 + 1.0 / f64::from(sample.count.max(1))).sqrt();
        Estimate { centre: sample.median, spread }
    }
}

/// Kind of a job, by which run times are learned.
#[derive(Clone, Copy, Debug)]
pub struct Kind<'a> {
    /// Name of the job's organisation or queue.
    pub name: &'a str,
    /// Binary logarithm of the number of accelerators, rounded down.
    pub size: u32,
}

/// Size under which the run times of all sizes of a kind are learned together.
const ANY_SIZE: u32 = u32::MAX;

/// Run times of one job, as natural logarithms of seconds.
#[derive(Clone, Copy, Debug)]
struct LogTimes {
    ran: f64,
    declared: f64,
}

/// A predicted run time, as the natural logarithm of seconds, with its spread.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    time: f64,
    spread: f64,
}

/// What has been learned of one kind and size, as moving averages.
#[derive(Clone, Debug, Default)]
struct Learned {
    /// Mean logarithm of the run time in seconds.
    time: f64,
    /// Mean logarithm of the ratio of run time to declared time.
    ratio: f64,
    /// Mean absolute difference of the corrected declared time and the run time, as logarithms.
    declared_error: f64,
    /// Mean absolute difference of the mean run time and the run time, as logarithms.
    mean_time_error: f64,
    /// Mean square difference of the predicted and the actual run time, as logarithms.
    prediction_error: f64,
    /// Number of observations.
    count: f64,
}

impl Learned {
    /// Updates all averages with the run time of one job, and the errors of the predictions before it.
    fn observe(&mut self, times: LogTimes, prediction: f64) {
        let LogTimes { ran, declared } = times;
        let weight = if self.count == 0.0 { 1.0 } else { LATEST_WEIGHT };
        let blend = |mean: &mut f64, new: f64| *mean += weight * (new - *mean);
        if self.count > 0.0 {
            blend(&mut self.declared_error, (declared + self.ratio - ran).abs());
            blend(&mut self.mean_time_error, (self.time - ran).abs());
        }
        blend(&mut self.prediction_error, (prediction - ran).powi(2));
        blend(&mut self.time, ran);
        blend(&mut self.ratio, ran - declared);
        self.count += 1.0;
    }

    /// Predicts a run time from the declared one, corrected by its mean error, and from the mean run
    /// time. Each is weighted by how well it has predicted so far. `prior` is blended in as long as
    /// there are few observations.
    fn predict(&self, declared: f64, prior: Prediction) -> Prediction {
        let trust = self.count / (self.count + TRUST_COUNT);
        let total = self.declared_error + self.mean_time_error;
        let mean_time_weight = if total > 0.0 { self.declared_error / total } else { 0.0 };
        let learned =
            (declared + self.ratio) * (1.0 - mean_time_weight) + self.time * mean_time_weight;
        let variance = prior.spread.powi(2) * (1.0 - trust) + self.prediction_error * trust;
        Prediction { time: prior.time * (1.0 - trust) + learned * trust, spread: variance.sqrt() }
    }
}

/// What has been learned of each kind and size of jobs.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    learned: BTreeMap<String, BTreeMap<u32, Learned>>,
}

fn kind_of(job: &Job) -> Kind<'_> {
    let accelerators = crate::size::accelerators(job).max(1);
    Kind { name: &job.organisation, size: accelerators.ilog2() }
}

fn declared_time(job: &Job) -> Duration {
    if job.declared_ms == 0 {
        DEFAULT_DECLARED
    } else {
        Duration::from_millis(job.declared_ms).max(MIN_ESTIMATE)
    }
}

impl Estimates {
    /// Learns from the run time of a job.
    pub fn observe(&mut self, job: &Job, ran: Duration) {
        self.observe_kind(kind_of(job), declared_time(job), ran);
    }

    /// Learns from the run time of work of a kind, given its declared run time.
    pub fn observe_kind(&mut self, kind: Kind<'_>, declared: Duration, ran: Duration) {
        let prediction = self.expect_kind(kind, declared).as_secs_f64().ln();
        let times = LogTimes {
            ran: ran.max(MIN_ESTIMATE).as_secs_f64().ln(),
            declared: declared.max(MIN_ESTIMATE).as_secs_f64().ln(),
        };
        let sizes = self.learned.entry(kind.name.to_owned()).or_default();
        for size in [kind.size, ANY_SIZE] {
            sizes.entry(size).or_default().observe(times, prediction);
        }
    }

    /// Expected run time of a job. It is a blend of the declared run time, corrected by the mean error
    /// of its kind, and of the mean run time of its kind, by how well each has predicted so far.
    pub fn expect(&self, job: &Job) -> Duration {
        self.expect_kind(kind_of(job), declared_time(job))
    }

    /// Expected run time of work of a kind, given its declared run time.
    pub fn expect_kind(&self, kind: Kind<'_>, declared: Duration) -> Duration {
        self.estimate_kind(kind, declared).centre
    }

    /// Estimated run time of work of a kind, given its declared run time. Observations of the same
    /// size count before those of the same kind at any size, and these before the declared time.
    pub fn estimate_kind(&self, kind: Kind<'_>, declared: Duration) -> Estimate {
        let declared = declared.max(MIN_ESTIMATE).as_secs_f64().ln();
        let mut prediction = Prediction { time: declared, spread: DECLARED_SPREAD };
        for size in [ANY_SIZE, kind.size] {
            if let Some(learned) = self.of(Kind { size, ..kind }) {
                prediction = learned.predict(declared, prediction);
            }
        }
        let centre = Duration::from_secs_f64(
            prediction.time.clamp(MIN_ESTIMATE.as_secs_f64().ln(), MAX_LOG_SECONDS).exp(),
        );
        Estimate { centre, spread: prediction.spread }
    }

    /// Whether the run time of any work of a kind has been observed.
    pub fn knows_kind(&self, kind: Kind<'_>) -> bool {
        self.of(Kind { size: ANY_SIZE, ..kind }).is_some()
    }

    fn of(&self, kind: Kind<'_>) -> Option<&Learned> {
        self.learned.get(kind.name)?.get(&kind.size)
    }

    /// Expected remaining run time of a job that has run for `ran`. A job that outlives its estimate
    /// is expected to run for half as long again as it has so far, so that its position among others
    /// changes gradually.
    pub fn remaining(expected: Duration, ran: Duration) -> Duration {
        expected.saturating_sub(ran).max(ran / 2).max(MIN_ESTIMATE)
    }
}
