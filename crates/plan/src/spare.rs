//! Spare capacity: capacity that a group can take without harm to others.
//!
//! While capacity is scarce, work that waits for a better place leaves the present ones to others.
//! While it is spare, others rarely need them, and a job that has nothing running loses time.

use sapphire_jobs::resources::Resources;

use crate::assignment::{Demand, Place};

/// Share of the capacity from whose use on it is scarce.
const SCARCE_SHARE: f64 = 0.5;
/// How often a group must fit into what is free.
const FITS: u64 = 2;

/// Returns whether half or more of some resource of the workers is in use.
pub fn is_scarce(places: &[Place]) -> bool {
    RESOURCES.iter().any(|resource| used_share(places, *resource) >= SCARCE_SHARE)
}

/// Returns whether the free resources of some workers hold a group twice.
pub fn holds_twice(places: &[Place], demand: &Demand) -> bool {
    let has_label =
        |place: &&Place| demand.label.is_empty() || place.labels.contains(&demand.label);
    let fitting = places
        .iter()
        .filter(has_label)
        .map(|place| u64::from(place.free.count_fitting(demand.resources)));
    fitting.sum::<u64>() >= FITS * u64::from(demand.tasks)
}

/// Amount of one kind of resource.
type Resource = fn(&Resources) -> u64;

const RESOURCES: [Resource; 3] = [
    |resources| resources.millicores,
    |resources| resources.memory_mib,
    |resources| resources.accelerators,
];

/// Returns the used share of a resource; nothing if the workers have none.
fn used_share(places: &[Place], resource: Resource) -> f64 {
    let free: u64 = places.iter().map(|place| resource(&place.free)).sum();
    let capacity: u64 = places.iter().map(|place| resource(&place.capacity)).sum();
    if capacity > 0 { 1.0 - free as f64 / capacity as f64 } else { 0.0 }
}
