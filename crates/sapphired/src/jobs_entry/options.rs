//! Options of the entry's two state machines, from the settings.

use std::time::Duration;

use sapphire_front as front;
use sapphire_jobs::footprint::Budget;
use sapphire_plan::{policy::Policy, share, speed, stops};
use sapphire_planner::{self as planner, event::Moment};
use sapphire_platform as platform;
use sapphire_runner as runner;
use sapphire_settings::JobEntry;

/// Share of the platform's longest lease that is granted to minions. With a longer lease, less work is
/// lost and started again while an agent can't be reached; with a shorter one, the tasks of a lost minion
/// can be restarted sooner.
const LEASE_SHARE: f64 = 0.9;
/// Longest lease that is granted to minions.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// Options of the front.
pub(super) fn front(settings: &JobEntry, started: Moment) -> front::options::Options {
    let bounds = settings.bounds.unwrap_or_default();
    let generation = u64::try_from(started.unix.as_micros()).unwrap_or(u64::MAX);
    let seed =
        settings.name.bytes().fold(generation, |sum, byte| sum * 31 % 65_521 + u64::from(byte));
    front::options::Options {
        name: settings.name.clone(),
        address: settings.address.clone(),
        generation,
        entries: settings.entries.clone(),
        catalog_key: platform::store::CONFIGURATION.to_owned(),
        read_catalog: platform::config::read,
        revocation: Duration::from_millis(bounds.revocation_ms),
        leader_lease: Duration::from_millis(bounds.store_lease_ms).max(MIN_LEADER_LEASE),
        retention: Duration::from_millis(bounds.status_ms),
        max_tombstones: settings.max_tombstones as usize,
        job_tasks: settings.job_tasks.into(),
        gang_tasks: Budget::new(settings.job_memory).runs,
        seed,
    }
}

/// Minimum duration of the leader lease. After the loss of a planner, no task is placed for about
/// this time; a shorter lease would be lost whenever the store is slow.
const MIN_LEADER_LEASE: Duration = Duration::from_millis(1_300);

/// Options of the planner.
pub(super) fn planner(settings: &JobEntry) -> planner::options::Options {
    let bounds = settings.bounds.unwrap_or_default();
    let millis = Duration::from_millis;
    planner::options::Options {
        name: settings.name.clone(),
        lease: millis(bounds.lease_limit_ms).mul_f64(LEASE_SHARE).min(MAX_LEASE),
        longest_lease: millis(bounds.lease_limit_ms),
        clock_drift_milli: runner::options::CLOCK_DRIFT_MILLI,
        stop_timeout: millis(bounds.stop_ms),
        status_retention: millis(bounds.status_ms),
        reclaim_deadline: millis(bounds.reclaim_ms),
        remote_factor: bounds.remote_factor,
        policy: settings.policy.map_or_else(Policy::default, policy),
        speeds: speed::Options {
            unequal_from: settings.speeds.map(|speeds| ratio(speeds.unequal_from_milli)),
        },
        shares: settings.shares.map(|shares| share::Options { window: millis(shares.window_ms) }),
        stops: settings.stops.map(|stops| stops::Options { limit: ratio(stops.limit_milli) }),
        has_inventory: !settings.inventory.is_empty(),
        calls_outlive_incarnations: settings.calls_outlive_incarnations,
        cordon_prefix: platform::cordon::PREFIX.to_owned(),
        read_cordon: platform::cordon::read,
        cordon_deadline: millis(bounds.cordon_ms),
        cancel_deadline: millis(bounds.cancel_ms),
        job_memory: settings.job_memory,
    }
}

/// Returns the ratio that settings give in thousandths.
fn ratio(milli: u32) -> f64 {
    f64::from(milli) / 1_000.0
}

fn policy(settings: sapphire_settings::Policy) -> Policy {
    Policy {
        learn_times: settings.learn_times,
        learn_siblings: settings.learn_siblings,
        keep_checkpoints: settings.keep_checkpoints,
        keep_times: settings.keep_times,
        reserve_room: settings.reserve_room,
        count_waves: settings.count_waves,
        limit_urgent: settings.limit_urgent,
        weigh_waits: settings.weigh_waits,
        weigh_lateness: settings.weigh_lateness,
        spare_workers: settings.spare_workers,
        wait_for_rack: settings.wait_for_rack,
        prefer_pressing: settings.prefer_pressing,
        move_slow: settings.move_slow,
        move_still: settings.move_still,
        doubt_workers: settings.doubt_workers,
    }
}
