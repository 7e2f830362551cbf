//! Options and time limits of a planner.

use std::time::Duration;

use sapphire_jobs::cordon;
use sapphire_plan::{policy::Policy, share, speed, stops};

/// Options of a planner.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the entry that plans.
    pub name: String,
    /// Duration of a minion's lease, counted from the latest poll of its agent.
    pub lease: Duration,
    /// Longest lease that a minion accepts, whatever it is granted.
    pub longest_lease: Duration,
    /// Maximum clock drift of a minion: how much its clock may run slow, in thousandths.
    pub clock_drift_milli: u32,
    /// Maximum time for which a task may run on after it was told to stop.
    pub stop_timeout: Duration,
    /// Time for which the state of a job is kept after its end.
    pub status_retention: Duration,
    /// Time from its submission within which a guaranteed job must have started.
    pub reclaim_deadline: Duration,
    /// Factor by which tasks are slower away from their data or off their gang's rack.
    pub remote_factor: u32,
    /// Mechanisms that are switched on.
    pub policy: Policy,
    /// Use of workers that are lastingly faster or slower than others.
    pub speeds: speed::Options,
    /// Shares of the organisations; `None` if they decide nothing.
    pub shares: Option<share::Options>,
    /// Limit of the work that is stopped for urgent jobs; `None` for no limit.
    pub stops: Option<stops::Options>,
    /// Whether a minion that starts again under its identifier may carry out calls that were meant for
    /// its earlier incarnation. If it can't, such a call ends with the leases of that incarnation.
    pub calls_outlive_incarnations: bool,
    /// Whether the platform's inventory of VMs can be read.
    pub has_inventory: bool,
    /// Prefix of the keys of cordons in the store.
    pub cordon_prefix: String,
    /// Decodes a cordon.
    pub read_cordon: cordon::Read,
    /// Time after the cordon of a zone from which on nothing may be started there.
    pub cordon_deadline: Duration,
    /// Memory in bytes that is reckoned for accepted jobs and their runs.
    pub job_memory: u64,
    /// Time after the acknowledgement of a cancellation from which on nothing of its job may be started.
    pub cancel_deadline: Duration,
}

/// Time without a poll after which a worker gets no new tasks. Agents poll at least every
/// [`POLL_TIMEOUT`], so that one lost poll on a slow link does not reach this limit.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Interval at which the agents of silent workers are asked to poll.
pub const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// The same once the lease is over.
pub const LAST_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the end of a worker's lease in which its agent may still report what its runs have come to:
/// a question, its answer and a list of the minion.
pub const INQUIRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Most polls that an agent has open.
pub const MAX_OPEN_POLLS: u64 = 2;
/// Time without a list of its minion after which a worker is granted no lease. Its runs end with the
/// lease, as those of a worker that is cut off.
pub const LIST_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum time for which an agent's poll is left unanswered. A shorter time detects lost workers
/// sooner, a longer one costs fewer messages; the silence after which a worker gets no new tasks is
/// about twice as long.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time for which an entry's poll is left unanswered.
pub const FEED_TIMEOUT: Duration = Duration::from_millis(900);
/// The same while the lease on the leader key is about to expire, or has expired.
pub const DOUBT_FEED_TIMEOUT: Duration = Duration::from_millis(200);
/// Remaining time of the lease on the leader key at which two keep-alives have failed.
pub const LEASE_DOUBT: Duration = Duration::from_millis(500);
/// Allowance for message latency and for timers that fire late.
pub const TIMING_MARGIN: Duration = Duration::from_millis(300);
/// Maximum time for which a planner goes on after its leader lease has expired while no entry
/// reaches the store. It exceeds the common outages of a few seconds. A successor waits for this
/// time if an agent does not answer.
pub const MAX_STORE_OUTAGE: Duration = Duration::from_secs(5);
/// Time after the end of its lease on the leader key for which a planner allows starts in an outage. A
/// successor counts with it, since an entry that reaches the store may take over while the others
/// don't.
pub const OUTAGE_STARTS: Duration = Duration::from_secs(2);
/// Time for which progress may wait to be written together with other progress, unless it completes
/// a job.
pub const WRITE_DELAY: Duration = Duration::from_millis(250);
/// Time for which starts are gathered for the next write of the handover record while another has had
/// no answer.
pub const GATHER_DELAY: Duration = Duration::from_millis(10);
/// Time without an answer after which a write of the handover record that orders wait for is repeated.
pub const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Time for which starts that are over may stay in the handover record. They cost a successor little:
/// it waits for those alone whose agents were lost as well.
pub const CLEANUP_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum age of the handover record while it contains unanswered starts. A change of planners
/// prolongs the wait for them by at most this time.
pub const RECORD_REFRESH_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time for which checkpoints may wait to be written together. A loss of power costs at most this
/// much work in addition.
pub const CHECKPOINT_WRITE_DELAY: Duration = Duration::from_millis(2_000);
/// Time after which an unanswered start can no longer be carried out: 12 seconds after it was sent,
/// as the platform specifies, and a margin.
pub const START_EXPIRY: Duration = Duration::from_millis(12_300);
/// Time after the sending of its latest poll that was answered for which an agent sends starts. Limits
/// how long a start that was lost with its agent blocks its task.
pub const START_WINDOW: Duration = Duration::from_millis(2_000);
/// Time that is left for a start to reach its minion.
pub const START_MARGIN: Duration = Duration::from_millis(700);
/// Delay before a failed write is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before a failed watch is restarted.
pub const WATCH_RETRY: Duration = Duration::from_millis(300);
/// Interval at which cancellations of jobs that don't exist are removed from the store.
pub const TOMBSTONE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the store is read for jobs that no entry has notified the planner of. This is
/// rare: their entry died between the write and the notice.
pub const INTAKE_INTERVAL: Duration = Duration::from_millis(1_500);
/// The same while jobs are open. Starts rely on the latest read.
pub const FRESH_INTAKE_INTERVAL: Duration = Duration::from_millis(800);
/// Minimum interval between reads of the jobs that were left out for want of memory.
pub const LEFT_OUT_INTERVAL: Duration = Duration::from_secs(5);
/// Run numbers reserved for each term, per task. Far more than a task is started in one term.
pub const RUNS_PER_TERM: u32 = 1_000;
/// Largest number of a term. The run numbers of the terms around it have to be numbers as well.
pub const MAX_TERMS: u32 = u32::MAX / RUNS_PER_TERM - RUNS_PER_TERM;
/// Session numbers reserved for each term.
pub const SESSIONS_PER_TERM: u64 = 1_000_000;

impl Options {
    /// Returns the time after an agent's poll at which its minion's lease has certainly expired.
    pub fn lease_expiry(&self) -> Duration {
        self.expiry_of(self.lease)
    }

    /// Returns the time from now at which any lease that a minion holds now has certainly expired.
    pub fn longest_lease_expiry(&self) -> Duration {
        self.expiry_of(self.longest_lease.max(self.lease))
    }

    /// Returns the time in which a lease certainly expires: its duration, the clock drift and a
    /// margin.
    pub(crate) fn expiry_of(&self, lease: Duration) -> Duration {
        lease + lease * self.clock_drift_milli / 1_000 + TIMING_MARGIN
    }
}
