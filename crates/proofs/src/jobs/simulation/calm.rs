//! Ends that count as taken note of since their minions have listed them while there was no disruption near.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    Ending,
    task::{RunNumber, Task},
};
use sapphire_runner as runner;

use super::{Action, Request, Simulation};

/// Time after which an end counts as taken note of that a minion has listed.
const NOTED_AFTER: Duration = Duration::from_millis(100);

/// When there was the latest disruption: of the entries, the store or the links between regions, and of the worker of
/// each agent. Processes and links that are held up are none.
#[derive(Clone, Debug, Default)]
pub(super) struct Disruptions {
    core: Duration,
    workers: BTreeMap<usize, Duration>,
}

/// An end that a minion has listed.
#[derive(Clone, Debug)]
pub(super) struct Listing {
    agent: usize,
    born_ms: u64,
    task: Task,
    number: RunNumber,
}

impl Simulation {
    /// Records a disruption of a worker.
    pub(super) fn disrupt(&mut self, agent: usize) {
        self.disruptions.workers.insert(agent, self.now);
    }

    /// Records which disruptions there are now.
    pub(super) fn follow_disruptions(&mut self) {
        if self.has_outage() {
            self.disruptions.core = self.now;
        }
        for (agent, minion) in self.minions.iter().enumerate() {
            let node = &self.agents[agent];
            let is_away = !node.is_up || node.is_isolated || self.now < node.paused_until;
            let is_altered = minion.fails || minion.stalls || minion.slowdown != 1.0;
            let is_leaving = !minion.is_up || minion.incarnation.is_draining;
            let is_closed = self.mute.contains(&agent) || self.refuses(agent);
            if is_away || is_altered || is_leaving || is_closed {
                self.disruptions.workers.insert(agent, self.now);
            }
        }
    }

    /// When there was the latest disruption near a worker.
    fn disrupted_at(&self, agent: usize) -> Duration {
        let worker = self.disruptions.workers.get(&agent).copied().unwrap_or_default();
        worker.max(self.disruptions.core)
    }

    /// Notes the ends in an answer that a minion sends.
    pub(super) fn note_listed(&mut self, request: &Request, reply: &runner::minion::Reply) {
        let runner::minion::Reply::Listed { born_ms, ended, .. } = reply else { return };
        let agent = request.agent;
        let node = &self.agents[agent];
        let is_sent = node.is_up && request.generation == Some(node.generation);
        if !is_sent || self.mute.contains(&agent) {
            return;
        }
        for ended in ended.iter().filter(|ended| ended.ending() == Ending::Done) {
            let Some(run) = &ended.run else { continue };
            let listing =
                Listing { agent, born_ms: *born_ms, task: Task::read(run), number: run.run };
            if let Some(completion) = self.completion(&listing)
                && !completion.is_listed
            {
                completion.is_listed = true;
                self.after(NOTED_AFTER, Action::CountListed(Box::new(listing)));
            }
        }
    }

    fn completion(&mut self, listing: &Listing) -> Option<&mut super::Completion> {
        let Listing { agent, born_ms, task, number } = listing;
        self.completions
            .get_mut(task)
            .into_iter()
            .flatten()
            .find(|it| (it.agent, it.born_ms, it.number) == (*agent, *born_ms, *number))
    }

    /// Counts a listed end as taken note of, unless the lease has expired since the end or there was a disruption near,
    /// and reports the starts of the task since the end. Once it counts, notes whether there was a disruption since.
    pub(super) fn count_listed(&mut self, listing: &Listing) {
        let Listing { agent, born_ms, task, .. } = listing;
        let disrupted_at = self.disrupted_at(*agent);
        if let Some(completion) = self.completion(listing)
            && let Some(counted_at) = completion.counted_at
        {
            completion.is_disturbed = disrupted_at > counted_at;
            return;
        }
        let minion = &self.minions[*agent];
        let is_calm = self.now > disrupted_at + self.bounds.contact;
        if !is_calm || !minion.is_up || minion.incarnation.born_ms != *born_ms {
            return;
        }
        let (last_expired_at, now) = (minion.last_expired_at, self.now);
        let Some(completion) = self.completion(listing) else { return };
        if completion.is_acknowledged || last_expired_at.is_some_and(|it| it >= completion.at) {
            return;
        }
        completion.is_acknowledged = true;
        let starts = std::mem::take(&mut completion.starts);
        completion.counted_at = Some(now);
        let number = listing.number;
        self.after(self.bounds.contact, Action::CountListed(Box::new(listing.clone())));
        self.log_line(&format!(
            "m{agent} end of task={task} run={number} counts since it was listed"
        ));
        for text in starts {
            self.report_violation(task, &format!("{text} that was listed in calm time"), *agent);
        }
    }

    /// Whether there was a disruption within `contact` after an end counted.
    pub(super) fn is_disturbed(&self, completion: &super::Completion) -> bool {
        let is_recent = |at| self.now < at + self.bounds.contact;
        let is_disturbed = |at| is_recent(at) && self.disrupted_at(completion.agent) > at;
        completion.is_disturbed || completion.counted_at.is_some_and(is_disturbed)
    }
}
