//! Room for urgent groups: what is stopped for them, and what they wait for instead.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    assignment::{Assignment, Demand, Reach},
    preempt::{self, Choice},
    rank, wait, waves,
};

use crate::{
    board::Board,
    event::Moment,
    group::{Claim, Group},
    planner::Planner,
    table::step_groups,
    worker::Cause,
};

/// Time from a decision to the start of a task and from its end to the caller's view of it.
const OVERHEAD: Duration = Duration::from_millis(300);
/// Time from an end to the planner's knowledge of it, beside the end itself: two messages between
/// regions and the minion's list.
const SETTLING: Duration = Duration::from_millis(250);
/// Stopped groups that one log line names at most; the others have a line at their end.
const NAMED_STOPS: usize = 8;

/// An urgent group without room.
pub(crate) struct Urgent<'a> {
    /// Its job.
    pub(crate) id: &'a str,
    pub(crate) key: &'a GroupKey,
    pub(crate) ask: &'a Demand,
    pub(crate) reach: Reach,
    /// Its job is within its organisation's guarantee.
    pub(crate) is_guaranteed: bool,
}

impl Urgent<'_> {
    fn of_plan(&self) -> preempt::Urgent<'_> {
        preempt::Urgent { demand: self.ask, reach: self.reach, is_guaranteed: self.is_guaranteed }
    }
}

impl Planner {
    /// Stops the cheapest groups that give room to an urgent one, or waits for their end where
    /// that comes soon enough.
    pub(crate) fn make_room(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) {
        self.look_up_candidates(now, board, guaranteed);
        self.load.searches += 1;
        let Some((job, limit)) = self.wait_terms(now, urgent) else { return };
        let limit = if self.options.policy.weigh_waits { limit } else { Duration::ZERO };
        let stop = self.options.stop;
        let Board { places, candidates, .. } = &*board;
        let choice = preempt::weigh(places, candidates, urgent.of_plan(), &job, limit, stop);
        if let Some(choice) = choice {
            self.claim(now, board, urgent, choice, false);
        }
    }

    /// Whether an urgent job needs more of its tasks at work to end in time, as a whole.
    pub(crate) fn needs_more(&self, now: Moment, id: &str, key: &GroupKey) -> bool {
        if !self.options.policy.limit_urgent {
            return true;
        }
        let Some(entry) = self.table.entries.get(id) else { return false };
        let groups = || entry.groups.range(step_groups(key.occurrence, key.step));
        let is_served = |group: &Group| group.active().is_some() || group.claim.is_some();
        let served = groups().filter(|(_, group)| is_served(group)).count();
        let tasks = entry.tasks_left(key.occurrence, key.step);
        let each = self.expect(entry, key.step);
        let later = entry.remaining(|step| self.expect(entry, step)).saturating_sub(each);
        let spent = Self::age(entry, now) + OVERHEAD + later;
        let objective = self.objective(entry);
        let useful = objective * rank::USEFUL_OBJECTIVES;
        let needed = waves::needed(tasks, each, objective.saturating_sub(spent))
            .or_else(|| waves::needed(tasks, each, useful.saturating_sub(spent)));
        needed.is_some_and(|needed| served < needed as usize)
    }

    /// Work that was to end by itself has not, or what has been freed was taken by others that go
    /// first: stops what is in the way now, without another wait.
    ///
    /// Guards against an urgent group that never starts: with a new wait each time, what the
    /// earlier ones have freed goes to others, and as much again is stopped elsewhere.
    pub(crate) fn force_room(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) {
        self.look_up_candidates(now, board, guaranteed);
        self.load.searches += 1;
        // What is free already needs no stop, so the place that was chosen first is mostly kept.
        let (stop, now_or_never) = (self.options.stop, Duration::ZERO);
        let Board { places, candidates, .. } = &*board;
        let choice = preempt::choose(places, candidates, urgent.of_plan(), now_or_never, stop);
        if let Some(choice) = choice {
            self.claim(now, board, urgent, choice, true);
        }
    }

    /// Keeps room for an urgent group, and stops what is in the way.
    fn claim(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        choice: Choice,
        is_forced: bool,
    ) {
        let Urgent { id, key, ask, .. } = *urgent;
        let Choice { wait, stops, assignments, cost, .. } = choice;
        let seat = |seat: &Assignment| (board.places[seat.place].worker.to_string(), seat.tasks);
        let seats = assignments.iter().map(seat).collect();
        let until = now.steady + wait.max(self.options.stop) + SETTLING;
        let claim = Claim { until, seats };
        board.take_claim(&claim, ask);
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        if let Some(group) = entry.groups.get_mut(key) {
            group.claim = Some(claim);
        }
        let mut stopped = Vec::new();
        for at in stops {
            board.candidates[at].is_stopping = true;
            stopped.push(board.candidate(at));
        }
        let names: Vec<String> = stopped.iter().take(NAMED_STOPS).map(describe).collect();
        self.log(format!(
            "job={id} step={} index={} waits_ms={} forced={is_forced} stops={} first={} cost={cost:.0}",
            key.step,
            key.index,
            wait.as_millis(),
            stopped.len(),
            names.join(",")
        ));
        for (job, key) in stopped {
            self.stop_group(now.steady, &job, &key, &Cause::Urgent((*id).to_owned()));
        }
    }

    /// What decides how long an urgent group waits for work to end by itself, and the longest
    /// that it may.
    fn wait_terms(&self, now: Moment, urgent: &Urgent<'_>) -> Option<(wait::Job, Duration)> {
        let entry = self.table.entries.get(urgent.id)?;
        let terms = self.terms(entry);
        let age = Self::age(entry, now);
        let job = wait::Job {
            age,
            expected: self.estimate(entry, urgent.key.step),
            overhead: OVERHEAD,
            slack: terms.slack,
            latency: terms.target_latency,
        };
        let limit = if urgent.is_guaranteed {
            self.options.reclaim.saturating_sub(age + self.options.stop + OVERHEAD)
        } else {
            preempt::LONGEST_WAIT
        };
        Some((job, limit))
    }
}

/// A group as a log line names it.
fn describe((job, key): &(JobId, GroupKey)) -> String {
    format!("{job}/{}/{}/{}", key.occurrence, key.step, key.index)
}
