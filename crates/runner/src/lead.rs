//! Who plans: told by the planner itself, or asked of entries in turn.

use std::time::Duration;

use sapphire_jobs::Lead;

use crate::{effect::Effect, machine::Machine, options};

impl Machine {
    /// Follows whoever has the highest term.
    pub(crate) fn follow(&mut self, lead: Lead) {
        let known = self.lead.as_ref().map_or(0, |lead| lead.term).max(self.session.term);
        let is_news = self.lead.as_ref() != Some(&lead);
        if lead.term < known || !is_news {
            return;
        }
        self.log(format!("term={} planner={} at {}", lead.term, lead.name, lead.address));
        self.lead = Some(lead);
        self.polls.clear();
        self.failed_polls = 0;
        self.has_news = true;
    }

    /// The planner can't be reached, or another has replaced it.
    pub(crate) fn lose_lead(&mut self, now: Duration) {
        if let Some(lead) = self.lead.take() {
            self.log(format!("term={} planner={} not reached", lead.term, lead.name));
            self.ask_lead_at = now;
            self.polls.clear();
        }
    }

    pub(crate) fn drive_lead(&mut self, now: Duration) {
        if self.lead.is_some() || now < self.ask_lead_at || self.entries.is_empty() {
            return;
        }
        self.ask_lead_at = now + options::LEAD_PAUSE;
        // Entries that are down may fill the list; the ones from the settings are asked too.
        let all = self.entries.iter().chain(&self.options.entries);
        let all: Vec<&String> = all.collect();
        let address = all[self.next_entry % all.len()].clone();
        self.next_entry += 1;
        self.out.push(Effect::AskLead { address });
    }
}
