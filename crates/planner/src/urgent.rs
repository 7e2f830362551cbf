//! Room for urgent groups: what is stopped for them, and what they wait for instead.

use std::time::Duration;

use sapphire_jobs::task::GroupKey;
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

impl Planner {
    /// Stops the cheapest groups that give room to an urgent one.
    #[expect(clippy::too_many_arguments, reason = "one decision with all that it looks at")]
    pub(crate) fn make_room(
        &mut self,
        now: Moment,
        board: &mut Board,
        id: &str,
        key: &GroupKey,
        ask: &Ask,
        reach: Reach,
        is_guaranteed: bool,
    ) {
        let may_stop = |candidate: &Candidate| {
            candidate.is_stopping
                || candidate.priority > 0
                || (is_guaranteed && !candidate.is_guaranteed)
        };
        let allowed: Vec<usize> =
            (0..board.candidates.len()).filter(|at| may_stop(&board.candidates[*at])).collect();
        let wait = self.wait_for_ends(now, id, key, is_guaranteed);
        let is_ending = |candidate: &Candidate| candidate.remaining <= wait;
        let victim = |at: &usize| {
            let candidate = &board.candidates[*at];
            let cost = if is_ending(candidate) { 0.0 } else { candidate.victim.cost };
            evict::Victim { cost, ..candidate.victim.clone() }
        };
        let victims: Vec<evict::Victim> = allowed.iter().map(victim).collect();
        let Some(outcome) = evict::choose(&board.places, &victims, ask, reach) else { return };
        let mut seats = Vec::new();
        for seat in &outcome.seats {
            seats.push((board.places[seat.place].worker.clone(), seat.tasks));
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
        self.log(format!("job={id} step={} waits for stops={stopped:?} cost={cost:.0}", key.step));
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
