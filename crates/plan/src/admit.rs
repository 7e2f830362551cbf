//! Which jobs are turned away when they are handed in.
//!
//! The load this answers: more work than the workers can do for minutes on end, and jobs that no
//! worker can hold. Taken in, such a job waits until it is of no use to its caller any more, who
//! learns nothing meanwhile and can't take it elsewhere. So it is turned away at once, with the
//! time after which it has a chance. A short burst turns nothing away: what waits in it can still
//! be of use.

use std::time::Duration;

use sapphire_jobs::room::Room;

/// A job later than this many objectives is of no use to its caller, as in `rank`.
const USEFUL_OBJECTIVES: u32 = 3;
/// Shortest and longest time after which a caller is told to come again. Backlogs are known to
/// half a second, and a longer time outlives what is known of the load.
const SOONEST: Duration = Duration::from_secs(1);
const LATEST: Duration = Duration::from_secs(60);
/// When to come again with a job that no worker can hold: a larger one may join, seldom sooner
/// than a machine takes to start.
const OTHER_WORKERS: Duration = Duration::from_secs(30);

/// A job that is handed in.
#[derive(Clone, Debug)]
pub struct Job {
    /// What a task of each step takes.
    pub rooms: Vec<Room>,
    /// 0 is never turned away for want of time: it goes before all others.
    pub priority: u32,
    /// Time within which its caller wants it, by its declared run times.
    pub objective: Duration,
}

/// What is known of the workers that would run it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// The most of each resource that one of them has.
    pub largest: Room,
    /// Time in which they would do all that goes before the job.
    pub drain: Duration,
}

/// What becomes of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is taken in.
    Accept,
    /// No worker can hold one of its tasks.
    TooLarge {
        /// When to come again.
        after: Duration,
    },
    /// It would be of no use any more when its turn comes.
    Full {
        /// When to come again.
        after: Duration,
    },
}

/// Decides about a job; without knowledge of the workers it is taken in.
pub fn admit(job: &Job, supply: Option<&Supply>) -> Outcome {
    let Some(supply) = supply else { return Outcome::Accept };
    if job.rooms.iter().any(|room| supply.largest.holds(*room) == 0) {
        return Outcome::TooLarge { after: OTHER_WORKERS };
    }
    let useful = job.objective * USEFUL_OBJECTIVES;
    if job.priority == 0 || supply.drain <= useful {
        return Outcome::Accept;
    }
    Outcome::Full { after: (supply.drain - useful).clamp(SOONEST, LATEST) }
}
