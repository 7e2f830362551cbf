//! What a pass sees of one service: its workers, and the groups that may be stopped on them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    room::Room,
    task::{GroupKey, JobId, Task, WorkerName},
};
use sapphire_plan::{
    clear, evict,
    reserve::Reservation,
    seat::{Ask, Place},
    suspect::Doubt,
    wait,
};

use crate::{
    event::Moment,
    group::{Active, Claim, Group},
    planner::Planner,
    table::Entry,
};

/// A running group that may be stopped.
pub(crate) struct Candidate {
    pub(crate) job: JobId,
    pub(crate) key: GroupKey,
    /// What decides about it.
    pub(crate) of_plan: clear::Candidate,
}

/// Workers of one service, and what may be stopped on them.
pub(crate) struct Board {
    pub(crate) places: Vec<Place>,
    pub(crate) index: BTreeMap<WorkerName, usize>,
    /// Looked up when an urgent group first finds no room, which most passes never see.
    pub(crate) candidates: Vec<Candidate>,
    has_candidates: bool,
    /// Room that is kept for the first group that waits.
    pub(crate) reservation: Option<Reservation>,
}

impl Board {
    /// What decides about each group that may be stopped, by index.
    pub(crate) fn stoppable(&self) -> Vec<clear::Candidate> {
        self.candidates.iter().map(|candidate| candidate.of_plan.clone()).collect()
    }

    /// Takes room on a worker, of what is free there and else of what is kept there.
    pub(crate) fn take_room(&mut self, at: usize, room: Room) {
        let place = &mut self.places[at];
        let of_kept = room.minus(place.free);
        place.free = place.free.minus(room);
        if let Some(reservation) = &mut self.reservation {
            reservation.give(at, of_kept);
        }
    }

    /// Keeps room for a group that waits for it to be freed.
    pub(crate) fn take_claim(&mut self, claim: &Claim, ask: &Ask) {
        for (name, tasks) in &claim.seats {
            if let Some(at) = self.index.get(name) {
                let place = &mut self.places[*at];
                let claimed = ask.room.times((*tasks).into());
                place.owed = place.owed.plus(claimed.minus(place.free));
                place.free = place.free.minus(claimed);
            }
        }
    }
}

impl Planner {
    pub(crate) fn board(&self, now: Moment, service: &str) -> Board {
        let mut places = Vec::new();
        let mut index = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(minion) = &worker.incarnation else { continue };
            let doubt = match self.doubt(name, now.steady) {
                Doubt::None => 0,
                Doubt::Last => 1,
                Doubt::Closed => continue,
            };
            let is_recorded = self.startup.is_recorded(name);
            if minion.service != service || !worker.is_open(now.steady) || !is_recorded {
                continue;
            }
            index.insert(name.clone(), places.len());
            places.push(Place {
                worker: name.as_str().into(),
                rack: minion.rack.as_str().into(),
                labels: minion.labels.as_slice().into(),
                free: worker.capacity().minus(worker.used()),
                owed: Room::default(),
                capacity: worker.capacity(),
                doubt,
            });
        }
        Board { places, index, candidates: Vec::new(), has_candidates: false, reservation: None }
    }

    fn doubt(&self, name: &str, now: Duration) -> Doubt {
        if self.options.policy.doubt_workers { self.suspects.doubt(name, now) } else { Doubt::None }
    }

    /// Looks up what may be stopped on a board's workers, once.
    pub(crate) fn look_up_candidates(
        &self,
        now: Moment,
        board: &mut Board,
        guaranteed: &BTreeSet<JobId>,
    ) {
        if !board.has_candidates {
            board.candidates = self.candidates(now, &board.index, guaranteed);
            board.has_candidates = true;
        }
    }

    /// Running groups that may be stopped for more urgent ones.
    fn candidates(
        &self,
        now: Moment,
        index: &BTreeMap<WorkerName, usize>,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (id, entry) in &self.table.entries {
            let active = entry.groups.values().filter(|group| group.active().is_some());
            let running = active.count().max(1) as f64;
            for (key, group) in &entry.groups {
                let Some(active) = group.active() else { continue };
                let Some(step) = entry.step(key.step) else { continue };
                if step.is_long_running {
                    continue;
                }
                let room = Room::read(step.room.as_ref());
                let seats = active.left.values().filter_map(|name| Some((*index.get(name)?, room)));
                let remaining = self.remaining_run(now, entry, key, active);
                let cost = self.stop_cost(now, entry, key, active)
                    + self.lateness(now, entry, remaining) / running;
                found.push(Candidate {
                    job: id.clone(),
                    key: *key,
                    of_plan: clear::Candidate {
                        priority: self.terms(entry).priority,
                        is_guaranteed: guaranteed.contains(id),
                        is_stopping: active.is_stopping,
                        remaining,
                        victim: evict::Victim { cost, seats: seats.collect() },
                    },
                });
            }
        }
        found
    }

    /// What stopping a group loses, in processor seconds.
    fn stop_cost(&self, now: Moment, entry: &Entry, key: &GroupKey, active: &Active) -> f64 {
        let Some(step) = entry.step(key.step) else { return 0.0 };
        if active.is_stopping {
            return 0.0;
        }
        let ran = now.steady.saturating_sub(active.began.unwrap_or(active.since));
        let cores = Room::read(step.room.as_ref()).weight() * active.left.len() as f64;
        clear::loss(cores, ran, step.checkpoints)
    }

    /// What it costs a job's caller that one of its groups is stopped, beside the work lost.
    fn lateness(&self, now: Moment, entry: &Entry, remaining: Duration) -> f64 {
        if !self.options.policy.weigh_lateness {
            return 0.0;
        }
        let end = Self::age(entry, now).saturating_add(remaining);
        let slack = self.objective(entry).saturating_sub(end);
        wait::stop_lateness(self.terms(entry).priority, slack)
    }

    /// How much longer a group's run will take.
    fn remaining_run(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        active: &Active,
    ) -> Duration {
        let own = entry.groups.get(key).and_then(Group::known);
        let expected = own.map_or_else(|| self.expect(entry, key.step), |shown| shown.whole);
        let of = |(index, name): (&u32, &WorkerName)| {
            let task = Task {
                job: entry.job.id.clone(),
                occurrence: key.occurrence,
                step: key.step,
                index: *index,
            };
            let run = self.workers.get(name)?.runs.get(&task)?;
            Some(run.remaining(expected, now.steady))
        };
        active.left.iter().filter_map(of).max().unwrap_or(Duration::MAX)
    }
}
