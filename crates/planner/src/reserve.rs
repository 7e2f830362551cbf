//! Room that a pass keeps for the first group that finds none.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    assignment::{Demand, Reach},
    preempt,
    reserve::{Reservation, Running},
};

use crate::{board::Board, event::Moment, group::Group, planner::Planner, table::Entry};

/// Room is kept for one group for each so many workers, and for one at least.
const RESERVED_OF: usize = 10;

impl Planner {
    /// Keeps room for a group that finds none, unless some is kept for another.
    pub(crate) fn reserve(
        &self,
        now: Moment,
        board: &mut Board,
        ask: &Demand,
        reach: Reach,
        guaranteed: &BTreeSet<JobId>,
    ) {
        // A group that avoids workers waits for others, and its siblings may use those meanwhile.
        let is_off = !self.options.policy.reserve_room || !ask.avoid.is_empty();
        let most = (board.places.len() / RESERVED_OF).max(1);
        if is_off || board.reservations.len() >= most {
            return;
        }
        self.look_up_candidates(now, board, guaranteed);
        let remaining = |candidate: &preempt::Candidate| {
            if candidate.is_stopping { self.options.stop } else { candidate.remaining }
        };
        let running: Vec<Running<'_>> = (board.candidates.iter())
            .map(|it| Running { remaining: remaining(it), released: &it.victim.released })
            .collect();
        let reservation = Reservation::new(&mut board.places, &running, ask, reach);
        board.reservations.push(reservation);
    }

    /// The longest time that a group's run may well take.
    pub(crate) fn longest_run(&self, entry: &Entry, key: &GroupKey) -> Duration {
        let shown = entry.groups.get(key).and_then(Group::known);
        shown.map_or_else(|| self.estimate(entry, key.step).upper(), |shown| shown.whole)
    }
}
