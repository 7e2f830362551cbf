//! A worker as its agent reports it.

use std::{collections::BTreeMap, fmt, time::Duration};

use sapphire_jobs::{
    Incarnation, Orders, Rejection, Running,
    resources::Resources,
    task::{JobId, RunNumber, Task},
};

use sapphire_plan::pace;

use crate::{event::Asker, options, state::feeds::Told};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// To be started; the minion has not said that it has.
    Ordered,
    /// Started.
    Running,
    /// To be stopped; its room is taken until its end is listed.
    Stopping,
}

/// Why a run is stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A more urgent job takes its room.
    Urgent(JobId),
    /// It is slow.
    Slow,
    /// It stands still.
    Still,
    /// Its job was cancelled.
    Cancelled,
    /// Its job has failed.
    JobFailed,
    /// Another member of its gang has ended, or was never there.
    Gang,
    /// No planner has ordered it, or it was given up.
    Unwanted,
}

/// The stop of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Why.
    pub cause: Cause,
    /// When it was decided.
    pub since: Duration,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Urgent(job) => write!(f, "urgent for={job}"),
            Cause::Slow => f.write_str("slow"),
            Cause::Still => f.write_str("still"),
            Cause::Cancelled => f.write_str("cancelled"),
            Cause::JobFailed => f.write_str("job-failed"),
            Cause::Gang => f.write_str("gang"),
            Cause::Unwanted => f.write_str("unwanted"),
        }
    }
}

/// One run of one task that may be on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Its number.
    pub number: RunNumber,
    /// What it takes.
    pub room: Resources,
    /// How far it has come.
    pub phase: Phase,
    /// Why it is stopped, and since when, once it is.
    pub stop: Option<Stop>,
    /// The agent has the order in hand.
    pub is_received: bool,
    /// The minion is known to have carried out its start.
    pub is_started: bool,
    /// Progress as last listed, 0 to 100.
    pub percent: u32,
    /// Progress when it was first listed, above 0 for one that went on from a checkpoint.
    pub first_percent: u32,
    /// When the progress last grew.
    pub moved: Duration,
    /// Its pace, from its first progress on.
    pub track: Option<pace::Track>,
    /// Lists since then in which it had not grown.
    pub still: u32,
    /// Progress that it had saved when it was last listed; empty for none.
    pub checkpoint: String,
    /// When that was first listed; else when it began.
    pub saved: Duration,
    /// Lists in a row in which it was missing though it had started.
    pub absent: u32,
    /// When it was last listed.
    pub seen: Duration,
    /// When the minion was first known to run it.
    pub began: Duration,
}

/// A poll that waits for orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Who waits.
    pub asker: Asker,
    /// Since when.
    pub since: Duration,
}

/// The worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Worker {
    /// Where its agent listens.
    pub address: String,
    /// Start of its agent.
    pub generation: u64,
    /// Latest poll.
    pub sequence: u64,
    /// Its minion.
    pub incarnation: Option<Incarnation>,
    /// Token of the session.
    pub token: u64,
    /// The minion has acknowledged the token, so that no earlier order can take effect any more
    /// and its list is the whole truth.
    pub is_fenced: bool,
    /// The session began with a new life of the minion, in which nothing of before goes on.
    pub is_new_life: bool,
    /// It has no minion, and whatever minion it had has ended.
    pub is_vacant: bool,
    /// Its agent is about to end.
    pub is_leaving: bool,
    /// When its agent last asked.
    pub heard: Duration,
    /// When the last lease granted has certainly run out.
    pub lapse_at: Duration,
    /// What may be running there.
    pub runs: BTreeMap<Task, Run>,
    /// Ends that were listed, by number, with the change that must be durable first.
    pub ended: BTreeMap<u64, Option<(JobId, u64)>>,
    /// Ends up to this number need not be listed any more.
    pub noted: u64,
    /// What the agent was last told of `noted`.
    pub noted_sent: u64,
    /// Lists that its agent has taken from the minion.
    pub lists: u64,
    /// Its poll that waits.
    pub held: Option<Held>,
    /// What its agent was last told of the entries.
    pub(crate) entries_told: Told,
}

impl Worker {
    /// What it has.
    pub fn capacity(&self) -> Resources {
        let room = self.incarnation.as_ref().and_then(|incarnation| incarnation.capacity.as_ref());
        Resources::read(room)
    }

    /// What runs, is ordered or is being stopped takes together.
    ///
    /// Guards against overfilling a minion that does not refuse what doesn't fit: a task that is
    /// being stopped, or whose start has not been answered, takes its room all the same.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.room))
    }

    /// Whether it may be given tasks.
    pub fn is_open(&self, now: Duration) -> bool {
        let minion = self.incarnation.as_ref();
        let is_closed = minion.is_none_or(|minion| minion.is_draining || minion.is_silent);
        let is_heard = now < self.heard + options::SILENCE;
        self.is_fenced && !is_closed && !self.is_leaving && is_heard
    }

    /// Whether there is something that the agent must be told at once.
    pub fn has_orders(&self) -> bool {
        let is_news = |run: &Run| !run.is_received && run.phase != Phase::Running;
        self.is_fenced && self.runs.values().any(is_news)
    }

    /// Whether a later run of the task than that of `number` is in the ledger.
    pub fn holds_later(&self, task: &Task, number: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|run| run.number > number)
    }

    /// Notes a task as listed at a time; returns whether it is one that is known.
    pub fn listed(
        &mut self,
        task: &Task,
        running: &Running,
        is_new_list: bool,
        now: Duration,
    ) -> bool {
        let number = running.run.as_ref().map_or(0, |run| run.run);
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return false;
        };
        run.is_started = true;
        if run.phase == Phase::Ordered {
            run.phase = Phase::Running;
            run.began = now;
            run.moved = now;
            run.saved = now;
            run.seen = now;
            run.first_percent = running.percent;
            run.percent = running.percent;
        }
        run.seen = run.seen.max(now);
        if !running.checkpoint.is_empty() && running.checkpoint != run.checkpoint {
            run.checkpoint.clone_from(&running.checkpoint);
            run.saved = now;
        }
        if running.percent > run.percent {
            let gap = now.saturating_sub(run.moved);
            run.percent = running.percent;
            run.moved = now;
            run.still = 0;
            let track = run.track.get_or_insert(pace::Track::new(now, running.percent));
            track.record(now, running.percent, gap);
        } else if is_new_list {
            run.still += 1;
        }
        true
    }

    /// Orders without starts and stops.
    pub fn greeting(&self, term: u64, lease: Duration) -> Orders {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        Orders { term, token: self.token, lease_ms, noted: self.noted, ..Orders::default() }
    }
}

impl Run {
    /// A run of which is known how far it has come, and no more.
    pub fn new(
        number: RunNumber,
        room: Resources,
        phase: Phase,
        percent: u32,
        now: Duration,
    ) -> Self {
        Run {
            number,
            room,
            phase,
            stop: None,
            is_received: false,
            is_started: phase == Phase::Running,
            percent,
            first_percent: percent,
            moved: now,
            track: None,
            still: 0,
            checkpoint: String::new(),
            saved: now,
            absent: 0,
            seen: now,
            began: now,
        }
    }

    /// How long a whole run takes at this one's speed, once it has made enough progress to tell.
    pub fn whole(&self) -> Option<Duration> {
        let gained = self.percent.saturating_sub(self.first_percent);
        let ran = self.moved.saturating_sub(self.began);
        (gained >= TELLING_PERCENT).then(|| ran.mul_f64(100.0 / f64::from(gained)))
    }

    /// Time of work that would be done again if it were stopped while it stands still.
    pub fn unsaved_time(&self) -> Duration {
        self.moved.saturating_sub(self.saved.max(self.began))
    }

    /// Work that is lost if it ends now without being done, in processor seconds: what was done
    /// since its progress was last saved, until it was stopped or stood still. `sound` is how long
    /// a whole run takes on a sound worker; a slow one has done less in its time.
    pub fn unsaved(&self, now: Duration, sound: Duration) -> f64 {
        if self.phase == Phase::Ordered {
            return 0.0;
        }
        let since = self.saved.max(self.began);
        let (until, share) = match &self.stop {
            Some(stop) if stop.cause == Cause::Still => (self.moved, 1.0),
            Some(stop) if stop.cause == Cause::Slow => (stop.since, self.speed(sound)),
            Some(stop) => (stop.since, 1.0),
            None => (now, 1.0),
        };
        self.room.weight() * until.saturating_sub(since).as_secs_f64() * share
    }

    /// Its speed against that of a sound worker, at most 1.
    fn speed(&self, sound: Duration) -> f64 {
        let whole = self.whole().unwrap_or(sound).as_secs_f64();
        (sound.as_secs_f64() / whole.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// How long a whole run takes, from one that is done now; nothing for one of which little was
    /// seen.
    pub fn whole_when_done(&self, now: Duration) -> Option<Duration> {
        let gained = 100_u32.saturating_sub(self.first_percent);
        let ran = now.saturating_sub(self.began);
        (gained >= TELLING_PERCENT).then(|| ran.mul_f64(100.0 / f64::from(gained)))
    }

    /// How much longer it will run, from its progress, or from how long it is expected to run
    /// while it has made too little to tell.
    pub fn remaining(&self, expected: Duration, now: Duration) -> Duration {
        let since_moved = now.saturating_sub(self.moved);
        let whole = self.whole().unwrap_or(expected);
        let at_moved = whole.mul_f64(1.0 - f64::from(self.percent.min(100)) / 100.0);
        at_moved.saturating_sub(since_moved)
    }
}

/// Progress from which the run time can be told.
const TELLING_PERCENT: u32 = 10;

/// Whether a refused start means that the run is certainly not there and never will be.
pub fn is_settled(rejection: Rejection) -> bool {
    !matches!(rejection, Rejection::None)
}
