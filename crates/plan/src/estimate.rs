//! Learns how long jobs run, since declared times are often far off.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::Job;

/// Weight of the newest observation.
const NEWEST: f64 = 0.2;
/// Observations after which the learned time counts as much as the declared one.
const TRUST: f64 = 3.0;
/// Run time of a job that declares none, until something is learned.
const DEFAULT: Duration = Duration::from_secs(600);
/// Shortest estimate.
const LEAST: Duration = Duration::from_millis(200);

/// Kind of a job.
#[derive(Clone, Copy, Debug)]
pub struct Kind<'a> {
    /// Its organisation or queue.
    pub name: &'a str,
    /// How many accelerators it takes, as the power of two.
    pub size: u32,
}

#[derive(Clone, Debug, Default)]
struct Learned {
    /// Mean logarithm of the run time in seconds.
    time: f64,
    /// Mean logarithm of run time over declared time.
    ratio: f64,
    /// Mean distance of the declared time, once corrected, from the run time, as logarithms.
    declared_error: f64,
    /// Mean distance of the usual time of the kind from the run time, as logarithms.
    usual_error: f64,
    count: f64,
}

/// What has been learned of each kind of job.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    learned: BTreeMap<String, BTreeMap<u32, Learned>>,
}

fn kind(job: &Job) -> Kind<'_> {
    let accelerators = crate::queue::accelerators(job).max(1);
    Kind { name: &job.organisation, size: accelerators.ilog2() }
}

fn declared(job: &Job) -> Duration {
    if job.declared_ms == 0 { DEFAULT } else { Duration::from_millis(job.declared_ms).max(LEAST) }
}

impl Estimates {
    /// Notes how long a job ran.
    pub fn observe(&mut self, job: &Job, ran: Duration) {
        self.observe_kind(kind(job), declared(job), ran);
    }

    /// Notes how long work of a kind ran that was declared to take so long.
    pub fn observe_kind(&mut self, kind: Kind<'_>, declared: Duration, ran: Duration) {
        let ran = ran.max(LEAST).as_secs_f64().ln();
        let declared = declared.max(LEAST).as_secs_f64().ln();
        let sizes = self.learned.entry(kind.name.to_owned()).or_default();
        let learned = sizes.entry(kind.size).or_default();
        let newest = if learned.count == 0.0 { 1.0 } else { NEWEST };
        let blend = |mean: &mut f64, new: f64| *mean += newest * (new - *mean);
        if learned.count > 0.0 {
            blend(&mut learned.declared_error, (declared + learned.ratio - ran).abs());
            blend(&mut learned.usual_error, (learned.time - ran).abs());
        }
        blend(&mut learned.time, ran);
        blend(&mut learned.ratio, ran - declared);
        learned.count += 1.0;
    }

    /// How long a job is expected to run: the declared time, corrected by the kind's usual
    /// error, blended with the kind's usual time by how well each has foretold so far.
    pub fn expect(&self, job: &Job) -> Duration {
        self.expect_kind(kind(job), declared(job))
    }

    /// How long work of a kind is expected to run that is declared to take so long.
    pub fn expect_kind(&self, kind: Kind<'_>, declared: Duration) -> Duration {
        let declared = declared.max(LEAST).as_secs_f64().ln();
        let Some(learned) = self.of(kind) else {
            return Duration::from_secs_f64(declared.exp());
        };
        let trust = learned.count / (learned.count + TRUST);
        let corrected = declared + learned.ratio * trust;
        let total = learned.declared_error + learned.usual_error;
        let by_usual = if total > 0.0 { trust * learned.declared_error / total } else { 0.0 };
        let expected = corrected * (1.0 - by_usual) + learned.time * by_usual;
        Duration::from_secs_f64(expected.clamp(0.0, 20.0).exp())
    }

    fn of(&self, kind: Kind<'_>) -> Option<&Learned> {
        self.learned.get(kind.name)?.get(&kind.size)
    }

    /// How long work of a kind usually runs, once some has been seen.
    pub fn usual_kind(&self, kind: Kind<'_>) -> Option<Duration> {
        let learned = self.of(kind).filter(|learned| learned.count > 0.0)?;
        Some(Duration::from_secs_f64(learned.time.clamp(0.0, 20.0).exp()))
    }

    /// How much longer a job is expected to run. One that outlives its estimate is expected to
    /// run for half as long again as it has, so that it loses its place gradually.
    pub fn remaining(expected: Duration, ran: Duration) -> Duration {
        expected.saturating_sub(ran).max(ran / 2).max(LEAST)
    }
}
