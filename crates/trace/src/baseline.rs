//! Baselines: first-fit in arrival order, the same with backfill, static partitions.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{
    fleet::Fleet,
    place::{Assignment, Outcome},
};
use sapphire_wire::{Adjacency, Job, Shape, id};

/// Takes the first group of workers, in the order of names, that has room for the whole gang.
pub fn first_fit(
    fleet: &Fleet,
    shape: &Shape,
    is_wanted: impl Fn(&str) -> bool,
) -> Option<Outcome> {
    let mut groups: BTreeMap<&str, Vec<Assignment>> = BTreeMap::new();
    for (name, worker) in &fleet.workers {
        if !is_wanted(name) || !worker.is_open {
            continue;
        }
        let group = match shape.adjacency() {
            Adjacency::Worker => name.as_str(),
            Adjacency::Rack => worker.rack.as_str(),
            Adjacency::Zone => worker.zone.as_str(),
        };
        let seats = groups.entry(group).or_default();
        let held: u32 = seats.iter().map(|seat| seat.tasks).sum();
        let fit = worker.free().accelerators / shape.accelerators.max(1);
        let tasks = fit.min(shape.tasks - held);
        if tasks > 0 {
            seats.push(Assignment { worker: name.clone(), tasks });
        }
        if held + tasks == shape.tasks {
            let assignments = std::mem::take(seats);
            return Some(Outcome {
                assignments,
                group: group.to_owned(),
                runner_up: String::new(),
                broken: 0,
                intact: 0,
            });
        }
    }
    None
}

/// A gang that runs, as a baseline sees it.
pub struct Running<'a> {
    /// Its shape.
    pub shape: &'a Shape,
    /// Where it is.
    pub seats: &'a [Assignment],
    /// When it ends by its declared time.
    pub ends: Duration,
}

/// First-fit in arrival order; the first that does not fit holds up all behind it.
pub fn in_order(mut fleet: Fleet, waiting: &[&Job]) -> Vec<(id::Job, Outcome)> {
    let mut starts = Vec::new();
    for job in waiting {
        let shape = job.shape.unwrap_or_default();
        let Some(place) = first_fit(&fleet, &shape, |_| true) else { break };
        take(&mut fleet, job, &place);
        starts.push((job.id.clone(), place));
    }
    starts
}

fn take(fleet: &mut Fleet, job: &Job, place: &Outcome) {
    let shape = job.shape.unwrap_or_default();
    for seat in &place.assignments {
        fleet.allocate(&seat.worker, &job.organisation, &shape, seat.tasks, false);
    }
}

/// The same with backfill: the first that does not fit gets a reservation by declared times,
/// and a later one may start if it does not delay it.
pub fn backfill(
    now: Duration,
    mut fleet: Fleet,
    waiting: &[&Job],
    running: &[Running<'_>],
) -> Vec<(id::Job, Outcome)> {
    let mut starts = Vec::new();
    let mut reserved: Option<(Duration, Vec<id::Worker>)> = None;
    for job in waiting {
        let shape = job.shape.unwrap_or_default();
        let ends = now + Duration::from_millis(job.declared_ms);
        let is_wanted = |name: &str| match &reserved {
            Some((at, workers)) => ends <= *at || !workers.iter().any(|worker| worker == name),
            None => true,
        };
        if let Some(place) = first_fit(&fleet, &shape, is_wanted) {
            take(&mut fleet, job, &place);
            starts.push((job.id.clone(), place));
        } else if reserved.is_none() {
            reserved = reserve(now, &fleet, &shape, running);
        }
    }
    starts
}

fn reserve(
    now: Duration,
    fleet: &Fleet,
    shape: &Shape,
    running: &[Running<'_>],
) -> Option<(Duration, Vec<id::Worker>)> {
    let mut fleet = fleet.clone();
    let mut ends: Vec<&Running<'_>> = running.iter().collect();
    ends.sort_by_key(|running| running.ends.max(now));
    for running in ends {
        for seat in running.seats {
            fleet.release(&seat.worker, running.shape, seat.tasks);
        }
        if let Some(place) = first_fit(&fleet, shape, |_| true) {
            let workers = place.assignments.into_iter().map(|seat| seat.worker).collect();
            return Some((running.ends.max(now), workers));
        }
    }
    None
}

/// Each organisation has its own workers, by its share of the load, and first-fit there. One
/// whose partition can never hold a gang borrows the whole fleet for it.
pub fn partitions(
    mut fleet: Fleet,
    waiting: &[&Job],
    shares: &[(&'static str, f64, f64)],
) -> Vec<(id::Job, Outcome)> {
    let names: Vec<id::Worker> = fleet.workers.keys().cloned().collect();
    let mut starts = Vec::new();
    let mut from = 0.0;
    for (organisation, share, _) in shares {
        let to = from + share;
        let bound = |part: f64| (part * names.len() as f64).round() as usize;
        let own = names[bound(from).min(names.len())..bound(to).min(names.len())].to_vec();
        from = to;
        for job in waiting.iter().filter(|job| job.organisation == *organisation) {
            let shape = job.shape.unwrap_or_default();
            let mut empty = fleet.clone();
            empty.workers.values_mut().for_each(|worker| worker.used = Default::default());
            let is_own = |name: &str| own.iter().any(|own| own == name);
            let fits = first_fit(&empty, &shape, is_own).is_some();
            let place = first_fit(&fleet, &shape, |name| !fits || is_own(name));
            let Some(place) = place else { break };
            take(&mut fleet, job, &place);
            starts.push((job.id.clone(), place));
        }
    }
    starts
}
