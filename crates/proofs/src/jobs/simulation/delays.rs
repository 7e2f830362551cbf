//! Processes and links that are held up for some seconds, as on a busy machine, while all else is calm.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt as _;
use sapphire_planner::event::Operation;

use super::{Origin, Simulation};

/// Answers of the store to writes of the list of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetWrites {
    /// Time by which the answers are late.
    pub latency: Duration,
    /// Share of the answers that are lost.
    pub lost: f64,
}

/// State of what is held up.
#[derive(Clone, Debug, Default)]
pub(super) struct Delays {
    /// When the polls of each agent arrive again, and when the answers to them do.
    polls: BTreeMap<usize, Duration>,
    answers: BTreeMap<usize, Duration>,
    fleet_writes: Option<FleetWrites>,
}

impl Simulation {
    /// Makes an agent handle nothing for a time; what is sent to it waits.
    pub fn hold_up_agent(&mut self, agent: usize, time: Duration) {
        let until = self.now + time;
        let node = &mut self.agents[agent];
        node.held_until = node.held_until.max(until);
        self.log_line(&format!("a{agent} is held up for {} ms", time.as_millis()));
    }

    /// Makes an entry handle nothing for a time; what is sent to it waits.
    pub fn hold_up_entry(&mut self, entry: usize, time: Duration) {
        let until = self.now + time;
        let node = &mut self.entries[entry];
        node.held_until = node.held_until.max(until);
        self.log_line(&format!("e{entry} is held up for {} ms", time.as_millis()));
    }

    /// Delays what an agent sends to the planner, or is sent, until a time has passed.
    pub fn hold_up_link(&mut self, agent: usize, time: Duration, polls: bool, answers: bool) {
        let until = self.now + time;
        if polls {
            self.delays.polls.insert(agent, until);
        }
        if answers {
            self.delays.answers.insert(agent, until);
        }
        let time = time.as_millis();
        self.log_line(&format!("a{agent} link held up for {time} ms {polls} {answers}"));
    }

    /// Sets what becomes of the store's answers to writes of the list of workers.
    pub fn set_fleet_writes(&mut self, fleet_writes: Option<FleetWrites>) {
        self.delays.fleet_writes = fleet_writes;
        self.log_line(&format!("fleet writes {fleet_writes:?}"));
    }

    pub(super) fn poll_latency(&self, agent: usize, latency: Duration) -> Duration {
        let until = self.delays.polls.get(&agent).copied().unwrap_or_default();
        latency.max(until.saturating_sub(self.now))
    }

    pub(super) fn answer_latency(&self, agent: usize, latency: Duration) -> Duration {
        let until = self.delays.answers.get(&agent).copied().unwrap_or_default();
        latency.max(until.saturating_sub(self.now))
    }

    /// Time by which the store's answer is late; `None` if it is lost.
    pub(super) fn answer_delay(&mut self, origin: &Origin) -> Option<Duration> {
        match (origin, self.delays.fleet_writes) {
            (Origin::Planner(_, Operation::Fleet), Some(FleetWrites { latency, lost })) => {
                (!self.rng.random_bool(lost)).then_some(latency)
            }
            _ => Some(Duration::ZERO),
        }
    }
}
