//! The state of a worker as its agent reports it.

use std::{collections::BTreeMap, fmt, time::Duration};

use sapphire_jobs::{
    Absence, Incarnation, Orders, RejectedMinion, Rejection, Running,
    resources::Resources,
    task::{JobId, RunNumber, Task},
};

use sapphire_plan::pace;

use crate::{event::Requester, lease, options, state::feeds::Delivery};

/// Phase of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The start is ordered; the minion has not confirmed it.
    Ordered,
    /// The minion runs the task.
    Running,
    /// The stop is ordered; the run takes its resources until its end is listed.
    Stopping,
}

/// Reason why a run is stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A more urgent job, named here, needs its resources.
    Urgent(JobId),
    /// The run is slow.
    Slow,
    /// The run is stalled.
    Stalled,
    /// The run ends sooner on a faster worker.
    Faster,
    /// Its job was cancelled.
    Cancelled,
    /// Its job has failed.
    JobFailed,
    /// Another member of its gang has ended, or never existed.
    Gang,
    /// An earlier run of the task is done.
    Superseded,
    /// No planner has ordered the run, or the planner has abandoned it.
    Unwanted,
}

/// The stop of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Reason of the stop.
    pub cause: Cause,
    /// Time of the decision.
    pub decided_at: Duration,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Urgent(job) => write!(f, "urgent for={job}"),
            Cause::Slow => f.write_str("slow"),
            Cause::Stalled => f.write_str("still"),
            Cause::Faster => f.write_str("faster"),
            Cause::Cancelled => f.write_str("cancelled"),
            Cause::JobFailed => f.write_str("job-failed"),
            Cause::Gang => f.write_str("gang"),
            Cause::Superseded => f.write_str("superseded"),
            Cause::Unwanted => f.write_str("unwanted"),
        }
    }
}

/// A run of a task that may be on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Number of the run.
    pub number: RunNumber,
    /// Resources that it takes.
    pub resources: Resources,
    /// Phase of the run.
    pub phase: Phase,
    /// The stop of the run, once it has been decided.
    pub stop: Option<Stop>,
    /// The agent has received the latest order for the run.
    pub is_received: bool,
    /// First write of the handover record that contains the start; it is sent once that write has
    /// been carried out. 0 for a run that this planner has not ordered.
    pub recorded_in: u64,
    /// The order to start the run has been sent, whether or not the agent has received it.
    pub is_sent: bool,
    /// The minion is known to have carried out the start.
    pub is_started: bool,
    /// Progress as last listed, from 0 to 100.
    pub percent: u32,
    /// Progress at `paced_since`.
    pub first_percent: u32,
    /// Time from which the pace of the run is measured: that of the first list, or that of the first
    /// progress of a run which was still being restored from a checkpoint when it was first listed.
    pub paced_since: Duration,
    /// Time of the first progress that was seen, and that progress. The time before it may have been
    /// spent on the start of the task.
    pub first_progress: Option<(Duration, u32)>,
    /// The run was ordered to continue from a checkpoint.
    pub is_resumed: bool,
    /// Time at which the progress last grew.
    pub last_progress: Duration,
    /// Pace of the run since its first progress.
    pub track: Option<pace::Track>,
    /// Number of lists without progress since then.
    pub stalled_lists: u32,
    /// Latest checkpoint that was listed; empty for none.
    pub checkpoint: String,
    /// Time at which that checkpoint was first listed; without one, the time at which the run
    /// began.
    pub checkpointed_at: Duration,
    /// Number of the minion's latest list when the run was first reported as started.
    pub first_list: Option<u64>,
    /// Number of successive lists in which the run was missing although it had started.
    pub missing_lists: u32,
    /// Time at which the run was last listed.
    pub last_listed: Duration,
    /// Time at which the minion was first known to run the task.
    pub began: Duration,
}

/// A poll of an agent that waits for orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongPoll {
    /// The request to answer.
    pub requester: Requester,
    /// Time at which the poll arrived.
    pub since: Duration,
}

/// A worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Worker {
    /// Address at which its agent listens.
    pub address: String,
    /// Generation of the agent's process.
    pub generation: u64,
    /// Sequence number of the latest poll.
    pub sequence: u64,
    /// Generation of the agent's process that polls with an earlier one, and the sequence number of
    /// its first poll.
    pub earlier: Option<(u64, u64)>,
    /// Its minion, if known.
    pub incarnation: Option<Incarnation>,
    /// The minion that its agent has reported and that is not the worker's.
    pub(crate) rejected: Option<RejectedMinion>,
    /// Its agent has reported another one than the worker's since the session began.
    pub(crate) had_foreign_minion: bool,
    /// Token of the session.
    pub token: u64,
    /// The minion has acknowledged the token, so that no earlier order can take effect and its list
    /// is complete.
    pub is_fenced: bool,
    /// The session began with a new incarnation of the minion, in which no earlier run goes on.
    pub is_new_incarnation: bool,
    /// The runs were ordered on an incarnation that the present one doesn't carry out calls for. They end
    /// with its first list.
    pub has_void_orders: bool,
    /// The worker has no minion, and nothing of any earlier one is running.
    pub is_vacant: bool,
    /// What its agent has observed of a minion that seems to be absent. It shows nothing of what the
    /// minion runs.
    pub absence: Option<Absence>,
    /// The agent is shutting down.
    pub is_leaving: bool,
    /// Time of the agent's latest poll.
    pub last_contact: Duration,
    /// Time of the first poll after a silence, or of the agent's present process.
    pub contact_since: Duration,
    /// Time at which its agent was last asked to poll, and how often that was since its latest poll.
    pub asked: Option<(Duration, u32)>,
    /// Time until which the agent may send the starts that it was ordered.
    pub starts_until: Duration,
    /// Time at which the last granted lease has certainly expired.
    pub lease_expires_at: Duration,
    /// Time of the agent's latest poll for which a lease was granted.
    pub granted_contact: Duration,
    /// The lease that is withheld from it although its agent polls.
    pub withheld: Option<lease::Withheld>,
    /// Runs that may be on the worker.
    pub runs: BTreeMap<Task, Run>,
    /// Ends that were listed and are not acknowledged yet, by number, with the change of progress
    /// that must be durable first.
    pub pending_ends: BTreeMap<u64, Option<(JobId, u64)>>,
    /// Number up to which ends are acknowledged and need not be listed any more.
    pub acknowledged: u64,
    /// The value of `acknowledged` that the agent was last sent.
    pub acknowledged_sent: u64,
    /// Number of the latest list that the agent has received from the minion.
    pub list_number: u64,
    /// Time of that list.
    pub listed_at: Duration,
    /// The agent's poll that waits for an answer.
    pub long_poll: Option<LongPoll>,
    /// The list of entries that the agent was last sent.
    pub(crate) entries_sent: Delivery,
    /// The agent was last told that its zone is cordoned.
    pub(crate) is_cordon_sent: bool,
}

impl Worker {
    /// Returns the resources of the worker; nothing while its minion is not known.
    pub fn capacity(&self) -> Resources {
        let resources =
            self.incarnation.as_ref().and_then(|incarnation| incarnation.capacity.as_ref());
        Resources::read(resources)
    }

    /// Returns the start time of the incarnation of its minion; 0 if it isn't known.
    pub fn born_ms(&self) -> u64 {
        self.incarnation.as_ref().map_or(0, |incarnation| incarnation.born_ms)
    }

    /// Returns the resources of all runs that are ordered, running or being stopped.
    ///
    /// Guards against overloading a minion that does not refuse tasks beyond its capacity: a task
    /// that is being stopped, or whose start is unanswered, still takes its resources.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.resources))
    }

    /// Returns the tasks whose runs no list has confirmed since their start was answered.
    pub fn unconfirmed_tasks(&self) -> impl Iterator<Item = &Task> {
        let is_unconfirmed = |run: &Run| !run.is_confirmed(self.list_number);
        self.runs.iter().filter(move |(_, run)| is_unconfirmed(run)).map(|(task, _)| task)
    }

    /// Returns whether the worker may be given tasks.
    pub fn is_open(&self, now: Duration) -> bool {
        let minion = self.incarnation.as_ref();
        let is_closed = minion.is_none_or(|minion| minion.is_draining || minion.is_silent);
        let is_in_contact = now < self.last_contact + options::SILENCE_TIMEOUT;
        self.is_fenced && !is_closed && !self.is_leaving && is_in_contact && self.absence.is_none()
    }

    /// Returns whether there are orders that the agent has not received; starts only if they may be
    /// sent now, and if the handover record contains them. `durable` is the latest write of that
    /// record that was carried out.
    pub fn has_orders(&self, may_start: bool, durable: u64) -> bool {
        let is_due = |run: &Run| match run.phase {
            Phase::Ordered => may_start && run.recorded_in <= durable,
            Phase::Stopping => true,
            Phase::Running => false,
        };
        self.is_fenced && self.runs.values().any(|run| !run.is_received && is_due(run))
    }

    /// Describes how long ago its agent and its minion were last heard of, how old the poll is that its
    /// lease was granted for, and what has withheld a lease since, for a log line.
    pub(crate) fn ages(&self, now: Duration) -> String {
        let age = |at: Duration| now.saturating_sub(at).as_millis();
        let withheld = self.withheld.map_or_else(String::new, |withheld| {
            let (name, since) = (withheld.obstacle.name(), age(withheld.since));
            format!(" withheld={name} withheld_ms={since}")
        });
        let asked = self.asked.map_or_else(String::new, |(_, times)| format!(" asked={times}"));
        format!(
            " contact_ms_ago={} listed_ms_ago={} granted_ms_ago={}{withheld}{asked}",
            age(self.last_contact),
            age(self.listed_at),
            age(self.granted_contact)
        )
    }

    /// Returns the time at which the latest start that its agent may have sent expires.
    pub fn expiry_of_starts(&self, now: Duration) -> Duration {
        now.min(self.starts_until) + options::START_EXPIRY
    }

    /// Returns whether polls of an earlier generation are those of the agent's present process.
    /// Generations are wall clock times, and the clock may have been set back.
    ///
    /// Guards against a worker that is of no use, and is lost with its lease, although its agent polls.
    /// Delayed polls of a process that has ended don't count: they are no more than it had open.
    pub fn is_restarted(&mut self, now: Duration, generation: u64, sequence: u64) -> bool {
        let known = self.earlier.filter(|(known, _)| *known == generation);
        let (_, first) = *self.earlier.insert(known.unwrap_or((generation, sequence)));
        let is_silent = now >= self.last_contact + options::SILENCE_TIMEOUT;
        is_silent && sequence > first + options::MAX_OPEN_POLLS
    }

    /// Returns whether orders to start runs can be sent with the answer to the agent's next poll.
    pub fn takes_starts(&self, now: Duration) -> bool {
        self.is_open(now) && !self.start_window(now).is_zero()
    }

    /// Returns whether the worker has a later run of the task than `number`.
    pub fn has_later_run(&self, task: &Task, number: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|run| run.number > number)
    }

    /// Updates a run from the minion's list of time `now`. Returns whether the run is known.
    pub fn update_listed(
        &mut self,
        task: &Task,
        running: &Running,
        is_new_list: bool,
        now: Duration,
    ) -> bool {
        let number = running.run.as_ref().map_or(0, |run| run.run);
        let list_number = self.list_number;
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return false;
        };
        run.is_started = true;
        // Lists are numbered anew for each incarnation and each process of the agent.
        run.first_list = Some(run.first_list.map_or(list_number, |first| first.min(list_number)));
        if run.phase == Phase::Ordered {
            run.phase = Phase::Running;
            run.began = now;
            run.last_progress = now;
            run.checkpointed_at = now;
            run.last_listed = now;
            run.first_percent = running.percent;
            run.percent = running.percent;
            run.paced_since = now;
        }
        run.last_listed = run.last_listed.max(now);
        if !running.checkpoint.is_empty() && running.checkpoint != run.checkpoint {
            run.checkpoint.clone_from(&running.checkpoint);
            run.checkpointed_at = now;
        }
        if running.percent > run.percent {
            let gap = now.saturating_sub(run.last_progress);
            run.percent = running.percent;
            let gained = running.percent - run.first_percent;
            let is_restored = run.is_resumed && run.first_progress.is_none();
            if is_restored && gained >= MIN_GAINED_PERCENT {
                run.paced_since = now;
                run.first_percent = running.percent;
            }
            run.first_progress.get_or_insert((now, running.percent));
            run.last_progress = now;
            run.stalled_lists = 0;
            let track = run.track.get_or_insert(pace::Track::new(now, running.percent));
            track.record(now, running.percent, gap);
        } else if is_new_list {
            run.stalled_lists += 1;
        }
        true
    }

    /// Returns whether its agent has not polled for a while.
    pub fn is_silent(&self, now: Duration) -> bool {
        now >= self.last_contact + options::SILENCE_TIMEOUT
    }

    /// Returns the time from which on its runs count as ended unless their ends are listed: its leases are
    /// over, and, if it is silent, nothing has been heard of it, or of a minion that seems to be absent, for
    /// as long as a lease lasts, and its agent has been asked.
    ///
    /// Guards against a task that runs again although it is done. The end of a lease shows that nothing
    /// runs there; only the agent knows what had ended before, and a worker that was heard of a moment ago
    /// is likely to say so. A worker that polls may have been granted no lease for that.
    pub fn lost_at(&self, now: Duration, lease_expiry: Duration) -> Duration {
        let is_absent = self.absence.is_some();
        let heard_at = if is_absent { self.listed_at } else { self.last_contact };
        // While a minion that has deregistered sends lists, they show what its runs come to.
        let sends_lists =
            is_absent && self.last_contact < self.listed_at + options::SILENCE_TIMEOUT;
        if self.runs.is_empty() || !(self.is_silent(now) || sends_lists) {
            return self.lease_expires_at;
        }
        self.lease_expires_at.max(heard_at + lease_expiry + options::INQUIRY_TIMEOUT)
    }

    /// Returns whether its agent polls again since so short a time that a list may be on its way. A session
    /// that begins may take a poll that is held.
    pub fn is_just_back(&self, now: Duration) -> bool {
        let time = match self.is_fenced {
            true => options::INQUIRY_TIMEOUT,
            false => options::INQUIRY_TIMEOUT + options::POLL_TIMEOUT,
        };
        !self.is_silent(now) && now < self.contact_since + time
    }

    /// Returns whether the minion has sent a list in this session and a short time ago, and doesn't seem
    /// to be absent since. Only then is a lease granted.
    ///
    /// Guards against work that waits for ever for a minion that hangs while its agent polls, and
    /// against a task that runs twice: a minion that carries out calls and answers none would keep
    /// the leases that a new planner grants, of runs that the planner doesn't know.
    pub fn is_listed(&self, now: Duration) -> bool {
        self.is_fenced && now < self.listed_at + options::LIST_TIMEOUT && self.absence.is_none()
    }

    /// Returns the time for which starts may be sent to the minion, given its latest list; none before
    /// the first list of a session.
    ///
    /// Guards against starts that are sent to a minion that hangs until it is declared lost, and count
    /// for long after that.
    pub fn start_window(&self, now: Duration) -> Duration {
        let is_open = self.is_fenced && self.absence.is_none();
        let until = if is_open { self.listed_at + options::START_WINDOW } else { now };
        until.saturating_sub(now)
    }

    /// Returns orders without starts and stops.
    pub fn empty_orders(&self, term: u64) -> Orders {
        Orders {
            term,
            token: self.token,
            noted: self.acknowledged,
            rejected: self.rejected.clone(),
            ..Orders::default()
        }
    }
}

impl Run {
    /// Returns a run of which only the number, the resources, the phase and the progress are known.
    pub fn new(
        number: RunNumber,
        resources: Resources,
        phase: Phase,
        percent: u32,
        now: Duration,
    ) -> Self {
        Run {
            number,
            resources,
            phase,
            stop: None,
            is_received: false,
            recorded_in: 0,
            is_sent: false,
            is_started: phase == Phase::Running,
            percent,
            first_percent: percent,
            paced_since: now,
            first_progress: None,
            is_resumed: false,
            last_progress: now,
            track: None,
            stalled_lists: 0,
            checkpoint: String::new(),
            checkpointed_at: now,
            first_list: None,
            missing_lists: 0,
            last_listed: now,
            began: now,
        }
    }

    /// Returns whether the run has been listed, up to the list of the given number, by a list that
    /// was requested after its start.
    fn is_confirmed(&self, list_number: u64) -> bool {
        self.first_list.is_some_and(|first| list_number >= first + CONFIRMING_LISTS)
    }

    /// Returns the total run time at the average pace of this run, once it has made enough progress
    /// to tell.
    pub fn total_run_time(&self) -> Option<Duration> {
        let gained = self.percent.saturating_sub(self.first_percent);
        let ran = self.last_progress.saturating_sub(self.paced_since);
        (gained >= MIN_GAINED_PERCENT).then(|| ran.mul_f64(100.0 / f64::from(gained)))
    }

    /// Returns the total run time at the pace since the first progress that was seen, once at least
    /// `percent` have been gained. `end` is the time of the end if the run has succeeded.
    pub fn paced_run_time(&self, percent: u32, end: Option<Duration>) -> Option<Duration> {
        let (since, first) = self.first_progress?;
        let (until, reached) = end.map_or((self.last_progress, self.percent), |end| (end, 100));
        let gained = reached.saturating_sub(first);
        let ran = until.saturating_sub(since);
        (gained >= percent).then(|| ran.mul_f64(100.0 / f64::from(gained)))
    }

    /// Returns the working time that would be repeated if the run were stopped while it is stalled.
    pub fn unsaved_time(&self) -> Duration {
        self.last_progress.saturating_sub(self.checkpointed_at.max(self.began))
    }

    /// Returns the work that is lost if the run ends now without success, in processor seconds:
    /// what was done from its latest checkpoint until it was stopped or stalled. `healthy` is the
    /// total run time on a healthy worker; a slow run has done less work in its time.
    pub fn unsaved_work(&self, now: Duration, healthy: Duration) -> f64 {
        if self.phase == Phase::Ordered {
            return 0.0;
        }
        let since = self.checkpointed_at.max(self.began);
        let (until, share) = match &self.stop {
            Some(stop) if stop.cause == Cause::Stalled => (self.last_progress, 1.0),
            Some(stop) if stop.cause == Cause::Slow => (stop.decided_at, self.speed(healthy)),
            Some(stop) => (stop.decided_at, 1.0),
            None => (now, 1.0),
        };
        self.resources.weight() * until.saturating_sub(since).as_secs_f64() * share
    }

    /// Returns the speed in relation to a healthy worker, at most 1.
    fn speed(&self, healthy: Duration) -> f64 {
        let run_time = self.total_run_time().unwrap_or(healthy).as_secs_f64();
        (healthy.as_secs_f64() / run_time.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the total run time of a run that has just succeeded; `None` if too little of it was
    /// observed.
    pub fn completed_run_time(&self, now: Duration) -> Option<Duration> {
        let gained = 100_u32.saturating_sub(self.first_percent);
        let ran = now.saturating_sub(self.paced_since);
        (gained >= MIN_GAINED_PERCENT).then(|| ran.mul_f64(100.0 / f64::from(gained)))
    }

    /// Returns how much longer it will run. Based on its pace, or on the expected run time while it
    /// has made too little progress to tell.
    pub fn remaining(&self, expected: Duration, now: Duration) -> Duration {
        let since_progress = now.saturating_sub(self.last_progress);
        let run_time = self.total_run_time().unwrap_or(expected);
        let at_last_progress = run_time.mul_f64(1.0 - f64::from(self.percent.min(100)) / 100.0);
        at_last_progress.saturating_sub(since_progress)
    }
}

/// Number of further lists after which one of them was certainly requested after the start of a run.
/// When the start is answered, an agent may be waiting for two lists that it requested before.
const CONFIRMING_LISTS: u64 = 3;

/// Progress, in per cent, that is needed to infer the run time.
const MIN_GAINED_PERCENT: u32 = 10;

/// Returns whether a rejected start means that the run certainly does not exist and will not begin.
pub fn is_definite(rejection: Rejection) -> bool {
    !matches!(rejection, Rejection::None)
}
