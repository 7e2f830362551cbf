//! The planner's turns while this entry has one.

use sapphire_net::clock;
use sapphire_planner::{self as planner, event::Moment};

use super::{Role, Work};
use crate::reactor;

impl Role {
    pub(super) fn planner_event(&mut self, now: Moment, event: planner::event::Event) {
        if let Some(planner) = &mut self.planner {
            let began = clock::now();
            planner.apply(now, event);
            self.meter.event(clock::now().saturating_sub(began));
        }
    }

    /// Has the planner do what follows from the events that it was told.
    pub(super) fn settle(&mut self) {
        let now = reactor::now();
        let Some(planner) = &mut self.planner else { return };
        let passes = planner.load().passes;
        let effects = planner.advance(now);
        let load = planner.load();
        let end = clock::now();
        let took = end.saturating_sub(now.steady);
        let is_pass = load.passes > passes;
        if is_pass {
            planner.record_pass_duration(end, took);
        }
        self.meter.turn(took, is_pass);
        if is_pass {
            self.time("pass", took);
        }
        if let Some(line) = self.meter.line(end, load) {
            self.levels.info("plan", &line);
        }
        self.perform(now, effects.into_iter().map(Work::Planner).collect());
    }
}
