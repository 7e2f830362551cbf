//! How callers were served, counted as the users count it.

use std::time::Duration;

use sapphire_jobs::{State, length};
use sapphire_plan::waves;

use super::{
    load::{Arrival, Site},
    world::World,
};

/// Worth of one job, owed and earned.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    /// When its caller came.
    pub at: Duration,
    /// Kind, by index.
    pub kind: usize,
    /// Owed.
    pub owed: f64,
    /// Earned.
    pub earned: f64,
    /// It was served, but later than its objective.
    pub is_late: bool,
}

/// Figures of a day.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Share of the worth earned.
    pub mean: f64,
    /// The same in the two worst windows.
    pub windows: f64,
    /// The same by kind.
    pub kinds: Vec<f64>,
    /// Work thrown away, in processor seconds.
    pub waste: f64,
}

/// Length of a window. The users name none; short enough to show one burst.
const WINDOW: Duration = Duration::from_secs(4);

fn share(credits: &[Credit]) -> f64 {
    let owed: f64 = credits.iter().map(|credit| credit.owed).sum();
    if owed == 0.0 { 1.0 } else { credits.iter().map(|credit| credit.earned).sum::<f64>() / owed }
}

/// Time within which the caller of a job wants it, with the waves that a wide step is allowed.
pub fn objective(site: &Site, arrival: &Arrival) -> Duration {
    let kind = &site.kinds[arrival.kind];
    let truth = &arrival.truth[0];
    let step = &arrival.job.steps[0];
    let workers: usize = site.workers.iter().sum();
    let fits = u64::from(site.capacity.count_fitting(truth.room)) * workers as u64;
    let tasks = if step.is_gang { 1 } else { step.tasks };
    let waves = waves::allowed(waves::Width { tasks, fits });
    (truth.work * waves).mul_f64(kind.slack.0) + Duration::from_secs_f64(kind.slack.1)
}

/// Worth of each job that was not cancelled.
pub fn credits(site: &Site, arrivals: &[Arrival], world: &World) -> Vec<Credit> {
    credits_by(site, arrivals, |arrival, state| world.shown(&arrival.job.id, state))
}

/// The same, given when each job came to an end, from the start of the load.
pub fn credits_by(
    site: &Site,
    arrivals: &[Arrival],
    shown: impl Fn(&Arrival, State) -> Option<Duration>,
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
        let owed = kind.worth.0 * size.min(4.0);
        let objective = objective(site, arrival).as_secs_f64();
        let wanted = if arrival.truth[0].always_fails { State::Failed } else { State::Complete };
        let took = shown(arrival, wanted).map(|at| at.saturating_sub(arrival.at));
        let share = match took.map(|took| took.as_secs_f64()) {
            Some(took) if took <= objective => 1.0,
            Some(took) if took <= 3.0 * objective => kind.worth.1 / kind.worth.0,
            _ => 0.0,
        };
        let is_late = share > 0.0 && share < 1.0;
        let earned = owed * share;
        credits.push(Credit { at: arrival.at, kind: arrival.kind, owed, earned, is_late });
    }
    credits
}

/// Sums up a day.
pub fn figures(site: &Site, arrivals: &[Arrival], world: &World) -> Figures {
    sum(site, &credits(site, arrivals, world), world.waste())
}

/// Sums up a day's credits.
pub fn sum(site: &Site, credits: &[Credit], waste: f64) -> Figures {
    let mut windows: Vec<f64> = (0..20_u32)
        .map(|index| {
            let span = WINDOW * index..WINDOW * (index + 1);
            let inside: Vec<Credit> =
                credits.iter().filter(|credit| span.contains(&credit.at)).copied().collect();
            if inside.len() < 2 { 1.0 } else { share(&inside) }
        })
        .collect();
    windows.sort_by(f64::total_cmp);
    let of = |index: usize| {
        let same: Vec<Credit> =
            credits.iter().filter(|credit| credit.kind == index).copied().collect();
        share(&same)
    };
    Figures {
        mean: share(credits),
        windows: (windows[0] + windows[1]) / 2.0,
        kinds: (0..site.kinds.len()).map(of).collect(),
        waste,
    }
}
