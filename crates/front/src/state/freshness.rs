//! What is known of the configuration.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::catalog::Catalog;

/// What is known of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Time at which there was certainly none newer than this configuration.
    pub(crate) proven: Option<Duration>,
    pub(crate) is_reading: bool,
    pub(crate) is_proving: bool,
    pub(crate) is_watching: bool,
    pub(crate) read_at: Duration,
    pub(crate) prove_at: Duration,
    pub(crate) watch_at: Duration,
    /// Highest revision that is known to exist.
    pub(crate) heard: u64,
    /// Revision of the store up to which changes of the configuration are known; 0 when only a
    /// proof can tell.
    pub(crate) watched: u64,
}

impl Freshness {
    /// Revision of the configuration in force; 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.revision)
    }

    /// Whether there is a newer one than that in force.
    pub(crate) fn is_behind(&self) -> bool {
        self.heard > self.revision()
    }

    /// Age of the proof.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }
}
