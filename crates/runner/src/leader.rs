//! Finds out which entry is the leader: the planner reports itself, or entries are asked in turn.

use std::time::Duration;

use sapphire_jobs::Lead;

use crate::{effect::Effect, machine::Machine, options};

impl Machine {
    /// Follows the reported leader unless its term is below the highest one known.
    pub(crate) fn follow_leader(&mut self, leader: Lead) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.term).max(self.session.term);
        let has_changed = self.leader.as_ref() != Some(&leader);
        if leader.term < known || !has_changed {
            return;
        }
        self.log(format!(
            "term={} planner={} address={} followed",
            leader.term, leader.name, leader.address
        ));
        self.leader = Some(leader);
        self.polls.clear();
        self.failed_polls = 0;
        self.has_changes = true;
    }

    /// Follows a planner that announces itself. One that is followed already has heard nothing for a while.
    pub(crate) fn announced(&mut self, now: Duration, leader: Lead) {
        if self.leader.as_ref() == Some(&leader) {
            self.poll_anew(now);
        } else {
            self.follow_leader(leader);
        }
    }

    /// Polls again instead of waiting for the answers to earlier polls, since the planner has said that it hears
    /// nothing.
    ///
    /// Guards against ends that wait for a connection which has gone silent until their lease is over.
    fn poll_anew(&mut self, now: Duration) {
        let sent_at = self.polls.iter().map(|poll| poll.sent_at).max();
        let Some(sent_at) = sent_at.filter(|at| now >= *at + options::POLL_DELIVERY) else {
            return;
        };
        let waited = now.saturating_sub(sent_at).as_millis();
        self.log(format!("the planner hears no poll: the latest was sent {waited} ms ago"));
        self.polls.clear();
        self.has_changes = true;
    }

    /// Gives up the leader, which can't be reached or has been replaced.
    pub(crate) fn lose_leader(&mut self, now: Duration) {
        if let Some(leader) = self.leader.take() {
            self.log(format!(
                "term={} planner={} unreachable or replaced; asks entries for the leader",
                leader.term, leader.name
            ));
            self.next_leader_query = now;
            self.polls.clear();
        }
    }

    /// Asks the next entry for the leader, if none is known and the query is due.
    pub(crate) fn drive_leader_queries(&mut self, now: Duration) {
        if self.leader.is_some() || now < self.next_leader_query || self.entries.is_empty() {
            return;
        }
        self.next_leader_query = now + options::LEADER_QUERY_DELAY;
        // All entries of the planner's list may be down, so those of the settings are asked too.
        let all = self.entries.iter().chain(&self.options.entries);
        let all: Vec<&String> = all.collect();
        let address = all[self.next_entry % all.len()].clone();
        self.next_entry += 1;
        self.effects.push(Effect::QueryLeader { address });
    }
}
