//! Measures how much of its time an entry spends on planning, for a log line every second.

use std::time::Duration;

use sapphire_planner::load::Load;

/// Shortest time that one line covers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Sums since the previous line.
#[derive(Debug, Default)]
pub(super) struct Meter {
    interval_start: Duration,
    /// The planner's counters at the previous line.
    previous: Load,
    turns: u64,
    busy: Duration,
    in_passes: Duration,
    longest_pass: Duration,
}

impl Meter {
    /// Records the time that the planner took for one event.
    pub(super) fn record_event(&mut self, took: Duration) {
        self.busy += took;
    }

    /// Records the time that the planner took for the consequences of a turn's events, and whether
    /// this included a pass.
    pub(super) fn record_turn(&mut self, took: Duration, is_pass: bool) {
        self.turns += 1;
        self.busy += took;
        if is_pass {
            self.in_passes += took;
            self.longest_pass = self.longest_pass.max(took);
        }
    }

    /// Returns the log line for what has been recorded and starts the next interval; none while the
    /// current interval is shorter than [`REPORT_INTERVAL`].
    pub(super) fn report(&mut self, now: Duration, load: Load) -> Option<String> {
        if load.events < self.previous.events {
            // The counters restart with each term.
            self.previous = Load::default();
        }
        let span = now.saturating_sub(self.interval_start);
        if span < REPORT_INTERVAL {
            return None;
        }
        let Load { events, passes, waiting, tried, searches, runs, left_out, .. } = load;
        let previous = self.previous;
        let line = format!(
            "load ms={} events={} turns={} busy_ms={} passes={} pass_ms={} longest_ms={} \
             waiting={waiting} tried={} searches={} runs={runs} left_out={left_out}",
            span.as_millis(),
            events - previous.events,
            self.turns,
            self.busy.as_millis(),
            passes.saturating_sub(previous.passes),
            self.in_passes.as_millis(),
            self.longest_pass.as_millis(),
            tried.saturating_sub(previous.tried),
            searches.saturating_sub(previous.searches),
        );
        *self = Meter { interval_start: now, previous: load, ..Meter::default() };
        Some(line)
    }
}
