//! The workers of one service as a pass sees them, and the groups that may be stopped on them.

use std::{
    cell::OnceCell,
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
    stops,
    table::Entry,
    worker::Worker,
};

/// Running groups that may be stopped.
#[derive(Default)]
struct Candidates {
    /// The data by which groups are chosen.
    candidates: Vec<preempt::Candidate>,
    /// Index of each group's job in `jobs`, and the group's key in that job.
    keys: Vec<(usize, GroupKey)>,
    jobs: Vec<JobId>,
}

/// Workers of one service, with the resources that are still free in this pass, and the groups that
/// may be stopped on them.
pub(crate) struct Pool {
    pub(crate) places: Vec<Place>,
    /// Workers that could be used if their zones were not cordoned.
    pub(crate) cordoned: Vec<Place>,
    /// Workers that could be used if they were not excluded as suspect.
    pub(crate) suspect: Vec<Place>,
    pub(crate) index: BTreeMap<WorkerName, usize>,
    /// Groups that may be stopped. Looked up when an urgent group first finds no free resources,
    /// which happens in few passes.
    pub(crate) candidates: Vec<preempt::Candidate>,
    /// Index of each candidate's job in `jobs`, and the candidate's key in that job.
    keys: Vec<(usize, GroupKey)>,
    /// Jobs of the candidates.
    jobs: Vec<JobId>,
    has_candidates: bool,
    /// Resources reserved for groups that wait.
    pub(crate) reservations: Vec<Reservation>,
    /// Whether capacity is scarce, and what is free on all workers, once a group has asked for it.
    pub(crate) capacity: OnceCell<(bool, Vec<Place>)>,
    /// Name of the service.
    pub(crate) service: String,
    /// Resources that are withheld for urgent work.
    pub(crate) held: stops::Held,
}

impl Pool {
    /// Returns the job and the key of a candidate.
    pub(crate) fn candidate(&self, at: usize) -> (JobId, GroupKey) {
        let (job, key) = self.keys[at];
        (self.jobs[job].clone(), key)
    }

    /// Allocates resources of a worker: its free ones first, then those that are reserved there.
    pub(crate) fn allocate(&mut self, at: usize, resources: Resources) {
        let place = &mut self.places[at];
        let mut from_reserved = resources.minus(place.free);
        place.free = place.free.minus(resources);
        place.add_pending(resources);
        for reservation in &mut self.reservations {
            from_reserved = reservation.give(at, from_reserved);
        }
    }

    /// Returns the places as seen by work that runs for `time` at the reference speed: with the
    /// reserved resources that are needed only later. Returns `None` if nothing is reserved beyond that time.
    pub(crate) fn open(&self, time: Duration) -> Option<Vec<Place>> {
        let mut open =
            self.reservations.iter().filter(|reservation| reservation.is_open(time)).peekable();
        open.peek()?;
        let mut places = self.places.clone();
        open.for_each(|reservation| reservation.open(&mut places, time));
        Some(places)
    }

    /// Adds the suspect workers to the places, for one group. Returns their number.
    pub(crate) fn admit_suspects(&mut self) -> usize {
        let suspects = self.suspect.len();
        self.places.append(&mut self.suspect);
        suspects
    }

    /// Takes back what [`Self::admit_suspects`] added.
    pub(crate) fn exclude_suspects(&mut self, suspects: usize) {
        let at = self.places.len() - suspects;
        self.suspect.extend(self.places.drain(at..));
    }

    /// Deducts the resources claimed by a group that waits for them to be released.
    pub(crate) fn apply_claim(&mut self, claim: &Claim, demand: &Demand) {
        for (name, tasks) in &claim.assignments {
            if let Some(at) = self.index.get(name) {
                let place = &mut self.places[*at];
                let claimed = demand.resources.times((*tasks).into());
                place.promised = place.promised.plus(claimed.minus(place.free));
                place.free = place.free.minus(claimed);
                place.add_pending(claimed);
            }
        }
    }
}

impl Planner {
    /// Returns the workers of a service that may be given tasks now.
    pub(crate) fn pool(&self, now: Moment, service: &str) -> Pool {
        let (mut places, mut cordoned, mut suspect) = (Vec::new(), Vec::new(), Vec::new());
        let mut index = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(minion) = &worker.incarnation else { continue };
            let is_recorded = self.startup.is_recorded(name, &minion.id);
            let is_ready = is_recorded && !self.awaits_vm(now, name, &minion.id);
            if minion.service != service || !worker.takes_starts(now.steady) || !is_ready {
                continue;
            }
            let is_cordoned = self.cordons.contains(worker);
            let suspicion = self.suspicion(name, now.steady);
            let list = match (suspicion, is_cordoned) {
                (Suspicion::Excluded, true) => continue,
                (Suspicion::Excluded, false) => &mut suspect,
                (_, true) => &mut cordoned,
                (_, false) => {
                    index.insert(name.clone(), places.len());
                    &mut places
                }
            };
            list.push(Place {
                worker: name.as_str().into(),
                rack: minion.rack.as_str().into(),
                labels: minion.labels.as_slice().into(),
                free: worker.capacity().minus(worker.used()),
                promised: Resources::default(),
                capacity: worker.capacity(),
                pending: self.pending_resources(name, worker),
                suspicion: u32::from(suspicion != Suspicion::None),
                slowness: self.slowness(name),
            });
        }
        Pool {
            places,
            cordoned,
            suspect,
            index,
            candidates: Vec::new(),
            keys: Vec::new(),
            jobs: Vec::new(),
            has_candidates: false,
            reservations: Vec::new(),
            capacity: OnceCell::new(),
            service: service.to_owned(),
            held: stops::Held::default(),
        }
    }

    /// Returns the tasks whose starts the next incarnation of a worker's minion may carry out: those
    /// that are unanswered, and those whose run no list has confirmed.
    ///
    /// A start that was answered counts until then because the next incarnation may have answered
    /// it, before its agent and the planner knew of that incarnation.
    pub(crate) fn pending_tasks<'a>(
        &'a self,
        name: &str,
        worker: &'a Worker,
    ) -> BTreeSet<&'a Task> {
        let mut tasks: BTreeSet<&Task> = self.unanswered.tasks_on(name).collect();
        if !tasks.is_empty() {
            tasks.extend(worker.unconfirmed_tasks());
        }
        tasks
    }

    /// Returns the resources of the starts that the next incarnation of a worker's minion may carry
    /// out; nothing if all of them have been answered.
    pub(crate) fn pending_resources(&self, name: &str, worker: &Worker) -> Resources {
        let resources = |task: &Task| match worker.runs.get(task) {
            Some(run) => run.resources,
            None => self.table.resources(task),
        };
        let tasks = self.pending_tasks(name, worker);
        tasks.into_iter().fold(Resources::default(), |sum, task| sum.plus(resources(task)))
    }

    /// Returns how much a worker is to be avoided.
    fn suspicion(&self, name: &str, now: Duration) -> Suspicion {
        if self.options.policy.doubt_workers {
            self.suspects.suspicion(name, now)
        } else {
            Suspicion::None
        }
    }

    /// Looks up the groups that may be stopped on a pool's workers, once per pool.
    pub(crate) fn look_up_candidates(
        &self,
        now: Moment,
        pool: &mut Pool,
        guaranteed: &BTreeSet<JobId>,
    ) {
        if !pool.has_candidates {
            let found = self.candidates(now, &pool.index, guaranteed);
            (pool.candidates, pool.keys, pool.jobs) = (found.candidates, found.keys, found.jobs);
            pool.has_candidates = true;
        }
    }

    /// Returns the running groups that may be stopped for more urgent ones.
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
            let priority = self.queue_settings(entry).priority;
            let objective = self.objective(entry);
            let is_guaranteed = guaranteed.contains(id);
            for (key, group) in &entry.groups {
                let Some(active) = group.active() else { continue };
                let Some(step) = entry.step(key.step) else { continue };
                if step.is_long_running {
                    continue;
                }
                let resources = Resources::read(step.room.as_ref());
                let released = active
                    .unfinished
                    .values()
                    .filter_map(|name| Some((*index.get(name)?, resources)));
                let remaining = self.remaining_run(now, entry, key, active);
                let end = Self::age(entry, now).saturating_add(remaining);
                let lateness = self.lateness(priority, objective.saturating_sub(end));
                let price =
                    if active.is_stopping { 0.0 } else { self.stop_price(active.unfinished.len()) };
                let cost = self.stop_cost(now, step, active) + lateness / running as f64 + price;
                let victim = evict::Victim { cost, released: released.collect() };
                let is_stopping = active.is_stopping;
                found.keys.push((job, *key));
                found.candidates.push(preempt::Candidate {
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

    /// Returns the work that is lost if a group is stopped, in processor seconds.
    fn stop_cost(&self, now: Moment, step: &Step, active: &Active) -> f64 {
        if active.is_stopping {
            return 0.0;
        }
        let ran = now.steady.saturating_sub(active.began.unwrap_or(active.ordered_at));
        let ran = self.active_slowness(active).reference_time(ran);
        let cores = Resources::read(step.room.as_ref()).weight() * active.unfinished.len() as f64;
        preempt::loss(cores, ran, step.checkpoints)
    }

    /// Returns the cost to a job's caller of stopping one of its groups, besides the lost work.
    /// `slack` is the time by which the job would end before its objective if the group went on.
    fn lateness(&self, priority: u32, slack: Duration) -> f64 {
        if self.options.policy.weigh_lateness { wait::stop_lateness(priority, slack) } else { 0.0 }
    }

    /// Returns how much longer a group's run will take.
    pub(crate) fn remaining_run(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        active: &Active,
    ) -> Duration {
        let own = entry.groups.get(key).and_then(Group::reliable_observation);
        let expected = own.map_or_else(
            || self.expected_run_time(entry, key.step),
            |observation| observation.run_time,
        );
        let expected = self.active_slowness(active).run_time(expected);
        let mut task = Task {
            job: entry.job.id.clone(),
            occurrence: key.occurrence,
            step: key.step,
            index: key.index,
        };
        let remaining = |(index, name): (&u32, &WorkerName)| {
            task.index = *index;
            let run = self.workers.get(name)?.runs.get(&task)?;
            Some(run.remaining(expected, now.steady))
        };
        active.unfinished.iter().filter_map(remaining).max().unwrap_or(Duration::MAX)
    }
}
