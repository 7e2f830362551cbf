//! The start of a group on the workers that were chosen for it.

use std::collections::BTreeMap;

use sapphire_jobs::task::{GroupKey, RunNumber, Task};
use sapphire_plan::assignment::{Assignment, Demand};

use crate::{
    board::Board,
    event::Moment,
    group::{Active, Phase, Seats},
    options,
    planner::Planner,
    worker::{self, Run},
};

impl Planner {
    /// Orders the tasks of a group where they were seated.
    pub(crate) fn place(
        &mut self,
        now: Moment,
        board: &mut Board,
        id: &str,
        key: &GroupKey,
        ask: &Demand,
        seats: &[Assignment],
    ) {
        let first = (self.startup.terms - 1) * options::RUNS_PER_TERM + 1;
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        let Some(group) = entry.groups.get_mut(key) else { return };
        let left = take(board, key.index, ask, seats);
        let is_far = is_far(board, ask, seats);
        let number = first.max(group.run + 1);
        let waited = now.steady.saturating_sub(group.since).as_millis();
        group.run = number;
        group.claim = None;
        let held = group.held.take();
        group.phase = Phase::Active(Active {
            since: now.steady,
            began: None,
            left: left.clone(),
            is_stopping: false,
            is_far,
            checkpoint: group.checkpoint.clone(),
        });
        self.order(now, id, key, ask, number, &left);
        let expected = self.table.entries.get(id).map(|entry| self.estimate(entry, key.step));
        let expected = expected.unwrap_or_default();
        let names: Vec<&str> = left.values().map(String::as_str).collect();
        self.log(format!(
            "job={id} step={} index={} run={number} placed on={} waited_ms={waited} far={is_far} \
             expected_ms={} spread={:.2}",
            key.step,
            key.index,
            names.join(","),
            expected.centre.as_millis(),
            expected.spread
        ));
        if let Some(since) = held {
            let held = now.steady.saturating_sub(since).as_millis();
            self.log(format!(
                "job={id} step={} index={} run={number} waited {held} ms for unanswered starts",
                key.step, key.index
            ));
        }
    }

    /// Enters a run's tasks in the ledgers of their workers, whose agents are told of them.
    fn order(
        &mut self,
        now: Moment,
        id: &str,
        key: &GroupKey,
        ask: &Demand,
        number: RunNumber,
        left: &Seats,
    ) {
        for (index, name) in left {
            let (occurrence, step) = (key.occurrence, key.step);
            let task = Task { job: id.to_owned(), occurrence, step, index: *index };
            let Some(worker) = self.workers.get_mut(name) else { continue };
            let run = Run::new(number, ask.resources, worker::Phase::Ordered, 0, now.steady);
            worker.runs.insert(task, run);
        }
    }
}

/// Takes the room of a group's tasks, which are numbered from `first`.
fn take(board: &mut Board, first: u32, ask: &Demand, seats: &[Assignment]) -> Seats {
    let mut left = BTreeMap::new();
    let mut bound = ask.bound.clone();
    let mut free = (0..ask.tasks).filter(|offset| !ask.bound.contains_key(offset));
    for seat in seats {
        board.take_room(seat.place, ask.resources.times(seat.tasks.into()));
        let place = &board.places[seat.place];
        for _ in 0..seat.tasks {
            let own = bound.iter().find(|(_, worker)| **worker == *place.worker);
            let own = own.map(|(offset, _)| *offset);
            let Some(offset) = own.or_else(|| free.next()) else { continue };
            bound.remove(&offset);
            left.insert(first + offset, place.worker.to_string());
        }
    }
    left
}

/// Whether a group runs away from its data, or on several racks although it wants one.
fn is_far(board: &Board, ask: &Demand, seats: &[Assignment]) -> bool {
    let mut racks = seats.iter().map(|seat| &*board.places[seat.place].rack);
    let first = racks.clone().next();
    let is_scattered = ask.wants_one_rack && racks.clone().any(|rack| Some(rack) != first);
    let is_away = !ask.near_rack.is_empty() && racks.any(|rack| *rack != *ask.near_rack);
    is_scattered || is_away
}
