//! Jobs as the planner shows them, and those that this entry has written itself.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    self as jobs, Feed, Job, Notice, State, catalog::Queue, resources::Resources, task::JobId,
};
use sapphire_plan::admit;

use crate::options;

/// A job that the planner shows.
#[derive(Clone, Debug, PartialEq)]
struct Shown {
    queue: String,
    state: State,
}

/// Something written that the planner does not show yet.
#[derive(Clone, Debug)]
struct Untold {
    /// The job; none for a cancellation of a job that the planner shows.
    job: Option<Job>,
    is_cancelled: bool,
    told: Option<Duration>,
}

/// What an entry knows of jobs.
#[derive(Clone, Debug, Default)]
pub struct View {
    term: u64,
    version: u64,
    shown: BTreeMap<JobId, Shown>,
    untold: BTreeMap<JobId, Untold>,
    /// When the poll was sent that brought the latest feed.
    fed: Option<Duration>,
    /// Workers' room and open work, as of the latest feed.
    supplies: Vec<jobs::Supply>,
}

impl View {
    /// Term and version of the latest feed.
    pub fn position(&self) -> (u64, u64) {
        (self.term, self.version)
    }

    /// Takes news from the planner; older news changes nothing.
    pub fn feed(&mut self, sent: Duration, feed: Feed) {
        if feed.term < self.term || (feed.term == self.term && feed.version < self.version) {
            return;
        }
        if feed.is_whole || feed.term > self.term {
            self.shown.clear();
        }
        self.term = feed.term;
        self.version = feed.version;
        self.fed = Some(self.fed.map_or(sent, |fed| fed.max(sent)));
        self.supplies = feed.supplies;
        for row in feed.rows {
            let state = row.state();
            if let Some(untold) = self.untold.get(&row.job)
                && (!untold.is_cancelled || is_over(state))
            {
                self.untold.remove(&row.job);
            }
            self.shown.insert(row.job, Shown { queue: row.queue, state });
        }
        for job in feed.gone {
            self.shown.remove(&job);
        }
    }

    /// Whether news came lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fed.is_some_and(|fed| now < fed + options::FEED_FRESH)
    }

    /// Whether news ever came.
    pub fn is_fed(&self) -> bool {
        self.fed.is_some()
    }

    /// What is known of the workers that run a queue's jobs, unless it is old.
    pub fn supply(&self, now: Duration, queue: &Queue) -> Option<admit::Supply> {
        let mut supplies = self.supplies.iter().filter(|_| self.is_fresh(now));
        let supply = supplies.find(|supply| supply.service == queue.service)?;
        let ahead = supply.backlogs.iter().filter(|backlog| backlog.priority <= queue.priority);
        let drain_ms = ahead.map(|backlog| backlog.drain_ms).max().unwrap_or(0);
        let drain = Duration::from_millis(drain_ms);
        Some(admit::Supply { largest: Resources::read(supply.largest.as_ref()), drain })
    }

    /// State of a job, if it is known.
    pub fn state(&self, id: &str) -> Option<State> {
        if let Some(untold) = self.untold.get(id)
            && untold.is_cancelled
        {
            return Some(State::Cancelled);
        }
        let shown = self.shown.get(id).map(|shown| shown.state);
        shown.or_else(|| self.untold.get(id).map(|_| State::Queued))
    }

    /// Notes a job that this entry has written.
    pub fn written(&mut self, job: Job) {
        if !self.shown.contains_key(&job.id) {
            let id = job.id.clone();
            let untold = Untold { job: Some(job), is_cancelled: false, told: None };
            self.untold.entry(id).or_insert(untold);
        }
    }

    /// Notes a cancellation that this entry has written.
    pub fn cancelled(&mut self, id: &str) {
        let untold = Untold { job: None, is_cancelled: false, told: None };
        let untold = self.untold.entry(id.to_owned()).or_insert(untold);
        untold.is_cancelled = true;
        untold.told = None;
    }

    /// Jobs of a queue of which nothing has started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_waiting = |shown: &&Shown| shown.queue == queue && shown.state == State::Queued;
        let shown = self.shown.values().filter(is_waiting).count();
        let is_own = |untold: &&Untold| {
            !untold.is_cancelled && untold.job.as_ref().is_some_and(|job| job.queue == queue)
        };
        shown + self.untold.values().filter(is_own).count()
    }

    /// What the planner is to be told now; it is told again until it shows it.
    pub fn notice(&mut self, now: Duration) -> Option<Notice> {
        let mut notice = Notice::default();
        for (id, untold) in &mut self.untold {
            if untold.told.is_some_and(|told| now < told + options::TELL_AGAIN) {
                continue;
            }
            untold.told = Some(now);
            notice.jobs.extend(untold.job.clone());
            if untold.is_cancelled {
                notice.cancelled.push(id.clone());
            }
        }
        (!notice.jobs.is_empty() || !notice.cancelled.is_empty()).then_some(notice)
    }

    /// Another planner has to be told everything that it does not show.
    pub fn tell_again(&mut self) {
        for untold in self.untold.values_mut() {
            untold.told = None;
        }
    }

    /// Everything written that the planner does not show yet.
    pub fn untold(&self) -> usize {
        self.untold.len()
    }
}

fn is_over(state: State) -> bool {
    matches!(state, State::Complete | State::Failed | State::Cancelled)
}
