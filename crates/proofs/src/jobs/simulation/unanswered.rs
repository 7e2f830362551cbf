//! Measures for how long unanswered starts count, and checks that against what the platform allows. Counts
//! those that count again after a planner had settled them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::task::Task;

use super::{Action, Simulation};

/// Interval of the measurement.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest time after it was sent for which a start may be carried out.
const MAX_DELAY: Duration = Duration::from_secs(12);
/// Longest lease of a run, `hold_max_ms` on a clock that is 2% slow.
const MAX_LEASE: Duration = Duration::from_millis(10_200);
/// Time for which work that could run may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// What is known of the minion that a start was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Minion {
    /// Its VM runs it, whether or not its agent is in contact.
    Listed,
    /// Its VM runs no minion.
    Absent,
    /// Its VM is gone.
    Gone,
}

impl Minion {
    /// Returns the longest time for which a start may count: from when the last one on its minion was
    /// sent, from when it can't be carried out any more, or from when the VM is gone.
    pub fn limit(self) -> Duration {
        match self {
            Minion::Listed => MAX_DELAY + MAX_LEASE + MAX_IDLE,
            // What shows that the minion is absent may be wrong of one that runs on its lease.
            Minion::Absent | Minion::Gone => MAX_LEASE + MAX_IDLE,
        }
    }
}

/// The longest time for which a start has counted.
#[derive(Clone, Debug)]
pub struct Wait {
    /// Its task.
    pub task: Task,
    /// Its length.
    pub length: Duration,
    /// Its end, from the start of the load.
    pub end: Duration,
}

/// What is known of one start.
#[derive(Clone, Copy, Debug, Default)]
struct Start {
    /// When it was last sent.
    sent: Duration,
    /// Time for which it has counted since it can't be carried out any more, and since its VM is gone,
    /// while a planner served.
    absent: Duration,
    gone: Duration,
    /// It counts, or has counted no more since it was last sent.
    is_counting: bool,
    is_settled: bool,
}

/// Times for which unanswered starts have counted.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    starts: BTreeMap<(Task, usize), Start>,
    longest: BTreeMap<Minion, Wait>,
    again: Vec<Again>,
}

/// A start that counts again although it had counted no more and was not sent since.
#[derive(Clone, Debug)]
pub struct Again {
    /// Its task.
    pub task: Task,
    /// The agent that sent it.
    pub agent: usize,
    /// Time from the start of the load.
    pub at: Duration,
}

impl Figures {
    /// Returns the longest time of the day by what was known of the minion.
    pub fn longest(&self) -> &BTreeMap<Minion, Wait> {
        &self.longest
    }

    /// Returns the starts that have counted again.
    pub fn again(&self) -> &[Again] {
        &self.again
    }

    /// Updates which starts count, at a time from the start of the load.
    fn follow(&mut self, counting: &BTreeSet<(Task, usize)>, at: Duration) {
        for (key, start) in &mut self.starts {
            let is_counting = counting.contains(key);
            if is_counting && start.is_settled {
                let (task, agent) = key.clone();
                self.again.push(Again { task, agent, at });
            }
            start.is_settled = !is_counting && (start.is_settled || start.is_counting);
            start.is_counting = is_counting;
        }
    }

    /// Records that a start was sent.
    pub(super) fn sent(&mut self, task: Task, agent: usize, at: Duration) {
        let start = self.starts.entry((task, agent)).or_default();
        if at > start.sent {
            *start = Start { sent: at, ..Start::default() };
        }
    }
}

impl Simulation {
    /// Measures from the start of the load on for how long unanswered starts count.
    pub fn measure_unanswered_starts(&mut self) {
        self.at(self.load_start, Action::MeasureUnanswered);
    }

    pub(super) fn measure_unanswered(&mut self) {
        self.after(INTERVAL, Action::MeasureUnanswered);
        let planners = self.entries.iter().filter(|entry| entry.is_up);
        let planners = planners.filter_map(|entry| entry.planner.as_ref());
        let Some(planner) = planners.max_by_key(|planner| planner.term()) else { return };
        let agent_of = |worker: &str| worker.strip_prefix('a').and_then(|name| name.parse().ok());
        if !planner.is_serving() {
            return;
        }
        let counting: BTreeSet<(Task, usize)> = (planner.unanswered_starts())
            .filter_map(|(task, worker)| Some((task.clone(), agent_of(worker)?)))
            .collect();
        self.unanswered.follow(&counting, self.now - self.load_start);
        // Each start that is carried out prolongs the lease of all that its minion runs.
        let mut last_sent: BTreeMap<usize, Duration> = BTreeMap::new();
        for key in &counting {
            let sent = self.unanswered.starts.get(key).map_or(Duration::ZERO, |start| start.sent);
            let last = last_sent.entry(key.1).or_default();
            *last = sent.max(*last);
        }
        for (task, agent) in counting {
            let is_gone = self.gone.contains(&agent);
            let is_absent = !self.minions[agent].is_up;
            let now = self.now;
            let start = self.unanswered.starts.entry((task.clone(), agent)).or_default();
            if start.sent.is_zero() {
                start.sent = now;
            }
            let is_over = now >= start.sent + MAX_DELAY;
            start.gone = if is_gone { start.gone + INTERVAL } else { Duration::ZERO };
            start.absent =
                if is_absent && is_over { start.absent + INTERVAL } else { Duration::ZERO };
            let (minion, length) = match (is_gone, is_absent) {
                (true, _) => (Minion::Gone, start.gone),
                (false, true) => (Minion::Absent, start.absent),
                (false, false) => (Minion::Listed, now - last_sent[&agent].max(start.sent)),
            };
            let end = now - self.load_start;
            let wait = Wait { task, length, end };
            let longest = &mut self.unanswered.longest;
            let known = longest.entry(minion).or_insert_with(|| wait.clone());
            if wait.length > known.length {
                *known = wait;
            }
        }
    }
}
