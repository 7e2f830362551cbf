//! Deployments to simulate: workers and kinds of jobs, fitted to the users' tables.

use std::time::Duration;

use sapphire_jobs::resources::Resources;

use super::{
    conditions::Conditions,
    load::{Kind, Site},
};

const fn resources(millicores: u64, memory_mib: u64, accelerators: u64) -> Resources {
    Resources { millicores, memory_mib, accelerators }
}

/// Atlântica, which reviews doctoral theses.
pub const ATLANTICA: Site = Site {
    name: "atlantica",
    workers: &[4, 4, 3],
    workers_per_rack: 3,
    capacity: resources(64_000, 262_144, 8),
    burst: (1, 2.3, 6.0),
    conditions: Conditions::EQUAL,
    kinds: &[
        Kind {
            name: "committee",
            priority: 1,
            rate: 0.56,
            value: (3.0, 0.3),
            width: (1.5, 9.0),
            run_time: (6.8, 0.3, 11.0),
            resources: resources(26_000, 110_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.6,
            checkpoint_share: 0.45,
            estimate_error: 0.2,
            slack: (3.0, 1.2),
            max_attempts: 3,
            failure_shares: (0.05, 0.03),
            cancelled_share: 0.05,
        },
        Kind {
            name: "check",
            priority: 0,
            rate: 0.41,
            value: (4.0, 0.8),
            width: (3.4, 21.0),
            run_time: (2.5, 0.5, 8.0),
            resources: resources(7_500, 39_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.8,
            checkpoint_share: 0.0,
            estimate_error: 0.5,
            slack: (1.5, 0.5),
            max_attempts: 2,
            failure_shares: (0.005, 0.0),
            cancelled_share: 0.0,
        },
        Kind {
            name: "dossier",
            priority: 2,
            rate: 0.17,
            value: (1.0, 0.1),
            width: (9.2, 55.0),
            run_time: (9.5, 0.3, 11.0),
            resources: resources(5_600, 23_000, 0),
            accelerators: &[1],
            one_rack_share: 0.0,
            checkpoint_share: 0.45,
            estimate_error: 0.5,
            slack: (3.0, 3.0),
            max_attempts: 3,
            failure_shares: (0.02, 0.01),
            cancelled_share: 0.15,
        },
    ],
};

/// Pastizal, which estimates biomass.
pub const PASTIZAL: Site = Site {
    name: "pastizal",
    workers: &[4, 4, 3],
    workers_per_rack: 3,
    capacity: resources(128_000, 524_288, 8),
    burst: (1, 2.3, 6.0),
    conditions: Conditions::EQUAL,
    kinds: &[
        Kind {
            name: "canopy",
            priority: 1,
            rate: 0.50,
            value: (3.0, 0.9),
            width: (1.5, 9.0),
            run_time: (8.5, 0.3, 13.0),
            resources: resources(52_000, 220_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.6,
            checkpoint_share: 0.45,
            estimate_error: 0.2,
            slack: (3.0, 1.2),
            max_attempts: 4,
            failure_shares: (0.03, 0.02),
            cancelled_share: 0.05,
        },
        Kind {
            name: "quick",
            priority: 0,
            rate: 0.65,
            value: (4.0, 0.8),
            width: (3.4, 21.0),
            run_time: (2.5, 0.5, 8.0),
            resources: resources(15_000, 78_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.8,
            checkpoint_share: 0.0,
            estimate_error: 0.5,
            slack: (1.5, 0.5),
            max_attempts: 3,
            failure_shares: (0.005, 0.0),
            cancelled_share: 0.0,
        },
        Kind {
            name: "growth",
            priority: 2,
            rate: 0.30,
            value: (1.0, 0.3),
            width: (9.2, 55.0),
            run_time: (6.1, 0.3, 8.0),
            resources: resources(11_000, 46_000, 0),
            accelerators: &[1],
            one_rack_share: 0.0,
            checkpoint_share: 0.45,
            estimate_error: 0.5,
            slack: (3.0, 3.0),
            max_attempts: 3,
            failure_shares: (0.02, 0.01),
            cancelled_share: 0.15,
        },
    ],
};

const COMMITTEE: Kind = Kind {
    name: "committee",
    priority: 1,
    rate: 0.74,
    value: (3.0, 0.3),
    width: (5.2, 31.0),
    run_time: (8.5, 0.3, 11.0),
    resources: resources(26_000, 53_000, 0),
    accelerators: &[1, 2, 4, 8, 8],
    one_rack_share: 0.6,
    checkpoint_share: 0.45,
    estimate_error: 0.5,
    slack: (3.0, 1.2),
    max_attempts: 3,
    failure_shares: (0.02, 0.01),
    cancelled_share: 0.05,
};

const CHECK: Kind = Kind {
    name: "check",
    priority: 0,
    rate: 1.01,
    value: (4.0, 0.8),
    width: (5.4, 32.0),
    run_time: (2.5, 0.5, 8.0),
    resources: resources(7_500, 15_000, 0),
    accelerators: &[1, 2, 4, 8, 8],
    one_rack_share: 0.8,
    checkpoint_share: 0.0,
    estimate_error: 0.2,
    slack: (1.5, 0.5),
    max_attempts: 4,
    failure_shares: (0.05, 0.0),
    cancelled_share: 0.0,
};

const DOSSIER: Kind = Kind {
    name: "dossier",
    priority: 2,
    rate: 0.23,
    value: (1.0, 0.1),
    width: (39.0, 230.0),
    run_time: (9.5, 0.3, 11.0),
    resources: resources(5_600, 11_000, 0),
    accelerators: &[1],
    one_rack_share: 0.0,
    checkpoint_share: 0.45,
    estimate_error: 0.5,
    slack: (3.0, 3.0),
    max_attempts: 4,
    failure_shares: (0.02, 0.01),
    cancelled_share: 0.15,
};

/// Atlântica after growth: nearly five times the workers, steps of up to hundreds of tasks.
pub const ATLANTICA_GROWN: Site = Site {
    name: "atlantica-grown",
    workers: &[17, 17, 16],
    workers_per_rack: 4,
    capacity: resources(64_000, 131_072, 8),
    burst: (1, 2.0, 6.0),
    conditions: Conditions::EQUAL,
    kinds: &[COMMITTEE, CHECK, DOSSIER],
};

/// Atlântica's large deployment: 160 workers, whose capacity is exceeded during bursts.
pub const ATLANTICA_LARGE: Site = Site {
    name: "atlantica-large",
    workers: &[54, 53, 53],
    workers_per_rack: 8,
    burst: (2, 2.6, 4.0),
    kinds: &[
        Kind { rate: 1.02, width: (13.0, 76.0), ..COMMITTEE },
        Kind { rate: 3.26, width: (5.3, 32.0), ..CHECK },
        Kind { rate: 0.80, width: (38.0, 230.0), ..DOSSIER },
    ],
    ..ATLANTICA_GROWN
};

/// Mavuno, which issues vouchers: declared run times are far too high or far too low.
pub const MAVUNO: Site = Site {
    name: "mavuno",
    workers: &[4, 4, 3],
    workers_per_rack: 3,
    capacity: resources(128_000, 524_288, 8),
    burst: (1, 2.2, 6.0),
    conditions: Conditions::EQUAL,
    kinds: &[
        Kind {
            name: "recon",
            priority: 1,
            rate: 0.45,
            value: (3.0, 1.5),
            width: (1.5, 9.0),
            run_time: (8.5, 0.3, 11.0),
            resources: resources(52_000, 220_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.6,
            checkpoint_share: 0.45,
            estimate_error: 0.9,
            slack: (3.0, 1.2),
            max_attempts: 3,
            failure_shares: (0.02, 0.0),
            cancelled_share: 0.05,
        },
        Kind {
            name: "issue",
            priority: 0,
            rate: 0.41,
            value: (4.0, 0.8),
            width: (3.4, 21.0),
            run_time: (2.5, 0.5, 8.0),
            resources: resources(15_000, 61_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.8,
            checkpoint_share: 0.0,
            estimate_error: 0.9,
            slack: (1.5, 0.5),
            max_attempts: 4,
            failure_shares: (0.02, 0.0),
            cancelled_share: 0.0,
        },
        Kind {
            name: "claim",
            priority: 2,
            rate: 0.17,
            value: (1.0, 0.5),
            width: (9.2, 55.0),
            run_time: (9.5, 0.3, 11.0),
            resources: resources(11_000, 59_000, 0),
            accelerators: &[1],
            one_rack_share: 0.0,
            checkpoint_share: 0.45,
            estimate_error: 0.5,
            slack: (3.0, 3.0),
            max_attempts: 3,
            failure_shares: (0.005, 0.01),
            cancelled_share: 0.15,
        },
    ],
};

/// Workers whose speeds differ widely: a third takes more than twice as long as the others. Ten
/// organisations, the largest of which submits 16 times as much as the smallest.
pub const WIDE_SPEEDS: Site = Site {
    name: "wide-speeds",
    workers: &[19, 18, 18],
    workers_per_rack: 4,
    capacity: resources(64_000, 131_072, 8),
    burst: (1, 2.0, 6.0),
    conditions: Conditions {
        slowness: &[0.7, 0.7, 1.7],
        long_tasks: (0.03, 7.0),
        restoration: Duration::from_millis(600),
        organisations: 10,
        demand_exponent: Some(1.2),
    },
    kinds: &[
        Kind {
            name: "training",
            priority: 1,
            rate: 0.52,
            value: (3.0, 1.5),
            width: (6.0, 36.0),
            run_time: (9.4, 0.3, 13.0),
            resources: resources(26_000, 68_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.6,
            checkpoint_share: 0.45,
            estimate_error: 0.2,
            slack: (3.0, 1.2),
            max_attempts: 3,
            failure_shares: (0.02, 0.01),
            cancelled_share: 0.05,
        },
        Kind {
            name: "interactive",
            priority: 0,
            rate: 1.22,
            value: (4.0, 0.8),
            width: (5.0, 30.0),
            run_time: (2.1, 0.5, 7.0),
            resources: resources(7_500, 20_000, 0),
            accelerators: &[1, 2, 4, 8, 8],
            one_rack_share: 0.8,
            checkpoint_share: 0.0,
            estimate_error: 0.2,
            slack: (1.5, 0.5),
            max_attempts: 3,
            failure_shares: (0.005, 0.0),
            cancelled_share: 0.0,
        },
        Kind {
            name: "sweep",
            priority: 2,
            rate: 0.28,
            value: (1.0, 0.5),
            width: (39.0, 230.0),
            run_time: (6.5, 0.3, 8.5),
            resources: resources(5_600, 11_000, 0),
            accelerators: &[1],
            one_rack_share: 0.0,
            checkpoint_share: 0.45,
            estimate_error: 0.2,
            slack: (3.0, 3.0),
            max_attempts: 3,
            failure_shares: (0.02, 0.01),
            cancelled_share: 0.15,
        },
    ],
};

/// Workers whose speeds differ little: a third takes 1.3 times as long as the others. Declared run
/// times are far too high or far too low.
pub const NARROW_SPEEDS: Site = Site {
    name: "narrow-speeds",
    workers: &[24, 23, 23],
    workers_per_rack: 5,
    capacity: resources(128_000, 524_288, 8),
    conditions: Conditions {
        slowness: &[1.0, 1.0, 1.3],
        long_tasks: (0.0, 1.0),
        ..WIDE_SPEEDS.conditions
    },
    kinds: &[
        Kind {
            name: "render",
            rate: 0.51,
            value: (3.0, 0.9),
            width: (7.0, 42.0),
            run_time: (11.0, 0.3, 15.0),
            resources: resources(52_000, 220_000, 0),
            estimate_error: 0.9,
            ..WIDE_SPEEDS.kinds[0]
        },
        Kind {
            name: "preview",
            rate: 1.5,
            run_time: (2.5, 0.5, 8.0),
            resources: resources(15_000, 78_000, 0),
            estimate_error: 0.5,
            ..WIDE_SPEEDS.kinds[1]
        },
        Kind {
            name: "index",
            rate: 0.44,
            value: (1.0, 0.3),
            run_time: (6.1, 0.3, 8.0),
            resources: resources(11_000, 46_000, 0),
            estimate_error: 0.9,
            ..WIDE_SPEEDS.kinds[2]
        },
    ],
    ..WIDE_SPEEDS
};
