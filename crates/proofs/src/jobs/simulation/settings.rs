//! Options of the processes, and the fake configuration.

use std::time::Duration;

use bytes::Bytes;
use sapphire_jobs::{
    catalog::{Catalog, Organisation, Parts, Queue, Service},
    cordon,
};
use sapphire_plan::policy::Policy;
use sapphire_planner as planner;
use sapphire_runner as runner;

use super::{bounds::Bounds, options::Features};
use crate::jobs::{load, sites};

/// Time for which the state of a job is kept after its end.
pub(super) const STATUS_RETENTION: Duration = Duration::from_secs(120);

pub(super) fn runner_options(
    agent: usize,
    process_generation: u64,
    bounds: &Bounds,
) -> runner::options::Options {
    runner::options::Options {
        name: format!("a{agent}"),
        address: format!("a{agent}"),
        generation: process_generation,
        entries: (0..3).map(|entry| format!("e{entry}")).collect(),
        minion_address: format!("m{agent}"),
        stop_timeout: bounds.stop,
        longest_lease: bounds.longest_lease,
    }
}

pub(super) fn planner_options(
    entry: usize,
    policy: Policy,
    features: Features,
    bounds: &Bounds,
) -> planner::options::Options {
    planner::options::Options {
        name: format!("e{entry}"),
        lease: bounds.lease,
        longest_lease: bounds.longest_lease,
        clock_drift_milli: 20,
        stop_timeout: bounds.stop,
        status_retention: STATUS_RETENTION,
        reclaim_deadline: bounds.reclaim,
        remote_factor: 3,
        policy,
        speeds: features.speeds,
        shares: features.shares,
        stops: features.stops,
        calls_outlive_incarnations: true,
        job_memory: 32 << 20,
        has_inventory: true,
        cordon_prefix: CORDONS.to_owned(),
        read_cordon,
        cordon_deadline: CORDON_DEADLINE,
        cancel_deadline: bounds.cancel,
    }
}

/// Prefix of the store's keys of cordons.
pub(super) const CORDONS: &str = "cordons/";
/// Time after the cordon of a zone from which on nothing may be started there.
pub(super) const CORDON_DEADLINE: Duration = Duration::from_secs(5);

/// Decodes a cordon, whose key names the zone.
fn read_cordon(key: &str, _value: &Bytes) -> cordon::Record {
    cordon::Record { zone: key.strip_prefix(CORDONS).map(str::to_owned), fault: None }
}

/// Number of organisations of the fake configuration: the most that any site has, and one more.
const ORGANISATIONS: u32 = 11;

/// Fake configuration, whatever the bytes: the queues of all sites, and organisations whose API key
/// is their name.
pub(super) fn read_catalog(_bytes: &Bytes, revision: u64) -> Result<Catalog, String> {
    let kinds = [
        sites::ATLANTICA,
        sites::PASTIZAL,
        sites::MAVUNO,
        sites::WIDE_SPEEDS,
        sites::NARROW_SPEEDS,
    ];
    let kinds = kinds.iter().flat_map(|site| site.kinds);
    let queue = |kind: &load::Kind| Queue {
        name: kind.name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.name),
        service: "desk".to_owned(),
        priority: kind.priority,
        max_attempts: kind.max_attempts,
        slack: kind.slack.0,
        target_latency: Duration::from_secs_f64(kind.slack.1),
        is_anonymous: false,
    };
    let organisation = |index: u32| Organisation {
        name: format!("o{index}"),
        keys: vec![format!("o{index}")],
        guaranteed_accelerators: 13,
    };
    Ok(Catalog::new(Parts {
        version: 1,
        revision,
        queues: kinds.map(queue).collect(),
        services: vec![Service { name: "desk".to_owned(), ..Service::default() }],
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        ..Parts::default()
    }))
}
