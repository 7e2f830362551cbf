//! Reserves resources for groups that wait.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};
use sapphire_plan::{
    clear,
    reserve::{Reservation, Running},
    seat::{Ask, Reach},
};

use crate::{board::Board, event::Moment, group::Group, planner::Planner, table::Entry};

/// Number of workers for each group that may hold a reservation; one group may hold one in any
/// case.
const RESERVED_OF: usize = 10;

impl Planner {
    /// Reserves resources for a group that cannot start, unless there are enough reservations
    /// already.
    pub(crate) fn reserve(
        &self,
        now: Moment,
        board: &mut Board,
        ask: &Ask,
        reach: Reach,
        guaranteed: &BTreeSet<JobId>,
    ) {
        // A group that avoids workers waits for the others; meanwhile other groups may use those
        // that it avoids.
        let is_off = !self.options.policy.reserve_room || !ask.avoid.is_empty();
        let most = (board.places.len() / RESERVED_OF).max(1);
        if is_off || board.reservations.len() >= most {
            return;
        }
        self.look_up_candidates(now, board, guaranteed);
        let remaining = |candidate: &clear::Candidate| {
            if candidate.is_stopping { self.options.stop } else { candidate.remaining }
        };
        let running: Vec<Running<'_>> = (board.candidates.iter())
            .map(|it| Running { remaining: remaining(it), seats: &it.victim.seats })
            .collect();
        let reservation = Reservation::new(&mut board.places, &running, ask, reach);
        board.reservations.push(reservation);
    }

    /// Returns an upper estimate of a group's run time.
    pub(crate) fn longest_run(&self, entry: &Entry, key: &GroupKey) -> Duration {
        let shown = entry.groups.get(key).and_then(Group::known);
        shown.map_or_else(|| self.estimate(entry, key.step).upper(), |shown| shown.whole)
    }
}
