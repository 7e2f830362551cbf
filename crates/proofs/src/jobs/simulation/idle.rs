//! Measures for how long jobs have nothing running although they could run, and finds the reasons that
//! the planner has for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::{resources::Resources, task::JobId};
use sapphire_planner::{group, planner::Planner, table::Entry, wait::Reason};

use super::{Action, Simulation, standstill::capacity};
use crate::jobs::minion::Minion;

/// Interval of the measurement.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time without faults from which on idle time counts.
pub const CALM: Duration = Duration::from_secs(4);
/// Idle time that a job may have once it counts.
pub const LIMIT: Duration = Duration::from_secs(3);

/// Time for which a job has nothing running while a task of it is due, and there is capacity for it
/// twice over.
#[derive(Clone, Debug)]
pub struct Idle {
    /// The job.
    pub job: JobId,
    /// When it began, from the start of the load.
    pub since: Duration,
    /// How long it has lasted.
    pub length: Duration,
    /// The part of it for each of the planner's reasons.
    reasons: BTreeMap<&'static str, Duration>,
}

impl Idle {
    /// Returns the reason of the greatest part.
    pub fn reason(&self) -> &'static str {
        let greatest = self.reasons.iter().max_by_key(|(_, length)| **length);
        greatest.map_or("none", |(reason, _)| reason)
    }
}

/// Idle times that are measured in the same way.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    current: BTreeMap<JobId, Idle>,
    ended: Vec<Idle>,
}

impl Measure {
    /// Records which jobs are idle now, with the planner's reasons and the earliest time from which
    /// their idle time counts.
    fn record(
        &mut self,
        now: Duration,
        load_start: Duration,
        idle: &BTreeMap<JobId, (&'static str, Duration)>,
    ) {
        let (current, ended): (BTreeMap<JobId, Idle>, BTreeMap<JobId, Idle>) =
            std::mem::take(&mut self.current).into_iter().partition(|(job, known)| {
                let is_same = |from: &Duration| known.since + load_start >= *from;
                idle.get(job).is_some_and(|(_, from)| is_same(from))
            });
        self.current = current;
        self.ended.extend(ended.into_values());
        for (job, (reason, _)) in idle.iter().filter(|(_, (_, from))| *from <= now) {
            let known = self.current.entry(job.clone()).or_insert_with(|| Idle {
                job: job.clone(),
                since: now - load_start,
                length: Duration::ZERO,
                reasons: BTreeMap::new(),
            });
            known.length = now - load_start - known.since;
            *known.reasons.entry(reason).or_default() += INTERVAL;
        }
    }

    /// Returns the longest idle time of the day for each reason.
    pub fn longest(&self) -> BTreeMap<&'static str, Idle> {
        let mut longest: BTreeMap<&'static str, Idle> = BTreeMap::new();
        for idle in self.ended.iter().chain(self.current.values()) {
            let known = longest.entry(idle.reason()).or_insert_with(|| idle.clone());
            if idle.length > known.length {
                *known = idle.clone();
            }
        }
        longest
    }
}

/// Idle times of a day.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// All times while under half of the capacity is in use.
    pub all: Measure,
    /// Those after [`CALM`] without faults.
    pub calm: Measure,
    /// The same however much of the capacity is in use.
    pub full: Measure,
    /// Workers to which starts of each job were sent.
    pub(super) sent_to: BTreeMap<JobId, BTreeSet<usize>>,
    /// When a fault of the entries, the store or the links was last in effect, or a fault of a worker
    /// last began or ended.
    disturbed_at: Duration,
    /// Workers with a fault.
    faulty: BTreeSet<usize>,
}

impl Simulation {
    /// Measures idle times from the start of the load on.
    pub fn measure_idle_times(&mut self) {
        self.at(self.load_start, Action::MeasureIdle);
    }

    pub(super) fn measure_idle(&mut self) {
        self.after(INTERVAL, Action::MeasureIdle);
        self.follow_faults();
        let usable = |(agent, minion): &(usize, &Minion)| {
            minion.is_up && !minion.incarnation.is_draining && self.is_reachable(*agent)
        };
        let minions: Vec<&Minion> =
            self.minions.iter().enumerate().filter(usable).map(|(_, minion)| minion).collect();
        let total = minions.iter().fold(Resources::default(), |sum, it| sum.plus(capacity(it)));
        let in_use = minions.iter().fold(Resources::default(), |sum, it| sum.plus(self.in_use(it)));
        let free: Vec<Resources> =
            minions.iter().map(|minion| capacity(minion).minus(self.in_use(minion))).collect();
        let is_half_free = total.count_fitting(in_use.plus(in_use)) > 0;
        let idle = self.arrivals.iter().filter(|arrival| self.stands_still(arrival, &free));
        let idle: Vec<JobId> = idle.map(|arrival| arrival.job.id.clone()).collect();
        let reasons = idle.iter().map(|job| (job.clone(), self.wait_reason(job)));
        let reasons: BTreeMap<JobId, &'static str> = reasons.collect();
        let calm = reasons.iter().map(|(job, reason)| {
            let counts_from = (self.disturbed_until(job) + CALM).max(self.load_start);
            (job.clone(), (*reason, counts_from))
        });
        let calm: BTreeMap<JobId, (&'static str, Duration)> = calm.collect();
        let all = reasons.iter().map(|(job, reason)| (job.clone(), (*reason, self.load_start)));
        let all: BTreeMap<JobId, (&'static str, Duration)> = all.collect();
        let none = BTreeMap::new();
        let (now, load_start) = (self.now, self.load_start);
        let beside_spare = |idle| if is_half_free { idle } else { &none };
        self.idle.all.record(now, load_start, beside_spare(&all));
        self.idle.calm.record(now, load_start, beside_spare(&calm));
        self.idle.full.record(now, load_start, &calm);
    }

    /// Whether the agent of a worker is there and hears of its minion and of the planner.
    fn is_reachable(&self, agent: usize) -> bool {
        let node = &self.agents[agent];
        let is_away = !node.is_up || node.is_isolated || self.now < node.paused_until;
        !is_away && !self.mute.contains(&agent)
    }

    /// Records which faults there are now.
    fn follow_faults(&mut self) {
        let is_faulty = |agent: &usize| {
            let minion = &self.minions[*agent];
            !self.is_reachable(*agent) || !minion.is_up || minion.fails || minion.slowdown != 1.0
        };
        let faulty: BTreeSet<usize> = (0..self.agents.len()).filter(is_faulty).collect();
        if faulty != self.idle.faulty || self.has_core_fault() {
            self.idle.disturbed_at = self.now;
        }
        self.idle.faulty = faulty;
    }

    /// When a fault was last in effect that concerns a job: one of the entries, the store or the links,
    /// or one of a worker that was to run it and is not gone.
    fn disturbed_until(&self, job: &JobId) -> Duration {
        let mut sent_to = self.idle.sent_to.get(job).into_iter().flatten();
        let is_faulty =
            |agent: &usize| self.idle.faulty.contains(agent) && !self.gone.contains(agent);
        if sent_to.any(is_faulty) { self.now } else { self.idle.disturbed_at }
    }

    /// Why the planner lets a job wait.
    fn wait_reason(&self, job: &JobId) -> &'static str {
        let planners = self.entries.iter().filter(|entry| entry.is_up);
        let planners = planners.filter_map(|entry| entry.planner.as_ref());
        let Some(planner) = planners.max_by_key(|planner| planner.term()) else {
            return "no planner";
        };
        match planner.table().entries.get(job) {
            Some(entry) => reason_of(planner, entry),
            None => "not known to the planner",
        }
    }
}

/// Why a planner lets a job wait that it knows.
fn reason_of(planner: &Planner, entry: &Entry) -> &'static str {
    let holds_all =
        [Reason::Startup, Reason::Cordons, Reason::Store, Reason::Lease, Reason::Handover];
    let is_untried = entry.is_inherited && planner.waits().count(Reason::Takeover) > 0;
    if let Some(reason) = holds_all.iter().find(|reason| planner.waits().count(**reason) > 0) {
        return reason.name();
    }
    if is_untried {
        return Reason::Takeover.name();
    }
    let mut due = entry.due_groups().map(|(_, group)| group).peekable();
    if due.peek().is_some() {
        let known = due.find_map(|group| group.wait.as_ref());
        return known.map_or("not examined", |record| record.reason.name());
    }
    let active: Vec<&group::Active> =
        entry.groups.values().filter_map(group::Group::active).collect();
    if active.is_empty() {
        "not due to the planner"
    } else if active.iter().any(|run| run.began.is_none()) {
        "placed, not begun"
    } else {
        "believed to run"
    }
}
