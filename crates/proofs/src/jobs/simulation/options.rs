//! Parameters of a simulation.

use sapphire_plan::{policy::Policy, share, speed, stops};

use super::bounds::{self, Bounds};
use crate::jobs::load::{Arrival, Site};

/// Components of the planner that an operator switches on, as in the settings of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Features {
    /// Use of workers that are lastingly faster or slower than others.
    pub speeds: speed::Options,
    /// Shares of the organisations.
    pub shares: Option<share::Options>,
    /// Limit of the work that is stopped for urgent jobs.
    pub stops: Option<stops::Options>,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Options<'a> {
    pub(super) site: &'a Site,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) seed: u64,
    pub(super) policy: Policy,
    pub(super) speeds: f64,
    pub(super) features: Features,
    pub(super) has_slow: bool,
    pub(super) calls_outlive_incarnations: bool,
    pub(super) bounds: &'static Bounds,
}

impl<'a> Options<'a> {
    /// Simulation of these jobs at a site, with all mechanisms of the policy and no further
    /// component of the planner; `seed` is that of the random generator.
    pub fn new(site: &'a Site, arrivals: Vec<Arrival>, seed: u64) -> Self {
        let (policy, features) = (Policy::default(), Features::default());
        Options {
            site,
            arrivals,
            seed,
            policy,
            speeds: 1.0,
            features,
            has_slow: true,
            calls_outlive_incarnations: true,
            bounds: &bounds::DEFAULT,
        }
    }

    /// Sets the planning policy.
    pub fn policy(self, policy: Policy) -> Self {
        Options { policy, ..self }
    }

    /// Draws the speeds of the workers, whatever the site's, up to this ratio between the fastest
    /// and the slowest; 1 leaves them as they are.
    pub fn speeds(self, speeds: f64) -> Self {
        Options { speeds, ..self }
    }

    /// Sets the components of the planner that are switched on.
    pub fn features(self, features: Features) -> Self {
        Options { features, ..self }
    }

    /// Sets whether a minion carries out calls that an earlier incarnation of it has received, and
    /// whether planners reckon with it.
    pub fn calls_outlive_incarnations(self, calls_outlive_incarnations: bool) -> Self {
        Options { calls_outlive_incarnations, ..self }
    }

    /// Sets the bounds in time.
    pub fn bounds(self, bounds: &'static Bounds) -> Self {
        Options { bounds, ..self }
    }

    /// Removes the slowest workers of the site.
    pub fn without_slow_workers(self) -> Self {
        Options { has_slow: false, ..self }
    }
}
