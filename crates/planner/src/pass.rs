//! One pass over the waiting groups: which of them start now, on which workers, and what is stopped
//! for them.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    iter,
    ops::Range,
    rc::Rc,
    time::Duration,
};

use sapphire_jobs::{
    resources::Resources,
    task::{GroupKey, JobId, RunNumber, Task, WorkerName},
};
use sapphire_plan::{
    assignment::{self, Demand, Place, Reach},
    rank,
    tiers::{self, Need},
};

use crate::{
    event::Moment,
    group::{Assignments, Group},
    placement::{self, Placement, Repeated},
    planner::Planner,
    pool::Pool,
    table::Entry,
    unanswered::Standing,
    urgent::Urgent,
    wait::{Reason, Summary, Unplaced, Untried},
    worker::Worker,
};

/// Fraction of the reclaim deadline after which a guaranteed job also starts where it is slower.
const REMOTE_START_SHARE: f64 = 0.6;
/// Maximum number of idle workers that are reserved for urgent work, and left free by work that
/// would lose progress if it were stopped and that can wait.
const MAX_RESERVED_WORKERS: usize = 2;
/// Number of workers for each reserved one, so that a small fleet is not left idle.
const WORKERS_PER_RESERVED: usize = 5;
/// Factor by which work that is not urgent waits longer for a place at full speed.
const REMOTE_WAIT_FACTOR: u32 = 4;
/// Remaining slack below which a job no longer waits for a better place.
const WAIT_MARGIN: Duration = Duration::from_millis(2_000);
/// Remaining slack below which a job no longer leaves room for urgent work. With 2 s, jobs that
/// waited for a quarter of the workers were late more often.
const HEADROOM_MARGIN: Duration = Duration::from_secs(4);

/// Time for which a group that is not urgent waits for workers that are fast enough for its objective
/// while slower ones are free. A job must not have nothing running for three seconds while there is
/// room for it.
pub(crate) const SPEED_WAIT: Duration = Duration::from_millis(1_500);

/// A group that waits.
struct Waiting {
    job: Rc<str>,
    key: GroupKey,
    since: Duration,
}

impl Waiting {
    /// Returns whether both groups wait for the same resources: they belong to the same step of the
    /// same job.
    fn is_same_step(&self, other: &Waiting) -> bool {
        self.job == other.job
            && self.key.step == other.key.step
            && self.key.occurrence == other.key.occurrence
    }
}

/// Result of the attempt to place a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The group starts.
    Placed,
    /// Resources that are being released are claimed for it.
    Claimed,
    /// There are no resources for it, nor for the other groups of its step.
    NoResources(Reason),
    /// It waits for a reason that concerns only itself.
    Waits(Reason),
}

impl Outcome {
    /// Returns the reason for which the group is not placed; `None` if it is.
    fn reason(self) -> Option<Reason> {
        match self {
            Outcome::Placed => None,
            Outcome::Claimed => Some(Reason::Claim),
            Outcome::NoResources(reason) | Outcome::Waits(reason) => Some(reason),
        }
    }

    /// Returns whether the group starts, or has resources claimed for it.
    fn is_served(self) -> bool {
        matches!(self, Outcome::Placed | Outcome::Claimed)
    }
}

impl Planner {
    /// Starts the groups that can start.
    pub(crate) fn pass(&mut self, now: Moment) {
        self.update_awaited_slowness();
        self.load.runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let guaranteed = self.guaranteed_jobs();
        let (waiting, inherited) = self.waiting(now, &guaranteed);
        self.load.waiting = waiting.len();
        self.begin_waits(now);
        let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
        let mut unserved: BTreeSet<String> = BTreeSet::new();
        let mut summary = Summary::default();
        let mut rest = waiting.as_slice();
        while let Some((group, others)) = rest.split_first() {
            rest = others;
            let Some(entry) = self.table.entries.get(&*group.job) else { continue };
            let service = self.service(entry);
            if !pools.contains_key(service) {
                let mut pool = self.pool(now, service);
                let service = service.to_owned();
                self.hold_claims(now, &mut pool);
                pools.insert(service, pool);
            }
            let Some(entry) = self.table.entries.get(&*group.job) else { continue };
            let service = self.service(entry).to_owned();
            let pool = pools.get_mut(&service).expect("inserted above");
            self.load.tried += 1;
            let outcome = self.try_group(now, pool, group, &guaranteed);
            if !outcome.is_served() {
                unserved.insert(service);
            }
            let Some(reason) = outcome.reason() else { continue };
            // Free resources only shrink within a pass, so one search serves all waiting tasks of
            // a step.
            let is_skipped = |other: &&Waiting| {
                matches!(outcome, Outcome::NoResources(_)) && group.is_same_step(other)
            };
            let skipped = others.iter().take_while(is_skipped).count();
            let (skipped, others) = others.split_at(skipped);
            rest = others;
            let since = iter::once(group).chain(skipped).map(|group| group.since);
            let unplaced = Unplaced {
                job: &group.job,
                key: &group.key,
                reason,
                is_guaranteed: guaranteed.contains(&*group.job),
                groups: 1 + skipped.len(),
                since: since.min().unwrap_or(group.since),
            };
            self.follow_wait(now, pool, &unplaced, &mut summary);
        }
        self.end_waits(now, summary, &inherited);
        self.restart_on_faster(now, &unserved);
    }

    /// Returns whether the planner has no memory for further runs. The last eighth is left to urgent work.
    fn lacks_memory(&self, priority: u32, tasks: u32) -> bool {
        let most = self.table.account.max_runs();
        let most = if priority > 0 { most / 8 * 7 } else { most };
        self.load.runs.saturating_add(tasks as usize) > most
    }

    /// Returns the jobs of priority 0 that are covered by their organisation's guarantee, the
    /// earliest first.
    pub(crate) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut urgent: Vec<&Entry> = (self.table.open.iter())
            .filter_map(|id| self.table.entries.get(id))
            .filter(|entry| self.queue_settings(entry).priority == 0)
            .collect();
        urgent.sort_by_key(|entry| (entry.job.accepted_ms, entry.job.id.clone()));
        let mut taken: BTreeMap<&str, u64> = BTreeMap::new();
        let mut covered = BTreeSet::new();
        for entry in urgent {
            let name = entry.job.organisation.as_str();
            let organisation = self.catalog.organisation(name);
            let limit = organisation
                .map_or(0, |organisation| u64::from(organisation.guaranteed_accelerators));
            let sum = taken.entry(name).or_default();
            if *sum + entry.accelerators() <= limit {
                *sum += entry.accelerators();
                covered.insert(entry.job.id.clone());
            }
        }
        covered
    }

    /// Returns the groups that may start, in the order in which they are tried, and those that are
    /// due but wait for the end of the take-over.
    fn waiting(&self, now: Moment, guaranteed: &BTreeSet<JobId>) -> (Vec<Waiting>, Untried) {
        let mut jobs = Vec::new();
        let mut inherited = Untried::default();
        let awaits_workers = self.awaits_workers(now);
        for id in &self.table.open {
            let Some(entry) = self.table.entries.get(id) else { continue };
            let due = entry.due_groups().map(|(key, group)| (*key, group.waiting_since));
            let is_held =
                |key: &GroupKey| (entry.is_inherited && awaits_workers) || self.is_held(entry, key);
            let (held, ready): (Vec<_>, Vec<_>) = due.partition(|(key, _)| is_held(key));
            inherited.add(entry, &held);
            if !ready.is_empty() {
                let rank = rank::rank(&self.job_rank(now, entry, guaranteed.contains(id)));
                jobs.push((rank, id, ready));
            }
        }
        jobs.sort_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        let groups = jobs.into_iter().flat_map(|(_, id, keys)| {
            let job: Rc<str> = id.as_str().into();
            let waiting = move |(key, since)| Waiting { job: job.clone(), key, since };
            keys.into_iter().map(waiting)
        });
        (groups.collect(), inherited)
    }

    /// Returns the data that decide the order of a job.
    pub(crate) fn job_rank(&self, now: Moment, entry: &Entry, is_guaranteed: bool) -> rank::Job {
        rank::Job {
            priority: self.queue_settings(entry).priority,
            is_guaranteed,
            age: Self::age(entry, now),
            objective: self.objective(entry),
            remaining: entry.remaining_path(|step| self.awaited_run_time(entry, step)),
            work: sapphire_jobs::length::work(&entry.job.steps),
            escalates: self.options.policy.prefer_pressing,
            is_above_share: self.is_above_share(entry),
        }
    }

    /// Returns what a group needs from the workers. `repeated` has its tasks whose run is ordered
    /// again, and whose unanswered starts therefore do not count.
    pub(crate) fn demand(
        &self,
        now: Moment,
        entry: &Entry,
        key: &GroupKey,
        repeated: Option<&Assignments>,
    ) -> Option<Demand> {
        let step = entry.step(key.step)?;
        let group = entry.groups.get(key)?;
        Some(Demand {
            tasks: if step.is_gang { step.tasks } else { 1 },
            resources: Resources::read(step.room.as_ref()),
            label: step.label.clone(),
            near_rack: step.near_rack.clone(),
            wants_one_rack: step.is_gang && step.wants_one_rack,
            per_worker: step.per_worker,
            present: if step.per_worker > 0 {
                self.count_present(entry, key, repeated)
            } else {
                BTreeMap::new()
            },
            avoid: group.avoid.clone(),
            speed: match repeated {
                Some(_) => Need::default(),
                None => self.speed_need(now, entry, key, group),
            },
        })
    }

    /// Counts the tasks of a step and occurrence that may be running on each worker, or of which
    /// the next incarnation of its minion may carry out a start, whichever are more.
    ///
    /// Guards against more tasks of a step on a worker than its job allows: a task that is being
    /// stopped, or that no planner wanted there, is still present.
    fn count_present(
        &self,
        entry: &Entry,
        key: &GroupKey,
        repeated: Option<&Assignments>,
    ) -> BTreeMap<WorkerName, u32> {
        let first = GroupKey { index: 0, ..*key };
        let tasks = group_tasks(&entry.job.id, &first, u32::MAX);
        let is_repeated = |task: &Task| repeated.is_some_and(|it| it.contains_key(&task.index));
        let is_other =
            |task: &&Task| (&tasks.start..&tasks.end).contains(task) && !is_repeated(task);
        let count = |(name, worker): (&WorkerName, &Worker)| {
            let running = worker.runs.range::<Task, _>(&tasks.start..&tasks.end).count();
            let pending = self.pending_tasks(name, worker).into_iter().filter(is_other).count();
            let count = running.max(pending);
            (count > 0).then(|| (name.clone(), u32::try_from(count).unwrap_or(u32::MAX)))
        };
        self.workers.iter().filter_map(count).collect()
    }

    /// Tries to start a group, or to have resources released for it.
    fn try_group(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        waiting: &Waiting,
        guaranteed: &BTreeSet<JobId>,
    ) -> Outcome {
        let Waiting { job: id, key, .. } = waiting;
        let id: &str = id;
        let Some(entry) = self.table.entries.get(id) else {
            return Outcome::Waits(Reason::Capacity);
        };
        let Some(mut demand) = self.demand(now, entry, key, None) else {
            return Outcome::Waits(Reason::Capacity);
        };
        let group = entry.groups.get(key).expect("the demand is that of a known group");
        pool.release_claim(id, key);
        match self.standing(id, key, group, demand.tasks) {
            Standing::Free => {}
            Standing::Repeatable(workers, number)
                if self.repeat(now, pool, waiting, &workers, number) =>
            {
                return Outcome::Placed;
            }
            Standing::Repeatable(..) | Standing::Blocked => {
                self.mark_blocked(now, id, key, demand.tasks);
                self.hold_claim_again(pool, id, key, &demand);
                return Outcome::Waits(Reason::Unanswered);
            }
        }
        let is_guaranteed = guaranteed.contains(id);
        let priority = self.queue_settings(entry).priority;
        if self.lacks_memory(priority, demand.tasks) {
            return Outcome::NoResources(Reason::Memory);
        }
        if priority > 0 {
            self.keep_headroom(now, pool);
        }
        let reach = self.reach(now, pool, entry, key, &demand, is_guaranteed);
        let places = self.available_places(now, pool, entry, key, &demand);
        let mut assignments = assignment::assign(&places, &demand, reach);
        let has_waited = priority > 0 && now.steady >= group.waiting_since + SPEED_WAIT;
        if assignments.is_none()
            && demand.speed.limit.is_some()
            && (has_waited || !tiers::can_fit(&pool.places, &demand, reach))
        {
            demand.speed.limit = None;
            assignments = assignment::assign(&places, &demand, reach);
        }
        if let Some(assignments) = assignments {
            if self.may_still_run(id, key, demand.tasks) {
                self.hold_claim_again(pool, id, key, &demand);
                return Outcome::Waits(Reason::Running);
            }
            let placement = Placement::new(&demand, &assignments);
            self.place(now, pool, id, key, &placement);
            return Outcome::Placed;
        }
        let takes_claimed = self.follow_idle(now, pool, id, key, &demand);
        let found = takes_claimed.and_then(|claimed| self.find_any_place(pool, &demand, claimed));
        if let Some(found) = found {
            if self.may_still_run(id, key, demand.tasks) {
                self.hold_claim_again(pool, id, key, &demand);
                return Outcome::Waits(Reason::Running);
            }
            self.log(format!(
                "job={id} step={} index={} takes any place: capacity is spare",
                key.step, key.index
            ));
            let suspects = if found.has_suspects { pool.admit_suspects() } else { 0 };
            let assignments = &found.assignments;
            let placement = Placement { demand: &demand, assignments, repeated: None };
            self.place(now, pool, id, key, &placement);
            pool.exclude_suspects(suspects);
            return Outcome::Placed;
        }
        let Some(entry) = self.table.entries.get(id) else {
            return Outcome::Waits(Reason::Capacity);
        };
        // Whether only pending starts of others keep the group waiting.
        let has_pending = places.iter().any(|place| place.pending != Resources::default());
        let is_held = has_pending && {
            let without_pending: Vec<Place> = places.iter().map(Place::without_pending).collect();
            assignment::assign(&without_pending, &demand, reach).is_some()
        };
        let is_cordoned = !entry.is_cordon_logged && !pool.cordoned.is_empty() && {
            let all: Vec<Place> = places.iter().chain(&pool.cordoned).cloned().collect();
            assignment::assign(&all, &demand, reach).is_some()
        };
        if is_cordoned {
            let entry = self.table.entries.get_mut(id).expect("looked up above");
            entry.is_cordon_logged = true;
            self.log(format!("job={id} step={} waits: free workers are cordoned", key.step));
        }
        let reason = if is_held { Reason::Pending } else { Reason::Capacity };
        let Some(entry) = self.table.entries.get(id) else { return Outcome::Waits(reason) };
        let group = entry.groups.get(key).expect("looked up above");
        let urgent = Urgent { id, key, demand: &demand, reach, is_guaranteed };
        let is_claimed = group.claim.as_ref().is_some_and(|claim| now.steady < claim.until);
        // A group that waits for workers that are too slow for its objective starts once they are
        // free, rather than when its claim ends.
        let waits_for_slow = group.claim.as_ref().is_some_and(|claim| {
            let names = claim.assignments.iter().map(|(name, _)| name.as_str());
            !demand.speed.allows(self.group_slowness(names))
        });
        if priority == 0
            && (!is_claimed || waits_for_slow)
            && let Some(assignments) = self.start_on_slower(now, pool, &urgent, guaranteed)
        {
            if !self.may_still_run(id, key, demand.tasks) {
                let placement = Placement::new(&demand, &assignments);
                self.place(now, pool, id, key, &placement);
                return Outcome::Placed;
            }
            self.hold_claim_again(pool, id, key, &demand);
            return Outcome::Waits(Reason::Running);
        }
        if let Some(claim) = group.claim.clone() {
            if now.steady < claim.until {
                pool.apply_claim(&claim, &demand);
                return Outcome::Claimed;
            }
            if !self.renew_claim(now, pool, &urgent, &claim) {
                self.force_resources(now, pool, &urgent, guaranteed);
            }
            return Outcome::Waits(self.claim_or(id, key, reason));
        }
        if priority == 0 {
            // Work above the share goes after that of others, so that nothing is stopped for it.
            let is_entitled = !self.is_above_share(entry) && self.needs_more_tasks(now, id, key);
            if !is_guaranteed && !is_entitled {
                return Outcome::Waits(if is_held { reason } else { Reason::Entitlement });
            }
            self.free_resources(now, pool, &urgent, guaranteed);
            return Outcome::Waits(self.claim_or(id, key, reason));
        }
        self.reserve(now, pool, &demand, reach, guaranteed);
        if let Some(entry) = self.table.entries.get_mut(id) {
            entry.is_held |= is_held;
        }
        // Other groups of the step that have waited longer may also run where they are slower, and
        // they may use workers that this one avoids because it failed there.
        let is_like_its_step = reach == Reach::Remote || demand.near_rack.is_empty();
        if is_like_its_step && demand.avoid.is_empty() {
            Outcome::NoResources(reason)
        } else {
            Outcome::Waits(reason)
        }
    }

    /// Returns the reason for which a group waits that had a claim to make or to renew: the claim
    /// if it has one now, else the given reason.
    fn claim_or(&self, id: &str, key: &GroupKey, reason: Reason) -> Reason {
        let group = self.table.entries.get(id).and_then(|entry| entry.groups.get(key));
        let is_claimed = group.is_some_and(|group| group.claim.is_some());
        if is_claimed { Reason::Claim } else { reason }
    }

    /// Returns what the unanswered starts of a group's tasks allow. A run that its minion will not
    /// start again is not repeated, and neither is one of a gang that saves checkpoints: all its members
    /// must carry the same one, and that of the unanswered starts isn't known.
    ///
    /// Guards against two simultaneous runs of one task: the next incarnation of a minion may carry
    /// out an unanswered start whatever has become of it in the present one. This holds for a later
    /// run on the same worker as well, whose start may be unanswered too.
    fn standing(&self, id: &str, key: &GroupKey, group: &Group, tasks: u32) -> Standing {
        let tasks_of_group = group_tasks(id, key, tasks);
        let step = self.table.entries.get(id).and_then(|entry| entry.step(key.step));
        let is_saving_gang = tasks > 1 && step.is_none_or(|step| step.checkpoints);
        match self.unanswered.standing(&tasks_of_group.start..&tasks_of_group.end) {
            Standing::Repeatable(_, number) if is_saving_gang || !group.may_repeat(number) => {
                Standing::Blocked
            }
            standing => standing,
        }
    }

    /// Orders a run of a group again of which tasks have unanswered starts, each of these tasks on the
    /// worker of its starts. Returns whether there are resources for all tasks.
    fn repeat(
        &mut self,
        now: Moment,
        pool: &mut Pool,
        waiting: &Waiting,
        workers: &Assignments,
        number: RunNumber,
    ) -> bool {
        let Waiting { job: id, key, .. } = waiting;
        let Some(entry) = self.table.entries.get(&**id) else { return false };
        let Some(demand) = self.demand(now, entry, key, Some(workers)) else { return false };
        let tasks = demand.tasks;
        let Some(others) = placement::others_of_repeated(pool, &demand, workers) else {
            return false;
        };
        if self.may_still_run(id, key, tasks) {
            return false;
        }
        let placement = Placement {
            demand: &demand,
            assignments: &others,
            repeated: Some(Repeated { number, workers }),
        };
        self.place(now, pool, id, key, &placement);
        true
    }

    /// Records that a group waits until earlier starts of it expire.
    fn mark_blocked(&mut self, now: Moment, id: &str, key: &GroupKey, tasks: u32) {
        let entry = self.table.entries.get_mut(id);
        let Some(group) = entry.and_then(|entry| entry.groups.get_mut(key)) else { return };
        if group.blocked_since.is_none() {
            group.blocked_since = Some(now.steady);
            let GroupKey { step, index, .. } = key;
            let tasks = group_tasks(id, key, tasks);
            let workers = self.unanswered.workers(&tasks.start..&tasks.end);
            let names: Vec<&str> = workers.into_iter().map(String::as_str).collect();
            let starts = self.unanswered.describe(now.steady, &tasks.start..&tasks.end);
            self.log(format!(
                "job={id} step={step} index={index} waits for unanswered starts on={}: {}",
                names.join(","),
                starts.join(" ")
            ));
        }
    }

    /// Returns whether a worker may still be running a task of a group, in any run.
    ///
    /// Guards against two simultaneous runs of one task: during a take-over a gang can end by the
    /// members that have been reported so far. A member that is reported last is still being
    /// stopped when the gang would start again.
    fn may_still_run(&self, id: &str, key: &GroupKey, tasks: u32) -> bool {
        let tasks_of_group = group_tasks(id, key, tasks);
        self.workers.values().any(|worker| {
            worker
                .runs
                .range::<Task, _>(&tasks_of_group.start..&tasks_of_group.end)
                .next()
                .is_some()
        })
    }

    /// Returns the places that a group may use now, without those that are kept free for urgent
    /// work.
    fn available_places<'a>(
        &self,
        now: Moment,
        pool: &'a Pool,
        entry: &Entry,
        key: &GroupKey,
        demand: &Demand,
    ) -> Cow<'a, [Place]> {
        let places = self.usable_places(now, pool, entry, key, demand);
        match self.without_headroom(now, pool, entry, &places) {
            Some(others) => Cow::Owned(others),
            None => places,
        }
    }

    /// Returns the places that a group may use now.
    fn usable_places<'a>(
        &self,
        now: Moment,
        pool: &'a Pool,
        entry: &Entry,
        key: &GroupKey,
        demand: &Demand,
    ) -> Cow<'a, [Place]> {
        if let Some(others) = self.without_avoided(now, pool, entry, key, demand) {
            return Cow::Owned(others);
        }
        if self.queue_settings(entry).priority > 0
            && let Some(open) = pool.open(self.upper_run_time(entry, key))
        {
            return Cow::Owned(open);
        }
        if self.spares_workers(now, entry, key) {
            let keep = reserved_workers(pool.places.len());
            return Cow::Owned(assignment::without_reserved(&pool.places, keep));
        }
        Cow::Borrowed(&pool.places)
    }

    /// Returns whether a group leaves idle workers to urgent work.
    pub(crate) fn spares_workers(&self, now: Moment, entry: &Entry, key: &GroupKey) -> bool {
        let keeps_fixed = self.options.policy.spare_workers && self.options.stops.is_none();
        keeps_fixed && self.can_wait(now, entry, key)
    }

    /// Returns the places without the workers on which a group failed or was too slow, as long as
    /// it is worth waiting for one of the others.
    ///
    /// Guards against a gang that is moved off a slow worker and placed on it again at once because
    /// nothing else is free: all its members would again run at the pace of that worker.
    pub(crate) fn without_avoided(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        key: &GroupKey,
        demand: &Demand,
    ) -> Option<Vec<Place>> {
        let group = entry.groups.get(key)?;
        if !self.awaits_others(now, entry, key) {
            return None;
        }
        let others = pool.places.iter().filter(|place| !is_avoided(group, place));
        let empty: Vec<Place> = others.map(Place::emptied).collect();
        assignment::assign(&empty, demand, Reach::Remote)?;
        Some(close_avoided(group, &pool.places))
    }

    /// Returns whether a group may still wait for workers on which it has not failed or been too
    /// slow.
    fn awaits_others(&self, now: Moment, entry: &Entry, key: &GroupKey) -> bool {
        let Some(group) = entry.groups.get(key) else { return false };
        let wait_limit = self.expected_run_time(entry, key.step);
        self.queue_settings(entry).priority > 0
            && !group.avoid.is_empty()
            && now.steady < group.waiting_since + wait_limit
    }

    /// Returns whether a group would lose work if it were stopped, and has time to wait for a place
    /// where urgent work will not need to stop it. One that pending starts have held up has not.
    fn can_wait(&self, now: Moment, entry: &Entry, key: &GroupKey) -> bool {
        let saves = entry.step(key.step).is_some_and(|step| step.checkpoints);
        !saves && self.has_slack(now, entry)
    }

    /// Returns whether a group that is not urgent has time to wait. One that pending starts have
    /// held up has not.
    pub(crate) fn has_slack(&self, now: Moment, entry: &Entry) -> bool {
        if self.queue_settings(entry).priority == 0 || entry.is_held {
            return false;
        }
        let end =
            Self::age(entry, now) + entry.remaining_path(|step| self.awaited_run_time(entry, step));
        let objective = self.objective(entry);
        if self.options.stops.is_some() {
            // Work that is of no use any more loses nothing by leaving room for urgent work.
            let is_lost = end > objective * rank::USEFUL_OBJECTIVES;
            return end + HEADROOM_MARGIN < objective || is_lost;
        }
        end + WAIT_MARGIN < objective
    }

    /// Decides whether a group may run where it is slower: if it never fits elsewhere, if it has
    /// waited as long as the slower run costs, or if its guarantee is about to be missed.
    pub(crate) fn reach(
        &self,
        now: Moment,
        pool: &Pool,
        entry: &Entry,
        key: &GroupKey,
        demand: &Demand,
        is_guaranteed: bool,
    ) -> Reach {
        let is_unconstrained = !demand.wants_one_rack && demand.near_rack.is_empty();
        if is_unconstrained || !self.options.policy.wait_for_rack {
            return Reach::Remote;
        }
        let group = entry.groups.get(key).expect("the caller has looked it up");
        let waited = now.steady.saturating_sub(group.waiting_since);
        let is_urgent = is_guaranteed
            && Self::age(entry, now) >= self.options.reclaim_deadline.mul_f64(REMOTE_START_SHARE);
        let fits_near = || {
            let places: Vec<Place> = pool.places.iter().map(Place::emptied).collect();
            assignment::assign(&places, demand, Reach::Near).is_some()
        };
        let has_waited = waited >= self.near_wait(entry, key);
        if has_waited || is_urgent || !fits_near() { Reach::Remote } else { Reach::Near }
    }

    /// Returns the maximum time for which a group waits for a place where it is not slower.
    pub(crate) fn near_wait(&self, entry: &Entry, key: &GroupKey) -> Duration {
        let expected = self.expected_run_time(entry, key.step);
        let extra = expected * self.options.remote_factor.saturating_sub(1);
        // A slower run takes resources from everybody for longer, which only urgent work justifies.
        if self.queue_settings(entry).priority == 0 { extra } else { extra * REMOTE_WAIT_FACTOR }
    }
}

/// Returns whether a group has failed or been too slow on a worker.
fn is_avoided(group: &Group, place: &Place) -> bool {
    group.avoid.iter().any(|name| **name == *place.worker)
}

/// Returns the places with nothing free on the workers that a group avoids.
pub(crate) fn close_avoided(group: &Group, places: &[Place]) -> Vec<Place> {
    let closed = |place: &Place| {
        let free = if is_avoided(group, place) { Resources::default() } else { place.free };
        Place { free, ..place.clone() }
    };
    places.iter().map(closed).collect()
}

/// Returns the number of workers of a pool that are reserved for urgent work.
pub(crate) fn reserved_workers(workers: usize) -> usize {
    MAX_RESERVED_WORKERS.min(workers / WORKERS_PER_RESERVED)
}

/// Returns the range of the tasks of a group.
pub(crate) fn group_tasks(id: &str, key: &GroupKey, tasks: u32) -> Range<Task> {
    let task =
        |index| Task { job: id.to_owned(), occurrence: key.occurrence, step: key.step, index };
    task(key.index)..task(key.index.saturating_add(tasks))
}
