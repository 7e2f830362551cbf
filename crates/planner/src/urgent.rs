//! Room for urgent groups: what is stopped for them, and what they wait for instead.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    evict,
    seat::{Ask, Reach},
};

use crate::{
    board::{Board, Candidate},
    event::Moment,
    group::Claim,
    planner::Planner,
};

/// A run expected to end within this is not worth stopping.
const NEARLY_DONE: Duration = Duration::from_millis(500);
/// Time from a decision to the start of a task and from its end to the caller's view of it.
const OVERHEAD: Duration = Duration::from_millis(300);
/// Longest wait of an urgent group for work to end by itself.
const LONGEST_WAIT: Duration = Duration::from_millis(2_500);
/// The same for one that will be late in any case.
const LATE_WAIT: Duration = Duration::from_millis(1_000);

/// Stopped groups that one log line names at most; the others have a line at their end.
const NAMED_STOPS: usize = 8;

/// An urgent group without room.
pub(crate) struct Urgent<'a> {
    /// Its job.
    pub(crate) id: &'a str,
    pub(crate) key: &'a GroupKey,
    pub(crate) ask: &'a Ask,
    pub(crate) reach: Reach,
    /// Its job is within its organisation's guarantee.
    pub(crate) is_guaranteed: bool,
}

impl Planner {
    /// Stops the cheapest groups that give room to an urgent one.
    pub(crate) fn make_room(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        guaranteed: &BTreeSet<JobId>,
    ) {
        let Urgent { id, key, ask, reach, is_guaranteed } = *urgent;
        let may_stop = |candidate: &Candidate| {
            candidate.is_stopping
                || candidate.priority > 0
                || (is_guaranteed && !candidate.is_guaranteed)
        };
        self.look_up_candidates(now, board, guaranteed);
        let candidates = &board.candidates;
        let allowed: Vec<usize> =
            (0..candidates.len()).filter(|at| may_stop(&candidates[*at])).collect();
        let wait = self.wait_for_ends(now, id, key, is_guaranteed);
        let is_ending = |candidate: &Candidate| candidate.remaining <= wait;
        let victim = |at: &usize| {
            let candidate = &candidates[*at];
            let cost = if is_ending(candidate) { 0.0 } else { candidate.victim.cost };
            evict::Victim { cost, ..candidate.victim.clone() }
        };
        let victims: Vec<evict::Victim> = allowed.iter().map(victim).collect();
        let Some(outcome) = evict::choose(&board.places, &victims, ask, reach) else { return };
        let mut seats = Vec::new();
        for seat in &outcome.seats {
            seats.push((board.places[seat.place].worker.to_string(), seat.tasks));
        }
        let claim = Claim { since: now.steady, seats };
        board.take_claim(&claim, ask);
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        if let Some(group) = entry.groups.get_mut(key) {
            group.claim = Some(claim);
        }
        let mut stopped = Vec::new();
        for victim in outcome.victims {
            let candidate = &mut board.candidates[allowed[victim]];
            // Its room is spoken for from now on.
            candidate.victim.seats.clear();
            if !candidate.is_stopping && candidate.remaining > wait {
                candidate.is_stopping = true;
                stopped.push((candidate.job.clone(), candidate.key));
            }
        }
        let cost = outcome.cost;
        let names: Vec<String> = stopped.iter().take(NAMED_STOPS).map(describe).collect();
        self.log(format!(
            "job={id} step={} index={} waits_ms={} stops={} first={} cost={cost:.0}",
            key.step,
            key.index,
            wait.as_millis(),
            stopped.len(),
            names.join(",")
        ));
        for (job, key) in stopped {
            self.stop_group(&job, &key);
        }
    }

    /// How long an urgent group can wait for work to end by itself rather than be stopped.
    fn wait_for_ends(
        &self,
        now: Moment,
        id: &str,
        key: &GroupKey,
        is_guaranteed: bool,
    ) -> Duration {
        let Some(entry) = self.table.entries.get(id) else { return Duration::ZERO };
        let Some(step) = entry.step(key.step) else { return Duration::ZERO };
        let age = Self::age(entry, now);
        let end = age + self.expect(entry, step) + OVERHEAD;
        let objective = self.objective(entry);
        let slack = objective.saturating_sub(end);
        let limit = if is_guaranteed {
            self.options.reclaim.saturating_sub(age + self.options.stop + OVERHEAD)
        } else {
            LONGEST_WAIT
        };
        if slack.is_zero() { limit.min(LATE_WAIT) } else { slack.min(limit) }.max(NEARLY_DONE)
    }
}

/// A group as a log line names it.
fn describe((job, key): &(JobId, GroupKey)) -> String {
    format!("{job}/{}/{}/{}", key.occurrence, key.step, key.index)
}
