//! An entry's view of the jobs: those listed in the leader's feed, and those that the entry has
//! written itself and the feed does not list yet.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    self as jobs, Backlog, Feed, Job, JobMemory, Notice, State,
    catalog::{Organisation, Queue},
    footprint,
    resources::Resources,
    task::JobId,
};
use sapphire_plan::admit;

use crate::options;

/// A job as the leader's feed lists it.
#[derive(Clone, Debug, PartialEq)]
struct Listed {
    queue: String,
    state: State,
}

/// A job or cancellation that this entry has written and the leader's feed does not show yet.
#[derive(Clone, Debug)]
struct Unlisted {
    /// The job; none if only its cancellation was written here.
    job: Option<Job>,
    is_cancelled: bool,
    /// When the leader was last notified of it.
    notified_at: Option<Duration>,
}

/// The jobs known to an entry.
#[derive(Clone, Debug, Default)]
pub struct View {
    term: u64,
    version: u64,
    listed: BTreeMap<JobId, Listed>,
    unlisted: BTreeMap<JobId, Unlisted>,
    /// When the poll for the latest feed was sent.
    polled_at: Option<Duration>,
    /// Resources and backlog of the workers, as of the latest feed.
    supplies: Vec<jobs::Supply>,
    /// Memory that the leader has for further jobs, as of the latest feed.
    memory: Option<JobMemory>,
}

impl View {
    /// Term and version of the latest feed.
    pub fn position(&self) -> (u64, u64) {
        (self.term, self.version)
    }

    /// Applies a feed of the leader. A feed older than the latest one is ignored.
    pub fn apply_feed(&mut self, sent: Duration, feed: Feed) {
        if feed.term < self.term || (feed.term == self.term && feed.version < self.version) {
            return;
        }
        if feed.is_whole || feed.term > self.term {
            self.listed.clear();
        }
        self.term = feed.term;
        self.version = feed.version;
        self.polled_at = Some(self.polled_at.map_or(sent, |polled_at| polled_at.max(sent)));
        self.supplies = feed.supplies;
        self.memory = feed.memory;
        for row in feed.rows {
            let state = row.state();
            if let Some(unlisted) = self.unlisted.get(&row.job)
                && (!unlisted.is_cancelled || is_final(state))
            {
                self.unlisted.remove(&row.job);
            }
            self.listed.insert(row.job, Listed { queue: row.queue, state });
        }
        for job in feed.gone {
            self.listed.remove(&job);
        }
    }

    /// Whether the latest feed is recent.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.polled_at.is_some_and(|polled_at| now < polled_at + options::FEED_MAX_AGE)
    }

    /// Whether any feed has been received.
    pub fn has_feed(&self) -> bool {
        self.polled_at.is_some()
    }

    /// Resources and backlog of the workers that run a queue's jobs; none if the latest feed is too
    /// old.
    ///
    /// Work of organisations above their share goes before a job only if the job's organisation is
    /// above its share as well.
    pub fn supply(
        &self,
        now: Duration,
        queue: &Queue,
        organisation: &Organisation,
    ) -> Option<admit::Supply> {
        let mut supplies = self.supplies.iter().filter(|_| self.is_fresh(now));
        let supply = supplies.find(|supply| supply.service == queue.service)?;
        let ahead = supply.backlogs.iter().filter(|backlog| backlog.priority <= queue.priority);
        let drain_ms = ahead.map(|backlog| backlog.drain_ms).max().unwrap_or(0);
        let largest = Resources::read(supply.largest.as_ref());
        let rows = &supply.above_share;
        let Some(own) = rows.iter().find(|row| row.organisation == organisation.name) else {
            let after: u64 = rows.iter().map(|row| drain_of(&row.own_priority, queue)).sum();
            let drain = Duration::from_millis(drain_ms.saturating_sub(after));
            return Some(admit::Supply { largest, drain, above_share: None });
        };
        let guarantee = u64::from(organisation.guaranteed_accelerators);
        let ahead = own.backlogs.iter().filter(|backlog| backlog.priority <= queue.priority);
        let above_share = admit::AboveShare {
            drain: Duration::from_millis(ahead.map(|it| it.drain_ms).max().unwrap_or(0)),
            share: f64::from(own.share_milli.max(1)) / 1_000.0,
            guarantee_left: guarantee.saturating_sub(own.guaranteed_in_use),
        };
        let drain = Duration::from_millis(drain_ms);
        Some(admit::Supply { largest, drain, above_share: Some(above_share) })
    }

    /// Time that an organisation above its share is served for an average job; none if it is not
    /// above, or the latest feed is too old.
    pub fn job_time(&self, now: Duration, service: &str, organisation: &str) -> Option<Duration> {
        let mut supplies = self.supplies.iter().filter(|_| self.is_fresh(now));
        let supply = supplies.find(|supply| supply.service == service)?;
        let own = supply.above_share.iter().find(|row| row.organisation == organisation)?;
        Some(Duration::from_millis(own.job_ms).saturating_mul(1_000) / own.share_milli.max(1))
    }

    /// Whether the leader has memory for a job, beside those that it doesn't list yet. If its latest feed is
    /// too old, it may have.
    pub fn has_memory_for(&self, now: Duration, job: &Job) -> bool {
        let Some(memory) = self.memory.as_ref().filter(|_| self.is_fresh(now)) else { return true };
        let unlisted = || self.unlisted.values().filter_map(|unlisted| unlisted.job.as_ref());
        let taken = |bytes: fn(&Job) -> u64| unlisted().map(bytes).fold(0, u64::saturating_add);
        let needed = footprint(job);
        let is_small = needed <= memory.small;
        let reserve = if job.priority == 0 { memory.reserve } else { 0 };
        let left = if is_small { memory.free + reserve } else { memory.free_large };
        needed <= left.saturating_sub(taken(footprint))
            && record(job) <= memory.free_records.saturating_sub(taken(record))
    }

    /// State of a job, if it is known.
    pub fn state(&self, id: &str) -> Option<State> {
        if let Some(unlisted) = self.unlisted.get(id)
            && unlisted.is_cancelled
        {
            return Some(State::Cancelled);
        }
        let listed = self.listed.get(id).map(|listed| listed.state);
        listed.or_else(|| self.unlisted.get(id).map(|_| State::Queued))
    }

    /// Adds a job that this entry has written.
    pub fn add_job(&mut self, job: Job) {
        if !self.listed.contains_key(&job.id) {
            let id = job.id.clone();
            let unlisted = Unlisted { job: Some(job), is_cancelled: false, notified_at: None };
            self.unlisted.entry(id).or_insert(unlisted);
        }
    }

    /// Adds a cancellation that this entry has written.
    pub fn add_cancellation(&mut self, id: &str) {
        let unlisted = Unlisted { job: None, is_cancelled: false, notified_at: None };
        let unlisted = self.unlisted.entry(id.to_owned()).or_insert(unlisted);
        unlisted.is_cancelled = true;
        unlisted.notified_at = None;
    }

    /// Number of jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_waiting = |listed: &&Listed| listed.queue == queue && listed.state == State::Queued;
        let listed = self.listed.values().filter(is_waiting).count();
        let is_own = |unlisted: &&Unlisted| {
            !unlisted.is_cancelled && unlisted.job.as_ref().is_some_and(|job| job.queue == queue)
        };
        listed + self.unlisted.values().filter(is_own).count()
    }

    /// Notice of what is due to be reported to the leader. Jobs and cancellations are reported
    /// again until the feed shows them.
    pub fn notice(&mut self, now: Duration) -> Option<Notice> {
        let mut notice = Notice::default();
        for (id, unlisted) in &mut self.unlisted {
            if unlisted
                .notified_at
                .is_some_and(|notified_at| now < notified_at + options::NOTICE_RETRY)
            {
                continue;
            }
            unlisted.notified_at = Some(now);
            notice.jobs.extend(unlisted.job.clone());
            if unlisted.is_cancelled {
                notice.cancelled.push(id.clone());
            }
        }
        (!notice.jobs.is_empty() || !notice.cancelled.is_empty()).then_some(notice)
    }

    /// Makes everything unlisted due to be reported, for a new leader.
    pub fn reset_notices(&mut self) {
        for unlisted in self.unlisted.values_mut() {
            unlisted.notified_at = None;
        }
    }

    /// Number of jobs with a write of this entry that the feed does not show yet.
    pub fn unlisted_count(&self) -> usize {
        self.unlisted.len()
    }
}

/// Memory that the leader keeps for a job, with its first occurrence.
fn footprint(job: &Job) -> u64 {
    record(job).saturating_add(footprint::occurrence(&job.steps))
}

fn record(job: &Job) -> u64 {
    footprint::record(&job.spec, &job.steps)
}

/// Time for the work of a queue's priority and of higher ones, in milliseconds.
fn drain_of(backlogs: &[Backlog], queue: &Queue) -> u64 {
    let ahead = backlogs.iter().filter(|backlog| backlog.priority <= queue.priority);
    ahead.map(|backlog| backlog.drain_ms).sum()
}

fn is_final(state: State) -> bool {
    matches!(state, State::Complete | State::Failed | State::Cancelled)
}
