//! How much of its time an entry spends on planning, second by second.

use std::time::Duration;

use sapphire_planner::load::Load;

/// Time that one line covers.
const SPAN: Duration = Duration::from_secs(1);

/// Sums since the last line.
#[derive(Debug, Default)]
pub(super) struct Meter {
    since: Duration,
    before: Load,
    turns: u64,
    busy: Duration,
    in_passes: Duration,
    longest: Duration,
}

impl Meter {
    /// Notes the time that a planner took for an event.
    pub(super) fn event(&mut self, took: Duration) {
        self.busy += took;
    }

    /// Notes the time that a planner took for what follows from a turn's events, and whether it
    /// made a pass.
    pub(super) fn turn(&mut self, took: Duration, is_pass: bool) {
        self.turns += 1;
        self.busy += took;
        if is_pass {
            self.in_passes += took;
            self.longest = self.longest.max(took);
        }
    }

    /// The line for what has been noted, once it covers long enough.
    pub(super) fn line(&mut self, now: Duration, load: Load) -> Option<String> {
        if load.events < self.before.events {
            // Another term has begun.
            self.before = Load::default();
        }
        let span = now.saturating_sub(self.since);
        if span < SPAN {
            return None;
        }
        let Load { events, passes, waiting, tried, searches } = load;
        let before = self.before;
        let line = format!(
            "load ms={} events={} turns={} busy_ms={} passes={} pass_ms={} longest_ms={} \
             waiting={waiting} tried={} searches={}",
            span.as_millis(),
            events - before.events,
            self.turns,
            self.busy.as_millis(),
            passes.saturating_sub(before.passes),
            self.in_passes.as_millis(),
            self.longest.as_millis(),
            tried.saturating_sub(before.tried),
            searches.saturating_sub(before.searches),
        );
        *self = Meter { since: now, before: load, ..Meter::default() };
        Some(line)
    }
}
