//! Simulated callers: submit, read and cancel jobs, and record the answers.

use std::time::Duration;

use rand::RngExt as _;
use sapphire_front::{self as front, answer};
use sapphire_jobs::{Job, State};

use super::{Action, Simulation};

/// Interval in which [`Simulation::run_to_end`] checks whether all jobs have ended.
const SETTLED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Simulation {
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
        let generation = self.entries[entry].generation;
        let caller = index as u64;
        let event = front::event::Event::Request(caller, Box::new(request));
        self.after(Duration::from_millis(3), Action::Front(entry, generation, event));
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
        if self.now < refusal.retry_at {
            self.at(refusal.retry_at, Action::Submit(index));
            return;
        }
        self.log_line(&format!("job={} is submitted", job.id));
        let submission =
            answer::Submission { spec: job.spec, steps: job.steps, schedule: job.schedule };
        self.request(index, answer::Action::Submit(Ok(submission)));
        // A caller that gets no answer submits again; otherwise the job is accepted by then.
        self.after(Duration::from_millis(1_500), Action::Submit(index));
    }

    pub(super) fn cancel(&mut self, index: usize) {
        self.request(index, answer::Action::Cancel);
    }

    pub(super) fn read_state(&mut self, index: usize) {
        let id = self.arrivals[index].job.id.clone();
        let is_over = [State::Complete, State::Failed, State::Cancelled]
            .iter()
            .any(|state| self.reported.contains_key(&(id.clone(), (*state).into())));
        if !is_over {
            self.request(index, answer::Action::Read);
            self.after(Duration::from_millis(100), Action::ReadState(index));
        }
    }

    pub(super) fn record_answer(&mut self, caller: u64, answer: &answer::Answer) {
        let index = caller as usize;
        let id = self.arrivals[index].job.id.clone();
        match answer {
            answer::Answer::Accepted => {
                if self.withdrawn.contains(&id) {
                    let text = format!("{id} is accepted after its cancellation was acknowledged");
                    self.violations.push(text);
                }
                let earlier = self.accepted.insert(id, self.now);
                if earlier.is_none() {
                    self.after(Duration::from_millis(50), Action::ReadState(index));
                }
            }
            answer::Answer::State(state) => {
                self.reported.entry((id, (*state).into())).or_insert(self.now);
            }
            answer::Answer::Cancelled => {
                self.cancelled.entry(id).or_insert(self.now);
            }
            answer::Answer::NotDone { reason, after } => {
                self.log_line(&format!("job={id} is refused: {reason}"));
                self.refused.insert(id, self.now);
                let refusal = self.refusals.entry(index).or_default();
                refusal.count += 1;
                refusal.retry_at = self.now + *after;
            }
            answer::Answer::NoJob if self.accepted.contains_key(&id) => {
                self.violations.push(format!("{id} was accepted and is said not to exist"));
            }
            answer::Answer::NoJob => {
                // Only cancellations are sent before a job is accepted.
                self.cancelled.entry(id.clone()).or_insert(self.now);
                self.withdrawn.insert(id);
            }
            _ => {}
        }
    }

    /// When a caller was first told that a job is in this state, from the start of the load.
    pub fn reported_at(&self, id: &str, state: State) -> Option<Duration> {
        let at = self.reported.get(&(id.to_owned(), state.into()))?;
        Some(at.saturating_sub(self.load_start))
    }

    /// When a job's first task started, from the start of the load.
    pub fn started(&self, id: &str) -> Option<Duration> {
        Some(self.started.get(id)?.saturating_sub(self.load_start))
    }

    /// Whether a caller was told that the job is refused, and never that it is accepted.
    pub fn is_refused(&self, id: &str) -> bool {
        self.refused.contains_key(id) && !self.accepted.contains_key(id)
    }

    /// Runs until every job was reported in a final state or refused for good, at most until this
    /// time after the start of the load.
    pub fn run_to_end(&mut self, time: Duration) {
        while self.time() < time && !self.is_settled() {
            self.run_until((self.time() + SETTLED_CHECK_INTERVAL).min(time));
        }
    }

    fn is_settled(&self) -> bool {
        let is_final = |id: &String| {
            [State::Complete, State::Failed, State::Cancelled]
                .iter()
                .any(|state| self.reported.contains_key(&(id.clone(), (*state).into())))
        };
        self.arrivals.iter().enumerate().all(|(index, arrival)| {
            let id = &arrival.job.id;
            let is_given_up =
                self.refusals.get(&index).is_some_and(|refusal| refusal.count > self.retries);
            let is_given_up = is_given_up || self.withdrawn.contains(id);
            is_final(id) || (is_given_up && !self.accepted.contains_key(id))
        })
    }

    /// Number of jobs that were cancelled before they were accepted.
    pub fn withdrawn(&self) -> usize {
        self.withdrawn.len()
    }

    /// Whether a caller was told that the job is accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.accepted.contains_key(id)
    }
}
