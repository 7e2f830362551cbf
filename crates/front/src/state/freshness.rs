//! State of the active configuration and of the checks that it is the newest.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::catalog::Catalog;

/// The active configuration and what is known about newer ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// Active configuration; none until the first one was read.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Latest time at which no configuration newer than the active one existed, as verified.
    pub(crate) verified_at: Option<Duration>,
    /// A read of the configuration is in progress.
    pub(crate) is_reading: bool,
    /// A freshness check is in progress.
    pub(crate) is_checking: bool,
    /// A watch of the configuration is in progress.
    pub(crate) is_watching: bool,
    /// Earliest time of the next read.
    pub(crate) read_at: Duration,
    /// Earliest time of the next freshness check.
    pub(crate) check_at: Duration,
    /// Earliest time of the next watch.
    pub(crate) watch_at: Duration,
    /// Highest revision of the configuration that is known to exist.
    pub(crate) newest: u64,
    /// Revision of the store up to which all changes of the configuration are known, where the next
    /// watch starts; 0 when only a freshness check can find it out.
    pub(crate) watch_from: u64,
}

impl Freshness {
    /// Revision of the active configuration; 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.revision)
    }

    /// Whether a configuration newer than the active one is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest > self.revision()
    }

    /// Time since the active configuration was last verified to be the newest.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.verified_at.map(|verified_at| now.saturating_sub(verified_at))
    }
}
