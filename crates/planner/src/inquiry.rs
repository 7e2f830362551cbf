//! Questions to the agents of silent workers, before the tasks that run there start elsewhere.

use crate::{effect::Effect, event::Moment, options, planner::Planner};

impl Planner {
    /// Asks the agents of silent workers to poll: those with runs, and those that an earlier planner gave
    /// tasks to and that have not reported yet.
    ///
    /// Guards against a task that runs again although it is done: when the lease of a silent worker is
    /// over, nothing runs there, but its agent may know of ends that no poll of it has brought, since its
    /// connections have gone silent or their answers were lost.
    pub(crate) fn ask_silent(&mut self, now: Moment) {
        if !self.startup.is_serving() {
            return;
        }
        let lease_expiry = self.options.lease_expiry();
        let mut addresses = Vec::new();
        let mut lines = Vec::new();
        for (name, worker) in &mut self.workers {
            let is_silent = worker.is_silent(now.steady);
            let is_over = now.steady >= worker.last_contact + lease_expiry;
            let interval = if is_over { options::LAST_ASK_INTERVAL } else { options::ASK_INTERVAL };
            let is_due = worker.asked.is_none_or(|(at, _)| now.steady >= at + interval);
            if !is_silent || !is_due || worker.runs.is_empty() {
                continue;
            }
            if worker.asked.is_none() {
                let (runs, ages) = (worker.runs.len(), worker.ages(now.steady));
                let left = worker.lease_expires_at.saturating_sub(now.steady).as_millis();
                lines.push(format!(
                    "worker={name} silent, its agent is asked to poll: runs={runs} limit_ms={left}{ages}"
                ));
            }
            let times = worker.asked.map_or(0, |(_, times)| times);
            worker.asked = Some((now.steady, times + 1));
            addresses.push(worker.address.clone());
        }
        if now.steady >= self.startup.asked_at + options::ASK_INTERVAL {
            let members = self.startup.unaccounted.keys();
            let members = members.filter(|name| !self.workers.contains_key(*name));
            let members = members.filter_map(|name| self.startup.members.get(name));
            addresses.extend(members.map(|member| member.address.clone()));
            self.startup.asked_at = now.steady;
        }
        lines.into_iter().for_each(|line| self.log(line));
        if !addresses.is_empty() {
            self.effects.push(Effect::Announce(addresses));
        }
    }
}
