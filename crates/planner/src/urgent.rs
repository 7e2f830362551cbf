//! Room for urgent groups: what is stopped for them, and what they wait for instead.

use std::{collections::BTreeSet, time::Duration};

use sapphire_jobs::{
    room::Room,
    task::{GroupKey, JobId},
};
use sapphire_plan::{
    evict,
    seat::{Ask, Place, Reach, Seat},
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
    pub(crate) ask: &'a Ask,
    pub(crate) reach: Reach,
    /// Its job is within its organisation's guarantee.
    pub(crate) is_guaranteed: bool,
}

/// What is given up for an urgent group.
struct Stops {
    /// Work that ends by itself within this is waited for.
    wait: Duration,
    outcome: evict::Outcome,
    /// Candidates by index of the outcome's victims.
    allowed: Vec<usize>,
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
        let wait = self.wait_for_ends(now, urgent);
        let places = board.places.clone();
        let Some(stops) = choose(board, &places, urgent, wait) else { return };
        self.claim(now, board, urgent, stops, false);
    }

    /// Work that was to end by itself has not: stops it, in the same place. Returns whether the
    /// place can still be had.
    ///
    /// Guards against an urgent group that never starts: with a new choice each time that the
    /// wait is over, what the earlier ones have freed goes to others, and as much again is
    /// stopped elsewhere. One group waited 13 s so and stopped 250 tasks.
    pub(crate) fn force_room(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        claim: &Claim,
        guaranteed: &BTreeSet<JobId>,
    ) -> bool {
        self.look_up_candidates(now, board, guaranteed);
        let is_claimed =
            |place: &Place| claim.seats.iter().any(|(name, _)| **name == *place.worker);
        let mut places = board.places.clone();
        for place in places.iter_mut().filter(|place| !is_claimed(place)) {
            place.free = Room::default();
            place.owed = place.capacity;
        }
        let Some(stops) = choose(board, &places, urgent, Duration::ZERO) else { return false };
        self.claim(now, board, urgent, stops, true);
        true
    }

    /// Keeps room for an urgent group, and stops what is in the way.
    fn claim(
        &mut self,
        now: Moment,
        board: &mut Board,
        urgent: &Urgent<'_>,
        stops: Stops,
        is_forced: bool,
    ) {
        let Urgent { id, key, ask, .. } = *urgent;
        let Stops { wait, outcome, allowed } = stops;
        let seat = |seat: &Seat| (board.places[seat.place].worker.to_string(), seat.tasks);
        let seats = outcome.seats.iter().map(seat).collect();
        let until = now.steady + wait.max(self.options.stop) + SETTLING;
        let claim = Claim { until, is_forced, seats };
        board.take_claim(&claim, ask);
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        if let Some(group) = entry.groups.get_mut(key) {
            group.claim = Some(claim);
        }
        let mut stopped = Vec::new();
        for victim in outcome.victims {
            let candidate = &mut board.candidates[allowed[victim]];
            if !candidate.is_stopping && candidate.remaining > wait {
                candidate.is_stopping = true;
                stopped.push((candidate.job.clone(), candidate.key));
            }
        }
        let cost = outcome.cost;
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
            self.stop_group(&job, &key);
        }
    }

    /// How long an urgent group can wait for work to end by itself rather than be stopped.
    fn wait_for_ends(&self, now: Moment, urgent: &Urgent<'_>) -> Duration {
        let Some(entry) = self.table.entries.get(urgent.id) else { return Duration::ZERO };
        let Some(step) = entry.step(urgent.key.step) else { return Duration::ZERO };
        let age = Self::age(entry, now);
        let end = age + self.expect(entry, step) + OVERHEAD;
        let objective = self.objective(entry);
        let slack = objective.saturating_sub(end);
        let limit = if urgent.is_guaranteed {
            self.options.reclaim.saturating_sub(age + self.options.stop + OVERHEAD)
        } else {
            LONGEST_WAIT
        };
        if slack.is_zero() { limit.min(LATE_WAIT) } else { slack.min(limit) }.max(NEARLY_DONE)
    }
}

/// The cheapest work that gives room to an urgent group in some places, with what ends within
/// the wait for nothing.
fn choose(board: &Board, places: &[Place], urgent: &Urgent<'_>, wait: Duration) -> Option<Stops> {
    let may_stop = |candidate: &Candidate| {
        candidate.is_stopping
            || candidate.priority > 0
            || (urgent.is_guaranteed && !candidate.is_guaranteed)
    };
    let candidates = &board.candidates;
    let allowed: Vec<usize> =
        (0..candidates.len()).filter(|at| may_stop(&candidates[*at])).collect();
    let victim = |at: &usize| {
        let candidate = &candidates[*at];
        let is_ending = candidate.remaining <= wait;
        let cost = if is_ending { 0.0 } else { candidate.victim.cost };
        evict::Victim { cost, ..candidate.victim.clone() }
    };
    let victims: Vec<evict::Victim> = allowed.iter().map(victim).collect();
    let outcome = evict::choose(places, &victims, urgent.ask, urgent.reach)?;
    Some(Stops { wait, outcome, allowed })
}

/// A group as a log line names it.
fn describe((job, key): &(JobId, GroupKey)) -> String {
    format!("{job}/{}/{}/{}", key.occurrence, key.step, key.index)
}
