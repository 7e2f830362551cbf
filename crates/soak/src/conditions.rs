//! Conditions of the platform's store, of the links to it, and of the minions.

use std::time::Duration;

/// Longest time for which the platform's store holds a watch.
const MAX_WATCH: Duration = Duration::from_secs(30);

/// Conditions of the platform's store, of the links to it, and of the minions.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Routes of the configuration that get no jobs; they only make the configuration larger.
    pub idle_routes: usize,
    /// Bytes per second that each entry receives from the store at most; `None` for no limit.
    pub link: Option<u32>,
    /// Time for which the store keeps its history of changes; `None` for ever.
    pub history: Option<Duration>,
    /// Longest time for which the store holds a watch.
    pub watch: Duration,
    /// Whether each list of the platform and of the minions has odd rows of another writer.
    pub has_odd_rows: bool,
    /// Whether a minion carries out calls that an earlier incarnation of it has received. The settings of
    /// the entries say so.
    pub calls_outlive_incarnations: bool,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// Bounds of the deployment, in milliseconds. The settings of the processes and the minions have the
/// same ones; the checks go by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease of a run.
    pub lease_limit: u32,
    /// Time from the acknowledgement of a cancellation from which on no task is started.
    pub cancel: u32,
    /// Time within which a task has to end after that.
    pub stop: u32,
    /// Time for which a gang member waits for the others before it ends.
    pub gang: u32,
    /// Time that a run with a checkpoint takes to restore it.
    pub restore: u32,
    /// Time within which guaranteed resources are reclaimed.
    pub reclaim: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds::new([10_000, 3_000, 400, 3_000, 250, 2_900])
    }
}

impl Bounds {
    /// The sets of bounds of the platform's deployments.
    const DEPLOYED: [[u32; 6]; 8] = [
        [10_000, 3_000, 400, 3_000, 250, 2_900],
        [10_000, 3_000, 400, 3_000, 100, 2_900],
        [10_000, 4_000, 400, 4_000, 100, 2_900],
        [10_000, 4_000, 200, 4_000, 600, 2_700],
        [10_000, 5_000, 400, 5_000, 100, 2_900],
        [6_000, 3_000, 400, 3_000, 100, 2_900],
        [6_000, 4_000, 400, 4_000, 250, 2_900],
        [6_000, 4_000, 200, 4_000, 250, 2_700],
    ];

    const fn new([lease_limit, cancel, stop, gang, restore, reclaim]: [u32; 6]) -> Self {
        Bounds { lease_limit, cancel, stop, gang, restore, reclaim }
    }

    /// Returns the set of a deployment, by the seed.
    pub fn of_seed(seed: u64) -> Self {
        let count = Bounds::DEPLOYED.len() as u64;
        Bounds::new(Bounds::DEPLOYED[(seed % count) as usize])
    }
}

/// Returns a bound as a duration.
pub(crate) fn millis(bound: u32) -> Duration {
    Duration::from_millis(u64::from(bound))
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            idle_routes: 0,
            link: None,
            history: None,
            watch: MAX_WATCH,
            has_odd_rows: false,
            calls_outlive_incarnations: true,
            bounds: Bounds::default(),
        }
    }
}
