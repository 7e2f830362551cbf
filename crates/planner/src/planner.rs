//! The planner of one term.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sapphire_jobs::{
    Supply,
    catalog::Catalog,
    length,
    task::{JobId, Task, WorkerName},
};
use sapphire_plan::{
    estimate::{self, Estimate},
    suspect,
};

use crate::{
    effect::Effect,
    event::{Event, Moment},
    load::Load,
    options::{self, Options},
    state::{commits::Commits, feeds::Feeds, handover::Handover, intake::Intake, startup::Startup},
    table::{Entry, Table},
    terms::Terms,
    unanswered,
    worker::{Cause, Phase, Stop, Worker},
};

/// A planner.
pub struct Planner {
    pub(crate) options: Options,
    /// Revision of the planner's key.
    pub(crate) term: u64,
    pub(crate) startup: Startup,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) table: Table,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) commits: Commits,
    pub(crate) intake: Intake,
    pub(crate) feeds: Feeds,
    pub(crate) estimates: estimate::Estimates,
    pub(crate) suspects: suspect::Suspects,
    /// Starts that may still be carried out.
    pub(crate) unanswered: unanswered::Starts,
    pub(crate) handover: Handover,
    /// Jobs cancelled before they were known.
    pub(crate) early_cancels: BTreeSet<JobId>,
    /// The newest configuration was this one, then.
    pub(crate) proof: Option<(u64, Duration)>,
    /// Something has changed that may let a group start.
    pub(crate) needs_pass: bool,
    pub(crate) last_pass: Duration,
    /// No pass begins before then.
    pub(crate) next_pass: Duration,
    pub(crate) load: Load,
    pub(crate) last_watch: Duration,
    pub(crate) last_supplies: Duration,
    /// Workers' room and open work, as entries are told.
    pub(crate) supplies: Vec<Supply>,
    pub(crate) sessions: u64,
    pub(crate) out: Vec<Effect>,
}

/// Longest time between two passes while something waits.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Least pause after a pass, in multiples of the time that it took.
const PASS_PAUSE: u32 = 2;

impl Planner {
    /// A planner for a term, which begins by reading the store.
    pub fn new(options: Options, term: u64, catalog: Arc<Catalog>, now: Moment) -> Self {
        let mut planner = Planner {
            options,
            term,
            startup: Startup::new(now.steady),
            catalog,
            table: Table::default(),
            workers: BTreeMap::new(),
            commits: Commits::default(),
            intake: Intake::default(),
            feeds: Feeds::default(),
            estimates: estimate::Estimates::default(),
            suspects: suspect::Suspects::default(),
            unanswered: unanswered::Starts::default(),
            handover: Handover::default(),
            early_cancels: BTreeSet::new(),
            proof: None,
            needs_pass: true,
            last_pass: Duration::ZERO,
            next_pass: Duration::ZERO,
            load: Load::default(),
            last_watch: Duration::ZERO,
            last_supplies: Duration::ZERO,
            supplies: Vec::new(),
            sessions: 0,
            out: Vec::new(),
        };
        planner.begin();
        planner
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes over changed bounds.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Jobs by identifier.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Workers by name.
    pub fn workers(&self) -> &BTreeMap<WorkerName, Worker> {
        &self.workers
    }

    /// What it has had to do so far.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Takes an event; returns what is to be done.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        self.take(now, event);
        self.settle(now)
    }

    /// Takes an event. What follows from it is done by the next [`Planner::settle`], so that
    /// events that have come together cost one pass.
    pub fn take(&mut self, now: Moment, event: Event) {
        self.load.events += 1;
        match event {
            Event::Poll(asker, poll) => self.poll(now, asker, *poll),
            Event::Feed(asker, poll) => self.feed_poll(now, asker, poll),
            Event::Notice(notice) => self.notice(now, notice),
            Event::Left(asker) => self.left(asker),
            Event::Store(operation, reply) => self.stored(now, operation, reply),
            Event::Catalog(catalog) => {
                self.catalog = catalog;
                self.needs_pass = true;
            }
            Event::Fresh { revision, at } => self.proof = Some((revision, at)),
            Event::Tick => self.tick(now),
        }
    }

    /// Notes how long the latest pass took, up to a time. On a processor that is too slow for a
    /// pass with each event, passes leave time for polls and callers.
    pub fn pass_took(&mut self, until: Duration, took: Duration) {
        self.next_pass = until + took * PASS_PAUSE;
    }

    fn tick(&mut self, now: Moment) {
        self.feeds.refresh(now.steady);
        self.expire_workers(now);
        self.unanswered.expire(now.steady);
        self.watch_progress(now);
        self.sum_supplies(now);
        self.materialise(now);
        self.forget_ended(now);
        self.scan_again(now);
        self.ask_intake(now);
        self.check_settled(now);
        self.write_fleet();
        if now.steady >= self.last_pass + PASS_INTERVAL {
            self.needs_pass |= !self.table.open.is_empty();
        }
    }

    /// Does what follows from the events taken, a pass, writes, and answers that can be given now;
    /// returns what is to be done.
    pub fn settle(&mut self, now: Moment) -> Vec<Effect> {
        if self.needs_pass && self.startup.is_serving() && now.steady >= self.next_pass {
            self.needs_pass = false;
            self.load.passes += 1;
            self.last_pass = now.steady;
            self.pass(now);
        }
        self.write_progress(now);
        self.write_unanswered(now);
        self.answer_polls(now);
        self.answer_feeds(now);
        std::mem::take(&mut self.out)
    }

    pub(crate) fn log(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }

    /// The terms of a job's queue: as configured now, else as they were at the acceptance.
    pub(crate) fn terms(&self, entry: &Entry) -> Terms {
        let job = &entry.job;
        self.catalog.queue(&job.queue).map_or_else(|| Terms::accepted(job), Terms::of)
    }

    /// The service whose minions run a job.
    pub(crate) fn service<'a>(&'a self, entry: &'a Entry) -> &'a str {
        let queue = self.catalog.queue(&entry.job.queue);
        queue.map_or(&entry.job.service, |queue| &queue.service)
    }

    /// How long a step's tasks are expected to run.
    pub(crate) fn expect(&self, entry: &Entry, step: u32) -> Duration {
        self.estimate(entry, step).centre
    }

    /// How long a step's tasks are expected to run, and how sure that is.
    pub(crate) fn estimate(&self, entry: &Entry, index: u32) -> Estimate {
        let Some(step) = entry.step(index) else { return Estimate::default() };
        let declared = length::declared(step);
        let policy = self.options.policy;
        let of_kind = if policy.learn_times {
            self.estimates.estimate_kind(estimate_kind(entry, step), declared)
        } else {
            Estimate::declared(declared)
        };
        let seen = entry.seen.get(index as usize).copied().flatten();
        of_kind.with_same_step(seen.filter(|_| policy.learn_siblings))
    }

    /// Time within which a job's caller wants it.
    pub(crate) fn objective(&self, entry: &Entry) -> Duration {
        let terms = self.terms(entry);
        let chain = entry.chain(|step| self.expect(entry, step));
        chain.mul_f64(terms.slack.max(1.0)) + terms.target_latency
    }

    /// Time since a job's acceptance.
    pub(crate) fn age(entry: &Entry, now: Moment) -> Duration {
        now.steady.saturating_sub(entry.handed_in)
    }

    /// Materialises occurrences that have become due.
    fn materialise(&mut self, now: Moment) {
        let open: Vec<JobId> = self.table.open.iter().cloned().collect();
        for id in open {
            let Some(entry) = self.table.entries.get_mut(&id) else { continue };
            if entry.next_due().is_some_and(|due| due <= now.unix) && entry.materialise(now) {
                self.needs_pass = true;
                self.log(format!("job={id} occurrence due"));
            }
        }
    }

    /// Tells a task's minion to stop it, once it is known where it runs.
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
            run.stop.get_or_insert_with(|| Stop { cause: cause.clone(), since: now });
        }
    }

    /// Stops all of a job that runs.
    pub(crate) fn stop_job(&mut self, now: Duration, id: &str, cause: &Cause) {
        let Some(entry) = self.table.entries.get_mut(id) else { return };
        let mut stops = Vec::new();
        for (key, group) in &mut entry.groups {
            let number = group.run;
            group.claim = None;
            let Some(active) = group.active_mut() else { continue };
            active.is_stopping = true;
            for (index, worker) in &active.left {
                let task = Task {
                    job: id.to_owned(),
                    occurrence: key.occurrence,
                    step: key.step,
                    index: *index,
                };
                stops.push((worker.clone(), task, number));
            }
        }
        for (worker, task, number) in stops {
            self.stop(now, &worker, &task, number, cause);
        }
    }

    /// Forgets jobs that ended long ago.
    fn forget_ended(&mut self, now: Moment) {
        let keep = self.options.status + options::FEED_HOLD;
        let is_old = |entry: &Entry| {
            entry.ended.is_some_and(|ended| now.steady >= ended + keep) && entry.dirty.is_none()
        };
        let runs = |id: &str| {
            self.workers.values().any(|worker| worker.runs.keys().any(|task| task.job == id))
        };
        let old: Vec<JobId> = (self.table.entries.iter())
            .filter(|(id, entry)| is_old(entry) && !runs(id))
            .map(|(id, _)| id.clone())
            .take(FORGOTTEN_AT_ONCE)
            .collect();
        self.forget(old);
    }
}

/// Jobs whose three keys one write removes, within the 32 rows that the store takes.
const FORGOTTEN_AT_ONCE: usize = 8;

/// What run times of a step are learned by.
pub(crate) fn estimate_kind<'a>(
    entry: &'a Entry,
    step: &sapphire_jobs::Step,
) -> estimate::Kind<'a> {
    let accelerators = step.room.as_ref().map_or(0, |room| room.accelerators).max(1);
    estimate::Kind { name: &entry.job.queue, size: accelerators.ilog2() }
}
