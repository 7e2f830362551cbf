//! Bounds in time that a deployment sets.

use std::time::Duration;

/// Bounds in time of a deployment. Those that are not here are the same in all deployments.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Name of the set.
    pub name: &'static str,
    /// Lease that the planner grants.
    pub lease: Duration,
    /// Longest lease that planners, agents and minions reckon with, and of minions with slow clocks.
    pub longest_lease: Duration,
    pub(crate) longest_slow_lease: Duration,
    /// Time after the cancellation of a job in which its tasks may still start.
    pub cancel: Duration,
    /// Time for which a member of a gang waits for the others.
    pub gang: Duration,
    /// Time that a stop may take, and the time that it takes.
    pub stop: Duration,
    pub(crate) stop_delay: Duration,
    /// Time after a minion has reported that it drains in which tasks may still start on it.
    pub drain: Duration,
    /// Time without a fault after which a process is in touch.
    pub contact: Duration,
    /// Time within which the tasks of an urgent job start.
    pub reclaim: Duration,
    /// Time that a run takes at least to restore a checkpoint.
    pub restoration: Duration,
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The set of all days that name no other one. It occurs in no deployment: the longest lease is no longer than the one
/// that is granted.
pub const DEFAULT: Bounds = Bounds {
    name: "default",
    lease: millis(6_000),
    longest_lease: millis(6_000),
    longest_slow_lease: millis(10_000),
    cancel: millis(3_000),
    gang: millis(3_000),
    stop: millis(400),
    stop_delay: millis(250),
    drain: millis(2_500),
    contact: millis(4_000),
    reclaim: millis(2_900),
    restoration: Duration::ZERO,
};

/// Bounds of small deployments; the planner grants nine tenths of the longest lease, and 6 s at most.
const SMALL_SHORT: Bounds = Bounds {
    name: "small-short",
    lease: millis(5_400),
    longest_slow_lease: millis(6_000),
    restoration: millis(100),
    ..DEFAULT
};

/// Bounds of deployments that have grown.
const GROWN_SHORT: Bounds = Bounds {
    name: "grown-short",
    cancel: millis(4_000),
    gang: millis(4_000),
    drain: millis(4_000),
    contact: millis(5_000),
    restoration: millis(250),
    ..SMALL_SHORT
};

/// All sets of bounds.
pub const BOUNDS: &[Bounds] = &[
    DEFAULT,
    SMALL_SHORT,
    Bounds { name: "small-long", restoration: millis(250), ..long(SMALL_SHORT) },
    GROWN_SHORT,
    Bounds { name: "grown-short-stop", ..short_stop(GROWN_SHORT) },
    Bounds { name: "grown-long", restoration: millis(100), ..long(GROWN_SHORT) },
    Bounds { name: "grown-long-stop", restoration: millis(600), ..long(short_stop(GROWN_SHORT)) },
    Bounds {
        name: "large-long",
        cancel: millis(5_000),
        gang: millis(5_000),
        drain: millis(5_000),
        restoration: millis(100),
        ..long(GROWN_SHORT)
    },
];

/// The same with the long lease.
const fn long(bounds: Bounds) -> Bounds {
    Bounds {
        lease: millis(6_000),
        longest_lease: millis(10_000),
        longest_slow_lease: millis(10_000),
        ..bounds
    }
}

/// The same with stops that take less time.
const fn short_stop(bounds: Bounds) -> Bounds {
    Bounds { stop: millis(200), stop_delay: millis(125), reclaim: millis(2_700), ..bounds }
}

/// Looks up a set of bounds.
pub fn bounds(name: &str) -> Option<&'static Bounds> {
    BOUNDS.iter().find(|it| it.name == name)
}

/// Returns the set with a name, or each of a deployment for `all`. Panics if there is none.
pub fn selected(name: &str) -> Vec<&'static Bounds> {
    match name {
        "all" => BOUNDS.iter().filter(|it| it.name != DEFAULT.name).collect(),
        name => vec![bounds(name).expect("the set of bounds is known")],
    }
}
