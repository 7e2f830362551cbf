//! Settings of a planner.

use std::time::Duration;

use sapphire_plan::policy::Policy;

/// Bounds and intervals.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the entry that plans.
    pub name: String,
    /// How long a minion may run on after its agent last asked.
    pub lease: Duration,
    /// Longest lease that a minion grants, whatever it is asked for.
    pub longest_lease: Duration,
    /// How much slower than true time a minion's clock may be, in parts of a thousand.
    pub clock_drift_milli: u32,
    /// Longest time that a stopped task may go on.
    pub stop: Duration,
    /// Time after a job's end for which its state is kept.
    pub status: Duration,
    /// Time from a job's acceptance within which a guaranteed one must have begun.
    pub reclaim: Duration,
    /// Factor by which tasks are slower away from their data or their gang's rack.
    pub remote_factor: u32,
    /// Mechanisms that are in force.
    pub policy: Policy,
}

/// Time without a poll after which a worker is given nothing. Polls come back at least every
/// [`POLL_HOLD`], so one lost poll and a slow link don't reach it.
pub const SILENCE: Duration = Duration::from_millis(1_300);
/// Longest time for which an agent's poll is held. Shorter finds lost workers sooner, longer
/// costs fewer messages; the silence that counts as lost is about twice this.
pub const POLL_HOLD: Duration = Duration::from_millis(600);
/// Longest time for which an entry's poll is held.
pub const FEED_HOLD: Duration = Duration::from_millis(900);
/// Margin for messages under way and for timers that fire late.
pub const MARGIN: Duration = Duration::from_millis(300);
/// Longest time for which a planner goes on whose key has lapsed while nobody reaches the store.
/// Above the outages of a few seconds that are common; a successor waits for it where an agent
/// doesn't answer.
pub const OUTAGE: Duration = Duration::from_secs(5);
/// Progress that finishes no job may wait so long to be written together with more.
pub const GATHER: Duration = Duration::from_millis(250);
/// Checkpoints may wait so long to be written together. A loss of power meanwhile costs as much
/// work as that, at most.
pub const GATHER_CHECKPOINTS: Duration = Duration::from_millis(2_000);
/// Longest time after which a start that had no answer is carried out: 12 seconds after it was
/// sent, as the platform says, and a margin.
pub const LATEST_START: Duration = Duration::from_millis(12_300);
/// Most by which the times of day of two machines are taken to differ.
pub const CLOCK_SKEW: Duration = Duration::from_millis(2_000);
/// Wait before a failed write is tried again.
pub const RETRY: Duration = Duration::from_millis(100);
/// How often the store is asked for jobs that no entry has told of. Their entry has died between
/// writing the job and telling, which is rare.
pub const INTAKE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Runs of a task that one term may number. Far above what one term starts of one task.
pub const RUNS_PER_TERM: u32 = 1_000;
/// Sessions that one term may number.
pub const SESSIONS_PER_TERM: u64 = 1_000_000;

impl Options {
    /// Time after an agent's poll at which its minion's lease has certainly run out.
    pub fn lapse(&self) -> Duration {
        self.lapse_of(self.lease)
    }

    /// Time from now at which any lease that a minion has been given by now has certainly run out.
    pub fn longest_lapse(&self) -> Duration {
        self.lapse_of(self.longest_lease.max(self.lease))
    }

    fn lapse_of(&self, lease: Duration) -> Duration {
        lease + lease * self.clock_drift_milli / 1_000 + MARGIN
    }
}
