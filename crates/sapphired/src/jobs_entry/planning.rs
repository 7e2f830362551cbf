//! Passes events to the planner while this entry plans, and runs its turns.

use std::time::Duration;

use cadence::Gauged as _;
use sapphire_net::clock;
use sapphire_planner::{
    self as planner, delay, event::Moment, inventory, lease, load::Load, loss, table::Table, wait,
};

use super::{Role, Work};
use crate::reactor;

impl Role {
    /// Applies an event to the planner without its consequences, which follow at the end of the
    /// turn. Does nothing while this entry does not plan.
    pub(super) fn handle_planner_event(&mut self, now: Moment, event: planner::event::Event) {
        if let Some(planner) = &mut self.planner {
            let started = clock::now();
            planner.apply(now, event);
            self.meter.record_event(clock::now().saturating_sub(started));
        }
    }

    /// Ends a turn: the planner does what follows from the events that were applied, such as a
    /// pass, writes and answers.
    pub(super) fn advance_planner(&mut self) {
        let now = reactor::now();
        let Some(planner) = &mut self.planner else { return };
        planner.set_lease_expiry(self.front.lease_expires_at());
        let passes_before = planner.load().passes;
        let effects = planner.advance(now);
        let load = planner.load();
        let end = clock::now();
        let took = end.saturating_sub(now.steady);
        let is_pass = load.passes > passes_before;
        if is_pass {
            planner.record_pass_duration(end, took);
        }
        self.meter.record_turn(took, is_pass);
        let cordoned_zones = planner.cordoned_zones() as u64;
        let speeds = planner.speeds_status();
        let (has_shares, limits_stops) = (planner.has_shares(), planner.limits_stops());
        if is_pass {
            self.record_time("pass", took);
            // A metric that can't be recorded is not worth an error.
            let _ = self.metrics.gauge("cordoned_zones", cordoned_zones);
            if let Some(speeds) = speeds {
                let _ = self.metrics.gauge("speeds.unequal_workers", speeds.unequal_workers as u64);
                let _ = self.metrics.gauge("speeds.observations", speeds.observations);
                let _ = self.metrics.gauge("speeds.writes", speeds.writes);
            }
            if has_shares {
                let _ = self.metrics.gauge("shares.above", load.above_share as u64);
            }
            if limits_stops {
                let _ = self.metrics.gauge("stops.for_urgent", load.stopped_for_urgent);
                let _ = self.metrics.gauge("stops.claims_kept", load.claims_kept);
                let _ = self.metrics.gauge("stops.claims_lost", load.claims_lost);
            }
        }
        if let Some(line) = self.meter.report(end, load) {
            self.logger.info("plan", &line);
            if let Some(planner) = &self.planner {
                self.record_waits(planner.waits());
                self.record_delays(planner.delays());
                self.record_standstill(planner.longest_standstill());
                self.record_unanswered(planner.oldest_unanswered_start(now));
                self.record_inventory_fault(planner.inventory_fault());
                self.record_losses(planner.losses());
                self.record_leases(planner.leases());
                self.record_table(planner.table(), load);
            }
        }
        self.perform(now, effects.into_iter().map(Work::Planner).collect());
    }

    /// Ends the work of the planner, whose figures would otherwise stay as they were.
    pub(super) fn end_planner(&mut self) {
        self.planner = None;
        self.record_waits(&wait::Summary::default());
        self.record_delays(&delay::Summary::default());
        self.record_standstill(Duration::ZERO);
        self.record_unanswered(Duration::ZERO);
        self.record_inventory_fault(None);
        self.record_losses(&loss::Summary::default());
        self.record_leases(&lease::Summary::default());
        self.record_table(&Table::default(), Load::default());
    }

    /// Records what the planner keeps for accepted jobs.
    fn record_table(&self, table: &Table, load: Load) {
        // A metric that can't be recorded is not worth an error.
        let gauge = |name: &str, value: u64| self.metrics.gauge(&format!("table.{name}"), value);
        let _ = gauge("jobs", table.entries.len() as u64);
        let _ = gauge("groups", table.groups() as u64);
        let _ = gauge("runs", load.runs as u64);
        let _ = gauge("bytes", table.account.used());
        let _ = gauge("waiting_jobs", table.held() as u64);
        let _ = gauge("waits", load.held_occurrences);
        let _ = gauge("left_out", load.left_out as u64);
    }

    /// Records the figures of the groups that are due and wait.
    fn record_waits(&self, waits: &wait::Summary) {
        // A metric that can't be recorded is not worth an error.
        for reason in wait::Reason::ALL {
            let name = format!("waits.{}", reason.name());
            let _ = self.metrics.gauge(&name, waits.count(reason) as u64);
        }
        let oldest_ms = u64::try_from(waits.oldest.as_millis()).unwrap_or(u64::MAX);
        let _ = self.metrics.gauge("waits.oldest_ms", oldest_ms);
        let _ = self.metrics.gauge("waits.fitting", waits.fitting as u64);
    }

    /// Records the figures of the groups that are placed and have not begun.
    fn record_delays(&self, delays: &delay::Summary) {
        // A metric that can't be recorded is not worth an error.
        for reason in delay::Reason::ALL {
            let name = format!("delays.{}", reason.name());
            let _ = self.metrics.gauge(&name, delays.count(reason) as u64);
        }
        let oldest_ms = u64::try_from(delays.oldest.as_millis()).unwrap_or(u64::MAX);
        let _ = self.metrics.gauge("delays.oldest_ms", oldest_ms);
    }

    /// Records the longest time for which a job has had nothing at work.
    fn record_standstill(&self, longest: Duration) {
        let longest_ms = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        // A metric that can't be recorded is not worth an error.
        let _ = self.metrics.gauge("waits.idle_oldest_ms", longest_ms);
    }

    /// Records the age of the oldest unanswered start.
    fn record_unanswered(&self, oldest: Duration) {
        let oldest_ms = u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX);
        // A metric that can't be recorded is not worth an error.
        let _ = self.metrics.gauge("waits.unanswered_oldest_ms", oldest_ms);
    }

    /// Records the figures of the runs that count as ended although their minions have not listed their
    /// ends.
    fn record_losses(&self, losses: &loss::Summary) {
        // A metric that can't be recorded is not worth an error.
        for evidence in loss::Evidence::ALL {
            let _ =
                self.metrics.gauge(&format!("losses.{}", evidence.name()), losses.count(evidence));
        }
        let _ = self.metrics.gauge("losses.found_running", losses.found_running);
        let _ = self.metrics.gauge("losses.found_done", losses.found_done);
    }

    /// Records the figures of the leases that were withheld from workers whose agents polled.
    fn record_leases(&self, leases: &lease::Summary) {
        // A metric that can't be recorded is not worth an error.
        for obstacle in lease::Obstacle::ALL {
            let name = format!("leases.withheld_{}", obstacle.name());
            let _ = self.metrics.gauge(&name, leases.count(obstacle));
        }
        let longest_ms = u64::try_from(leases.longest.as_millis()).unwrap_or(u64::MAX);
        let _ = self.metrics.gauge("leases.withheld_longest_ms", longest_ms);
    }

    /// Records why the inventory of VMs is of no use.
    fn record_inventory_fault(&self, current: Option<inventory::Fault>) {
        // A metric that can't be recorded is not worth an error.
        for fault in inventory::Fault::ALL {
            let name = format!("inventory.{}", fault.name());
            let _ = self.metrics.gauge(&name, u64::from(current == Some(fault)));
        }
    }
}
