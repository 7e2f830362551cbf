//! Checks that no run goes on for long once its task is done.

use sapphire_jobs::task::{RunNumber, Task};

use super::Simulation;

impl Simulation {
    pub(super) fn check_leftovers(&mut self) {
        self.follow_disturbances();
        // Time for which a run may go on after the end of another run of its task was acknowledged, and after the last
        // fault: the time in which a machine is in touch again, and that of a cancellation and a stop.
        let limit = self.bounds.contact + self.bounds.cancel + self.bounds.stop;
        let mut found: Vec<(usize, Task, RunNumber)> = Vec::new();
        for (agent, minion) in self.minions.iter().enumerate().filter(|(_, minion)| minion.is_up) {
            let calm_since = self.workers_disturbed_at.get(&agent).copied().unwrap_or_default();
            let calm_since = calm_since.max(self.disturbed_at);
            for (task, active) in &minion.active {
                let ends = self.completions.get(task).into_iter().flatten();
                let Some(noted_at) = ends.filter_map(|it| it.noted_at).min() else { continue };
                let since = noted_at.max(active.started_at).max(calm_since);
                if self.now > since + limit {
                    found.push((agent, task.clone(), active.number));
                }
            }
        }
        for (agent, task, number) in found {
            if self.leftovers.insert((task.clone(), number)) {
                self.report_violation(&task, &format!("run {number} goes on, it is done"), agent);
            }
        }
    }

    /// Whether there is a fault of the entries, the store, the links or the calls to all minions.
    pub(super) fn has_core_fault(&self) -> bool {
        let has_late_orders =
            self.late_orders > 0.0 || self.refused_orders > 0.0 || self.lost_stops > 0.0;
        has_late_orders || self.has_outage()
    }

    /// Whether there is a fault of the entries, the store or the links.
    pub(super) fn has_outage(&self) -> bool {
        let is_away = |entry: &super::EntryNode| {
            !entry.is_up || !entry.reaches_store || self.now < entry.paused_until
        };
        let has_store_fault = !self.is_store_up
            || self.is_store_refusing
            || self.is_store_mute
            || !self.store_latency.is_zero();
        has_store_fault || !self.partitioned.is_empty() || self.entries.iter().any(is_away)
    }

    /// Records which faults there are now.
    fn follow_disturbances(&mut self) {
        if self.has_core_fault() || self.planner_entry().is_none() {
            self.disturbed_at = self.now;
        }
        for (agent, node) in self.agents.iter().enumerate() {
            let is_away = !node.is_up || node.is_isolated || self.now < node.paused_until;
            if is_away || self.mute.contains(&agent) {
                self.workers_disturbed_at.insert(agent, self.now);
            }
        }
    }
}
