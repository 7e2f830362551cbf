//! Choice of workers by their lasting speed.
//!
//! Workers form a few groups of about equal slowness (tiers). Urgent work is assigned to the fastest
//! tier that can hold it. Work that has time is assigned to the slowest one on which it is still
//! served in time, so that the faster ones stay free. All members of a gang run at the pace of the
//! slowest, so a gang is assigned to as few tiers as possible.

use std::cmp::Reverse;

use crate::{
    assignment::{Assignment, Demand, Place, Reach},
    speed::Slowness,
};

/// Workers whose slowness differs by less than this factor belong to the same tier: less than what
/// distinguishes kinds of machines, and more than the error of a learned slowness.
const TIER_RATIO: f64 = 1.1;

/// What the speed of its workers means for a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Greatest slowness at which the group is served in time. It is not assigned to slower workers.
    /// `None` if it may be assigned to any worker.
    pub limit: Option<Slowness>,
    /// Whether slow workers are used before fast ones.
    pub prefers_slow: bool,
    /// Factor by which the group is slower away from its data, or on several racks although it
    /// wants one; 0 counts as 1.
    pub remote_factor: u32,
}

impl Need {
    /// Returns whether the group may run at the given slowness.
    pub fn allows(&self, slowness: Slowness) -> bool {
        self.limit.is_none_or(|limit| slowness <= limit)
    }

    /// Returns the slowness of a run on workers of the given slowness, near its data or not.
    pub fn pace(&self, slowness: Slowness, is_remote: bool) -> Slowness {
        let factor = if is_remote { self.remote_factor.max(1) } else { 1 };
        Slowness::new(slowness.get() * f64::from(factor))
    }
}

/// A range of slowness that all workers of a group are in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Least slowness.
    pub least: Slowness,
    /// Greatest slowness.
    pub greatest: Slowness,
    /// Whether the group may be on several racks although it wants one.
    pub is_scattered: bool,
    /// Slowness of the group's run.
    pace: Slowness,
    /// Number of tiers in the range.
    tiers: usize,
}

impl Window {
    /// Returns whether workers of the given slowness are in the range.
    pub fn contains(&self, slowness: Slowness) -> bool {
        self.least <= slowness && slowness <= self.greatest
    }
}

/// Returns the ranges of slowness in the order in which a group tries them. `near` has the slowness
/// of the group on each candidate worker, and `scattered` that of the workers themselves if the
/// group may be on several racks although it wants one; otherwise it is empty.
pub fn windows(near: Vec<Slowness>, scattered: Vec<Slowness>, demand: &Demand) -> Vec<Window> {
    let need = demand.speed;
    let mut windows = Vec::new();
    for (slowness, is_scattered) in [(near, false), (scattered, true)] {
        let tiers = tiers(slowness);
        let widest = if demand.tasks > 1 { tiers.len() } else { 1 };
        for range in (1..=widest).flat_map(|width| tiers.windows(width)) {
            let (Some((least, _)), Some((_, greatest))) = (range.first(), range.last()) else {
                continue;
            };
            let (least, greatest, tiers) = (*least, *greatest, range.len());
            let pace = need.pace(greatest, is_scattered);
            if need.allows(pace) {
                windows.push(Window { least, greatest, is_scattered, pace, tiers });
            }
        }
    }
    if need.prefers_slow {
        // A scattered run takes resources from everybody for longer, so it is the last choice.
        windows.sort_by(|left, right| {
            let key = |window: &Window| (window.is_scattered, window.tiers);
            let by_pace = left.pace.cmp(&right.pace);
            let by_pace = if left.is_scattered { by_pace } else { by_pace.reverse() };
            key(left).cmp(&key(right)).then(by_pace)
        });
    } else {
        // A fast worker gains nothing from slow mates, so the range with fewer tiers goes first.
        windows.sort_by_key(|window| (window.pace, window.is_scattered, Reverse(window.least)));
    }
    windows
}

/// Returns the least and the greatest slowness of each tier, the fastest first.
fn tiers(mut slowness: Vec<Slowness>) -> Vec<(Slowness, Slowness)> {
    slowness.sort_unstable();
    slowness.dedup();
    let mut tiers: Vec<(Slowness, Slowness)> = Vec::new();
    for value in slowness {
        match tiers.last_mut() {
            Some((least, greatest)) if value.get() < least.get() * TIER_RATIO => *greatest = value,
            _ => tiers.push((value, value)),
        }
    }
    tiers
}

/// Returns the slowness of a group on its assigned places: that of the slowest.
pub fn slowest(places: &[Place], assignments: &[Assignment]) -> Slowness {
    let slowness = assignments.iter().map(|assignment| places[assignment.place].slowness);
    slowness.max().unwrap_or_default()
}

/// Returns whether a group would fit within its limit of slowness if nothing else ran.
///
/// Guards against a group that waits for ever, because there are not enough workers on which it
/// would be in time.
pub fn can_fit(places: &[Place], demand: &Demand, reach: Reach) -> bool {
    let Some(limit) = demand.speed.limit else { return true };
    let is_far = |place: &Place| !demand.near_rack.is_empty() && *place.rack != *demand.near_rack;
    let fits = |rack: Option<&str>, is_scattered: bool| {
        let tasks = |place: &Place| {
            let is_other_rack = rack.is_some_and(|rack| rack != &*place.rack);
            let has_label = demand.label.is_empty() || place.labels.contains(&demand.label);
            let pace = demand.speed.pace(place.slowness, is_scattered || is_far(place));
            let is_excluded = reach == Reach::Near && is_far(place);
            if is_other_rack || !has_label || pace > limit || is_excluded {
                return 0;
            }
            let most = if demand.per_worker > 0 { demand.per_worker } else { u32::MAX };
            u64::from(place.capacity.count_fitting(demand.resources).min(most))
        };
        places.iter().map(tasks).sum::<u64>() >= u64::from(demand.tasks)
    };
    if !demand.wants_one_rack {
        return fits(None, false);
    }
    let mut racks: Vec<&str> = places.iter().map(|place| &*place.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    racks.into_iter().any(|rack| fits(Some(rack), false))
        || (reach == Reach::Remote && fits(None, true))
}
