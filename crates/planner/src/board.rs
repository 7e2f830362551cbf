//! What a pass sees of one service: its workers, and the groups that may be stopped on them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{
    Step,
    resources::Resources,
    task::{GroupKey, JobId, Task, WorkerName},
};
use sapphire_plan::{
    assignment::{Demand, Place},
    evict, preempt,
    reserve::Reservation,
    suspect::Suspicion,
    wait,
};

use crate::{
    event::Moment,
    group::{Active, Claim, Group},
    planner::Planner,
    table::Entry,
};

/// Running groups that may be stopped.
#[derive(Default)]
struct Candidates {
    /// What decides about each.
    of_plan: Vec<preempt::Candidate>,
    /// Index of each one's job, and its key there.
    keys: Vec<(usize, GroupKey)>,
    jobs: Vec<JobId>,
}

/// Workers of one service, and what may be stopped on them.
pub(crate) struct Board {
    pub(crate) places: Vec<Place>,
    pub(crate) index: BTreeMap<WorkerName, usize>,
    /// Looked up when an urgent group first finds no room, which most passes never see.
    pub(crate) candidates: Vec<preempt::Candidate>,
    /// Index of each candidate's job, and its key there.
    keys: Vec<(usize, GroupKey)>,
    /// Jobs of the candidates.
    jobs: Vec<JobId>,
    has_candidates: bool,
    /// Room that is kept for the first group that waits.
    pub(crate) reservations: Vec<Reservation>,
}

impl Board {
    /// Job and key of a candidate.
    pub(crate) fn candidate(&self, at: usize) -> (JobId, GroupKey) {
        let (job, key) = self.keys[at];
        (self.jobs[job].clone(), key)
    }

    /// Takes room on a worker, of what is free there and else of what is kept there.
    pub(crate) fn take_room(&mut self, at: usize, room: Resources) {
        let place = &mut self.places[at];
        let mut of_kept = room.minus(place.free);
        place.free = place.free.minus(room);
        for reservation in &mut self.reservations {
            of_kept = reservation.give(at, of_kept);
        }
    }

    /// Places as they are for work that takes so long, with the room that is kept until later;
    /// nothing when none is.
    pub(crate) fn open(&self, time: Duration) -> Option<Vec<Place>> {
        let mut open = self.reservations.iter().filter(|kept| kept.is_open(time)).peekable();
        open.peek()?;
        let mut places = self.places.clone();
        open.for_each(|kept| kept.open(&mut places));
        Some(places)
    }

    /// Keeps room for a group that waits for it to be freed.
    pub(crate) fn take_claim(&mut self, claim: &Claim, ask: &Demand) {
        for (name, tasks) in &claim.seats {
            if let Some(at) = self.index.get(name) {
                let place = &mut self.places[*at];
                let claimed = ask.resources.times((*tasks).into());
                place.promised = place.promised.plus(claimed.minus(place.free));
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
            let suspicion = match self.doubt(name, now.steady) {
                Suspicion::None => 0,
                Suspicion::LastChoice => 1,
                Suspicion::Excluded => continue,
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
                promised: Resources::default(),
                capacity: worker.capacity(),
                suspicion,
            });
        }
        Board {
            places,
            index,
            candidates: Vec::new(),
            keys: Vec::new(),
            jobs: Vec::new(),
            has_candidates: false,
            reservations: Vec::new(),
        }
    }

    fn doubt(&self, name: &str, now: Duration) -> Suspicion {
        if self.options.policy.doubt_workers {
            self.suspects.suspicion(name, now)
        } else {
            Suspicion::None
        }
    }

    /// Looks up what may be stopped on a board's workers, once.
    pub(crate) fn look_up_candidates(
        &self,
        now: Moment,
        board: &mut Board,
        guaranteed: &BTreeSet<JobId>,
    ) {
        if !board.has_candidates {
            let found = self.candidates(now, &board.index, guaranteed);
            (board.candidates, board.keys, board.jobs) = (found.of_plan, found.keys, found.jobs);
            board.has_candidates = true;
        }
    }

    /// Running groups that may be stopped for more urgent ones.
    fn candidates(
        &self,
        now: Moment,
        index: &BTreeMap<WorkerName, usize>,
        guaranteed: &BTreeSet<JobId>,
    ) -> Candidates {
        let mut found = Candidates::default();
        for (id, entry) in &self.table.entries {
            let running = entry.groups.values().filter(|group| group.active().is_some()).count();
            if running == 0 {
                continue;
            }
            let job = found.jobs.len();
            found.jobs.push(id.clone());
            let priority = self.terms(entry).priority;
            let objective = self.objective(entry);
            let is_guaranteed = guaranteed.contains(id);
            for (key, group) in &entry.groups {
                let Some(active) = group.active() else { continue };
                let Some(step) = entry.step(key.step) else { continue };
                if step.is_long_running {
                    continue;
                }
                let room = Resources::read(step.room.as_ref());
                let seats = active.left.values().filter_map(|name| Some((*index.get(name)?, room)));
                let remaining = self.remaining_run(now, entry, key, active);
                let end = Self::age(entry, now).saturating_add(remaining);
                let lateness = self.lateness(priority, objective.saturating_sub(end));
                let cost = self.stop_cost(now, step, active) + lateness / running as f64;
                let victim = evict::Victim { cost, released: seats.collect() };
                let is_stopping = active.is_stopping;
                found.keys.push((job, *key));
                found.of_plan.push(preempt::Candidate {
                    priority,
                    is_guaranteed,
                    is_stopping,
                    remaining,
                    victim,
                });
            }
        }
        found
    }

    /// What stopping a group loses, in processor seconds.
    fn stop_cost(&self, now: Moment, step: &Step, active: &Active) -> f64 {
        if active.is_stopping {
            return 0.0;
        }
        let ran = now.steady.saturating_sub(active.began.unwrap_or(active.since));
        let cores = Resources::read(step.room.as_ref()).weight() * active.left.len() as f64;
        preempt::loss(cores, ran, step.checkpoints)
    }

    /// What it costs a job's caller that one of its groups is stopped, beside the work lost.
    /// `slack` is the time by which the job would be early if it went on.
    fn lateness(&self, priority: u32, slack: Duration) -> f64 {
        if self.options.policy.weigh_lateness { wait::stop_lateness(priority, slack) } else { 0.0 }
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
        let mut task = Task {
            job: entry.job.id.clone(),
            occurrence: key.occurrence,
            step: key.step,
            index: key.index,
        };
        let of = |(index, name): (&u32, &WorkerName)| {
            task.index = *index;
            let run = self.workers.get(name)?.runs.get(&task)?;
            Some(run.remaining(expected, now.steady))
        };
        active.left.iter().filter_map(of).max().unwrap_or(Duration::MAX)
    }
}
