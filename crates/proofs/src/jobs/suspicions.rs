//! Draws troubles in which minions that live on resemble minions that have ended.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

use super::{
    days::{Change, choose},
    simulation::{
        delays::FleetWrites,
        suspicions::{Linger, Misread},
    },
};

/// Kinds of trouble on a day.
#[derive(Clone, Copy, Debug)]
pub struct Kinds {
    /// Listeners refuse connections for a moment while tasks run on.
    pub(super) has_refusals: bool,
    /// Minions go on after their deregistration.
    pub(super) has_lingering: bool,
    /// The inventory shows no minion in the place of those.
    pub(super) has_unlisted: bool,
    /// Reads return an old inventory.
    pub(super) has_old_inventory: bool,
    /// The inventory lacks minions that live on, or shows earlier ones.
    pub(super) has_lacking_inventory: bool,
    /// Orders are refused at the first try, and carried out at a later one.
    pub(super) has_refused_starts: bool,
    /// Minions crash, some with their VM and agent.
    pub(super) has_crashes: bool,
    /// Agents, planners, and the links between them handle nothing for some seconds while there is no fault.
    pub(super) has_held_agents: bool,
    pub(super) has_held_planners: bool,
    pub(super) has_held_links: bool,
    /// Answers to writes of the list of workers are late or lost while the store is calm otherwise.
    pub(super) has_slow_fleet_writes: bool,
}

impl Kinds {
    pub(super) const NONE: Kinds = Kinds {
        has_refusals: false,
        has_lingering: false,
        has_unlisted: false,
        has_old_inventory: false,
        has_lacking_inventory: false,
        has_refused_starts: false,
        has_crashes: false,
        has_held_agents: false,
        has_held_planners: false,
        has_held_links: false,
        has_slow_fleet_writes: false,
    };

    /// All but crashes and what is held up.
    pub(super) const ALL: Kinds = Kinds {
        has_refusals: true,
        has_lingering: true,
        has_unlisted: false,
        has_old_inventory: true,
        has_lacking_inventory: true,
        has_refused_starts: true,
        ..Kinds::NONE
    };
}

/// Draws the troubles of a day until `end`. Each kind has a random generator of its own, so that one kind doesn't
/// alter the draws of another.
pub(super) fn draw(kinds: Kinds, seed: u64, workers: usize, end: f64) -> Vec<(f64, Change)> {
    let generator = |kind: u64| Pcg32::seed_from_u64(seed ^ kind);
    let mut drawn = Vec::new();
    if kinds.has_refusals {
        drawn.extend(refusals(&mut generator(0x1a01), workers, end));
    }
    if kinds.has_lingering {
        let is_unlisted = kinds.has_unlisted;
        drawn.extend(lingering(&mut generator(0x1a02), workers, end, is_unlisted));
    }
    if kinds.has_old_inventory {
        drawn.extend(old_inventories(&mut generator(0x1a03), workers, end));
    }
    if kinds.has_lacking_inventory {
        drawn.extend(lacking_inventories(&mut generator(0x1a04), workers, end));
    }
    if kinds.has_refused_starts {
        let share = generator(0x1a05).random_range(0.2..0.5);
        drawn.extend([(3.0, Change::RefusedOrders(share)), (end, Change::RefusedOrders(0.0))]);
    }
    if kinds.has_crashes {
        drawn.extend(crashes(&mut generator(0x1a06), workers, end));
    }
    if kinds.has_held_agents {
        let hold = |worker, time, _: &mut Pcg32| Change::HoldUpAgent(worker, time);
        drawn.extend(hold_ups(&mut generator(0x1a07), workers, end, 14, hold));
    }
    if kinds.has_held_planners {
        let hold = |_, time, _: &mut Pcg32| Change::HoldUpPlanner(time);
        drawn.extend(hold_ups(&mut generator(0x1a08), workers, end, 3, hold));
    }
    if kinds.has_held_links {
        let hold = |worker, time, rng: &mut Pcg32| {
            let which = rng.random_range(0..3);
            Change::HoldUpLink(worker, time, which != 0, which != 1)
        };
        drawn.extend(hold_ups(&mut generator(0x1a09), workers, end, 14, hold));
    }
    if kinds.has_slow_fleet_writes {
        drawn.extend(slow_fleet_writes(&mut generator(0x1a0a), end));
    }
    drawn
}

/// Draws listeners that refuse connections, once or several times in succession.
fn refusals(rng: &mut Pcg32, workers: usize, end: f64) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    for _ in 0..12 {
        let (mut at, worker) = (rng.random_range(3.5..end), rng.random_range(0..workers));
        for _ in 0..rng.random_range(1..4) {
            let time = rng.random_range(0.02..2.0);
            drawn.push((at, Change::RefuseConnections(worker, time)));
            at += time + rng.random_range(0.02..1.0);
        }
    }
    drawn
}

/// Draws minions that drain and go on after their deregistration.
fn lingering(rng: &mut Pcg32, workers: usize, end: f64, is_unlisted: bool) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    for worker in choose(rng, workers, 0.6) {
        let (at, leaves_after) = (rng.random_range(4.0..end - 4.0), rng.random_range(0.5..3.5));
        let linger = Linger {
            time: Duration::from_secs_f64(rng.random_range(0.0..5.0)),
            refuses: rng.random_bool(0.5),
            has_heartbeats: rng.random_bool(0.3),
            is_unlisted,
        };
        drawn.push((at, Change::Drain(worker, leaves_after, linger)));
    }
    drawn
}

/// Draws what becomes of an agent while the inventory misleads: it is paused, cut off, or goes on.
fn silence(rng: &mut Pcg32, worker: usize, at: f64) -> Vec<(f64, Change)> {
    let (from, time) = (at + rng.random_range(-1.0..0.5), rng.random_range(1.0..5.5));
    match rng.random_range(0..5) {
        0 => Vec::new(),
        1 | 2 => vec![(from, Change::PauseAgent(worker, time))],
        _ => {
            let (begin, end) = (Change::Isolate(worker, true), Change::Isolate(worker, false));
            vec![(from, begin), (from + time, end)]
        }
    }
}

/// Draws spells in which the inventory is some seconds old, while minions are replaced by others and the agents of the
/// new ones fall silent.
fn old_inventories(rng: &mut Pcg32, workers: usize, end: f64) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    let mut at = rng.random_range(4.0..7.0);
    while at < end - 8.0 {
        let time = rng.random_range(4.0..9.0);
        drawn.push((at, Change::InventoryLag(rng.random_range(1.0..8.0))));
        drawn.push((at + time, Change::InventoryLag(0.0)));
        for worker in choose(rng, workers, 0.25) {
            let away = rng.random_range(0.2..2.0);
            let left = at + rng.random_range(-2.0..1.0);
            drawn.push((left, Change::RemoveMinion(worker, away)));
            let silent = left + away + rng.random_range(1.0..3.5);
            drawn.extend(silence(rng, worker, silent));
        }
        at += time + rng.random_range(0.5..3.0);
    }
    drawn
}

/// Draws spells in which the inventory lacks live minions, steadily or by turns; some of the VMs have run another
/// minion before.
fn lacking_inventories(rng: &mut Pcg32, workers: usize, end: f64) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    for worker in choose(rng, workers, 0.3) {
        let at = rng.random_range(3.0..8.0);
        drawn.push((at, Change::RemoveMinion(worker, rng.random_range(0.2..1.5))));
    }
    for _ in 0..12 {
        let (mut at, worker) = (rng.random_range(5.0..end), rng.random_range(0..workers));
        drawn.extend(silence(rng, worker, at));
        let misread = match rng.random_range(0..3) {
            0 => Misread::Row,
            1 => Misread::Minion,
            _ => Misread::Earlier,
        };
        let count = if rng.random_bool(0.5) { 1 } else { rng.random_range(2..5) };
        for _ in 0..count {
            drawn.push((at, Change::Misread(worker, Some(misread))));
            at += rng.random_range(1.0..6.0) / f64::from(count);
            drawn.push((at, Change::Misread(worker, None)));
            at += rng.random_range(0.1..0.8);
        }
    }
    drawn
}

/// Draws processes or links that are held up, once or several times in succession.
fn hold_ups(
    rng: &mut Pcg32,
    workers: usize,
    end: f64,
    count: usize,
    hold: impl Fn(usize, f64, &mut Pcg32) -> Change,
) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    for _ in 0..count {
        let (mut at, worker) = (rng.random_range(3.5..end), rng.random_range(0..workers));
        for _ in 0..rng.random_range(1..4) {
            let time = rng.random_range(1.0..5.0);
            drawn.push((at, hold(worker, time, rng)));
            at += time + rng.random_range(0.02..1.0);
        }
    }
    drawn
}

/// Draws spells in which answers to writes of the list of workers are late or lost.
fn slow_fleet_writes(rng: &mut Pcg32, end: f64) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    let mut at = rng.random_range(3.5..6.0);
    while at < end {
        let lost = if rng.random_bool(0.5) { rng.random_range(0.5..1.0) } else { 0.0 };
        let latency = Duration::from_millis(rng.random_range(100..600));
        let time = rng.random_range(2.0..6.0);
        drawn.push((at, Change::FleetWrites(Some(FleetWrites { latency, lost }))));
        drawn.push((at + time, Change::FleetWrites(None)));
        at += time + rng.random_range(0.5..3.0);
    }
    drawn
}

/// Draws minions that crash one at a time, every second one with its VM and agent.
fn crashes(rng: &mut Pcg32, workers: usize, end: f64) -> Vec<(f64, Change)> {
    let mut drawn = Vec::new();
    let mut at = rng.random_range(4.0..7.0);
    for (position, worker) in choose(rng, workers, 1.0).into_iter().enumerate() {
        if at >= end {
            break;
        }
        let change = if position % 2 == 0 {
            Change::RemoveMinion(worker, 3.0)
        } else {
            Change::RemoveWorker(worker, 3.0)
        };
        drawn.push((at, change));
        at += rng.random_range(2.5..4.5);
    }
    drawn
}
