//! Starts without an answer, which a worker's minion or a later incarnation of it may still carry
//! out.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use sapphire_jobs::{
    Unanswered, UnansweredOn, UnansweredStarts, UnansweredTask,
    inventory::VmName,
    remote_clock::RemoteClock,
    task::{RunNumber, Task, WorkerName},
};

use crate::{
    event::Moment,
    group::Assignments,
    options,
    state::handover::Write,
    worker::{Run, Worker},
};

/// An unanswered start of a task on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Start {
    /// Number of the run; 0 if it is unknown, or if there are several.
    number: RunNumber,
    /// Start time of the incarnation that it was sent to; 0 if it is unknown.
    born_ms: u64,
    /// Time at which it expires, as reported by the current process of its agent.
    reported: Option<Duration>,
    /// Time at which it expires, as reported by an earlier process of its agent, or as that process
    /// may have known it.
    retained: Option<Duration>,
    /// The same according to the record of an earlier planner, or to this one that has declared the
    /// worker lost, until its agent has reported.
    inherited: Option<Inherited>,
    /// It is in the handover record.
    is_recorded: bool,
    /// Latest time at which it was to expire, as known before the latest change.
    known_until: Duration,
}

/// An unanswered start that doesn't count any more.
#[derive(Clone, Debug)]
pub(crate) struct Released {
    pub(crate) task: Task,
    pub(crate) number: RunNumber,
    pub(crate) worker: WorkerName,
    /// Time at which it was to expire.
    pub(crate) expires_at: Duration,
}

/// A start that holds up nothing any more, but counts for a successor until the stored handover record
/// lacks it.
#[derive(Clone, Debug)]
struct Settled {
    start: Released,
    /// First write of the record without it.
    written_in: Option<Write>,
}

/// An unanswered start of which only the planner that ordered it knows.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Inherited {
    expires_at: Duration,
    /// Generation of the agent's process that sent the start, and may have sent it again since.
    generation: u64,
}

/// The process of an agent that reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub(crate) generation: u64,
    /// It is in the latest session that this planner has granted.
    pub(crate) is_in_session: bool,
    /// It has no minion, and has dropped all orders with the earlier one.
    pub(crate) has_no_minion: bool,
    /// Start time of the incarnation of its minion; 0 without one.
    pub(crate) born_ms: u64,
}

/// How much longer starts count of which no list has shown what they have come to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grace {
    /// Time for which a run may go on that nobody renews the lease of.
    pub(crate) run: Duration,
    /// Time for which an agent of an earlier version that hears of no planner goes on sending starts.
    pub(crate) agent: Duration,
}

/// What the unanswered starts of a task allow.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Standing {
    /// There are none: the task may start anywhere.
    Free,
    /// All are starts of one run, those of each task on one worker. That run may be ordered there again:
    /// a minion carries out one of several starts of the same run.
    Repeatable(Assignments, RunNumber),
    /// The task may not start until they expire.
    Blocked,
}

impl Start {
    /// Returns whether it was sent to another incarnation than the one with a start time.
    fn is_for_other(&self, born_ms: u64) -> bool {
        self.born_ms != 0 && self.born_ms != born_ms
    }

    /// Records that it can't be carried out any more.
    fn clear(&mut self) {
        (self.reported, self.retained, self.inherited) = (None, None, None);
        self.is_recorded = false;
    }

    /// Returns the time at which it expires; `None` if it cannot be carried out any more.
    fn expires_at(&self) -> Option<Duration> {
        let inherited = self.inherited.map(|inherited| inherited.expires_at);
        self.reported.max(self.retained).max(inherited)
    }

    /// Settles what only the planner knows, once a process of the agent has reported. If
    /// it has taken the place of the one that sent the start, that one may have sent it until now,
    /// but no longer than the record says. Otherwise it reports the start itself as long as it may be
    /// carried out, provided that it has dropped the orders of earlier sessions, so that it no longer
    /// waits for an answer: in a session of this planner, or because it has no minion.
    fn settle_inherited(&mut self, now: Duration, sender: Sender) {
        let Some(inherited) = self.inherited else { return };
        if inherited.generation != sender.generation {
            let expires_at = inherited.expires_at.min(now + options::START_EXPIRY);
            self.retained = self.retained.max(Some(expires_at));
            self.inherited = None;
        } else if sender.is_in_session {
            self.inherited = None;
        } else if sender.has_no_minion {
            // What it doesn't report can't be carried out any more, but may have been until now.
            let expires_at = inherited.expires_at.min(now + options::TIMING_MARGIN);
            self.retained = self.retained.max(Some(expires_at));
            self.inherited = None;
        }
    }
}

/// Unanswered starts of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Name of the minion that the starts were sent to, once it is known.
    minion: Option<String>,
    /// Latest time at which that minion was known not to be running.
    absent_at: Duration,
    /// Time at which all leases that it had been given by then were over.
    lapsed_at: Duration,
    tasks: BTreeSet<Task>,
}

/// Unanswered starts on all workers.
///
/// Guards against a task that runs twice and against a worker that is overloaded. An incarnation may
/// carry out a start that was sent to it until its leases are over: what it begins later has no lease.
///
/// Where calls outlive incarnations, a stop that was answered, a later run or a token fences an earlier
/// start in one incarnation of a minion only.
/// The next incarnation carries the start out unless it has seen a token by then. All that runs ends
/// with the present incarnation, so that the next one can run nothing but such starts. No process
/// need be there to prevent this as long as the starts that are pending on a worker are by
/// themselves a valid placement: no task has two of them, on whatever workers, they fit into the
/// worker's capacity, and they respect the limit of each step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    /// Whether an incarnation may carry out what was sent to an earlier one of the same name.
    pub(crate) calls_outlive_incarnations: bool,
    by_task: BTreeMap<Task, BTreeMap<WorkerName, Start>>,
    by_worker: BTreeMap<WorkerName, Record>,
    /// Starts that were removed and that the stored handover record may contain.
    settled: Vec<Settled>,
}

impl Starts {
    pub(crate) fn new(calls_outlive_incarnations: bool) -> Self {
        Starts { calls_outlive_incarnations, ..Starts::default() }
    }

    /// Handles an agent's report on the unanswered starts that it sent to minions of one name. Those
    /// that it does not report any more count until [`Self::expire`] removes them.
    pub(crate) fn report(
        &mut self,
        now: Duration,
        worker: &str,
        sender: Sender,
        rows: &[Unanswered],
    ) {
        self.for_each_start(worker, |start| start.settle_inherited(now, sender));
        let is_void = |born_ms: u64| born_ms != 0 && born_ms != sender.born_ms;
        // In a session the minion has shown which incarnation it is.
        let ends_earlier =
            !self.calls_outlive_incarnations && sender.is_in_session && sender.born_ms != 0;
        if ends_earlier {
            self.for_each_start(worker, |start| {
                if start.is_for_other(sender.born_ms) {
                    start.clear();
                }
            });
        }
        let lapsed_at = self.by_worker.get(worker).map_or(Duration::ZERO, |it| it.lapsed_at);
        for row in rows {
            let Some(run) = &row.run else { continue };
            let age = Duration::from_millis(row.age_ms);
            let has_lapsed = now.saturating_sub(age) < lapsed_at;
            if has_lapsed || ends_earlier && is_void(row.born_ms) {
                continue;
            }
            let left = options::START_EXPIRY.saturating_sub(age);
            let start = self.start(worker, Task::read(run), run.run);
            start.reported = start.reported.max(Some(now + left));
            start.born_ms = row.born_ms;
        }
        self.prune(worker);
    }

    /// Keeps the starts of a worker whose agent's process has been replaced, along with what that
    /// process knew of them.
    pub(crate) fn retain_lost(&mut self, now: Duration, name: &str, worker: &Worker) {
        self.for_each_start(name, |start| start.retained = start.retained.max(start.reported));
        if worker.has_void_orders {
            return;
        }
        for (task, run) in worker.runs.iter().filter(|(_, run)| may_be_sent(run)) {
            let start = self.start(name, task.clone(), run.number);
            start.retained = start.retained.max(Some(worker.expiry_of_starts(now)));
            start.born_ms = worker.born_ms();
        }
    }

    /// Keeps the starts of a worker that is declared lost, until its agent reports again. If that is
    /// the same process, it knows which of them it has sent.
    pub(crate) fn retain_silent(&mut self, now: Duration, name: &str, worker: &Worker) {
        let generation = worker.generation;
        for (task, run) in worker.runs.iter().filter(|(_, run)| may_be_sent(run)) {
            let start = self.start(name, task.clone(), run.number);
            let earlier = start.inherited.map(|inherited| inherited.expires_at);
            let expires_at = worker.expiry_of_starts(now).max(earlier.unwrap_or_default());
            start.inherited = Some(Inherited { expires_at, generation });
        }
    }

    /// Records the name of a worker's minion. A minion rejects calls that name another one, so that
    /// the starts sent to another name can no longer be carried out.
    pub(crate) fn set_minion(&mut self, worker: &str, minion: &str) {
        if self.minion(worker) == Some(minion) {
            return;
        }
        let record = self.by_worker.entry(worker.to_owned()).or_default();
        record.absent_at = Duration::ZERO;
        if record.minion.replace(minion.to_owned()).is_some() {
            self.for_each_start(worker, Start::clear);
            self.prune(worker);
        }
    }

    /// Returns the workers that have unanswered starts, with the names of their minions if they are
    /// known.
    pub(crate) fn minions(&self) -> impl Iterator<Item = (WorkerName, String)> {
        let pending = self.by_worker.iter().filter(|(_, record)| !record.tasks.is_empty());
        pending.filter_map(|(worker, record)| Some((worker.clone(), record.minion.clone()?)))
    }

    /// Removes the starts that were sent to a minion which can't carry them out any more.
    pub(crate) fn forget(&mut self, worker: &str, minion: &str) {
        if self.minion(worker) == Some(minion) {
            self.for_each_start(worker, Start::clear);
            self.prune(worker);
        }
    }

    /// Removes the starts on a worker all leases of which are over, unless a next incarnation may carry
    /// them out.
    pub(crate) fn lapse(&mut self, now: Duration, worker: &str) {
        if self.calls_outlive_incarnations {
            return;
        }
        self.by_worker.entry(worker.to_owned()).or_default().lapsed_at = now;
        self.for_each_start(worker, Start::clear);
        self.prune(worker);
    }

    /// Records that a minion was not running at a time, so that nothing that was carried out before is
    /// going on.
    pub(crate) fn set_absent(&mut self, worker: &str, minion: &str, at: Duration) {
        let record = self.by_worker.get_mut(worker);
        if let Some(record) = record.filter(|record| record.minion.as_deref() == Some(minion)) {
            record.absent_at = record.absent_at.max(at);
        }
    }

    /// Returns whether a worker has an unanswered start that can't be carried out any more.
    pub(crate) fn is_expired(&self, worker: &str, now: Duration) -> bool {
        let mut starts =
            self.tasks_on(worker).filter_map(|task| self.by_task.get(task)?.get(worker));
        starts.any(|start| start.expires_at().is_some_and(|until| now >= until))
    }

    /// Returns the time at which the last start on a worker expires.
    fn latest_expiry(&self, worker: &str) -> Duration {
        let starts = self.tasks_on(worker).filter_map(|task| self.by_task.get(task)?.get(worker));
        starts.filter_map(Start::expires_at).max().unwrap_or_default()
    }

    /// Removes starts that have expired, once a later list of the minion has shown what they have
    /// come to, once there was no such minion later, or after a further time without either.
    ///
    /// Guards against a task that runs twice: while an agent is away, the next incarnation of its
    /// minion may have carried the start out just before it expired, and run the task since. Other starts
    /// that it carries out later prolong its lease.
    pub(crate) fn expire(
        &mut self,
        now: Duration,
        grace: Grace,
        fleet: &BTreeMap<WorkerName, Worker>,
    ) {
        if self.by_task.is_empty() {
            return;
        }
        let workers: Vec<WorkerName> = self.by_worker.keys().cloned().collect();
        for worker in workers {
            let known = fleet.get(&worker).filter(|worker| worker.is_fenced);
            let listed_at = known.map_or(Duration::ZERO, |worker| worker.listed_at);
            let absent_at = self.by_worker.get(&worker).map_or(Duration::ZERO, |it| it.absent_at);
            let shown_at = listed_at.max(absent_at);
            // The expiry contains this margin.
            let is_shown = |until: Duration| shown_at + options::TIMING_MARGIN >= until;
            // A start that is carried out prolongs the lease of all that its minion runs.
            let latest = self.latest_expiry(&worker);
            let is_kept =
                |until: &Duration| now < latest.max(*until) + grace.run && !is_shown(*until);
            self.for_each_start(&worker, |start| {
                start.reported = start.reported.filter(is_kept);
                start.retained = start.retained.filter(is_kept);
                start.inherited = start.inherited.filter(|it| is_kept(&it.expires_at));
            });
            self.prune(&worker);
        }
    }

    /// Returns whether the handover record lacks starts, and whether it may contain some that are over.
    pub(crate) fn changes(&self) -> (bool, bool) {
        let mut starts = self.by_task.values().flat_map(BTreeMap::values);
        (starts.any(|start| !start.is_recorded), !self.settled.is_empty())
    }

    /// Returns whether there are unanswered starts.
    pub(crate) fn is_any(&self) -> bool {
        !self.by_task.is_empty()
    }

    /// Returns whether there are unanswered starts on a worker.
    pub(crate) fn is_any_on(&self, worker: &str) -> bool {
        self.tasks_on(worker).next().is_some()
    }

    /// Returns the handover record for a successor: the unanswered starts, and those that were
    /// ordered and are not known to be answered. `write` is the number of its write. `is_closed` says of a
    /// run that its minion won't start it again; the record then leaves out its number.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        write: Write,
        is_closed: impl Fn(&Task, RunNumber) -> bool,
        fleet: &BTreeMap<WorkerName, Worker>,
        vms: &BTreeMap<String, VmName>,
    ) -> UnansweredStarts {
        let mut record: BTreeMap<&WorkerName, UnansweredOn> = BTreeMap::new();
        for settled in &mut self.settled {
            settled.written_in.get_or_insert(write);
        }
        for (task, starts) in &mut self.by_task {
            for (worker, start) in starts {
                start.is_recorded = true;
                let sender = fleet.get(worker).map_or(0, |worker| worker.generation);
                let inherited = start.inherited.map(|it| (it.expires_at, it.generation));
                let reported = start.reported.map(|expires_at| (expires_at, sender));
                let retained = start.retained.map(|expires_at| (expires_at, 0));
                let rows = [inherited, reported, retained].into_iter().flatten();
                let is_closed = is_closed(task, start.number);
                let run = task.run(if is_closed { 0 } else { start.number });
                let born_ms = start.born_ms;
                let ordered = fleet.get(worker).and_then(|worker| worker.runs.get(task));
                let is_final = ordered.is_none_or(|run| run.is_started);
                let rows = rows.map(|(until, sender)| UnansweredTask {
                    born_ms,
                    ..recorded_task(now, &run, until, sender, is_final)
                });
                record.entry(worker).or_default().tasks.extend(rows);
            }
        }
        for (name, worker) in fleet.iter().filter(|(_, worker)| !worker.has_void_orders) {
            // Its agent may go on sending the start for a while after it last hears of this planner,
            // which may go on for a while after it was replaced.
            let sent_until = options::OUTAGE_STARTS + options::START_WINDOW;
            let until = now.steady + sent_until + options::START_EXPIRY + options::TIMING_MARGIN;
            let ordered = worker.runs.iter().filter(|(_, run)| !run.is_started);
            let rows = ordered.map(|(task, run)| UnansweredTask {
                born_ms: worker.born_ms(),
                ..recorded_task(now, &task.run(run.number), until, worker.generation, false)
            });
            let mut rows = rows.peekable();
            if rows.peek().is_some() {
                record.entry(name).or_default().tasks.extend(rows);
            }
        }
        let workers = record.into_iter().map(|(name, on)| {
            let incarnation = fleet.get(name).and_then(|worker| worker.incarnation.as_ref());
            let known = self.by_worker.get(name).and_then(|record| record.minion.as_ref());
            let minion = known.or(incarnation.map(|minion| &minion.id));
            let minion = minion.cloned().unwrap_or_default();
            let vm = vms.get(&minion).cloned().unwrap_or_default();
            UnansweredOn { worker: name.clone(), minion, vm, ..on }
        });
        UnansweredStarts { workers: workers.collect(), ..UnansweredStarts::default() }
    }

    /// Marks the stored record as unknown, so that it is written again.
    pub(crate) fn invalidate_record(&mut self) {
        let starts = self.by_task.values_mut().flat_map(BTreeMap::values_mut);
        starts.for_each(|start| start.is_recorded = false);
    }

    /// Restores the handover record of an earlier planner. `fleet` holds the workers whose agents
    /// have reported already.
    ///
    /// The record has the time that is left of each start, which is counted from now on: wall clocks
    /// may differ by any amount. That of a start which isn't sent any more ends by the earlier
    /// planner's `clock`, if that is known.
    pub(crate) fn restore(
        &mut self,
        now: Moment,
        grace: Grace,
        clock: Option<RemoteClock>,
        starts: UnansweredStarts,
        fleet: &BTreeMap<WorkerName, Worker>,
    ) {
        for UnansweredOn { worker, minion, tasks, vm: _ } in starts.workers {
            let is_other = self.minion(&worker).is_some_and(|known| known != minion);
            if is_other && !minion.is_empty() {
                continue;
            }
            for task in tasks {
                let UnansweredTask { job, occurrence, step, index, run, generation, .. } = task;
                let expires_at = match task.left_ms {
                    Some(left) => shifted(now.steady, left),
                    None => now.steady + options::START_EXPIRY + grace.agent,
                };
                let until = task.until_clock_ms.map(Duration::from_millis);
                let until = clock.zip(until).map(|(clock, until)| clock.local(until));
                let expires_at = until.map_or(expires_at, |until| until.min(expires_at));
                let start = self.start(&worker, Task { job, occurrence, step, index }, run);
                start.born_ms = task.born_ms;
                if generation == 0 {
                    start.retained = start.retained.max(Some(expires_at));
                } else {
                    let earlier = start.inherited.map(|inherited| inherited.expires_at);
                    let expires_at = earlier.map_or(expires_at, |earlier| earlier.max(expires_at));
                    start.inherited = Some(Inherited { expires_at, generation });
                }
                start.is_recorded = true;
            }
            if let Some(known) = fleet.get(&worker) {
                let generation = known.generation;
                let born_ms = known.born_ms();
                let sender =
                    Sender { generation, is_in_session: false, has_no_minion: false, born_ms };
                let settle = |start: &mut Start| start.settle_inherited(now.steady, sender);
                self.for_each_start(&worker, settle);
            }
            self.prune(&worker);
            if let Some(record) = self.by_worker.get_mut(&worker)
                && !minion.is_empty()
            {
                record.minion = Some(minion);
            }
        }
    }

    /// Returns what the unanswered starts of the tasks in a range allow.
    pub(crate) fn standing(&self, tasks: Range<&Task>) -> Standing {
        let mut workers = Assignments::new();
        let mut number = None;
        for (task, starts) in self.by_task.range::<Task, _>(tasks) {
            for (worker, start) in starts {
                let is_of_run = *number.get_or_insert(start.number) == start.number;
                let earlier = workers.insert(task.index, worker.clone());
                if start.number == 0 || !is_of_run || earlier.is_some() {
                    return Standing::Blocked;
                }
            }
        }
        number.map_or(Standing::Free, |number| Standing::Repeatable(workers, number))
    }

    /// Returns the workers on which the tasks in a range have unanswered starts.
    pub(crate) fn workers(&self, tasks: Range<&Task>) -> BTreeSet<&WorkerName> {
        self.by_task.range::<Task, _>(tasks).flat_map(|(_, starts)| starts.keys()).collect()
    }

    /// Describes the unanswered starts of the tasks in a range: where each was sent, how long ago at the
    /// latest, and for how long it may still be carried out.
    pub(crate) fn describe(&self, now: Duration, tasks: Range<&Task>) -> Vec<String> {
        let starts = self.by_task.range::<Task, _>(tasks);
        let starts = starts.flat_map(|(task, starts)| starts.iter().map(move |it| (task, it)));
        let row = |(task, (worker, start)): (&Task, (&WorkerName, &Start))| {
            let until = start.expires_at().unwrap_or(now);
            let age = (now + options::START_EXPIRY).saturating_sub(until).as_millis();
            let left = until.saturating_sub(now).as_millis();
            let number = start.number;
            format!("{worker}/{}#{number} age_ms={age} expires_in_ms={left}", task.index)
        };
        starts.map(row).collect()
    }

    /// Returns the age of the oldest unanswered start, counted from its latest attempt.
    pub(crate) fn oldest(&self, now: Duration) -> Duration {
        let starts = self.by_task.values().flat_map(BTreeMap::values);
        let age = |start: &Start| {
            start.expires_at().map(|until| (now + options::START_EXPIRY).saturating_sub(until))
        };
        starts.filter_map(age).max().unwrap_or_default()
    }

    /// Returns the time at which the last start of the tasks in a range expires.
    pub(crate) fn expires_at(&self, tasks: Range<&Task>) -> Option<Duration> {
        let starts = self.by_task.range::<Task, _>(tasks).flat_map(|(_, starts)| starts.values());
        starts.filter_map(Start::expires_at).max()
    }

    /// Returns the starts that count, also if only for a successor.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Task, &WorkerName)> {
        let starts = self.by_task.iter();
        let starts =
            starts.flat_map(|(task, starts)| starts.keys().map(move |worker| (task, worker)));
        let settled = self.settled.iter().map(|Settled { start, .. }| (&start.task, &start.worker));
        starts.chain(settled)
    }

    /// Takes the starts that the stored handover record lacks since a write was carried out: no
    /// successor counts them again.
    pub(crate) fn take_released(&mut self, durable: Write) -> Vec<Released> {
        let is_durable = |settled: &mut Settled| settled.written_in.is_some_and(|it| it <= durable);
        self.settled.extract_if(.., is_durable).map(|settled| settled.start).collect()
    }

    /// Returns the tasks with unanswered starts on a worker.
    pub(crate) fn tasks_on(&self, worker: &str) -> impl Iterator<Item = &Task> {
        self.by_worker.get(worker).into_iter().flat_map(|record| &record.tasks)
    }

    /// Returns the name of a worker's minion, if known.
    pub(crate) fn minion(&self, worker: &str) -> Option<&str> {
        self.by_worker.get(worker)?.minion.as_deref()
    }

    /// Returns the start of a task on a worker; adds it if there is none.
    fn start(&mut self, worker: &str, task: Task, number: RunNumber) -> &mut Start {
        let record = self.by_worker.entry(worker.to_owned()).or_default();
        record.tasks.insert(task.clone());
        self.settled.retain(|Settled { start, .. }| start.task != task || start.worker != worker);
        let starts = self.by_task.entry(task).or_default();
        let start = starts.entry(worker.to_owned()).or_default();
        if start.expires_at().is_none() {
            start.number = number;
        } else if start.number != number {
            start.number = 0;
            start.is_recorded = false;
        }
        start
    }

    /// Applies a change to all starts of a worker.
    fn for_each_start(&mut self, worker: &str, change: impl Fn(&mut Start)) {
        let Some(record) = self.by_worker.get(worker) else { return };
        for task in &record.tasks {
            let start = self.by_task.get_mut(task).and_then(|starts| starts.get_mut(worker));
            if let Some(start) = start {
                start.known_until = start.expires_at().unwrap_or(start.known_until);
                change(start);
            }
        }
    }

    /// Removes the expired starts of a worker.
    fn prune(&mut self, worker: &str) {
        let Some(record) = self.by_worker.get_mut(worker) else { return };
        let by_task = &mut self.by_task;
        record.tasks.retain(|task| {
            let Some(starts) = by_task.get_mut(task) else { return false };
            if starts.get(worker).is_some_and(|start| start.expires_at().is_some()) {
                return true;
            }
            if let Some(start) = starts.remove(worker) {
                let start = Released {
                    task: task.clone(),
                    number: start.number,
                    worker: worker.to_owned(),
                    expires_at: start.known_until,
                };
                self.settled.push(Settled { start, written_in: None });
            }
            if starts.is_empty() {
                by_task.remove(task);
            }
            false
        });
    }
}

/// Returns whether an agent may have sent the start of a run.
fn may_be_sent(run: &Run) -> bool {
    !run.is_started && run.is_sent
}

/// Returns a row of the handover record. `is_final` says that the start isn't sent any more.
fn recorded_task(
    now: Moment,
    run: &sapphire_jobs::Run,
    until: Duration,
    generation: u64,
    is_final: bool,
) -> UnansweredTask {
    let left = in_ms(until) - in_ms(now.steady);
    let until_clock_ms = u64::try_from(in_ms(until)).unwrap_or(0);
    let until = now.unix + until.saturating_sub(now.steady);
    UnansweredTask {
        job: run.job.clone(),
        occurrence: run.occurrence,
        step: run.step,
        index: run.index,
        run: run.run,
        until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
        generation,
        left_ms: Some(left),
        until_clock_ms: is_final.then_some(until_clock_ms),
        born_ms: 0,
    }
}

/// Returns a time in ms.
pub(crate) fn in_ms(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns a time that is some ms later, or earlier if they are negative.
pub(crate) fn shifted(time: Duration, by_ms: i64) -> Duration {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms < 0 { time.saturating_sub(by) } else { time + by }
}
