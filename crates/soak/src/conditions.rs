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
        }
    }
}
