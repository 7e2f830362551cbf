//! Settings and timing constants of the agent.

use std::time::Duration;

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the agent.
    pub name: String,
    /// Address at which the agent listens for other processes, ip:port.
    pub address: String,
    /// Generation of this process, which grows from start to start.
    pub generation: u64,
    /// Addresses of entries to ask for the leader, in addition to those that the planner sends.
    pub entries: Vec<String>,
    /// Address at which the minion takes calls, if it is known before the first heartbeat; else
    /// empty.
    pub minion_address: String,
    /// Longest time for which a task that is being stopped may go on.
    pub stop_timeout: Duration,
    /// Longest lease that a minion accepts, whatever it is granted.
    pub longest_lease: Duration,
}

/// Time for which the minion waits for a run to end before it answers a long poll. Each answer
/// renews the lease and reports the progress of tasks; it stays on the machine and costs little.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// The same while unanswered starts may still be carried out, above all by a next incarnation of
/// the minion: once that one has answered a long poll, it refuses them.
pub const REDUCED_LONG_POLL_WAIT: Duration = Duration::from_millis(20);
/// Timeout of a call to the minion, beyond the time for which it was asked to wait. The minion is
/// on the same machine; on a busy one, answers have taken tens of milliseconds.
pub const MINION_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time after sending in which a minion may carry out a call that got no answer; the
/// platform states 2 to 12 seconds.
pub const MAX_CALL_DELAY: Duration = Duration::from_secs(12);
/// Maximum drift of a minion's clock: how much it may run slow, in thousandths.
pub const CLOCK_DRIFT_MILLI: u32 = 20;
/// Allowance for timers that fire late, and for the age of a reading of the minion's clock.
pub const TIMING_MARGIN: Duration = Duration::from_millis(300);
/// Time after the end of a lease for which a minion that runs tasks is asked for a list without the delays
/// of [`RETRY_DELAY`]. It covers the margin after which the planner takes the lease for over.
pub const LAST_LIST_TIME: Duration = Duration::from_millis(700);
/// Most incarnations beside its minion that an agent keeps the heartbeats of.
pub const MAX_CANDIDATES: usize = 4;
/// Time after its latest heartbeat in which an incarnation can become the minion: a few intervals of
/// heartbeats.
pub const CANDIDATE_TIME: Duration = Duration::from_millis(5_000);
/// Time for which the incarnations of a service that the planner doesn't know are left out. A newer
/// configuration may name it.
pub const REJECTION_TIME: Duration = Duration::from_millis(3_000);
/// Delay before the second repetition of an unanswered call, doubled with each further one. The
/// first repetition is sent at once, since a single order may be lost. Growing delays bound the
/// cost of a minion that answers nothing: each call to it takes a connection.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the delay, well below the lease.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Time without an answer from the minion after which the agent reports it to the planner as
/// silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time for which rows of a list that can't be read may name runs of this system. The minion lists
/// its own runs in a form that can be read, so that rows which stay are those of another writer.
pub const UNREADABLE_TIME: Duration = Duration::from_millis(3_000);
/// Minimum time between log lines on the number of rows that can't be read.
pub const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_millis(2_000);
/// Delay between long polls while the minion lists ends that are not acknowledged: it answers at
/// once then, and polling without a delay would take up the processor.
pub const LIST_DELAY: Duration = Duration::from_millis(90);
/// Time after a list in which its ends may be acknowledged to the minion that sent it. The long
/// poll that acknowledges them goes out in the same turn, or as soon as another one in flight is
/// answered.
pub const ACKNOWLEDGE_WINDOW: Duration = Duration::from_millis(20);
/// Timeout of a poll: the time for which the planner holds it, and two messages between regions.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age from which on a poll has been lost if the planner says that it hears nothing: above the time that the
/// poll and the question take, which may have crossed.
pub const POLL_DELIVERY: Duration = Duration::from_millis(300);
/// Least time between two polls, so that several ends go into one.
pub const POLL_DELAY: Duration = Duration::from_millis(8);
/// Time between two events from which on the agent assumes that its process was paused: far above
/// the time between ticks, and below the time in which a minion may end and start again.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Delay between probes for a minion of which no heartbeat has arrived.
pub const PROBE_DELAY: Duration = Duration::from_millis(120);
/// The same after a probe was answered, since the heartbeat is expected to follow, and while nothing
/// listens.
pub const LONG_PROBE_DELAY: Duration = Duration::from_millis(1_000);
/// Delay between queries of entries for the leader.
pub const LEADER_QUERY_DELAY: Duration = Duration::from_millis(120);
/// Timeout of such a query.
pub const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of refused connections in a row after which the agent reports the minion as absent.
pub const MAX_REFUSED_CONNECTIONS: u32 = 3;

/// Delay before the next attempt of a call, after this many in a row without an answer.
pub(crate) fn retry_delay(attempts: u32) -> Duration {
    match attempts {
        0 | 1 => Duration::ZERO,
        more => (RETRY_DELAY * 2_u32.pow((more - 2).min(8))).min(MAX_RETRY_DELAY),
    }
}
