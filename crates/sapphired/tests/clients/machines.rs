//! The shares of the interfaces on the machines of the deployments.

use sapphire_net::message::{self, CONNECTION_BYTES, Limits};
use sapphire_settings::ProcessLimits;

use crate::{
    daemon,
    shares::{self, Shares},
};

/// Memory in bytes and descriptors of machines.
const MACHINES: [(u64, u32); 5] = [
    (128 << 20, 4_096),
    (160 << 20, 4_100),
    (260 << 20, 4_100),
    (384 << 20, 4_100),
    (512 << 20, 8_192),
];
/// Descriptors that are kept for files on a machine of a deployment.
const FILES: usize = 200;

/// Largest body in bytes that the settings allow at the product's own interface.
const MAX_HTTP_BODY: usize = 8 << 20;

/// Most memory in bytes that an interface takes.
fn memory(limits: &Limits) -> usize {
    limits.memory_bytes + limits.connections * (CONNECTION_BYTES + limits.receive_bytes)
}

fn interfaces(shares: &Shares) -> [Vec<Limits>; 3] {
    [
        vec![shares.callers(), shares.entry_internal(), shares.probes(), shares.probes()],
        vec![shares.minion(), shares.agent_internal(), shares.probes()],
        vec![shares.http(MAX_HTTP_BODY, message::refusal)],
    ]
}

/// Guards against interfaces whose limits add up to more than the machine has.
#[test]
fn interfaces_leave_a_part_of_each_machine() {
    let other = [64, 96, 128, 1_024].map(|mib| (mib << 20, 4_096));
    let test = (daemon::MEMORY, u32::try_from(daemon::DESCRIPTORS).expect("a small number"));
    let deployed = MACHINES.map(|machine| (machine, true)).into_iter();
    let others = other.into_iter().chain([test]).map(|machine| (machine, false));
    for (machine, is_deployed) in deployed.chain(others) {
        let (memory_bytes, descriptors) = machine;
        let shares = Shares::new(&ProcessLimits { memory_bytes, descriptors });
        for role in interfaces(&shares) {
            let taken: usize = role.iter().map(memory).sum();
            assert!(taken as u64 <= memory_bytes / 8 * 7, "{machine:?}: {taken} bytes, {role:?}");
            let connections: usize = role.iter().map(|limits| limits.connections).sum();
            let files = if is_deployed { FILES } else { 0 };
            let sockets = descriptors as usize - files;
            assert!(connections <= sockets / 4 * 3, "{machine:?}: {connections}, {role:?}");
            assert!(role.iter().all(|limits| limits.memory_bytes > limits.body_bytes));
        }
    }
}

/// Guards against limits of the operators with which nobody could submit a job, or that the shares of an
/// interface don't allow for.
#[test]
fn the_operators_limit_of_bodies_is_kept_within_bounds() {
    let limits = [None, Some(0), Some(262_144), Some(u64::MAX)].map(shares::caller_body);
    assert_eq!(limits, [1 << 20, 16 << 10, 262_144, 1 << 20]);
}
