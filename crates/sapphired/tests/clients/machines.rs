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

/// Memory in bytes that the program takes beside its interfaces and the jobs.
const PROGRAM: u64 = 4 << 20;

/// Guards against a planner that exceeds its machine with jobs that are within their limit, while its
/// interfaces take all that theirs allow.
#[test]
fn interfaces_and_jobs_fit_on_each_machine() {
    let test = (daemon::MEMORY, u32::try_from(daemon::DESCRIPTORS).expect("a small number"));
    for (memory_bytes, descriptors) in MACHINES.into_iter().chain([test]) {
        let head = "platform: kv\nname: e\nregion: r\nzone: z\naddress: 127.0.0.1:1\n\
                    callers: 127.0.0.1:2\nready: 127.0.0.1:3\nstore: 127.0.0.1:4\nlimits:\n";
        let text = format!("{head}  memory: {}MiB\n", memory_bytes >> 20);
        let settings = sapphire_settings::jobs::read_entry(&text).expect("they are valid");
        let shares = Shares::new(&ProcessLimits { memory_bytes, descriptors });
        let [entry, ..] = interfaces(&shares);
        let interfaces: usize = entry.iter().map(memory).sum();
        let all = interfaces as u64 + settings.job_memory + PROGRAM;
        assert!(all <= memory_bytes, "{memory_bytes}: {interfaces} and {}", settings.job_memory);
    }
}

/// Guards against limits of the operators with which nobody could submit a job, or that the shares of an
/// interface don't allow for.
#[test]
fn the_operators_limit_of_bodies_is_kept_within_bounds() {
    let limits = [None, Some(0), Some(262_144), Some(u64::MAX)].map(shares::caller_body);
    assert_eq!(limits, [1 << 20, 16 << 10, 262_144, 1 << 20]);
}
