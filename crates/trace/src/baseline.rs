//! Baseline policies: first-fit in the order of arrival, the same with backfill, static partitions.

use std::{collections::BTreeMap, time::Duration};

use sapphire_plan::{
    fleet::Fleet,
    place::{Assignment, Outcome},
};
use sapphire_wire::{Adjacency, Job, Shape, id};

/// Assigns a gang to the first group of workers with enough free accelerators for all its tasks.
///
/// The gang's adjacency decides whether a group is a worker, a rack or a zone. Workers are
/// considered in the order of their names, and only those that `is_eligible` accepts.
pub fn first_fit(
    fleet: &Fleet,
    shape: &Shape,
    is_eligible: impl Fn(&str) -> bool,
) -> Option<Outcome> {
    let mut groups: BTreeMap<&str, Vec<Assignment>> = BTreeMap::new();
    for (name, worker) in &fleet.workers {
        if !is_eligible(name) || !worker.is_open {
            continue;
        }
        let group = match shape.adjacency() {
            Adjacency::Worker => name.as_str(),
            Adjacency::Rack => worker.rack.as_str(),
            Adjacency::Zone => worker.zone.as_str(),
        };
        let partial = groups.entry(group).or_default();
        let assigned: u32 = partial.iter().map(|assignment| assignment.tasks).sum();
        let fit = worker.free().accelerators / shape.accelerators.max(1);
        let tasks = fit.min(shape.tasks - assigned);
        if tasks > 0 {
            partial.push(Assignment { worker: name.clone(), tasks });
        }
        if assigned + tasks == shape.tasks {
            let assignments = std::mem::take(partial);
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

/// A running gang, as a baseline sees it.
pub struct Running<'a> {
    /// Shape of the gang.
    pub shape: &'a Shape,
    /// Workers that it runs on.
    pub assignments: &'a [Assignment],
    /// When it ends according to its declared run time.
    pub expected_end: Duration,
}

/// First-fit in the order of arrival: the first job that doesn't fit blocks all later ones.
pub fn in_order(mut fleet: Fleet, waiting: &[&Job]) -> Vec<(id::Job, Outcome)> {
    let mut starts = Vec::new();
    for job in waiting {
        let shape = job.shape.unwrap_or_default();
        let Some(outcome) = first_fit(&fleet, &shape, |_| true) else { break };
        allocate(&mut fleet, job, &outcome);
        starts.push((job.id.clone(), outcome));
    }
    starts
}

/// Allocates the workers of an assigned gang.
fn allocate(fleet: &mut Fleet, job: &Job, outcome: &Outcome) {
    let shape = job.shape.unwrap_or_default();
    for assignment in &outcome.assignments {
        fleet.allocate(&assignment.worker, &job.organisation, &shape, assignment.tasks, false);
    }
}

/// First-fit with backfill: the first job that doesn't fit gets a reservation, computed from
/// declared run times. A later job may start if it doesn't delay the reservation, because it ends
/// before it or runs on other workers.
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
        let ends_at = now + Duration::from_millis(job.declared_ms);
        let is_eligible = |name: &str| match &reserved {
            Some((at, workers)) => ends_at <= *at || !workers.iter().any(|worker| worker == name),
            None => true,
        };
        if let Some(outcome) = first_fit(&fleet, &shape, is_eligible) {
            allocate(&mut fleet, job, &outcome);
            starts.push((job.id.clone(), outcome));
        } else if reserved.is_none() {
            reserved = reserve(now, &fleet, &shape, running);
        }
    }
    starts
}

/// Earliest time at which a gang fits when running gangs end by their declared run times, and the
/// workers that it then gets.
fn reserve(
    now: Duration,
    fleet: &Fleet,
    shape: &Shape,
    running: &[Running<'_>],
) -> Option<(Duration, Vec<id::Worker>)> {
    let mut fleet = fleet.clone();
    let mut by_end: Vec<&Running<'_>> = running.iter().collect();
    by_end.sort_by_key(|running| running.expected_end.max(now));
    for running in by_end {
        for assignment in running.assignments {
            fleet.release(&assignment.worker, running.shape, assignment.tasks);
        }
        if let Some(outcome) = first_fit(&fleet, shape, |_| true) {
            let workers =
                outcome.assignments.into_iter().map(|assignment| assignment.worker).collect();
            return Some((running.expected_end.max(now), workers));
        }
    }
    None
}

/// Static partitions: each organisation has workers of its own, in proportion to its share of the
/// load, and uses first-fit among them. A gang that doesn't fit into the partition even when it is
/// empty may use the whole fleet.
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
        let partition = names[bound(from).min(names.len())..bound(to).min(names.len())].to_vec();
        from = to;
        for job in waiting.iter().filter(|job| job.organisation == *organisation) {
            let shape = job.shape.unwrap_or_default();
            let mut empty = fleet.clone();
            empty.workers.values_mut().for_each(|worker| worker.used = Default::default());
            let is_in_partition = |name: &str| partition.iter().any(|worker| worker == name);
            let fits = first_fit(&empty, &shape, is_in_partition).is_some();
            let outcome = first_fit(&fleet, &shape, |name| !fits || is_in_partition(name));
            let Some(outcome) = outcome else { break };
            allocate(&mut fleet, job, &outcome);
            starts.push((job.id.clone(), outcome));
        }
    }
    starts
}
