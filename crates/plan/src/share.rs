//! Shares of the organisations when there is too little for all of them.
//!
//! An organisation's usage is the sum of its share of the workers over time, in which older usage
//! counts less. Organisations that have work get equal shares. Those whose usage exceeds the equal
//! share are above it, and their work goes after that of the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::resources::Resources;

/// Options of the shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time in which usage loses most of its weight.
    pub window: Duration,
}

/// Usage beyond the fair share, as a fraction of it, from which on an organisation is above. Jobs
/// arrive in bursts, so that the usage of equal organisations differs by chance.
const TOLERANCE: f64 = 0.5;
/// Least usage that can be above a share, as a fraction of an equal part of the window. When usage
/// begins at zero, the first gang alone would exceed the mean of all organisations.
const MIN_PART: f64 = 0.25;
/// Usage in seconds of all workers below which an organisation is forgotten: half a thousandth, the
/// precision of the record.
const NEGLIGIBLE: f64 = 0.000_5;

/// Usage of the workers by organisation, in seconds of all workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usages {
    by_organisation: BTreeMap<String, f64>,
}

/// Returns the share of some resources in all of them, for the scarcest.
pub fn dominant_share(part: Resources, all: Resources) -> f64 {
    let ratio = |part: u64, all: u64| if all > 0 { part as f64 / all as f64 } else { 0.0 };
    let cores = ratio(part.millicores, all.millicores);
    let memory = ratio(part.memory_mib, all.memory_mib);
    cores.max(memory).max(ratio(part.accelerators, all.accelerators))
}

impl Usages {
    /// Restores usage, in thousandths of all workers times seconds.
    pub fn restore(usages: impl IntoIterator<Item = (String, u64)>) -> Self {
        let seconds = |(name, milli): (String, u64)| (name, milli as f64 / 1_000.0);
        Usages { by_organisation: usages.into_iter().map(seconds).collect() }
    }

    /// Returns the usage of the organisations with the most of it, in thousandths of all workers
    /// times seconds, the highest first.
    pub fn highest(&self, limit: usize) -> Vec<(&str, u64)> {
        let milli = |usage: &f64| (usage * 1_000.0).round() as u64;
        let mut all: Vec<(&str, u64)> = self
            .by_organisation
            .iter()
            .map(|(name, usage)| (name.as_str(), milli(usage)))
            .collect();
        all.sort_by_key(|(name, milli)| (std::cmp::Reverse(*milli), *name));
        all.truncate(limit);
        all
    }

    /// Lets usage decay over `elapsed`, in which organisations have used the given shares of the
    /// workers.
    pub fn advance(&mut self, elapsed: Duration, options: Options, shares: &BTreeMap<String, f64>) {
        let window = options.window.as_secs_f64();
        let kept = (-elapsed.as_secs_f64() / window).exp();
        for usage in self.by_organisation.values_mut() {
            *usage *= kept;
        }
        for (name, share) in shares {
            *self.by_organisation.entry(name.clone()).or_default() += share * window * (1.0 - kept);
        }
        self.by_organisation.retain(|_, usage| *usage >= NEGLIGIBLE);
    }

    /// Returns the usage of an organisation, in seconds of all workers.
    fn of(&self, organisation: &str) -> f64 {
        self.by_organisation.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the organisations above their share, among those that have open work. `earlier` are
    /// those that were above until now: they stay so until their usage is down to the share.
    pub fn above(
        &self,
        demanding: &BTreeSet<String>,
        earlier: &BTreeSet<String>,
        options: Options,
    ) -> BTreeSet<String> {
        if demanding.len() < 2 {
            return BTreeSet::new();
        }
        let count = demanding.len() as f64;
        let mean = demanding.iter().map(|name| self.of(name)).sum::<f64>() / count;
        let fair = mean.max(options.window.as_secs_f64() / count * MIN_PART);
        let is_above = |name: &&String| {
            let tolerance = if earlier.contains(*name) { 0.0 } else { TOLERANCE };
            self.of(name) > fair * (1.0 + tolerance)
        };
        demanding.iter().filter(is_above).cloned().collect()
    }

    /// Returns the share of the workers at which an organisation is served while others have open
    /// work: the part that it has had recently, and at least an equal one.
    pub fn served_share(&self, organisation: &str, demanding: &BTreeSet<String>) -> f64 {
        let all: f64 = self.by_organisation.values().sum();
        let recent = if all > 0.0 { self.of(organisation) / all } else { 0.0 };
        recent.max(1.0 / demanding.len().max(1) as f64)
    }
}
