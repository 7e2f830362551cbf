//! The planner of one term.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sapphire_jobs::{
    Supply,
    catalog::Catalog,
    length,
    remote_clock::RemoteClock,
    task::{JobId, Task, WorkerName},
};
use sapphire_plan::{
    estimate::{self, Estimate},
    quorum::{self, Standing},
    speed::{Slowness, Speeds},
    suspect,
};

use crate::{
    account::Account,
    cordons::Cordons,
    delay,
    effect::Effect,
    event::{Event, Moment},
    inventory, lease,
    load::Load,
    loss,
    options::{self, Options},
    queue::Settings,
    state::{
        self, commits::Commits, delays::Delays, feeds::Feeds, handover::Handover, intake::Intake,
        inventory::Inventory, losses::Losses, run_log::RunLog, shares::Shares,
        standstills::Standstills, startup::Startup, tombstones::Tombstones, waits::Waits,
    },
    stops,
    table::{Due, Entry, Table},
    unanswered, wait,
    worker::{Cause, Phase, Stop, Worker},
};

/// The planner of one term: a state machine that handles events and returns effects.
pub struct Planner {
    pub(crate) options: Options,
    /// Revision of the leader key, which numbers the term.
    pub(crate) term: u64,
    pub(crate) startup: Startup,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) table: Table,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) commits: Commits,
    pub(crate) intake: Intake,
    pub(crate) inventory: Inventory,
    pub(crate) feeds: Feeds,
    pub(crate) estimates: estimate::Estimates,
    pub(crate) suspects: suspect::Suspects,
    pub(crate) speeds: Speeds,
    pub(crate) speed_state: state::speeds::Speeds,
    /// Slowness that waiting work can expect, by service; see [`Planner::update_awaited_slowness`].
    pub(crate) awaited_slowness: BTreeMap<String, Slowness>,
    pub(crate) stops: stops::State,
    /// Shares of organisations.
    pub(crate) shares: Shares,
    /// Starts that may still be carried out.
    pub(crate) unanswered: unanswered::Starts,
    pub(crate) handover: Handover,
    /// Where runs that were ordered may be.
    pub(crate) run_log: RunLog,
    pub(crate) tombstones: Tombstones,
    /// Revision of the configuration that was last verified to be the newest, and the time of the
    /// verification.
    pub(crate) verified_catalog: Option<(u64, Duration)>,
    /// A change since the latest pass may allow a group to start.
    pub(crate) needs_pass: bool,
    pub(crate) last_pass: Duration,
    /// Time before which no pass begins.
    pub(crate) next_pass: Duration,
    pub(crate) load: Load,
    /// Reasons for which groups wait.
    pub(crate) waits: Waits,
    /// Reasons for which placed groups have not begun.
    pub(crate) delays: Delays,
    /// Jobs that have nothing at work.
    pub(crate) standstills: Standstills,
    /// Runs that count as ended although their minions have not listed their ends.
    pub(crate) losses: Losses,
    /// Leases that were withheld from workers whose agents polled.
    pub(crate) lease_summary: lease::Summary,
    pub(crate) cordons: Cordons,
    /// End of the lease on the leader key.
    pub(crate) lease_expires_at: Duration,
    /// Whether the planner may start tasks, as far as the leader key is concerned.
    pub(crate) standing: Standing,
    pub(crate) last_check: Duration,
    pub(crate) last_restarts: Duration,
    pub(crate) last_supplies: Duration,
    /// Resources of the workers and open work, as reported to entries.
    pub(crate) supplies: Vec<Supply>,
    pub(crate) sessions: u64,
    pub(crate) effects: Vec<Effect>,
}

/// Maximum interval between two passes while groups wait.
pub(crate) const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay after a pass, in multiples of its duration.
const PASS_DELAY_FACTOR: u32 = 2;

impl Planner {
    /// Creates the planner of a term and begins to read the store.
    pub fn new(options: Options, term: u64, catalog: Arc<Catalog>, now: Moment) -> Self {
        let speeds = options.speeds;
        let table = Table { account: Account::new(options.job_memory), ..Table::default() };
        let unanswered = unanswered::Starts::new(options.calls_outlive_incarnations);
        let mut planner = Planner {
            options,
            term,
            startup: Startup::new(now.steady),
            catalog,
            table,
            workers: BTreeMap::new(),
            commits: Commits::default(),
            intake: Intake::default(),
            inventory: Inventory::default(),
            feeds: Feeds::default(),
            estimates: estimate::Estimates::default(),
            suspects: suspect::Suspects::default(),
            speeds: Speeds::new(speeds),
            speed_state: state::speeds::Speeds::default(),
            awaited_slowness: BTreeMap::new(),
            stops: stops::State::default(),
            shares: Shares::default(),
            unanswered,
            handover: Handover::default(),
            run_log: RunLog::default(),
            tombstones: Tombstones::default(),
            verified_catalog: None,
            needs_pass: true,
            last_pass: Duration::ZERO,
            next_pass: Duration::ZERO,
            load: Load::default(),
            waits: Waits::default(),
            delays: Delays::default(),
            standstills: Standstills::default(),
            losses: Losses::default(),
            lease_summary: lease::Summary::default(),
            cordons: Cordons::default(),
            lease_expires_at: Duration::MAX,
            standing: Standing::Leader,
            last_check: Duration::ZERO,
            last_restarts: Duration::ZERO,
            last_supplies: Duration::ZERO,
            supplies: Vec::new(),
            sessions: 0,
            effects: Vec::new(),
        };
        planner.follow_cordons(now);
        planner.begin();
        planner
    }

    /// Sets the end of the lease on the leader key.
    pub fn set_lease_expiry(&mut self, expires_at: Duration) {
        self.lease_expires_at = expires_at;
    }

    /// Sets the addresses of the other entries that are known when the term begins.
    pub fn expect_entries(&mut self, addresses: impl IntoIterator<Item = String>) {
        self.feeds.expected = addresses.into_iter().collect();
    }

    /// Sets the terms that this entry has seen, each with a time at which it had begun.
    pub fn expect_terms(&mut self, terms: impl IntoIterator<Item = (u64, Duration)>) {
        self.startup.seen_terms = terms.into_iter().collect();
    }

    /// Sets what this entry knows of the clocks of earlier planners, by their terms.
    pub fn expect_clocks(&mut self, clocks: impl IntoIterator<Item = (u64, RemoteClock)>) {
        self.startup.clocks = clocks.into_iter().collect();
    }

    /// Returns the number of cordoned zones.
    pub fn cordoned_zones(&self) -> usize {
        self.cordons.count()
    }

    /// Returns whether the shares of organisations are used.
    pub fn has_shares(&self) -> bool {
        self.options.shares.is_some()
    }

    /// Returns whether stops for urgent jobs are limited.
    pub fn limits_stops(&self) -> bool {
        self.options.stops.is_some()
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.speeds.set_options(options.speeds);
        self.options = options;
    }

    /// Returns whether the planner serves agents and entries: it has read the store.
    pub fn is_serving(&self) -> bool {
        self.startup.is_serving()
    }

    /// Returns the job table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the workers by name.
    pub fn workers(&self) -> &BTreeMap<WorkerName, Worker> {
        &self.workers
    }

    /// Returns the work counters of this term.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Returns the figures of the groups that are due and wait.
    pub fn waits(&self) -> &wait::Summary {
        &self.waits.summary
    }

    /// Returns the figures of the groups that are placed and have not begun.
    pub fn delays(&self) -> &delay::Summary {
        &self.delays.summary
    }

    /// Returns the figures of the runs that count as ended although their minions have not listed their
    /// ends.
    pub fn losses(&self) -> &loss::Summary {
        &self.losses.summary
    }

    /// Returns the figures of the leases that were withheld from workers whose agents polled.
    pub fn leases(&self) -> &lease::Summary {
        &self.lease_summary
    }

    /// Returns the longest time for which an open job of which a task is due has had nothing at work.
    pub fn longest_standstill(&self) -> Duration {
        self.standstills.longest()
    }

    /// Returns the age of the oldest unanswered start, counted from its latest attempt.
    pub fn oldest_unanswered_start(&self, now: Moment) -> Duration {
        self.unanswered.oldest(now.steady)
    }

    /// Returns the unanswered starts that count, with their workers.
    pub fn unanswered_starts(&self) -> impl Iterator<Item = (&Task, &WorkerName)> {
        self.unanswered.iter()
    }

    /// Returns why the inventory of VMs doesn't show which of them are gone, while workers are missed.
    pub fn inventory_fault(&self) -> Option<inventory::Fault> {
        self.inventory.fault
    }

    /// Handles an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        self.apply(now, event);
        self.advance(now)
    }

    /// Applies an event. Its consequences follow with the next [`Planner::advance`], so that events
    /// that arrive together cost one pass.
    pub fn apply(&mut self, now: Moment, event: Event) {
        self.load.events += 1;
        match event {
            Event::Poll(requester, poll) => self.handle_poll(now, requester, *poll),
            Event::Feed(requester, poll) => self.handle_feed_poll(now, requester, poll),
            Event::Notice(notice) => self.handle_notice(now, notice),
            Event::Disconnected(requester) => self.disconnected(requester),
            Event::Store(operation, reply) => self.handle_reply(now, operation, reply),
            Event::Inventory(page) => self.handle_inventory(now, page),
            Event::Catalog(catalog) => {
                self.catalog = catalog;
                self.needs_pass = true;
            }
            Event::CatalogVerified { revision, at } => self.verified_catalog = Some((revision, at)),
            Event::Tick => self.tick(now),
        }
    }

    /// Records the duration of the latest pass, which ended at `until`. On a processor that is too
    /// slow for a pass with each event, passes thus leave time for polls and callers.
    pub fn record_pass_duration(&mut self, until: Duration, duration: Duration) {
        self.next_pass = until + duration * PASS_DELAY_FACTOR;
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Moment) {
        self.feeds.refresh(now.steady);
        self.expire_workers(now);
        self.ask_silent(now);
        self.withdraw_unsent(now);
        self.expire_unanswered(now);
        self.follow_inventory(now);
        self.watch_progress(now);
        self.update_shares(now);
        self.update_supplies(now);
        self.add_due_occurrences(now);
        self.table.drop_ended(now.steady);
        self.remove_ended(now);
        self.remove_tombstones(now);
        self.retry_scan(now);
        self.follow_cordons(now);
        self.read_intake(now);
        self.check_recovered(now);
        self.follow_takeover(now);
        self.check_expired(now);
        self.record_leases(now);
        self.write_fleet(now);
        self.follow_speeds(now);
        self.follow_delays(now);
        self.follow_standstills(now);
        if now.steady >= self.last_pass + PASS_INTERVAL {
            self.needs_pass |= !self.table.open.is_empty();
        }
    }

    /// Does what has become due after the applied events: a pass, writes, and answers to polls.
    /// Returns the effects to carry out.
    pub fn advance(&mut self, now: Moment) -> Vec<Effect> {
        self.update_standing(now);
        self.log_released(now);
        self.read_intake(now);
        if self.needs_pass && self.may_place(now) && now.steady >= self.next_pass {
            self.needs_pass = false;
            self.load.passes += 1;
            self.last_pass = now.steady;
            self.pass(now);
        }
        self.follow_obstacle(now);
        self.write_progress(now);
        self.write_unanswered(now);
        self.write_shares(now);
        self.answer_polls(now);
        self.answer_feeds(now);
        std::mem::take(&mut self.effects)
    }

    /// Updates whether another entry may have replaced this planner.
    fn update_standing(&mut self, now: Moment) {
        if now.steady < self.lease_expires_at && self.standing == Standing::Leader {
            return;
        }
        let (entries, reports) = self.feeds.reports(now.steady, &self.options.name, &self.startup);
        let standing = quorum::standing(now.steady, self.lease_expires_at, entries, reports);
        if standing != self.standing {
            self.standing = standing;
            self.needs_pass = true;
            let effect = match standing {
                Standing::Leader => "starts tasks: the lease on the leader key is valid",
                Standing::Outage => "starts tasks: the other entries do not reach the store either",
                Standing::Isolated => "starts no tasks: another entry may have taken over",
            };
            self.log(format!("term={} entries={entries} {effect}", self.term));
        }
    }

    /// Adds a log line to the effects.
    pub(crate) fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// Returns the settings of a job's queue: as configured now, or as they were at the acceptance
    /// if the queue has been removed.
    pub(crate) fn queue_settings(&self, entry: &Entry) -> Settings {
        let job = &entry.job;
        self.catalog.queue(&job.queue).map_or_else(|| Settings::accepted(job), Settings::of)
    }

    /// Returns the service whose minions run a job.
    pub(crate) fn service<'a>(&'a self, entry: &'a Entry) -> &'a str {
        let queue = self.catalog.queue(&entry.job.queue);
        queue.map_or(&entry.job.service, |queue| &queue.service)
    }

    /// Returns the expected run time of a step's tasks.
    pub(crate) fn expected_run_time(&self, entry: &Entry, step: u32) -> Duration {
        self.estimate(entry, step).centre
    }

    /// Estimates the run time of a step's tasks, with its uncertainty.
    pub(crate) fn estimate(&self, entry: &Entry, index: u32) -> Estimate {
        let Some(step) = entry.step(index) else { return Estimate::default() };
        let declared = length::declared(step);
        let policy = self.options.policy;
        let of_kind = if policy.learn_times {
            self.estimates.estimate_kind(estimate_kind(entry, step), declared)
        } else {
            Estimate::declared(declared)
        };
        let sample = entry.step_samples.get(index as usize).copied().flatten();
        of_kind.with_same_step(sample.filter(|_| policy.learn_siblings))
    }

    /// Returns the lasting slowness of a worker.
    pub(crate) fn slowness(&self, worker: &str) -> Slowness {
        self.speeds.slowness(worker)
    }

    /// Returns the slowness of a group's run on some workers: that of the slowest.
    pub(crate) fn group_slowness<'a>(&self, workers: impl Iterator<Item = &'a str>) -> Slowness {
        workers.map(|worker| self.slowness(worker)).max().unwrap_or_default()
    }

    /// Returns the time from its submission within which a job should be complete.
    pub(crate) fn objective(&self, entry: &Entry) -> Duration {
        let settings = self.queue_settings(entry);
        let critical_path = entry.critical_path(|step| self.expected_run_time(entry, step));
        length::scaled(critical_path, settings.slack.max(1.0), settings.target_latency)
    }

    /// Returns the time since a job's submission.
    pub(crate) fn age(entry: &Entry, now: Moment) -> Duration {
        now.steady.saturating_sub(entry.submitted)
    }

    /// Adds the groups of occurrences that have become due.
    fn add_due_occurrences(&mut self, now: Moment) {
        let held_before = self.table.held_jobs(now);
        let due = self.table.add_due_occurrences(now);
        self.log_held(&due);
        for id in due.added {
            self.needs_pass = true;
            let after = held_before.get(&id).map_or_else(String::new, |waited| {
                format!(" after it waited {} ms for memory", waited.as_millis())
            });
            self.log(format!("job={id} occurrence due{after}"));
        }
    }

    /// Logs the jobs that begin to wait for memory.
    pub(crate) fn log_held(&mut self, due: &Due) {
        for id in &due.held {
            let Some(entry) = self.table.entries.get(id) else { continue };
            let (occurrence, kept) = (entry.occurrences, entry.kept.all());
            let account = self.table.account;
            self.load.held_occurrences += 1;
            self.log(format!(
                "job={id} occurrence={occurrence} waits for memory: kept={kept} all={} limit={}",
                account.used(),
                account.limit()
            ));
        }
    }

    /// Orders a run to be stopped, unless it is no longer on the worker or is being stopped
    /// already.
    pub(crate) fn stop(
        &mut self,
        now: Duration,
        worker: &str,
        task: &Task,
        number: u32,
        cause: &Cause,
    ) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        let Some(run) = worker.runs.get_mut(task) else { return };
        if run.number == number && run.phase != Phase::Stopping {
            run.phase = Phase::Stopping;
            run.is_received = false;
            run.stop.get_or_insert_with(|| Stop { cause: cause.clone(), decided_at: now });
        }
    }

    /// Stops all runs of a job, wherever they are.
    ///
    /// Guards against a run that goes on for nobody: its group may know of another one only.
    pub(crate) fn stop_job(&mut self, now: Duration, id: &str, cause: &Cause) {
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        for group in entry.groups.values_mut() {
            group.claim = None;
            if let Some(active) = group.active_mut() {
                active.is_stopping = true;
            }
        }
        let first = Task { job: id.to_owned(), occurrence: 0, step: 0, index: 0 };
        let mut stops = Vec::new();
        for (name, worker) in &self.workers {
            let runs = worker.runs.range(&first..).take_while(|(task, _)| task.job == id);
            stops.extend(runs.map(|(task, run)| (name.clone(), task.clone(), run.number)));
        }
        for (worker, task, number) in stops {
            self.stop(now, &worker, &task, number, cause);
        }
    }

    /// Returns the time for which the records of an ended job, or of a cancellation without one, are kept.
    pub(crate) fn retention(&self) -> Duration {
        self.options.status_retention + options::FEED_TIMEOUT
    }

    /// Removes jobs that ended long ago.
    fn remove_ended(&mut self, now: Moment) {
        let retention = self.retention();
        let is_old = |entry: &Entry| {
            entry.ended.is_some_and(|ended| now.steady >= ended + retention)
                && entry.dirty.is_none()
        };
        let runs = |id: &str| {
            self.workers.values().any(|worker| worker.runs.keys().any(|task| task.job == id))
        };
        let old: Vec<JobId> = (self.table.entries.iter())
            .filter(|(id, entry)| is_old(entry) && !runs(id))
            .map(|(id, _)| id.clone())
            .take(MAX_REMOVED_JOBS)
            .collect();
        self.remove_jobs(old);
    }
}

/// Maximum number of jobs that one write removes: each has three keys, and the store takes 32 rows.
const MAX_REMOVED_JOBS: usize = 8;

/// Returns the kind of work under which run times of a step are learned.
pub(crate) fn estimate_kind<'a>(
    entry: &'a Entry,
    step: &sapphire_jobs::Step,
) -> estimate::Kind<'a> {
    let accelerators = step.room.as_ref().map_or(0, |resources| resources.accelerators).max(1);
    estimate::Kind { name: &entry.job.queue, size: accelerators.ilog2() }
}
