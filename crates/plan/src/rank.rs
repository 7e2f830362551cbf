//! The order in which waiting groups are given resources.
//!
//! If more work arrives than the workers can do for some seconds, an order by arrival or by deadline
//! alone makes every job in the queue late. So among jobs of one priority, those that can still
//! meet their objective go before those that can't, and those that are of no use to their callers
//! any more go last. These are still run, so that no job starves.

use std::{cmp, time::Duration};

/// What the order of a waiting job depends on.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether the job is within its organisation's guarantee.
    pub is_guaranteed: bool,
    /// Time since its acceptance.
    pub age: Duration,
    /// Completion objective, from the acceptance.
    pub objective: Duration,
    /// Remaining time if it is run without further waits.
    pub remaining: Duration,
    /// Work of the job in processor seconds.
    pub work: f64,
    /// Whether the job competes with those of priority 1 when it is close to its deadline.
    pub escalates: bool,
    /// Whether the job's organisation is above its share of the workers. Its urgent jobs beyond the
    /// guarantee then compete with those of priority 1.
    pub is_above_share: bool,
}

/// A job that takes longer than this many times its objective is of no use to its caller any more.
pub const USEFUL_OBJECTIVES: u32 = 3;

/// Slack, as a share of the objective, below which a job of priority 2 or lower competes with those
/// of priority 1. Without this a burst leaves hardly any of these jobs on time.
const ESCALATION_SLACK: f64 = 0.35;

/// How far a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// The job can complete within its objective.
    OnTime,
    /// The job can't complete within its objective, but while its result is still of some use.
    Late,
    /// The job can only complete when its result is of no use any more.
    Lost,
}

/// Position in the order of waiting jobs; lower ranks go first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    feasibility: Feasibility,
    /// Class by priority and guarantee. It counts first; feasibility decides within it.
    tier: u32,
    /// Whether work of organisations below their share goes first. It counts after feasibility, so
    /// that a small organisation's late job does not make another's late as well.
    is_above_share: bool,
    /// Tie-breaker, in seconds.
    urgency: f64,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let key = |rank: &Rank| (rank.tier, rank.feasibility, rank.is_above_share);
        key(self).cmp(&key(other)).then(self.urgency.total_cmp(&other.urgency))
    }
}

/// How far a job can still meet its objective, if it is run without further waits.
pub fn feasibility(job: &Job) -> Feasibility {
    let end = job.age + job.remaining;
    if end <= job.objective {
        Feasibility::OnTime
    } else if end <= job.objective * USEFUL_OBJECTIVES {
        Feasibility::Late
    } else {
        Feasibility::Lost
    }
}

/// Whether a job is close to its deadline, and so at risk of missing it.
fn is_at_risk(job: &Job) -> bool {
    let slack = job.objective.saturating_sub(job.age + job.remaining);
    slack < job.objective.mul_f64(ESCALATION_SLACK)
}

/// Rank of a job among those that wait.
pub fn rank(job: &Job) -> Rank {
    let feasibility = feasibility(job);
    // Beyond its guarantee, an organisation above its share can't put its work before that of all
    // others by declaring it urgent.
    let is_put_back = job.is_above_share && !job.is_guaranteed;
    let priority = if is_put_back { job.priority.max(1) } else { job.priority };
    let tier = match (priority, job.is_guaranteed, feasibility) {
        (0, true, _) => 0,
        (0, false, Feasibility::OnTime | Feasibility::Late) => 1,
        (priority, _, Feasibility::OnTime) if priority > 1 && job.escalates && is_at_risk(job) => 3,
        (priority, ..) => priority.saturating_add(2),
    };
    let end = job.age + job.remaining;
    let limit = if feasibility == Feasibility::OnTime {
        job.objective
    } else {
        job.objective * USEFUL_OBJECTIVES
    };
    let slack = limit.as_secs_f64() - end.as_secs_f64();
    // A small job is worth about as much to its caller as a large one of its kind, so among jobs
    // with the same slack the shorter goes first.
    let urgency = slack + job.remaining.as_secs_f64();
    let is_above_share = job.is_above_share && tier > 0;
    Rank { feasibility, tier, is_above_share, urgency }
}
