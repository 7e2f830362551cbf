//! Measures how well callers were served, by the users' own rules: the value of the jobs that were
//! served in time, and the work that was wasted.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{State, length};
use sapphire_plan::waves;

use super::{
    load::{Arrival, Site},
    minion::Runs,
    simulation::Simulation,
};

/// Value of one job: in full, and as far as it was earned.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    /// When its caller first submitted it, from the start of the load.
    pub at: Duration,
    /// Index of its kind in [`Site::kinds`].
    pub kind: usize,
    /// Value that the job earns when it is served within its objective.
    pub full_value: f64,
    /// Value that it has earned.
    pub earned: f64,
    /// Whether it was served later than its objective, but not too late to earn anything.
    pub is_late: bool,
}

/// Figures of one simulated run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Share of the full value that was earned.
    pub mean: f64,
    /// The same, as the mean of the two worst windows.
    pub windows: f64,
    /// The same for each kind of job.
    pub kinds: Vec<f64>,
    /// Work that was lost, in processor seconds.
    pub waste: f64,
    /// Runs that were done, and runs and work of jobs that were not cancelled by their callers that
    /// were stopped and lost.
    pub runs: Runs,
    /// Runs that were stopped of jobs that were cancelled by their callers.
    pub cancelled_runs: u32,
    /// How the organisations were served, by name.
    pub organisations: BTreeMap<String, Service>,
}

/// What became of a job besides the time of its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether it was refused and never accepted.
    pub is_refused: bool,
    /// Work that was lost, in processor seconds.
    pub lost_work: f64,
}

/// How an organisation was served: numbers of its jobs that its callers did not cancel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Jobs that were submitted.
    pub jobs: u32,
    /// Jobs that were served within their objective.
    pub on_time: u32,
    /// Jobs that were served late, but not too late to earn anything.
    pub late: u32,
    /// Jobs that were refused and never accepted.
    pub refused: u32,
    /// Work that was lost, in processor seconds.
    pub lost_work: f64,
}

impl Service {
    /// Adds the jobs of `other`.
    pub fn add(&mut self, other: Service) {
        self.jobs += other.jobs;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.lost_work += other.lost_work;
    }

    /// Share of the jobs that were served within their objective.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.jobs.max(1))
    }
}

/// Length of a window. The users specify none; this one is short enough to show a single burst.
const WINDOW: Duration = Duration::from_secs(4);

fn share(credits: &[Credit]) -> f64 {
    let full_value: f64 = credits.iter().map(|credit| credit.full_value).sum();
    if full_value == 0.0 {
        1.0
    } else {
        credits.iter().map(|credit| credit.earned).sum::<f64>() / full_value
    }
}

/// Time within which the caller expects the job to be done; a step that is wider than the fleet
/// is allowed as many waves as it needs.
pub fn objective(site: &Site, arrival: &Arrival) -> Duration {
    let kind = &site.kinds[arrival.kind];
    let truth = &arrival.truth[0];
    let step = &arrival.job.steps[0];
    let workers: usize = site.workers.iter().sum();
    let fits = u64::from(site.capacity.count_fitting(truth.resources)) * workers as u64;
    let tasks = if step.is_gang { 1 } else { step.tasks };
    let waves = waves::allowed(waves::Width { tasks, fits });
    (truth.longest() * waves).mul_f64(kind.slack.0) + Duration::from_secs_f64(kind.slack.1)
}

/// Value of each job that was not cancelled.
pub fn credits(site: &Site, arrivals: &[Arrival], sim: &Simulation) -> Vec<Credit> {
    credits_by(site, arrivals, |arrival, state| sim.reported_at(&arrival.job.id, state))
}

/// The same, where `ended_at` returns when a job was reported in a final state, from the start of
/// the load.
pub fn credits_by(
    site: &Site,
    arrivals: &[Arrival],
    ended_at: impl Fn(&Arrival, State) -> Option<Duration>,
) -> Vec<Credit> {
    let mean = |index: usize| {
        let same: Vec<f64> = (arrivals.iter())
            .filter(|arrival| arrival.kind == index)
            .map(|arrival| length::work(&arrival.job.steps))
            .collect();
        same.iter().sum::<f64>() / same.len().max(1) as f64
    };
    let means: Vec<f64> = (0..site.kinds.len()).map(mean).collect();
    let mut credits = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.cancel_after.is_none()) {
        let kind = &site.kinds[arrival.kind];
        let size = 0.3 + 0.7 * length::work(&arrival.job.steps) / means[arrival.kind];
        let full_value = kind.value.0 * size.min(4.0);
        let objective = objective(site, arrival).as_secs_f64();
        let expected_state =
            if arrival.truth[0].always_fails { State::Failed } else { State::Complete };
        let latency = ended_at(arrival, expected_state).map(|at| at.saturating_sub(arrival.at));
        let share = match latency.map(|latency| latency.as_secs_f64()) {
            Some(latency) if latency <= objective => 1.0,
            Some(latency) if latency <= 3.0 * objective => kind.value.1 / kind.value.0,
            _ => 0.0,
        };
        let is_late = share > 0.0 && share < 1.0;
        let earned = full_value * share;
        credits.push(Credit { at: arrival.at, kind: arrival.kind, full_value, earned, is_late });
    }
    credits
}

/// Computes the figures of a run.
pub fn figures(site: &Site, arrivals: &[Arrival], sim: &Simulation) -> Figures {
    let credits = credits(site, arrivals, sim);
    let ended = sim.runs();
    let runs_of = |arrival: &Arrival| ended.get(&arrival.job.id).copied().unwrap_or_default();
    let (mut runs, mut cancelled_runs) = (Runs::default(), 0);
    for arrival in arrivals {
        let of_job = runs_of(arrival);
        if arrival.cancel_after.is_some() {
            runs.done += of_job.done;
            cancelled_runs += of_job.stopped;
        } else {
            runs.add(of_job);
        }
    }
    let outcome = |arrival: &Arrival| Outcome {
        is_refused: sim.is_refused(&arrival.job.id),
        lost_work: runs_of(arrival).lost_work,
    };
    let organisations = services(arrivals, &credits, outcome);
    Figures { runs, cancelled_runs, organisations, ..summarize(site, &credits, sim.waste()) }
}

/// How the organisations were served, given the credits of the jobs that were not cancelled.
pub fn services(
    arrivals: &[Arrival],
    credits: &[Credit],
    outcome: impl Fn(&Arrival) -> Outcome,
) -> BTreeMap<String, Service> {
    let mut services: BTreeMap<String, Service> = BTreeMap::new();
    let arrivals = arrivals.iter().filter(|arrival| arrival.cancel_after.is_none());
    for (arrival, credit) in arrivals.zip(credits) {
        let outcome = outcome(arrival);
        services.entry(arrival.job.organisation.clone()).or_default().add(Service {
            jobs: 1,
            on_time: u32::from(credit.earned > 0.0 && !credit.is_late),
            late: u32::from(credit.is_late),
            refused: u32::from(outcome.is_refused),
            lost_work: outcome.lost_work,
        });
    }
    services
}

/// Computes the figures from the credits of a run.
pub fn summarize(site: &Site, credits: &[Credit], waste: f64) -> Figures {
    let mut windows: Vec<f64> = (0..20_u32)
        .map(|index| {
            let span = WINDOW * index..WINDOW * (index + 1);
            let inside: Vec<Credit> =
                credits.iter().filter(|credit| span.contains(&credit.at)).copied().collect();
            if inside.len() < 2 { 1.0 } else { share(&inside) }
        })
        .collect();
    windows.sort_by(f64::total_cmp);
    let share_of_kind = |index: usize| {
        let same: Vec<Credit> =
            credits.iter().filter(|credit| credit.kind == index).copied().collect();
        share(&same)
    };
    Figures {
        mean: share(credits),
        windows: (windows[0] + windows[1]) / 2.0,
        kinds: (0..site.kinds.len()).map(share_of_kind).collect(),
        waste,
        ..Figures::default()
    }
}
