//! What the store is like, and the links that lead to it.

use std::time::Duration;

/// Longest time for which the platform's store holds a watch.
const LONGEST_WATCH: Duration = Duration::from_secs(30);

/// What the store is like, and the links that lead to it.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Routes of the configuration beside the one that is used.
    pub idle_routes: usize,
    /// Bytes a second that each entry gets from the store; none for as many as it can take.
    pub link: Option<u32>,
    /// How long the store keeps its history; none for ever.
    pub history: Option<Duration>,
    /// Longest time for which the store holds a watch.
    pub watch: Duration,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions { idle_routes: 0, link: None, history: None, watch: LONGEST_WATCH }
    }
}
