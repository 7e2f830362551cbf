//! Reports the callers that met a limit: as counters, and as log lines at a limited rate.

use std::time::Duration;

use cadence::{Counted as _, StatsdClient};
use sapphire_net::turned_away::TurnedAway;

use crate::logging;

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Callers that have been turned away since the last log line.
#[derive(Debug, Default)]
pub struct Report {
    unlogged: TurnedAway,
    logged_at: Option<Duration>,
}

impl Report {
    /// Counts callers and logs them, at most once in [`LOG_INTERVAL`].
    pub fn report(
        &mut self,
        now: Duration,
        counts: TurnedAway,
        metrics: &StatsdClient,
        logger: &logging::Logger,
    ) {
        for (reason, count) in counts.by_reason() {
            // A metric that can't be recorded is not worth an error.
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let _ = metrics.count(&format!("turned_away.{reason}"), count);
        }
        self.unlogged.add(counts);
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        if let Some(line) = logging::turned_away(&self.unlogged) {
            logger.info("net", &line);
            self.logged_at = Some(now);
            self.unlogged = TurnedAway::default();
        }
    }
}
