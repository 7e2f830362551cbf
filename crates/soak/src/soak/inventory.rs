//! The inventory of VMs as it is answered, which may be some seconds old or lack live minions.

use std::time::Duration;

use super::Soak;

impl Soak {
    /// Records the inventory if it has changed.
    pub(super) fn record_inventory(&mut self, now: Duration) {
        let vms = self.vms();
        if self.options.trouble.inventory
            && self.inventories.last().is_none_or(|(_, last)| *last != vms)
        {
            self.inventories.push((now, vms));
        }
    }

    /// Returns the VMs as the inventory lists them now.
    pub(super) fn listed_vms(&self, now: Duration) -> Vec<(String, String)> {
        let (age, hidden) = self.spells.inventory(now);
        let is_old = |(at, _): &&(Duration, _)| !age.is_zero() && *at + age <= now;
        let earlier = self.inventories.iter().rfind(is_old);
        let mut vms = earlier.map_or_else(|| self.vms(), |(_, vms)| vms.clone());
        for (agent, has_row) in hidden {
            let hidden_id = &self.minions[usize::from(agent)].incarnation.id;
            vms.retain(|(_, id)| has_row || id != hidden_id);
            vms.iter_mut().filter(|(_, id)| id == hidden_id).for_each(|(_, id)| id.clear());
        }
        vms
    }
}
