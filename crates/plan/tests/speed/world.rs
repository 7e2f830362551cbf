//! Runs of gangs and tasks on workers of given speeds, as the planner would observe them.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_plan::{
    estimate::{Estimate, Kind},
    speed::{History, Options, Speeds},
};

/// Duration of a day in seconds.
pub(super) const DAY: f64 = 50.0;
const KINDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

pub(super) struct World {
    pub(super) speeds: Speeds,
    pub(super) history: History,
    pub(super) rng: Pcg32,
    pub(super) names: Vec<String>,
    /// Run time on each worker as a multiple of the reference run time.
    pub(super) slowness: Vec<f64>,
    /// Worker and start of each period of 6.5 s in which it is 5 times slower.
    pub(super) episodes: Vec<(usize, f64)>,
    /// The workers counted as unequal at some time.
    pub(super) was_unequal: bool,
}

impl World {
    pub(super) fn new(seed: u64, slowness: Vec<f64>) -> Self {
        World::with_bound(seed, slowness, 1.15)
    }

    /// Returns workers that count as unequal from the given ratio of run times on.
    pub(super) fn with_bound(seed: u64, slowness: Vec<f64>, unequal_from: f64) -> Self {
        let names = (0..slowness.len()).map(|at| format!("w{at}")).collect();
        let speeds = Speeds::new(Options { unequal_from: Some(unequal_from) });
        let rng = Pcg32::seed_from_u64(seed);
        let history = History::default();
        World { speeds, history, rng, names, slowness, episodes: Vec::new(), was_unequal: false }
    }

    /// Draws a standard normal number.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
    }

    /// Returns the run time in seconds of work of this reference run time that starts at `start`.
    fn run_time(&self, members: &[usize], start: f64, reference: f64) -> f64 {
        let slowness = members.iter().map(|at| self.slowness[*at]).fold(0.0, f64::max);
        let work = reference * slowness;
        let (mut now, mut left) = (start, work);
        while left > 1e-6 {
            let slow = |(at, since): &&(usize, f64)| {
                members.contains(at) && (*since..since + 6.5).contains(&now)
            };
            let speed = if self.episodes.iter().any(|it| slow(&it)) { 0.2 } else { 1.0 };
            let step = (left / speed).min(0.1);
            now += step;
            left -= step * speed;
        }
        now - start
    }

    /// Draws a reference run time around `centre`: 3 in 100 tasks take 7 times as long.
    fn task(&mut self, centre: f64, spread: f64) -> f64 {
        let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        centre * (spread * self.normal()).exp() * tail
    }

    fn members(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.names.len()).collect();
        (0..count.min(all.len()))
            .map(|_| all.swap_remove(self.rng.random_range(0..all.len())))
            .collect()
    }

    fn observe(&mut self, members: &[usize], time: f64, expected: Estimate) {
        let names: Vec<&str> = members.iter().map(|at| self.names[*at].as_str()).collect();
        self.speeds.observe(&names, time / expected.centre.as_secs_f64(), expected.spread);
        self.was_unequal |= self.speeds.is_unequal();
    }

    /// Runs a gang of 2 to 30 members.
    pub(super) fn gang(&mut self, start: f64) {
        let kind_at = self.rng.random_range(0..KINDS.len());
        let kind = Kind { name: KINDS[kind_at], size: 0 };
        let centre = 0.8 * 1.5_f64.powi(kind_at as i32);
        let usual = centre * (0.4 * self.normal()).exp();
        let reference = self.task(usual, 0.0);
        let declared = Duration::from_secs_f64(usual * self.rng.random_range(-0.9..0.9_f64).exp());
        let count = self.rng.random_range(2.0_f64.ln()..30.5_f64.ln()).exp() as usize;
        let members = self.members(count);
        let time = self.run_time(&members, start, reference);
        let names: Vec<&str> = members.iter().map(|at| self.names[*at].as_str()).collect();
        let belief = self.speeds.belief(&names);
        if let Some(expected) = self.history.expected(kind, declared) {
            self.observe(&members, time, expected);
        }
        self.history.record(kind, declared, Duration::from_secs_f64(time), belief);
    }

    /// Runs a step of several tasks, each of which is compared with the others.
    pub(super) fn step(&mut self, start: f64) {
        let count = self.rng.random_range(2..10);
        let centre = self.rng.random_range(0.8..5.0);
        let members = self.members(count);
        let mut times = Vec::new();
        for at in &members {
            let reference = self.task(centre, 0.3);
            times.push(self.run_time(&[*at], start, reference));
        }
        for (at, member) in members.iter().enumerate() {
            let others = (0..times.len()).filter(|other| *other != at);
            let logs = others.map(|other| {
                let belief = self.speeds.belief(&[&self.names[members[other]]]);
                (times[other].ln() - belief.mean, belief.spread)
            });
            let (median, spread) = sapphire_plan::speed::median(logs.collect());
            let expected = Estimate { centre: Duration::from_secs_f64(median.exp()), spread };
            self.observe(&[*member], times[at], expected);
        }
    }

    /// Runs a day: `gangs` gangs and `steps` steps at random times.
    pub(super) fn day(&mut self, gangs: usize, steps: usize) {
        let total = gangs + steps;
        for at in 0..total {
            let start = DAY * at as f64 / total as f64;
            if self.rng.random_range(0..total) < gangs {
                self.gang(start)
            } else {
                self.step(start)
            }
        }
    }

    /// Adds periods of slowness at random times.
    pub(super) fn add_episodes(&mut self, count: usize) {
        for _ in 0..count {
            let worker = self.rng.random_range(0..self.names.len());
            let start = self.rng.random_range(0.0..DAY);
            self.episodes.push((worker, start));
        }
    }

    /// Returns the median error of the learned logarithm of slowness, relative to the mean of all
    /// workers, and the share of errors above 0.2.
    pub(super) fn errors(&self) -> (f64, f64) {
        let logs: Vec<f64> = self.slowness.iter().map(|it| it.ln()).collect();
        let mean = logs.iter().sum::<f64>() / logs.len() as f64;
        let error = |(name, log): (&String, &f64)| {
            (self.speeds.slowness(name).get().ln() - (log - mean)).abs()
        };
        let mut errors: Vec<f64> = self.names.iter().zip(&logs).map(error).collect();
        errors.sort_by(f64::total_cmp);
        let large = errors.iter().filter(|error| **error > 0.2).count();
        (errors[errors.len() / 2], large as f64 / errors.len() as f64)
    }
}
