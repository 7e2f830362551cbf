//! What callers ask, and what they are shown.

use std::time::Duration;

use rand::RngExt as _;
use sapphire_front::{self as front, answer};
use sapphire_jobs::{Job, State};

use super::{Action, World};

impl World {
    pub(super) fn caller_entry(&mut self) -> usize {
        let up: Vec<usize> =
            (0..self.entries.len()).filter(|index| self.entries[*index].is_up).collect();
        if up.is_empty() { 0 } else { up[self.rng.random_range(0..up.len())] }
    }

    pub(super) fn request(&mut self, index: usize, action: answer::Action) {
        let entry = self.caller_entry();
        let job = &self.arrivals[index].job;
        let request = answer::Request {
            host: "h".to_owned(),
            path: format!("/{}/{}", job.queue, job.id),
            key: job.organisation.clone(),
            timeout: Some(Duration::from_secs(3)),
            action,
        };
        let life = self.entries[entry].life;
        let caller = index as u64;
        let event = front::event::Event::Request(caller, Box::new(request));
        self.after(Duration::from_millis(3), Action::Front(entry, life, event));
    }

    pub(super) fn submit(&mut self, index: usize) {
        let job: Job = self.arrivals[index].job.clone();
        if self.accepted.contains_key(&job.id) {
            return;
        }
        let refusal = self.refusals.get(&index).copied().unwrap_or_default();
        if refusal.count > self.retries {
            return;
        }
        if self.now < refusal.until {
            self.at(refusal.until, Action::Submit(index));
            return;
        }
        self.note(&format!("job={} is handed in", job.id));
        let handin =
            answer::Submission { spec: job.spec, steps: job.steps, schedule: job.schedule };
        self.request(index, answer::Action::Submit(Ok(handin)));
        // Callers ask again when there is no answer.
        self.after(Duration::from_millis(1_500), Action::Submit(index));
    }

    pub(super) fn cancel(&mut self, index: usize) {
        self.request(index, answer::Action::Cancel);
    }

    pub(super) fn look(&mut self, index: usize) {
        let id = self.arrivals[index].job.id.clone();
        let is_over = [State::Complete, State::Failed, State::Cancelled]
            .iter()
            .any(|state| self.shown.contains_key(&(id.clone(), (*state).into())));
        if !is_over {
            self.request(index, answer::Action::Read);
            self.after(Duration::from_millis(100), Action::Look(index));
        }
    }

    pub(super) fn answered(&mut self, caller: u64, answer: &answer::Answer) {
        let index = caller as usize;
        let id = self.arrivals[index].job.id.clone();
        match answer {
            answer::Answer::Accepted => {
                let earlier = self.accepted.insert(id, self.now);
                if earlier.is_none() {
                    self.after(Duration::from_millis(50), Action::Look(index));
                }
            }
            answer::Answer::State(state) => {
                self.shown.entry((id, (*state).into())).or_insert(self.now);
            }
            answer::Answer::Cancelled => {
                self.cancelled.entry(id).or_insert(self.now);
            }
            answer::Answer::NotDone { reason, after } => {
                self.note(&format!("job={id} is said not to be done: {reason}"));
                self.refused.insert(id, self.now);
                let refusal = self.refusals.entry(index).or_default();
                refusal.count += 1;
                refusal.until = self.now + *after;
            }
            answer::Answer::NoJob if self.accepted.contains_key(&id) => {
                self.broken.push(format!("{id} was accepted and is said not to exist"));
            }
            _ => {}
        }
    }

    /// When a job was first shown in a state, from the first arrival.
    pub fn shown(&self, id: &str, state: State) -> Option<Duration> {
        let at = self.shown.get(&(id.to_owned(), state.into()))?;
        Some(at.saturating_sub(self.offset))
    }

    /// When a job's first task started, from the first arrival.
    pub fn started(&self, id: &str) -> Option<Duration> {
        Some(self.started.get(id)?.saturating_sub(self.offset))
    }

    /// Whether a job was accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.accepted.contains_key(id)
    }
}
