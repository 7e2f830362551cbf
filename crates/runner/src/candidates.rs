//! Incarnations whose heartbeats an agent has received and that it doesn't take for its minion.

use std::time::Duration;

use sapphire_jobs::Incarnation;

use crate::{event::Ticket, minion::Heartbeat, options};

/// An incarnation that may be the worker's minion.
#[derive(Clone, Debug)]
struct Candidate {
    /// Its latest heartbeat.
    heartbeat: Heartbeat,
    received_at: Duration,
    /// First ticket of the calls that were made after its first heartbeat.
    first_ticket: Ticket,
    /// The agent's minion has answered such a call, so that this one is not its next incarnation.
    is_refuted: bool,
}

impl Candidate {
    fn is(&self, incarnation: &Incarnation) -> bool {
        let own = &self.heartbeat.incarnation;
        own.id == incarnation.id
            && own.born_ms == incarnation.born_ms
            && own.service == incarnation.service
    }
}

/// Incarnations other than the agent's minion, with their latest heartbeats.
///
/// Guards against a task that runs twice: a heartbeat may be a late one, or that of another writer, and
/// shows nothing about the minion that is known. One of these becomes the minion only once that one
/// has certainly ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    heard: Vec<Candidate>,
    /// Services that the planner doesn't know, with the time until which their incarnations are left out.
    rejected: Vec<(String, Duration)>,
}

impl Candidates {
    /// Records a heartbeat. Returns whether it is the first of its incarnation; a late one of an
    /// incarnation that is known changes nothing.
    pub(crate) fn add(&mut self, now: Duration, heartbeat: Heartbeat, next: Ticket) -> bool {
        self.heard.retain(|it| now < it.received_at + options::CANDIDATE_TIME);
        if let Some(known) = self.heard.iter_mut().find(|it| it.is(&heartbeat.incarnation)) {
            if heartbeat.sequence > known.heartbeat.sequence {
                known.heartbeat = heartbeat;
                known.received_at = now;
            }
            return false;
        }
        if self.heard.len() >= options::MAX_CANDIDATES {
            // Those that can't be the next minion go first, then the one that was silent for longest.
            let least = (0..self.heard.len()).min_by_key(|at| self.standing(now, *at));
            self.heard.remove(least.expect("there are some"));
        }
        self.heard.push(Candidate {
            heartbeat,
            received_at: now,
            first_ticket: next,
            is_refuted: false,
        });
        true
    }

    /// Returns how good a candidate is: the lowest is dropped first, the highest is taken first.
    fn standing(&self, now: Duration, at: usize) -> (bool, bool, Duration) {
        let candidate = &self.heard[at];
        let is_rejected = self.is_rejected(now, &candidate.heartbeat.incarnation.service);
        (!is_rejected, !candidate.is_refuted, candidate.received_at)
    }

    /// Returns whether an incarnation has been heard that the minion's answers haven't refuted.
    pub(crate) fn is_any_open(&self) -> bool {
        self.heard.iter().any(|candidate| !candidate.is_refuted)
    }

    /// Refutes the candidates that were heard before the minion was sent the call that it has answered,
    /// but not those of the identifier `except`. Returns them.
    pub(crate) fn refute(&mut self, ticket: Ticket, except: Option<&str>) -> Vec<Incarnation> {
        let is_open = |it: &&mut Candidate| {
            !it.is_refuted
                && ticket >= it.first_ticket
                && except.is_none_or(|id| it.heartbeat.incarnation.id != id)
        };
        let open = self.heard.iter_mut().filter(is_open);
        let refuted = open.map(|candidate| {
            candidate.is_refuted = true;
            candidate.heartbeat.incarnation.clone()
        });
        refuted.collect()
    }

    /// Removes and returns the incarnation that is likeliest to be the worker's minion, now that none is
    /// known.
    pub(crate) fn take(&mut self, now: Duration) -> Option<Heartbeat> {
        self.heard.retain(|it| now < it.received_at + options::CANDIDATE_TIME);
        let best = (0..self.heard.len()).max_by_key(|at| self.standing(now, *at))?;
        let service = &self.heard[best].heartbeat.incarnation.service;
        (!self.is_rejected(now, service)).then(|| self.heard.remove(best).heartbeat)
    }

    /// Removes and returns an incarnation that has answered a call.
    pub(crate) fn take_incarnation(&mut self, id: &str, born_ms: u64) -> Option<Heartbeat> {
        let is_it = |it: &Candidate| {
            let incarnation = &it.heartbeat.incarnation;
            incarnation.id == id && incarnation.born_ms == born_ms
        };
        let at = self.heard.iter().position(is_it)?;
        Some(self.heard.remove(at).heartbeat)
    }

    /// Removes an incarnation that has deregistered.
    pub(crate) fn remove(&mut self, id: &str) {
        self.heard.retain(|it| it.heartbeat.incarnation.id != id);
    }

    /// Leaves out the incarnations of a service for a while.
    pub(crate) fn reject(&mut self, now: Duration, service: &str) {
        self.rejected.retain(|(name, until)| name != service && now < *until);
        if self.rejected.len() >= options::MAX_CANDIDATES {
            self.rejected.remove(0);
        }
        self.rejected.push((service.to_owned(), now + options::REJECTION_TIME));
    }

    fn is_rejected(&self, now: Duration, service: &str) -> bool {
        self.rejected.iter().any(|(name, until)| name == service && now < *until)
    }
}
