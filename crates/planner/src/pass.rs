//! One pass over the groups that wait: which start now, where, and what is stopped for them.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    State,
    room::Room,
    task::{GroupKey, JobId, Task, WorkerName},
};
use sapphire_plan::{
    evict, rank,
    seat::{self, Ask, Place, Reach, Seat},
    suspect::Doubt,
};

use crate::{
    event::Moment,
    group::{Active, Claim, Phase},
    options,
    planner::Planner,
    table::Entry,
    worker::{self, Run},
};

/// Time for which room that is being freed is kept for the group it is freed for. Above the
/// longest stop plus two messages between regions.
const CLAIM: Duration = Duration::from_millis(1_200);
/// A run expected to end within this is not worth stopping.
const NEARLY_DONE: Duration = Duration::from_millis(500);
/// Time from a decision to the start of a task and from its end to the caller's view of it.
const OVERHEAD: Duration = Duration::from_millis(300);
/// Longest wait of an urgent group for work to end by itself.
const LONGEST_WAIT: Duration = Duration::from_millis(2_500);
/// The same for one that will be late in any case.
const LATE_WAIT: Duration = Duration::from_millis(1_000);
/// Work of a run that saves its progress which a stop costs: its restart and what it waits.
const RESTART: Duration = Duration::from_millis(400);
/// Share of the bound for guaranteed jobs after which they start also where they are slower.
const URGENT_SHARE: f64 = 0.6;

/// Workers on which nothing runs that work with something to lose leaves alone while it can
/// wait, at most. One or three gained less at a load 1.3 times the usual one.
const SPARED: usize = 2;
/// One worker is spared for each so many, so that a small fleet is not left idle.
const SPARED_OF: usize = 5;
/// How many times longer work that is not urgent waits for a place where it is not slower.
const PATIENT_FAR: u32 = 4;
/// Time before a job would be late from which it does not wait for a better place any more.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// A group that waits.
struct Waiting {
    rank: rank::Rank,
    job: JobId,
    key: GroupKey,
}

/// A running group that may be stopped.
struct Candidate {
    job: JobId,
    key: GroupKey,
    priority: u32,
    is_guaranteed: bool,
    is_stopping: bool,
    /// How much longer it will run by itself.
    remaining: Duration,
    victim: evict::Victim,
}

/// Workers of one service, and what may be stopped on them.
struct Board {
    places: Vec<Place>,
    index: BTreeMap<WorkerName, usize>,
    candidates: Vec<Candidate>,
}

impl Planner {
    /// Starts what can start.
    pub(crate) fn pass(&mut self, now: Moment) {
        let guaranteed = self.guaranteed_jobs();
        let waiting = self.waiting(now, &guaranteed);
        let mut boards: BTreeMap<String, Board> = BTreeMap::new();
        for Waiting { job, key, .. } in waiting {
            let Some(entry) = self.table.entries.get(&job) else { continue };
            let service = self.queue(entry).service;
            if !boards.contains_key(&service) {
                let board = self.board(now, &service, &guaranteed);
                boards.insert(service.clone(), board);
            }
            let board = boards.get_mut(&service).expect("inserted above");
            let is_guaranteed = guaranteed.contains(&job);
            self.try_group(now, board, &job, &key, is_guaranteed);
        }
    }

    /// Jobs of priority 0 that their organisation's guarantee covers, the earliest first.
    fn guaranteed_jobs(&self) -> std::collections::BTreeSet<JobId> {
        let mut urgent: Vec<&Entry> = (self.table.open.iter())
            .filter_map(|id| self.table.entries.get(id))
            .filter(|entry| self.queue(entry).priority == 0)
            .collect();
        urgent.sort_by_key(|entry| (entry.job.accepted_ms, entry.job.id.clone()));
        let mut taken: BTreeMap<&str, u64> = BTreeMap::new();
        let mut covered = std::collections::BTreeSet::new();
        for entry in urgent {
            let name = entry.job.organisation.as_str();
            let owned = self.catalog.organisation(name);
            let most = owned.map_or(0, |owned| u64::from(owned.guaranteed_accelerators));
            let sum = taken.entry(name).or_default();
            if *sum + entry.accelerators() <= most {
                *sum += entry.accelerators();
                covered.insert(entry.job.id.clone());
            }
        }
        covered
    }

    /// Groups that may start, in the order in which they are tried.
    fn waiting(&self, now: Moment, guaranteed: &std::collections::BTreeSet<JobId>) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            if entry.is_inherited && !self.startup.is_settled() {
                // Something that an earlier planner ordered may still begin.
                continue;
            }
            let rank = rank::rank(&self.job_rank(now, entry, guaranteed.contains(id)));
            let ready = entry
                .groups
                .iter()
                .filter(|(key, group)| group.phase == Phase::Waiting && entry.is_unblocked(key));
            waiting.extend(ready.map(|(key, _)| Waiting { rank, job: id.clone(), key: *key }));
        }
        waiting.sort_by(|left, right| {
            (left.rank, &left.job, left.key).cmp(&(right.rank, &right.job, right.key))
        });
        waiting
    }

    fn job_rank(&self, now: Moment, entry: &Entry, is_guaranteed: bool) -> rank::Job {
        rank::Job {
            priority: self.queue(entry).priority,
            is_guaranteed,
            age: Self::age(entry, now),
            objective: self.objective(entry),
            remaining: entry.remaining(|step| self.expect(entry, step)),
            work: sapphire_jobs::length::work(&entry.job.steps),
        }
    }

    fn board(
        &self,
        now: Moment,
        service: &str,
        guaranteed: &std::collections::BTreeSet<JobId>,
    ) -> Board {
        let mut places = Vec::new();
        let mut index = BTreeMap::new();
        for (name, worker) in &self.workers {
            let Some(minion) = &worker.incarnation else { continue };
            let doubt = match self.suspects.doubt(name, now.steady) {
                Doubt::None => 0,
                Doubt::Last => 1,
                Doubt::Closed => continue,
            };
            let is_enrolled = self.startup.is_member(name);
            if minion.service != service || !worker.is_open(now.steady) || !is_enrolled {
                continue;
            }
            index.insert(name.clone(), places.len());
            places.push(Place {
                worker: name.clone(),
                rack: minion.rack.clone(),
                labels: minion.labels.clone(),
                free: worker.capacity().minus(worker.used()),
                capacity: worker.capacity(),
                doubt,
            });
        }
        let candidates = self.candidates(now, &index, guaranteed);
        Board { places, index, candidates }
    }

    /// Running groups that may be stopped for more urgent ones.
    fn candidates(
        &self,
        now: Moment,
        index: &BTreeMap<WorkerName, usize>,
        guaranteed: &std::collections::BTreeSet<JobId>,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (id, entry) in &self.table.entries {
            for (key, group) in &entry.groups {
                let Some(active) = group.active() else { continue };
                let Some(step) = entry.step(key.step) else { continue };
                if step.is_long_running {
                    continue;
                }
                let room = Room::read(step.room.as_ref());
                let seats = active.left.values().filter_map(|name| Some((*index.get(name)?, room)));
                let cost = self.stop_cost(now, entry, key, active);
                found.push(Candidate {
                    job: id.clone(),
                    key: *key,
                    priority: self.queue(entry).priority,
                    is_guaranteed: guaranteed.contains(id),
                    is_stopping: active.is_stopping,
                    remaining: self.remaining_run(now, entry, key, active),
                    victim: evict::Victim { cost, seats: seats.collect() },
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
        let lost = if step.checkpoints { RESTART } else { ran + RESTART };
        let tasks = active.left.len() as f64;
        Room::read(step.room.as_ref()).weight() * tasks * lost.as_secs_f64()
    }

    /// How much longer a group's run will take.
    fn remaining_run(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        active: &Active,
    ) -> Duration {
        let Some(step) = entry.step(key.step) else { return Duration::MAX };
        let expected = self.expect(entry, step);
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

    fn ask(&self, entry: &Entry, key: &GroupKey) -> Option<Ask> {
        let step = entry.step(key.step)?;
        let group = entry.groups.get(key)?;
        let mut present: BTreeMap<WorkerName, u32> = BTreeMap::new();
        if step.per_worker > 0 {
            let same = entry
                .groups
                .iter()
                .filter(|(other, _)| other.occurrence == key.occurrence && other.step == key.step);
            for name in same.filter_map(|(_, group)| group.active()).flat_map(|it| it.left.values())
            {
                *present.entry(name.clone()).or_default() += 1;
            }
        }
        Some(Ask {
            tasks: if step.is_gang { step.tasks } else { 1 },
            room: Room::read(step.room.as_ref()),
            label: step.label.clone(),
            near_rack: step.near_rack.clone(),
            wants_one_rack: step.is_gang && step.wants_one_rack,
            per_worker: step.per_worker,
            present,
            avoid: group.avoid.clone(),
        })
    }

    fn try_group(
        &mut self,
        now: Moment,
        board: &mut Board,
        id: &str,
        key: &GroupKey,
        is_guaranteed: bool,
    ) {
        let Some(entry) = self.table.entries.get(id) else { return };
        let Some(ask) = self.ask(entry, key) else { return };
        let queue = self.queue(entry);
        let reach = self.reach(now, board, entry, key, &ask, is_guaranteed);
        let seats = if self.can_wait(now, entry, key) {
            let keep = SPARED.min(board.places.len() / SPARED_OF);
            seat::seat(&seat::spare(&board.places, keep), &ask, reach)
        } else {
            seat::seat(&board.places, &ask, reach)
        };
        if let Some(seats) = seats {
            self.place(now, board, id, key, &ask, &seats);
            return;
        }
        let group = entry.groups.get(key).expect("asked for above");
        if let Some(claim) = &group.claim
            && now.steady < claim.since + CLAIM
        {
            let claim = claim.clone();
            take_claim(board, &claim, &ask);
            return;
        }
        if queue.priority == 0 {
            self.make_room(now, board, id, key, &ask, reach, is_guaranteed);
        }
    }

    /// Whether a group would lose work if it were stopped, and has time to wait for a place
    /// where it is not in the way of urgent ones.
    fn can_wait(&self, now: Moment, entry: &Entry, key: &GroupKey) -> bool {
        let saves = entry.step(key.step).is_some_and(|step| step.checkpoints);
        if self.queue(entry).priority == 0 || saves {
            return false;
        }
        let end = Self::age(entry, now) + entry.remaining(|step| self.expect(entry, step));
        end + PATIENCE < self.objective(entry)
    }

    /// Whether a group may go where it is slower: when it never fits elsewhere, when it has
    /// waited for as long as the slower run costs, or when its guarantee is about to be missed.
    fn reach(
        &self,
        now: Moment,
        board: &Board,
        entry: &Entry,
        key: &GroupKey,
        ask: &Ask,
        is_guaranteed: bool,
    ) -> Reach {
        if !ask.wants_one_rack && ask.near_rack.is_empty() {
            return Reach::Far;
        }
        let group = entry.groups.get(key).expect("the caller has looked it up");
        let waited = now.steady.saturating_sub(group.since);
        let expected = entry.step(key.step).map_or(Duration::ZERO, |step| self.expect(entry, step));
        let extra = expected * self.options.remote_factor.saturating_sub(1);
        let is_urgent =
            is_guaranteed && Self::age(entry, now) >= self.options.reclaim.mul_f64(URGENT_SHARE);
        let empty: Vec<Place> = (board.places.iter())
            .map(|place| Place { free: place.capacity, ..place.clone() })
            .collect();
        let fits_near = || seat::seat(&empty, ask, Reach::Near).is_some();
        // A slower run takes the room for longer, from everybody; only urgent work is worth that.
        let extra = if self.queue(entry).priority == 0 { extra } else { extra * PATIENT_FAR };
        if waited >= extra || is_urgent || !fits_near() { Reach::Far } else { Reach::Near }
    }

    fn place(
        &mut self,
        now: Moment,
        board: &mut Board,
        id: &str,
        key: &GroupKey,
        ask: &Ask,
        seats: &[Seat],
    ) {
        let first = (self.startup.terms - 1) * options::RUNS_PER_TERM + 1;
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        let is_gang = entry.step(key.step).is_some_and(|step| step.is_gang);
        let Some(group) = entry.groups.get_mut(key) else { return };
        group.run = first.max(group.run + 1);
        group.claim = None;
        let number = group.run;
        let mut left = BTreeMap::new();
        let mut index = key.index;
        let mut racks: Vec<&str> = Vec::new();
        for seat in seats {
            let place = &mut board.places[seat.place];
            place.free = place.free.minus(ask.room.times(seat.tasks.into()));
            for _ in 0..seat.tasks {
                left.insert(index, place.worker.clone());
                index += 1;
            }
        }
        for seat in seats {
            racks.push(&board.places[seat.place].rack);
        }
        racks.dedup();
        let is_scattered = ask.wants_one_rack && racks.iter().any(|rack| *rack != racks[0]);
        let is_away = !ask.near_rack.is_empty() && racks.iter().any(|rack| *rack != ask.near_rack);
        let active = Active {
            since: now.steady,
            began: None,
            left: left.clone(),
            is_stopping: false,
            is_far: is_scattered || is_away,
        };
        group.phase = Phase::Active(active);
        let waited = now.steady.saturating_sub(group.since).as_millis();
        for (index, name) in &left {
            let index = if is_gang { *index } else { key.index };
            let task =
                Task { job: id.to_owned(), occurrence: key.occurrence, step: key.step, index };
            let Some(worker) = self.workers.get_mut(name) else { continue };
            worker.runs.insert(
                task,
                Run {
                    number,
                    room: ask.room,
                    phase: worker::Phase::Ordered,
                    is_received: false,
                    percent: 0,
                    first_percent: 0,
                    moved: now.steady,
                    still: 0,
                    absent: 0,
                    seen: now.steady,
                    began: now.steady,
                },
            );
        }
        let names: Vec<&str> = left.values().map(String::as_str).collect();
        let far = is_scattered || is_away;
        self.log(format!(
            "job={id} step={} index={} run={number} placed on={} waited_ms={waited} far={far}",
            key.step,
            key.index,
            names.join(",")
        ));
    }

    /// Stops the cheapest groups that give room to an urgent one.
    #[expect(clippy::too_many_arguments, reason = "one decision with all that it looks at")]
    fn make_room(
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
        take_claim(board, &claim, ask);
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

    /// Jobs of which nothing has started, by queue.
    pub fn pending(&self, queue: &str) -> usize {
        let entries = self.table.entries.values();
        entries.filter(|entry| entry.job.queue == queue && entry.shown == State::Queued).count()
    }
}

/// Keeps room for a group that waits for it to be freed.
fn take_claim(board: &mut Board, claim: &Claim, ask: &Ask) {
    for (name, tasks) in &claim.seats {
        if let Some(at) = board.index.get(name) {
            let place = &mut board.places[*at];
            place.free = place.free.minus(ask.room.times((*tasks).into()));
        }
    }
}
